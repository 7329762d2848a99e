"""Handling of callers' requests at the entry, from request head to end of answer."""

import asyncio
import secrets
import time

from result import Err, Ok, Result

from acaciarelay.coordination.admission import Admission
from acaciarelay.coordination.estimator import Estimate, TokenEstimator
from acaciarelay.coordination.prefix import prefix_hash
from acaciarelay.coordination.rate_limit import OrganisationLimits
from acaciarelay.programs.entry_call import Call, CallerDisconnected
from acaciarelay.programs.entry_claims import ClaimManager
from acaciarelay.programs.entry_core import EntryCore
from acaciarelay.programs.entry_placement import ReservationPlacer
from acaciarelay.programs.entry_progress import Progress, record_end
from acaciarelay.programs.entry_stream import (
    Completed,
    Failed,
    RetryPlacement,
    Streamer,
)
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.caller_api import (
    REQUEST_ID_HEADER,
    BearerKeyIndex,
    CallHead,
    PoolChoice,
    find_chat_pool,
    find_service_pool,
    forwarded_headers,
    is_repeatable,
    read_head,
)
from acaciarelay.protocol.chat_body import ChatFields, read_chat
from acaciarelay.protocol.codes import Outcome, Refusal, refuse
from acaciarelay.protocol.wire import BODY_CHUNK_BYTES
from acaciarelay.state.records import OrganisationRecord, Snapshot
from acaciarelay.transport.claim_store import StoredResult
from acaciarelay.transport.http_server import CallerDisconnectedError, HttpExchange

__all__ = ["RequestHandler"]

BYTES_PER_TOKEN = 4
# Calls of plain services have no tokens; they are queued at the cost of a short answer.
SERVICE_ANSWER_TOKENS = 64
# Body bytes that count as text in the estimate made before the body is read. Most of a
# longer body is image data, whose tokens do not follow from its length.
PROVISIONAL_ESTIMATE_MAX_BYTES = 16_384


class RequestHandler:
    """Serves callers' requests: admission, body, placement, answer and accounting."""

    def __init__(
        self,
        core: EntryCore,
        admission: Admission,
        limits: OrganisationLimits,
        estimator: TokenEstimator,
        claims: ClaimManager,
    ) -> None:
        self.core = core
        self.admission = admission
        self.limits = limits
        self.estimator = estimator
        self.claims = claims
        self.placer = ReservationPlacer(core)
        self.metrics = core.metrics
        self.keys = BearerKeyIndex(core.snapshot)
        # Ids of evicted requests that have no registered call yet.
        self.evicted: set[str] = set()
        self.ready = False
        self.draining = False
        self.stopping = False
        self.grace_ended = False
        self.limit_share = 1.0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the API keys and rate limits of a new configuration."""
        old = self.keys.snapshot.organisations
        self.keys = BearerKeyIndex(snapshot)
        for name, record in snapshot.organisations.items():
            if old.get(name) is not record:
                self.configure_limit(name, record)

    def update_limit_share(self, entries: int) -> None:
        """Divide each organisation's rate limit evenly among the entries."""
        share = 1 / max(1, entries)
        if share == self.limit_share:
            return
        self.limit_share = share
        for name, record in self.keys.snapshot.organisations.items():
            self.configure_limit(name, record)

    def configure_limit(self, name: str, record: OrganisationRecord) -> None:
        self.limits.configure(
            name, record.tokens_per_second, record.burst_tokens, self.limit_share
        )

    async def handle(self, exchange: HttpExchange) -> None:
        """Serve one request, which gets exactly one answer, and record its end."""
        progress = Progress(secrets.token_hex(12))
        try:
            refusal = await self.serve(exchange, progress)
        except CallerDisconnectedError:
            refusal = refuse("caller_gone")
        finally:
            self.release(progress)
        record_end(self.metrics, progress, refusal)
        if refusal is not None and refusal.code.outcome is Outcome.NOT_RUN:
            self.refund(progress)

    async def serve(self, exchange: HttpExchange, progress: Progress) -> Refusal | None:
        match self.admit(exchange, progress):
            case Err(refusal):
                return await self.refuse(exchange, progress, refusal)
            case Ok(head):
                pass
        match await self.read_body(exchange, progress, head):
            case Err(refusal):
                return await self.refuse(exchange, progress, refusal)
            case Ok(body):
                pass
        match self.build_call(exchange, progress, head, body):
            case Err(refusal):
                return await self.refuse(exchange, progress, refusal)
            case Ok(call):
                progress.call = call
        if call.repeatable:
            return await self.run(exchange, progress, call)
        return await self.run_at_most_once(exchange, progress, call)

    # Admission, by the request head alone.

    def admit(
        self, exchange: HttpExchange, progress: Progress
    ) -> Result[CallHead, Refusal]:
        if self.stopping:
            return Err(refuse("entry_stopping", retry_after_s=1.0))
        if not self.ready:
            return Err(refuse("not_ready", retry_after_s=2.0))
        match self.keys.find(exchange.request):
            case Err(refusal):
                return Err(refusal)
            case Ok(caller):
                progress.organisation = caller.organisation
                progress.organisation_class = caller.record.size_class
        match read_head(exchange.request, caller, self.core.snapshot):
            case Err(refusal):
                return Err(refusal)
            case Ok(head):
                progress.tier = head.tier_name
        tokens = self.provisional_tokens(caller.organisation, head)
        wait_s = self.limits.admit(caller.organisation, tokens, time.monotonic())
        if wait_s > 0:
            return Err(refuse("rate_limited", retry_after_s=wait_s))
        progress.charged_tokens = tokens
        decision = self.admission.admit(
            progress.request_id,
            head.tier.rank,
            caller.organisation,
            head.body_length,
        )
        for request_id in decision.evict:
            self.evict(request_id)
        if not decision.admitted:
            wait_s = 1.0 + self.core.rng.random()
            return Err(refuse("entry_overloaded", retry_after_s=wait_s))
        return Ok(head)

    def provisional_tokens(self, organisation: str, head: CallHead) -> int:
        """Estimate the tokens from the head alone, for the rate limit."""
        if head.kind == "service":
            return SERVICE_ANSWER_TOKENS
        length = min(head.body_length, PROVISIONAL_ESTIMATE_MAX_BYTES)
        max_answer_tokens = head.caller.policy.max_answer_tokens
        return self.estimator.estimate(
            organisation, "", length, 0, max_answer_tokens
        ).total

    def evict(self, request_id: str) -> None:
        refusal = refuse("entry_overloaded", retry_after_s=2.0)
        call = self.core.calls.get(request_id)
        if call is None:
            self.evicted.add(request_id)
            return
        call.forced_refusal = refusal
        call.wake.set()

    def end_grace(self) -> None:
        """End the open requests and those to come, as the entry stops."""
        self.grace_ended = True
        for call in list(self.core.calls.values()):
            call.end_grace()

    # Body.

    async def read_body(
        self, exchange: HttpExchange, progress: Progress, head: CallHead
    ) -> Result[list[bytes], Refusal]:
        """Read the body within the timeout of the request."""
        # The read timeout bounds only pauses; without this limit a body that arrives
        # byte by byte could take any time.
        try:
            async with asyncio.timeout(head.timeout_s):
                return await self.read_pieces(exchange, progress, head)
        except TimeoutError:
            return Err(refuse("body_too_slow"))

    async def read_pieces(
        self, exchange: HttpExchange, progress: Progress, head: CallHead
    ) -> Result[list[bytes], Refusal]:
        """Read the body into chunks of the size in which it is sent to the agent."""
        pieces: list[bytes] = []
        buffer = bytearray()
        size = 0
        async for piece in exchange.read_body():
            match piece:
                case Err(refusal):
                    return Err(refusal)
                case Ok(data):
                    size += len(data)
            if size > head.body_length:
                return Err(refuse("body_too_large"))
            if progress.request_id in self.evicted:
                return Err(refuse("entry_overloaded", retry_after_s=2.0))
            buffer += data
            while len(buffer) >= BODY_CHUNK_BYTES:
                pieces.append(bytes(buffer[:BODY_CHUNK_BYTES]))
                del buffer[:BODY_CHUNK_BYTES]
        if buffer:
            pieces.append(bytes(buffer))
        return Ok(pieces)

    def build_call(
        self,
        exchange: HttpExchange,
        progress: Progress,
        head: CallHead,
        body: list[bytes],
    ) -> Result[Call, Refusal]:
        fields = ChatFields()
        if head.kind == "chat":
            match read_chat(body):
                case Err(refusal):
                    return Err(refusal)
                case Ok(fields):
                    pass
        match self.find_pool(head, fields):
            case Err(refusal):
                return Err(refusal)
            case Ok(pool):
                pass
        request = exchange.request
        repeatable = is_repeatable(pool.record, request.method, request.path)
        if not repeatable and not head.idempotency_key:
            return Err(refuse("key_required"))
        estimate = self.estimate(head, fields)
        progress.estimate = estimate
        progress.model = fields.model
        call = Call(
            request_id=progress.request_id,
            head=head,
            pool=pool,
            method=request.method,
            target=request.target,
            headers=forwarded_headers(request.headers, progress.request_id, head),
            body=body,
            body_length=sum(len(piece) for piece in body),
            repeatable=repeatable,
            tokens=estimate.total,
            prompt_tokens=estimate.prompt_tokens,
            prefix_hash=prefix_hash(fields.model, fields.prefix),
            created_at=time.monotonic(),
        )
        return Ok(call)

    def find_pool(
        self, head: CallHead, fields: ChatFields
    ) -> Result[PoolChoice, Refusal]:
        if head.kind == "chat":
            return find_chat_pool(self.core.snapshot, fields.model)
        return find_service_pool(self.core.snapshot, head.service)

    def estimate(self, head: CallHead, fields: ChatFields) -> Estimate:
        if head.kind == "service":
            prompt = head.body_length // BYTES_PER_TOKEN
            return Estimate(prompt, SERVICE_ANSWER_TOKENS)
        max_answer_tokens = head.caller.policy.max_answer_tokens
        return self.estimator.estimate(
            head.caller.organisation,
            fields.model,
            fields.text_bytes,
            fields.images,
            min(max_answer_tokens, fields.max_tokens or max_answer_tokens),
        )

    # Placement and answer.

    async def run_at_most_once(
        self, exchange: HttpExchange, progress: Progress, call: Call
    ) -> Refusal | None:
        """Run a non-idempotent call under its idempotency key, or replay its result."""
        match await self.claims.claim(call):
            case Err(refusal):
                return await self.refuse(exchange, progress, refusal)
            case Ok(StoredResult() as result):
                headers = [
                    *result.headers,
                    ("idempotency-replayed", "true"),
                    (REQUEST_ID_HEADER, progress.request_id),
                ]
                kept = [(n, v) for n, v in headers if n != "content-length"]
                await exchange.respond(result.status, kept, result.body)
                return None
        try:
            return await self.run(exchange, progress, call)
        finally:
            self.claims.end(call)

    async def run(
        self, exchange: HttpExchange, progress: Progress, call: Call
    ) -> Refusal | None:
        """Place the call and stream its answer; place it again if it did not run."""
        self.core.calls[call.request_id] = call
        watcher = asyncio.create_task(self.watch_caller(exchange, call))
        self.core.budget(call.pool.name).record_first_attempt()
        if call.request_id in self.evicted:
            self.evict(call.request_id)
        if self.grace_ended:
            call.end_grace()
        self.placer.check_feasibility(call)
        try:
            while True:
                refusal = await self.placer.place(call)
                if refusal is not None:
                    return await self.refuse(exchange, progress, refusal)
                self.admission.handed_off(call.request_id)
                match await Streamer(call, exchange, self.metrics).run():
                    case Completed(end):
                        call.actual_tokens = end.prompt_tokens + end.answer_tokens
                        self.observe_usage(progress, call, end)
                        return None
                    case Failed(refusal):
                        return refusal
                    case RetryPlacement():
                        call.last_resort_round = None
                        call.infeasible = False
        finally:
            call.close()
            self.core.calls.pop(call.request_id, None)
            # Another task reads the next request of the connection, and only one task
            # at a time may wait on a stream.
            watcher.cancel()
            await asyncio.wait([watcher])

    async def watch_caller(self, exchange: HttpExchange, call: Call) -> None:
        await exchange.wait_closed()
        call.caller_disconnected = True
        call.events.put_nowait(CallerDisconnected())
        call.wake.set()

    # Accounting and release.

    def observe_usage(self, progress: Progress, call: Call, end: pb.End) -> None:
        """Correct the estimator and the rate limit by the reported token counts."""
        estimate = progress.estimate
        if estimate is None or call.head.kind != "chat" or not end.prompt_tokens:
            return
        prompt, answer = end.prompt_tokens, end.answer_tokens
        self.estimator.observe(
            progress.organisation, progress.model, estimate, prompt, answer
        )
        self.limits.correct_charge(
            progress.organisation,
            progress.charged_tokens,
            prompt + answer,
            time.monotonic(),
        )

    async def refuse(
        self, exchange: HttpExchange, progress: Progress, refusal: Refusal
    ) -> Refusal:
        headers = [(REQUEST_ID_HEADER, progress.request_id)]
        await exchange.respond_refusal(refusal, headers)
        return refusal

    def refund(self, progress: Progress) -> None:
        """Refund the rate-limit charge of a request that did not run."""
        self.limits.correct_charge(
            progress.organisation, progress.charged_tokens, 0, time.monotonic()
        )

    def release(self, progress: Progress) -> None:
        self.admission.release(progress.request_id)
        self.evicted.discard(progress.request_id)
