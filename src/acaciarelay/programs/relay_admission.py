"""Admission of requests by the configuration in force and the shared rate limits."""

import random
import time

from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.headers import RequestTraits, decode_request
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.state.relayed_request import RelayedRequest
from acaciarelay.state.routing import Organisation, Route, RoutingTable
from acaciarelay.state.stream_position import StreamPosition

__all__ = ["Admission"]

# An organisation's rank is multiplied by this and added to the rank of the route.
RANKS_PER_ORGANISATION_RANK = 8
DEFAULT_TIME_LIMIT_S = 60.0


class Admission:
    """Admit requests and charge them to the rate limits that all entries share."""

    def __init__(
        self, cache: StateCache, usage: UsageLedger, rng: random.Random
    ) -> None:
        self.cache = cache
        self.usage = usage
        self.rng = rng
        # Longest time limit seen on each route, by route name.
        self._longest_limits_s: dict[str, float] = {}

    def admit(self, request: InboundRequest) -> RelayedRequest | Refusal:
        """Return the state of an admitted request, or the refusal to answer with."""
        routing = self.cache.routing
        if routing is None:
            return refuse("not_ready", "", 0.5)
        try:
            traits = decode_request(request.headers)
        except ValueError:
            return refuse("invalid_field", "a header field holds no valid number")
        path = request.target.partition("?")[0]
        host = (request.header("host") or "").partition(":")[0]
        route = routing.find_route(host, path)
        if route is None:
            return refuse("unknown_path")
        organisation = None
        if routing.keys is not None and not route.anonymous:
            organisation = routing.organisation_of(traits.key or "")
            if organisation is None:
                return refuse("unknown_key")
        return self.charge(request, traits, route, routing, organisation)

    def charge(
        self,
        request: InboundRequest,
        traits: RequestTraits,
        route: Route,
        routing: RoutingTable,
        organisation: Organisation | None,
    ) -> RelayedRequest | Refusal:
        """Charge the request to its organisation, if any, and build its state.

        Returns a refusal if the organisation has reached its rate limit.
        """
        cost = _cost(traits, organisation)
        now = time.monotonic()
        limit_s = min(route.timeout_s, traits.time_limit_s or DEFAULT_TIME_LIMIT_S)
        if organisation is not None:
            retry_after_s = self.usage.admit(organisation, cost, now)
            if retry_after_s > 0:
                log_event(
                    "usage_limit_reached",
                    request_id=traits.request_id,
                    organisation=organisation.name,
                    rate_per_s=organisation.rate_per_s,
                    cost=cost,
                    missing_s=round(retry_after_s, 3),
                    **self.usage.decision_fields(organisation.name, now),
                )
                return refuse("rate_limited", "", min(retry_after_s, limit_s / 3))
        rank = route.rank
        if organisation is not None and organisation.rank is not None:
            rank += organisation.rank * RANKS_PER_ORGANISATION_RANK
        return RelayedRequest(
            traits=traits,
            route=route,
            routing=routing,
            organisation=organisation,
            rank=rank,
            cost=cost,
            arrived_at=request.arrived_at,
            deadline=request.arrived_at + limit_s,
            objective_at=request.arrived_at
            + route.objective_s
            - self.elapsed_before_s(route, traits),
            service=self.pick_service(route),
            position=StreamPosition(traits.last_event),
        )

    def elapsed_before_s(self, route: Route, traits: RequestTraits) -> float:
        """Estimate the seconds that the caller's earlier attempts took.

        A caller's time limit counts from its first attempt, so a limit below the
        longest one of the route indicates a request that was refused before.
        """
        if traits.time_limit_s is None:
            return 0.0
        longest_s = max(
            self._longest_limits_s.get(route.name, 0.0), traits.time_limit_s
        )
        self._longest_limits_s[route.name] = longest_s
        return longest_s - traits.time_limit_s

    def pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self.rng.choices(route.targets, weights)[0].service

    def recheck(self, relayed: RelayedRequest) -> str | None:
        """Return the refusal code of a queued request under a newer configuration.

        ``None`` if the request is still admitted.
        """
        routing = self.cache.routing
        if routing is relayed.routing or routing is None or relayed.head_sent:
            return None
        route = routing.find_route(relayed.route.host, relayed.route.prefix)
        if route is None:
            return "unknown_path"
        if all(target.service != relayed.service for target in route.targets):
            return "shed"
        if relayed.organisation is None:
            return None
        current = routing.organisation_of(relayed.traits.key or "")
        if current is None or current.name != relayed.organisation.name:
            return "unknown_key"
        return None

    def refund(self, relayed: RelayedRequest) -> None:
        """Return the charge of a request that did not run."""
        if relayed.organisation is not None:
            self.usage.refund(relayed.organisation, relayed.cost)


def _cost(traits: RequestTraits, organisation: Organisation | None) -> float:
    """Return the cost in the unit of the organisation's rate: tokens or requests."""
    if organisation is None or not organisation.by_tokens:
        return 1.0
    if traits.prompt_tokens is None:
        return float(organisation.default_cost_tokens)
    return float(traits.prompt_tokens + (traits.output_tokens or 0))
