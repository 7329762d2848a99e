"""Guard against shedding of higher tiers and against cancelling the wrong work.

Work of an equal or higher tier and work that can't be repeated must not be cancelled.
"""

import pytest
from coordination_builders import reservation

from acaciarelay.coordination.shedding import (
    LAST_RESORT_TIMEOUT_S,
    TIER_FLOOR_S,
    LastResortRound,
    RunningWork,
    TierFloor,
    choose_victim,
    should_preempt,
)


def work(
    name, tier=2, repeatable=True, prompt=1_000, done=1_100, sent=True, organisation=""
):
    return RunningWork(name, tier, repeatable, prompt, done, sent, organisation)


def test_the_floor_expires_and_the_most_urgent_one_is_in_force() -> None:
    """Guards against a floor that a less urgent one replaces, or that never expires."""
    floor = TierFloor()
    assert floor.current(0.0) is None
    floor.set(0, 0.0)
    floor.set(2, 1.0)
    assert floor.current(1.0) == 0
    assert floor.current(TIER_FLOOR_S) == 2
    assert floor.current(1.0 + TIER_FLOOR_S) is None


def test_only_lower_repeatable_work_is_a_victim() -> None:
    """Guards against cancelled equal-tier or non-repeatable work."""
    running = [work("same", 1), work("higher", 0), work("order", 3, repeatable=False)]
    assert choose_victim(running, 1) is None
    assert choose_victim([*running, work("low", 2)], 1) == "low"


@pytest.mark.parametrize(
    "changes", [{"prompt": 10}, {"sent": False, "done": 300}, {"done": 1_001}]
)
def test_the_lowest_tier_loses_the_least_prefill(changes: dict) -> None:
    """Guards against wasted prefill and against a victim of a middle tier."""
    running = [work("a", 3), work("least", 3, **changes), work("middle", prompt=1)]
    assert choose_victim(running, 1) == "least"


def test_preemption_starts_after_half_of_the_wait_budget() -> None:
    """Guards against preemption while a request can still wait, and against none later.

    A last-resort reservation can't wait.
    """
    head = reservation("r", queued_at=10.0, waited_s=2.0, wait_budget_s=10.0)
    assert not should_preempt(head, 13.0) and should_preempt(head, 13.1)
    head.last_resort = True
    assert should_preempt(head, 10.0)


def test_a_request_is_shed_only_when_all_agents_have_replied_or_are_silent() -> None:
    """Guards against shedding while an agent may run it, and against endless waits."""
    last_resort_round = LastResortRound()
    assert not last_resort_round.may_shed(100.0)
    last_resort_round.start(["a", "b", "c"], 0.0)
    last_resort_round.record_reply("a")
    last_resort_round.record_session_lost("b")
    assert not last_resort_round.may_shed(
        LAST_RESORT_TIMEOUT_S - 0.01
    ) and last_resort_round.pending == ["c"]
    assert last_resort_round.may_shed(LAST_RESORT_TIMEOUT_S)
    last_resort_round.record_reply("c")
    assert last_resort_round.may_shed(0.5)


def test_a_declined_round_never_allows_a_shed() -> None:
    """Guards against a shed while an agent without capacity runs lower-tier work."""
    last_resort_round = LastResortRound()
    last_resort_round.start(["a", "b"], 0.0)
    last_resort_round.record_decline()
    last_resort_round.record_reply("a")
    last_resort_round.record_reply("b")
    assert not last_resort_round.may_shed(0.1)
    assert not last_resort_round.may_shed(LAST_RESORT_TIMEOUT_S + 1.0)


def test_silent_agents_delay_the_round_by_a_bounded_time() -> None:
    """Guards against a request that waits for ever on a silent link."""
    last_resort_round = LastResortRound()
    last_resort_round.start(["a"], 5.0)
    assert not last_resort_round.may_shed(5.0 + LAST_RESORT_TIMEOUT_S - 0.01)
    assert last_resort_round.may_shed(5.0 + LAST_RESORT_TIMEOUT_S)
    last_resort_round.start([], 9.0)
    assert last_resort_round.may_shed(9.0)


def test_the_victim_is_of_the_organisation_that_runs_most() -> None:
    """Guards against a flood whose preemption costs small callers their streams."""
    running = [work(f"f{n}", organisation="flood") for n in range(3)]
    running.append(work("s", organisation="small", done=1))
    victim = choose_victim(running, 0)
    assert victim is not None and victim.startswith("f")
    # A lower tier goes first whoever runs it.
    running.append(work("low", tier=3, organisation="small"))
    assert choose_victim(running, 0) == "low"


def test_nothing_is_preempted_for_a_request_expected_to_start_in_time() -> None:
    """Guards against prefill wasted for work that would have started anyway."""
    head = reservation("head", queued_at=0.0, wait_budget_s=4.0)
    # In time is within LATEST_START_SHARE of the wait budget: 3 s.
    assert not should_preempt(head, 2.5, time_until_free_s=0.4)
    assert should_preempt(head, 2.5, time_until_free_s=0.6)
    assert should_preempt(head, 3.1, time_until_free_s=0.0)
    # Before half of the wait budget nothing is preempted.
    assert not should_preempt(head, 1.0, time_until_free_s=10.0)
