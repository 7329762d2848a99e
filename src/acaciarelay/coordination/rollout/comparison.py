"""Sequential test of a new version against the old one."""

import math

from acaciarelay.coordination.rollout.answer_log import AnswerLog
from acaciarelay.coordination.rollout.evidence import (
    ChangeMixture,
    log_failure_evidence,
    log_time_evidence,
)
from acaciarelay.coordination.rollout.strata import Stratum
from acaciarelay.state.rollout import EntryCounts, LifetimeCounts, Verdict

__all__ = ["VersionComparison"]

# Answers are compared with those of the same second.
SLICE_S = 1.0
# Evidence at which a version is bad. By Ville's inequality, 1 / 4,000 for failures and
# as much for times bounds the probability for a good version, at whatever time.
BAD_EVIDENCE = 4000.0
# Evidence of failures at which a version is bad once the share has ended. The bound of
# 1 / 200 is not attained, since the evidence comes in steps of about 9 for a failure:
# tools/measure_rollout.py gives the error of all rules together.
FINAL_EVIDENCE = 200.0
# Evidence of the share that the failures of the full traffic have to confirm.
SUSPICIOUS_EVIDENCE = 3.0
# Evidence of the failures of the full traffic, which are compared with those of the old
# version before: of a suspicious version, and of any.
CONFIRMING_EVIDENCE = 1e4
OVERWHELMING_EVIDENCE = 1e8
# Failures of any version at which those of the full traffic count, and their share.
MIN_DOMINANT_FULL = 20
DOMINANT_SHARE = 0.5
# Failures from which on they dominate where there is too little traffic to compare.
MIN_DOMINANT = 3
# Evidence of one second is bounded, since its failures may have one cause, such as the
# loss of an engine. Two such seconds alone condemn no version.
MAX_SLICE_EVIDENCE = 45.0
# Bound for what was answered before this process began to take counts.
MAX_BEFORE_EVIDENCE = 400.0
# A failure share of 1 / 20 is excluded when as few failures as were seen have at most
# this probability under it.
GOOD_ERROR = 0.05
LEAST_BAD_SHARE = 0.05
# How many times as likely failures are, and how strongly ranks are weighted, in the
# alternatives between which the evidence is divided, with their weights.
ODDS = ((4.0, 0.3), (50.0, 0.7))
TILTS = ((1.0, 0.5), (2.5, 0.5))
# Weight of the alternative that the version is bad on all routes; the rest is divided
# equally between the alternatives that it is bad on one of them.
ALL_ROUTES_WEIGHT = 0.6


class VersionComparison:
    """Compare the answers of two versions over the same seconds and by route."""

    def __init__(self, duration_s: float) -> None:
        steps = math.ceil(min(duration_s, 1e5) / SLICE_S) + 2
        self.log = AnswerLog()
        self.failures = _Evidence(steps, ODDS)
        self.times = _Evidence(steps, TILTS)
        self.slice_until: float | None = None
        # The share has ended, so that its evidence is final.
        self.share_ended = False
        self.found_bad = ""

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
        if self.slice_until is None:
            self.slice_until = now + SLICE_S
        if now < self.slice_until:
            return
        self.slice_until = now + SLICE_S
        strata = self.log.take_slice()
        self.failures.add(
            {
                route: [_failure_log(stratum, odds) for odds, _ in ODDS]
                for route, stratum in strata.items()
                if stratum.old_failures or stratum.new_failures
            }
        )
        self.times.add(
            {
                route: [_time_log(stratum, tilt) for tilt, _ in TILTS]
                for route, stratum in strata.items()
                if stratum.new_times
            }
        )

    def failure_evidence(self) -> float:
        """Return the evidence that the new version fails more often."""
        before = _bounded_exp(
            [
                _failure_log(stratum, ODDS[-1][0])
                for stratum in self.log.before.values()
            ],
            MAX_BEFORE_EVIDENCE,
        )
        return self.failures.value(self.log.route_count) * before

    def time_evidence(self) -> float:
        """Return the evidence that the new version's answers take longer."""
        before = _bounded_exp(
            [_time_log(stratum, TILTS[0][0]) for stratum in self.log.before.values()],
            MAX_BEFORE_EVIDENCE,
        )
        return self.times.value(self.log.route_count) * before

    def _fault(self) -> str:
        """Return what is wrong with the new version; empty if nothing is known."""
        failures = self.failure_evidence()
        if failures >= BAD_EVIDENCE:
            return "failures"
        if self.time_evidence() >= BAD_EVIDENCE:
            return "answer times"
        if self.share_ended and failures >= FINAL_EVIDENCE:
            return "failures"
        if self.share_ended and self._failures_dominate():
            return "most answers failed"
        if self._fails_under_full_traffic(failures):
            return "failures under full traffic"
        return ""

    def _failures_dominate(self) -> bool:
        old, new = self.log.old_total, self.log.new_total
        if new.failures < MIN_DOMINANT or new.failures < DOMINANT_SHARE * new.requests:
            return False
        return old.failures < DOMINANT_SHARE / 2 * max(1, old.requests)

    def _fails_under_full_traffic(self, suspicion: float) -> bool:
        """Compare the full traffic with the old version's answers before it.

        These are not of the same seconds, so that this counts only for a version that
        is suspicious already, or if most answers fail.
        """
        evidence = _bounded_exp(
            [_failure_log(stratum, ODDS[-1][0]) for stratum in self.log.full.values()],
            OVERWHELMING_EVIDENCE,
        )
        if suspicion >= SUSPICIOUS_EVIDENCE and evidence >= CONFIRMING_EVIDENCE:
            return True
        requests = sum(stratum.new_requests for stratum in self.log.full.values())
        failures = sum(stratum.new_failures for stratum in self.log.full.values())
        dominate = failures >= max(MIN_DOMINANT_FULL, DOMINANT_SHARE * requests)
        return dominate and evidence >= OVERWHELMING_EVIDENCE

    def _is_good(self) -> bool:
        new = self.log.new_total
        if self.failure_evidence() >= SUSPICIOUS_EVIDENCE or not new.requests:
            return False
        return _at_most(new.failures, new.requests, LEAST_BAD_SHARE) <= GOOD_ERROR


class _Evidence:
    """Evidence over all alternatives: the routes, the strengths and the begin."""

    def __init__(self, steps: int, strengths: tuple[tuple[float, float], ...]) -> None:
        self.steps = steps
        self.weights = [weight for _, weight in strengths]
        self.all_routes = [ChangeMixture(steps) for _ in strengths]
        self.by_route: dict[str, list[ChangeMixture]] = {}
        self.slices = 0

    def add(self, logs: dict[str, list[float]]) -> None:
        """Take the evidence of a second by route and strength."""
        for index, mixture in enumerate(self.all_routes):
            mixture.multiply(
                _bounded_exp([by[index] for by in logs.values()], MAX_SLICE_EVIDENCE)
            )
        for route in logs:
            if route not in self.by_route:
                self.by_route[route] = [self._mixture() for _ in self.weights]
        for route, mixtures in self.by_route.items():
            for index, mixture in enumerate(mixtures):
                log = logs[route][index] if route in logs else 0.0
                mixture.multiply(_bounded_exp([log], MAX_SLICE_EVIDENCE))
        self.slices += 1

    def _mixture(self) -> ChangeMixture:
        """Return the mixture of a route that had no evidence in the slices so far."""
        mixture = ChangeMixture(self.steps)
        for _ in range(min(self.slices, self.steps)):
            mixture.multiply(1.0)
        return mixture

    def value(self, routes: int) -> float:
        """Return the evidence, of which each of the routes has an equal weight."""
        weight = (1.0 - ALL_ROUTES_WEIGHT) / max(routes, len(self.by_route))
        total = 1.0 - weight * len(self.by_route) - ALL_ROUTES_WEIGHT
        total += ALL_ROUTES_WEIGHT * self._mean(self.all_routes)
        for mixtures in self.by_route.values():
            total += weight * self._mean(mixtures)
        return total

    def _mean(self, mixtures: list[ChangeMixture]) -> float:
        return sum(
            weight * mixture.value
            for weight, mixture in zip(self.weights, mixtures, strict=True)
        )


def _failure_log(stratum: Stratum, odds: float) -> float:
    return log_failure_evidence(
        stratum.old_requests,
        stratum.old_failures,
        stratum.new_requests,
        stratum.new_failures,
        odds,
    )


def _time_log(stratum: Stratum, tilt: float) -> float:
    return log_time_evidence(stratum.old_times, stratum.new_times, tilt)


def _bounded_exp(logs: list[float], most: float) -> float:
    return math.exp(min(sum(logs), math.log(most)))


def _at_most(failures: int, requests: int, share: float) -> float:
    """Return the probability of at most as many failures as were seen."""
    total = 0.0
    for count in range(failures + 1):
        log = (
            math.lgamma(requests + 1)
            - math.lgamma(count + 1)
            - math.lgamma(requests - count + 1)
            + count * math.log(share)
            + (requests - count) * math.log1p(-share)
        )
        total += math.exp(log)
    return total
