"""Admit requests: check them against the configuration and the usage limits."""

import random
import time

from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.exchange import RequestTraits, decode_request
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_beliefs import Beliefs
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.state.relay_run import RelayRun
from acaciarelay.state.routing import Organisation, Route, RoutingTable
from acaciarelay.transport.front_server import FrontRequest

__all__ = ["Admission"]

RANKS_PER_ORGANISATION_RANK = 8
# A caller that sets no time limit is served for this long at most.
NO_LIMIT_S = 60.0


class Admission:
    """Admit requests by the configuration in force and the common usage limits."""

    def __init__(
        self, beliefs: Beliefs, usage: UsageLedger, rng: random.Random
    ) -> None:
        self.beliefs = beliefs
        self.usage = usage
        self.rng = rng
        # The longest time limit that callers of a route gave, by its name.
        self._full_limits: dict[str, float] = {}

    def admit(self, request: FrontRequest) -> RelayRun | Refusal:
        """Check a request against the configuration in force."""
        routing = self.beliefs.routing
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
        request: FrontRequest,
        traits: RequestTraits,
        route: Route,
        routing: RoutingTable,
        organisation: Organisation | None,
    ) -> RelayRun | Refusal:
        cost = _cost(traits, organisation)
        now = time.monotonic()
        limit_s = min(route.timeout_s, traits.time_limit_s or NO_LIMIT_S)
        if organisation is not None:
            missing_s = self.usage.admit(organisation, cost, now)
            if missing_s > 0:
                log_event(
                    "usage_limit_reached",
                    request_id=traits.request_id,
                    organisation=organisation.name,
                    rate_per_s=organisation.rate_per_s,
                    cost=cost,
                    missing_s=round(missing_s, 3),
                    **self.usage.explain(organisation.name, now),
                )
                return refuse("rate_limited", "", min(missing_s, limit_s / 3))
        rank = route.rank
        if organisation is not None and organisation.rank is not None:
            rank += organisation.rank * RANKS_PER_ORGANISATION_RANK
        return RelayRun(
            traits=traits,
            route=route,
            routing=routing,
            organisation=organisation,
            rank=rank,
            cost=cost,
            arrived_at=request.arrived_at,
            limit_at=request.arrived_at + limit_s,
            objective_at=request.arrived_at
            + route.objective_s
            - self.spent_s(route, traits),
            service=self.pick_service(route),
            last_event=traits.last_event,
        )

    def spent_s(self, route: Route, traits: RequestTraits) -> float:
        """Infer the seconds that earlier attempts of the caller took.

        A caller's time limit runs on from its first attempt, so one that is shorter
        than others of the route belongs to a request that was refused before.
        """
        if traits.time_limit_s is None:
            return 0.0
        full_s = max(self._full_limits.get(route.name, 0.0), traits.time_limit_s)
        self._full_limits[route.name] = full_s
        return full_s - traits.time_limit_s

    def pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self.rng.choices(route.targets, weights)[0].service

    def denied_since(self, run: RelayRun) -> str | None:
        """Check a request that waited; return the code that denies it now."""
        routing = self.beliefs.routing
        if routing is run.routing or routing is None or run.head_sent:
            return None
        route = routing.find_route(run.route.host, run.route.prefix)
        if route is None:
            return "unknown_path"
        if all(target.service != run.service for target in route.targets):
            return "shed"
        if run.organisation is None:
            return None
        current = routing.organisation_of(run.traits.key or "")
        if current is None or current.name != run.organisation.name:
            return "unknown_key"
        return None

    def refund(self, run: RelayRun) -> None:
        """Give back the charge of a request that did not run."""
        if run.organisation is not None:
            self.usage.refund(run.organisation, run.cost)


def _cost(traits: RequestTraits, organisation: Organisation | None) -> float:
    if organisation is None or not organisation.by_tokens:
        return 1.0
    if traits.prompt_tokens is None:
        return float(organisation.default_tokens)
    return float(traits.prompt_tokens + (traits.output_tokens or 0))
