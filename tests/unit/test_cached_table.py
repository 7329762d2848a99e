"""One table over the eras of its store: which rows are in force."""

from acaciarelay.state.cached_table import CachedTable, StoreRow, WriterOrder
from acaciarelay.state.store_era import StoreVersion

HOLD_S = 10.0
DOUBT_S = 6.0


def order(value):
    return WriterOrder(int(value), ()) if value.isdigit() else None


def row(number, value, era=1, removed_value=None):
    return StoreRow(
        key="a",
        value=value,
        version=StoreVersion(era, number),
        removed_value=removed_value,
    )


def table(*rows):
    cached = CachedTable(order, HOLD_S, DOUBT_S)
    for item in rows:
        cached.advance(item.version, 0.0)
        cached.merge(item, 0.0)
    return cached


def restored(cached, number=10, era=2, now=100.0):
    cached.advance(StoreVersion(era, number), now)
    return cached


def test_a_row_written_after_a_restore_is_not_stale_for_its_lower_version():
    """Guards against changes that are ignored until the counter passes the old one."""
    cached = restored(table(row(13, b"11")))
    newer = row(12, b"15", era=2)
    assert cached.merge(newer, 100.0) == newer


def test_a_row_of_the_copy_does_not_replace_the_newer_one_that_the_store_has_lost():
    """Guards against a confirmed change that comes back older after a restore."""
    cached = restored(table(row(13, b"11")))
    assert cached.merge(row(12, b"9", era=2), 100.0) is None
    assert cached.held["a"].value == b"11"
    again = row(14, b"11", era=2)
    assert cached.merge(again, 101.0) == again
    assert not cached.held


def test_a_removed_row_does_not_return_from_the_copy():
    """Guards against removed registrations that a restored store lists again."""
    cached = restored(table(row(5, b"3"), row(13, None)))
    assert cached.merge(row(5, b"3", era=2), 100.0) is None
    anew = row(14, b"4", era=2)
    assert cached.merge(anew, 101.0) == anew


def test_a_version_given_out_again_names_another_row():
    """Guards against "already applied" by a number that two eras share."""
    cached = restored(table(row(13, b"11")))
    other = row(13, b"15", era=2)
    assert cached.merge(other, 100.0) == other


def test_late_rows_of_the_former_era_change_nothing_once_the_row_was_written_again():
    """Guards against answers and peers that still speak of the lost rows."""
    cached = restored(table(row(13, b"11")))
    cached.merge(row(12, b"15", era=2), 100.0)
    assert cached.merge(row(20, b"14"), 100.1) is None
    assert cached.merge(row(20, None), 100.1) is None


def test_a_row_that_is_never_written_again_is_not_held_for_ever():
    """Guards against a table that differs from the store without end."""
    cached = restored(table(row(13, b"11")))
    copy = row(12, b"9", era=2)
    cached.merge(copy, 100.0)
    assert cached.release_holds(100.0 + HOLD_S - 0.1) == []
    assert cached.release_holds(100.0 + HOLD_S) == [copy]
    assert cached.merge(row(13, b"11"), 100.0 + HOLD_S + 0.1) is None


def test_an_entry_without_a_cache_takes_what_its_peers_hold():
    """Guards against an older configuration at an entry that starts after a restore."""
    holding = restored(table(row(13, b"11")))
    copy = row(12, b"9", era=2)
    holding.merge(copy, 100.0)
    fresh = CachedTable(order, HOLD_S, DOUBT_S)
    fresh.advance(copy.version, 101.0)
    fresh.merge(copy, 101.0)
    assert fresh.held_digest != holding.held_digest
    (held,) = holding.held.values()
    assert fresh.merge(held, 101.1) == held
    assert fresh.held_digest == holding.held_digest


def test_rows_are_held_over_two_restores_in_a_row():
    """Guards against a hold that the second restore ends."""
    cached = restored(table(row(13, b"11")))
    cached.merge(row(12, b"9", era=2), 100.0)
    restored(cached, number=8, era=3, now=105.0)
    assert cached.merge(row(8, b"7", era=3), 105.0) is None
    assert cached.held["a"].value == b"11"
    assert cached.release_holds(100.0 + HOLD_S) == []
    again = row(9, b"11", era=3)
    assert cached.merge(again, 106.0) == again


def test_a_row_without_an_order_follows_the_store():
    """Guards against rows of other writers that are held against the store's word."""
    cached = restored(table(row(13, b"?")))
    other = row(12, b"!", era=2)
    assert cached.merge(other, 100.0) == other


def test_a_store_without_eras_keeps_the_order_of_its_versions():
    """Guards against rows that go back where the store sends no era."""
    cached = table(row(5, b"9", era=0))
    assert cached.merge(row(4, b"8", era=0), 1.0) is None
    newer = row(6, b"10", era=0)
    assert cached.merge(newer, 1.0) == newer
