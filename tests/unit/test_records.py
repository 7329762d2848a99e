"""Guard against malformed records that are accepted with coerced values."""

import pytest
from result import Err

from acaciarelay.state.records import (
    Envelope,
    PoolRecord,
    RouteRule,
    parse_record,
    read_envelope,
)

BODY_IS_A_LIST = {"type": "tier", "name": "a", "schema": 1, "revision": 1, "body": []}


@pytest.mark.parametrize(
    "body",
    [
        {"key_hashes": "abc", "policy": "p"},
        {"key_hashes": [1], "policy": "p"},
        {"key_hashes": [], "policy": "p", "weight": True},
        {"key_hashes": [], "policy": "p", "weight": "2"},
        {"key_hashes": [], "policy": "p", "weight": 1.5},
        {"key_hashes": [], "policy": "p", "wait": 1},
    ],
)
def test_a_value_of_another_type_is_an_error(body: dict) -> None:
    assert isinstance(parse_record(Envelope("organisation", "o", 2, 1, body)), Err)


def test_nested_and_older_records_are_read() -> None:
    """Guards against records of an older schema that are lost in an upgrade."""
    route = {"method": "GET", "path_prefix": "/", "repeatable": True}
    body = {"kind": "service", "routes": [route], "retry_ratio": 1}
    record = parse_record(Envelope("pool", "p", 1, 1, body)).unwrap()
    assert isinstance(record, PoolRecord) and record.retry_ratio == 1.0
    old = {"key_hash": "aa", "policy": "p", "requests_per_second": 0.5}
    converted = parse_record(Envelope("organisation", "o", 1, 1, old)).unwrap()
    assert converted.key_hashes == ["aa"] and converted.tokens_per_second == 250
    assert record.routes == [RouteRule(method="GET", path_prefix="/", repeatable=True)]


@pytest.mark.parametrize("value", [None, [], {}, "x", {"type": "tier"}, BODY_IS_A_LIST])
def test_a_malformed_envelope_is_a_value_error(value: object) -> None:
    with pytest.raises(ValueError):
        read_envelope(value)
