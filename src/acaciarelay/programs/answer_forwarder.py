"""Forward an endpoint's answer to the caller, whole bodies and streams."""

import asyncio
from collections.abc import Callable

import h11

from acaciarelay.coordination.memory_budget import BodyMemory, MemoryBudget
from acaciarelay.platform.headers import answer_headers, decode_answer
from acaciarelay.programs.broken_answer import broken_by
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.stream_forwarder import StreamForwarder
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    ErrorResponse,
    RelayedRequest,
)
from acaciarelay.transport.endpoint_call import ConnectionFault, EndpointConnection
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["AnswerForwarder"]

# Bytes of a body that count as progress. Fewer within the time without progress are
# those of an endpoint that only keeps its connection busy.
MIN_PROGRESS_BYTES = 1024
MAX_ANSWER_BYTES = 16_777_216
# How long a whole body waits for room. Callers that read nothing are cut after 2 s if
# others need their room.
MAX_ROOM_WAIT_S = 2.5


class AnswerForwarder:
    """Forward answers from the end of their head on.

    Bodies that are collected before they are passed on share ``memory``; without one,
    they use the room that their caller's connection reserves. ``crashes`` learns which
    prompts endpoints answer, and ``on_begin`` is called before the first event of a
    stream is passed on.
    """

    def __init__(
        self,
        memory: MemoryBudget | None,
        crashes: CrashGuard,
        on_begin: Callable[[RelayedRequest], None],
    ) -> None:
        self.memory = memory
        self.crashes = crashes
        self.on_begin = on_begin
        self.loop = asyncio.get_running_loop()

    async def forward_body(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
        response: h11.Response,
        headers: list[Header],
    ) -> AttemptOutcome:
        """Forward an answer that is no stream, once its whole body is here."""
        memory: BodyMemory | _AnswerMemory = _AnswerMemory(caller_connection)
        if self.memory is not None:
            memory = BodyMemory(self.memory)
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self._forward_buffered(
                caller_connection,
                relayed,
                endpoint_connection,
                response,
                headers,
                memory,
            )
            return outcome
        finally:
            # An error response may be passed on after further attempts, from the room
            # of the caller's connection.
            if not isinstance(outcome, ErrorResponse) or self.memory is not None:
                memory.release()

    async def _forward_buffered(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
        response: h11.Response,
        headers: list[Header],
        memory: "BodyMemory | _AnswerMemory",
    ) -> AttemptOutcome:
        if isinstance(memory, _AnswerMemory):
            if not await memory.wait_for(_declared_bytes(response)):
                return Broken("no room for the answer")
        body = bytearray()
        progress_bytes = 0
        while True:
            match await endpoint_connection.next_event():
                case h11.Data(data=data):
                    body += data
                    if len(body) > MAX_ANSWER_BYTES:
                        return Broken("answer too large")
                    if not memory.grow_to(len(body)):
                        return Broken("no room for the answer")
                    if len(body) - progress_bytes >= MIN_PROGRESS_BYTES:
                        progress_bytes = len(body)
                        endpoint_connection.record_progress()
                case h11.EndOfMessage():
                    break
                case ConnectionFault() as fault:
                    return broken_by(fault)
        if not 200 <= response.status_code < 300:
            if not decode_answer(headers).sealed:
                return Broken(f"unsealed status {response.status_code}")
            return ErrorResponse(response.status_code, headers, bytes(body))
        if relayed.head_sent:
            return Broken("an answer that is no stream")
        relayed.first_event_at = relayed.last_event_at = self.loop.time()
        relayed.answer_received = True
        caller_connection.respond(response.status_code, answer_headers(headers), body)
        await caller_connection.drain()
        return Delivered()

    async def forward_stream(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
        status: int,
        headers: list[Header],
    ) -> AttemptOutcome:
        """Forward the events of a stream as they come."""
        forwarder = StreamForwarder(
            caller_connection,
            relayed,
            endpoint_connection,
            status,
            headers,
            self.crashes,
            self.on_begin,
        )
        return await forwarder.run()


def _declared_bytes(response: h11.Response) -> int:
    """Return the length of a body as its head states it, 0 if it doesn't."""
    for name, value in response.headers:
        if name == b"content-length":
            return min(int(value), MAX_ANSWER_BYTES)
    return 0


class _AnswerMemory:
    """The room of a caller's connection that a body under way occupies."""

    def __init__(self, caller_connection: InboundConnection) -> None:
        self.caller_connection = caller_connection
        self.size = 0

    async def wait_for(self, size: int) -> bool:
        """Occupy the whole size of a body; return false if it has no room in time.

        Bodies that wait hold nothing, as else they could wait for each other.
        """
        if self.grow_to(size):
            return True
        try:
            async with asyncio.timeout(MAX_ROOM_WAIT_S):
                await self.caller_connection.wait_for_room(size)
        except TimeoutError:
            return False
        self.size = size
        return True

    def grow_to(self, size: int) -> bool:
        """Occupy ``size`` bytes in total; change nothing and return false without room.

        A smaller size than before changes nothing.
        """
        if size <= self.size:
            return True
        if not self.caller_connection.try_reserve(size - self.size):
            return False
        self.size = size
        return True

    def release(self) -> None:
        """Give back what was not written to the connection."""
        self.caller_connection.drop_reserved(self.size)
