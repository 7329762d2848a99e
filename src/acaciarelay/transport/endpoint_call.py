"""HTTP/1.1 client on h11 for endpoints and the metadata store.

A connection carries one request at a time.
"""

import asyncio
import collections
import enum
from collections.abc import Callable, Sequence

import attrs
import h11
from result import Err, Ok, Result

from acaciarelay.coordination.loop_budget import LoopBudget, LoopTime, Reader
from acaciarelay.protocol.answer_head import HeadGate, HeadTooLargeError
from acaciarelay.protocol.http_message import MAX_STATUS, Header, encode_headers
from acaciarelay.transport.bounded_reads import BoundedReads
from acaciarelay.transport.peer_watch import PeerWatch
from acaciarelay.transport.request_sender import RequestSender
from acaciarelay.transport.sockets import end_transmission

__all__ = ["ConnectionFault", "EndpointConnection", "FaultKind", "connect"]

# An endpoint whose host acknowledges nothing for this long is gone.
PEER_TIMEOUT_S = 4.0
# Bytes that are read in one step, and of a body that are parsed at once.
READ_BYTES = 16_384
PARSE_BYTES = 4_096
# Bytes of a chunk's head or of trailers that may be incomplete, and the number of
# trailer fields. The parser takes time for each field, however short it is.
MAX_LINE_BYTES = 4_096
MAX_TRAILER_FIELDS = 64
# Parsing and reading pause at this many events or bytes of bodies, so that a slow
# caller slows down its endpoint, and small pieces can't occupy the event loop.
MAX_QUEUED_EVENTS = 64
MAX_QUEUED_BYTES = 65_536
# Interim responses (status 1xx) accepted before the final one.
MAX_INTERIM_RESPONSES = 8
# Interval of the checks of a connection that stays stalled.
STALL_RECHECK_S = 0.1
# A timer is later than this after a pause of this process, which may have hidden the
# endpoint's progress.
MAX_TIMER_DELAY_S = 0.2


class FaultKind(enum.StrEnum):
    """How a connection failed; the values are labels of the retry metric."""

    CONNECT = "connect"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    SILENT = "silent"


@attrs.frozen
class ConnectionFault:
    """Why a connection delivers no more events."""

    kind: FaultKind
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.kind}: {self.detail}" if self.detail else str(self.kind)


class EndpointConnection(BoundedReads):
    """Drive h11 as a client over one connection and queue the events of a response.

    ``loop_time`` bounds the share of the event loop that the connection takes.
    """

    read_bytes = READ_BYTES

    def __init__(self, loop_time: LoopTime) -> None:
        self.loop = asyncio.get_running_loop()
        self.loop_time = loop_time
        # Heads are complete when they are parsed.
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_LINE_BYTES)
        self.heads = HeadGate()
        self.transport: asyncio.Transport | None = None
        # Present once the connection is open.
        self.peer_watch: PeerWatch | None = None
        self.events: collections.deque[h11.Event | ConnectionFault] = (
            collections.deque()
        )
        self.queued_bytes = 0
        self.waiter: asyncio.Future | None = None
        self.fault: ConnectionFault | None = None
        self.reading_paused = False
        self.interim_responses = 0
        self.progress_at = 0.0
        self.stall_timer: asyncio.TimerHandle | None = None
        # Present once a request is sent as fast as the endpoint reads it.
        self.sender: RequestSender | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.peer_watch = PeerWatch(transport, PEER_TIMEOUT_S, self.end_by_gone_peer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.loop_time.close()
        if self.peer_watch is not None:
            self.peer_watch.close()
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if exc is None and self.fault is None:
            self._receive(b"")
        if self.fault is None:
            kind = FaultKind.RESET if exc is not None else FaultKind.CLOSED
            self._fail(ConnectionFault(kind, str(exc or "")))

    def end_by_gone_peer(self) -> None:
        """End a connection whose endpoint can't be reached any more."""
        self._fail(ConnectionFault(FaultKind.RESET, "the endpoint is gone"))

    def eof_received(self) -> bool:
        self._receive(b"")
        if self.fault is None:
            self._fail(ConnectionFault(FaultKind.CLOSED, "end of data"))
        return False

    def data_received(self, data: bytes) -> None:
        began = self.loop.time()
        self._read(data)
        self.loop_time.spend(began, self.loop.time(), len(data))

    def _read(self, data: bytes) -> None:
        if self.fault is not None:
            return
        if self.http.their_state is h11.DONE:
            # The answer is complete, so the connection can't be used again.
            self.fault = ConnectionFault(FaultKind.MALFORMED, "data after the answer")
            self.close()
            return
        self._receive(data)

    def record_progress(self) -> None:
        """Record that the endpoint makes progress with its answer."""
        self.progress_at = self.loop.time()

    @property
    def stalled_s(self) -> float:
        """Return the seconds without progress, 0 while the caller is the slow one."""
        if self.fault is not None or self.reading_paused or self.events:
            return 0.0
        return self.loop.time() - self.progress_at

    def watch_progress(self, stall_s: float, on_stall: Callable[[], None]) -> None:
        """Call ``on_stall`` again and again after ``stall_s`` without progress.

        The head of the answer counts as progress, and what ``record_progress`` is
        called for.
        """
        self.progress_at = self.loop.time()

        def check(due_at: float) -> None:
            if self.loop.time() - due_at > MAX_TIMER_DELAY_S:
                self.progress_at = self.loop.time()
            left_s = stall_s - self.stalled_s
            check_after(left_s if left_s > 0 else STALL_RECHECK_S)
            if left_s <= 0:
                on_stall()

        def check_after(delay_s: float) -> None:
            due_at = self.loop.time() + delay_s
            self.stall_timer = self.loop.call_at(due_at, check, due_at)

        check_after(stall_s)

    def abandon(self) -> None:
        """Abort a stalled request."""
        detail = f"no progress for {self.stalled_s:.3g} s"
        self._fail(ConnectionFault(FaultKind.SILENT, detail))

    def _receive(self, data: bytes) -> None:
        """Parse bytes; none stand for the end of data."""
        try:
            self._feed(data)
        except h11.RemoteProtocolError as error:
            self._fail_malformed(str(error))
        except HeadTooLargeError:
            self._fail_malformed("head too large")

    def _feed(self, data: bytes) -> None:
        self.heads.feed(data)
        while self.fault is None and self.http.their_state is h11.SEND_RESPONSE:
            head = self.heads.next_head()
            if head is None:
                break
            self.http.receive_data(head)
            self._parse()
        if self.http.their_state is h11.SEND_RESPONSE and data:
            return
        rest = self.heads.take_all()
        for start in range(0, len(rest), PARSE_BYTES):
            self.http.receive_data(rest[start : start + PARSE_BYTES])
            self._parse()
        if not data:
            self.http.receive_data(b"")
            self._parse()

    def _parse(self) -> None:
        if self.http.our_state is h11.IDLE:
            # No request is open, so this data belongs to none.
            if self.http.trailing_data[0]:
                self._fail_malformed("data without a request")
            return
        while not self._is_full():
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.InformationalResponse():
                    self.interim_responses += 1
                    if self.interim_responses > MAX_INTERIM_RESPONSES:
                        self._fail_malformed("no final response")
                        return
                    continue
                case h11.ConnectionClosed():
                    return
                case h11.Response(status_code=status) if status > MAX_STATUS:
                    self._fail_malformed(f"invalid status {status}")
                    return
                case h11.Response():
                    self.record_progress()
                case h11.EndOfMessage(headers=trailers):
                    if len(trailers) > MAX_TRAILER_FIELDS:
                        self._fail_malformed("too many trailer fields")
                        return
            assert isinstance(event, h11.Event)
            self._deliver(event)
            if isinstance(event, h11.EndOfMessage):
                return
        if not self.reading_paused and self.transport is not None:
            self.reading_paused = True
            self.transport.pause_reading()

    def _is_full(self) -> bool:
        if len(self.events) >= MAX_QUEUED_EVENTS:
            return True
        return self.queued_bytes >= MAX_QUEUED_BYTES

    def _has_room(self) -> bool:
        if len(self.events) >= MAX_QUEUED_EVENTS // 2:
            return False
        return self.queued_bytes < MAX_QUEUED_BYTES // 2

    def _resume(self) -> None:
        """Parse what was received before the pause, then read on."""
        assert self.transport is not None
        began = self.loop.time()
        self.reading_paused = False
        if self.fault is not None:
            return
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            self._fail_malformed(str(error))
        if not self.reading_paused and self.fault is None:
            self.transport.resume_reading()
        self.loop_time.spend(began, self.loop.time(), 0)

    def _deliver(self, event: h11.Event | ConnectionFault) -> None:
        self.events.append(event)
        if isinstance(event, h11.Data):
            self.queued_bytes += len(event.data)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _fail_malformed(self, detail: str) -> None:
        self._fail(ConnectionFault(FaultKind.MALFORMED, detail))

    def _fail(self, fault: ConnectionFault) -> None:
        if self.fault is not None:
            return
        self.fault = fault
        self._deliver(fault)
        if self.transport is not None:
            self.transport.abort()

    def send(
        self, method: str, target: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Write a complete request; from then on the endpoint may have received it."""
        assert self.transport is not None and self.peer_watch is not None
        self.peer_watch.record_write()
        head = self.http.send(
            h11.Request(method=method, target=target, headers=encode_headers(headers))
        )
        assert head is not None
        if body:
            data = self.http.send(h11.Data(data=body))
            self.transport.write(head + (data or b""))
        else:
            self.transport.write(head)
        tail = self.http.send(h11.EndOfMessage())
        if tail:
            self.transport.write(tail)

    def send_as_read(
        self, method: str, target: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a request like ``send``, as fast as the endpoint reads it."""
        assert self.transport is not None and self.peer_watch is not None
        self.peer_watch.record_write()
        self.sender = RequestSender(self.http, self.transport, self.record_progress)
        self.sender.send(method, target, headers, body)

    def pause_writing(self) -> None:
        if self.sender is not None:
            self.sender.pause()

    def resume_writing(self) -> None:
        if self.sender is not None:
            self.sender.resume()
        if self.peer_watch is not None:
            self.peer_watch.record_write()

    async def next_event(self) -> h11.Event | ConnectionFault:
        """Return the next event of the response, or the fault that ended it.

        It may take as long as other connections are to be served first.
        """
        if self.loop_time.is_used_up:
            await self.give_way()
        while not self.events:
            if self.fault is not None:
                return self.fault
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        event = self.events.popleft()
        if isinstance(event, h11.Data):
            self.queued_bytes -= len(event.data)
        if self.reading_paused and self._has_room():
            await self.give_way()
            self._resume()
        return event

    async def give_way(self) -> None:
        """Let other tasks run, for longer if this connection took much time."""
        await asyncio.sleep(self.loop_time.pause_s(self.loop.time()))

    def start_next(self) -> None:
        """Prepare for another request, or close a connection that can't be reused."""
        done = (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
            and self.unsent_bytes == 0
        )
        if not done or self.fault is not None:
            self.close()
            return
        self.interim_responses = 0
        self.http.start_next_cycle()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel hasn't accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @property
    def reusable(self) -> bool:
        return (
            self.fault is None
            and self.http.our_state is h11.IDLE
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Abort the connection, which also cancels an unfinished request."""
        if self.fault is None:
            self.fault = ConnectionFault(FaultKind.CLOSED, "closed locally")
        if self.transport is not None:
            self.transport.abort()
            # The transport closes its socket in a later turn of the event loop, which
            # may take hundreds of milliseconds in an overloaded process.
            end_transmission(self.transport)


async def connect(
    address: str,
    timeout_s: float,
    loop_budget: LoopBudget | None = None,
    reader: Reader = Reader.ENDPOINT,
) -> Result[EndpointConnection, ConnectionFault]:
    """Open a connection to ``IP:PORT``; an address in another form is a fault too."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    loop_time = (loop_budget or LoopBudget()).open(reader, address)
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(loop_time), host, int(port)
            )
    except TimeoutError:
        return Err(
            ConnectionFault(
                FaultKind.CONNECT_TIMEOUT, f"not connected within {timeout_s:g} s"
            )
        )
    except (OSError, ValueError, OverflowError) as error:
        return Err(ConnectionFault(FaultKind.CONNECT, str(error)))
    return Ok(connection)
