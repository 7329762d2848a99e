"""Log lines and metrics of the ends of requests."""

import asyncio

from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_drain import RequestDrain
from acaciarelay.programs.relay_placement import Placement
from acaciarelay.protocol.codes import Refusal, ResultCode
from acaciarelay.state.relayed_request import (
    AttemptOutcome,
    Broken,
    Delivered,
    ErrorResponse,
    NotRun,
    RelayedRequest,
)
from acaciarelay.transport.connection_phase import ClosedBy
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = [
    "RequestRecorder",
    "describe_attempt",
    "interrupted_outcome",
    "resumption_outcome",
]

# Outcomes of requests whose callers may have no whole answer.
UNANSWERED_OUTCOMES = ("cut", "caller_gone", "failed")


class RequestRecorder:
    """Count and log how requests end."""

    def __init__(self, metrics: Metrics, drain: RequestDrain) -> None:
        self.metrics = metrics
        self.drain = drain
        self.loop = asyncio.get_running_loop()

    def count_refusal(self, refusal: Refusal, rank: int) -> None:
        self.metrics.count(
            "refusals_total",
            code=refusal.code.number,
            reason=refusal.code.name,
            tier=rank,
            organisation_class="",
        )

    def record_end(
        self,
        connection: InboundConnection,
        relayed: RelayedRequest,
        outcome: str,
        refusal: Refusal | None,
    ) -> None:
        """Count and log the end of a request."""
        now = self.loop.time()
        if refusal is not None:
            self.count_refusal(refusal, relayed.rank)
        self.metrics.count(
            "requests_total", tier=relayed.rank, organisation_class="", outcome=outcome
        )
        if relayed.first_sent_at is not None and outcome not in ("caller_gone", "cut"):
            taken_s = now - relayed.first_sent_at
            self.drain.answer_times.observe(relayed.route.name, taken_s)
        stages = {
            "queue": relayed.first_sent_at,
            "first": relayed.first_event_at,
            "whole": now,
        }
        for stage, at in stages.items():
            if at is not None:
                self.metrics.observe(
                    "stage_seconds",
                    at - relayed.arrived_at,
                    route=relayed.route.name,
                    stage=stage,
                )
        missed = relayed.most_kept_tokens - relayed.kept_tokens
        if missed > 0 and relayed.first_sent_at is not None:
            self.metrics.count("kept_tokens_total", missed, result="missed")
        log_event(
            "request_ended",
            request_id=relayed.traits.request_id,
            outcome=outcome,
            code=refusal.code.name if refusal else None,
            answer_begun=relayed.head_sent,
            route=relayed.route.name,
            service=relayed.service,
            rank=relayed.rank,
            endpoint=relayed.endpoint.endpoint_id if relayed.endpoint else None,
            steps=relayed.steps,
            evidence=str(relayed.evidence),
            queued_s=_elapsed_s(relayed.arrived_at, relayed.first_sent_at),
            first_event_s=_elapsed_s(relayed.arrived_at, relayed.first_event_at),
            whole_s=round(now - relayed.arrived_at, 4),
            configuration=relayed.routing.version,
            **kept_fields(relayed),
            **self.stop_fields(connection, relayed, outcome),
        )

    def stop_fields(
        self, connection: InboundConnection, relayed: RelayedRequest, outcome: str
    ) -> dict[str, object]:
        """Return the fields of a request that ends while the entry stops.

        The rate limit of the log spares the lines of requests without a whole answer.
        """
        if self.drain.window is None:
            return {}
        fields = self.drain.times_after_stop(relayed)
        return fields | {
            "answer_received": relayed.answer_received,
            "events": relayed.events_received,
            "unsent_bytes": connection.unsent_bytes,
            "always": outcome in UNANSWERED_OUTCOMES,
        }


def interrupted_outcome(connection: InboundConnection, error: BaseException) -> str:
    """Return who ended a request whose handler was interrupted."""
    match connection.closed_by:
        case ClosedBy.ENTRY:
            return "cut"
        case None if isinstance(error, asyncio.CancelledError):
            return "cut"
        case _:
            return "caller_gone"


def kept_fields(relayed: RelayedRequest) -> dict[str, object]:
    """Return the fields of a request whose prompt has a long shared beginning."""
    chain = relayed.traits.shared_chain
    if not chain:
        return {}
    return {
        "shared_tokens": max(chain.values()),
        "kept_tokens": relayed.kept_tokens,
        "most_kept_tokens": relayed.most_kept_tokens,
    }


def _elapsed_s(start: float, end: float | None) -> float | None:
    return round(end - start, 4) if end is not None else None


def resumption_outcome(relayed: RelayedRequest, refusal: Refusal | None) -> str:
    """Return what became of a resumed stream, as the metrics name it."""
    if relayed.first_event_at is not None or refusal is None:
        return "continued"
    match refusal:
        case Refusal(code=ResultCode(name="stream_origin_unknown")):
            return "origin_unknown"
        case Refusal(code=ResultCode(name="stream_version_gone")):
            return "version_gone"
        case Refusal(code=ResultCode(name="stream_foreign")):
            return "foreign"
        case _:
            return "not_placed"


def describe_attempt(outcome: AttemptOutcome, placement: Placement) -> str:
    """Describe an attempt for the log."""
    name = placement.endpoint.endpoint_id
    match outcome:
        case Delivered():
            return f"{name}: delivered"
        case NotRun(reason=reason) | Broken(reason=reason):
            return f"{name}: {type(outcome).__name__}: {reason}"
        case ErrorResponse(status=status):
            return f"{name}: answered {status}"
