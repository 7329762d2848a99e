"""Beliefs: versions never go back, and missing endpoints are told from those gone."""

import orjson
from hypothesis import given, strategies as st
from relay_rig import configuration, registration

from acaciarelay.platform.store import RowPage, StoreRow
from acaciarelay.programs.relay_beliefs import Beliefs
from acaciarelay.state import endpoints


def row(key, version, value):
    data = orjson.dumps(value) if value is not None else None
    return StoreRow(key=key, value=data, version=version)


def test_older_row_never_replaces_a_newer_one():
    """Guards against a configuration that goes back by a stale read."""
    beliefs = Beliefs()
    beliefs.apply_changes("op", [row("config", 5, configuration(9))], 5, False)
    beliefs.apply_changes("op", [row("config", 4, configuration(8))], 4, False)
    assert beliefs.routing.version == 9


def test_stale_whole_read_is_ignored():
    """Guards against endpoints that return through an old read of the table."""
    beliefs = Beliefs()
    one = registration("orders", "127.0.0.1:1")
    beliefs.apply_changes("servers", [row("i-1", 5, one)], 5, False)
    beliefs.apply_changes("servers", [row("i-1", 8, None)], 8, False)
    page = RowPage(rows=[row("i-1", 5, one)], version=6)
    assert not beliefs.apply_whole("servers", page, False)
    assert beliefs.endpoints.of_service("orders") == []


def test_unreadable_rows_change_nothing_else():
    """Guards against a foreign row that ends the use of other endpoints."""
    beliefs = Beliefs()
    good = registration("orders", "127.0.0.1:1")
    bad = [
        StoreRow(key="i-2", value=b"\xff\x00", version=3),
        row("i-3", 4, {"service": "orders"}),
        row("i-4", 5, registration("orders", "127.0.0.1:2", state="sleeping")),
        row("i-5", 6, registration("orders", 17)),
        row("i-6", 7, registration("orders", "127.0.0.1:3", slots="many")),
    ]
    beliefs.apply_changes("servers", [row("i-1", 2, good), *bad], 7, False)
    usable = beliefs.endpoints.of_service("orders")
    assert [endpoint.endpoint_id for endpoint in usable] == ["i-1"]
    unreadable = StoreRow(key="config", value=b"{", version=9)
    beliefs.apply_changes("op", [row("config", 8, configuration(3))], 8, False)
    beliefs.apply_changes("op", [unreadable], 9, False)
    assert beliefs.routing.version == 3


def test_draining_endpoint_gets_no_new_work():
    """Guards against work for an endpoint that is leaving."""
    beliefs = Beliefs()
    one = registration("orders", "127.0.0.1:1")
    beliefs.apply_changes("servers", [row("i-1", 1, one)], 1, False)
    leaving = one | {"state": "draining"}
    beliefs.apply_changes("servers", [row("i-1", 2, leaving)], 2, False)
    assert beliefs.endpoints.of_service("orders") == []


def test_endpoint_missing_after_an_outage_is_kept_until_it_may_be_back(monkeypatch):
    """Guards against an empty list after an outage, and against using dead ones."""
    beliefs = Beliefs()
    one = registration("orders", "127.0.0.1:1")
    beliefs.apply_changes("servers", [row("i-1", 1, one)], 1, False)
    beliefs.apply_changes("servers", [row("i-1", 2, None)], 2, True)
    assert len(beliefs.endpoints.of_service("orders")) == 1
    monkeypatch.setattr(endpoints, "REAPPEAR_S", 0.0)
    beliefs.expire_endpoints()
    assert beliefs.endpoints.of_service("orders") == []


def test_newer_lifetime_at_an_address_replaces_the_older_one():
    """Guards against requests for a lifetime whose machine has started again."""
    beliefs = Beliefs()
    old = registration("orders", "127.0.0.1:1", born=10)
    new = registration("orders", "127.0.0.1:1", born=20)
    other = registration("deep", "127.0.0.1:1", born=30)
    rows = [row("i-2", 4, new), row("i-1", 5, old)]
    beliefs.apply_changes("servers", rows, 5, False)
    usable = beliefs.endpoints.of_service("orders")
    assert [endpoint.endpoint_id for endpoint in usable] == ["i-2"]
    beliefs.apply_changes("servers", [row("i-3", 6, other)], 6, False)
    assert beliefs.endpoints.of_service("orders") == []


CHANGES = st.lists(
    st.tuples(st.sampled_from(["i-1", "i-2", "i-3"]), st.sampled_from("aDx")),
    min_size=1,
    max_size=20,
)


@given(changes=CHANGES, data=st.data())
def test_any_order_of_delivery_ends_at_the_newest_rows(changes, data):
    """Guards against beliefs that depend on who passed rows on, and when."""
    rows = []
    for number, (key, kind) in enumerate(changes, 1):
        value = registration("orders", f"127.0.0.1:{number}")
        if kind == "D":
            value["state"] = "draining"
        rows.append(row(key, number, None if kind == "x" else value))
    direct, passed_on = Beliefs(), Beliefs()
    for item in rows:
        direct.apply_changes("servers", [item], item.version, False)
    for item in data.draw(st.permutations(rows)):
        sender = Beliefs()
        sender.apply_changes("servers", [item], item.version, False)
        versions = {"servers": item.version}
        passed_on.apply_peer_rows(sender.rows_after("servers", 0), versions)
    expected = sorted(e.address for e in direct.endpoints.of_service("orders"))
    found = sorted(e.address for e in passed_on.endpoints.of_service("orders"))
    assert found == expected
