"""Rows of monitored rollouts: what is read from them and what is left out."""

import orjson
import pytest

from acaciarelay.platform.configuration import FormatError
from acaciarelay.platform.endpoints import decode_endpoint
from acaciarelay.platform.rollouts import (
    decode_coordinator,
    decode_order,
    decode_status,
    encode_coordinator,
    encode_status,
    ordered_service,
    status_key,
)
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.rollout import (
    CoordinatorRow,
    LifetimeCounts,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from acaciarelay.state.store_era import StoreVersion

REVISION = StoreVersion(2, 41)
ROW = CoordinatorRow(
    order=REVISION,
    epoch=3,
    holder="10.1.0.2:7601 aa",
    lease_s=3.0,
    phase=Phase.SHARE,
    since_ms=1_760_000_000_000,
    counts=(
        LifetimeCounts(
            entry="10.1.0.2:7601",
            lifetime="aa",
            old_requests=900,
            old_failures=2,
            new_requests=90,
            new_failures=1,
        ),
    ),
)


def order_row(value, key="rollout/orders"):
    data = value if isinstance(value, bytes) else orjson.dumps(value)
    return StoreRow(key=key, value=data, version=REVISION)


def test_an_order_is_identified_by_the_version_of_its_row():
    """Guards against an order written again that is taken for the one before."""
    value = {"service": "orders", "to": "v2", "durationS": 12}
    order = RolloutOrder(
        service="orders", version="v2", duration_s=12.0, revision=REVISION
    )
    assert decode_order(order_row(value)) == order


@pytest.mark.parametrize("duration", [None, "12", [], True, -3, 0, "nan"])
def test_an_order_without_a_readable_duration_has_none(duration):
    """Guards against an order that is left out although its version is known."""
    value = {"service": "orders", "to": "v2", "durationS": duration}
    order = decode_order(order_row(value))
    assert (order.version, order.duration_s) == ("v2", 0.0)
    del value["durationS"]
    assert decode_order(order_row(value)).duration_s == 0.0


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"7",
        b"\xff",
        {},
        {"service": "orders"},
        {"service": "orders", "to": ""},
        {"service": "orders", "to": 2},
        {"service": "orders", "to": "v" * 1000},
        {"service": "engine", "to": "v2", "durationS": 12},
    ],
)
def test_an_unreadable_order_is_an_error(value):
    """Guards against an odd row that moves a service."""
    with pytest.raises(FormatError):
        decode_order(order_row(value))


def test_only_keys_of_orders_name_a_service():
    """Guards against another row of the operator that is taken for an order."""
    assert ordered_service("rollout/orders") == "orders"
    assert ordered_service("rollout/a/b") == "a/b"
    for key in ("config", "rollout/", "rollout", "rollouts/orders", ""):
        assert ordered_service(key) is None


def test_a_status_is_written_as_the_platform_reads_it():
    """Guards against a status that the platform does not understand."""
    status = RolloutStatus(state=RolloutState.ROLLED_BACK, version="v2")
    assert status_key("orders") == "rollout/orders"
    data = encode_status(status)
    assert orjson.loads(data) == {"state": "rolled_back", "to": "v2"}
    assert decode_status(data) == status


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b'{"state": "done", "to": "v2"}', b'{"state": "running"}'],
)
def test_an_unreadable_status_is_an_error(data):
    """Guards against an end state that nobody wrote."""
    with pytest.raises(FormatError):
        decode_status(data)


def test_the_coordinator_row_survives_the_store():
    """Guards against counts or a lease that a successor reads as other ones."""
    assert decode_coordinator(encode_coordinator(ROW), era=2) == ROW


def test_the_coordinator_row_of_a_restored_store_names_the_same_order():
    """Guards against an order of a copy that no longer knows its coordinator."""
    restored = decode_coordinator(encode_coordinator(ROW), era=3)
    assert restored.order == StoreVersion(3, 41)


@pytest.mark.parametrize(
    "fields",
    [
        {"order": "41"},
        {"epoch": -1},
        {"epoch": 2**60},
        {"holder": ""},
        {"lease_s": "3"},
        {"lease_s": -1},
        {"lease_s": 1e9},
        {"phase": 7},
        {"since_ms": 1.5},
        {"counts": None},
        {"counts": [[]]},
        {"counts": [["a", "b", 1, 2, 0, 0]]},
        {"counts": [["a", "b", 1, 0, 0, -1]]},
        {"counts": [["a", "b", 1, 0, 0, 0]] * 5000},
    ],
)
def test_an_unreadable_coordinator_row_is_an_error(fields):
    """Guards against a lease or counts of some other writer."""
    raw = orjson.loads(encode_coordinator(ROW)) | fields
    with pytest.raises(FormatError):
        decode_coordinator(orjson.dumps(raw), era=2)


@pytest.mark.parametrize(
    "fields,version",
    [
        ({"version": "v2"}, "v2"),
        ({}, ""),
        ({"version": None}, ""),
        ({"version": 2}, ""),
        ({"version": ["v2"]}, ""),
    ],
)
def test_a_registration_without_a_readable_version_has_none(fields, version):
    """Guards against an engine that is lost since its version is odd."""
    value = {
        "service": "orders",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "slots": 1,
        "state": "ready",
    }
    endpoint = decode_endpoint("i-1", orjson.dumps(value | fields))
    assert endpoint.version == version
