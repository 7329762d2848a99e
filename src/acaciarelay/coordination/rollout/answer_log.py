"""Answers of both versions over all entries, grouped for their comparison."""

from collections.abc import Iterable

import attrs

from acaciarelay.coordination.rollout.engine_spread import EngineSum
from acaciarelay.coordination.rollout.strata import Stratum, Totals
from acaciarelay.state.rollout import (
    OTHER_ROUTES,
    TIME_BUCKETS,
    EntryCounts,
    LifetimeCounts,
    Phase,
    RouteCounts,
    VersionCounts,
)

__all__ = ["AnswerLog"]

# A request counts as slow, and is no longer waited for, this many buckets above the old
# version's median: at 4 times the median.
SLOW_BUCKETS = 8
# Under full traffic, requests are counted by whether they take longer than this many
# buckets above that median, 1.68 times as long: few answers of a version that is twice
# as slow have ended before its time is over.
LATE_BUCKETS = 3
# Answers of the old version from which on the median of a route is known.
MIN_FOR_MEDIAN = 20
# Bounds of what is kept: routes by name, and lifetimes of entries.
MAX_ROUTES = 32
MAX_LIFETIMES = 128
MAX_ENGINES = 512


@attrs.define(eq=False)
class _Lifetime:
    """What is known of one lifetime of an entry.

    ``slow`` holds the number of requests that have counted as slow, by route and
    version, and ``late`` those that have counted as late, by route. ``restored`` are
    its totals from a coordinator's row, until it reports.
    """

    counts: EntryCounts | None = None
    restored: LifetimeCounts | None = None
    slow: dict[tuple[str, bool], int] = attrs.Factory(dict)
    late: dict[str, int] = attrs.Factory(dict)


class AnswerLog:
    """Group cumulative counts by second and route.

    What an entry has counted before its first report here is in ``before``, since it is
    unknown in which seconds. ``full`` holds the new version's answers under full
    traffic, beside the last ones of the old version: those of the second or two before,
    and, for failures, those that ended later.
    """

    def __init__(self) -> None:
        self.before: dict[str, Stratum] = {}
        self.full: dict[str, Stratum] = {}
        # The last report of each entry, whichever its lifetime.
        self.last_reports: dict[str, EntryCounts] = {}
        self.old_total = Totals()
        self.new_total = Totals()
        self._slice: dict[str, Stratum] = {}
        self._last_slice: dict[str, Stratum] = {}
        self._lifetimes: dict[tuple[str, str], _Lifetime] = {}
        self._slow_from: dict[str, int] = {}
        self._names: set[str] = set()

    def restore(self, counts: tuple[LifetimeCounts, ...]) -> None:
        """Take the totals of lifetimes that have not reported here."""
        for totals in counts:
            lifetime = self._lifetime((totals.entry, totals.lifetime))
            if lifetime is None or lifetime.counts is not None or lifetime.restored:
                continue
            lifetime.restored = totals
            self._add_restored(totals, 1)

    def _add_restored(self, totals: LifetimeCounts, sign: int) -> None:
        stratum = self.before.setdefault(OTHER_ROUTES, Stratum())
        for new, requests, failures in (
            (False, totals.old_requests, totals.old_failures),
            (True, totals.new_requests, totals.new_failures),
        ):
            stratum.add(new, sign * requests, sign * failures)
            total = self.new_total if new else self.old_total
            total.add(sign * requests, sign * failures)

    def totals(self) -> tuple[LifetimeCounts, ...]:
        """Return the totals by lifetime."""
        totals = []
        for (entry, name), lifetime in self._lifetimes.items():
            if lifetime.counts is None:
                if lifetime.restored is not None:
                    totals.append(lifetime.restored)
                continue
            old, new = lifetime.counts.old.values(), lifetime.counts.new.values()
            totals.append(
                LifetimeCounts(
                    entry=entry,
                    lifetime=name,
                    old_requests=sum(route.requests for route in old),
                    old_failures=sum(route.failures for route in old),
                    new_requests=sum(route.requests for route in new),
                    new_failures=sum(route.failures for route in new),
                )
            )
        return tuple(totals)

    def add(self, counts: EntryCounts) -> None:
        """Take the counts of an entry; ignores those that are not newer."""
        lifetime = self._lifetime((counts.entry, counts.lifetime))
        if lifetime is None:
            return
        last = lifetime.counts
        if last is not None and counts.number <= last.number:
            return
        if lifetime.restored is not None:
            self._add_restored(lifetime.restored, -1)
            lifetime.restored = None
        for new in (False, True):
            last_routes = _routes(last, new)
            for route, now in _routes(counts, new).items():
                before = last_routes.get(route, RouteCounts())
                if now == before:
                    continue
                self._add_route(lifetime, last, route, new, before, now)
        lifetime.counts = counts
        self.last_reports[counts.entry] = counts

    def _lifetime(self, key: tuple[str, str]) -> _Lifetime | None:
        lifetime = self._lifetimes.get(key)
        if lifetime is None and len(self._lifetimes) < MAX_LIFETIMES:
            lifetime = self._lifetimes[key] = _Lifetime()
        return lifetime

    def _add_route(
        self,
        lifetime: _Lifetime,
        last: EntryCounts | None,
        route: str,
        new: bool,
        before: RouteCounts,
        now: RouteCounts,
    ) -> None:
        requests = max(0, now.requests - before.requests)
        failures = min(requests, max(0, now.failures - before.failures))
        (self.new_total if new else self.old_total).add(requests, failures)
        name = self._name(route)
        under_full = last is not None and last.phase is Phase.FULL
        if under_full and not self.full:
            self._begin_full()
        if self.full:
            full = self.full.setdefault(name, Stratum())
            if under_full or not new:
                full.add(new, requests, failures)
            if under_full and new:
                self._add_full_times(lifetime, full, name, route, before, now)
        if under_full:
            return
        group = self.before if last is None else self._slice
        stratum = group.setdefault(name, Stratum())
        stratum.add(new, requests, failures)
        self._add_times(lifetime, stratum, name, route, new, before, now)

    def _add_times(
        self,
        lifetime: _Lifetime,
        stratum: Stratum,
        name: str,
        route: str,
        new: bool,
        before: RouteCounts,
        now: RouteCounts,
    ) -> None:
        """Add the times of answers, and the requests that have become slow.

        A slow request counts once, when it becomes slow, and not when it ends.
        """
        slow_from = self._slow_from.get(name, TIME_BUCKETS)
        times = stratum.times(new)
        earlier = dict(before.times)
        for bucket, count in now.times:
            added = count - earlier.get(bucket, 0)
            if added > 0 and bucket < slow_from:
                times[bucket] += added
        if slow_from == TIME_BUCKETS:
            return
        key = (route, new)
        if key not in lifetime.slow:
            lifetime.slow[key] = _count_from(before.times, slow_from)
        slow = _count_from(now.times, slow_from)
        slow += _count_from(now.running, slow_from)
        added = slow - lifetime.slow[key]
        if added > 0:
            times[slow_from] += added
            lifetime.slow[key] = slow

    def _begin_full(self) -> None:
        """Compare the full traffic with the old version's answers just before it.

        A trouble of both versions that began before is then in both.
        """
        for strata in (self._last_slice, self._slice):
            for name, stratum in strata.items():
                full = self.full.setdefault(name, Stratum())
                full.add(False, stratum.old_requests, stratum.old_failures)
                for bucket, count in stratum.old_times.items():
                    full.old_times[bucket] += count

    def _add_full_times(
        self,
        lifetime: _Lifetime,
        full: Stratum,
        name: str,
        route: str,
        before: RouteCounts,
        now: RouteCounts,
    ) -> None:
        """Add the new version's answers, and its late requests as soon as they are."""
        if name not in self._slow_from:
            return
        late_from = self._slow_from[name] - SLOW_BUCKETS + LATE_BUCKETS
        full.late_from = late_from
        times = full.new_times
        earlier = dict(before.times)
        for bucket, count in now.times:
            added = count - earlier.get(bucket, 0)
            if added > 0 and bucket < late_from:
                times[bucket] += added
        if route not in lifetime.late:
            lifetime.late[route] = _count_from(before.times, late_from)
            lifetime.late[route] += _count_from(before.running, late_from)
        late = _count_from(now.times, late_from) + _count_from(now.running, late_from)
        if late > lifetime.late[route]:
            times[late_from] += late - lifetime.late[route]
            lifetime.late[route] = late

    def engines(self) -> dict[bool, dict[str, EngineSum]]:
        """Return the answers of the engines so far, by version and engine."""
        engines: dict[bool, dict[str, EngineSum]] = {False: {}, True: {}}
        for lifetime in self._lifetimes.values():
            if lifetime.counts is None:
                continue
            for times in lifetime.counts.engines:
                by_engine = engines[times.new]
                if times.engine not in by_engine and len(by_engine) >= MAX_ENGINES:
                    continue
                engine = by_engine.setdefault(times.engine, EngineSum())
                engine.requests += times.requests
                engine.answers += times.answers
                engine.excess += times.excess
        return engines

    @property
    def route_count(self) -> int:
        return max(1, len(self._names))

    def _name(self, route: str) -> str:
        if route not in self._names:
            if len(self._names) >= MAX_ROUTES:
                return OTHER_ROUTES
            self._names.add(route)
        return route

    def take_slice(self) -> dict[str, Stratum]:
        """Return and forget the answers of the second that ends."""
        taken = self._slice
        self._slice = {}
        for name, stratum in taken.items():
            if name not in self._slow_from:
                self._find_median(name, stratum)
        self._last_slice = taken
        return taken

    def _find_median(self, name: str, stratum: Stratum) -> None:
        """Set from when on requests of a route are slow, if its median is known.

        Until then, the answers wait for the next second.
        """
        total = sum(stratum.old_times.values())
        if total < MIN_FOR_MEDIAN:
            held = self._slice.setdefault(name, Stratum())
            held.old_times, stratum.old_times = stratum.old_times, held.old_times
            held.new_times, stratum.new_times = stratum.new_times, held.new_times
            return
        below = 0
        for bucket in sorted(stratum.old_times):
            below += stratum.old_times[bucket]
            if 2 * below >= total:
                slow_from = min(TIME_BUCKETS - 1, bucket + SLOW_BUCKETS)
                break
        self._slow_from[name] = slow_from
        for times in (stratum.old_times, stratum.new_times):
            for bucket in [bucket for bucket in times if bucket > slow_from]:
                times[slow_from] += times.pop(bucket)


def _routes(counts: EntryCounts | None, new: bool) -> VersionCounts:
    if counts is None:
        return {}
    return counts.new if new else counts.old


def _count_from(counts: Iterable[tuple[int, int]], first: int) -> int:
    return sum(count for bucket, count in counts if bucket >= first)
