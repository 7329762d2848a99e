"""Judge endpoints by the outcomes of requests, and choose among them."""

import math
import random

import attrs

from acaciarelay.state.endpoints import Endpoint

__all__ = ["EndpointHealth", "Judgement"]

# Time over which a failure is forgotten.
FORGET_S = 3.0
# Failures within that time from which an endpoint is avoided.
AVOID_FAILURES = 2.5
# Extra requests in flight that a failure, a zone or a region counts as.
FAILURE_COST = 4.0
ZONE_COST = 0.5
REGION_COST = 4.0


@attrs.define(eq=False)
class Judgement:
    """Hold what was seen of one endpoint."""

    failures: float = 0.0
    judged_at: float = 0.0
    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf


class EndpointHealth:
    """Keep judgements by endpoint id."""

    def __init__(self, zone: str, regions: dict[str, str], rng: random.Random) -> None:
        self.zone = zone
        self.regions = regions
        self.rng = rng
        self._judgements: dict[str, Judgement] = {}

    def of(self, endpoint_id: str) -> Judgement:
        """Return the judgement of an endpoint."""
        return self._judgements.setdefault(endpoint_id, Judgement())

    def fail(self, endpoint_id: str, now: float, weight: float = 1.0) -> None:
        """Record a failure."""
        judgement = self.of(endpoint_id)
        judgement.failures = self.failures(endpoint_id, now) + weight
        judgement.judged_at = now

    def succeed(self, endpoint_id: str, now: float) -> None:
        """Record a success, which halves the failures."""
        judgement = self._judgements.get(endpoint_id)
        if judgement is not None and judgement.failures:
            judgement.failures = self.failures(endpoint_id, now) / 2
            judgement.judged_at = now

    def failures(self, endpoint_id: str, now: float) -> float:
        """Return the recent failures, fading with time."""
        judgement = self._judgements.get(endpoint_id)
        if judgement is None or not judgement.failures:
            return 0.0
        return judgement.failures * math.exp(-(now - judgement.judged_at) / FORGET_S)

    def avoided(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint fails too often to be preferred."""
        return self.failures(endpoint_id, now) >= AVOID_FAILURES

    def distance_cost(self, zone: str) -> float:
        """Return how many requests in flight the distance to a zone counts as."""
        if zone == self.zone:
            return 0.0
        if self.regions.get(zone) == self.regions.get(self.zone):
            return ZONE_COST
        return REGION_COST

    def choose(
        self, endpoints: list[Endpoint], tried: set[str], processes: int, now: float
    ) -> Endpoint | None:
        """Choose the endpoint where a request is likely to run soonest.

        Endpoints in ``tried`` are taken only when there is no other.
        """
        best = None
        best_cost = math.inf
        for endpoint in endpoints:
            cost = self._cost(endpoint, processes, now)
            if endpoint.endpoint_id in tried:
                cost += 1000.0
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def _cost(self, endpoint: Endpoint, processes: int, now: float) -> float:
        judgement = self.of(endpoint.endpoint_id)
        slots = max(1, endpoint.slots)
        load = judgement.in_flight * max(1.0, processes / 2)
        if now - judgement.reported_at < 1.0:
            load = max(float(judgement.in_flight), judgement.reported)
        cost = load / slots * 6.0 + self.rng.random() * 0.2
        cost += self.distance_cost(endpoint.zone)
        return cost + FAILURE_COST * self.failures(endpoint.endpoint_id, now)
