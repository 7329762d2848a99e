"""Guard against a token limit that overloads an engine, oscillates or stays low."""

import pytest

from acaciarelay.coordination.concurrency import TokenLimit

TARGET_S = 0.05


def new_limit(*tokens: int) -> TokenLimit:
    """Build a limit of 10,000 in which requests of the given tokens run."""
    limit = TokenLimit(10_000, 500, 20_000, TARGET_S, 1.0)
    for index, number in enumerate(tokens):
        assert limit.acquire(f"r{index}", number)
    return limit


def observe(limit: TokenLimit, first_token_s: float, ratio: float) -> int:
    for step in range(100):
        limit.observe(first_token_s, TARGET_S * ratio, step * 0.2)
    return limit.limit


def inter_token_s(tokens: int, capacity: int) -> float:
    return TARGET_S * (0.2 + 0.8 * tokens / capacity)


def simulate(limit: TokenLimit, start: float, seconds: float, capacity: int) -> float:
    """Keep an engine full; its inter-token time is on target at ``capacity``."""
    now = start
    while now < start + seconds:
        now += 0.1
        for index in range(limit.running):
            limit.release(f"r{index}", now)
        index = 0
        while limit.acquire(f"r{index}", 200):
            index += 1
        for _ in range(3):
            limit.observe(None, inter_token_s(limit.in_use, capacity), now)
    return now


def test_one_request_always_fits_an_idle_endpoint_and_counts_once() -> None:
    """Guards against a large request that never runs, and tokens counted twice."""
    limit = new_limit(50_000)
    assert limit.acquire("r0", 50_000) and not limit.acquire("small", 1)
    limit.release("r0", 1.0)
    limit.release("r0", 1.0)
    assert limit.in_use == 0 and limit.acquire("small", 1)


@pytest.mark.parametrize("capacity", [3_000, 6_000, 15_000])
def test_the_limit_settles_near_the_capacity(capacity: int) -> None:
    """Guards against an overloaded engine and against unused capacity."""
    limit = new_limit()
    now = simulate(limit, 0.0, 60.0, capacity)
    for _ in range(100):
        now = simulate(limit, now, 0.1, capacity)
        assert 0.8 * capacity <= limit.limit <= 1.1 * capacity


def test_throughput_recovers_within_10_s_after_a_slow_period() -> None:
    """Guards against goodput that stays low after an engine was slow."""
    limit = new_limit()
    now = simulate(limit, 0.0, 30.0, capacity=10_000)
    before = limit.limit / inter_token_s(limit.limit, 10_000)
    now = simulate(limit, now, 30.0, capacity=1_000)
    assert limit.limit < 2_000
    simulate(limit, now, 10.0, capacity=10_000)
    assert limit.limit / inter_token_s(limit.limit, 10_000) >= 0.95 * before


def test_only_a_limit_that_is_the_bottleneck_grows() -> None:
    """Guards against a limit that is far too high when a burst begins."""
    assert observe(new_limit(1_000), 0.1, 0.2) == 10_000
    limit = new_limit(1_000)
    limit.record_blocked()
    assert observe(limit, 0.1, 0.2) > 10_000


@pytest.mark.parametrize("ratio", [0.92, 0.99])
def test_latency_just_below_the_target_changes_nothing(ratio: float) -> None:
    """Guards against oscillation on noise."""
    assert observe(new_limit(5_000, 5_000), ratio, ratio) == 10_000


def test_only_late_first_tokens_of_several_streams_lower_the_limit() -> None:
    """Guards against ignored latency, and against a long prompt taken for overload."""
    assert observe(new_limit(5_000, 5_000), 1.5, 0.5) < 10_000
    # A single stream does not get faster by a lower limit.
    assert observe(new_limit(5_000), 1.5, 0.95) == 10_000
    # Two samples are fewer than MIN_SAMPLES and may be outliers.
    limit = new_limit(5_000, 5_000)
    limit.observe(30.0, None, 0.0)
    limit.observe(30.0, None, 0.6)
    assert limit.limit == 10_000


def test_many_stalled_streams_shrink_the_limit_once() -> None:
    """Guards against a collapse to the minimum by one stall."""
    limit = new_limit()
    for now in (1.0, 1.0, 1.1):
        limit.shrink(now)
    assert limit.limit == 5_000


def test_the_freed_rate_covers_busy_time_only() -> None:
    """Guards against a rate that idle time makes too low for wait estimates."""
    limit = new_limit(*[100] * 20)
    for second in range(20):
        limit.release(f"r{second}", float(second))
    limit.acquire("late", 100)
    limit.release("late", 1_000.0)
    assert limit.tokens_per_second == pytest.approx(100)


def test_one_request_counts_for_a_share_of_the_limit_only() -> None:
    """Guards against a long prompt that waits until the endpoint is idle."""
    limit = new_limit()
    assert limit.acquire("long", limit.max_request_tokens)
    assert limit.acquire("other", limit.max_request_tokens)
    assert limit.free_tokens >= 10_000 // 4
    assert TokenLimit(1, 1, 1).max_request_tokens == 1


def test_a_queue_at_the_endpoint_lowers_the_limit_towards_the_running_tokens() -> None:
    """Guards against requests that wait in the endpoint's own queue, out of order."""
    limit = new_limit()
    for index in range(32):
        assert limit.acquire(f"r{index}", 250)
    # One report at most halves the limit. It falls to 2,500: the 2,000 tokens of the
    # 8 running requests and a quarter of slack.
    limit.update_from_report(8, 24)
    assert limit.limit == 5_000
    limit.update_from_report(8, 24)
    assert limit.limit == 2_500
    limit.update_from_report(8, 24)
    assert limit.limit == 2_500
    limit.update_from_report(8, 0)
    assert limit.limit == 2_500


def test_the_limit_does_not_grow_while_the_endpoint_queues() -> None:
    """Guards against growth by the low latency of a few requests that did not queue."""
    queued, free = new_limit(), new_limit()
    queued.update_from_report(8, 8)
    before = queued.limit
    simulate(queued, 0.0, 3.0, 1_000_000)
    simulate(free, 0.0, 3.0, 1_000_000)
    assert queued.limit == before
    assert free.limit > 10_000


def test_the_time_until_tokens_are_free_follows_the_measured_rate() -> None:
    """Guards against a guessed time in the decision to preempt.

    While the rate is unknown, the time is infinite.
    """
    limit = TokenLimit(1_000, 1, 1_000)
    assert limit.time_until_free_s(5_000) == 0.0
    assert limit.acquire("a", 600) and limit.acquire("b", 400)
    assert limit.time_until_free_s(100) == float("inf")
    limit.release("a", 0.0)
    assert limit.acquire("c", 600)
    limit.release("c", 2.0)
    assert limit.tokens_per_second == 300
    assert limit.time_until_free_s(900) == 1.0
