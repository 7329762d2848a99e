"""Single attempts: send a request to an endpoint and forward the answer."""

import asyncio
import time
from collections.abc import Callable

import h11
from result import Err, Ok

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.memory_budget import BodyMemory, MemoryBudget
from acaciarelay.platform.headers import (
    AnswerTraits,
    answer_headers,
    decode_answer,
    endpoint_headers,
)
from acaciarelay.programs.crash_guard import MIN_EVENTS_BEGUN, CrashGuard
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.http_message import Header, InboundRequest
from acaciarelay.state.endpoints import Endpoint, EndpointList
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    ErrorResponse,
    Evidence,
    NotRun,
    RelayedRequest,
)
from acaciarelay.transport.endpoint_call import (
    ConnectionFault,
    EndpointConnection,
    FaultKind,
    connect,
)
from acaciarelay.transport.event_stream import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
)
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["Attempts"]

CONNECT_TIMEOUT_S = 0.6
# Time without progress after which an attempt may be abandoned: a fraction of the
# route's timeout, up to an upper bound.
STALL_FRACTION = 0.5
MAX_STALL_S = 1.0
# Bytes of a body that count as progress. Fewer within the time without progress are
# those of an endpoint that only keeps its connection busy.
MIN_PROGRESS_BYTES = 1024
# Weights of failures in the endpoint's health; other failures have weight 1. An address
# that now belongs to another endpoint has the greatest weight, since the intended
# endpoint is no longer there.
DECLINED_WEIGHT = 0.5
CONNECT_FAILED_WEIGHT = 2.0
WRONG_ENDPOINT_WEIGHT = 5.0
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
WRONG_ENDPOINT = "another endpoint has the address"
MAX_ANSWER_BYTES = 16_777_216
# Faults with which a connection ends when its endpoint does; an answer that is cut off
# is malformed.
DISCONNECTIONS = frozenset([FaultKind.RESET, FaultKind.CLOSED, FaultKind.MALFORMED])


class Attempts:
    """Make attempts and record their outcomes in the health of the endpoints.

    ``may_abandon`` returns whether an attempt at a stalled endpoint may be abandoned.
    Answers that are collected before they are passed on share ``memory``. ``crashes``
    learns which prompts endpoints answer and which runs they broke off, and
    ``endpoints`` which of them leave.
    """

    def __init__(
        self,
        health: EndpointHealth,
        may_abandon: Callable[[RelayedRequest], bool],
        memory: MemoryBudget,
        crashes: CrashGuard,
        endpoints: EndpointList,
    ) -> None:
        self.endpoints = endpoints
        self.crashes = crashes
        self.health = health
        self.may_abandon = may_abandon
        self.memory = memory
        self.loop = asyncio.get_running_loop()

    async def attempt(
        self,
        caller_connection: InboundConnection,
        request: InboundRequest,
        relayed: RelayedRequest,
        endpoint: Endpoint,
    ) -> AttemptOutcome:
        """Send the request to one endpoint and forward its answer to the caller."""
        relayed.tried.add(endpoint.endpoint_id)
        relayed.endpoint = endpoint
        match await connect(endpoint.address, CONNECT_TIMEOUT_S):
            case Err(fault):
                self.health.record_failure(
                    endpoint.endpoint_id, time.monotonic(), CONNECT_FAILED_WEIGHT
                )
                return NotRun(f"connect: {fault.detail}", False)
            case Ok(endpoint_connection):
                pass
        stats = self.health.stats(endpoint.endpoint_id)
        stats.in_flight += 1
        try:
            headers = endpoint_headers(
                relayed.traits,
                host=request.header("host") or "",
                body_bytes=len(request.body) if request.has_body else None,
                endpoint_id=endpoint.endpoint_id,
                organisation=relayed.organisation.name
                if relayed.organisation
                else None,
                time_left_s=relayed.deadline - self.loop.time(),
                after_event=relayed.last_event,
            )
            evidence_before = relayed.evidence
            relayed.run_count += 1
            relayed.events_received = 0
            relayed.evidence = Evidence.MAY_HAVE_RUN
            relayed.sent_at = self.loop.time()
            relayed.first_sent_at = relayed.first_sent_at or relayed.sent_at
            endpoint_connection.send(
                request.method, request.target, headers, request.body
            )
            endpoint_connection.abort_when_stalled(
                min(MAX_STALL_S, STALL_FRACTION * relayed.route.timeout_s),
                lambda: self.may_abandon(relayed),
            )
            outcome = await self.read_answer(
                caller_connection, relayed, endpoint_connection
            )
            if isinstance(outcome, NotRun):
                relayed.run_count -= 1
                relayed.evidence = (
                    Evidence.DECLINED
                    if evidence_before is Evidence.NOT_SENT
                    else evidence_before
                )
        finally:
            stats.in_flight -= 1
            endpoint_connection.close()
        self.record_outcome(relayed, outcome)
        return outcome

    def record_outcome(self, relayed: RelayedRequest, outcome: AttemptOutcome) -> None:
        assert relayed.endpoint is not None
        now = time.monotonic()
        match outcome:
            case Delivered():
                self.health.record_success(relayed.endpoint.endpoint_id, now)
                self.crashes.run_sound(relayed)
            case ErrorResponse(status=status) if status < 500:
                self.health.record_success(relayed.endpoint.endpoint_id, now)
            case NotRun(reason=reason):
                wrong_endpoint = reason == WRONG_ENDPOINT
                weight = WRONG_ENDPOINT_WEIGHT if wrong_endpoint else DECLINED_WEIGHT
                self.health.record_failure(relayed.endpoint.endpoint_id, now, weight)
            case Broken(disconnected=True):
                self.health.record_failure(relayed.endpoint.endpoint_id, now)
                self.crashes.run_broken(relayed)
            case _:
                self.health.record_failure(relayed.endpoint.endpoint_id, now)

    async def read_answer(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
    ) -> AttemptOutcome:
        event = await endpoint_connection.next_event()
        if isinstance(event, ConnectionFault):
            return _broken_by(event)
        assert isinstance(event, h11.Response)
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        ]
        traits = decode_answer(headers)
        self.record_load(relayed, traits)
        mismatched = traits.request_id not in (None, relayed.traits.request_id)
        if mismatched:
            return Broken("foreign answer")
        declined = traits.not_run or event.status_code == MISDIRECTED_STATUS
        if declined and traits.request_id is None:
            # It may refer to another request, so that this one may run.
            return Broken("refusal without a request id")
        if event.status_code == MISDIRECTED_STATUS:
            return NotRun(WRONG_ENDPOINT, True)
        self.record_leaving(relayed, traits)
        if event.status_code == UNAVAILABLE_STATUS:
            self.record_deferral(relayed, traits)
        if traits.not_run:
            return NotRun(f"declined with {event.status_code}", True)
        succeeded = 200 <= event.status_code < 300
        # An answer with a content encoding is rejected like one without a seal.
        if succeeded and (not traits.sealed or traits.encoded):
            return Broken("success without a seal")
        if succeeded and relayed.route.streaming:
            return await self.forward_stream(
                caller_connection,
                relayed,
                endpoint_connection,
                event.status_code,
                headers,
            )
        memory = BodyMemory(self.memory)
        try:
            return await self.forward_buffered(
                caller_connection, relayed, endpoint_connection, event, headers, memory
            )
        finally:
            memory.release()

    def record_leaving(self, relayed: RelayedRequest, traits: AnswerTraits) -> None:
        endpoint = relayed.endpoint
        if not traits.leaving or endpoint is None:
            return
        if self.endpoints.mark_leaving(endpoint):
            log_event("endpoint_leaves", endpoint=endpoint.endpoint_id)

    def record_deferral(self, relayed: RelayedRequest, traits: AnswerTraits) -> None:
        if traits.retry_after_s is None or relayed.endpoint is None:
            return
        endpoint_id = relayed.endpoint.endpoint_id
        self.health.defer(endpoint_id, time.monotonic() + traits.retry_after_s)
        log_event("endpoint_defers", endpoint=endpoint_id, pause_s=traits.retry_after_s)

    def record_load(self, relayed: RelayedRequest, traits: AnswerTraits) -> None:
        if traits.load_text is None or relayed.endpoint is None:
            return
        endpoint_id = relayed.endpoint.endpoint_id
        load = traits.load
        if load is None:
            log_event("load_unreadable", endpoint=endpoint_id, load=traits.load_text)
            return
        self.health.record_load(
            endpoint_id, load.running + load.waiting, load.slowdown, time.monotonic()
        )

    async def forward_buffered(
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
                    return _broken_by(fault)
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
                    return _broken_by(fault)

    def count_events(self, relayed: RelayedRequest, count: int) -> None:
        """Count events of the current attempt; a begun answer shows a sound prompt."""
        before = relayed.events_received
        relayed.events_received += count
        if before < MIN_EVENTS_BEGUN <= relayed.events_received:
            self.crashes.run_sound(relayed)

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


def _broken_by(fault: ConnectionFault) -> Broken:
    return Broken(str(fault), fault.kind in DISCONNECTIONS)
