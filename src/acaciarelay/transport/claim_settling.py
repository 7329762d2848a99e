"""Settlement by an operator of claims whose agent died during the call."""

import base64

import attrs
import cattrs
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.admin_api import (
    ClaimAnswer,
    RecordRefusal,
    SettleRequest,
    VersionConflict,
)
from acaciarelay.protocol.codes import CODES, Refusal, refuse
from acaciarelay.protocol.platform_api import (
    Platform,
    PlatformError,
    PlatformFault,
    Row,
)
from acaciarelay.state.claim import (
    AlreadyApplied,
    Denied,
    DeniedReason,
    Put,
    ResultRecord,
    Settlement,
    settle_step,
)
from acaciarelay.transport.claim_rewriter import TABLE, decode_claim
from acaciarelay.transport.claim_store import RETRY_AFTER_S
from acaciarelay.transport.conditional_write import (
    Replace,
    Stop,
    Written,
    update_row,
)

__all__ = ["read_claim", "settle_claim"]

FREE_STATE = "free"
SETTLED_BODY = orjson.dumps(
    {
        "settled": "ran",
        "message": "An operator settled this call as run; its answer is not stored.",
    }
)
SETTLED_RESULT = ResultRecord(
    status=200,
    headers=[("content-type", "application/json")],
    body_base64=base64.b64encode(SETTLED_BODY).decode(),
)

CONFLICT_DETAILS = {
    DeniedReason.CHANGED: "the claim has changed since it was read",
    DeniedReason.FINISHED: "the call has finished and its result is stored",
    DeniedReason.NOT_STARTED: "the call has not started, so it needs no settlement",
}


async def read_claim(
    platform: Platform, organisation: str, key: str
) -> Result[ClaimAnswer, Refusal]:
    """Read the claim of a key; an unused key is refused with ``record_missing``."""
    name = f"{organisation}/{key}"
    match await platform.read(TABLE, name):
        case Err(error):
            return Err(refuse("platform_unavailable", error.detail, RETRY_AFTER_S))
        case Ok(Row(value=value) as row) if value is not None:
            return Ok(_describe(organisation, key, row))
    return Err(refuse("record_missing", f"claim {name}"))


async def settle_claim(
    platform: Platform,
    organisation: str,
    key: str,
    request: SettleRequest,
    operator: str,
    token: str,
) -> Result[ClaimAnswer, Refusal]:
    """Free a started key, or store that its call ran.

    ``ran=False`` is safe only when the agent that started the call is gone, which no
    stored row shows. Errors: ``record_conflict`` when the claim has changed since the
    operator read it or its call is not started or has finished, ``record_missing``
    without a claim, ``platform_unknown`` when the write may have taken effect, else
    ``platform_unavailable``.
    """
    settlement = Settlement(
        revision=request.revision,
        result=SETTLED_RESULT if request.ran else None,
        operator=operator,
        token=token,
    )
    name = f"{organisation}/{key}"
    attempt = _SettleAttempt(settlement)
    match await update_row(platform, TABLE, name, attempt.decide):
        case Err(PlatformError() as error):
            unknown = error.fault is PlatformFault.UNKNOWN
            code = "platform_unknown" if unknown else "platform_unavailable"
            return Err(refuse(code, error.detail, None if unknown else RETRY_AFTER_S))
        case Ok(Stop(Denied() as denied)):
            return attempt.resolve_denial(denied, organisation, key)
        case Ok(Stop(AlreadyApplied())):
            row = attempt.row
        case Ok(Written(row)):
            pass
    return Ok(_describe(organisation, key, row))


@attrs.define
class _SettleAttempt:
    """One settlement; ``decide`` is the decision function for ``update_row``.

    ``may_be_written`` is set once ``decide`` has asked for a write, which may take
    effect from then on. ``row`` is the row as last read.
    """

    settlement: Settlement
    may_be_written: bool = False
    row: Row | None = None

    def decide(self, row: Row | None) -> Replace | Stop[AlreadyApplied | Denied]:
        self.row = row
        revision = row.revision if row is not None else 0
        match settle_step(decode_claim(row), revision, self.settlement):
            case Put(claim):
                self.may_be_written = True
                value = None if claim is None else cattrs.unstructure(claim)
                return Replace(value)
            case AlreadyApplied() | Denied() as outcome:
                return Stop(outcome)
        raise AssertionError("unexpected claim step")

    def resolve_denial(
        self, denied: Denied, organisation: str, key: str
    ) -> Result[ClaimAnswer, Refusal]:
        name = f"{organisation}/{key}"
        if denied.reason is DeniedReason.MISSING:
            if self.may_be_written and self.settlement.result is None:
                return Ok(_describe(organisation, key, None))
            if not self.may_be_written:
                return Err(refuse("record_missing", f"claim {name}"))
        detail = CONFLICT_DETAILS.get(denied.reason, "the claim no longer exists")
        if self.may_be_written:
            # An earlier write, whose response was lost, may have taken effect before
            # the claim was changed again.
            return Err(refuse("platform_unknown", f"claim {name}: {detail}"))
        stored = self.row.revision if self.row is not None else 0
        expected = self.settlement.revision
        conflict = VersionConflict("claim", name, expected, stored, [], [])
        code = CODES["record_conflict"]
        return Err(RecordRefusal(code, f"claim {name}: {detail}", conflicts=[conflict]))


def _describe(organisation: str, key: str, row: Row | None) -> ClaimAnswer:
    claim = decode_claim(row)
    if row is None or claim is None:
        return ClaimAnswer(organisation=organisation, key=key, state=FREE_STATE)
    return ClaimAnswer(
        organisation=organisation,
        key=key,
        state=claim.phase.value,
        revision=row.revision,
        claimed_at=claim.claimed_at,
        settled_by=claim.settled_by,
        status=claim.result.status if claim.result is not None else 0,
    )
