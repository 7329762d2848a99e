"""Shared limits hold despite lost peers, network partitions and restarts."""

import random

import pytest
from hypothesis import example, given, settings, strategies as st
from relay_rig import NO_TOLERANCE
from shared_limit_model import (
    BOUND,
    EXCESS,
    ORGANISATION,
    RATE,
    SLACK,
    STEP_S,
    WINDOW_S,
    SharedLimitSimulation,
)

from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.state.routing import Organisation

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "partition", "heal", "kill all"]),
        st.integers(0, 5),
        st.integers(5, 60),
    ),
    max_size=6,
)


@settings(max_examples=25, deadline=None)
@given(events=EVENTS, seed=st.integers(0, 10_000))
# After a restart of all processes, demand rises faster than they report it to peers.
@example(events=[("kill all", 0, 5), ("kill", 0, 5)], seed=655)
# After a start, a full bucket does not mean that little was used before.
@example(
    events=[("kill all", 0, 14), ("partition", 0, 6), ("kill", 0, 5)],
    seed=416,
)
def test_usage_limit_holds_over_all_processes(events, seed):
    """Guards against a limit that is used twice around a lost peer or a restart."""
    simulation = SharedLimitSimulation(6, seed)
    for _ in range(40):
        simulation.step()
    for kind, name, steps in events:
        match kind:
            case "kill":
                simulation.kill(name, 0.8)
            case "partition":
                simulation.partition(name)
            case "heal":
                simulation.partitioned.clear()
            case "kill all":
                for each in range(6):
                    simulation.kill(each, 0.6)
        for _ in range(steps):
            simulation.step()
    for _ in range(100):
        simulation.step()
    assert simulation.max_window_tokens() <= BOUND


def test_most_of_a_limit_is_served_under_a_flood():
    """Guards against shares that add up to less than the limit."""
    simulation = SharedLimitSimulation(6, 1)
    for _ in range(400):
        simulation.step()
    served = sum(cost for _, cost in simulation.admitted)
    assert served >= 0.9 * RATE * 400 * STEP_S


def test_one_process_may_use_the_whole_limit():
    """Guards against equal shares while one process gets all the requests."""
    ledger = UsageLedger(NO_TOLERANCE, True, 0.0)
    ledger.known_peer_count = 5
    now = 100.0
    served = 0
    for step in range(200):
        now += 0.05
        if step % 4 == 0:
            for peer in range(5):
                ledger.merge_peer_totals(str(peer), "a", 100.0, {}, {}, now)
        if ledger.admit(ORGANISATION, 1000.0, now) == 0:
            served += 1000
    assert served >= 0.9 * RATE * 10


@pytest.mark.parametrize("count", [1, 6, 25])
def test_retries_stay_within_the_ratio_and_the_reserve(count):
    """Guards against processes that each spend the whole shared reserve."""
    rng = random.Random(3)
    budgets = [SharedRetryBudget(0.2, 58.0, 10.0) for _ in range(count)]
    for budget in budgets:
        budget.process_count = count
    firsts: list[float] = []
    retries: list[float] = []
    now = 50.0
    while now < 90.0:
        now += 0.02
        budget = rng.choice(budgets)
        budget.record_first_attempt("orders", now)
        firsts.append(now)
        while budget.try_spend("orders", now):
            retries.append(now)
    for start in range(50, 80):
        inside = sum(1 for at in retries if start <= at < start + 10)
        asked = sum(1 for at in firsts if start <= at < start + 10)
        before = sum(1 for at in firsts if start - 10 <= at < start)
        middle = sum(1 for at in firsts if start - 5 <= at < start + 5)
        assert inside <= 0.2 * max(asked, before, middle) + 58.0


def test_processes_that_all_restart_stay_within_the_reserve():
    """Guards against a reserve that a restart renews, or withholds for a window."""
    spent = 0
    for start in (100.0, 104.0):
        budgets = [SharedRetryBudget(0.2, 58.0, 10.0) for _ in range(6)]
        for budget in budgets:
            budget.process_count = 6
            assert budget.can_spend("orders", start)
            while budget.try_spend("orders", start):
                spent += 1
    assert spent <= 58


def test_isolated_process_keeps_to_its_share():
    """Guards against both sides of a network partition using the whole limit."""
    ledger = UsageLedger(NO_TOLERANCE, True, 0.0)
    ledger.known_peer_count = 5
    now = 100.0
    for peer in range(5):
        ledger.merge_peer_totals(str(peer), "a", 100.0, {}, {"dealer": 4000.0}, now)
    served = 0
    for step in range(400):
        now += 0.05
        if step == 100:
            for peer in range(5):
                ledger.mark_peer_lost(str(peer), now)
            served = 0
        if ledger.admit(ORGANISATION, 1000.0, now) == 0:
            served += 1000
    assert served <= RATE / 6 * 15 + RATE


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_over_25_processes_under_a_flood(seed):
    """Guards against one excess request at each of many processes at the same time."""
    simulation = SharedLimitSimulation(25, seed, flood=7.5)
    for _ in range(40):
        simulation.step()
    simulation.kill(seed, 0.8)
    for _ in range(160):
        simulation.step()
    assert simulation.max_window_tokens() <= BOUND


def test_first_request_counts_earlier_use_at_peers():
    """Guards against a new bucket that ignores what peers admitted before."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    ledger.merge_peer_totals("1", "a", 50.0, {}, {}, 100.0)
    ledger.merge_peer_totals("1", "a", 50.2, {"dealer": RATE}, {}, 100.2)
    assert ledger.admit(ORGANISATION, 5000.0, 100.3) > 0
    assert ledger.admit(ORGANISATION, 5000.0, 101.5) == 0


def test_decaying_demand_changes_in_coarse_steps():
    """Guards against messages in which the demand of every organisation has changed."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 11
    ledger.admit(ORGANISATION, 5000.0, 101.0)
    sent = [ledger.demand(101.0 + step * 0.05) for step in range(20)]
    changes = sum(one != other for one, other in zip(sent, sent[1:], strict=False))
    assert 1 <= changes <= 2


def test_little_demand_is_sent_as_none():
    """Guards against a message part for each organisation that once sent a request."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 11
    ledger.admit(ORGANISATION, 5000.0, 101.0)
    assert set(ledger.demand(101.5)) == {"dealer"}
    assert ledger.demand(105.0) == {}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [6, 25])
def test_limit_holds_when_all_restart_again_and_again(count, seed):
    """Guards against initial levels of several starts that add up beyond the limit."""
    simulation = SharedLimitSimulation(count, seed, flood=7.5)
    for _ in range(40):
        simulation.step()
    for _ in range(3):
        for name in range(count):
            simulation.kill(name, 0.6)
        for _ in range(40):
            simulation.step()
    for _ in range(100):
        simulation.step()
    assert simulation.max_window_tokens() <= BOUND


def test_usual_demand_is_served_at_once_after_all_restart():
    """Guards against refusals below the limit for seconds after a power failure."""
    asked = served = 0.0
    for seed in range(6):
        # The demand is a little over half of the limit.
        simulation = SharedLimitSimulation(6, seed, flood=0.55)
        for _ in range(100):
            simulation.step()
        for name in range(6):
            simulation.kill(name, 0.6)
        for _ in range(12):
            simulation.step()
        back, before = simulation.now, simulation.requested
        for _ in range(20):
            simulation.step()
        asked += simulation.requested - before
        served += sum(cost for at, cost in simulation.admitted if at > back)
    assert served >= 0.85 * asked


def test_usage_that_arrives_late_is_charged():
    """Guards against a limit that ignores what a slow peer admitted meanwhile."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    assert ledger.admit(ORGANISATION, 1000.0, 100.0) == 0
    ledger.merge_peer_totals("1", "a", 50.0, {}, {}, 100.0)
    ledger.merge_peer_totals("1", "a", 51.2, {"dealer": 2 * RATE}, {}, 101.2)
    assert ledger.admit(ORGANISATION, 5000.0, 101.2) > 0


def test_a_peer_that_was_removed_is_not_charged_again():
    """Guards against a limit that is used up by what a peer admitted long ago."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    assert ledger.admit(ORGANISATION, 100.0, 101.0) == 0
    ledger.merge_peer_totals("1", "a", 0.5, {"dealer": 100.0}, {}, 101.0)
    ledger.mark_peer_lost("1", 102.0)
    assert ledger.reachable_share(130.0) == 0.5
    ledger.merge_peer_totals("1", "a", 30.0, {"dealer": 50 * RATE}, {}, 131.0)
    assert ledger.admit(ORGANISATION, 5000.0, 131.0) == 0


def test_usage_during_a_pause_of_this_process_is_not_charged():
    """Guards against a limit that is charged for a time without refills."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    assert ledger.admit(ORGANISATION, 100.0, 101.0) == 0
    ledger.merge_peer_totals("1", "a", 50.0, {}, {}, 101.0)
    ledger.forget_levels(106.0)
    ledger.merge_peer_totals("1", "a", 55.1, {"dealer": 5 * RATE}, {}, 106.1)
    assert ledger.admit(ORGANISATION, 5000.0, 107.1) == 0


def organisation_with(rate: float) -> Organisation:
    return Organisation(
        name="dealer",
        rank=None,
        by_tokens=True,
        default_cost_tokens=200,
        rate_per_s=rate,
        burst=rate,
    )


@pytest.mark.parametrize("rate", [28_000.0, 94_000.0, 422_000.0])
def test_usual_demand_is_served_at_many_processes(rate):
    """Guards against 429s below the limit at a process with more than its share.

    The load is steady at 0.85 of the limit, over 68 processes at random.
    """
    simulation = SharedLimitSimulation(68, 1, 0.85, organisation_with(rate))
    for _ in range(400):
        simulation.step()
    served = sum(cost for _, cost in simulation.admitted)
    assert served >= 0.95 * simulation.requested


@pytest.mark.parametrize("rate", [28_000.0, 94_000.0, 422_000.0])
@pytest.mark.parametrize("usual", [0.1, 0.6])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_limit_holds_when_demand_surges_at_many_processes(rate, usual, seed):
    """Guards against shares of a full bucket that add up beyond the limit."""
    simulation = SharedLimitSimulation(68, seed, usual, organisation_with(rate))
    for _ in range(200):
        simulation.step()
    simulation.set_flood(8.0)
    for _ in range(200):
        simulation.step()
    bound = (rate * WINDOW_S + rate) * (1 + EXCESS) + SLACK
    assert simulation.max_window_tokens() <= bound
