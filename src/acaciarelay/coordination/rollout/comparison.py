"""Sequential test of a new version against the old one."""

import math

from acaciarelay.coordination.rollout.answer_log import AnswerLog
from acaciarelay.coordination.rollout.evidence import (
    ChangeMixture,
    log_failure_evidence,
)
from acaciarelay.coordination.rollout.strata import Stratum
from acaciarelay.coordination.rollout.time_test import TimeTest
from acaciarelay.state.rollout import EntryCounts, LifetimeCounts, Verdict

__all__ = ["VersionComparison"]

# Length of the intervals within which answers are compared.
SLICE_S = 1.0
# Evidence of failures, as an e-value, at which a version is bad. By Ville's inequality,
# 1 / 4,000 bounds the probability for a good version, at whatever time.
BAD_EVIDENCE = 4000.0
# Evidence at which it is bad once the share has ended. The bound of 1 / 200 is hardly
# attained, since the evidence comes in steps of about 9 for each failure. With 100, a
# trouble of both versions for 3 s rolled back 1 of 650 good versions.
# tools/measure_rollout.py gives the error of all rules together.
FINAL_EVIDENCE = 200.0
# Evidence of the share that the full traffic has to confirm, and the product of both.
# With 2 and 200, trouble of both versions from 9 of 12 s on rolled back 2 of 150 good
# versions. One failure at the new version alone gives about 4.
SUSPICIOUS_EVIDENCE = 3.0
CONFIRMED_EVIDENCE = 400.0
# Evidence of the failures of the full traffic at which any version is bad.
OVERWHELMING_EVIDENCE = 1e8
# Scores of the times at which a version is bad: at each second, where 1 / 30,000 is the
# probability of one for a good version, and once the share has ended, 1 / 1,450. Both
# are less by the margin of the test.
BAD_SCORE = 4.0
FINAL_SCORE = 3.2
# Additional score of a single route, for the number of routes that are looked at.
ROUTE_SCORE = 0.3
# Least score of the share and of the full traffic by which they confirm each other, and
# their sum. Both depend on the speeds of the same engines: with 6 engines of 0.6 to 1.7
# in each version, 4.2 rolled back 1 of 120 good versions.
SUSPICIOUS_SCORE = 1.5
CONFIRMED_SCORES = 4.6
# Failures of any version at which those of the full traffic count, and their share.
MIN_DOMINANT_FULL = 20
DOMINANT_SHARE = 0.5
# Failures from which on they dominate where there is too little traffic to compare.
MIN_DOMINANT = 3
# Evidence of one second is bounded, since its failures may have one cause, such as the
# loss of an engine. Two such seconds alone condemn no version.
MAX_SLICE_EVIDENCE = 45.0
# Bound for what was answered before this process began to take counts, so that this
# alone condemns no version either.
MAX_BEFORE_EVIDENCE = 90.0
# A failure share of 1 / 20 is excluded when as few failures as were seen have at most
# this probability under it.
GOOD_ERROR = 0.05
LEAST_BAD_SHARE = 0.05
# How many times as likely failures are in the alternatives between which the evidence
# is divided, with their weights.
ODDS = ((4.0, 0.3), (50.0, 0.7))
# Weight of the alternative that the version is bad on all routes; the rest is divided
# equally between the alternatives that it is bad on one of them.
ALL_ROUTES_WEIGHT = 0.6


class VersionComparison:
    """Compare the answers of two versions over the same seconds and by route.

    ``found_bad`` is what is wrong with the new version, empty while nothing is.
    """

    def __init__(self, duration_s: float) -> None:
        self.log = AnswerLog()
        steps = math.ceil(min(max(duration_s, 0.0), 1e5) / SLICE_S) + 2
        self.failures = _FailureEvidence(steps)
        self.times = TimeTest()
        self.share_ended = False
        self.found_bad = ""
        self._slice_until: float | None = None

    def observe(self, counts: EntryCounts, now: float) -> None:
        """Take the counts of an entry; older ones of its lifetime are replaced."""
        self._advance(now)
        self.log.add(counts)

    def restore(self, counts: tuple[LifetimeCounts, ...]) -> None:
        """Take the totals of lifetimes that a former coordinator has kept."""
        self.log.restore(counts)

    def totals(self) -> tuple[LifetimeCounts, ...]:
        """Return the totals by lifetime, for the coordinator's row."""
        return self.log.totals()

    def end_share(self) -> None:
        """Judge by the final bounds from now on, since the share is about to end."""
        self.share_ended = True

    def verdict(self, now: float) -> Verdict:
        """Return the finding; ``BAD`` is final."""
        self._advance(now)
        if not self.found_bad:
            self.found_bad = self._fault()
        if self.found_bad:
            return Verdict.BAD
        return Verdict.GOOD if self._is_good() else Verdict.UNDECIDED

    def _advance(self, now: float) -> None:
        """End the current second if it is over."""
        if self._slice_until is None:
            self._slice_until = now + SLICE_S
        if now < self._slice_until:
            return
        self._slice_until = now + SLICE_S
        strata = self.log.take_slice()
        self.failures.add(strata)
        self.times.add(strata, self.log.engines())

    def failure_evidence(self) -> float:
        """Return the evidence that the new version fails more often."""
        before = _evidence(self.log.before, ODDS[-1][0], MAX_BEFORE_EVIDENCE)
        return before * self.failures.value(self.log.route_count)

    def time_score(self) -> float:
        """Return the score of the new version's answers taking longer."""
        score = self.times.score(self.log.before)
        return max(score, self.times.route_score() - ROUTE_SCORE)

    def _fault(self) -> str:
        """Return what is wrong with the new version; empty if nothing is known."""
        failures, times = self.failure_evidence(), self.time_score()
        if failures >= (FINAL_EVIDENCE if self.share_ended else BAD_EVIDENCE):
            return "failures"
        if times >= (FINAL_SCORE if self.share_ended else BAD_SCORE):
            return "answer times"
        if not self.share_ended:
            return ""
        if self._failures_dominate():
            return "most answers failed"
        # The full traffic is not compared with answers of the same seconds, so it
        # counts only for a version that is suspicious already, or if most answers fail.
        full = self._full_failure_evidence()
        confirmed = failures * full >= CONFIRMED_EVIDENCE
        if failures >= SUSPICIOUS_EVIDENCE and confirmed:
            return "failures under full traffic"
        if full >= OVERWHELMING_EVIDENCE / 2 and self._full_failures_dominate():
            return "failures under full traffic"
        # The highest of several routes' scores is too often high by chance.
        scores = (
            self.times.score(self.log.before),
            self.times.full_score(self.log.full),
        )
        if min(scores) >= SUSPICIOUS_SCORE and sum(scores) >= CONFIRMED_SCORES:
            return "answer times under full traffic"
        return ""

    def _failures_dominate(self) -> bool:
        old, new = self.log.old_total, self.log.new_total
        if new.failures < max(MIN_DOMINANT, DOMINANT_SHARE * new.requests):
            return False
        return old.failures < DOMINANT_SHARE / 2 * max(1, old.requests)

    def _full_failure_evidence(self) -> float:
        """Compare the full traffic with the old version's last answers."""
        return sum(
            weight * _evidence(self.log.full, odds, OVERWHELMING_EVIDENCE)
            for odds, weight in ODDS
        )

    def _full_failures_dominate(self) -> bool:
        strata = self.log.full.values()
        requests = sum(stratum.new_requests for stratum in strata)
        failures = sum(stratum.new_failures for stratum in strata)
        return failures >= max(MIN_DOMINANT_FULL, DOMINANT_SHARE * requests)

    def _is_good(self) -> bool:
        new = self.log.new_total
        if not new.requests or self.failure_evidence() >= SUSPICIOUS_EVIDENCE:
            return False
        if self.time_score() >= SUSPICIOUS_SCORE:
            return False
        return _at_most(new.failures, new.requests, LEAST_BAD_SHARE) <= GOOD_ERROR


class _FailureEvidence:
    """Evidence averaged over all alternatives: routes, odds and the first bad second.

    ``steps`` is the number of seconds of the order.
    """

    def __init__(self, steps: int) -> None:
        self.steps = steps
        self.all_routes = self._mixtures()
        self.by_route: dict[str, list[ChangeMixture]] = {}
        self.slices = 0

    def _mixtures(self) -> list[ChangeMixture]:
        return [ChangeMixture(self.steps) for _ in ODDS]

    def add(self, strata: dict[str, Stratum]) -> None:
        """Take the answers of a second."""
        failed = {
            route: stratum
            for route, stratum in strata.items()
            if stratum.old_failures or stratum.new_failures
        }
        for route in failed:
            if route not in self.by_route:
                self.by_route[route] = self._mixtures()
                for mixture in self.by_route[route]:
                    mixture.skip(self.slices)
        _multiply(self.all_routes, failed)
        for route, mixtures in self.by_route.items():
            of_route = {route: failed[route]} if route in failed else {}
            _multiply(mixtures, of_route)
        self.slices += 1

    def value(self, routes: int) -> float:
        """Return the evidence as an average in which all routes weigh the same."""
        weight = (1.0 - ALL_ROUTES_WEIGHT) / max(routes, len(self.by_route))
        total = 1.0 - ALL_ROUTES_WEIGHT - weight * len(self.by_route)
        total += ALL_ROUTES_WEIGHT * _mean(self.all_routes)
        return total + weight * sum(map(_mean, self.by_route.values()))


def _multiply(mixtures: list[ChangeMixture], strata: dict[str, Stratum]) -> None:
    for mixture, (odds, _) in zip(mixtures, ODDS, strict=True):
        mixture.multiply(_evidence(strata, odds, MAX_SLICE_EVIDENCE))


def _mean(mixtures: list[ChangeMixture]) -> float:
    return sum(
        weight * mixture.value
        for mixture, (_, weight) in zip(mixtures, ODDS, strict=True)
    )


def _evidence(strata: dict[str, Stratum], odds: float, most: float) -> float:
    """Return the evidence of failures over all routes, at most ``most``."""
    total = 0.0
    for stratum in strata.values():
        total += log_failure_evidence(
            stratum.old_requests,
            stratum.old_failures,
            stratum.new_requests,
            stratum.new_failures,
            odds,
        )
    return math.exp(min(total, math.log(most)))


def _at_most(failures: int, requests: int, share: float) -> float:
    """Return the probability of at most ``failures`` if each fails with ``share``."""
    odds = share / (1.0 - share)
    term = (1.0 - share) ** requests
    total = term
    for count in range(failures):
        term *= odds * (requests - count) / (count + 1)
        total += term
    return total
