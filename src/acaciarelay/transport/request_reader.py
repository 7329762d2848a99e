"""Reading of requests from one connection: strict heads, bounded bodies, time-outs."""

import asyncio
from collections.abc import Callable

import h11

from acaciarelay.coordination.memory_budget import BodyMemory, MemoryBudget
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.request_head import (
    HEAD_END,
    count_blank_bytes,
    find_head_problem,
)
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.bounded_reads import BoundedReads
from acaciarelay.transport.connection_phase import Phase
from acaciarelay.transport.read_gate import PauseReason, ReadGate

__all__ = ["RequestReader"]

# Limit of pipelined data that is buffered; reading pauses above it.
MAX_PIPELINED_BYTES = 65_536
# Pieces of a body that are parsed without giving way to other tasks, and their bytes
# that the parser gets at once.
MAX_PIECES_PER_TURN = 64
PARSE_BYTES = 4_096
# Bytes of a chunk's head or of trailers that may be incomplete.
MAX_LINE_BYTES = 4_096
# Bytes of blank lines before a request that are ignored.
MAX_BLANK_BYTES = 64
# A larger head takes more than a millisecond to parse if it has many fields.
HEAVY_HEAD_BYTES = 2_048
# When a caller may send a body again for which there was no room; other callers' bodies
# stay for about as long as their requests.
NO_ROOM_RETRY_AFTER_S = 0.5


class RequestReader(BoundedReads):
    """Parse the requests of one connection with h11, one after another.

    ``dispatch_request`` is called with each complete request, and ``reject`` for input
    that is no valid request. The bodies of all connections with the same ``memory``
    share it.
    """

    def __init__(
        self, limits: Callable[[], CallerLimits], memory: MemoryBudget
    ) -> None:
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        # Present once the connection is open.
        self.gate: ReadGate | None = None
        self.http = self.new_parser()
        self.phase = Phase.IDLE
        self.pending = bytearray()
        # Bytes of blank lines since the last request.
        self.blank_bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        # What the body occupies until its request has ended.
        self.body_memory = BodyMemory(memory)
        # Present while parsing waits for the next turn of the event loop.
        self.parse_handle: asyncio.Handle | None = None
        self.arrived_at = 0.0

    def new_parser(self) -> h11.Connection:
        # Heads are complete when they are parsed.
        return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_LINE_BYTES)

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
        is_heavy = len(head) > HEAVY_HEAD_BYTES
        if is_heavy and self.postpone_head():
            return
        began = self.loop.time()
        data = bytes(self.pending)
        self.pending.clear()
        self.receive(data)
        self.bound_pending()
        if is_heavy and self.gate is not None:
            self.gate.loop_time.record_heavy(began, self.loop.time())

    def postpone_head(self) -> bool:
        """Return whether parsing the head waits for other tasks, after other heads."""
        assert self.gate is not None
        pause_s = self.gate.loop_time.heavy_pause_s(self.loop.time())
        if pause_s <= 0:
            return False
        self.parse_handle = self.loop.call_later(pause_s, self.continue_head)
        self.bound_pending()
        return True

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

    def next_request(self) -> None:
        """Begin with the data that has arrived behind the last request."""
        # A new parser, since `read_head` validates the next head before h11 gets it.
        self.http = self.new_parser()
        self.phase = Phase.IDLE
        self.blank_bytes = 0
        if self.gate is not None:
            self.bound_pending()
        self.set_timer(self.limits().idle_timeout_s)
        if self.pending:
            self.data_received(b"")

    def set_timer(self, seconds: float | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds is not None:
            self.timer = self.loop.call_later(seconds, self.on_timeout)

    def on_timeout(self) -> None:
        """Handle the end of the time of the current phase."""
        raise NotImplementedError

    def dispatch_request(self) -> None:
        """Handle the request in ``head`` and ``body``."""
        raise NotImplementedError

    def reject(self, refusal: Refusal) -> None:
        """Refuse the request that is being read, then close."""
        raise NotImplementedError

    def write_event(self, event: h11.Event, flush: bool = True) -> None:
        """Write a part of a response."""
        raise NotImplementedError
