"""The state cache: row versions never go back, and outages remove no endpoints."""

import orjson
from hypothesis import given, strategies as st
from relay_rig import configuration, registration

from acaciarelay.platform.store import RowPage
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state import endpoints
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import NO_VERSION, StoreVersion


def at(number, era=0):
    return StoreVersion(era, number)


def row(key, number, value, era=0):
    data = orjson.dumps(value) if value is not None else None
    return StoreRow(key=key, value=data, version=at(number, era))


def test_older_row_does_not_replace_a_newer_one():
    """Guards against an old configuration that a stale read puts in force again."""
    cache = StateCache()
    cache.apply_changes("op", [row("config", 5, configuration(9))], at(5), False)
    cache.apply_changes("op", [row("config", 4, configuration(8))], at(4), False)
    assert cache.routing.version == 9


def test_stale_snapshot_is_ignored():
    """Guards against removed endpoints that an old snapshot brings back."""
    cache = StateCache()
    one = registration("orders", "127.0.0.1:1")
    cache.apply_changes("servers", [row("i-1", 5, one)], at(5), False)
    cache.apply_changes("servers", [row("i-1", 8, None)], at(8), False)
    page = RowPage(rows=[row("i-1", 5, one)], version=at(6))
    assert not cache.apply_snapshot("servers", page, False)
    assert cache.endpoints.of_service("orders") == []


def test_a_peer_does_not_bring_back_a_row_removed_before_a_complete_read():
    """Guards against an endpoint that has left and that a slower peer still lists.

    After a restart of all entries, one had read the table just before the removal and
    sent its rows to one that had read it just after.
    """
    sender, cache = StateCache(), StateCache()
    one = registration("orders", "127.0.0.1:1")
    two = registration("orders", "127.0.0.1:2")
    rows = [row("i-1", 5, one), row("i-2", 6, two)]
    sender.apply_snapshot("servers", RowPage(rows=rows, version=at(6)), False)
    cache.apply_snapshot("servers", RowPage(rows=rows[1:], version=at(7)), False)
    sent = sender.rows_after("servers", NO_VERSION)
    cache.apply_peer_rows("entry-2", sent, {"servers": at(6)})
    usable = cache.endpoints.of_service("orders")
    assert [endpoint.endpoint_id for endpoint in usable] == ["i-2"]


def test_unreadable_rows_do_not_affect_other_rows():
    """Guards against a malformed row that disables other endpoints or the routing."""
    cache = StateCache()
    good = registration("orders", "127.0.0.1:1")
    bad = [
        StoreRow(key="i-2", value=b"\xff\x00", version=at(3)),
        row("i-3", 4, {"service": "orders"}),
        row("i-4", 5, registration("orders", "127.0.0.1:2", state="sleeping")),
        row("i-5", 6, registration("orders", 17)),
        row("i-6", 7, registration("orders", "127.0.0.1:3", slots="many")),
    ]
    cache.apply_changes("servers", [row("i-1", 2, good), *bad], at(7), False)
    usable = cache.endpoints.of_service("orders")
    assert [endpoint.endpoint_id for endpoint in usable] == ["i-1"]
    unreadable = StoreRow(key="config", value=b"{", version=at(9))
    cache.apply_changes("op", [row("config", 8, configuration(3))], at(8), False)
    cache.apply_changes("op", [unreadable], at(9), False)
    assert cache.routing.version == 3


def test_draining_endpoint_gets_no_new_work():
    """Guards against new requests for a draining endpoint."""
    cache = StateCache()
    one = registration("orders", "127.0.0.1:1")
    cache.apply_changes("servers", [row("i-1", 1, one)], at(1), False)
    leaving = one | {"state": "draining"}
    cache.apply_changes("servers", [row("i-1", 2, leaving)], at(2), False)
    assert cache.endpoints.of_service("orders") == []


def test_endpoint_missing_after_an_outage_is_kept_until_it_expires(monkeypatch):
    """Guards against an empty list after an outage, and against dead endpoints."""
    cache = StateCache()
    one = registration("orders", "127.0.0.1:1")
    cache.apply_changes("servers", [row("i-1", 1, one)], at(1), False)
    cache.apply_changes("servers", [row("i-1", 2, None)], at(2), True)
    assert len(cache.endpoints.of_service("orders")) == 1
    monkeypatch.setattr(endpoints, "REREGISTRATION_TIMEOUT_S", 0.0)
    cache.expire_endpoints()
    assert cache.endpoints.of_service("orders") == []


def test_newest_registration_at_an_address_replaces_older_ones():
    """Guards against requests for an endpoint whose VM has restarted since.

    The newest registration may be of another service.
    """
    cache = StateCache()
    old = registration("orders", "127.0.0.1:1", born=10)
    new = registration("orders", "127.0.0.1:1", born=20)
    other = registration("deep", "127.0.0.1:1", born=30)
    rows = [row("i-2", 4, new), row("i-1", 5, old)]
    cache.apply_changes("servers", rows, at(5), False)
    usable = cache.endpoints.of_service("orders")
    assert [endpoint.endpoint_id for endpoint in usable] == ["i-2"]
    cache.apply_changes("servers", [row("i-3", 6, other)], at(6), False)
    assert cache.endpoints.of_service("orders") == []


# Kinds of change: a, ready; D, draining; x, row removed.
CHANGES = st.lists(
    st.tuples(st.sampled_from(["i-1", "i-2", "i-3"]), st.sampled_from("aDx")),
    min_size=1,
    max_size=20,
)


@given(changes=CHANGES, data=st.data())
def test_any_order_of_delivery_converges_to_the_newest_rows(changes, data):
    """Guards against state that depends on the order in which peers sent rows."""
    rows = []
    for number, (key, kind) in enumerate(changes, 1):
        value = registration("orders", f"127.0.0.1:{number}")
        if kind == "D":
            value["state"] = "draining"
        rows.append(row(key, number, None if kind == "x" else value))
    direct, via_peers = StateCache(), StateCache()
    for item in rows:
        direct.apply_changes("servers", [item], item.version, False)
    for item in data.draw(st.permutations(rows)):
        sender = StateCache()
        sender.apply_changes("servers", [item], item.version, False)
        versions = {"servers": item.version}
        via_peers.apply_peer_rows(
            "entry-2", sender.rows_after("servers", NO_VERSION), versions
        )
    # What may be a late write is in force once it is known to be renewed.
    for cache in (direct, via_peers):
        cache.mark_read("servers")
        cache.tables["servers"].cached.renew_holds(-1e6)
        cache.release_holds()
    newest = {item.key: item for item in rows}
    expected = []
    for item in newest.values():
        value = orjson.loads(item.value) if item.value is not None else {}
        if value.get("state") == "ready":
            expected.append(value["address"])
    for cache in (direct, via_peers):
        found = sorted(e.address for e in cache.endpoints.of_service("orders"))
        assert found == sorted(expected)
