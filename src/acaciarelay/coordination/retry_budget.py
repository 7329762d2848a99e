"""A budget for the system's own retries, as a share of first attempts."""

__all__ = ["RetryBudget"]

# Whole micro-retries keep ten additions of a tenth from falling short of one retry.
UNIT = 1_000_000
# The share of this many first attempts is kept at most, so that a long calm period
# does not save up a burst of retries for the next overload.
MAX_SAVED_ATTEMPTS = 200


class RetryBudget:
    """Allow ``ratio`` retries for each first attempt, plus a reserve at the start."""

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self._per_attempt = round(ratio * UNIT)
        self._balance = round(reserve * UNIT)
        self._maximum = self._balance + MAX_SAVED_ATTEMPTS * self._per_attempt

    @property
    def balance(self) -> float:
        """Return the retries that may be spent now."""
        return self._balance / UNIT

    def first_attempt(self) -> None:
        """Record a first attempt."""
        self._balance = min(self._maximum, self._balance + self._per_attempt)

    def spend(self) -> bool:
        """Take one retry from the budget; ``False`` when it is exhausted."""
        if self._balance < UNIT:
            return False
        self._balance -= UNIT
        return True
