"""The current configuration: routes, services, organisations and caller limits."""

import enum

import attrs

__all__ = [
    "CallerLimits",
    "EngineCapacity",
    "Organisation",
    "Repeatability",
    "Route",
    "RoutingTable",
    "Service",
    "Target",
]


class Repeatability(enum.StrEnum):
    """How a request of a route may be repeated."""

    IDEMPOTENT = "idempotent"  # It may run more than once.
    ONCE = "once"  # It must not run more than once.
    RESUMABLE = "resumable"  # A stream that may be resumed after its last event.


@attrs.frozen
class Target:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Match rule, limits and targets of a route.

    ``rank`` 0 is the most urgent. The rank of a request is that of its route plus a
    multiple of that of its organisation; metrics report it as the tier.

    ``objective_s`` is the service level objective, counted from a request's arrival: it
    determines how long the request may wait for a slot, and a request past it is served
    after the others of its rank. ``timeout_s`` is the longest time that a request may
    take. ``max_event_gap_s`` is the time without an event after which callers abandon a
    stream, ``None`` for other requests. ``max_attempts`` counts the attempts that may
    run the request. ``anonymous`` routes need no caller key.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    streaming: bool
    timeout_s: float
    objective_s: float
    max_event_gap_s: float | None
    rank: int
    targets: tuple[Target, ...]
    max_attempts: int
    anonymous: bool


@attrs.frozen(kw_only=True)
class EngineCapacity:
    """Capacity of each engine of a service; it runs ``slots`` requests at once.

    ``memory_tokens`` is the capacity of its KV cache in tokens, 0 while unknown.
    """

    slots: int
    memory_tokens: int = 0


@attrs.frozen(kw_only=True)
class Service:
    """Configuration of a service; ``engine`` is ``None`` for a plain service.

    ``max_connections`` is not enforced.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None


@attrs.frozen(kw_only=True)
class Organisation:
    """Rank and rate limit of an organisation; a rate of 0 means no limit.

    ``rank`` is combined with the rank of the route as described for ``Route``; ``None``
    counts as 0. Rate and burst are in tokens when ``by_tokens`` is true and in requests
    otherwise; a burst of 0 stands for the default burst. ``default_cost_tokens`` is the
    charge in tokens for a request that states no token count.
    """

    name: str
    rank: int | None
    by_tokens: bool
    default_cost_tokens: int
    rate_per_s: float
    burst: float


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests.

    ``head_timeout_s`` limits the time for the head and each pause in the body,
    ``idle_timeout_s`` the time that a connection may stay open between requests.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """Look-up tables of one version of the configuration.

    ``keys`` maps caller keys to organisations; ``None`` means that no key is required.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        organisations: dict[str, Organisation],
        keys: dict[str, str] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.organisations = organisations
        self.keys = keys
        self.limits = limits
        self.route_count = len(routes)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path.

        Only prefixes that end with ``/`` can match.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that owns a caller key, or ``None``."""
        if self.keys is None:
            return None
        name = self.keys.get(key)
        return self.organisations.get(name) if name is not None else None
