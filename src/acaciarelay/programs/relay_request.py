"""Relay requests: admit, place, send, and decide what each outcome allows."""

import asyncio
import contextlib
import random
import time

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.place_asker import PlaceAsker
from acaciarelay.coordination.retry_share import RetryShare
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.exchange import answer_headers, decode_request_id
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_admission import Admission
from acaciarelay.programs.relay_attempt import Attempts
from acaciarelay.programs.relay_beliefs import Beliefs
from acaciarelay.programs.relay_placement import Placement, Placer
from acaciarelay.programs.relay_refusal import respond_refusal
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.state.relay_run import (
    Answered,
    AttemptOutcome,
    Broken,
    Delivered,
    NotRun,
    RelayRun,
)
from acaciarelay.transport.front_server import (
    CallerGone,
    FrontConnection,
    FrontRequest,
)

__all__ = ["RequestRelay"]

# Endpoints that may decline one request before it is refused.
MAX_DECLINED = 3
# A process that started less than this ago lets requests wait for its first
# configuration, each for so long at most.
STARTING_S = 1.0
FIRST_CONFIGURATION_S = 0.25


class RequestRelay:
    """Serve requests with the beliefs and shares of one entry."""

    def __init__(
        self,
        beliefs: Beliefs,
        usage: UsageLedger,
        retries: RetryShare,
        health: EndpointHealth,
        asker: PlaceAsker,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.beliefs = beliefs
        self.admission = Admission(beliefs, usage, rng)
        self.retries = retries
        self.metrics = metrics
        self.asker = asker
        self.placer = Placer(beliefs, health, asker, retries)
        self.attempts = Attempts(health, self.may_leave)
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.configured = asyncio.Event()
        beliefs.on_configuration.append(self.configured.set)

    async def handle(self, connection: FrontConnection, request: FrontRequest) -> None:
        """Answer one request."""
        if self.beliefs.routing is None:
            await self.wait_for_configuration()
        admitted = self.admission.admit(request)
        if not isinstance(admitted, RelayRun):
            self.refuse(connection, admitted, request)
            return
        run = admitted
        try:
            async with asyncio.timeout_at(run.limit_at):
                refusal = await self.serve(connection, request, run)
        except TimeoutError:
            refusal = self.timed_out(run)
        except (CallerGone, asyncio.CancelledError):
            self.end(run, "caller_gone", None)
            if run.refusable:
                self.admission.refund(run)
            raise
        self.conclude(connection, run, refusal)

    async def wait_for_configuration(self) -> None:
        """Wait for the first configuration, which comes soon after the start."""
        if self.loop.time() - self.started_at > STARTING_S:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CONFIGURATION_S):
                await self.configured.wait()

    # Attempts.

    async def serve(
        self, connection: FrontConnection, request: FrontRequest, run: RelayRun
    ) -> Refusal | None:
        """Try endpoints until the request is answered or must be given up."""
        self.retries.first(run.service, time.monotonic())
        while True:
            placement = await self.placer.place(run)
            if placement is None:
                return self.give_up(run, "shed")
            try:
                denied = self.admission.denied_since(run)
                if denied is not None:
                    return self.give_up(run, denied)
                if run.first_sent_at is not None and not self.retries.spend(
                    run.service, time.monotonic()
                ):
                    return self.give_up(run, "retry_budget_spent")
                outcome = await self.attempts.attempt(
                    connection, request, run, placement.endpoint
                )
                if isinstance(outcome, Delivered) and run.runs == 1:
                    placement.end(run)
            finally:
                placement.end()
            run.steps.append(_describe(outcome, placement))
            match outcome:
                case Delivered():
                    return None
                case NotRun(reason=reason, arrived=arrived):
                    run.declined += 1 if arrived else 0
                    if run.declined > MAX_DECLINED:
                        return self.give_up(run, "shed")
                case Broken(reason=reason):
                    if not self.may_repeat(run):
                        return self.give_up(run, "outcome_unknown")
                    self.metrics.count("retries_total", reason=reason.split(":")[0])
                case Answered():
                    run.failure = outcome
                    if outcome.status < 500 or not self.may_repeat(run):
                        return self.give_up(run, "endpoint_failed")
                    self.metrics.count("retries_total", reason="endpoint_failed")

    def may_repeat(self, run: RelayRun) -> bool:
        return run.repeatable and run.runs < run.route.max_attempts

    def may_leave(self, run: RelayRun) -> bool:
        """Return whether a request may leave its silent endpoint.

        It may when another endpoint can take it, or when the agent on the endpoint's
        machine is silent too: then the caller is told at once that nothing will come.
        """
        if self.may_move(run):
            return True
        host = run.endpoint.host if run.endpoint is not None else ""
        return self.asker.silent(host, self.loop.time())

    def may_move(self, run: RelayRun) -> bool:
        """Return whether a request may leave its endpoint for another one."""
        if not self.may_repeat(run):
            return False
        if not self.retries.allows(run.service, time.monotonic()):
            return False
        for endpoint in self.beliefs.endpoints.of_service(run.service):
            if endpoint.endpoint_id not in run.tried:
                return True
        return False

    # Ending.

    def give_up(self, run: RelayRun, code: str) -> Refusal:
        """Choose the truthful refusal for a request that ends without an answer."""
        if run.refusable:
            if code in ("outcome_unknown", "endpoint_failed"):
                code = "shed"
            return refuse(code, "", self.retry_after(run))
        if code != "endpoint_failed":
            code = "outcome_unknown"
        return refuse(code)

    def timed_out(self, run: RelayRun) -> Refusal:
        if run.refusable:
            return refuse("shed", "the time limit passed", self.retry_after(run))
        return refuse("outcome_late")

    def retry_after(self, run: RelayRun) -> float:
        """Return when a place is likely to be free, within a third of the time left."""
        left_s = max(0.0, run.limit_at - self.loop.time())
        return min(left_s / 3, self.placer.relief_s(run))

    def conclude(
        self, connection: FrontConnection, run: RelayRun, refusal: Refusal | None
    ) -> None:
        """Answer the caller where no endpoint's answer was passed on."""
        if refusal is None:
            self.end(run, "delivered", None)
            return
        self.end(run, "refused" if run.refusable else "failed", refusal)
        if run.refusable:
            self.admission.refund(run)
        if run.head_sent:
            connection.abort()
            return
        if run.failure is not None and not run.refusable:
            headers = answer_headers(run.failure.headers)
            connection.respond(run.failure.status, headers, run.failure.body)
            return
        respond_refusal(connection, refusal, run.traits.request_id)

    def refuse(
        self, connection: FrontConnection, refusal: Refusal, request: FrontRequest
    ) -> None:
        request_id = decode_request_id(request.headers)
        self.count_refusal(refusal, -1)
        routing = self.beliefs.routing
        log_event(
            "request_refused",
            request_id=request_id,
            code=refusal.code.name,
            target=request.target,
            configuration=routing.version if routing else None,
        )
        respond_refusal(connection, refusal, request_id)

    def count_refusal(self, refusal: Refusal, rank: int) -> None:
        self.metrics.count(
            "refusals_total",
            code=refusal.code.number,
            reason=refusal.code.name,
            tier=rank,
            organisation_class="",
        )

    def end(self, run: RelayRun, outcome: str, refusal: Refusal | None) -> None:
        """Log and count the end of a request."""
        now = self.loop.time()
        if refusal is not None:
            self.count_refusal(refusal, run.rank)
        self.metrics.count(
            "requests_total", tier=run.rank, organisation_class="", outcome=outcome
        )
        stages = {"queue": run.first_sent_at, "first": run.first_event_at, "whole": now}
        for stage, at in stages.items():
            if at is not None:
                self.metrics.observe(
                    "stage_seconds",
                    at - run.arrived_at,
                    route=run.route.name,
                    stage=stage,
                )
        log_event(
            "request_ended",
            request_id=run.traits.request_id,
            outcome=outcome,
            code=refusal.code.name if refusal else None,
            route=run.route.name,
            service=run.service,
            rank=run.rank,
            endpoint=run.endpoint.endpoint_id if run.endpoint else None,
            steps=run.steps,
            evidence=str(run.evidence),
            queued_s=_span(run.arrived_at, run.first_sent_at),
            first_event_s=_span(run.arrived_at, run.first_event_at),
            whole_s=round(now - run.arrived_at, 4),
            configuration=run.routing.version,
        )


def _span(start: float, end: float | None) -> float | None:
    return round(end - start, 4) if end is not None else None


def _describe(outcome: AttemptOutcome, placement: Placement) -> str:
    name = placement.endpoint.endpoint_id
    match outcome:
        case Delivered():
            return f"{name}: delivered"
        case NotRun(reason=reason) | Broken(reason=reason):
            return f"{name}: {type(outcome).__name__}: {reason}"
        case Answered(status=status):
            return f"{name}: answered {status}"
