"""Forward an endpoint's answer to the caller, whole bodies and streams."""

import asyncio

import h11

from acaciarelay.coordination.memory_budget import BodyMemory, MemoryBudget
from acaciarelay.platform.headers import answer_headers, decode_answer
from acaciarelay.programs.crash_guard import MIN_EVENTS_BEGUN, CrashGuard
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    ErrorResponse,
    RelayedRequest,
)
from acaciarelay.transport.endpoint_call import (
    ConnectionFault,
    EndpointConnection,
    FaultKind,
)
from acaciarelay.transport.event_stream import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
)
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["AnswerForwarder", "broken_by"]

# Bytes of a body that count as progress. Fewer within the time without progress are
# those of an endpoint that only keeps its connection busy.
MIN_PROGRESS_BYTES = 1024
MAX_ANSWER_BYTES = 16_777_216
# Faults with which a connection ends when its endpoint does; an answer that is cut off
# is malformed.
DISCONNECTIONS = frozenset([FaultKind.RESET, FaultKind.CLOSED, FaultKind.MALFORMED])


class AnswerForwarder:
    """Forward answers from the end of their head on.

    Bodies that are collected before they are passed on share ``memory``. ``crashes``
    learns which prompts endpoints answer.
    """

    def __init__(self, memory: MemoryBudget, crashes: CrashGuard) -> None:
        self.memory = memory
        self.crashes = crashes
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
        memory = BodyMemory(self.memory)
        try:
            return await self._forward_buffered(
                caller_connection,
                relayed,
                endpoint_connection,
                response,
                headers,
                memory,
            )
        finally:
            memory.release()

    async def _forward_buffered(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
        response: h11.Response,
        headers: list[Header],
        memory: BodyMemory,
    ) -> AttemptOutcome:
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
        relayed.first_event_at = self.loop.time()
        caller_connection.respond(
            response.status_code, answer_headers(headers), bytes(body)
        )
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
        """Forward complete events to the caller.

        The HTTP head is sent once, so a resumed stream keeps the head that an earlier
        attempt sent.
        """
        splitter = EventSplitter()
        while True:
            match await endpoint_connection.next_event():
                case h11.Data(data=data):
                    began = self.loop.time()
                    try:
                        events = splitter.feed(bytes(data))
                    except EventTooLargeError:
                        return Broken("event too large")
                    self.count_events(relayed, len(events))
                    unsent = self.unsent_events(relayed, events)
                    if unsent is None:
                        return Broken("events out of order")
                    if not unsent:
                        continue
                    endpoint_connection.record_progress()
                    if not relayed.head_sent:
                        relayed.head_sent = True
                        relayed.first_event_at = self.loop.time()
                        caller_connection.start(
                            status, answer_headers(headers), flush=False
                        )
                    # When the end of the answer is already here, the last events are
                    # written together with it.
                    last = (
                        bool(endpoint_connection.events)
                        and not splitter.has_partial_event
                    )
                    last = last and isinstance(
                        endpoint_connection.events[0], h11.EndOfMessage
                    )
                    caller_connection.write(
                        b"".join(event.data for event in unsent), flush=not last
                    )
                    endpoint_connection.loop_time.spend(
                        self.loop.time() - began, len(data)
                    )
                    if not last:
                        await caller_connection.drain()
                case h11.EndOfMessage():
                    if splitter.has_partial_event:
                        return Broken("stream ended inside an event")
                    if not relayed.head_sent:
                        relayed.head_sent = True
                        caller_connection.start(status, answer_headers(headers))
                    caller_connection.finish()
                    return Delivered()
                case ConnectionFault() as fault:
                    return broken_by(fault)

    def count_events(self, relayed: RelayedRequest, count: int) -> None:
        """Count events of the current attempt; a begun answer shows a benign prompt."""
        before = relayed.events_received
        relayed.events_received += count
        if before < MIN_EVENTS_BEGUN <= relayed.events_received:
            self.crashes.run_benign(relayed)

    def unsent_events(
        self, relayed: RelayedRequest, events: list[StreamEvent]
    ) -> list[StreamEvent] | None:
        """Return the events to forward, and advance ``relayed.last_event`` past them.

        Events up to ``relayed.last_event`` are dropped; those without a number are
        always forwarded. Returns ``None`` when an event number is missing.
        """
        unsent = []
        for event in events:
            if event.number is None:
                unsent.append(event)
                continue
            if relayed.last_event is not None:
                if event.number <= relayed.last_event:
                    continue
                if event.number != relayed.last_event + 1:
                    return None
            relayed.last_event = event.number
            unsent.append(event)
        return unsent


def broken_by(fault: ConnectionFault) -> Broken:
    """Return the outcome of an attempt that ended with a fault."""
    return Broken(
        str(fault),
        disconnected=fault.kind in DISCONNECTIONS,
        silent=fault.kind is FaultKind.SILENT,
    )
