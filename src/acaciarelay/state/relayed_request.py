"""State of one request that an entry relays to endpoints, and attempt outcomes."""

import enum

import attrs

from acaciarelay.platform.headers import RequestTraits
from acaciarelay.protocol.http_message import Header
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.routing import Organisation, Repeatability, Route, RoutingTable
from acaciarelay.state.stream_position import StreamPosition

__all__ = [
    "AttemptOutcome",
    "Broken",
    "Delivered",
    "ErrorResponse",
    "Evidence",
    "NotRun",
    "RelayedRequest",
]


class Evidence(enum.StrEnum):
    """What the entry can prove about whether a request ran."""

    NOT_SENT = "not_sent"
    DECLINED = "declined"  # Every endpoint that received it reported it as not run.
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class Delivered:
    """The complete answer was passed on to the caller."""


@attrs.frozen
class NotRun:
    """The endpoint certainly did not run the request.

    ``received`` is true when the endpoint received the request and declined it.
    """

    reason: str
    received: bool


@attrs.frozen
class Broken:
    """The endpoint may have run the request, and its answer is incomplete.

    ``disconnected`` is true when the endpoint closed or reset the connection,
    ``silent`` when it made no progress. ``foreign`` is true when events that the caller
    has turned out to be no part of its stream, so that no run can go on behind them.
    """

    reason: str
    disconnected: bool = False
    silent: bool = False
    foreign: bool = False


@attrs.frozen
class ErrorResponse:
    """The endpoint returned a complete error response."""

    status: int
    headers: list[Header]
    body: bytes


AttemptOutcome = Delivered | NotRun | Broken | ErrorResponse


@attrs.define(eq=False, kw_only=True)
class RelayedRequest:
    """A relayed request from admission to its answer.

    Times are event loop times in seconds. ``objective_at`` is the time by which the
    request meets its service level objective. ``rank`` combines the ranks of its route
    and its organisation. ``cost`` is the charge to the organisation's rate limit, in
    tokens or requests. ``run_count`` counts the attempts that may have run the request,
    ``decline_count`` those that reached an endpoint which reported that it did not run
    it, and ``connect_failures`` those that reached none; ``tried`` holds the ids of all
    endpoints tried. ``position`` is how far the caller has the stream.
    ``error_response`` is the last error response, passed on when no further attempt is
    allowed. ``events_received`` counts the events of the current attempt's answer, and
    ``answer_received`` is true once the end of an answer has come.
    ``reading_paused`` is true once the answer was not read on for lack of memory.
    ``retries_ended`` is true once the caller leaves too soon for another attempt.
    ``on_trial`` is true once it may run despite a suspicion, in one attempt.
    ``off_trial`` is true once it goes to no version of its service that is on trial.
    ``software`` is the version of the software that began the stream, ``None`` before
    its first event: a stream goes on at that version only. ``attempt_count`` counts the
    attempts, whatever became of them. ``steps`` describes the attempts for the log.
    ``kept_tokens`` are those of the prompt that the engine chosen last was expected to
    keep, ``most_kept_tokens`` the most at any.
    """

    traits: RequestTraits
    route: Route
    routing: RoutingTable
    organisation: Organisation | None
    rank: int
    cost: float
    arrived_at: float
    deadline: float
    objective_at: float
    service: str = ""
    run_count: int = 0
    decline_count: int = 0
    connect_failures: int = 0
    evidence: Evidence = Evidence.NOT_SENT
    tried: set[str] = attrs.Factory(set)
    position: StreamPosition = attrs.Factory(StreamPosition)
    head_sent: bool = False
    events_received: int = 0
    retries_ended: bool = False
    on_trial: bool = False
    off_trial: bool = False
    software: str | None = None
    attempt_count: int = 0
    error_response: ErrorResponse | None = None
    endpoint: Endpoint | None = None
    first_sent_at: float | None = None
    sent_at: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    answer_received: bool = False
    reading_paused: bool = False
    steps: list[str] = attrs.Factory(list)
    kept_tokens: int = 0
    most_kept_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.repeatability is not Repeatability.ONCE

    @property
    def answer_begun(self) -> bool:
        """Whether the caller has a part of the answer."""
        return self.head_sent or self.answer_received

    @property
    def abandoned_at(self) -> float | None:
        """When the caller abandons the stream if no event comes, ``None`` if never."""
        if self.route.max_event_gap_s is None:
            return None
        return (self.last_event_at or self.arrived_at) + self.route.max_event_gap_s

    @property
    def may_retry(self) -> bool:
        """Whether the request may run once more."""
        if self.retries_ended:
            return False
        return self.repeatable and self.run_count < self.route.max_attempts

    @property
    def has_own_timings(self) -> bool:
        """Whether the times of the answer are those of its endpoint alone."""
        return self.run_count == 1 and not self.reading_paused

    @property
    def certainly_not_run(self) -> bool:
        """Whether the request can safely be reported as not run."""
        return self.evidence is not Evidence.MAY_HAVE_RUN
