"""Relay requests: admit, place, send, and decide what each outcome allows."""

import asyncio
import random
import time

import h11
from result import Err, Ok

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.place_asker import PlaceAsker
from acaciarelay.coordination.retry_share import RetryShare
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.exchange import (
    AnswerTraits,
    RequestTraits,
    answer_headers,
    decode_answer,
    decode_request,
    decode_request_id,
    endpoint_headers,
    retry_header,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_beliefs import Beliefs
from acaciarelay.programs.relay_placement import Placement, Placer
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.relay_run import (
    Answered,
    AttemptOutcome,
    Broken,
    Delivered,
    Evidence,
    NotRun,
    RelayRun,
)
from acaciarelay.state.routing import Organisation, Route, RoutingTable
from acaciarelay.transport.endpoint_call import (
    CallFault,
    EndpointConnection,
    FaultKind,
    connect,
)
from acaciarelay.transport.event_stream import EventSplitter, StreamEvent
from acaciarelay.transport.front_server import (
    CallerGone,
    FrontConnection,
    FrontRequest,
)

__all__ = ["RequestRelay", "respond_refusal"]

CONNECT_TIMEOUT_S = 0.6
# Endpoints that may decline one request before it is refused.
MAX_DECLINED = 3
# Silence after which a request that may run again goes to another endpoint: a part of
# the route's time, and at most so many seconds.
SILENCE_PART = 0.5
MAX_SILENCE_S = 1.0
# Failures that a declined request and one for an endpoint that has left count as.
DECLINED_FAILURES = 0.5
GONE_FAILURES = 5.0
MISDIRECTED_STATUS = 421
WRONG_ENDPOINT = "another endpoint has the address"
MAX_ANSWER_BYTES = 16_777_216
RANKS_PER_ORGANISATION_RANK = 8
# A caller that sets no time limit is served for this long at most.
NO_LIMIT_S = 60.0


def respond_refusal(
    connection: FrontConnection, refusal: Refusal, request_id: str = ""
) -> None:
    """Answer with a refusal, its code and its outcome."""
    headers: list[Header] = [
        ("Content-Type", "text/plain"),
        ("Acaciarelay-Code", str(refusal.code.number)),
        ("Acaciarelay-Outcome", str(refusal.code.outcome)),
    ]
    if request_id:
        headers.append(("Acaciarelay-Request-Id", request_id))
    if refusal.retry_after_s is not None:
        headers.append(retry_header(refusal.retry_after_s))
    connection.respond(refusal.code.status, headers, refusal.message.encode() + b"\n")


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
        self.usage = usage
        self.retries = retries
        self.health = health
        self.metrics = metrics
        self.rng = rng
        self.placer = Placer(beliefs, health, asker, retries)
        self.loop = asyncio.get_running_loop()

    async def handle(self, connection: FrontConnection, request: FrontRequest) -> None:
        """Answer one request."""
        admitted = self.admit(request)
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
            raise
        self.conclude(connection, run, refusal)

    # Admission.

    def admit(self, request: FrontRequest) -> RelayRun | Refusal:
        """Check a request against the configuration in force."""
        routing = self.beliefs.routing
        if routing is None:
            return refuse("not_ready", "", 0.5)
        try:
            traits = decode_request(request.headers)
        except ValueError:
            return refuse("invalid_field", "a header field holds no valid number")
        path = request.target.partition("?")[0]
        host = (request.header("host") or "").partition(":")[0]
        route = routing.find_route(host, path)
        if route is None:
            return refuse("unknown_path")
        organisation = None
        if routing.keys is not None and not route.anonymous:
            organisation = routing.organisation_of(traits.key or "")
            if organisation is None:
                return refuse("unknown_key")
        return self.charge(request, traits, route, routing, organisation)

    def charge(
        self,
        request: FrontRequest,
        traits: RequestTraits,
        route: Route,
        routing: RoutingTable,
        organisation: Organisation | None,
    ) -> RelayRun | Refusal:
        cost = _cost(traits, organisation)
        now = time.monotonic()
        limit_s = min(route.timeout_s, traits.time_limit_s or NO_LIMIT_S)
        if organisation is not None:
            missing_s = self.usage.admit(organisation, cost, now)
            if missing_s > 0:
                log_event(
                    "usage_limit_reached",
                    request_id=traits.request_id,
                    organisation=organisation.name,
                    rate_per_s=organisation.rate_per_s,
                    cost=cost,
                    missing_s=round(missing_s, 3),
                    **self.usage.explain(organisation.name, now),
                )
                return refuse("rate_limited", "", min(missing_s, limit_s / 3))
        rank = route.rank
        if organisation is not None and organisation.rank is not None:
            rank += organisation.rank * RANKS_PER_ORGANISATION_RANK
        return RelayRun(
            traits=traits,
            route=route,
            routing=routing,
            organisation=organisation,
            rank=rank,
            cost=cost,
            arrived_at=request.arrived_at,
            limit_at=request.arrived_at + limit_s,
            service=self.pick_service(route),
            last_event=traits.last_event,
        )

    def pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self.rng.choices(route.targets, weights)[0].service

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
                denied = self.denied_since(run)
                if denied is not None:
                    return self.give_up(run, denied)
                if run.first_sent_at is not None and not self.retries.spend(
                    run.service, time.monotonic()
                ):
                    return self.give_up(run, "retry_budget_spent")
                outcome = await self.attempt(connection, request, run, placement)
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

    def denied_since(self, run: RelayRun) -> str | None:
        """Check a request that waited; return the code that denies it now."""
        routing = self.beliefs.routing
        if routing is run.routing or routing is None or run.head_sent:
            return None
        route = routing.find_route(run.route.host, run.route.prefix)
        if route is None:
            return "unknown_path"
        if all(target.service != run.service for target in route.targets):
            return "shed"
        if run.organisation is None:
            return None
        current = routing.organisation_of(run.traits.key or "")
        if current is None or current.name != run.organisation.name:
            return "unknown_key"
        return None

    def may_repeat(self, run: RelayRun) -> bool:
        return run.repeatable and run.runs < run.route.max_attempts

    async def attempt(
        self,
        connection: FrontConnection,
        request: FrontRequest,
        run: RelayRun,
        placement: Placement,
    ) -> AttemptOutcome:
        """Send the request to one endpoint and pass its answer on."""
        endpoint = placement.endpoint
        run.tried.add(endpoint.endpoint_id)
        run.endpoint = endpoint
        match await connect(endpoint.address, CONNECT_TIMEOUT_S):
            case Err(fault):
                self.health.fail(endpoint.endpoint_id, time.monotonic(), 2.0)
                return NotRun(f"connect: {fault.detail}", False)
            case Ok(call):
                pass
        judgement = self.health.of(endpoint.endpoint_id)
        judgement.in_flight += 1
        try:
            headers = endpoint_headers(
                run.traits,
                host=request.header("host") or "",
                body_bytes=len(request.body) if request.framed else None,
                endpoint_id=endpoint.endpoint_id,
                organisation=run.organisation.name if run.organisation else None,
                time_left_s=run.limit_at - self.loop.time(),
                after_event=run.last_event,
            )
            evidence = run.evidence
            run.runs += 1
            run.evidence = Evidence.MAY_HAVE_RUN
            run.first_sent_at = run.first_sent_at or self.loop.time()
            call.send(request.method, request.target, headers, request.body)
            outcome = await self.read_answer(connection, run, call)
            if isinstance(outcome, NotRun):
                run.runs -= 1
                run.evidence = (
                    Evidence.DECLINED if evidence is Evidence.NOT_SENT else evidence
                )
        finally:
            judgement.in_flight -= 1
            call.close()
        self.judge(run, outcome)
        return outcome

    def judge(self, run: RelayRun, outcome: AttemptOutcome) -> None:
        assert run.endpoint is not None
        now = time.monotonic()
        match outcome:
            case Delivered():
                self.health.succeed(run.endpoint.endpoint_id, now)
            case Answered(status=status) if status < 500:
                self.health.succeed(run.endpoint.endpoint_id, now)
            case NotRun(reason=reason):
                gone = reason == WRONG_ENDPOINT
                weight = GONE_FAILURES if gone else DECLINED_FAILURES
                self.health.fail(run.endpoint.endpoint_id, now, weight)
            case _:
                self.health.fail(run.endpoint.endpoint_id, now)

    async def read_answer(
        self, connection: FrontConnection, run: RelayRun, call: EndpointConnection
    ) -> AttemptOutcome:
        event = await self.next_event(run, call)
        if isinstance(event, CallFault):
            return Broken(str(event))
        assert isinstance(event, h11.Response)
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        ]
        traits = decode_answer(headers)
        self.note_load(run, traits)
        foreign = traits.request_id not in (None, run.traits.request_id)
        if foreign:
            return Broken("foreign answer")
        if event.status_code == MISDIRECTED_STATUS:
            return NotRun(WRONG_ENDPOINT, True)
        if traits.not_run:
            return NotRun(f"declined with {event.status_code}", True)
        succeeded = 200 <= event.status_code < 300
        if succeeded and (not traits.sealed or traits.encoded):
            return Broken("success without a seal")
        if succeeded and run.route.streaming:
            return await self.pass_stream(
                connection, run, call, event.status_code, headers
            )
        return await self.pass_whole(connection, run, call, event, headers)

    async def next_event(
        self, run: RelayRun, call: EndpointConnection
    ) -> h11.Event | CallFault:
        """Wait for the answer; a silent endpoint ends where another one may go on."""
        if not self.may_move(run):
            return await call.next_event()
        silence_s = min(MAX_SILENCE_S, SILENCE_PART * run.route.timeout_s)
        try:
            async with asyncio.timeout(silence_s):
                return await call.next_event()
        except TimeoutError:
            return CallFault(FaultKind.SILENT, f"nothing for {silence_s:g} s")

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

    def note_load(self, run: RelayRun, traits: AnswerTraits) -> None:
        if traits.load is None or run.endpoint is None:
            return
        judgement = self.health.of(run.endpoint.endpoint_id)
        judgement.reported = traits.load[0] + traits.load[1]
        judgement.reported_at = time.monotonic()

    async def pass_whole(
        self,
        connection: FrontConnection,
        run: RelayRun,
        call: EndpointConnection,
        response: h11.Response,
        headers: list[Header],
    ) -> AttemptOutcome:
        pieces: list[bytes] = []
        size = 0
        while True:
            match await self.next_event(run, call):
                case h11.Data(data=data):
                    size += len(data)
                    if size > MAX_ANSWER_BYTES:
                        return Broken("answer too large")
                    pieces.append(bytes(data))
                case h11.EndOfMessage():
                    break
                case CallFault() as fault:
                    return Broken(str(fault))
        body = b"".join(pieces)
        if not 200 <= response.status_code < 300:
            if not decode_answer(headers).sealed:
                return Broken(f"unsealed status {response.status_code}")
            return Answered(response.status_code, headers, body)
        if run.head_sent:
            return Broken("an answer that is no stream")
        run.first_event_at = self.loop.time()
        connection.respond(response.status_code, answer_headers(headers), body)
        await connection.drain()
        return Delivered()

    async def pass_stream(
        self,
        connection: FrontConnection,
        run: RelayRun,
        call: EndpointConnection,
        status: int,
        headers: list[Header],
    ) -> AttemptOutcome:
        """Pass on whole events; the first runner's head stays through a resumption."""
        splitter = EventSplitter()
        while True:
            match await self.next_event(run, call):
                case h11.Data(data=data):
                    events = splitter.feed(bytes(data))
                    fresh = self.fresh_events(run, events)
                    if fresh is None:
                        return Broken("events out of order")
                    if not fresh:
                        continue
                    if not run.head_sent:
                        run.head_sent = True
                        run.first_event_at = self.loop.time()
                        connection.start(status, answer_headers(headers))
                    connection.write(b"".join(event.data for event in fresh))
                    await connection.drain()
                case h11.EndOfMessage():
                    if splitter.partial:
                        return Broken("stream ended inside an event")
                    if not run.head_sent:
                        run.head_sent = True
                        connection.start(status, answer_headers(headers))
                    connection.finish()
                    return Delivered()
                case CallFault() as fault:
                    return Broken(str(fault))

    def fresh_events(
        self, run: RelayRun, events: list[StreamEvent]
    ) -> list[StreamEvent] | None:
        """Drop events passed on before; ``None`` when one is missing."""
        fresh = []
        for event in events:
            if event.number is None:
                fresh.append(event)
                continue
            if run.last_event is not None:
                if event.number <= run.last_event:
                    continue
                if event.number != run.last_event + 1:
                    return None
            run.last_event = event.number
            fresh.append(event)
        return fresh

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
        if run.refusable and run.organisation is not None:
            self.usage.refund(run.organisation, run.cost)
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


def _cost(traits: RequestTraits, organisation: Organisation | None) -> float:
    if organisation is None or not organisation.by_tokens:
        return 1.0
    if traits.prompt_tokens is None:
        return float(organisation.default_tokens)
    return float(traits.prompt_tokens + (traits.output_tokens or 0))


def _describe(outcome: AttemptOutcome, placement: Placement) -> str:
    name = placement.endpoint.endpoint_id
    match outcome:
        case Delivered():
            return f"{name}: delivered"
        case NotRun(reason=reason) | Broken(reason=reason):
            return f"{name}: {type(outcome).__name__}: {reason}"
        case Answered(status=status):
            return f"{name}: answered {status}"
