"""Token-bucket rate limits of organisations."""

import attrs

__all__ = ["OrganisationLimits"]

# Burst of an organisation without a configured one, in seconds of its rate.
DEFAULT_BURST_S = 10.0
# Tolerated rounding error, so that a caller that waited exactly the returned time is
# admitted.
TOLERANCE_TOKENS = 1e-3


@attrs.define(eq=False)
class _Bucket:
    """A token bucket; a negative level is a debt."""

    rate: float
    burst: float
    level: float
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        if self.updated_at is not None:
            elapsed = max(0.0, now - self.updated_at)
            self.level = min(self.burst, self.level + elapsed * self.rate)
        self.updated_at = now


class OrganisationLimits:
    """Admit requests by their estimated tokens, corrected later by the actual ones."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def configure(
        self,
        organisation: str,
        tokens_per_second: float,
        burst_tokens: float,
        share: float,
    ) -> None:
        """Set an organisation's limit; a rate of 0 removes it.

        ``share`` is the part of the limit that this entry enforces. A change keeps the
        ratio of the level to the burst.
        """
        rate = tokens_per_second * share
        if rate <= 0:
            self._buckets.pop(organisation, None)
            return
        burst = (burst_tokens or tokens_per_second * DEFAULT_BURST_S) * share
        bucket = self._buckets.get(organisation)
        if bucket is None:
            self._buckets[organisation] = _Bucket(rate, burst, burst)
            return
        bucket.level *= burst / bucket.burst
        bucket.rate = rate
        bucket.burst = burst

    def admit(self, organisation: str, tokens: int, now: float) -> float:
        """Charge tokens and return 0, or return the seconds until they are admitted.

        A request larger than the burst is admitted when the bucket is full, which then
        goes into debt; otherwise the request could never run.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        missing = min(tokens, bucket.burst) - bucket.level
        if missing > TOLERANCE_TOKENS:
            return missing / bucket.rate
        bucket.level -= tokens
        return 0.0

    def correct_charge(
        self, organisation: str, estimated: int, actual: int, now: float
    ) -> None:
        """Replace an estimated charge by the actual number of tokens."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.refill(now)
        bucket.level += estimated - actual  # The next refill caps the level.
