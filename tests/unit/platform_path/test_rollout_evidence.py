"""Evidence that a version fails more often: its mean and its growth."""

import math

import pytest

from acaciarelay.coordination.rollout.evidence import (
    ChangeMixture,
    log_failure_evidence,
)


@pytest.mark.parametrize("odds", [4.0, 50.0])
@pytest.mark.parametrize("requests", [(40, 4), (9, 3), (5, 5), (100, 1)])
@pytest.mark.parametrize("failures", [1, 3, 5])
def test_mean_is_one_while_versions_fail_alike(odds, requests, failures):
    """Guards against evidence that grows for a good version: its error would too."""
    old, new = requests
    total = math.comb(old + new, failures)
    mean = 0.0
    for at_new in range(max(0, failures - old), min(new, failures) + 1):
        chance = math.comb(new, at_new) * math.comb(old, failures - at_new) / total
        log = log_failure_evidence(old, failures - at_new, new, at_new, odds)
        mean += chance * math.exp(log)
    assert mean == pytest.approx(1.0, rel=1e-6)


@pytest.mark.parametrize("counts", [(0, 0, 5, 5), (50, 9, 0, 0), (50, 0, 5, 0)])
def test_nothing_to_compare_is_no_evidence(counts):
    """Guards against a version condemned without an answer of the old one beside it."""
    assert log_failure_evidence(*counts, 50.0) == 0.0


def test_failures_at_the_old_version_count_against_the_evidence():
    """Guards against trouble of both versions held against the new one."""
    alone = log_failure_evidence(40, 0, 4, 2, 50.0)
    both = log_failure_evidence(40, 20, 4, 2, 50.0)
    assert alone > 4.0 and both < 0.0


def test_mixture_keeps_its_mean_and_finds_a_late_change():
    """Guards against a version that turns bad late and is hidden by its past."""
    mixture = ChangeMixture(14)
    for _ in range(8):
        mixture.multiply(0.5)
    low = mixture.value
    assert low < 1.0
    for _ in range(4):
        mixture.multiply(9.0)
    assert mixture.value > 100.0
    plain = ChangeMixture(14)
    plain.skip(5)
    other = ChangeMixture(14)
    for _ in range(5):
        other.multiply(1.0)
    assert plain.value == pytest.approx(other.value) == pytest.approx(1.0)


def test_mixture_is_bounded():
    """Guards against an overflow in an order of many seconds."""
    mixture = ChangeMixture(3)
    for _ in range(1000):
        mixture.multiply(45.0)
    assert mixture.value < 1e16
