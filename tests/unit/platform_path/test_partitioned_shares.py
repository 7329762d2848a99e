"""Shared limits hold over processes that can't reach each other."""

import pytest
from relay_rig import NO_TOLERANCE
from shared_limit_model import BOUND, RATE, STEP_S, SharedLimitSimulation

from acaciarelay.coordination.usage_ledger import UsageLedger


@pytest.mark.parametrize("count", [3, 6, 25])
@pytest.mark.parametrize("quiet_s", [0.0, 36.0])
def test_limit_holds_over_processes_that_never_reach_each_other(count, quiet_s):
    """Guards against processes that each count as the only one after a time."""
    simulation = SharedLimitSimulation(count, 1, 0.0)
    simulation.unlinked = True
    for _ in range(int(quiet_s / STEP_S)):
        simulation.step()
    simulation.set_flood(8.0)
    for _ in range(400):
        simulation.step()
    assert simulation.max_window_tokens() <= BOUND
    # Each process serves its share.
    served = sum(cost for _, cost in simulation.admitted)
    assert served >= 0.9 * RATE * 400 * STEP_S


@pytest.mark.parametrize("members", [1, 3])
@pytest.mark.parametrize("cut_s", [2.0, 60.0])
def test_limit_holds_when_a_partition_begins_with_a_full_bucket(members, cut_s):
    """Guards against a burst that each side uses, and against lost peers' shares."""
    simulation = SharedLimitSimulation(6, 1, 0.0)
    for _ in range(40):
        simulation.step()
    for name in range(members):
        simulation.partition(name)
    for _ in range(int(cut_s / STEP_S)):
        simulation.step()
    simulation.set_flood(8.0)
    for _ in range(200):
        simulation.step()
    simulation.partitioned.clear()
    for _ in range(200):
        simulation.step()
    assert simulation.max_window_tokens() <= BOUND


def test_a_lost_peer_keeps_its_share_while_it_is_known():
    """Guards against a share that a silent peer uses behind a network partition."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    ledger.merge_peer_totals("1", "a", 0.5, {}, {}, 101.0)
    ledger.mark_peer_lost("1", 102.0)
    assert ledger.reachable_share(102.0 + 3600.0) == 0.5
    ledger.known_peer_count = 0
    assert ledger.reachable_share(102.0 + 3600.0) == 1.0


def test_a_peer_that_leaves_keeps_its_share_for_a_time():
    """Guards against tokens that a peer admitted in the window before its end."""
    ledger = UsageLedger(NO_TOLERANCE, True, 100.0)
    ledger.known_peer_count = 1
    ledger.merge_peer_totals("1", "a", 0.5, {}, {}, 101.0)
    ledger.mark_peer_lost("1", 102.0)
    ledger.known_peer_count = 0
    assert ledger.reachable_share(110.0) == 0.5
    assert ledger.reachable_share(130.0) == 1.0
