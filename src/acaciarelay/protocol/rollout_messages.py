"""Messages on links between entries about monitored rollouts."""

from typing import Any

import attrs

from acaciarelay.state.rollout import (
    TIME_BUCKETS,
    BucketCounts,
    EngineTimes,
    EntryCounts,
    Phase,
    RolloutState,
    RouteCounts,
    VersionCounts,
)
from acaciarelay.state.store_era import StoreVersion

__all__ = [
    "RolloutCounts",
    "RolloutPermission",
    "counts_message",
    "decode_counts",
    "decode_permission",
]

# Larger counts are taken for mistakes; no entry has so many requests in one order.
MAX_COUNT = 2**40
# Routes of one message, more than an entry counts apart.
MAX_ROUTES = 256
MAX_ROUTE_NAME = 256
MAX_ENGINES = 1_024
MAX_ENGINE_NAME = 256
MAX_AGE_S = 10 * 86_400.0


@attrs.frozen(kw_only=True)
class RolloutCounts:
    """Sends an entry's ``EntryCounts`` to the coordinator of an order and its deputy.

    ``era`` and ``order`` are the version of the order's row. ``old`` and ``new`` hold
    by route the requests, the failures, and both lists of buckets with their counts.
    ``engines`` holds lists of the values of ``EngineTimes``.
    """

    service: str
    era: int
    order: int
    number: int
    epoch: int
    phase: int
    old_running: int
    old: Any
    new: Any
    engines: Any = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class RolloutPermission:
    """Sends the coordinator's permission for an order to the entries.

    ``phase`` and ``state`` are the values of ``Phase`` and ``RolloutState``, and
    ``age_s`` is the time in seconds since the order was first seen.
    """

    service: str
    era: int
    order: int
    epoch: int
    phase: int
    state: str
    age_s: float


def counts_message(service: str, counts: EntryCounts) -> RolloutCounts:
    """Return the message that sends the counts of an entry."""
    return RolloutCounts(
        service=service,
        era=counts.order.era,
        order=counts.order.number,
        number=counts.number,
        epoch=counts.epoch,
        phase=int(counts.phase),
        old_running=counts.old_running,
        old=_encode_version(counts.old),
        new=_encode_version(counts.new),
        engines=[_encode_engine(engine) for engine in counts.engines],
    )


def decode_counts(
    message: RolloutCounts, entry: str, lifetime: str
) -> EntryCounts | None:
    """Return the counts that an entry sent; ``None`` if a value is out of bounds."""
    try:
        return EntryCounts(
            entry=entry,
            lifetime=lifetime,
            order=StoreVersion(message.era, _count(message.order)),
            number=_count(message.number),
            epoch=_count(message.epoch),
            phase=Phase(message.phase),
            old_running=_count(message.old_running),
            old=_decode_version(message.old),
            new=_decode_version(message.new),
            engines=_decode_engines(message.engines),
        )
    except (ValueError, TypeError, AttributeError):
        return None


def decode_permission(message: RolloutPermission) -> tuple[Phase, RolloutState] | None:
    """Return phase and state of a permission; ``None`` if a value is out of bounds."""
    try:
        _count(message.epoch)
        if not 0.0 <= message.age_s <= MAX_AGE_S:
            return None
        return Phase(message.phase), RolloutState(message.state)
    except ValueError:
        return None


def _encode_version(counts: VersionCounts) -> dict[str, list[object]]:
    return {
        route: [item.requests, item.failures, item.times, item.running]
        for route, item in counts.items()
    }


def _decode_version(value: Any) -> VersionCounts:
    """Decode the counts of a version; raises ``ValueError`` and ``TypeError``."""
    if not isinstance(value, dict) or len(value) > MAX_ROUTES:
        raise ValueError("the counts are no object of some routes")
    counts = {}
    for route, item in value.items():
        if len(route) > MAX_ROUTE_NAME:
            raise ValueError("the name of a route is too long")
        requests, failures, times, running = item
        if _count(failures) > _count(requests):
            raise ValueError("more failures than requests")
        counts[route] = RouteCounts(
            requests=requests,
            failures=failures,
            times=_decode_buckets(times),
            running=_decode_buckets(running),
        )
    return counts


def _decode_buckets(value: Any) -> BucketCounts:
    """Decode pairs that ascend by bucket; raises ``ValueError`` and ``TypeError``."""
    before = -1
    pairs = []
    for bucket, count in value:
        if not before < _count(bucket) < TIME_BUCKETS:
            raise ValueError("the buckets do not ascend within their bounds")
        pairs.append((bucket, _count(count)))
        before = bucket
    return tuple(pairs)


def _encode_engine(engine: EngineTimes) -> list[object]:
    return [
        engine.engine,
        int(engine.new),
        engine.requests,
        engine.answers,
        engine.excess,
    ]


def _decode_engines(value: Any) -> tuple[EngineTimes, ...]:
    """Decode the times of engines; raises ``ValueError`` and ``TypeError``."""
    if len(value) > MAX_ENGINES:
        raise ValueError("too many engines")
    engines = []
    for engine, new, requests, answers, excess in value:
        if not isinstance(engine, str) or len(engine) > MAX_ENGINE_NAME:
            raise ValueError("the name of an engine is no short text")
        if _count(answers) > _count(requests):
            raise ValueError("more answers than requests")
        if not abs(excess) <= TIME_BUCKETS * answers:
            raise ValueError("an excess is out of bounds")
        engines.append(
            EngineTimes(
                engine=engine,
                new=bool(_count(new)),
                requests=requests,
                answers=answers,
                excess=float(excess),
            )
        )
    return tuple(engines)


def _count(value: Any) -> int:
    """Return a whole number within bounds; raises ``ValueError``."""
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError("a count is no whole number within bounds")
    return value
