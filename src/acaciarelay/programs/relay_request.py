"""Request path of an entry: admission, placement, attempts, retries and refusals."""

import asyncio
import contextlib
import random
import time

from result import Err, Ok

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.headers import answer_headers, decode_request_id
from acaciarelay.programs.crash_guard import CrashGuard, suspected_ids
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_admission import Admission
from acaciarelay.programs.relay_attempt import Attempts, is_declined
from acaciarelay.programs.relay_drain import RequestDrain
from acaciarelay.programs.relay_placement import Placer, slot_wait_end
from acaciarelay.programs.relay_refusal import respond_refusal
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.relay_takeover import Takeovers
from acaciarelay.programs.request_recorder import (
    RequestRecorder,
    describe_attempt,
    interrupted_outcome,
    resumption_outcome,
)
from acaciarelay.programs.resumed_streams import ResumedStreams
from acaciarelay.programs.rollouts import Rollouts
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    ErrorResponse,
    NotRun,
    RelayedRequest,
)
from acaciarelay.state.run_clock import RunClock
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)

__all__ = ["STOPPING_RETRY_AFTER_S", "RequestRelay"]

# Times that a request may be declined by endpoints and still be sent to another one.
MAX_DECLINED = 3
# Connects of a request that may fail before it is refused, if its wait for a slot is
# over too: another entry may reach the endpoints. Endpoints that were tried before are
# tried again after a pause.
MAX_CONNECT_FAILURES = 3
CONNECT_RETRY_DELAY_S = 0.05
# Requests that arrive within this time of the start may wait for the first
# configuration, each for a bounded time.
STARTUP_S = 1.0
FIRST_CONFIGURATION_WAIT_S = 0.25
# When a caller may send a request again that a stopping entry refused; another entry
# serves it.
STOPPING_RETRY_AFTER_S = 0.05
# How long a request waits for a fresh word from the store or a peer after a pause.
TRUST_WAIT_S = 0.5


class RequestRelay:
    """Serve callers' requests with an entry's cached state, limits and retry budget."""

    def __init__(
        self,
        cache: StateCache,
        usage: UsageLedger,
        retry_budget: SharedRetryBudget,
        health: EndpointHealth,
        slot_client: SlotClient,
        run_clock: RunClock,
        body_memory: MemoryBudget,
        loop_budget: LoopBudget,
        crashes: CrashGuard,
        metrics: Metrics,
        rng: random.Random,
        streams: ResumedStreams,
        rollouts: Rollouts | None = None,
        slow_peers: bool = False,
    ) -> None:
        self.streams = streams
        self.rollouts = rollouts
        self.cache = cache
        self.run_clock = run_clock
        self.admission = Admission(cache, usage, rng)
        self.retry_budget = retry_budget
        self.metrics = metrics
        self.slot_client = slot_client
        self.placer = Placer(cache, health, slot_client, retry_budget, rollouts)
        self.drain = RequestDrain(self.placer)
        self.recorder = RequestRecorder(metrics, self.drain)
        self.crashes = crashes
        self.takeovers = Takeovers(
            self.placer, self.drain, retry_budget, slot_client, self.may_go_elsewhere
        )
        self.attempts = Attempts(
            health,
            self.takeovers.on_stall,
            body_memory,
            loop_budget,
            crashes,
            cache.endpoints,
            slow_peers,
            streams.record,
            rollouts,
        )
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.configured = asyncio.Event()
        cache.on_configuration.append(self.configured.set)

    async def handle(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        """Serve one request to its end: an answer, a refusal or a cut connection."""
        self.run_clock.check()
        await self.cache.wait_until_trusted(self.drain.shorten(TRUST_WAIT_S))
        if self.cache.routing is None:
            await self.wait_for_configuration()
        admitted = self.admission.admit(request)
        if not isinstance(admitted, RelayedRequest):
            self.refuse(connection, admitted, request)
            return
        relayed = admitted
        connection.allow_reading_until(relayed.deadline)
        try:
            async with self.drain.time_limit(relayed):
                refusal = await self.serve(connection, request, relayed)
        except TimeoutError:
            refusal = None if relayed.answer_received else self.timeout_refusal(relayed)
        except (CallerDisconnectedError, asyncio.CancelledError) as error:
            self.recorder.record_end(
                connection, relayed, interrupted_outcome(connection, error), None
            )
            if relayed.certainly_not_run:
                self.admission.refund(relayed)
            raise
        finally:
            self.takeovers.close(relayed)
            if self.rollouts is not None:
                self.rollouts.release(relayed)
        self.finish(connection, relayed, refusal)

    async def wait_for_configuration(self) -> None:
        """Wait for the first configuration if the process has just started."""
        if self.loop.time() - self.started_at > STARTUP_S:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CONFIGURATION_WAIT_S):
                await self.configured.wait()

    # Attempts.

    async def serve(
        self,
        connection: InboundConnection,
        request: InboundRequest,
        relayed: RelayedRequest,
    ) -> Refusal | None:
        """Try endpoints until the request is answered or no attempt is left."""
        if not self.drain.can_finish(relayed, None):
            return self.give_up(relayed, "entry_stopping")
        if self.placer.never_fits(relayed):
            return refuse("exceeds_engine_memory")
        now = time.monotonic()
        self.retry_budget.record_first_attempt(relayed.service, now)
        self.placer.floor.record_arrival(relayed.service, relayed.rank, now)
        if refusal := await self.resume(relayed):
            return refusal
        # A retry was spent that has reached no endpoint yet.
        is_prepaid = False
        while True:
            if refusal := self.suspicion_refusal(relayed):
                return refusal
            placement = self.takeovers.take(relayed)
            if placement is not None:
                is_prepaid = True
            else:
                placement = await self.placer.place(relayed)
            if placement is None:
                if self.placer.lacks_software(relayed):
                    return self.give_up(relayed, "stream_version_gone")
                return self.give_up(relayed, "shed")
            self.run_clock.check()
            if not self.cache.trusted.is_set():
                # The process was paused meanwhile, so that neither the endpoint nor the
                # slot may be relied on.
                placement.release()
                await self.cache.wait_until_trusted(TRUST_WAIT_S)
                continue
            if not self.placer.may_send(relayed, placement.endpoint):
                placement.release()
                continue
            try:
                code = self.admission.recheck(relayed)
                if code is not None:
                    return self.give_up(relayed, code)
                if refusal := self.suspicion_refusal(relayed):
                    return refusal
                if not self.drain.can_finish(relayed, placement.endpoint):
                    return self.give_up(relayed, "entry_stopping")
                if relayed.first_sent_at is not None and not is_prepaid:
                    if not self.retry_budget.try_spend(
                        relayed.service, time.monotonic()
                    ):
                        return self.give_up(relayed, "retry_budget_spent")
                    is_prepaid = True
                if relayed.first_sent_at is None:
                    self.placer.floor.record_served(
                        relayed.service, relayed.rank, time.monotonic()
                    )
                relayed.attempt_count += 1
                outcome = await self.attempts.attempt(
                    connection, request, relayed, placement.endpoint
                )
                # Timings are reported only for a single run; after a second one, the
                # first event may be that of the first. Those of a paused answer are
                # its caller's. The slot is released once, so the release below has no
                # further effect.
                if isinstance(outcome, Delivered) and relayed.has_own_timings:
                    placement.release(relayed)
                elif is_declined(outcome):
                    placement.release_declined()
            finally:
                placement.release()
            relayed.steps.append(describe_attempt(outcome, placement))
            if isinstance(outcome, Delivered):
                return None
            if refusal := self.refusal_after(relayed, outcome):
                return refusal
            is_unreached = isinstance(outcome, NotRun) and not outcome.received
            is_prepaid = is_prepaid and is_unreached
            if is_unreached and not self.has_untried(relayed):
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)

    def refusal_after(
        self, relayed: RelayedRequest, outcome: AttemptOutcome
    ) -> Refusal | None:
        """Return the refusal with which a failed attempt ends a request.

        ``None`` if it is tried again.
        """
        match outcome:
            case NotRun(received=True):
                relayed.decline_count += 1
                if relayed.decline_count > MAX_DECLINED:
                    return self.give_up(relayed, "shed")
            case NotRun():
                relayed.connect_failures += 1
                if self.is_unreachable(relayed):
                    return self.give_up(relayed, "no_endpoint")
            case Broken(foreign=True):
                self.streams.disown(relayed)
                return self.give_up(relayed, "outcome_unknown")
            case Broken(reason=reason):
                if not relayed.may_retry:
                    return self.give_up(relayed, "outcome_unknown")
                self.metrics.count("retries_total", reason=reason.split(":")[0])
            case ErrorResponse():
                relayed.error_response = outcome
                if outcome.status < 500 or not relayed.may_retry:
                    return self.give_up(relayed, "endpoint_failed")
                self.metrics.count("retries_total", reason="endpoint_failed")
        return None

    async def resume(self, relayed: RelayedRequest) -> Refusal | None:
        """Bind a resumed stream to the version that began it, or refuse it."""
        if not relayed.route.streaming or not relayed.traits.resumes_stream:
            return None
        match await self.streams.find_software(relayed):
            case Ok(software):
                relayed.software = software
                return None
            case Err(code):
                return refuse(code)

    def suspicion_refusal(self, relayed: RelayedRequest) -> Refusal | None:
        """Return the refusal of a prompt that is suspected to crash engines."""
        suspicion = self.crashes.suspicion_of(relayed)
        if suspicion is None:
            return None
        ids = ", ".join(suspected_ids(relayed, suspicion))
        relayed.steps.append(
            f"suspected after {suspicion.crashes} crashes by its parts {ids}"
        )
        if not relayed.certainly_not_run:
            return self.give_up(relayed, "outcome_unknown")
        return refuse("prompt_suspected", "", self.crashes.retry_after_s(suspicion))

    def may_go_elsewhere(self, relayed: RelayedRequest) -> bool:
        """Return whether a request that runs may be sent to another endpoint now."""
        if not self.cache.trusted.is_set():
            return False
        if self.crashes.suspicion_of(relayed) is not None:
            return False
        return self.admission.recheck(relayed) is None

    def has_untried(self, relayed: RelayedRequest) -> bool:
        """Return whether the service has an endpoint that was not tried yet."""
        for endpoint in self.placer.endpoints_of(relayed.service):
            if endpoint.endpoint_id not in relayed.tried:
                return True
        return False

    def is_unreachable(self, relayed: RelayedRequest) -> bool:
        """Return whether too many connects failed for the request to wait on."""
        if relayed.connect_failures < MAX_CONNECT_FAILURES:
            return False
        return self.loop.time() >= slot_wait_end(relayed)

    # End of a request.

    def give_up(self, relayed: RelayedRequest, code: str) -> Refusal:
        """Return the refusal for a request that ends without an answer.

        Only a request that certainly did not run gets a code that says so.
        """
        if relayed.certainly_not_run:
            if code in ("outcome_unknown", "endpoint_failed"):
                code = "shed"
            if code == "entry_stopping":
                return refuse(code, "", STOPPING_RETRY_AFTER_S)
            if code == "stream_version_gone":
                return refuse(code)
            deferred_s = self.placer.deferred_s(relayed.service, time.monotonic())
            if code == "shed" and deferred_s > 0:
                return refuse("endpoints_deferred", "", deferred_s)
            if code == "no_endpoint":
                return refuse(code, "", self.longest_retry_after_s(relayed))
            return refuse(code, "", self.retry_after_s(relayed))
        if code == "endpoint_failed":
            return refuse(code)
        if code == "entry_stopping":
            return refuse("entry_stopped")
        return refuse("outcome_unknown")

    def timeout_refusal(self, relayed: RelayedRequest) -> Refusal:
        """Return the refusal at the time limit or at the end of the grace time."""
        if self.drain.is_over and self.loop.time() < relayed.deadline:
            relayed.steps.append("the grace time ended")
            return self.give_up(relayed, "entry_stopping")
        if relayed.certainly_not_run:
            return refuse("shed", "the time limit passed", self.retry_after_s(relayed))
        return refuse("outcome_late")

    def retry_after_s(self, relayed: RelayedRequest) -> float:
        """Return the expected wait for a slot, as far as callers wait for it."""
        longest_s = self.longest_retry_after_s(relayed)
        return min(longest_s, self.placer.expected_wait_s(relayed))

    def longest_retry_after_s(self, relayed: RelayedRequest) -> float:
        """Return the longest time that a caller waits: a third of its time left."""
        return max(0.0, relayed.deadline - self.loop.time()) / 3

    def finish(
        self,
        connection: InboundConnection,
        relayed: RelayedRequest,
        refusal: Refusal | None,
    ) -> None:
        """Record the end of a request; without a delivered answer, send a failure.

        The failure is the last error response of an endpoint, or else the refusal. An
        answer that was already started is cut instead, so that it does not look
        complete.
        """
        if relayed.traits.resumes_stream and relayed.route.streaming:
            self.streams.count(resumption_outcome(relayed, refusal))
        if refusal is None:
            self.recorder.record_end(connection, relayed, "delivered", None)
            return
        outcome = "refused" if relayed.certainly_not_run else "failed"
        self.recorder.record_end(connection, relayed, outcome, refusal)
        if relayed.certainly_not_run:
            self.admission.refund(relayed)
        if relayed.head_sent:
            connection.abort()
            return
        if relayed.error_response is not None and not relayed.certainly_not_run:
            headers = answer_headers(relayed.error_response.headers)
            connection.respond(
                relayed.error_response.status, headers, relayed.error_response.body
            )
            return
        respond_refusal(connection, refusal, relayed.traits.request_id)

    def refuse(
        self, connection: InboundConnection, refusal: Refusal, request: InboundRequest
    ) -> None:
        request_id = decode_request_id(request.headers)
        # -1 stands for the rank, which is not known before admission.
        self.recorder.count_refusal(refusal, -1)
        routing = self.cache.routing
        log_event(
            "request_refused",
            request_id=request_id,
            code=refusal.code.name,
            target=request.target,
            configuration=routing.version if routing else None,
        )
        respond_refusal(connection, refusal, request_id)
