"""HTTP/1.1 server on h11 for callers: strict heads, bounded bodies, time-outs."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import h11

from acaciarelay.coordination.loop_budget import LoopBudget, Reader
from acaciarelay.coordination.memory_budget import BodyMemory, MemoryBudget
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import Header, InboundRequest, encode_headers
from acaciarelay.protocol.request_head import (
    HEAD_END,
    count_blank_bytes,
    find_head_problem,
)
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.bounded_reads import BoundedReads
from acaciarelay.transport.connection_phase import ClosedBy, Phase
from acaciarelay.transport.read_gate import PauseReason, ReadGate
from acaciarelay.transport.response_output import (
    CallerDisconnectedError,
    ResponseOutput,
)
from acaciarelay.transport.sockets import (
    enable_dead_peer_detection,
    reset_at_close,
    unacknowledged_bytes,
)

__all__ = [
    "CallerDisconnectedError",
    "InboundConnection",
    "InboundHandler",
]

# HTTP version in which a response of unknown length ends with its connection.
HTTP_1_0 = b"1.0"
# Limit of pipelined data that is buffered; reading pauses above it.
MAX_PIPELINED_BYTES = 65_536
# A caller that acknowledges no data for this long is treated as disconnected.
TCP_USER_TIMEOUT_S = 8.0
# Time in which a refused caller may finish sending, so that closing does not reset the
# connection before it has read the response.
LINGER_S = 1.0
# Pieces of a body that are parsed without giving way to other tasks, and their bytes
# that the parser gets at once.
MAX_PIECES_PER_TURN = 64
PARSE_BYTES = 4_096
# Bytes of a chunk's head or of trailers that may be incomplete.
MAX_LINE_BYTES = 4_096
# Bytes of blank lines before a request that are ignored.
MAX_BLANK_BYTES = 64
# When a caller may send a body again for which there was no room; other callers' bodies
# stay for about as long as their requests.
NO_ROOM_RETRY_AFTER_S = 0.5


InboundHandler = Callable[["InboundConnection", InboundRequest], Awaitable[None]]
RefusalHandler = Callable[["InboundConnection", Refusal], None]


class InboundConnection(BoundedReads):
    """Drive h11 as a server over one accepted connection.

    ``handler`` is awaited with each complete request and responds through this object;
    ``on_refusal`` is called for input that is no valid request. ``registry`` contains
    the connection while it is open. The bodies of all connections with the same
    ``memory`` share it, and reading takes its time from ``loop_budget``.
    """

    def __init__(
        self,
        handler: InboundHandler,
        on_refusal: RefusalHandler,
        limits: Callable[[], CallerLimits],
        registry: set["InboundConnection"],
        memory: MemoryBudget,
        loop_budget: LoopBudget,
    ) -> None:
        self.handler = handler
        self.on_refusal = on_refusal
        self.limits = limits
        self.registry = registry
        self.loop = asyncio.get_running_loop()
        self.loop_budget = loop_budget
        # Present once the connection is open.
        self.gate: ReadGate | None = None
        self.output: ResponseOutput | None = None
        self.transport: asyncio.Transport | None = None
        self.http = self.new_parser()
        self.phase = Phase.IDLE
        # When the connection was opened, or its last response was written.
        self.idle_since = self.loop.time()
        self.pending = bytearray()
        # Bytes of blank lines since the last request.
        self.blank_bytes = 0
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        # What the body occupies until its request has ended.
        self.body_memory = BodyMemory(memory)
        # Present while parsing waits for the next turn of the event loop.
        self.parse_handle: asyncio.Handle | None = None
        self.arrived_at = 0.0
        self.last_request = False
        # Present once the connection ends.
        self.closed_by: ClosedBy | None = None
        self.response_started = False

    def new_parser(self) -> h11.Connection:
        # Heads are complete when they are parsed.
        return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_LINE_BYTES)

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.registry.add(self)
        name = transport.get_extra_info("peername")
        loop_time = self.loop_budget.open(Reader.CALLER, name[0] if name else "")
        self.gate = ReadGate(transport, loop_time)
        self.output = ResponseOutput(transport)
        enable_dead_peer_detection(transport, TCP_USER_TIMEOUT_S)
        self.set_timer(self.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.discard(self)
        self.set_timer(None)
        self.phase = Phase.CLOSING
        is_timeout = isinstance(exc, TimeoutError)
        self.record_end(ClosedBy.NETWORK if is_timeout else ClosedBy.CALLER)
        if self.gate is not None:
            self.gate.close()
        if self.parse_handle is not None:
            self.parse_handle.cancel()
        if self.task is not None:
            self.task.cancel()
        self.body_memory.release()
        self.resume_writing()

    def record_end(self, closed_by: ClosedBy) -> None:
        """Record who ends the connection, unless it was ended before."""
        if self.closed_by is None:
            self.closed_by = closed_by

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        if self.output is not None:
            self.output.pause()

    def resume_writing(self) -> None:
        if self.output is not None:
            self.output.resume()

    def data_received(self, data: bytes) -> None:
        assert self.gate is not None
        began = self.loop.time()
        self.read(data)
        self.gate.record_step(began, len(data))

    def read(self, data: bytes) -> None:
        assert self.gate is not None
        match self.phase:
            case Phase.IDLE:
                self.pending += data
                self.begin_head()
            case Phase.HEAD:
                self.pending += data
                if self.parse_handle is None:
                    self.read_head()
                else:
                    self.bound_pending()
            case Phase.BODY:
                # The time-out of the head also limits each pause within the body.
                self.set_timer(self.limits().head_timeout_s)
                self.receive(data)
            case Phase.RESPONSE:
                self.pending += data
                self.bound_pending()
            case Phase.CLOSING:
                return

    # Reading a request.

    def begin_head(self) -> None:
        """Begin to read a request, unless only blank lines have come."""
        blank = count_blank_bytes(self.pending)
        self.blank_bytes += blank
        if self.blank_bytes > MAX_BLANK_BYTES:
            self.reject(refuse("malformed_http"))
            return
        del self.pending[:blank]
        if not self.pending:
            return
        self.arrived_at = self.loop.time()
        self.phase = Phase.HEAD
        self.set_timer(self.limits().head_timeout_s)
        assert self.gate is not None
        pause_s = self.gate.loop_time.pause_s(self.loop.time())
        if pause_s > 0:
            # Requests that came together with the one before must not keep the loop.
            self.parse_handle = self.loop.call_later(pause_s, self.continue_head)
            return
        self.read_head()

    def continue_head(self) -> None:
        self.parse_handle = None
        if self.phase is not Phase.HEAD or self.gate is None:
            return
        began = self.loop.time()
        self.read_head()
        self.gate.record_step(began, 0)

    def read_head(self) -> None:
        """Check the raw head, and let h11 parse it once it is complete."""
        end = self.pending.find(HEAD_END)
        head = self.pending if end < 0 else self.pending[: end + len(HEAD_END)]
        problem = find_head_problem(head, self.limits().max_head_bytes)
        if problem is not None:
            self.reject(refuse(problem))
            return
        if end < 0:
            assert self.gate is not None
            self.gate.resume(PauseReason.PIPELINED)
            return
        data = bytes(self.pending)
        self.pending.clear()
        self.receive(data)
        self.bound_pending()

    def bound_pending(self) -> None:
        """Read no more while much waits for the request before it."""
        assert self.gate is not None
        if len(self.pending) > MAX_PIPELINED_BYTES:
            self.gate.pause(PauseReason.PIPELINED)
        else:
            self.gate.resume(PauseReason.PIPELINED)

    def receive(self, data: bytes) -> None:
        try:
            self.feed(data)
        except h11.RemoteProtocolError:
            # The text of the exception is left out: it quotes raw bytes of the request.
            self.reject(refuse("malformed_http"))

    def feed(self, data: bytes) -> None:
        """Parse data in pieces; what follows the request is kept for the next one."""
        for start in range(0, len(data), PARSE_BYTES):
            if self.phase is Phase.CLOSING:
                return
            if self.phase is Phase.RESPONSE:
                self.pending += data[start:]
                return
            self.http.receive_data(data[start : start + PARSE_BYTES])
            if self.parse_handle is None:
                self.parse()

    def parse(self) -> None:
        for _ in range(MAX_PIECES_PER_TURN):
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self.write_event(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                return
            match event:
                case h11.Request():
                    if not self.accept_head(event):
                        return
                case h11.Data():
                    self.body += event.data
                    if not self.accept_body_size(len(self.body)):
                        return
                case h11.EndOfMessage():
                    self.dispatch_request()
                    return
                case _:
                    return
        assert self.gate is not None
        self.gate.pause(PauseReason.UNPARSED)
        pause_s = self.gate.loop_time.pause_s(self.loop.time())
        self.parse_handle = self.loop.call_later(pause_s, self.continue_parsing)

    def continue_parsing(self) -> None:
        self.parse_handle = None
        if self.phase is not Phase.BODY or self.gate is None:
            return
        began = self.loop.time()
        self.set_timer(self.limits().head_timeout_s)
        try:
            self.parse()
        except h11.RemoteProtocolError:
            self.reject(refuse("malformed_http"))
        self.gate.record_step(began, 0)
        if self.parse_handle is None:
            self.gate.resume(PauseReason.UNPARSED)

    def accept_head(self, head: h11.Request) -> bool:
        self.head = head
        self.body = bytearray()
        self.phase = Phase.BODY
        self.set_timer(self.limits().head_timeout_s)
        lengths = 0
        chunked = False
        for name, value in head.headers:
            if name == b"content-length":
                lengths += 1
                if not self.accept_body_size(int(value)):
                    return False
            elif name == b"transfer-encoding":
                chunked = True
        if lengths and chunked:
            # A message with both framings allows request smuggling.
            self.reject(refuse("malformed_http"))
            return False
        return True

    def accept_body_size(self, size: int) -> bool:
        """Refuse the request if a body of this size is too large or finds no room."""
        if size > self.limits().max_body_bytes:
            self.reject(refuse("body_too_large"))
            return False
        if not self.body_memory.grow_to(size):
            self.reject(refuse("entry_overloaded", "", NO_ROOM_RETRY_AFTER_S))
            return False
        return True

    def dispatch_request(self) -> None:
        assert self.head is not None
        body = bytes(self.body)
        request = InboundRequest.from_head(self.head, body, self.arrived_at)
        self.body = bytearray()
        self.phase = Phase.RESPONSE
        self.response_started = False
        self.set_timer(None)
        self.pending += self.http.trailing_data[0]
        self.task = self.loop.create_task(self.run(request))

    async def run(self, request: InboundRequest) -> None:
        try:
            await self.handler(self, request)
        finally:
            self.task = None
            self.body_memory.release()
            self.finish_request()

    def finish_request(self) -> None:
        if self.phase is not Phase.RESPONSE:
            return
        if self.http.our_state is h11.MUST_CLOSE:
            self.phase = Phase.CLOSING
            self.close_after_response()
            return
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self.close()
            return
        # A new parser, since `read_head` validates the next head before h11 gets it.
        self.http = self.new_parser()
        self.phase = Phase.IDLE
        self.idle_since = self.loop.time()
        self.blank_bytes = 0
        if self.gate is not None:
            self.bound_pending()
        self.set_timer(self.limits().idle_timeout_s)
        if self.pending:
            # Start with the data that arrived during the response.
            self.data_received(b"")

    # Responses.

    @property
    def announces_close(self) -> bool:
        """Return whether the next response is the last one on this connection.

        A caller that has sent more requests is owed their answers too.
        """
        if self.phase is Phase.CLOSING or not self.last_request:
            return self.last_request
        return count_blank_bytes(self.pending) == len(self.pending)

    def reject(self, refusal: Refusal) -> None:
        """Refuse the request that is being read or has no answer yet, then close."""
        self.record_end(ClosedBy.ENTRY)
        self.last_request = True
        if self.task is not None:
            self.task.cancel()
        self.phase = Phase.CLOSING
        self.set_timer(None)
        self.body = bytearray()
        self.body_memory.release()
        self.on_refusal(self, refusal)

    def start(self, status: int, headers: Sequence[Header], flush: bool = True) -> None:
        """Write a response head; buffer it for the next write without ``flush``."""
        fields = encode_headers(headers)
        if self.announces_close:
            fields.append((b"Connection", b"close"))
        self.response_started = True
        self.write_event(h11.Response(status_code=status, headers=fields), flush)

    def write(self, data: bytes, flush: bool = True) -> None:
        """Write a piece of the body; buffer it for the next write without ``flush``."""
        self.write_event(h11.Data(data=data), flush)

    def finish(self) -> None:
        """End the response."""
        self.write_event(h11.EndOfMessage())

    def respond(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Write a complete response."""
        length = ("Content-Length", str(len(body)))
        self.start(status, [*headers, length], flush=False)
        if body and (self.head is None or self.head.method != b"HEAD"):
            self.write(body, flush=False)
        self.finish()
        if self.phase is Phase.CLOSING:
            self.close_after_response()

    def write_event(self, event: h11.Event, flush: bool = True) -> None:
        if self.output is None or not self.output.is_open:
            return
        try:
            data = self.http.send(event)
        except h11.LocalProtocolError:
            # h11 is in its error state and sends nothing more; only closing is left.
            self.output.transport.close()
            return
        self.output.write(data or b"", flush)

    async def drain(self) -> None:
        """Wait until the caller accepts more data.

        Raises ``CallerDisconnectedError`` when the connection is closed.
        """
        if self.output is None:
            raise CallerDisconnectedError
        await self.output.drain()

    def collect(self, size: int) -> None:
        """Accept up to ``size`` bytes of the answer before the caller reads them."""
        if self.output is not None and self.output.collect_bytes < size:
            self.output.collect(size)

    # Time-outs and closing.

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel hasn't accepted yet."""
        return self.output.unsent_bytes if self.output is not None else 0

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the number of written bytes that the caller's host may not have."""
        return unacknowledged_bytes(self.transport) if self.transport else 0

    @property
    def unanswered(self) -> bool:
        """Return whether a request was read completely and has no response so far."""
        return self.phase is Phase.RESPONSE and not self.response_started

    def set_timer(self, seconds: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds is not None:
            self.timer = self.loop.call_later(seconds, self.on_timeout)

    def on_timeout(self) -> None:
        match self.phase:
            case Phase.IDLE:
                self.close()
            case Phase.HEAD:
                self.reject(refuse("head_too_slow"))
            case Phase.BODY:
                self.reject(refuse("body_too_slow"))
            case Phase.CLOSING if self.unsent_bytes:
                self.set_timer(LINGER_S)
            case Phase.CLOSING:
                self.abort()

    def close_after_response(self) -> None:
        """Half-close, and close once the caller does or ``LINGER_S`` is over.

        What the caller still sends is read and dropped, as unread data would reset the
        connection before the caller has the response.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self.pending.clear()
        if self.gate is not None:
            self.gate.resume_all()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.set_timer(LINGER_S)

    @property
    def would_end_response(self) -> bool:
        """Return whether an orderly close makes an unfinished response look whole."""
        is_unfinished = self.http.our_state is h11.SEND_BODY
        return is_unfinished and self.http.their_http_version == HTTP_1_0

    def close(self) -> None:
        """Close once all written data has been sent."""
        if self.would_end_response:
            self.abort()
            return
        self.record_end(ClosedBy.ENTRY)
        self.phase = Phase.CLOSING
        self.set_timer(None)
        if self.unacknowledged_bytes:
            self.close_after_response()
            return
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response can't look complete."""
        self.record_end(ClosedBy.ENTRY)
        self.phase = Phase.CLOSING
        if self.transport is None:
            return
        if self.would_end_response:
            reset_at_close(self.transport)
        self.transport.abort()
