"""Checks of the load around stops: which requests were lost by the users' rule."""

import enum

import attrs
from relay_rig import RawAnswer
from stop_soak_runner import Span

__all__ = ["LOSSES", "Request", "Stop", "Verdict", "describe", "judge"]

# A request that crosses the close, and isn't passed on, was sent so shortly before it.
LOSS_SLACK_S = 0.2
# A request sent later than this after SIGTERM must not be cut.
SENT_EARLY_S = 3.0
# The part of the grace time, at its end, in which a cut is excused.
LAST_PART = 1 / 6
# A stop is planned work until so long after its grace time.
AFTER_GRACE_S = 1.0
# Differences between the clocks of the processes at a time limit.
LIMIT_SLACK_S = 0.05


class Verdict(enum.StrEnum):
    """How a request ended; the values stand in reports."""

    ANSWERED = "answered"
    REFUSED = "refused"
    # Cut at its time limit.
    TIME_LIMIT = "time limit"
    # Not passed on, and sent just before the connection was closed.
    CROSSED_CLOSE = "crossed the close"
    # Cut near the end of the grace time, while its runner was at work.
    STILL_AT_WORK = "still at work"
    LOST = "LOST"
    CUT_WITHOUT_STOP = "LOST beside no stop"
    # Without an end long after its time limit.
    SILENT = "SILENT"


LOSSES = (Verdict.LOST, Verdict.CUT_WITHOUT_STOP, Verdict.SILENT)


@attrs.define
class Request:
    """A request as its caller saw it; times are monotonic, in seconds."""

    attempt: str
    target: str
    limit_s: float
    entry: str
    pid: int = 0
    # Its number on its connection.
    number: int = 1
    work_s: float = 0.0
    began_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    reads_again_at: float = 0.0
    gave_up: bool = False
    answer: RawAnswer | None = None


@attrs.define
class Stop:
    """A SIGTERM to the process of an entry; times are monotonic, in seconds."""

    entry: str
    pid: int
    at: float
    exited_at: float = 0.0
    exit_code: int = 0


def judge(
    request: Request,
    spans: list[Span],
    stops: list[Stop],
    grace_s: float,
    slack_s: float = 0.0,
) -> Verdict:
    """Return how a request ended, by the users' rule.

    ``slack_s`` allows for processes that wait for the processor.
    """
    answer = request.answer
    if answer is not None and answer.complete:
        return Verdict.REFUSED if answer.status == 503 else Verdict.ANSWERED
    stop = find_stop(request, stops)
    closed_at = request.ended_at
    if stop is not None:
        # A caller that reads slowly sees the end later than its process.
        closed_at = min(closed_at, stop.exited_at)
    limit_s = request.limit_s - LIMIT_SLACK_S - slack_s
    if closed_at - request.began_at >= limit_s:
        return Verdict.SILENT if request.gave_up else Verdict.TIME_LIMIT
    if not spans and closed_at - request.sent_at < LOSS_SLACK_S + slack_s:
        return Verdict.CROSSED_CLOSE
    if stop is None or closed_at > stop.at + grace_s + AFTER_GRACE_S + slack_s:
        return Verdict.CUT_WITHOUT_STOP
    last_part_at = stop.at + grace_s * (1 - LAST_PART) - slack_s
    worked_late = any(span.ended_at >= last_part_at for span in spans)
    if worked_late and request.sent_at <= stop.at + SENT_EARLY_S + slack_s:
        return Verdict.STILL_AT_WORK
    return Verdict.LOST


def find_stop(request: Request, stops: list[Stop]) -> Stop | None:
    """Return the stop of the process that a request was sent to."""
    for stop in stops:
        if stop.pid == request.pid and request.ended_at >= stop.at:
            return stop
    return None


def describe(
    request: Request, spans: list[Span], stops: list[Stop], lines: list[dict]
) -> str:
    """Return what caller, runners and entry saw, in seconds after SIGTERM."""
    stop = find_stop(request, stops)
    zero = stop.at if stop is not None else request.began_at
    times = {
        "sent": request.sent_at,
        "ended": request.ended_at,
        "exited": stop.exited_at if stop is not None else 0.0,
        "reads_again": request.reads_again_at,
    }
    seen = ", ".join(f"{name} {at - zero:.3f}" for name, at in times.items() if at)
    worked = [
        (round(span.began_at - zero, 3), round(span.ended_at - zero, 3), span.complete)
        for span in spans
    ]
    status = request.answer.status if request.answer is not None else None
    return (
        f"{request.attempt} {request.target} {request.entry} number {request.number}, "
        f"limit {request.limit_s} work {request.work_s:.1f} status {status}; {seen}; "
        f"runs {worked}; entry {lines}"
    )
