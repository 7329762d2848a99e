"""Rows that the store wrote late, over a newer one of the same writer.

A ping that got no answer may be performed seconds later. Whether it comes from before a
drain, a removal or a new start, its version is newer than the row that it replaces.
"""

import pytest
from relay_rig import configuration, registration
from unit.platform_path.test_relay_state_cache import at, row

from acaciarelay.platform.store import RowPage
from acaciarelay.programs.peer_rows import encode_row
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import NO_VERSION, StoreVersion

ADDRESS = "127.0.0.1:1"
# Longer than the store lists a registration that nobody renews, and the reading of it.
RENEWED_S = 8.3
# A renewal of the live writer follows a late write within an interval.
INTERVAL_S = 1.2


@pytest.fixture
def clock(monkeypatch):
    times = [1000.0]
    monkeypatch.setattr(
        "acaciarelay.programs.relay_state_cache.time.monotonic", lambda: times[0]
    )
    return times


class Table:
    """A cache that reads the store's registrations one by one."""

    def __init__(self, clock):
        self.clock = clock
        self.cache = StateCache()
        self.number = 0
        self.cache.mark_read("servers")

    def write(self, lapsed=False, **fields):
        """Read a newer row of ``i-1``; without fields, its removal."""
        self.number += 1
        value = registration("orders", **{"address": ADDRESS, **fields})
        item = row("i-1", self.number, value if fields else None)
        self.cache.apply_changes("servers", [item], at(self.number), lapsed)

    def wait(self, seconds):
        self.clock[0] += seconds
        self.cache.mark_read("servers")
        self.cache.release_holds()

    def usable(self):
        """Return the start of the usable registration of ``i-1``."""
        return [e.started_ms for e in self.cache.endpoints.of_service("orders")]


@pytest.fixture
def table(clock):
    return Table(clock)


def test_a_late_ping_does_not_end_a_drain(table):
    """Guards against requests to a draining runner that a late ping calls ready."""
    table.write(born=10, seq=1)
    table.write(born=10, seq=9, state="draining")
    table.write(born=10, seq=4)
    assert table.usable() == []
    table.wait(INTERVAL_S)
    table.write(born=10, seq=10, state="draining")
    table.wait(RENEWED_S)
    assert table.usable() == []


@pytest.mark.parametrize("drains", [True, False])
@pytest.mark.parametrize("seq", [2, 50])
def test_a_late_ping_does_not_undo_a_removal(table, drains, seq):
    """Guards against a runner that left and is listed again by a late ping.

    Changes of the sequence alone are not seen, so it may be above the last known one.
    """
    table.write(born=10, seq=1)
    if drains:
        table.write(born=10, seq=8, state="draining")
    table.write()
    table.write(born=10, seq=seq)
    assert table.usable() == []
    table.wait(RENEWED_S - 0.5)
    assert table.usable() == []
    # Nobody renews it, so the store removes it again.
    table.write()
    table.wait(RENEWED_S)
    assert table.usable() == []


def test_a_late_ping_of_a_former_start_does_not_replace_the_new_one(table):
    """Guards against a former incarnation in use in place of the running one."""
    table.write(born=10, seq=7)
    table.write(born=20, seq=1)
    table.write(born=10, seq=6)
    assert table.usable() == [20]
    table.wait(INTERVAL_S)
    table.write(born=20, seq=2)
    table.wait(RENEWED_S)
    assert table.usable() == [20]


def test_a_runner_that_lapsed_in_an_outage_is_in_use_again_at_once(table):
    """Guards against a live runner that is held off as one that left."""
    table.write(born=10, seq=1)
    table.write(lapsed=True)
    table.write(born=10, seq=9)
    table.wait(2.5)
    table.cache.expire_endpoints()
    assert table.usable() == [10]


def test_a_runner_that_lapsed_unnoticed_is_in_use_once_it_is_renewed(table):
    """Guards against a live runner that is left out for good."""
    table.write(born=10, seq=1)
    table.write()
    table.write(born=10, seq=9)
    table.wait(RENEWED_S)
    assert table.usable() == [10]


def test_a_start_after_the_clock_was_set_back_comes_into_use(table):
    """Guards against an order by the time of start alone, and a sound runner left out.

    A late ping of the former start, whose time is later, then changes nothing.
    """
    table.write(born=1000, seq=7)
    table.write(born=10, seq=1)
    table.wait(RENEWED_S)
    assert table.usable() == [10]
    table.write(born=1000, seq=6)
    assert table.usable() == [10]
    table.write(born=10, seq=2)
    table.wait(RENEWED_S)
    assert table.usable() == [10]


def test_a_runner_behind_a_clock_set_back_that_drains_gets_nothing(table):
    """Guards against requests to a leaving runner whose rows are held for late ones."""
    table.write(born=1000, seq=7)
    table.write(born=10, seq=1)
    table.write(born=10, seq=2, state="draining")
    assert table.usable() == []
    table.wait(RENEWED_S)
    assert table.usable() == []


def test_a_late_drain_of_a_former_start_ends_with_the_next_ping(table):
    """Guards against a new start that is out of use for long by a late write."""
    table.write(born=10, seq=7)
    table.write(born=20, seq=1)
    table.write(born=10, seq=8, state="draining")
    assert table.usable() == []
    table.write(born=20, seq=2)
    assert table.usable() == [20]


def test_a_drain_that_a_peer_knows_and_that_is_held_ends_the_use(table):
    """Guards against a drain that only a peer has read and that is held for late."""
    table.write(born=1000, seq=7)
    drain = registration("orders", ADDRESS, born=10, seq=2, state="draining")
    told = encode_row("servers", row("i-1", 2, drain))
    table.cache.apply_peer_rows("entry-2", [told], {"servers": at(2)})
    assert table.usable() == []


def test_a_removed_runner_that_starts_with_a_clock_set_back_comes_into_use(table):
    """Guards against a new start that is taken for a late ping for good."""
    table.write(born=1000, seq=7, state="draining")
    table.write()
    table.write(born=10, seq=1)
    table.wait(RENEWED_S)
    assert table.usable() == [10]


def test_a_new_start_is_in_use_at_once(table):
    """Guards against doubts that keep an ordinary restart waiting."""
    table.write(born=10, seq=7, state="draining")
    table.write(born=20, seq=1)
    assert table.usable() == [20]
    table.write()
    table.write(born=30, seq=1)
    assert table.usable() == [30]


def test_no_doubt_ends_while_the_store_can_not_be_read(table, clock):
    """Guards against a late write that is believed since its removal was not read."""
    table.write(born=10, seq=1)
    table.write()
    table.write(born=10, seq=1)
    table.cache.mark_unreadable("servers")
    clock[0] += 2 * RENEWED_S
    table.cache.release_holds()
    assert table.usable() == []
    table.wait(0.0)
    assert table.usable() == []


def test_a_late_ping_after_a_restore_does_not_undo_a_removal(clock):
    """Guards against a runner that left and that the copy of the store still lists.

    The sequence of the copy is above the one that was seen, as renewals are no change.
    """
    cache = StateCache()
    cache.mark_read("servers")
    value = registration("orders", ADDRESS, born=10, seq=1)
    cache.apply_changes("servers", [row("i-1", 5, value, 1)], at(5, 1), False)
    cache.apply_changes("servers", [row("i-1", 13, None, 1)], at(13, 1), False)
    copied = registration("orders", ADDRESS, born=10, seq=40)
    page = RowPage(rows=[row("i-1", 12, copied, 2)], version=at(12, 2))
    cache.apply_snapshot("servers", page, True)
    assert cache.endpoints.of_service("orders") == []


def held_rows(cache):
    return cache.held_rows("servers")


@pytest.mark.parametrize(
    "last",
    [{"state": "draining", "born": 10, "seq": 9}, {"born": 20, "seq": 1}, None],
    ids=["drained", "started anew", "removed"],
)
def test_an_entry_that_reads_only_the_late_row_takes_what_its_peers_hold(clock, last):
    """Guards against a late ping that an entry reads which started after the change."""
    knowing, fresh = Table(clock), StateCache()
    knowing.write(born=10, seq=1)
    knowing.write(**(last or {}))
    knowing.write(born=10, seq=5)
    before = knowing.usable()
    late = row("i-1", 3, registration("orders", ADDRESS, born=10, seq=5))
    fresh.mark_read("servers")
    fresh.apply_snapshot("servers", RowPage(rows=[late], version=at(3)), False)
    assert fresh.held_digests() != knowing.cache.held_digests()
    fresh.apply_peer_rows("entry-2", held_rows(knowing.cache), {})
    assert [e.started_ms for e in fresh.endpoints.of_service("orders")] == before
    assert fresh.held_digests() == knowing.cache.held_digests()
    clock[0] += RENEWED_S
    fresh.mark_read("servers")
    fresh.release_holds()
    # Peers that end their doubt later do not begin it anew.
    fresh.apply_peer_rows("entry-2", held_rows(knowing.cache), {})
    assert not fresh.held_digests()


def test_a_stale_row_of_a_peer_changes_nothing(table):
    """Guards against a row that a peer kept from before a removal or a new start."""
    stale = StateCache()
    value = registration("orders", ADDRESS, born=10, seq=9)
    stale.apply_changes("servers", [row("i-1", 1, value)], at(1), False)
    table.write(born=10, seq=9)
    table.write(born=20, seq=1)
    rows = stale.rows_after("servers", NO_VERSION)
    table.cache.apply_peer_rows("entry-2", rows, {"servers": at(1)})
    assert table.usable() == [20]
    table.write()
    table.cache.apply_peer_rows("entry-2", rows, {"servers": at(1)})
    assert table.usable() == []


def test_a_late_configuration_does_not_reach_an_entry_that_starts_later(clock):
    """Guards against an older configuration that the store holds after a late write."""
    knowing, fresh = StateCache(), StateCache()
    for number, version in ((1, 8), (2, 9), (3, 8)):
        item = row("config", number, configuration(version))
        knowing.apply_changes("op", [item], at(number), False)
    assert knowing.routing.version == 9
    late = StoreRow(
        key="config",
        value=knowing.tables["op"].cached.rows["config"].value,
        version=StoreVersion(0, 3),
    )
    fresh.apply_snapshot("op", RowPage(rows=[late], version=at(3)), False)
    fresh.apply_peer_rows("entry-2", knowing.held_rows("op"), {})
    assert fresh.routing.version == 9
