"""Limit of slots that is learned from an engine's declines."""

from acaciarelay.coordination.slot_limit import (
    DECLINE_INTERVAL_S,
    EXTRA_AFTER_S,
    EXTRA_SLOTS,
    RECOVERY_S,
    SlotLimit,
)


def test_the_extra_slot_is_granted_after_a_time_without_declines():
    """Guards against a queue at an engine that holds runs of an earlier granter."""
    limit = SlotLimit(10.0)
    assert limit.limit(6, 10.0) == 6
    assert limit.limit(6, 10.0 + EXTRA_AFTER_S) == 6 + EXTRA_SLOTS


def test_a_decline_shrinks_the_limit_for_a_while():
    """Guards against requests that are sent to a full engine again and again."""
    limit = SlotLimit(0.0)
    limit.record_decline(6, 10.0)
    assert limit.limit(6, 10.0) == 5
    assert limit.limit(6, 10.0 + RECOVERY_S) == 6
    assert limit.limit(6, 10.0 + EXTRA_AFTER_S) == 6 + EXTRA_SLOTS


def test_declines_at_the_same_time_count_once():
    """Guards against an engine that is left idle after one moment of overload."""
    limit = SlotLimit(0.0)
    for number in range(5):
        limit.record_decline(6, 10.0 + number * DECLINE_INTERVAL_S / 10)
    assert limit.limit(6, 10.0 + DECLINE_INTERVAL_S) == 5


def test_the_limit_never_falls_below_half_of_the_slots():
    """Guards against an engine that gets nothing after declines of any cause."""
    limit = SlotLimit(0.0)
    for number in range(50):
        limit.record_decline(6, 10.0 + number * 0.2)
    assert limit.limit(6, 20.0) == 3
    assert limit.limit(1, 20.0) == 1


def test_the_limit_recovers_soon_after_many_declines():
    """Guards against an engine that stays at half of its slots for minutes."""
    limit = SlotLimit(0.0)
    for number in range(600):
        limit.record_decline(8, 10.0 + number * DECLINE_INTERVAL_S)
    assert limit.limit(8, 70.0) == 4
    assert limit.limit(8, 70.0 + 4 * RECOVERY_S) == 8 + EXTRA_SLOTS
