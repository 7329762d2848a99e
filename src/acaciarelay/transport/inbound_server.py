"""HTTP/1.1 server on h11 for callers: requests, responses and closing."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import h11

from acaciarelay.coordination.loop_budget import LoopBudget, Reader
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import Header, InboundRequest, encode_headers
from acaciarelay.protocol.request_head import count_blank_bytes
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.buffered_output import AnswerOutputs
from acaciarelay.transport.connection_phase import ClosedBy, Phase
from acaciarelay.transport.peer_watch import PeerWatch
from acaciarelay.transport.read_gate import ReadGate
from acaciarelay.transport.request_reader import RequestReader
from acaciarelay.transport.response_output import (
    CallerDisconnectedError,
    ResponseOutput,
)
from acaciarelay.transport.sockets import reset_at_close, unacknowledged_bytes

__all__ = [
    "CallerDisconnectedError",
    "InboundConnection",
    "InboundHandler",
]

# HTTP version in which a response of unknown length ends with its connection.
HTTP_1_0 = b"1.0"
# A caller whose host acknowledges nothing for this long is gone.
PEER_TIMEOUT_S = 8.0
# Time in which a caller reads a response that has no time limit of its own.
READ_LIMIT_S = 15.0
# Time in which a refused caller may finish sending, so that closing does not reset the
# connection before it has read the response.
LINGER_S = 1.0
# Bytes of a complete body that are framed and buffered at once.
BODY_PIECE_BYTES = 65_536
InboundHandler = Callable[["InboundConnection", InboundRequest], Awaitable[None]]
RefusalHandler = Callable[["InboundConnection", Refusal], None]


class InboundConnection(RequestReader):
    """Drive h11 as a server over one accepted connection.

    ``handler`` is awaited with each complete request and responds through this object;
    ``on_refusal`` is called for input that is no valid request. ``registry`` contains
    the connection while it is open. The bodies of all connections with the same
    ``memory`` share it, and reading takes its time from ``loop_budget``. With
    ``answers``, answers are buffered in their common budget until callers read them.
    """

    def __init__(
        self,
        handler: InboundHandler,
        on_refusal: RefusalHandler,
        limits: Callable[[], CallerLimits],
        registry: set["InboundConnection"],
        memory: MemoryBudget,
        loop_budget: LoopBudget,
        answers: AnswerOutputs | None = None,
    ) -> None:
        super().__init__(limits, memory)
        self.answers = answers
        self.handler = handler
        self.on_refusal = on_refusal
        self.registry = registry
        self.loop_budget = loop_budget
        # These three are present once the connection is open.
        self.output: ResponseOutput | None = None
        self.transport: asyncio.Transport | None = None
        self.peer_watch: PeerWatch | None = None
        # Event loop time after which a response that is not read is given up.
        self.read_until = 0.0
        # When the connection was opened, or its last response was written.
        self.idle_since = self.loop.time()
        self.task: asyncio.Task | None = None
        self.last_request = False
        # Called as soon as the caller is known to leave while a request is handled. The
        # task that handles it learns of it some turns of the event loop later.
        self.on_caller_gone: Callable[[], None] | None = None
        # Present once the connection ends.
        self.closed_by: ClosedBy | None = None
        self.response_started = False

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.registry.add(self)
        name = transport.get_extra_info("peername")
        loop_time = self.loop_budget.open(Reader.CALLER, name[0] if name else "")
        self.gate = ReadGate(transport, loop_time)
        if self.answers is None:
            self.output = ResponseOutput(transport)
        else:
            self.output = self.answers.open(transport)
        self.peer_watch = PeerWatch(transport, PEER_TIMEOUT_S, self.end_by_gone_peer)
        self.set_timer(self.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.discard(self)
        self.set_timer(None)
        self.phase = Phase.CLOSING
        is_timeout = isinstance(exc, TimeoutError)
        self.record_end(ClosedBy.NETWORK if is_timeout else ClosedBy.CALLER)
        if self.peer_watch is not None:
            self.peer_watch.close()
        if self.gate is not None:
            self.gate.close()
        if self.parse_handle is not None:
            self.parse_handle.cancel()
        if self.on_caller_gone is not None:
            self.on_caller_gone()
        if self.task is not None:
            self.task.cancel()
        self.body_memory.release()
        if self.output is not None:
            self.output.close()

    def end_by_gone_peer(self) -> None:
        """End a connection whose caller can't be reached any more."""
        self.record_end(ClosedBy.NETWORK)
        if self.transport is not None:
            self.transport.abort()

    def record_end(self, closed_by: ClosedBy) -> None:
        """Record who ends the connection, unless it was ended before."""
        if self.closed_by is None:
            self.closed_by = closed_by

    def eof_received(self) -> bool:
        """End the request of a caller that leaves.

        The transport closes only once the caller has read what was written, which it
        may never do.
        """
        if self.task is not None:
            self.phase = Phase.CLOSING
            self.record_end(ClosedBy.CALLER)
            if self.on_caller_gone is not None:
                self.on_caller_gone()
            self.task.cancel()
        return False

    def pause_writing(self) -> None:
        if self.output is not None:
            self.output.pause()

    def resume_writing(self) -> None:
        if self.output is not None:
            self.output.resume()
        if self.peer_watch is not None:
            self.peer_watch.record_write()

    # Requests.

    def dispatch_request(self) -> None:
        assert self.head is not None
        body = bytes(self.body)
        request = InboundRequest.from_head(self.head, body, self.arrived_at)
        self.body = bytearray()
        self.phase = Phase.RESPONSE
        self.response_started = False
        self.read_until = self.loop.time() + READ_LIMIT_S
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
        """Go on after a response, once it has no backlog."""
        if self.phase is not Phase.RESPONSE:
            return
        if self.output is not None and self.output.call_when_flushed(
            self.finish_request
        ):
            self.set_timer(max(0.0, self.read_until - self.loop.time()))
            return
        self.set_timer(None)
        if self.http.our_state is h11.MUST_CLOSE:
            self.phase = Phase.CLOSING
            self.close_after_response()
            return
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            self.close()
            return
        self.idle_since = self.loop.time()
        self.next_request()

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

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes | bytearray
    ) -> None:
        """Write a complete response."""
        length = ("Content-Length", str(len(body)))
        self.start(status, [*headers, length], flush=False)
        if body and (self.head is None or self.head.method != b"HEAD"):
            self.write_body(body)
        self.finish()
        if self.phase is Phase.CLOSING:
            self.close_after_response()

    def write_body(self, body: bytes | bytearray) -> None:
        """Write a complete body, in pieces where it is buffered outside the transport.

        A single piece would be copied several times.
        """
        if self.answers is None:
            self.write(bytes(body), flush=False)
            return
        for start in range(0, len(body), BODY_PIECE_BYTES):
            self.write(bytes(body[start : start + BODY_PIECE_BYTES]))

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
        if flush and self.peer_watch is not None:
            self.peer_watch.record_write()

    def allow_reading_until(self, deadline: float) -> None:
        """Let the caller read the response up to its time limit, an event loop time."""
        self.read_until = max(self.read_until, deadline)

    async def drain(self) -> None:
        """Wait until the caller accepts more data.

        Raises ``CallerDisconnectedError`` when the connection is closed.
        """
        if self.output is None:
            raise CallerDisconnectedError
        await self.output.drain()

    def try_reserve(self, size: int) -> bool:
        """Reserve room for a piece of an answer; return false without room."""
        return self.output is None or self.output.try_reserve(size)

    async def wait_for_room(self, size: int) -> None:
        """Wait until there is room for a piece of an answer.

        Raises ``CallerDisconnectedError`` when the connection is closed.
        """
        if self.output is None:
            raise CallerDisconnectedError
        await self.output.wait_for_room(size)

    def drop_reserved(self, size: int | None = None) -> None:
        """Give back room that no piece needs, by default all that is reserved."""
        if self.output is not None:
            self.output.drop_reserved(size)

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
        if self.transport is None or self.output is None:
            return 0
        return unacknowledged_bytes(self.transport) + self.output.backlog_bytes

    @property
    def unanswered(self) -> bool:
        """Return whether a request was read completely and has no response so far."""
        return self.phase is Phase.RESPONSE and not self.response_started

    def on_timeout(self) -> None:
        match self.phase:
            case Phase.IDLE:
                self.close()
            case Phase.HEAD:
                self.reject(refuse("head_too_slow"))
            case Phase.BODY:
                self.reject(refuse("body_too_slow"))
            case Phase.RESPONSE:
                self.reset()
            case Phase.CLOSING if self.unsent_bytes:
                if self.loop.time() >= self.read_until:
                    self.reset()
                    return
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
        if self.output is not None and self.transport.can_write_eof():
            self.output.write_eof()
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

    def reset(self) -> None:
        """Reset the connection; what the caller has not read yet is lost."""
        self.record_end(ClosedBy.ENTRY)
        self.phase = Phase.CLOSING
        if self.transport is not None:
            reset_at_close(self.transport)
            self.transport.abort()

    def close_at_exit(self) -> None:
        """Close before the process ends, by a reset if a buffered answer is cut."""
        if self.answers is not None and self.unsent_bytes:
            self.reset()
        else:
            self.close()
