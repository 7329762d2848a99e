"""State machine of an idempotency key: claimed, started, finished.

Each step is a pure function from the stored claim to the next one. A step that has
already taken effect gives ``Settled``, so that a writer whose answer was lost reads
the claim back and applies the same step again.
"""

import enum

import attrs

__all__ = [
    "Claim",
    "ClaimPhase",
    "ClaimStep",
    "Denied",
    "DeniedReason",
    "Put",
    "ResultRecord",
    "Settled",
    "Settlement",
    "claim_step",
    "finish_step",
    "release_step",
    "settle_step",
    "start_step",
]


class ClaimPhase(enum.StrEnum):
    """Say how far the call of a key has come."""

    CLAIMED = "claimed"  # It has not been sent to the service.
    STARTED = "started"  # It may have been sent.
    FINISHED = "finished"  # Its result is stored.


@attrs.frozen(kw_only=True)
class ResultRecord:
    """Hold a result; a large body is in the object store under ``object_name``."""

    status: int
    headers: list[tuple[str, str]]
    body_base64: str = ""
    object_name: str = ""


@attrs.frozen(kw_only=True)
class Claim:
    """Hold the stored state of a key.

    ``token`` names the claimant and ``start_id`` the one attempt to start the call.
    ``claimed_at`` is the claimant's wall clock in seconds. It only delays a take-over;
    no safety rests on it. ``settled_by`` and ``settle_token`` are set when an operator
    and not an agent stored the result.
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
    """Say why a step does not apply."""

    OTHER_BODY = "other_body"
    IN_PROGRESS = "in_progress"
    STARTED = "started"
    NOT_STARTED = "not_started"
    REPLACED = "replaced"
    MISSING = "missing"
    CHANGED = "changed"
    FINISHED = "finished"


@attrs.frozen
class Put:
    """Ask for a conditional write; ``None`` deletes the claim."""

    claim: Claim | None


@attrs.frozen
class Settled:
    """Say that the step needs no write."""

    claim: Claim | None


@attrs.frozen
class Denied:
    """Say that the step does not apply."""

    reason: DeniedReason


ClaimStep = Put | Settled | Denied


@attrs.frozen(kw_only=True)
class Settlement:
    """Hold an operator's finding on a started call.

    ``revision`` is the revision of the claim's row that the operator saw; ``result``
    is stored when the call ran, and ``None`` frees the key. ``token`` identifies the
    settlement when its answer is lost.
    """

    revision: int
    result: ResultRecord | None
    operator: str
    token: str


def claim_step(
    current: Claim | None, body_hash: str, token: str, now: float, take_over_s: float
) -> ClaimStep:
    """Claim a key; a claim that never started may be taken over after a time.

    Taking over replaces the token, so the earlier claimant can no longer start.
    """
    mine = Claim(
        phase=ClaimPhase.CLAIMED, body_hash=body_hash, token=token, claimed_at=now
    )
    if current is None:
        return Put(mine)
    if current.body_hash != body_hash:
        return Denied(DeniedReason.OTHER_BODY)
    match current.phase:
        case ClaimPhase.FINISHED:
            return Settled(current)
        case ClaimPhase.STARTED:
            return Denied(DeniedReason.STARTED)
    if current.token == token:
        return Settled(current)
    # The absolute value keeps a claimant's clock that was ahead from blocking the key.
    if abs(now - current.claimed_at) >= take_over_s:
        return Put(mine)
    return Denied(DeniedReason.IN_PROGRESS)


def start_step(current: Claim | None, token: str, start_id: str) -> ClaimStep:
    """Start the call; only one ``start_id`` ever succeeds for a token."""
    if current is None:
        return Denied(DeniedReason.MISSING)
    if current.token != token:
        return Denied(DeniedReason.REPLACED)
    match current.phase:
        case ClaimPhase.CLAIMED:
            started = attrs.evolve(current, phase=ClaimPhase.STARTED, start_id=start_id)
            return Put(started)
        case ClaimPhase.STARTED if current.start_id == start_id:
            return Settled(current)
    return Denied(DeniedReason.STARTED)


def finish_step(current: Claim | None, token: str, result: ResultRecord) -> ClaimStep:
    """Store the result; the first one stays."""
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
    return Settled(current)


def release_step(current: Claim | None, token: str, start_id: str) -> ClaimStep:
    """Give up a claim whose call was not sent.

    A started claim is released only by the attempt that wrote it, which must not have
    sent the call; an empty ``start_id`` releases claims that never started.
    """
    if current is None or current.token != token:
        return Settled(None)
    match current.phase:
        case ClaimPhase.CLAIMED:
            return Put(None)
        case ClaimPhase.STARTED if start_id and current.start_id == start_id:
            return Put(None)
    return Denied(DeniedReason.STARTED)


def settle_step(
    current: Claim | None, revision: int, settlement: Settlement
) -> ClaimStep:
    """Settle a started claim whose agent is gone; ``revision`` is that of the row.

    A claim that changed after the operator read it is left alone: its agent may have
    stored the result, or a repeat may have started after another settlement.
    """
    if current is None:
        return Denied(DeniedReason.MISSING)
    if current.settle_token and current.settle_token == settlement.token:
        return Settled(current)
    if revision != settlement.revision:
        return Denied(DeniedReason.CHANGED)
    match current.phase:
        case ClaimPhase.CLAIMED:
            # It frees itself: another entry may take it over.
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
