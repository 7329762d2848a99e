"""Life cycle of an agent's runs: start, resume, cancellation and claim settlement."""

import asyncio
import time
from collections.abc import Callable, Coroutine

from acaciarelay.coordination.concurrency import TokenLimit
from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.coordination.shedding import RunningWork, choose_victim
from acaciarelay.programs.agent_runs import BodyFeed, Run, RunOutput
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.codes import CODES, Outcome
from acaciarelay.state.dispatch_log import DispatchLog, DispatchState
from acaciarelay.transport.claim_store import ClaimStore, StoredResult
from acaciarelay.transport.endpoints.base import EndpointAdapter, RunResult

__all__ = ["RunService"]

STORE_RETRY_INTERVAL_S = 1.0
# Retries of storing a result or releasing a claim. If a result is never stored, its
# claim stays started, and repeats are refused because the outcome is unknown.
STORE_RETRY_LIMIT = 300

STATES = {
    DispatchState.LIVE: pb.RUNNING,
    DispatchState.TOMBSTONED: pb.TOMBSTONED,
    DispatchState.FINISHED: pb.FINISHED,
}


class RunService:
    """Manages the runs and the dispatch log; each request id runs at most once."""

    def __init__(
        self,
        adapter: EndpointAdapter,
        claims: ClaimStore,
        token_limit: TokenLimit,
        metrics: Metrics,
        resume_window_s: float,
    ) -> None:
        self.adapter = adapter
        self.claims = claims
        self.token_limit = token_limit
        self.metrics = metrics
        self.resume_window_s = resume_window_s
        self.dispatch_log: DispatchLog[pb.AgentMessage] = DispatchLog()
        self.runs: dict[str, Run] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.incarnations: dict[str, int] = {}
        self.transmit: Callable[[str, pb.AgentMessage], None] = lambda *args: None
        # Called with the reservation of a finished run and the tokens that it used, or
        # those reserved if the endpoint reported no counts.
        self.on_finished: Callable[[Reservation, int], None] = lambda *args: None

    def is_known(self, request_id: str) -> bool:
        """Return whether the request was dispatched or ruled out here before."""
        return (
            request_id in self.dispatch_log.live
            or request_id in self.dispatch_log.markers
        )

    def active(self) -> list[Run]:
        """Return the runs whose answer has not ended."""
        return [run for run in self.runs.values() if not run.output.dispatch.ended]

    def entry_ids(self) -> set[str]:
        """Return the ids of the entries with an undelivered answer."""
        return {run.output.dispatch.entry_id for run in self.runs.values()}

    @property
    def idle(self) -> bool:
        return not self.runs and not self.background

    # Messages.

    def begin(
        self,
        entry_id: str,
        incarnation: int,
        grant: pb.Grant,
        reservation: Reservation | None,
    ) -> None:
        """Run a granted request, unless its id was dispatched before.

        ``reservation`` is ``None`` when the agent no longer has the pull, as after its
        expiry; the request is then answered as not run.
        """
        repeatable = not grant.claim_key
        dispatch = self.dispatch_log.begin(
            grant.request_id, entry_id, incarnation, repeatable
        )
        if dispatch is None:
            return
        output = RunOutput(dispatch, self.transmit)
        if reservation is None:
            output.end(CODES["no_endpoint"].number, Outcome.NOT_RUN, None)
            ended = self.build_ended_run(grant, output, entry_id)
            self.runs[grant.request_id] = ended
            self.start_background(self.release_claim(ended))
            return
        body = BodyFeed(
            grant.body_length, lambda seq: self.send_body_ack(entry_id, grant, seq)
        )
        run = Run(reservation, grant, output, body)
        self.runs[grant.request_id] = run
        run.task = asyncio.create_task(self.serve(run))

    def build_ended_run(self, grant: pb.Grant, output: RunOutput, entry_id: str) -> Run:
        """Build a run without work, which keeps its end until it is acknowledged."""
        reservation = Reservation(
            request_id=grant.request_id,
            entry_id=entry_id,
            pool="",
            tier=0,
            organisation="",
            weight=1,
            tokens=0,
            prompt_tokens=0,
            prefix_hash=0,
            repeatable=True,
            last_resort=False,
            queued_at=0.0,
            deadline=0.0,
            wait_budget_s=0.0,
            waited_s=0.0,
        )
        return Run(reservation, grant, output, BodyFeed(0, lambda seq: None))

    def send_body_ack(self, entry_id: str, grant: pb.Grant, next_seq: int) -> None:
        """Acknowledge the body chunks before ``next_seq`` in a ``Status`` message."""
        status = pb.Status(
            request_id=grant.request_id, state=pb.RUNNING, next_body_seq=next_seq
        )
        self.transmit(entry_id, pb.AgentMessage(status=status))

    def on_body_chunk(self, chunk: pb.BodyChunk) -> None:
        """Add a body chunk to its run."""
        run = self.runs.get(chunk.request_id)
        if run is not None:
            run.body.add(chunk)

    def on_ack(self, ack: pb.Ack) -> None:
        """Release acknowledged answer messages; retire the run after the last one."""
        run = self.runs.get(ack.request_id)
        if run is None:
            return
        run.output.acknowledge(ack.next_seq)
        self.retire_if_delivered(run)

    def on_cancel(self, request_id: str) -> None:
        """Cancel a run at the request of its entry, if it may be cancelled."""
        run = self.runs.get(request_id)
        if run is not None:
            run.cancel("caller_gone")

    def on_query(self, entry_id: str, query: pb.Query) -> pb.AgentMessage:
        """Report the state of a request; tombstone an unknown one, so it can't run.

        A query ends the resume window of the request's run.
        """
        state = self.dispatch_log.query_or_tombstone(query.request_id, time.monotonic())
        run = self.runs.get(query.request_id)
        status = pb.Status(request_id=query.request_id, state=STATES[state])
        if run is not None:
            run.orphaned_at = None
            status.next_body_seq = run.body.next_seq
        log_event(
            "request_queried",
            request_id=query.request_id,
            entry_id=entry_id,
            known=state.value,
        )
        return pb.AgentMessage(status=status)

    def resend(self, query: pb.Query) -> None:
        """Resend the answer from the sequence number that the entry expects next."""
        run = self.runs.get(query.request_id)
        if run is None:
            return
        run.output.acknowledge(query.next_seq)
        for message in run.output.dispatch.answer.messages_from(query.next_seq):
            self.transmit(run.output.dispatch.entry_id, message)
        self.retire_if_delivered(run)

    def retire_if_delivered(self, run: Run) -> None:
        if run.output.dispatch.delivered:
            self.retire(run)

    def retire(self, run: Run) -> None:
        self.runs.pop(run.request_id, None)
        self.dispatch_log.retire(run.request_id, time.monotonic())

    # Sessions of entries.

    def entry_session_opened(self, entry_id: str, incarnation: int) -> None:
        """Abandon the runs of an earlier incarnation of the entry.

        The resume window starts for the entry's other runs. The entry queries the runs
        that it still needs. The others are abandoned when the window ends, since their
        cancellations may have been lost with an earlier session.
        """
        known = self.incarnations.get(entry_id, incarnation)
        self.incarnations[entry_id] = incarnation
        self.entry_session_closed(entry_id)
        if known == incarnation:
            return
        for run in list(self.runs.values()):
            dispatch = run.output.dispatch
            if dispatch.entry_id != entry_id:
                continue
            if dispatch.entry_incarnation != incarnation:
                self.abandon(run)

    def entry_session_closed(self, entry_id: str) -> None:
        """Start the resume window of the entry's runs, unless it has started before."""
        now = time.monotonic()
        for run in self.runs.values():
            if run.output.dispatch.entry_id != entry_id:
                continue
            if run.orphaned_at is None:
                run.orphaned_at = now

    def abandon(self, run: Run) -> None:
        """Cancel a run that no entry will resume, if it may be cancelled."""
        run.cancel("caller_gone")
        if run.output.dispatch.ended:
            self.retire(run)
        # No entry acknowledges the answer of a run that continues. Without a limit on
        # the buffer it completes, and its answer is stored with the claim.
        run.output.dispatch.answer.max_bytes = 1 << 62
        run.output.buffer_space.set()

    def tick(self, now: float) -> None:
        """Abandon runs whose resume window has passed, and drop expired log markers.

        The markers are those of the dispatch log.
        """
        for run in list(self.runs.values()):
            if run.orphaned_at is None:
                continue
            if now - run.orphaned_at >= self.resume_window_s:
                self.abandon(run)
        self.dispatch_log.expire(now)

    # Preemption.

    def has_lower_cancellable(self, tier: int) -> bool:
        """Return whether a run of a lower tier may be or is being cancelled.

        Cancelled runs count until they end, since only then their tokens are free.
        """
        running = [run.running_work() for run in self.active()]
        return choose_victim(running, tier) is not None

    def preempt(self, tier: int) -> int | None:
        """Cancel one run of a lower tier; return its tier, ``None`` without one."""
        victim = choose_victim(self.uncancelled_work(), tier)
        if victim is None:
            return None
        run = self.runs[victim]
        if not run.cancel("preempted"):
            return None
        log_event("run_preempted", request_id=victim, tier=run.reservation.tier)
        return run.reservation.tier

    def uncancelled_work(self) -> list[RunningWork]:
        return [run.running_work() for run in self.active() if not run.cancel_code]

    # One run.

    async def serve(self, run: Run) -> None:
        result: RunResult | None = None
        code, outcome = 0, Outcome.NOT_RUN
        try:
            refusal_code = await self.start_claim(run)
            if refusal_code:
                code = refusal_code
                # The write may have taken effect although it was not confirmed.
                self.start_background(self.release_claim(run))
            else:
                result = await run.call(self.adapter)
                code, outcome = self.call_outcome(run, result)
                await self.settle_claim(run, code, outcome)
        except asyncio.CancelledError:
            # Cancelled before the call was sent, so the claim can be released.
            code = run.cancel_code
            self.start_background(self.release_claim(run))
        finally:
            run.output.end(code, outcome, result)
            self.finish_run(run, code, outcome, result)

    async def start_claim(self, run: Run) -> int:
        """Mark the run's claim as started; return 0 or the result code of a refusal.

        A run without a claim needs no start and gives 0.
        """
        if not run.grant.claim_key:
            return 0
        run.output.retained_chunks = []
        started = await self.claims.start(run.grant.claim_key, run.grant.claim_token)
        return started.unwrap_err().code.number if started.is_err() else 0

    def call_outcome(self, run: Run, result: RunResult | None) -> tuple[int, Outcome]:
        """Return the code and outcome of a call; a cancelled one counts as run."""
        if result is None:
            return run.cancel_code, Outcome.RAN
        return result.code, result.outcome

    async def settle_claim(self, run: Run, code: int, outcome: Outcome) -> None:
        """Store the result of a call with a claim, or release the claim.

        The result is stored before the end of the answer is sent. If that fails, it is
        retried in the background and the end is sent at once. The claim of a call that
        did not run is released. After any other failure there is no complete result to
        store, so the claim stays started.
        """
        if not run.grant.claim_key:
            return
        key, token = run.grant.claim_key, run.grant.claim_token
        if outcome is Outcome.NOT_RUN:
            await self.release_claim(run)
            return
        if code != 0:
            return
        output = run.output
        result = StoredResult(
            status=output.status,
            headers=output.headers,
            body=b"".join(output.retained_chunks or []),
        )
        stored = await self.claims.finish(key, token, result)
        if stored.is_err():
            self.start_background(self.retry_store(key, token, result))

    def start_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def release_claim(self, run: Run) -> None:
        """Release the claim, if any, of a call that did not run.

        While the store is unavailable, this is retried in the background.
        """
        key, token = run.grant.claim_key, run.grant.claim_token
        if key and not await self.try_release(key, token):
            self.start_background(self.retry_release(key, token))

    async def retry_release(self, key: str, token: str) -> None:
        for _ in range(STORE_RETRY_LIMIT):
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)
            if await self.try_release(key, token):
                return
        log_event("claim_not_released", claim=key)

    async def try_release(self, key: str, token: str) -> bool:
        """Release a claim; return false if the store was unavailable."""
        released = await self.claims.release(key, token)
        unavailable = CODES["platform_unavailable"]
        return released.is_ok() or released.unwrap_err().code is not unavailable

    async def retry_store(self, key: str, token: str, result: StoredResult) -> None:
        for _ in range(STORE_RETRY_LIMIT):
            await asyncio.sleep(STORE_RETRY_INTERVAL_S)
            stored = await self.claims.finish(key, token, result)
            if stored.is_ok():
                return
        log_event("result_not_stored", claim=key)

    def finish_run(
        self, run: Run, code: int, outcome: Outcome, result: RunResult | None
    ) -> None:
        now = time.monotonic()
        reservation = run.reservation
        actual_tokens = reservation.tokens
        if result is not None and result.prompt_tokens:
            actual_tokens = result.prompt_tokens + result.answer_tokens
        self.metrics.count(
            "dispatches_total", tier=reservation.tier, outcome=str(outcome)
        )
        if code != 0 and outcome is not Outcome.NOT_RUN:
            self.metrics.count(
                "wasted_prefill_tokens_total", reservation.prompt_tokens, reason=code
            )
        if result is not None:
            self.token_limit.observe(result.first_token_s, result.inter_token_s, now)
        if code == CODES["endpoint_stalled"].number:
            self.token_limit.shrink(now)
        log_event(
            "run_ended",
            request_id=run.request_id,
            code=code,
            outcome=str(outcome),
            tier=reservation.tier,
        )
        # The entry may never acknowledge the answer of a cancelled run that it has not
        # resumed, such as an abandoned one.
        if run.orphaned_at is not None and run.cancel_code:
            self.retire(run)
        self.on_finished(reservation, actual_tokens)
