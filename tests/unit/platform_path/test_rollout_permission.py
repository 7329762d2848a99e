"""What an entry believes that it may send to a version on trial."""

import random

from acaciarelay.coordination.rollout import EndedOrders, Permission
from acaciarelay.state.rollout import (
    CoordinatorRow,
    Phase,
    RolloutOrder,
    RolloutState,
)
from acaciarelay.state.store_era import StoreVersion

RUNNING, SUCCEEDED = RolloutState.RUNNING, RolloutState.SUCCEEDED
ROLLED_BACK = RolloutState.ROLLED_BACK


def make_order(number=7, era=1, version="2", duration_s=12.0, service="chat"):
    return RolloutOrder(
        service=service,
        version=version,
        duration_s=duration_s,
        revision=StoreVersion(era, number),
    )


def make_row(phase=Phase.SHARE, epoch=1, number=7):
    return CoordinatorRow(
        order=StoreVersion(1, number),
        epoch=epoch,
        holder="a/1",
        lease_s=3.0,
        phase=phase,
        since_ms=1,
    )


def test_permission_ends_after_its_validity():
    """Guards against a version in use by an entry that hears nobody."""
    permission = Permission(make_order())
    assert permission.phase(0.0) is Phase.NONE
    assert permission.receive(1, Phase.SHARE, 10.0)
    assert permission.phase(11.99) is Phase.SHARE
    assert permission.phase(12.0) is Phase.NONE
    assert permission.receive(1, Phase.FULL, 13.0)
    assert permission.phase(13.0) is Phase.FULL


def test_lower_epoch_is_ignored():
    """Guards against a coordinator that goes on after its lease."""
    permission = Permission(make_order())
    permission.receive(3, Phase.NONE, 1.0)
    assert not permission.receive(2, Phase.FULL, 1.1)
    assert permission.phase(1.1) is Phase.NONE


def test_roll_back_is_final_whatever_the_epoch():
    """Guards against a version that comes back after it was rolled back."""
    permission = Permission(make_order())
    permission.receive(3, Phase.SHARE, 1.0)
    assert permission.receive(1, Phase.ENDED, 1.1, state=ROLLED_BACK)
    assert not permission.receive(9, Phase.FULL, 1.2)
    assert not permission.receive(9, Phase.ENDED, 1.2, state=SUCCEEDED)
    permission.receive_end(SUCCEEDED, 1.3)
    assert permission.phase(1.3) is Phase.ENDED and permission.state is ROLLED_BACK


def test_end_without_an_end_state_is_ignored():
    """Guards against a wrong message that ends an order without an end state."""
    permission = Permission(make_order())
    assert not permission.receive(1, Phase.ENDED, 1.0)
    assert permission.phase(1.0) is Phase.NONE


def test_pause_leaves_no_permission():
    """Guards against a frozen process that goes on with what it believed before."""
    permission = Permission(make_order())
    permission.receive(1, Phase.FULL, 1.0, age_s=1.0)
    assert permission.phase(9.0) is Phase.NONE


def test_message_that_waited_in_a_socket_counts_with_its_age():
    """Guards against messages of before a pause that are taken for new ones."""
    permission = Permission(make_order())
    permission.receive(1, Phase.SHARE, 1.0, age_s=1.0)
    permission.receive(1, Phase.SHARE, 9.0, age_s=1.5)
    assert permission.phase(9.0) is Phase.NONE
    permission.receive(1, Phase.SHARE, 9.0, age_s=8.0)
    assert permission.phase(9.0) is Phase.SHARE
    assert permission.phase(10.1) is Phase.NONE


def test_late_message_does_not_replace_a_later_one():
    """Guards against a phase that an overtaken message takes back."""
    permission = Permission(make_order())
    permission.receive(1, Phase.SHARE, 1.0, age_s=1.0)
    permission.receive(1, Phase.NONE, 3.0, age_s=3.0)
    permission.receive(1, Phase.SHARE, 3.1, age_s=2.0)
    assert permission.phase(3.1) is Phase.NONE


def test_row_counts_from_the_read_before_it_changed():
    """Guards against a row that a dead coordinator left, taken for a permission."""
    permission = Permission(make_order())
    assert not permission.receive_row(make_row(), 5, 1.0)
    assert not permission.receive_row(make_row(), 5, 2.0)
    assert permission.phase(2.0) is Phase.NONE
    assert permission.receive_row(make_row(), 6, 2.5)
    assert permission.phase(3.9) is Phase.SHARE
    assert permission.phase(4.0) is Phase.NONE


def test_row_of_another_order_or_epoch_is_ignored():
    """Guards against the permission of an earlier order or coordinator."""
    permission = Permission(make_order())
    permission.receive(2, Phase.NONE, 1.0)
    permission.receive_row(make_row(), 5, 1.0)
    assert not permission.receive_row(make_row(number=6, epoch=3), 6, 1.5)
    assert not permission.receive_row(make_row(epoch=1), 7, 2.0)
    assert permission.receive_row(make_row(epoch=3), 8, 2.5)
    assert permission.phase(2.6) is Phase.SHARE


def test_older_row_does_not_replace_a_message():
    """Guards against a row read late that gives back what a message took away."""
    permission = Permission(make_order())
    permission.receive_row(make_row(), 5, 1.0)
    permission.receive(1, Phase.NONE, 1.4)
    permission.receive_row(make_row(), 6, 1.5)
    assert permission.phase(1.6) is Phase.NONE


def test_breaker_stops_until_the_coordinator_decides():
    """Guards against an entry that goes on although all its requests fail."""
    permission = Permission(make_order())
    permission.receive(1, Phase.SHARE, 1.0)
    for _ in range(5):
        permission.record_answer(True)
    permission.record_answer(False)
    for _ in range(5):
        permission.record_answer(True)
    assert permission.phase(1.0) is Phase.SHARE
    permission.record_answer(True)
    assert permission.phase(1.0) is Phase.NONE
    permission.receive(1, Phase.SHARE, 1.5)
    assert permission.phase(1.5) is Phase.NONE
    permission.receive(1, Phase.FULL, 2.0)
    assert permission.phase(2.0) is Phase.FULL


def test_no_sequence_of_messages_and_pauses_revives_a_permission():
    """Guards against a phase other than that of a message of the last 2 s."""
    for seed in range(200):
        rng = random.Random(seed)
        permission = Permission(make_order())
        now, taken, highest = 0.0, [], 0
        rolled_back = False
        for _ in range(60):
            now += rng.choice([0.05, 0.3, 1.0, 5.0])
            chance = rng.random()
            if chance < 0.02:
                permission.receive(
                    rng.randrange(4), Phase.ENDED, now, None, ROLLED_BACK
                )
                rolled_back = True
            elif chance < 0.7:
                epoch = rng.randrange(highest + 2) if rng.random() < 0.2 else highest
                phase = rng.choice([Phase.NONE, Phase.SHARE, Phase.FULL])
                if epoch >= highest:
                    highest = epoch
                    taken.append((now, phase))
                permission.receive(epoch, phase, now)
            phase = permission.phase(now)
            if rolled_back:
                assert phase is Phase.ENDED
            elif taken and now - taken[-1][0] < 2.0:
                assert phase is taken[-1][1]
            else:
                assert phase is Phase.NONE


def test_end_is_known_for_the_same_order():
    """Guards against an order that an entry takes up again after its end."""
    ended = EndedOrders()
    assert ended.state_of(make_order()) is RUNNING
    ended.record(make_order(), ROLLED_BACK)
    ended.record(make_order(), SUCCEEDED)
    assert ended.state_of(make_order()) is ROLLED_BACK
    assert ended.state_of(make_order(service="other")) is RUNNING


def test_end_stays_in_force_after_a_restore():
    """Guards against a rolled-back version that a restored store orders again."""
    ended = EndedOrders()
    ended.record(make_order(number=7, era=1), ROLLED_BACK)
    assert ended.state_of(make_order(number=3, era=2)) is ROLLED_BACK
    assert ended.state_of(make_order(number=9, era=2)) is ROLLED_BACK
    assert ended.state_of(make_order(number=9, era=2, version="3")) is RUNNING
    assert ended.state_of(make_order(number=9, era=2, duration_s=6.0)) is RUNNING


def test_same_order_once_more_in_one_era_is_a_new_one():
    """Guards against an operator who can never order a version again."""
    ended = EndedOrders()
    ended.record(make_order(number=7), ROLLED_BACK)
    assert ended.state_of(make_order(number=8)) is RUNNING


def test_ended_orders_are_bounded():
    """Guards against memory that grows with the names of services."""
    ended = EndedOrders()
    for number in range(1000):
        ended.record(make_order(service=f"s{number}"), SUCCEEDED)
    assert ended.state_of(make_order(service="s999")) is SUCCEEDED
    assert ended.state_of(make_order(service="s0")) is RUNNING
