"""Simulate the trial of a new version in virtual time, without processes.

Entries send requests to engines of unlike speed and count the answers; one plan judges
them, as the coordinator of an order does.
"""

import heapq
import itertools
import math
import random

import attrs

from acaciarelay.coordination.rollout import AnswerCounts, ShareLimit, VersionComparison
from acaciarelay.coordination.rollout.plan import RolloutPlan
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState
from acaciarelay.state.store_era import StoreVersion

__all__ = ["Fault", "Trial", "TrialResult", "run_trial"]

REPORT_INTERVAL_S = 0.25
TRIAL_S = 1.5
SPEEDS = (0.6, 1.0, 1.7)


@attrs.frozen(kw_only=True)
class Fault:
    """Failures and slowness of a version, or of both, over a time.

    ``failures`` is the share of answers that fail, ``slowdown`` the factor of the times
    of the others. ``route`` limits it to one route.
    """

    failures: float = 0.0
    slowdown: float = 1.0
    begins_s: float = 0.0
    ends_s: float = math.inf
    route: int | None = None

    def applies(self, route: int, at: float) -> bool:
        return self.begins_s <= at < self.ends_s and self.route in (None, route)


@attrs.frozen(kw_only=True)
class Trial:
    """Traffic, engines and faults of one order.

    ``spread`` is the standard deviation of the logarithm of the answer times at engines
    of the same speed.
    """

    rate: float = 130.0
    entries: int = 23
    duration_s: float = 12.0
    routes: tuple[tuple[float, float], ...] = ((0.33, 0.3), (0.39, 0.2), (0.28, 0.6))
    engines: int = 22
    on_trial: int = 2
    spread: float = 0.5
    speeds: tuple[float, ...] = SPEEDS
    new: Fault = Fault()
    both: Fault = Fault()
    background: float = 0.0


@attrs.frozen(kw_only=True)
class TrialResult:
    """``sent_new`` and ``bad`` count the requests before the end and the failures."""

    state: RolloutState
    reason: str
    ended_s: float
    full: bool
    sent_new: int
    bad: int


def run_trial(trial: Trial, rng: random.Random) -> TrialResult:
    """Simulate one order up to its end."""
    order = RolloutOrder(
        service="chat",
        version="2",
        duration_s=trial.duration_s,
        revision=StoreVersion(1, 7),
    )
    plan = RolloutPlan(order, 0.0, VersionComparison(trial.duration_s))
    plan.set_engines(trial.engines, trial.engines)
    plan.entries = tuple(str(number) for number in range(trial.entries))
    counts = [AnswerCounts(order, name, "a") for name in plan.entries]
    shares = [ShareLimit(0.1) for _ in counts]
    running = [0] * trial.entries
    old_speeds = [rng.choice(trial.speeds) for _ in range(trial.engines)]
    new_speeds = [rng.choice(trial.speeds) for _ in range(trial.engines)]
    weights = list(itertools.accumulate(weight for weight, _ in trial.routes))
    names = [f"r{number}" for number in range(len(weights))]
    ends: list[tuple[float, int, int, bool, bool]] = []
    keys = itertools.count()
    sent_new = bad = 0
    was_full = False
    arrives = rng.expovariate(trial.rate)
    reports = REPORT_INTERVAL_S
    now = 0.0
    while not plan.end.is_end:
        now = min(arrives, reports, ends[0][0] if ends else math.inf)
        if ends and ends[0][0] == now:
            _, key, entry, new, failed = heapq.heappop(ends)
            counts[entry].end(key, failed, now)
            running[entry] -= not new
            bad += new and failed
            continue
        if reports == now:
            reports += REPORT_INTERVAL_S
            for entry_counts in counts:
                plan.comparison.observe(entry_counts.report(1, plan.phase, now), now)
            plan.advance(now, 1)
            was_full = was_full or plan.phase is Phase.FULL
            continue
        arrives += rng.expovariate(trial.rate)
        entry = rng.randrange(trial.entries)
        route = min(len(weights) - 1, _index(weights, rng.random() * weights[-1]))
        new = plan.phase is Phase.FULL or (
            plan.phase is Phase.SHARE and shares[entry].may_send_new()
        )
        shares[entry].record_sent(new)
        sent_new += new
        running[entry] += not new
        engine = rng.randrange(trial.engines)
        if new and plan.phase is Phase.SHARE:
            first = int(now / TRIAL_S) * trial.on_trial
            engine = (first + rng.randrange(trial.on_trial)) % trial.engines
        speed = (new_speeds if new else old_speeds)[engine]
        faults = [trial.both, trial.new] if new else [trial.both]
        taken_s = (
            trial.routes[route][1] * math.exp(rng.gauss(0.0, trial.spread)) / speed
        )
        failing = trial.background
        for fault in faults:
            if fault.applies(route, now):
                failing += fault.failures
                taken_s *= fault.slowdown
        key = next(keys)
        counts[entry].begin(key, names[route], str(engine), new, now)
        end = (now + min(taken_s, 15.0), key, entry, new, rng.random() < failing)
        heapq.heappush(ends, end)
    return TrialResult(
        state=plan.end,
        reason=plan.reason,
        ended_s=now,
        full=was_full,
        sent_new=sent_new,
        bad=bad,
    )


def _index(weights: list[float], drawn: float) -> int:
    for number, weight in enumerate(weights):
        if drawn < weight:
            return number
    return len(weights) - 1
