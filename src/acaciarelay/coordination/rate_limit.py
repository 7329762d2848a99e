"""Token-bucket rate limits of organisations."""

import attrs

__all__ = ["OrganisationLimits"]

# Default burst of an organisation, as the time in which its rate refills it.
DEFAULT_BURST_S = 10.0
# Tolerated rounding error, so that a caller that waited exactly the returned time is
# admitted.
TOLERANCE_TOKENS = 1e-3


@attrs.define(eq=False)
class _Bucket:
    """A token bucket; a negative level is a debt."""

    rate_per_s: float
    burst_tokens: float
    level_tokens: float
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        if self.updated_at is not None:
            elapsed = max(0.0, now - self.updated_at)
            self.level_tokens = min(
                self.burst_tokens, self.level_tokens + elapsed * self.rate_per_s
            )
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
        bucket.level_tokens *= burst / bucket.burst_tokens
        bucket.rate_per_s = rate
        bucket.burst_tokens = burst

    def admit(self, organisation: str, tokens: int, now: float) -> float:
        """Charge tokens and return 0, or return the seconds until they are admitted.

        A request larger than the burst is admitted when the bucket is full, which then
        goes into debt; otherwise the request could never run.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        missing = min(tokens, bucket.burst_tokens) - bucket.level_tokens
        if missing > TOLERANCE_TOKENS:
            return missing / bucket.rate_per_s
        bucket.level_tokens -= tokens
        return 0.0

    def correct_charge(
        self, organisation: str, estimated: int, actual: int, now: float
    ) -> None:
        """Replace an estimated charge by the actual number of tokens."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.refill(now)
        bucket.level_tokens += estimated - actual  # The next refill caps the level.
