"""Errors of the comparison of versions, in simulated orders of fixed seeds.

Good versions are rolled back with a probability of at most 1 in 1,000; these tests run
few of the orders that tools/measure_rollout.py runs.
"""

import random

import pytest

from acaciarelay.coordination.rollout import AnswerCounts, VersionComparison
from acaciarelay.state.rollout import (
    LifetimeCounts,
    Phase,
    RolloutOrder,
    RolloutState,
    Verdict,
)
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_bench.rollout_trials import Fault, Trial, run_trial

ORDER = RolloutOrder(
    service="chat", version="2", duration_s=12.0, revision=StoreVersion(1, 7)
)
GREY = Fault(failures=0.2, slowdown=2.0, begins_s=4.0, ends_s=7.0)


def rolled_back(trial, orders):
    results = [run_trial(trial, random.Random(seed)) for seed in range(orders)]
    return sum(1 for one in results if one.state is RolloutState.ROLLED_BACK)


@pytest.mark.parametrize(
    "options",
    [
        {},
        {"speeds": (1.0,)},
        {"background": 0.01},
        {"both": GREY},
        {"both": Fault(failures=0.3, slowdown=3.0, begins_s=9.0)},
        {"rate": 10.0, "entries": 3},
        {"entries": 3, "engines": 6, "on_trial": 1},
    ],
)
def test_good_versions_are_not_rolled_back(options):
    """Guards against chance, slow engines or common trouble held against a version."""
    assert rolled_back(Trial(**options), 25) == 0


@pytest.mark.parametrize(
    "fault",
    [
        Fault(failures=0.1),
        Fault(failures=1.0),
        Fault(failures=0.4, begins_s=6.0),
        Fault(failures=1.0, begins_s=9.0),
        Fault(failures=0.5, route=1),
        Fault(slowdown=3.0),
        Fault(slowdown=1000.0),
    ],
)
def test_bad_versions_are_rolled_back(fault):
    """Guards against a bad version that is put in use at the end of its time."""
    assert rolled_back(Trial(speeds=(0.8, 1.0, 1.25), new=fault), 15) == 15


def test_weakly_bad_versions_are_rolled_back():
    """Guards against faults at the limit of what has to be found."""
    speeds = (0.8, 1.0, 1.25)
    twice = Trial(speeds=speeds, new=Fault(slowdown=2.0))
    assert rolled_back(twice, 25) == 25
    failing = Trial(speeds=speeds, new=Fault(failures=0.05))
    assert rolled_back(failing, 25) >= 22


def test_bad_version_gets_few_requests():
    """Guards against a version that fails always and is found late."""
    for seed in range(10):
        result = run_trial(Trial(new=Fault(failures=1.0)), random.Random(seed))
        assert not result.full and result.bad < 80


def feed(comparison, requests, failed_new=0, gap=10, begin=0.0):
    """Give answers of one entry, every tenth of which is of the new version.

    Of these, each that has a number divisible by ``gap`` fails, up to ``failed_new``.
    """
    counts = AnswerCounts(ORDER, "a", "x")
    comparison.observe(counts.report(1, Phase.SHARE, begin), begin)
    now = begin
    for number in range(requests):
        now += 0.01
        new = number % 10 == 0
        counts.begin(number, "/a", "e", new, now)
        failed = new and failed_new > 0 and number % gap == 0
        failed_new -= failed
        counts.end(number, failed, now + 0.1)
        if number % 25 == 24:
            comparison.observe(counts.report(1, Phase.SHARE, now + 0.2), now + 0.2)
    return now + 2.0


def test_verdict_is_good_only_with_enough_answers():
    """Guards against a version called good before a share of 1 in 20 is excluded."""
    comparison = VersionComparison(12.0)
    assert comparison.verdict(feed(comparison, 300)) is Verdict.UNDECIDED
    comparison = VersionComparison(12.0)
    assert comparison.verdict(feed(comparison, 900)) is Verdict.GOOD


def test_little_traffic_is_no_fault_unless_most_answers_fail():
    """Guards against a seldom used version that is rolled back, or kept, by chance."""
    comparison = VersionComparison(12.0)
    now = feed(comparison, 40, failed_new=1)
    comparison.end_share()
    assert comparison.verdict(now) is Verdict.UNDECIDED
    comparison = VersionComparison(12.0)
    now = feed(comparison, 40, failed_new=4)
    comparison.end_share()
    assert comparison.verdict(now) is Verdict.BAD


def test_failures_of_one_second_have_a_bounded_weight():
    """Guards against a version that is rolled back because one engine was lost."""
    comparison = VersionComparison(12.0)
    now = feed(comparison, 70, failed_new=6)
    assert comparison.failure_evidence() < 100.0
    assert comparison.verdict(now) is Verdict.UNDECIDED


def test_bad_is_final():
    """Guards against a verdict that changes while the roll-back is written."""
    comparison = VersionComparison(12.0)
    now = feed(comparison, 1000, failed_new=20, gap=20)
    assert comparison.verdict(now) is Verdict.BAD
    assert comparison.found_bad == "failures"
    assert comparison.verdict(now + 100.0) is Verdict.BAD


def test_totals_of_a_former_coordinator_are_evidence_but_no_verdict():
    """Guards against evidence that is lost, or overrated, when the coordinator dies."""
    former = LifetimeCounts(
        entry="b",
        lifetime="y",
        old_requests=300,
        old_failures=0,
        new_requests=30,
        new_failures=8,
    )
    comparison = VersionComparison(12.0)
    comparison.restore((former,))
    assert comparison.failure_evidence() >= 80.0
    comparison.end_share()
    assert comparison.verdict(1.0) is Verdict.UNDECIDED
    now = feed(comparison, 600, failed_new=3, gap=100, begin=1.0)
    assert comparison.verdict(now) is Verdict.BAD


def test_odd_durations_are_accepted():
    """Guards against memory or time that grows with the duration of an order."""
    for duration_s in (0.0, 0.2, 86_400.0, 1e12):
        assert VersionComparison(duration_s).verdict(0.0) is Verdict.UNDECIDED
