"""Idempotency claims in table ``claims``, keyed ``ORGANISATION/KEY``."""

import base64
import collections
import secrets
import time
from collections.abc import Callable

import attrs
import cattrs
from result import Err, Ok, Result

from acaciarelay.protocol.codes import CODES, Refusal, refuse
from acaciarelay.protocol.platform_api import (
    Platform,
    PlatformError,
    PlatformFault,
    Row,
)
from acaciarelay.state.claim import (
    AlreadyApplied,
    Claim,
    ClaimStep,
    Denied,
    DeniedReason,
    Put,
    ResultRecord,
    claim_step,
    finish_step,
    release_step,
    start_step,
)
from acaciarelay.state.store_era import NO_ERA
from acaciarelay.transport.claim_rewriter import TABLE, ClaimRewriter, decode_claim
from acaciarelay.transport.conditional_write import (
    MAX_ATTEMPTS,
    AssumedRow,
    Replace,
    Stop,
    Written,
    update_row,
)
from acaciarelay.transport.era_monitor import EraMonitor

__all__ = ["ClaimOutcome", "ClaimStore", "Claimed", "Finished", "StoredResult"]

RETRY_AFTER_S = 1.0
# Bounds the memory for started calls that were neither finished nor released.
MAX_START_IDS = 10_000

REFUSAL_NAMES = {
    DeniedReason.OTHER_BODY: "key_conflict",
    DeniedReason.IN_PROGRESS: "key_in_progress",
    DeniedReason.STARTED: "key_unsettled",
    DeniedReason.NOT_STARTED: "key_unsettled",
    # The claim was taken over, and for MISSING has since been deleted. The call was
    # not sent.
    DeniedReason.REPLACED: "key_in_progress",
    DeniedReason.MISSING: "key_in_progress",
    # Only ``settle_step`` returns these: they answer an operator and never a call.
    DeniedReason.CHANGED: "record_conflict",
    DeniedReason.FINISHED: "record_conflict",
}


@attrs.frozen
class StoredResult:
    """Response of a finished call with its body; stored as a ``ResultRecord``."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen
class Claimed:
    """The key is now claimed under the token of this call."""


@attrs.frozen
class Finished:
    """An earlier call with the key has finished with this result."""

    result: StoredResult


ClaimOutcome = Claimed | Finished


class ClaimStore:
    """Change the state of claims by conditional writes.

    ``take_over_s`` is the age in seconds from which a claim that never started may be
    taken over. Results with a body above ``inline_limit_bytes`` go to the object store.
    ``clock`` is the wall clock, since claims outlive the process that made them.
    ``monotonic`` is a monotonic clock in seconds. While the rewriter's window is open
    no key is claimed, since the claim of an earlier call may not be written again yet.
    """

    def __init__(
        self,
        platform: Platform,
        take_over_s: float,
        inline_limit_bytes: int = 65_536,
        clock: Callable[[], float] = time.time,
        eras: EraMonitor | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.platform = platform
        self.take_over_s = take_over_s
        self.inline_limit_bytes = inline_limit_bytes
        self.clock = clock
        self.start_ids: collections.OrderedDict[str, str] = collections.OrderedDict()
        self.rewriter = ClaimRewriter(platform, eras or EraMonitor(), monotonic)

    async def claim(
        self, key: str, body_hash: str, token: str
    ) -> Result[ClaimOutcome, Refusal]:
        """Claim a key for one call; ``token`` must be new for each call.

        Every refusal means that this call was not run. ``key_unsettled`` means that an
        earlier call with the key may have run.
        """
        if self.rewriter.window_open:
            return Err(_store_restored())

        def step(current: Claim | None) -> ClaimStep:
            now = self.clock()
            return claim_step(current, body_hash, token, now, self.take_over_s)

        # Most keys are new, so the first attempt writes without a read.
        match await self.apply(key, token, step, AssumedRow(None)):
            case Err(PlatformError() as error):
                # An unconfirmed claim is harmless: it is never started.
                return Err(_unavailable(error))
            case Err(Denied() as denied):
                return Err(_denied(denied))
            case Ok(Claim(result=ResultRecord() as record)):
                return await self.load_result(record)
        if self.rewriter.window_open:
            # The answer of this claim was the first one of the new era.
            await self.release(key, token)
            return Err(_store_restored())
        return Ok(Claimed())

    async def start(self, key: str, token: str) -> Result[None, Refusal]:
        """Mark the claim as started; after any refusal the call must not be sent.

        After ``platform_unavailable`` the claim may still be marked as started;
        ``release`` of the same ``ClaimStore`` instance frees the key.
        """
        # Unique to this attempt. With the token alone, two agents with the same token
        # could each conclude that they had started the call.
        start_id = secrets.token_hex(16)
        self.remember_start_id(token, start_id)
        match await self.apply(
            key, token, lambda current: start_step(current, token, start_id)
        ):
            case Err(PlatformError() as error):
                return Err(_unavailable(error))
            case Err(Denied() as denied):
                self.start_ids.pop(token, None)
                return Err(_denied(denied))
        return Ok(None)

    async def finish(
        self, key: str, token: str, result: StoredResult
    ) -> Result[None, Refusal]:
        """Store the result; may be retried after ``platform_unknown``."""
        match await self.store_result(key, token, result):
            case Err(error):
                return Err(_not_stored(error))
            case Ok(record):
                pass
        match await self.apply(
            key, token, lambda current: finish_step(current, token, record)
        ):
            case Err(PlatformError() as error):
                return Err(_not_stored(error))
            case Err(Denied() as denied):
                detail = f"the result can't be stored: {denied.reason}"
                return Err(refuse("key_unsettled", detail))
        self.start_ids.pop(token, None)
        return Ok(None)

    async def release(self, key: str, token: str) -> Result[None, Refusal]:
        """Release a claim whose call was not sent.

        A started claim is released only by the ``ClaimStore`` instance that started it.
        """
        start_id = self.start_ids.get(token, "")
        match await self.apply(
            key, token, lambda current: release_step(current, token, start_id)
        ):
            case Err(PlatformError() as error):
                return Err(_unavailable(error))
            case Err(Denied() as denied):
                return Err(_denied(denied))
        self.start_ids.pop(token, None)
        return Ok(None)

    async def apply(
        self,
        key: str,
        token: str,
        step: Callable[[Claim | None], ClaimStep],
        assumed: AssumedRow | None = None,
    ) -> Result[Claim | None, Denied | PlatformError]:
        """Apply a step; a claim that a restored store lacks is written again first."""
        await self.rewriter.catch_up(key)
        answer = await self.apply_once(key, token, step, assumed)
        missing = answer == Err(Denied(DeniedReason.MISSING))
        if not missing or not self.rewriter.memory.has_claim(key, token):
            return answer
        # The first answer of a new era was that of this step.
        await self.rewriter.catch_up(key)
        return await self.apply_once(key, token, step)

    async def apply_once(
        self,
        key: str,
        token: str,
        step: Callable[[Claim | None], ClaimStep],
        assumed: AssumedRow | None = None,
    ) -> Result[Claim | None, Denied | PlatformError]:
        era = NO_ERA

        def decide(row: Row | None) -> Replace | Stop[AlreadyApplied | Denied]:
            nonlocal era
            era = self.rewriter.eras.current if row is None else row.era
            match step(decode_claim(row)):
                case Put(None):
                    return Replace(None)
                case Put(Claim() as claim):
                    return Replace(cattrs.unstructure(claim))
                case AlreadyApplied() | Denied() as outcome:
                    return Stop(outcome)
            raise AssertionError("unexpected claim step")

        match await update_row(self.platform, TABLE, key, decide, assumed):
            case Err(error):
                return Err(error)
            case Ok(Stop(Denied() as denied)):
                return Err(denied)
            case Ok(Stop(AlreadyApplied(claim))):
                pass
            case Ok(Written(row)):
                claim, era = decode_claim(row), row.era
        if claim is None or claim.token == token:
            self.rewriter.memory.remember(key, token, claim, era)
        return Ok(claim)

    def remember_start_id(self, token: str, start_id: str) -> None:
        self.start_ids[token] = start_id
        while len(self.start_ids) > MAX_START_IDS:
            self.start_ids.popitem(last=False)

    async def store_result(
        self, key: str, token: str, result: StoredResult
    ) -> Result[ResultRecord, PlatformError]:
        record = ResultRecord(status=result.status, headers=result.headers)
        if len(result.body) <= self.inline_limit_bytes:
            text = base64.b64encode(result.body).decode()
            return Ok(attrs.evolve(record, body_base64=text))
        # The name contains the token, so a repeated write stores the same bytes.
        name = f"{TABLE}/{key}/{token}"
        error = PlatformError(PlatformFault.UNAVAILABLE, "")
        for _ in range(MAX_ATTEMPTS):
            match await self.platform.put_object(name, result.body):
                case Ok(_):
                    return Ok(attrs.evolve(record, object_name=name))
                case Err(error):
                    if error.fault is PlatformFault.UNAVAILABLE:
                        break
        return Err(error)

    async def load_result(self, record: ResultRecord) -> Result[ClaimOutcome, Refusal]:
        if not record.object_name:
            body = base64.b64decode(record.body_base64)
            return Ok(Finished(StoredResult(record.status, record.headers, body)))
        match await self.platform.get_object(record.object_name):
            case Ok(bytes() as data):
                return Ok(Finished(StoredResult(record.status, record.headers, data)))
            case Err(error):
                detail = f"the call has run; its result is not readable: {error.detail}"
            case _:
                detail = "the call has run; its result is missing"
        return Err(refuse("platform_unknown", detail))


def _denied(denied: Denied) -> Refusal:
    name = REFUSAL_NAMES[denied.reason]
    retry_after_s = RETRY_AFTER_S if CODES[name].retryable else None
    return refuse(name, f"the claim of this key is {denied.reason}", retry_after_s)


def _store_restored() -> Refusal:
    detail = "the store was restored; claims of earlier calls are being written again"
    return refuse("platform_unavailable", detail, RETRY_AFTER_S)


def _unavailable(error: PlatformError) -> Refusal:
    return refuse("platform_unavailable", error.detail, RETRY_AFTER_S)


def _not_stored(error: PlatformError) -> Refusal:
    detail = f"the call has run; its result is not stored: {error.detail}"
    return refuse("platform_unknown", detail)
