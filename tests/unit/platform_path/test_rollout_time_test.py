"""Scores of answer times, with engines of unlike speed."""

import random
import statistics

import pytest

from acaciarelay.coordination.rollout.engine_spread import (
    EngineSpread,
    EngineSum,
    unequal_share,
)
from acaciarelay.coordination.rollout.strata import Stratum
from acaciarelay.coordination.rollout.time_test import TimeTest, normal_score


def engine_sums(rng, count, deviation, answers=60):
    sums = {}
    for number in range(count):
        speed = rng.gauss(0.0, deviation)
        excess = sum(speed + rng.gauss(0.0, 3.0) for _ in range(answers))
        sums[str(number)] = EngineSum(answers, answers, excess)
    return sums


@pytest.mark.parametrize("deviation", [0.0, 1.0, 2.5])
def test_spread_of_the_engines_is_found(deviation):
    """Guards against slow engines taken for a slow version, and the reverse."""
    rng = random.Random(1)
    found = []
    for _ in range(40):
        groups = [engine_sums(rng, 22, deviation), engine_sums(rng, 10, deviation)]
        answer_variance = 9.0 + deviation**2
        found.append(EngineSpread.estimate(groups, answer_variance))
    expected = (4 * 6.0 + 30 * deviation**2) / 34
    mean = statistics.fmean(spread.variance for spread in found)
    assert mean == pytest.approx(expected, rel=0.25)
    assert found[0].freedom == 34


def test_few_engines_have_the_prior_spread():
    """Guards against a division by zero, and a version judged by a single engine."""
    spread = EngineSpread.estimate([{"a": EngineSum(5, 5, 1.0)}, {}], 9.0)
    assert spread.variance == 6.0 and spread.freedom == 4


def test_mean_over_unequal_engines():
    """Guards against two engines counted as many because some got one request."""
    assert unequal_share({"a": 5, "b": 5}) == 0.5
    assert unequal_share({"a": 100, "b": 1, "c": 1}) > 0.95
    assert unequal_share({}) == 1.0


@pytest.mark.parametrize(
    ("student", "freedom", "score"),
    # Quantiles of equal probability of Student's and the normal distribution.
    [(3.169, 10, 2.576), (4.587, 10, 3.291), (3.646, 30, 3.291), (0.0, 5, 0.0)],
)
def test_score_allows_for_the_unknown_spread(student, freedom, score):
    """Guards against few engines judged as if their spread were known exactly."""
    assert normal_score(student, freedom) == pytest.approx(score, rel=0.02, abs=1e-9)
    assert normal_score(-student, freedom) == -normal_score(student, freedom)


def filled_test(rng, shift, engines=10, slices=10, common=0.0, spread=0.0):
    test = TimeTest()
    for number in range(slices):
        stratum = Stratum()
        for new, count in ((False, 43), (True, 4)):
            for _ in range(count):
                bucket = 30 + rng.gauss(0.0, 3.0) + (shift if new else 0.0)
                stratum.times(new)[round(bucket + common * number)] += 1
        sums = {str(one): EngineSum(4, 4, 0.0) for one in range(engines)}
        test.add({"/chat": stratum}, {False: engine_sums(rng, 22, spread), True: sums})
    return test


def test_slow_version_has_a_high_score():
    """Guards against a version that is 3 times as slow and is not found."""
    assert filled_test(random.Random(1), 6.3).score({}) > 4.0


def test_slowness_of_both_versions_is_no_evidence():
    """Guards against a slowdown of both versions held against the new one."""
    for seed in range(20):
        assert filled_test(random.Random(seed), 0.0, common=1.0).score({}) < 2.5


def test_single_engine_is_weak_evidence():
    """Guards against a version condemned because its only engine is slow."""
    assert filled_test(random.Random(1), 4.0, engines=1, spread=2.5).score({}) < 2.0
    assert TimeTest().score({}) == TimeTest().route_score() == 0.0
