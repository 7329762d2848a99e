"""Answers of both versions as counted by one entry."""

import collections

import attrs

from acaciarelay.state.rollout import (
    OTHER_ROUTES,
    BucketCounts,
    EngineTimes,
    EntryCounts,
    Phase,
    RolloutOrder,
    RouteCounts,
    VersionCounts,
    time_bucket,
)

__all__ = ["AnswerCounts"]

# Routes that are counted separately; the answers of all others are counted together.
MAX_ROUTES = 16
# Engines whose times are reported.
MAX_ENGINES = 256
# Their times are brought up to date with each fourth report, since they take most of
# its cost and are compared once a second.
REPORTS_PER_ENGINE_TIMES = 4


@attrs.define(eq=False)
class _Route:
    requests: int = 0
    failures: int = 0
    times: dict[int, int] = attrs.Factory(lambda: collections.defaultdict(int))


@attrs.frozen
class _Running:
    """Attempt that has not ended; ``since`` is the monotonic time of its start."""

    route: str
    engine: str
    new: bool
    since: float
    work: float


@attrs.define(eq=False)
class _Times:
    """Number of answers and the sum of their buckets."""

    answers: int = 0
    buckets: int = 0


class AnswerCounts:
    """Count this entry's requests and answers since it learned of an order."""

    def __init__(self, order: RolloutOrder, entry: str, lifetime: str) -> None:
        self.order = order
        self.entry = entry
        self.lifetime = lifetime
        self.number = 0
        self.names: set[str] = set()
        # By whether the version is the new one.
        self.routes: dict[bool, dict[str, _Route]] = {False: {}, True: {}}
        self.running: dict[int, _Running] = {}
        # By engine and version, and then by route.
        self.engines: dict[tuple[str, bool], dict[str, _Times]] = {}
        self.sent: dict[tuple[str, bool], int] = {}
        self.engine_times: tuple[EngineTimes, ...] = ()

    def begin(
        self,
        key: int,
        route: str,
        engine: str,
        new: bool,
        now: float,
        work: float = 1.0,
    ) -> None:
        """Record that a request was sent to an engine; ``key`` names the attempt.

        Its time is divided by ``work``, the expected time of such a request relative to
        others of its route. Answers that vary less are told apart sooner.
        """
        if route not in self.names:
            if len(self.names) < MAX_ROUTES:
                self.names.add(route)
            else:
                route = OTHER_ROUTES
        engine_key = (engine, new)
        if engine_key in self.sent or len(self.sent) < MAX_ENGINES:
            self.sent[engine_key] = self.sent.get(engine_key, 0) + 1
        work = work if 1e-3 < work < 1e3 else 1.0
        self.running[key] = _Running(route, engine, new, now, work)

    def end(self, key: int, failed: bool, now: float) -> None:
        """Record the end of an answer, whole or not.

        Attempts that found no engine, or whose engine has gone, say nothing about its
        version; ``forget`` is called for these instead.
        """
        running = self.running.pop(key, None)
        if running is None:
            return
        route = self.routes[running.new].setdefault(running.route, _Route())
        route.requests += 1
        if failed:
            route.failures += 1
            return
        bucket = time_bucket((now - running.since) / running.work)
        route.times[bucket] += 1
        engine = (running.engine, running.new)
        if engine not in self.sent:
            return
        times = self.engines.setdefault(engine, {}).setdefault(running.route, _Times())
        times.answers += 1
        times.buckets += bucket

    def forget(self, key: int) -> None:
        """Leave out an attempt that says nothing about the version of its engine."""
        self.running.pop(key, None)

    def report(self, epoch: int, phase: Phase, now: float) -> EntryCounts:
        """Return the counts so far.

        ``epoch`` and ``phase`` are those of the permission that the entry follows.
        """
        if self.number % REPORTS_PER_ENGINE_TIMES == 0:
            self.engine_times = self._engine_times()
        self.number += 1
        ages: dict[bool, dict[str, dict[int, int]]] = {False: {}, True: {}}
        old_running = 0
        for running in self.running.values():
            by_bucket = ages[running.new].setdefault(running.route, {})
            bucket = time_bucket((now - running.since) / running.work)
            by_bucket[bucket] = by_bucket.get(bucket, 0) + 1
            old_running += not running.new
        return EntryCounts(
            entry=self.entry,
            lifetime=self.lifetime,
            order=self.order.revision,
            number=self.number,
            epoch=epoch,
            phase=phase,
            old_running=old_running,
            old=_version_counts(self.routes[False], ages[False]),
            new=_version_counts(self.routes[True], ages[True]),
            engines=self.engine_times,
        )

    def _engine_times(self) -> tuple[EngineTimes, ...]:
        means = {
            name: sum(bucket * count for bucket, count in route.times.items()) / answers
            for name, route in self.routes[False].items()
            if (answers := sum(route.times.values()))
        }
        engines = []
        for (engine, new), requests in self.sent.items():
            by_route = self.engines.get((engine, new), {})
            known = {name: times for name, times in by_route.items() if name in means}
            excess = sum(
                times.buckets - means[name] * times.answers
                for name, times in known.items()
            )
            engines.append(
                EngineTimes(
                    engine=engine,
                    new=new,
                    requests=requests,
                    answers=sum(times.answers for times in known.values()),
                    excess=round(excess, 1),
                )
            )
        return tuple(engines)


def _version_counts(
    routes: dict[str, _Route], ages: dict[str, dict[int, int]]
) -> VersionCounts:
    counts = {}
    for name in routes.keys() | ages.keys():
        route = routes.get(name) or _Route()
        counts[name] = RouteCounts(
            requests=route.requests,
            failures=route.failures,
            times=_bucket_counts(route.times),
            running=_bucket_counts(ages.get(name, {})),
        )
    return counts


def _bucket_counts(counts: dict[int, int]) -> BucketCounts:
    return tuple(sorted(counts.items()))
