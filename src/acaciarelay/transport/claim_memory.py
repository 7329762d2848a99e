"""Bounded memory of the claims that a process wrote lately."""

import collections
import time
from collections.abc import Callable

import attrs

from acaciarelay.state.claim import Claim, ClaimPhase
from acaciarelay.state.claim_restore import RememberedClaim

__all__ = ["ClaimMemory"]

# Longer than the age of any copy to which the store returns.
MEMORY_S = 60.0
MAX_CLAIMS = 20_000
MAX_RESULT_BYTES = 67_108_864


class ClaimMemory:
    """Claims by key, oldest write first; ``clock`` is monotonic."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.claims: collections.OrderedDict[str, RememberedClaim] = (
            collections.OrderedDict()
        )
        self.result_bytes = 0

    def remember(self, key: str, token: str, claim: Claim | None, era: int) -> None:
        """Record a confirmed write; results beyond the memory limit are left out.

        A release does not replace the claim of another token, and neither does a write
        in a newer era: the other claim is to be written again first.
        """
        known = self.claims.get(key)
        if known is not None and known.token != token:
            if claim is None or known.era < era:
                return
        self.forget(key)
        remembered = RememberedClaim(
            token=token, claim=claim, written_at=self.clock(), era=era
        )
        if claim is not None and self.exceeds_limit(remembered):
            # A repeat is then refused as unsettled in place of the lost result.
            without = attrs.evolve(claim, phase=ClaimPhase.STARTED, result=None)
            remembered = attrs.evolve(remembered, claim=without)
        self.claims[key] = remembered
        self.result_bytes += remembered.result_bytes
        self.expire()

    def exceeds_limit(self, remembered: RememberedClaim) -> bool:
        return self.result_bytes + remembered.result_bytes > MAX_RESULT_BYTES

    def mark_handed_off(self, key: str, token: str) -> None:
        """Record that an agent may have started the call of a claim."""
        if self.has_claim(key, token):
            self.claims[key] = attrs.evolve(self.claims[key], handed_off=True)

    def expire(self) -> None:
        """Forget the claims that no copy of the store can lack."""
        horizon = self.clock() - MEMORY_S
        while self.claims:
            key, oldest = next(iter(self.claims.items()))
            if len(self.claims) <= MAX_CLAIMS and oldest.written_at > horizon:
                return
            self.forget(key)

    def forget(self, key: str) -> None:
        remembered = self.claims.pop(key, None)
        if remembered is not None:
            self.result_bytes -= remembered.result_bytes

    def get(self, key: str) -> RememberedClaim | None:
        return self.claims.get(key)

    def has_claim(self, key: str, token: str) -> bool:
        """Whether the newest write of a key is a claim with this token."""
        remembered = self.claims.get(key)
        if remembered is None or remembered.claim is None:
            return False
        return remembered.token == token

    def is_behind(self, key: str, era: int) -> bool:
        """Whether the newest write of a key was confirmed in a former era."""
        remembered = self.claims.get(key)
        return remembered is not None and remembered.era < era

    def keys_before(self, era: int) -> list[str]:
        """List the keys whose newest write was confirmed in a former era."""
        return [key for key, claim in self.claims.items() if claim.era < era]

    def confirm(self, key: str, remembered: RememberedClaim, era: int) -> None:
        """Record that the store has a claim in an era, unless it was written since."""
        if self.claims.get(key) is remembered:
            self.claims[key] = attrs.evolve(remembered, era=era)
