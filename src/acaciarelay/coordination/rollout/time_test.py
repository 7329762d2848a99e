"""Test whether a version's answers take longer, by the logarithms of their times."""

import collections
import math
import statistics
from collections.abc import Mapping

import attrs

from acaciarelay.coordination.rollout.engine_spread import (
    EngineSpread,
    EngineSum,
    unequal_share,
)
from acaciarelay.coordination.rollout.strata import Stratum

__all__ = ["TimeTest"]

# Difference of mean times that is no fault, in buckets: a factor of 1.09.
MARGIN = 0.5
# Seconds of the second comparison, by which a version that turns bad late is found.
RECENT_SLICES = 4
# Answers of each version below which a comparison says nothing.
MIN_ANSWERS = 8
NORMAL = statistics.NormalDist()


@attrs.define
class _Sums:
    """Weighted differences of the means of both versions, summed over strata.

    Times are in buckets. ``weighted / weight`` is the mean difference, and ``squares``
    the sum of squared deviations with ``freedom`` degrees of freedom.
    """

    weighted: float = 0.0
    weight: float = 0.0
    squares: float = 0.0
    freedom: int = 0
    new_answers: int = 0

    def add(self, other: "_Sums") -> None:
        self.weighted += other.weighted
        self.weight += other.weight
        self.squares += other.squares
        self.freedom += other.freedom
        self.new_answers += other.new_answers

    @property
    def variance(self) -> float:
        """Variance of single answers, in squared buckets; 0 without answers."""
        return self.squares / self.freedom if self.freedom else 0.0


class TimeTest:
    """Compare mean logarithms of times over the same seconds and by route.

    The score is that of a normal variable: the difference beyond a margin, divided by
    its deviation. This comprises the spread of the engines, which differ in speed: the
    answers of two slow engines are no evidence against their version.
    """

    def __init__(self) -> None:
        self.total: dict[str, _Sums] = {}
        self.recent: collections.deque[dict[str, _Sums]] = collections.deque(
            maxlen=RECENT_SLICES
        )
        self.engines: dict[bool, dict[str, EngineSum]] = {False: {}, True: {}}
        # Requests by engine of the new version at the end of the recent slices.
        self._requests: collections.deque[dict[str, int]] = collections.deque(
            [{}], maxlen=RECENT_SLICES + 1
        )

    def add(
        self,
        strata: Mapping[str, Stratum],
        engines: dict[bool, dict[str, EngineSum]],
    ) -> None:
        """Take the answers of a second, and those of the engines so far."""
        sums = {route: _sums(stratum) for route, stratum in strata.items()}
        for route, of_route in sums.items():
            self.total.setdefault(route, _Sums()).add(of_route)
        self.recent.append(sums)
        self.engines = engines
        self._requests.append(self._engine_requests(True))

    @property
    def answer_variance(self) -> float:
        return _merged(self.total).variance

    @property
    def spread(self) -> EngineSpread:
        groups = [self.engines[False], self.engines[True]]
        return EngineSpread.estimate(groups, self.answer_variance)

    def score(self, before: Mapping[str, Stratum]) -> float:
        """Return the score over all routes: the higher of all and of the last seconds.

        ``before`` holds the answers whose second is unknown.
        """
        total = _merged(self.total)
        for stratum in before.values():
            total.add(_sums(stratum))
        last = self._requests[-1]
        score = self._score(total, last)
        if len(self.recent) == RECENT_SLICES:
            first = self._requests[0]
            requests = {name: last[name] - first.get(name, 0) for name in last}
            recent = _Sums()
            for sums in self.recent:
                recent.add(_merged(sums))
            score = max(score, self._score(recent, requests))
        return score

    def route_score(self) -> float:
        """Return the highest score of a single route."""
        last = self._requests[-1]
        return max((self._score(sums, last) for sums in self.total.values()), default=0)

    def full_score(self, full: Mapping[str, Stratum]) -> float:
        """Return the score of late answers under full traffic.

        The shares of late answers of both versions are taken for those of two normal
        distributions of the logarithm of the times.
        """
        weighted = weight = 0.0
        for stratum in full.values():
            old, new = sum(stratum.old_times.values()), sum(stratum.new_times.values())
            if stratum.late_from is None or old < MIN_ANSWERS or new < MIN_ANSWERS:
                continue
            old_share = (stratum.late(False) + 0.5) / (old + 1)
            new_share = (stratum.late(True) + 0.5) / (new + 1)
            shift = NORMAL.inv_cdf(new_share) - NORMAL.inv_cdf(old_share)
            variance = _probit_variance(old_share, old)
            variance += _probit_variance(new_share, new)
            weighted += shift / variance
            weight += 1.0 / variance
        if not weight:
            return 0.0
        deviation = math.sqrt(self.answer_variance)
        spread = self.spread
        variance = deviation * deviation / weight
        variance += spread.variance * (
            unequal_share(self._engine_requests(True))
            + unequal_share(self._engine_requests(False))
        )
        difference = deviation * weighted / weight - MARGIN
        return normal_score(difference / math.sqrt(variance), spread.freedom)

    def _engine_requests(self, new: bool) -> dict[str, int]:
        return {name: engine.requests for name, engine in self.engines[new].items()}

    def _score(self, sums: _Sums, new_requests: Mapping[str, int]) -> float:
        if sums.new_answers < MIN_ANSWERS or sums.weight <= 0:
            return 0.0
        old_requests = self._engine_requests(False)
        spread = self.spread
        variance = sums.variance / sums.weight
        variance += spread.variance * (
            unequal_share(new_requests) + unequal_share(old_requests)
        )
        difference = sums.weighted / sums.weight - MARGIN
        return normal_score(difference / math.sqrt(variance), spread.freedom)


def normal_score(student: float, freedom: int) -> float:
    """Return the normal score that is as unlikely as one of Student's distribution.

    Wallace's approximation; its error is below 2% at 10 degrees of freedom.
    """
    scale = (8 * freedom + 1) / (8 * freedom + 3)
    score = scale * math.sqrt(freedom * math.log1p(student * student / freedom))
    return math.copysign(score, student)


def _probit_variance(share: float, count: int) -> float:
    """Return the variance of the normal quantile of a share of so many answers."""
    density = NORMAL.pdf(NORMAL.inv_cdf(share))
    return share * (1.0 - share) / (density * density * count)


def _merged(by_route: Mapping[str, _Sums]) -> _Sums:
    merged = _Sums()
    for sums in by_route.values():
        merged.add(sums)
    return merged


def _sums(stratum: Stratum) -> _Sums:
    """Return the difference of the means of a stratum, weighted by its precision."""
    old, new = stratum.old_times, stratum.new_times
    old_count, new_count = sum(old.values()), sum(new.values())
    if not old_count or not new_count:
        return _Sums()
    old_mean = sum(bucket * count for bucket, count in old.items()) / old_count
    new_mean = sum(bucket * count for bucket, count in new.items()) / new_count
    weight = old_count * new_count / (old_count + new_count)
    squares = sum(count * (bucket - old_mean) ** 2 for bucket, count in old.items())
    squares += sum(count * (bucket - new_mean) ** 2 for bucket, count in new.items())
    return _Sums(
        weighted=weight * (new_mean - old_mean),
        weight=weight,
        squares=squares,
        freedom=old_count + new_count - 2,
        new_answers=new_count,
    )
