"""Endpoint health from the outcomes of requests, and the choice of an endpoint."""

import math
import random

import attrs

from acaciarelay.coordination.slowdown import SlowdownEstimate
from acaciarelay.state.endpoints import Endpoint

__all__ = ["EndpointHealth", "EndpointStats"]

# Time constant of the exponential decay of failures.
FAILURE_DECAY_S = 3.0
# Decayed failures at which an endpoint is avoided.
AVOID_FAILURES = 2.5
# Interval of the single requests that a silent endpoint gets, to learn whether it
# answers again.
SILENT_TRIAL_INTERVAL_S = 1.0
# Costs of a request at an idle endpoint, of all slots in use, of a recent failure, of
# another zone and of another region.
WORK_COST = 2.0
LOAD_COST = 6.0
FAILURE_COST = 4.0
ZONE_COST = 0.5
REGION_COST = 4.0


@attrs.define(eq=False)
class EndpointStats:
    """Recent failures and load of one endpoint.

    It wants no requests from this process until ``deferred_until``. It is silent from
    ``silent_at`` until it begins or ends an answer, at ``answered_at``. The last
    request was directed to it at ``chosen_at``.
    """

    failures: float = 0.0
    failures_at: float = 0.0
    in_flight: int = 0
    reported_load: float = 0.0
    reported_at: float = -math.inf
    slowdown: SlowdownEstimate = attrs.Factory(SlowdownEstimate)
    deferred_until: float = -math.inf
    silent_at: float = -math.inf
    answered_at: float = -math.inf
    chosen_at: float = -math.inf

    @property
    def silent(self) -> bool:
        return self.silent_at > self.answered_at


class EndpointHealth:
    """Failures and load by endpoint id, as seen by this entry."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self.zone = zone
        self.regions = regions
        self.rng = rng
        self._stats: dict[str, EndpointStats] = {}

    def stats(self, endpoint_id: str) -> EndpointStats:
        """Return the statistics of an endpoint."""
        return self._stats.setdefault(endpoint_id, EndpointStats())

    def record_failure(self, endpoint_id: str, now: float, weight: float = 1.0) -> None:
        """Record a failure."""
        stats = self.stats(endpoint_id)
        stats.failures = self.failures(endpoint_id, now) + weight
        stats.failures_at = now

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Record a success, which halves the failures."""
        self.record_answer(endpoint_id, now)
        stats = self.stats(endpoint_id)
        if stats.failures:
            stats.failures = self.failures(endpoint_id, now) / 2
            stats.failures_at = now

    def record_silence(self, endpoint_id: str, since: float, now: float) -> None:
        """Record that a request has got no sign of an endpoint ``since`` a time.

        The endpoint is silent if no other request has got one either.
        """
        stats = self.stats(endpoint_id)
        if stats.answered_at <= since and not stats.silent:
            stats.silent_at = now

    def record_answer(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint has begun or ended an answer."""
        self.stats(endpoint_id).answered_at = now

    def record_load(
        self, endpoint_id: str, load: int, slowdown: float | None, now: float
    ) -> None:
        """Record the running and waiting requests and the slowdown of an endpoint."""
        stats = self.stats(endpoint_id)
        stats.reported_load = load
        stats.reported_at = now
        if slowdown is not None:
            stats.slowdown.record(slowdown, now)

    def defer(self, endpoint_id: str, until: float) -> None:
        """Record that an endpoint wants no requests until a time."""
        stats = self.stats(endpoint_id)
        stats.deferred_until = max(stats.deferred_until, until)

    def deferred_until(self, endpoint_id: str) -> float:
        """Return the time until which an endpoint wants no requests."""
        stats = self._stats.get(endpoint_id)
        return stats.deferred_until if stats is not None else -math.inf

    def failures(self, endpoint_id: str, now: float) -> float:
        """Return the number of recent failures, decayed by their age."""
        stats = self._stats.get(endpoint_id)
        if stats is None or not stats.failures:
            return 0.0
        return stats.failures * math.exp(-(now - stats.failures_at) / FAILURE_DECAY_S)

    def is_avoided(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint is silent or has failed too often recently."""
        if self.failures(endpoint_id, now) >= AVOID_FAILURES:
            return True
        stats = self.stats(endpoint_id)
        if not stats.silent:
            return False
        last_at = max(stats.silent_at, stats.chosen_at)
        return now - last_at < SILENT_TRIAL_INTERVAL_S

    def distance_cost(self, zone: str) -> float:
        """Return the cost of sending a request to a zone."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_COST
        return REGION_COST

    def choose(
        self, endpoints: list[Endpoint], tried: set[str], process_count: int, now: float
    ) -> Endpoint | None:
        """Choose the endpoint where a request is likely to run soonest.

        Endpoints in ``tried`` are chosen only when there is no other.
        """
        best = None
        best_cost = math.inf
        for endpoint in endpoints:
            cost = self._cost(endpoint, process_count, now)
            if endpoint.endpoint_id in tried:
                cost += 1000.0
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def _cost(self, endpoint: Endpoint, process_count: int, now: float) -> float:
        stats = self.stats(endpoint.endpoint_id)
        slots = max(1, endpoint.slots)
        # Without a report from the last second, the requests of other processes are
        # estimated from those of this one.
        load = stats.in_flight * max(1.0, process_count / 2)
        if now - stats.reported_at < 1.0:
            load = max(float(stats.in_flight), stats.reported_load)
        slowdown = stats.slowdown.at(now)
        cost = load / slots * LOAD_COST * slowdown + WORK_COST * (slowdown - 1.0)
        cost += self.rng.random() * 0.2
        cost += self.distance_cost(endpoint.zone)
        return cost + FAILURE_COST * self.failures(endpoint.endpoint_id, now)
