"""Guard against limits that leak tokens or return a wrong wait time."""

import pytest
from hypothesis import given, strategies as st

from acaciarelay.coordination.rate_limit import OrganisationLimits


def limits(rate: float = 100, burst: float = 1_000, share: float = 1.0):
    result = OrganisationLimits()
    result.configure("a", rate, burst, share)
    return result


@given(
    st.floats(0.1, 10_000),
    st.integers(0, 50_000),
    st.floats(0.01, 1),
    st.lists(st.integers(1, 20_000), min_size=1, max_size=20),
)
def test_a_caller_that_waits_the_returned_time_is_admitted(
    rate, burst, share, sizes
) -> None:
    """Guards against a wrong Retry-After and against a rate above the limit."""
    buckets = limits(rate, burst, share)
    now = admitted = 0.0
    for tokens in sizes:
        wait_s = buckets.admit("a", tokens, now)
        if wait_s > 0:
            assert buckets.admit("a", tokens, now + 0.5 * wait_s) > 0 or wait_s < 1e-3
            now += wait_s
            assert buckets.admit("a", tokens, now) == 0
        assert admitted <= (burst or rate * 10) * share + rate * share * now + 0.1
        admitted += tokens


def test_actual_tokens_replace_the_estimate() -> None:
    """Guards against charges that stay at a wrong estimate."""
    buckets = limits()
    assert buckets.admit("a", 1_000, 0.0) == 0
    buckets.correct_charge("a", 1_000, 2_000, 0.0)
    assert buckets.admit("a", 100, 0.0) == pytest.approx(11.0)
    buckets.correct_charge("a", 10**6, 0, 0.0)
    assert buckets.admit("a", 1_000, 0.0) == 0 < buckets.admit("a", 1, 0.0)


def test_a_change_of_the_limit_refills_nothing_and_0_removes_it() -> None:
    """Guards against a full bucket at each change, and a limit of 0 that blocks."""
    buckets = limits()
    buckets.admit("a", 1_000, 0.0)
    buckets.configure("a", 100, 1_000, 0.5)
    assert buckets.admit("a", 50, 0.0) == pytest.approx(1.0)
    buckets.configure("a", 0, 0, 1.0)
    assert buckets.admit("a", 10**9, 0.0) == buckets.admit("b", 10**9, 0.0) == 0
