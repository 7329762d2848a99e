"""Rows of monitored rollouts: orders, statuses and the lease of the coordinator."""

import math
from typing import Any

import orjson

from acaciarelay.platform.configuration import FormatError
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

__all__ = [
    "ROLLOUT_TABLE",
    "STATUS_TABLE",
    "coordinator_key",
    "decode_coordinator",
    "decode_order",
    "decode_status",
    "encode_coordinator",
    "encode_status",
    "ordered_service",
    "status_key",
]

STATUS_TABLE = "status"
ROLLOUT_TABLE = "rollouts"
# Prefix of the keys of orders and of statuses; the service follows.
KEY_PREFIX = "rollout/"
MAX_NAME = 256
# A larger number is not exact in all JSON libraries.
MAX_EXACT_NUMBER = 2**53
MAX_LEASE_S = 60.0
# More lifetimes than the entries of one order have.
MAX_LIFETIMES = 4_096
FIELDS_PER_LIFETIME = 6


def ordered_service(key: str) -> str | None:
    """Return the service whose order has this key; ``None`` if it is no order's."""
    service = key.removeprefix(KEY_PREFIX)
    return service if service != key and service else None


def status_key(service: str) -> str:
    """Return the key of the status row of a service."""
    return KEY_PREFIX + service


def coordinator_key(service: str) -> str:
    """Return the key of the coordinator's row of a service."""
    return service


def decode_order(row: StoreRow) -> RolloutOrder:
    """Decode an order; raises ``FormatError``.

    An unreadable duration is 0, since the order can be ended without one.
    """
    try:
        service = ordered_service(row.key)
        raw = orjson.loads(row.value or b"")
        if service is None or raw["service"] != service:
            raise ValueError("the key names another service")
        return RolloutOrder(
            service=service,
            version=_name(raw["to"]),
            duration_s=_duration_s(raw.get("durationS")),
            revision=row.version,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FormatError(f"unreadable order: {error!r}") from error


def decode_status(data: bytes) -> RolloutStatus:
    """Decode a status; raises ``FormatError``."""
    try:
        raw = orjson.loads(data)
        return RolloutStatus(state=RolloutState(raw["state"]), version=_name(raw["to"]))
    except (ValueError, KeyError, TypeError) as error:
        raise FormatError(f"unreadable status: {error!r}") from error


def encode_status(status: RolloutStatus) -> bytes:
    """Encode a status as the platform reads it."""
    return orjson.dumps({"state": status.state.value, "to": status.version})


def decode_coordinator(data: bytes, era: int) -> CoordinatorRow:
    """Decode the coordinator's row; raises ``FormatError``.

    The row names the order by the number of its version, without the era. ``era`` is
    that in which the row was read: a restored store that holds this row also holds the
    order's.
    """
    try:
        raw = orjson.loads(data)
        lifetimes = raw["counts"]
        if len(lifetimes) > MAX_LIFETIMES:
            raise ValueError("too many lifetimes")
        return CoordinatorRow(
            order=StoreVersion(era, _whole(raw["order"])),
            epoch=_whole(raw["epoch"]),
            holder=_name(raw["holder"]),
            lease_s=_seconds(raw["lease_s"], MAX_LEASE_S),
            phase=Phase(_whole(raw["phase"])),
            since_ms=_whole(raw["since_ms"]),
            counts=tuple(_lifetime(item) for item in lifetimes),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise FormatError(f"unreadable coordinator: {error!r}") from error


def encode_coordinator(row: CoordinatorRow) -> bytes:
    """Encode the coordinator's row."""
    counts = []
    for item in row.counts:
        counts.append(
            [
                item.entry,
                item.lifetime,
                item.old_requests,
                item.old_failures,
                item.new_requests,
                item.new_failures,
            ]
        )
    return orjson.dumps(
        {
            "order": row.order.number,
            "epoch": row.epoch,
            "holder": row.holder,
            "lease_s": row.lease_s,
            "phase": int(row.phase),
            "since_ms": row.since_ms,
            "counts": counts,
        }
    )


def _lifetime(values: Any) -> LifetimeCounts:
    if len(values) != FIELDS_PER_LIFETIME:
        raise ValueError("a lifetime has another number of fields")
    entry, lifetime, *numbers = values
    old_requests, old_failures, new_requests, new_failures = map(_whole, numbers)
    if old_failures > old_requests or new_failures > new_requests:
        raise ValueError("more failures than requests")
    return LifetimeCounts(
        entry=_name(entry),
        lifetime=_name(lifetime),
        old_requests=old_requests,
        old_failures=old_failures,
        new_requests=new_requests,
        new_failures=new_failures,
    )


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME:
        raise ValueError("a field is no short text")
    return value


def _whole(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_EXACT_NUMBER:
        raise ValueError("a field is no whole number within bounds")
    return value


def _seconds(value: Any, most: float) -> float:
    if type(value) not in (int, float) or not 0 <= value <= most:
        raise ValueError("a field is no time within bounds")
    return float(value)


def _duration_s(value: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        return 0.0
    return max(0.0, float(value))
