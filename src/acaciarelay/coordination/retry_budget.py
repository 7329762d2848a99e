"""Retry budget of one entry for one pool: a ratio of first attempts and a reserve."""

__all__ = ["RetryBudget"]

# The balance is an integer number of micro-retries, since ten floating-point additions
# of 0.1 fall short of one retry.
MICRO_RETRIES_PER_RETRY = 1_000_000
# The balance is capped at what this many first attempts earn, so that a long calm
# period does not save up a burst of retries for the next overload.
MAX_SAVED_ATTEMPTS = 200


class RetryBudget:
    """Allow ``ratio`` retries per first attempt, plus an initial reserve."""

    def __init__(self, ratio: float, reserve: float) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self._per_attempt = round(ratio * MICRO_RETRIES_PER_RETRY)
        self._balance = round(reserve * MICRO_RETRIES_PER_RETRY)
        self._maximum = self._balance + MAX_SAVED_ATTEMPTS * self._per_attempt

    @property
    def balance(self) -> float:
        """Return the number of retries that may be spent now."""
        return self._balance / MICRO_RETRIES_PER_RETRY

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self._balance = min(self._maximum, self._balance + self._per_attempt)

    def try_spend(self) -> bool:
        """Take one retry from the budget; ``False`` when it is exhausted."""
        if self._balance < MICRO_RETRIES_PER_RETRY:
            return False
        self._balance -= MICRO_RETRIES_PER_RETRY
        return True
