"""Answers of both versions that are compared with each other."""

import collections

import attrs

__all__ = ["Stratum", "Totals"]


def _buckets() -> dict[int, int]:
    return collections.defaultdict(int)


@attrs.define(eq=False)
class Stratum:
    """Answers of one route in the same period; ``*_times`` are counts by bucket.

    ``late_from`` is the bucket from which on they are late, where that is counted.
    """

    old_requests: int = 0
    old_failures: int = 0
    new_requests: int = 0
    new_failures: int = 0
    old_times: dict[int, int] = attrs.Factory(_buckets)
    new_times: dict[int, int] = attrs.Factory(_buckets)
    late_from: int | None = None

    def add(self, new: bool, requests: int, failures: int) -> None:
        if new:
            self.new_requests += requests
            self.new_failures += failures
        else:
            self.old_requests += requests
            self.old_failures += failures

    def late(self, new: bool) -> int:
        """Return the number of late answers."""
        if self.late_from is None:
            return 0
        times = self.times(new)
        return sum(count for bucket, count in times.items() if bucket >= self.late_from)

    def times(self, new: bool) -> dict[int, int]:
        return self.new_times if new else self.old_times


@attrs.define(eq=False)
class Totals:
    """Answers of one version over all routes."""

    requests: int = 0
    failures: int = 0

    def add(self, requests: int, failures: int) -> None:
        self.requests += requests
        self.failures += failures
