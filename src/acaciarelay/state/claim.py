"""State machine of an idempotency key: claimed, started, finished.

Each step is a pure function from the stored claim to the write that is needed. A step
that has already taken effect returns ``AlreadyApplied``, so a writer that lost the
response to a write can read the claim back and apply the same step again. The exception
is a settlement that deleted the claim, see ``Settlement``.
"""

import enum

import attrs

__all__ = [
    "AlreadyApplied",
    "Claim",
    "ClaimPhase",
    "ClaimStep",
    "Denied",
    "DeniedReason",
    "Put",
    "ResultRecord",
    "Settlement",
    "claim_step",
    "finish_step",
    "release_step",
    "settle_step",
    "start_step",
]


class ClaimPhase(enum.StrEnum):
    """Progress of the call that a key protects."""

    CLAIMED = "claimed"  # It has not been sent to the service.
    STARTED = "started"  # It may have been sent.
    FINISHED = "finished"  # Its result is stored.


@attrs.frozen(kw_only=True)
class ResultRecord:
    """Stored result of a call.

    The body is stored inline, in base64, or in the object store as ``object_name``.
    """

    status: int
    headers: list[tuple[str, str]]
    body_base64: str = ""
    object_name: str = ""


@attrs.frozen(kw_only=True)
class Claim:
    """Stored state of an idempotency key.

    ``body_hash`` is the hash of the call's method, path and body. ``token`` identifies
    the claimant, ``start_id`` the attempt that started the call.
    ``claimed_at`` is the claimant's wall clock in seconds since the epoch; it only
    delays a take-over, and correctness does not depend on it. ``settled_by`` and
    ``settle_token`` are set when an operator, and not an agent, stored the result.
    """

    phase: ClaimPhase
    body_hash: str
    token: str
    claimed_at: float
    start_id: str = ""
    result: ResultRecord | None = None
    settled_by: str = ""
    settle_token: str = ""


class DeniedReason(enum.StrEnum):
    """Why a step does not apply to the stored claim."""

    OTHER_BODY = "other_body"  # The key was used with another method, path or body.
    IN_PROGRESS = "in_progress"  # Another claimant has the key and may start the call.
    STARTED = "started"
    NOT_STARTED = "not_started"
    REPLACED = "replaced"  # The stored claim has another token.
    MISSING = "missing"  # There is no claim of the key.
    CHANGED = "changed"  # The claim was written after the operator read it.
    FINISHED = "finished"


@attrs.frozen
class Put:
    """The step needs a conditional write of this claim; ``None`` deletes the row."""

    claim: Claim | None


@attrs.frozen
class AlreadyApplied:
    """The step needs no write; ``claim`` is the stored one, ``None`` for a release."""

    claim: Claim | None


@attrs.frozen
class Denied:
    """The step does not apply to the stored claim."""

    reason: DeniedReason


ClaimStep = Put | AlreadyApplied | Denied


@attrs.frozen(kw_only=True)
class Settlement:
    """An operator's decision on a started call whose agent is gone.

    ``revision`` is the revision of the claim's row that the operator read. ``result``
    is stored when the call ran; ``None`` deletes the claim, so that the call may be
    repeated. When the response is lost and the settlement is repeated with the same
    ``token``, it returns ``AlreadyApplied`` if it has stored a result. One that has
    deleted the claim is denied as ``MISSING``, or as ``CHANGED`` once the key is
    claimed again.
    """

    revision: int
    result: ResultRecord | None
    operator: str
    token: str


def claim_step(
    current: Claim | None, body_hash: str, token: str, now: float, take_over_s: float
) -> ClaimStep:
    """Claim a key; a claim not started within ``take_over_s`` may be taken over.

    A take-over replaces the token, so the earlier claimant can no longer start.
    """
    new_claim = Claim(
        phase=ClaimPhase.CLAIMED, body_hash=body_hash, token=token, claimed_at=now
    )
    if current is None:
        return Put(new_claim)
    if current.body_hash != body_hash:
        return Denied(DeniedReason.OTHER_BODY)
    match current.phase:
        case ClaimPhase.FINISHED:
            return AlreadyApplied(current)
        case ClaimPhase.STARTED:
            return Denied(DeniedReason.STARTED)
    if current.token == token:
        return AlreadyApplied(current)
    # The absolute difference keeps a claimant's clock that was far ahead from blocking
    # the key.
    if abs(now - current.claimed_at) >= take_over_s:
        return Put(new_claim)
    return Denied(DeniedReason.IN_PROGRESS)


def start_step(current: Claim | None, token: str, start_id: str) -> ClaimStep:
    """Record the start of the call; only one ``start_id`` succeeds for each token."""
    if current is None:
        return Denied(DeniedReason.MISSING)
    if current.token != token:
        return Denied(DeniedReason.REPLACED)
    match current.phase:
        case ClaimPhase.CLAIMED:
            started = attrs.evolve(current, phase=ClaimPhase.STARTED, start_id=start_id)
            return Put(started)
        case ClaimPhase.STARTED if not current.start_id:
            # Its claimant wrote it again after it had handed the call off.
            return Put(attrs.evolve(current, start_id=start_id))
        case ClaimPhase.STARTED if current.start_id == start_id:
            return AlreadyApplied(current)
    return Denied(DeniedReason.STARTED)


def finish_step(current: Claim | None, token: str, result: ResultRecord) -> ClaimStep:
    """Store the result; a result stored earlier is kept."""
    if current is None:
        return Denied(DeniedReason.MISSING)
    if current.token != token:
        return Denied(DeniedReason.REPLACED)
    match current.phase:
        case ClaimPhase.CLAIMED:
            return Denied(DeniedReason.NOT_STARTED)
        case ClaimPhase.STARTED:
            finished = attrs.evolve(current, phase=ClaimPhase.FINISHED, result=result)
            return Put(finished)
    return AlreadyApplied(current)


def release_step(current: Claim | None, token: str, start_id: str) -> ClaimStep:
    """Delete a claim whose call was not sent.

    A started claim is released only by the attempt with its ``start_id``, which must
    not have sent the call. An empty ``start_id`` releases only claims that no attempt
    has started.
    """
    if current is None or current.token != token:
        return AlreadyApplied(None)
    match current.phase:
        case ClaimPhase.CLAIMED:
            return Put(None)
        case ClaimPhase.STARTED if current.start_id == start_id:
            return Put(None)
    return Denied(DeniedReason.STARTED)


def settle_step(
    current: Claim | None, current_revision: int, settlement: Settlement
) -> ClaimStep:
    """Settle a started claim whose agent is gone.

    ``current_revision`` is the present revision of the claim's row. A claim that
    changed after the operator read it is not settled: its agent may have stored the
    result, or a repeated call may have started after another settlement.
    """
    if current is None:
        return Denied(DeniedReason.MISSING)
    if current.settle_token and current.settle_token == settlement.token:
        return AlreadyApplied(current)
    if current_revision != settlement.revision:
        return Denied(DeniedReason.CHANGED)
    match current.phase:
        case ClaimPhase.CLAIMED:
            # No settlement is needed: another entry can take the claim over.
            return Denied(DeniedReason.NOT_STARTED)
        case ClaimPhase.FINISHED:
            return Denied(DeniedReason.FINISHED)
    if settlement.result is None:
        return Put(None)
    settled = attrs.evolve(
        current,
        phase=ClaimPhase.FINISHED,
        result=settlement.result,
        settled_by=settlement.operator,
        settle_token=settlement.token,
    )
    return Put(settled)
