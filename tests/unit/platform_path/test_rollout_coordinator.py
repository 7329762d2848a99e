"""Single steps of a rollout's coordinator: lease, phases, and the final state."""

import attrs
import pytest
from unit.platform_path.rollout_model import make_order

from acaciarelay.coordination.rollout import (
    CountsReceived,
    EndConfirmed,
    EnginesSeen,
    EntriesSeen,
    EpochHeard,
    OrderReplaced,
    ReadRows,
    Remark,
    RolloutCoordinator,
    RowsRead,
    SendPermission,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRows,
    counts_receivers,
)
from acaciarelay.state.rollout import (
    CoordinatorRow,
    EntryCounts,
    Phase,
    RolloutState,
    RolloutStatus,
)
from acaciarelay.state.store_era import StoreVersion

ROLLED_BACK = RolloutState.ROLLED_BACK
START_MS = 1_700_000_000_000


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def rows_read(now, era=1, **rows):
    now_ms = START_MS + int(now * 1000)
    return RowsRead(read_at=now, now_ms=now_ms, era=era, **rows)


def row_of(order, **fields):
    values = {
        "order": order.revision,
        "epoch": 4,
        "holder": "b/1",
        "lease_s": 3.0,
        "phase": Phase.SHARE,
        "since_ms": START_MS,
    }
    return CoordinatorRow(**(values | fields))


def holding(order=None, now=0.0, engines=(6, 6)):
    """Return a coordinator that has just taken the lease."""
    order = order or make_order()
    coordinator = RolloutCoordinator(order, "a", "1", now)
    coordinator.handle(EnginesSeen(old=engines[0], new=engines[1]), now)
    coordinator.handle(EntriesSeen(("a",)), now)
    (write,) = of_kind(coordinator.handle(rows_read(now), now), WriteRows)
    done = WriteEnded(number=write.number, outcome=WriteOutcome.PERFORMED, version=5)
    return coordinator, coordinator.handle(done, now)


def test_claim_writes_running_and_permits_the_share():
    """Guards against an order that nobody begins, or that begins without a status."""
    order = make_order()
    coordinator = RolloutCoordinator(order, "a", "1", 0.0)
    coordinator.handle(EnginesSeen(old=6, new=6), 0.0)
    assert of_kind(coordinator.handle(Tick(), 0.0), WriteRows) == []
    (write,) = of_kind(coordinator.handle(rows_read(0.1), 0.1), WriteRows)
    assert write.status == RolloutStatus(state=RolloutState.RUNNING, version="2")
    assert (write.coordinator_version, write.status_version) == (0, 0)
    assert write.coordinator.epoch == 1 and write.coordinator.holder == "a/1"
    assert write.coordinator.since_ms == START_MS
    actions = coordinator.handle(
        WriteEnded(number=write.number, outcome=WriteOutcome.PERFORMED, version=5), 0.1
    )
    (sent,) = of_kind(actions, SendPermission)
    assert (sent.epoch, sent.phase) == (1, Phase.SHARE)


def test_renewal_is_conditional_on_the_last_own_version():
    """Guards against a renewal that overwrites the row of another coordinator."""
    coordinator, actions = holding()
    (renewal,) = of_kind(actions, WriteRows)
    assert renewal.coordinator_version == 5 and renewal.status is None
    assert renewal.coordinator.phase is Phase.SHARE


def test_holder_stops_before_its_lease_ends():
    """Guards against permissions of a coordinator whose row another may have taken."""
    coordinator, actions = holding()
    (renewal,) = of_kind(actions, WriteRows)
    unknown = WriteEnded(number=renewal.number, outcome=WriteOutcome.UNKNOWN)
    coordinator.handle(unknown, 1.0)
    assert of_kind(coordinator.handle(Tick(), 2.7), SendPermission)
    actions = coordinator.handle(Tick(), 2.81)
    assert not of_kind(actions, SendPermission) and not coordinator.is_coordinator


def test_lost_answer_is_settled_by_reading():
    """Guards against a performed renewal whose coordinator takes itself for deposed."""
    coordinator, actions = holding()
    (renewal,) = of_kind(actions, WriteRows)
    unknown = WriteEnded(number=renewal.number, outcome=WriteOutcome.UNKNOWN)
    assert of_kind(coordinator.handle(unknown, 1.0), ReadRows)
    read = rows_read(
        1.1,
        coordinator_version=6,
        coordinator=renewal.coordinator,
        status_version=5,
        status=RolloutStatus(state=RolloutState.RUNNING, version="2"),
    )
    (again,) = of_kind(coordinator.handle(read, 1.2), WriteRows)
    assert coordinator.is_coordinator
    assert again.coordinator_version == 6


def test_equal_renewal_that_was_not_performed_extends_no_lease():
    """Guards against a lease that counts from a write that never took effect."""
    coordinator, actions = holding()
    (first,) = of_kind(actions, WriteRows)
    performed = WriteEnded(
        number=first.number, outcome=WriteOutcome.PERFORMED, version=6
    )
    coordinator.handle(performed, 0.1)
    (second,) = of_kind(coordinator.handle(Tick(), 2.0), WriteRows)
    assert second.coordinator == first.coordinator
    coordinator.handle(
        WriteEnded(number=second.number, outcome=WriteOutcome.UNKNOWN), 2.5
    )
    read = rows_read(2.6, coordinator_version=6, coordinator=first.coordinator)
    coordinator.handle(read, 2.6)
    coordinator.handle(Tick(), 2.9)
    assert not coordinator.is_coordinator


def test_takeover_needs_three_seconds_without_a_change():
    """Guards against two coordinators that depose each other all the time."""
    order = make_order()
    standby = RolloutCoordinator(order, "a", "1", 0.0)
    row = row_of(order)
    for tenth in range(0, 30, 5):
        now = tenth / 10
        read = rows_read(now, coordinator_version=9, coordinator=row)
        assert not of_kind(standby.handle(read, now), WriteRows)
    read = rows_read(2.9, coordinator_version=10, coordinator=row)
    assert not of_kind(standby.handle(read, 2.9), WriteRows)
    read = rows_read(5.8, coordinator_version=10, coordinator=row)
    assert not of_kind(standby.handle(read, 5.8), WriteRows)
    read = rows_read(6.1, coordinator_version=10, coordinator=row)
    (claim,) = of_kind(standby.handle(read, 6.1), WriteRows)
    assert claim.coordinator.epoch == 5 and claim.coordinator.since_ms == START_MS


def test_taker_continues_the_time_of_the_order():
    """Guards against an order whose time begins anew with each coordinator."""
    order = make_order()
    taker = RolloutCoordinator(order, "a", "1", 100.0)
    row = row_of(order)
    for now in (107.0, 111.0):
        read = attrs.evolve(
            rows_read(now, coordinator_version=9, coordinator=row),
            now_ms=START_MS + int((now - 100.0) * 1000) + 500,
        )
        actions = taker.handle(read, now)
    assert of_kind(actions, WriteRows)
    assert taker.plan.age_s(111.0) == pytest.approx(11.5)


def test_slow_read_does_not_age_the_order():
    """Guards against a slow store that ends an order before its time."""
    order = make_order()
    taker = RolloutCoordinator(order, "a", "1", 0.0)
    row = row_of(order)
    taker.handle(rows_read(4.0, coordinator_version=9, coordinator=row), 4.1)
    slow = attrs.evolve(
        rows_read(5.0, coordinator_version=9, coordinator=row),
        now_ms=START_MS + 7000,
    )
    taker.handle(slow, 7.0)
    assert taker.plan.age_s(7.0) == pytest.approx(7.0, abs=0.2)


def test_higher_epoch_deposes():
    """Guards against two coordinators after a store that lost its last writes."""
    coordinator, _ = holding()
    coordinator.handle(EpochHeard(9), 0.2)
    assert not coordinator.is_coordinator


def test_end_of_the_same_order_is_final():
    """Guards against a coordinator that begins an order again after its end."""
    order = make_order()
    standby = RolloutCoordinator(order, "a", "1", 0.0)
    read = rows_read(
        0.1,
        coordinator_version=9,
        coordinator=row_of(order, phase=Phase.ENDED),
        status_version=9,
        status=RolloutStatus(state=ROLLED_BACK, version="2"),
    )
    assert standby.handle(read, 0.1) == [EndConfirmed(ROLLED_BACK)]
    assert standby.handle(Tick(), 9.0) == []


def test_same_version_ordered_again_begins_anew():
    """Guards against the end of an earlier order taken for that of its successor."""
    order = make_order(number=20)
    coordinator = RolloutCoordinator(order, "a", "1", 0.0)
    read = rows_read(
        0.1,
        coordinator_version=9,
        coordinator=row_of(make_order(number=7), phase=Phase.ENDED),
        status_version=9,
        status=RolloutStatus(state=ROLLED_BACK, version="2"),
    )
    (write,) = of_kind(coordinator.handle(read, 0.1), WriteRows)
    assert write.status == RolloutStatus(state=RolloutState.RUNNING, version="2")
    assert write.coordinator.order == order.revision and write.coordinator.epoch == 5


def test_order_that_was_replaced_is_given_up():
    """Guards against an entry behind the others that goes back to an older order."""
    standby = RolloutCoordinator(make_order(number=7), "a", "1", 0.0)
    later = row_of(make_order(number=20))
    read = rows_read(0.1, coordinator_version=9, coordinator=later)
    assert standby.handle(read, 0.1) == [OrderReplaced()]


@pytest.mark.parametrize("duration_s", [0.0, -1.0, float("nan"), 1e9])
def test_order_without_a_usable_duration_is_rolled_back(duration_s):
    """Guards against a version in use that nobody watched."""
    coordinator = RolloutCoordinator(make_order(duration_s), "a", "1", 0.0)
    actions = coordinator.handle(rows_read(0.1), 0.1)
    (write,) = of_kind(actions, WriteRows)
    assert write.status.state is ROLLED_BACK
    assert write.coordinator.phase is Phase.ENDED
    assert "duration" in of_kind(actions, Remark)[0].detail


def test_end_seen_before_a_restore_is_written_again():
    """Guards against a rolled-back order that a restored store shows as running."""
    order = make_order(era=2, number=3)
    coordinator = RolloutCoordinator(order, "a", "1", 0.0, ended=ROLLED_BACK)
    actions = coordinator.handle(rows_read(0.1, era=2), 0.1)
    (write,) = of_kind(actions, WriteRows)
    assert write.status.state is ROLLED_BACK


def test_unreadable_row_is_taken_over():
    """Guards against an order that waits for a holder that no one can read."""
    coordinator = RolloutCoordinator(make_order(), "a", "1", 0.0)
    coordinator.handle(EpochHeard(6), 0.0)
    actions = coordinator.handle(rows_read(0.1, coordinator_version=8), 0.1)
    (write,) = of_kind(actions, WriteRows)
    assert write.coordinator_version == 8 and write.coordinator.epoch == 7


def test_counts_of_another_order_are_ignored():
    """Guards against the failures of an earlier version held against this one."""
    coordinator, _ = holding()
    other = EntryCounts(
        entry="a",
        lifetime="1",
        order=StoreVersion(1, 3),
        number=1,
        epoch=1,
        phase=Phase.SHARE,
        old_running=0,
    )
    coordinator.handle(CountsReceived(other), 0.1)
    assert coordinator.plan.comparison.totals() == ()


def test_receivers_are_the_coordinator_and_one_deputy():
    """Guards against counts sent to all entries, or to a coordinator that is gone."""
    order = make_order()
    entries = ["a", "b", "c"]
    receivers = counts_receivers(order, entries, "b")
    assert receivers[0] == "b" and len(set(receivers)) == 2
    assert counts_receivers(order, entries, "") == counts_receivers(
        order, reversed(entries), ""
    )
    assert counts_receivers(order, ["b"], "b") == ["b"]
