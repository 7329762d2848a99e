"""Decode the operator's configuration into a routing table."""

from typing import Any

import orjson

from acaciarelay.state.cached_table import WriterOrder
from acaciarelay.state.routing import (
    CallerLimits,
    EngineCapacity,
    Organisation,
    Repeatability,
    Route,
    RoutingTable,
    Service,
    Target,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ENDPOINT_TABLE",
    "OPERATOR_TABLE",
    "FormatError",
    "configuration_order",
    "decode_configuration",
]

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
# Value of an organisation's ``unit`` whose rate and burst are in tokens.
TOKEN_UNIT = "token_stream"
# A larger capacity of a KV cache is not believed.
MAX_MEMORY_TOKENS = 10**12
# Callers abandon a stream after the longest of these gaps: a time, and multiples of the
# route's objective and of the gap for which its events are still on time.
MIN_ABANDONED_GAP_S = 2.0
OBJECTIVES_PER_ABANDONED_GAP = 4
TARGETS_PER_ABANDONED_GAP = 8


class FormatError(Exception):
    """Raised for a row or report that can't be decoded."""


def decode_configuration(data: bytes) -> RoutingTable:
    """Decode a configuration; raises ``FormatError``."""
    try:
        return _decode(orjson.loads(data))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as error:
        raise FormatError(f"unreadable configuration: {error!r}") from error


def configuration_order(data: bytes) -> WriterOrder | None:
    """Return the operator's order of a configuration, ``None`` if it is unreadable."""
    try:
        return WriterOrder(0, (int(orjson.loads(data)["version"]),))
    except (ValueError, KeyError, TypeError, OverflowError):
        return None


def _decode(raw: dict[str, Any]) -> RoutingTable:
    organisations = {}
    keys: dict[str, str] | None = None
    if raw.get("tenants") is not None:
        keys = {}
        for item in raw["tenants"]:
            organisation = _organisation(item)
            organisations[organisation.name] = organisation
            for key in item.get("apiKeys") or ():
                keys[key] = organisation.name
    return RoutingTable(
        int(raw["version"]),
        [_route(item) for item in raw.get("routes") or ()],
        {item["name"]: _service(item) for item in raw.get("services") or ()},
        organisations,
        keys,
        _limits(raw.get("limits") or {}),
    )


def _route(raw: dict[str, Any]) -> Route:
    if raw.get("split"):
        targets = tuple(
            Target(part["service"], float(part["weight"])) for part in raw["split"]
        )
    else:
        targets = (Target(raw["service"], 1.0),)
    kind = raw["kind"]
    repeatability = Repeatability.ONCE
    if kind == "idempotent":
        repeatability = Repeatability.IDEMPOTENT
    elif kind == "streaming" and raw.get("resumable"):
        repeatability = Repeatability.RESUMABLE
    timeout_s = raw["timeoutMs"] / 1000
    streaming = kind == "streaming"
    return Route(
        name=raw.get("name", ""),
        host=raw["host"],
        prefix=raw["prefix"],
        repeatability=repeatability,
        streaming=streaming,
        timeout_s=timeout_s,
        objective_s=raw["sloMs"] / 1000 if raw.get("sloMs") else timeout_s,
        max_event_gap_s=_max_event_gap_s(raw) if streaming else None,
        rank=int(raw.get("priority") or 0),
        targets=targets,
        max_attempts=int(raw.get("maxAttempts") or 1),
        anonymous=bool(raw.get("anonymous")),
    )


def _max_event_gap_s(raw: dict[str, Any]) -> float:
    """Return how long callers wait for an event before they abandon a stream."""
    objective_ms = raw.get("sloMs") or 0
    event_gap_ms = raw.get("gapTargetMs") or 0
    gap_ms = max(
        OBJECTIVES_PER_ABANDONED_GAP * objective_ms,
        TARGETS_PER_ABANDONED_GAP * event_gap_ms,
    )
    return max(MIN_ABANDONED_GAP_S, gap_ms / 1000)


def _service(raw: dict[str, Any]) -> Service:
    engine = None
    if raw.get("engine"):
        engine = EngineCapacity(
            slots=int(raw["engine"]["slots"]),
            memory_tokens=_memory_tokens(raw["engine"].get("kvTokens")),
        )
    return Service(
        name=raw["name"],
        max_connections=int(raw.get("maxConns") or 100),
        engine=engine,
    )


def _memory_tokens(value: Any) -> int:
    """Return the capacity of a KV cache, 0 for a missing or unusable one."""
    if type(value) is not int or not 0 < value <= MAX_MEMORY_TOKENS:
        return 0
    return value


def _organisation(raw: dict[str, Any]) -> Organisation:
    rank = raw.get("priority")
    return Organisation(
        name=raw["name"],
        rank=int(rank) if rank is not None else None,
        by_tokens=raw.get("unit") == TOKEN_UNIT,
        default_cost_tokens=int(raw.get("plainTokens") or 0),
        rate_per_s=float(raw.get("ratePerS") or 0),
        burst=float(raw.get("burst") or 0),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head_bytes=int(raw.get("maxHeaderBytes") or default.max_head_bytes),
        max_body_bytes=int(raw.get("maxBodyBytes") or default.max_body_bytes),
        head_timeout_s=(raw.get("headerTimeoutMs") or default.head_timeout_s * 1000)
        / 1000,
        idle_timeout_s=(raw.get("idleTimeoutMs") or default.idle_timeout_s * 1000)
        / 1000,
    )
