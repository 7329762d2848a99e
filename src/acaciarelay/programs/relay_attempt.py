"""Single attempts: send a request to an endpoint and forward the answer."""

import asyncio
import time
from collections.abc import Callable

import h11
from result import Err, Ok

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.platform.headers import (
    AnswerTraits,
    decode_answer,
    endpoint_headers,
)
from acaciarelay.programs.answer_forwarder import AnswerForwarder
from acaciarelay.programs.broken_answer import broken_by
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.rollouts import Rollouts
from acaciarelay.programs.running_attempts import RunningAttempt
from acaciarelay.protocol.http_message import InboundRequest
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
from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay.transport.sockets import limit_unread_bytes

__all__ = ["Attempts", "is_declined"]

CONNECT_TIMEOUT_S = 0.6
# Time without progress after which an attempt is stalled: a fraction of the route's
# timeout, up to an upper bound.
STALL_FRACTION = 0.5
MAX_STALL_S = 1.0
# Weights of failures in the endpoint's health; other failures have weight 1. An address
# that now belongs to another endpoint has the greatest weight, since the intended
# endpoint is no longer there.
DECLINED_WEIGHT = 0.5
CONNECT_FAILED_WEIGHT = 2.0
WRONG_ENDPOINT_WEIGHT = 5.0
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
WRONG_ENDPOINT = "another endpoint has the address"


class Attempts:
    """Make attempts and record their outcomes in the health of the endpoints.

    ``on_stall`` is called again and again while an attempt is stalled. Answers that are
    collected before they are passed on share ``memory``, and reading all answers takes
    its time from ``loop_budget``. ``crashes`` learns which
    prompts endpoints answer and which runs they broke off, ``endpoints`` which of them
    leave, and ``rollouts`` how the versions on trial answer. ``on_begin`` is called
    before the first event of a stream is passed on. With ``slow_peers``,
    bodies are sent as fast as endpoints read them, and answers share the memory of the
    callers' connections.
    """

    def __init__(
        self,
        health: EndpointHealth,
        on_stall: Callable[[RelayedRequest, EndpointConnection], None],
        memory: MemoryBudget,
        loop_budget: LoopBudget,
        crashes: CrashGuard,
        endpoints: EndpointList,
        slow_peers: bool,
        on_begin: Callable[[RelayedRequest], None],
        rollouts: Rollouts | None = None,
    ) -> None:
        self.slow_peers = slow_peers
        self.rollouts = rollouts
        self.endpoints = endpoints
        self.crashes = crashes
        self.health = health
        self.loop_budget = loop_budget
        self.on_stall = on_stall
        self.forwarder = AnswerForwarder(
            None if slow_peers else memory, crashes, on_begin
        )
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
        stats = self.health.stats(endpoint.endpoint_id)
        stats.in_flight += 1
        stats.chosen_at = time.monotonic()
        try:
            return await self.call(caller_connection, request, relayed, endpoint)
        finally:
            stats.in_flight -= 1

    async def call(
        self,
        caller_connection: InboundConnection,
        request: InboundRequest,
        relayed: RelayedRequest,
        endpoint: Endpoint,
    ) -> AttemptOutcome:
        called_at = time.monotonic()
        match await connect(endpoint.address, CONNECT_TIMEOUT_S, self.loop_budget):
            case Err(fault):
                self.record_connect_failure(endpoint, fault, called_at)
                return NotRun(f"connect: {fault.detail}", False)
            case Ok(endpoint_connection):
                pass
        outcome: AttemptOutcome | None = None
        running: RunningAttempt | None = None
        ends = self.end_with_caller(caller_connection, relayed, endpoint_connection)
        try:
            if self.loop.time() >= relayed.deadline:
                raise TimeoutError
            # A caller's own wish is forwarded as it is.
            repeat_last = relayed.run_count > 0
            headers = endpoint_headers(
                relayed.traits,
                host=request.header("host") or "",
                body_bytes=len(request.body) if request.has_body else None,
                endpoint_id=endpoint.endpoint_id,
                organisation=relayed.organisation.name
                if relayed.organisation
                else None,
                time_left_s=relayed.deadline - self.loop.time(),
                after_event=relayed.position.start_run(repeat_last),
            )
            evidence_before = relayed.evidence
            relayed.run_count += 1
            relayed.events_received = 0
            relayed.evidence = Evidence.MAY_HAVE_RUN
            relayed.sent_at = self.loop.time()
            relayed.first_sent_at = relayed.first_sent_at or relayed.sent_at
            send = endpoint_connection.send
            if self.slow_peers and endpoint_connection.transport is not None:
                limit_unread_bytes(endpoint_connection.transport)
                send = endpoint_connection.send_as_read
            send(request.method, request.target, headers, request.body)
            if self.rollouts is not None:
                running = self.rollouts.sent(relayed, endpoint)
            endpoint_connection.watch_progress(
                min(MAX_STALL_S, STALL_FRACTION * relayed.route.timeout_s),
                lambda: self.stalled(relayed, endpoint, endpoint_connection),
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
            ends.cancel()
            caller_connection.on_caller_gone = None
            endpoint_connection.close()
            if self.rollouts is not None and running is not None:
                self.rollouts.ended(running, outcome)
        self.record_outcome(relayed, outcome)
        return outcome

    def end_with_caller(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
    ) -> asyncio.TimerHandle:
        """Close the connection at the deadline, or when the caller leaves.

        This task is cancelled then, too, but takes further turns of the event loop to
        get to close it, while the request runs on at the endpoint.
        """
        caller_connection.on_caller_gone = endpoint_connection.close
        return self.loop.call_at(relayed.deadline, endpoint_connection.close)

    def record_connect_failure(
        self, endpoint: Endpoint, fault: ConnectionFault, called_at: float
    ) -> None:
        endpoint_id, now = endpoint.endpoint_id, time.monotonic()
        if fault.kind is FaultKind.CONNECT_TIMEOUT:
            self.health.record_silence(endpoint_id, called_at, now)
        else:
            self.health.record_failure(endpoint_id, now, CONNECT_FAILED_WEIGHT)

    def stalled(
        self,
        relayed: RelayedRequest,
        endpoint: Endpoint,
        endpoint_connection: EndpointConnection,
    ) -> None:
        now = time.monotonic()
        since = now - endpoint_connection.stalled_s
        self.health.record_silence(endpoint.endpoint_id, since, now)
        self.on_stall(relayed, endpoint_connection)

    def record_outcome(self, relayed: RelayedRequest, outcome: AttemptOutcome) -> None:
        assert relayed.endpoint is not None
        endpoint_id, now = relayed.endpoint.endpoint_id, time.monotonic()
        match outcome:
            case Delivered():
                self.health.record_success(endpoint_id, now)
                self.crashes.run_benign(relayed)
            case ErrorResponse(status=status) if status < 500:
                self.health.record_success(endpoint_id, now)
            case NotRun(reason=reason):
                wrong_endpoint = reason == WRONG_ENDPOINT
                weight = WRONG_ENDPOINT_WEIGHT if wrong_endpoint else DECLINED_WEIGHT
                self.health.record_failure(endpoint_id, now, weight)
            case Broken(silent=True) if self.health.stats(endpoint_id).silent:
                # Recorded as soon as the attempt was stalled.
                return
            case Broken(disconnected=True):
                self.health.record_failure(endpoint_id, now)
                self.crashes.run_broken(relayed)
            case _:
                self.health.record_failure(endpoint_id, now)

    async def read_answer(
        self,
        caller_connection: InboundConnection,
        relayed: RelayedRequest,
        endpoint_connection: EndpointConnection,
    ) -> AttemptOutcome:
        event = await endpoint_connection.next_event()
        if isinstance(event, ConnectionFault):
            return broken_by(event)
        assert isinstance(event, h11.Response)
        assert relayed.endpoint is not None
        self.health.record_answer(relayed.endpoint.endpoint_id, time.monotonic())
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
            return await self.forwarder.forward_stream(
                caller_connection,
                relayed,
                endpoint_connection,
                event.status_code,
                headers,
            )
        return await self.forwarder.forward_body(
            caller_connection, relayed, endpoint_connection, event, headers
        )

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


def is_declined(outcome: AttemptOutcome) -> bool:
    """Return whether the intended endpoint did not take the request."""
    if not isinstance(outcome, NotRun):
        return False
    return outcome.received and outcome.reason != WRONG_ENDPOINT
