"""Claims written lately, and the step that writes one again after a lost write."""

import attrs

from acaciarelay.state.claim import AlreadyApplied, Claim, ClaimPhase, ClaimStep, Put

__all__ = ["RememberedClaim", "restore_step"]

_PHASES = list(ClaimPhase)


@attrs.frozen(kw_only=True)
class RememberedClaim:
    """The newest confirmed write of a claim by this process.

    ``claim`` is ``None`` after a release of the claim with ``token``. ``written_at`` is
    monotonic, in seconds; ``era`` is the store's era at the write. The claimant sets
    ``handed_off`` once an agent may have started the call.
    """

    token: str
    claim: Claim | None
    written_at: float
    era: int
    handed_off: bool = False

    @property
    def result_bytes(self) -> int:
        if self.claim is None or self.claim.result is None:
            return 0
        return len(self.claim.result.body_base64)


def restore_step(current: Claim | None, remembered: RememberedClaim) -> ClaimStep:
    """Write a claim that the store has lost, unless the stored one is as far.

    A claim of another token that has made less progress is replaced, so that its call
    can no longer start. A claim that was handed off is written as started without a
    start id, which its agent replaces if it is still there.
    """
    claim = remembered.claim
    if claim is None:
        return _release_again(current, remembered.token)
    if remembered.handed_off and claim.phase is ClaimPhase.CLAIMED:
        claim = attrs.evolve(claim, phase=ClaimPhase.STARTED)
    if current is not None and _progress(current) >= _progress(claim):
        return AlreadyApplied(current)
    return Put(claim)


def _progress(claim: Claim) -> tuple[int, bool]:
    return _PHASES.index(claim.phase), bool(claim.start_id)


def _release_again(current: Claim | None, token: str) -> ClaimStep:
    if current is None or current.token != token:
        return AlreadyApplied(current)
    if current.phase is ClaimPhase.FINISHED:
        return AlreadyApplied(current)
    return Put(None)
