"""Guard against shedding of higher tiers, leaked slots and synchronised retries."""

from random import Random

from coordination_builders import agent
from hypothesis import given, settings, strategies as st

from acaciarelay.coordination.admission import (
    Admission,
    Backlog,
    estimated_wait_s,
    retry_after_s,
)
from acaciarelay.coordination.load import TierCount

MAX_BYTES = 1_000
PROGRESS_METHODS = st.sampled_from(["handed_off", "body_sent", "release"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.integers(0, 3), st.sampled_from("abc"), st.integers(0, 600)),
        st.tuples(PROGRESS_METHODS, st.integers(0, 40)),
    ),
    min_size=15,
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(STEPS, st.integers(1, 8))
def test_steps_keep_bounds_and_tier_order(steps: list[tuple], slots: int) -> None:
    """Guards against overcommitted memory, evicted running work and a broken order."""
    admission = Admission(slots, MAX_BYTES)
    waiting: dict[str, tuple[int, str]] = {}
    body: dict[str, int] = {}
    for number, step in enumerate(steps):
        if len(step) == 2:
            method, name = step[0], str(step[1])
            getattr(admission, method)(name)
            waiting.pop(name, None)
            if method != "handed_off":
                body.pop(name, None)
        else:
            tier, organisation, size = step
            decision = admission.admit(str(number), tier, organisation, size)
            for victim in decision.evict:
                lowest = max(other for other, _ in waiting.values())
                assert waiting[victim][0] == lowest >= tier
                assert waiting[victim] != (tier, organisation)
                del waiting[victim], body[victim]
            if decision.admitted:
                waiting[str(number)], body[str(number)] = (tier, organisation), size
            else:
                assert all(other <= tier for other, _ in waiting.values())
        assert admission.waiting == len(waiting) <= slots
        assert admission.body_bytes == sum(body.values()) <= MAX_BYTES


def test_the_largest_organisation_of_the_lowest_tier_loses_its_newest_request() -> None:
    """Guards against a flooding organisation that evicts small callers."""
    admission = Admission(5, MAX_BYTES)
    for index in range(4):
        admission.admit(f"flood{index}", 2, "flood", 1)
    admission.admit("small", 2, "small", 1)
    assert admission.admit("top", 0, "flood", 1).evict == ["flood3"]
    assert admission.admit("other", 2, "other", 1).evict == ["flood2"]
    refused = admission.admit("flood4", 2, "flood", 1)
    assert not refused.admitted and refused.evict == []


def test_a_refusal_evicts_no_request_of_the_same_tier() -> None:
    """Guards against requests that are shed without another being admitted."""
    admission = Admission(10, MAX_BYTES)
    admission.admit("sending", 1, "c", 800)
    admission.handed_off("sending")
    admission.admit("peer", 1, "a", 150)
    admission.admit("peer2", 1, "a", 50)
    refused = admission.admit("newcomer", 1, "b", 190)
    assert not refused.admitted and refused.evict == []
    assert admission.waiting == 2 and admission.body_bytes == 1_000


def test_requests_without_a_body_are_kept_when_body_bytes_run_out() -> None:
    """Guards against shedding that frees no memory."""
    admission = Admission(10, MAX_BYTES)
    admission.admit("photo", 2, "few", 900)
    for index in range(6):
        admission.admit(f"lookup{index}", 2, "few" if index < 2 else "many", 0)
    assert admission.admit("order", 0, "x", 500).evict == ["photo"]


def test_the_wait_estimate_is_that_of_the_best_usable_agent() -> None:
    """Guards against early rejection of a request that may be served in time.

    Another agent may be free, an agent's rate may be unknown, or only lower tiers may
    run and wait.
    """
    full = agent("full", running=20_000)
    assert estimated_wait_s([full], 1, 500) == 10.5
    assert estimated_wait_s([full, agent("free")], 1, 500) == 0
    assert estimated_wait_s([agent("down", endpoint_up=False)], 1, 500) is None
    unknown = agent("new", running=20_000, tokens_per_second=0.0)
    assert estimated_wait_s([full, unknown], 1, 500) is None
    flooded = agent("a", tiers={3: TierCount(500, 10**6, 50, 10_000)})
    assert estimated_wait_s([flooded], 0, 500) == 0
    assert (estimated_wait_s([flooded], 3, 500) or 0) > 60


@given(st.floats(0, 1e6), st.integers())
def test_retry_after_is_bounded_jittered_and_grows(pressure: float, seed: int) -> None:
    """Guards against callers that retry at once, simultaneously, or never."""
    random = Random(seed)
    values = [retry_after_s(pressure, random) for _ in range(200)]
    assert 1 <= min(values) and max(values) <= 60
    assert max(values) > 1.2 * min(values)
    if pressure < 4:
        higher = [retry_after_s(pressure + 5, random) for _ in range(200)]
        assert sum(higher) > sum(values)


def test_a_small_backlog_is_ahead_of_a_large_one() -> None:
    """Guards against refusing a small caller for the backlog of a flood."""
    backlog = Backlog()
    assert backlog.share_ahead("small") == 1.0
    backlog.add("flood", 9_900)
    assert backlog.share_ahead("flood") == 1.0
    assert backlog.share_ahead("small") == 0.0
    backlog.add("small", 100)
    assert backlog.share_ahead("small") == 0.02
    assert backlog.share_ahead("flood") == 1.0
    backlog.remove("flood", 9_900)
    backlog.remove("small", 100)
    assert (backlog.total, backlog.tokens) == (0, {})
