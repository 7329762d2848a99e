"""Per-request data for accounting at the entry, and the record of a request's end."""

import attrs

from acaciarelay.coordination.estimator import Estimate
from acaciarelay.programs.entry_call import Call
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.codes import Outcome, Refusal

__all__ = ["Progress", "record_end"]


@attrs.define
class Progress:
    """Data for the metrics, the log event and the rate-limit charge of a request.

    ``charged_tokens`` is charged to the organisation's rate limit, and refunded when
    the request did not run.
    """

    request_id: str
    tier: str = ""
    organisation_class: str = ""
    organisation: str = ""
    call: Call | None = None
    estimate: Estimate | None = None
    charged_tokens: int = 0
    model: str = ""


def record_end(metrics: Metrics, progress: Progress, refusal: Refusal | None) -> None:
    """Record the end of a request in the metrics and the log."""
    outcome = Outcome.RAN if refusal is None else refusal.code.outcome
    metrics.count(
        "requests_total",
        tier=progress.tier,
        organisation_class=progress.organisation_class,
        outcome="complete" if refusal is None else str(outcome),
    )
    if refusal is not None:
        metrics.count(
            "refusals_total",
            code=refusal.code.number,
            reason=refusal.code.name,
            tier=progress.tier,
            organisation_class=progress.organisation_class,
        )
    log_event(
        "request_ended",
        request_id=progress.request_id,
        tier=progress.tier,
        organisation=progress.organisation,
        code=0 if refusal is None else refusal.code.number,
        outcome=str(outcome),
    )
