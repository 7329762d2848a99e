"""What an entry knows of one request that it relays."""

import enum

import attrs

from acaciarelay.platform.exchange import RequestTraits
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.routing import Organisation, Repeatability, Route, RoutingTable

__all__ = [
    "Answered",
    "AttemptOutcome",
    "Broken",
    "Delivered",
    "Evidence",
    "NotRun",
    "RelayRun",
]


class Evidence(enum.StrEnum):
    """Say what is known about whether a request ran."""

    NOT_SENT = "not_sent"
    DECLINED = "declined"  # Each endpoint that got it said that it did not run it.
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class Delivered:
    """The caller has the whole answer."""


@attrs.frozen
class NotRun:
    """The endpoint certainly did not run the request; ``arrived`` if it got it."""

    reason: str
    arrived: bool


@attrs.frozen
class Broken:
    """The endpoint may have run the request and brought no whole answer."""

    reason: str


@attrs.frozen
class Answered:
    """The endpoint answered with a failure of its own."""

    status: int
    headers: list[Header]
    body: bytes


AttemptOutcome = Delivered | NotRun | Broken | Answered


@attrs.define(eq=False, kw_only=True)
class RelayRun:
    """Hold one request until it is answered; times are loop times in seconds."""

    traits: RequestTraits
    route: Route
    routing: RoutingTable
    organisation: Organisation | None
    rank: int
    cost: float
    arrived_at: float
    limit_at: float
    objective_at: float
    service: str = ""
    runs: int = 0
    declined: int = 0
    evidence: Evidence = Evidence.NOT_SENT
    tried: set[str] = attrs.Factory(set)
    last_event: int | None = None
    head_sent: bool = False
    failure: Answered | None = None
    endpoint: Endpoint | None = None
    first_sent_at: float | None = None
    sent_at: float | None = None
    first_event_at: float | None = None
    steps: list[str] = attrs.Factory(list)

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.repeatability is not Repeatability.ONCE

    @property
    def refusable(self) -> bool:
        """Return whether it is true that the request did not run."""
        return self.evidence is not Evidence.MAY_HAVE_RUN
