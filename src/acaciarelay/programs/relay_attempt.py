"""Send a request to one endpoint and pass its answer on to the caller."""

import asyncio
import time
from collections.abc import Callable

import h11
from result import Err, Ok

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.platform.exchange import (
    AnswerTraits,
    answer_headers,
    decode_answer,
    endpoint_headers,
)
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relay_run import (
    Answered,
    AttemptOutcome,
    Broken,
    Delivered,
    Evidence,
    NotRun,
    RelayRun,
)
from acaciarelay.transport.endpoint_call import (
    CallFault,
    EndpointConnection,
    connect,
)
from acaciarelay.transport.event_stream import EventSplitter, StreamEvent
from acaciarelay.transport.front_server import FrontConnection, FrontRequest

__all__ = ["Attempts"]

CONNECT_TIMEOUT_S = 0.6
# Silence after which a request may leave its endpoint: a part of the route's time, and
# at most so many seconds.
SILENCE_PART = 0.5
MAX_SILENCE_S = 1.0
# Failures that a declined request, a refused connection and one for an endpoint that
# has left count as.
DECLINED_FAILURES = 0.5
CONNECT_FAILURES = 2.0
GONE_FAILURES = 5.0
MISDIRECTED_STATUS = 421
WRONG_ENDPOINT = "another endpoint has the address"
MAX_ANSWER_BYTES = 16_777_216


class Attempts:
    """Make single attempts; ``may_leave`` tells whether a silent one may be left."""

    def __init__(
        self, health: EndpointHealth, may_leave: Callable[[RelayRun], bool]
    ) -> None:
        self.health = health
        self.may_leave = may_leave
        self.loop = asyncio.get_running_loop()

    async def attempt(
        self,
        connection: FrontConnection,
        request: FrontRequest,
        run: RelayRun,
        endpoint: Endpoint,
    ) -> AttemptOutcome:
        """Send the request to one endpoint and pass its answer on."""
        run.tried.add(endpoint.endpoint_id)
        run.endpoint = endpoint
        match await connect(endpoint.address, CONNECT_TIMEOUT_S):
            case Err(fault):
                self.health.fail(
                    endpoint.endpoint_id, time.monotonic(), CONNECT_FAILURES
                )
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
            run.sent_at = self.loop.time()
            run.first_sent_at = run.first_sent_at or run.sent_at
            call.send(request.method, request.target, headers, request.body)
            call.end_silence(
                min(MAX_SILENCE_S, SILENCE_PART * run.route.timeout_s),
                lambda: self.may_leave(run),
            )
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
        event = await call.next_event()
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
            match await call.next_event():
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
            match await call.next_event():
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
                        connection.start(status, answer_headers(headers), flush=False)
                    last = bool(call.events) and not splitter.partial
                    last = last and isinstance(call.events[0], h11.EndOfMessage)
                    connection.write(
                        b"".join(event.data for event in fresh), flush=not last
                    )
                    if not last:
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
