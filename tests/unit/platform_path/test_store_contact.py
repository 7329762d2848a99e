"""What counts as an outage of the store, by the calls of all feeds."""

import pytest

from acaciarelay.coordination.store_contact import LATE_REMOVAL_S, StoreContact

INTERVAL_S = 1.2


def contact():
    return StoreContact(INTERVAL_S, 100.0)


def test_a_lost_call_is_no_outage_however_long_the_store_was_not_heard():
    """Guards against a runner that left and is kept since one call was lost."""
    store = contact()
    store.record_answer(110.0)
    assert not store.may_have_lapsed(read_at=100.0, now=110.0)


def test_a_store_that_refuses_long_enough_may_have_lost_registrations():
    """Guards against live runners that are dropped after an outage."""
    store = contact()
    store.record_unreachable()
    store.record_answer(104.0)
    assert store.may_have_lapsed(read_at=100.0, now=104.0)


def test_the_feed_that_answers_first_does_not_hide_the_outage_from_the_others():
    """Guards against a decision that depends on which feed called first."""
    store = contact()
    store.record_unreachable()
    store.record_answer(104.0)
    store.record_answer(104.2)
    late = 104.0 + LATE_REMOVAL_S + 0.5
    assert store.may_have_lapsed(read_at=100.0, now=late)
    assert not store.may_have_lapsed(read_at=104.3, now=late)


def test_an_answer_to_another_feed_bounds_the_outage():
    """Guards against a quiet feed that is taken for an outage as long as its quiet."""
    store = contact()
    store.record_answer(103.0)
    store.record_unreachable()
    store.record_answer(104.0)
    assert not store.may_have_lapsed(read_at=100.0, now=104.0)


@pytest.mark.parametrize("interval_s", [0.4, 1.2, 5.0])
def test_the_shortest_lapse_follows_the_interval_of_renewals(interval_s):
    """Guards against a bound that holds for one deployment's interval only."""
    for fraction, lapses in ((0.9, False), (1.1, True)):
        store = StoreContact(interval_s, 100.0)
        returned_at = 100.0 + fraction * store.shortest_lapse_s
        store.record_unreachable()
        store.record_answer(returned_at)
        assert store.may_have_lapsed(100.0, returned_at) is lapses


def test_rows_that_go_just_after_an_outage_may_have_lapsed_too():
    """Guards against live runners whose rows the store removes at its return."""
    store = contact()
    store.record_unreachable()
    store.record_answer(104.0)
    assert store.may_have_lapsed(read_at=104.1, now=104.0 + LATE_REMOVAL_S - 0.1)
    assert not store.may_have_lapsed(read_at=104.1, now=104.0 + LATE_REMOVAL_S + 0.1)
