"""Retry budget of one process, as its share of the retries allowed to a service."""

import collections

__all__ = ["SharedRetryBudget"]

# Buckets of the sliding window; the oldest one counts in full.
WINDOW_BUCKETS = 20
# Share of the budget that is used, so that processes whose counts differ for a moment
# stay within it together.
USED_BUDGET_SHARE = 0.8
# Share of the reserve that one incarnation of a process uses. The rest is for the next
# incarnation within the window, which does not know what the previous one used.
INCARNATION_SHARE = 0.5


class _Window:
    """Count events over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self.bucket_s = window_s / WINDOW_BUCKETS
        self.buckets: collections.deque[tuple[int, int]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        index = int(now / self.bucket_s)
        self.expire(index)
        if self.buckets and self.buckets[-1][0] == index:
            self.buckets[-1] = (index, self.buckets[-1][1] + 1)
        else:
            self.buckets.append((index, 1))
        self.total += 1

    def count(self, now: float) -> int:
        self.expire(int(now / self.bucket_s))
        return self.total

    def expire(self, index: int) -> None:
        while self.buckets and self.buckets[0][0] < index - WINDOW_BUCKETS:
            self.total -= self.buckets.popleft()[1]


class SharedRetryBudget:
    """Allow retries up to a ratio of this process's requests, plus a reserve.

    ``reserve`` is the number of retries in a window that all processes together may
    make beyond the ratio; it is divided equally among them.
    """

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self.ratio = ratio
        self.reserve = reserve * INCARNATION_SHARE
        self.window_s = window_s
        self.process_count = 1
        self._first_attempts: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.window_s)
        return window

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record the first attempt of a request."""
        self._window(self._first_attempts, service).add(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one retry from the budget; ``False`` when it is exhausted."""
        if not self.can_spend(service, now):
            return False
        self._window(self._retries, service).add(now)
        return True

    def can_spend(self, service: str, now: float) -> bool:
        """Return whether the budget allows one more retry."""
        first_attempts = self._window(self._first_attempts, service).count(now)
        allowed = self.ratio * first_attempts + self.reserve / max(
            1, self.process_count
        )
        used = self._window(self._retries, service).count(now)
        return used + 1 <= allowed * USED_BUDGET_SHARE
