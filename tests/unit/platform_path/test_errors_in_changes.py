"""Unexpected errors in what applies a change: they are logged and end nothing else."""

import orjson
import pytest
from relay_rig import configuration, registration

from acaciarelay.programs import endpoint_rows, relay_state_cache
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.endpoints import REREGISTRATION_TIMEOUT_S
from acaciarelay.state.store_era import StoreVersion

TABLES = {
    "op": ("config", configuration),
    "servers": ("i-1", lambda number: registration("orders", f"127.0.0.1:{number}")),
}


def fail(*_):
    raise RuntimeError("unexpected")


def apply(cache, table, number):
    """Apply a row of a table as the store sends it, at version ``number``."""
    key, build = TABLES[table]
    version = StoreVersion(0, number)
    row = StoreRow(key=key, value=orjson.dumps(build(number)), version=version)
    cache.apply_changes(table, [row], version, False)


def listeners(cache, table):
    return cache.on_configuration if table == "op" else cache.on_endpoints


@pytest.mark.parametrize("table", TABLES)
def test_a_failing_listener_hides_no_change_from_the_next_one(table):
    """Guards against a feed of the store that a listener's error ends for good."""
    cache = StateCache()
    calls = []
    listeners(cache, table).extend([fail, lambda: calls.append(table)])
    for number in (1, 2):
        apply(cache, table, number)
    assert calls == [table, table]


@pytest.mark.parametrize(
    ("table", "module", "decode"),
    [
        ("op", relay_state_cache, "decode_configuration"),
        ("servers", endpoint_rows, "decode_endpoint"),
    ],
)
def test_an_error_in_a_row_hides_no_later_row(table, module, decode, monkeypatch):
    """Guards against a feed of the store that one odd row ends for good."""
    cache = StateCache()
    calls = []
    listeners(cache, table).append(lambda: calls.append(table))
    with monkeypatch.context() as patch:
        patch.setattr(module, decode, fail)
        apply(cache, table, 1)
    assert calls == []
    apply(cache, table, 2)
    assert calls == [table]


def test_a_failing_listener_does_not_end_the_expiry_of_endpoints(monkeypatch):
    """Guards against a process, with all its requests, that such an error ends."""
    cache = StateCache()
    apply(cache, "servers", 1)
    version = StoreVersion(0, 2)
    removed = StoreRow(key="i-1", value=None, version=version)
    cache.apply_changes("servers", [removed], version, True)
    now = relay_state_cache.time.monotonic()
    later = now + REREGISTRATION_TIMEOUT_S + 1
    monkeypatch.setattr(relay_state_cache.time, "monotonic", lambda: later)
    cache.on_endpoints.append(fail)
    cache.expire_endpoints()
    assert cache.endpoints.all() == []
