"""Statistics and tables of measurement results."""

import collections
import itertools
import math
from collections.abc import Iterable, Sequence

import attrs

from acaciarelay_bench.load import Outcome

__all__ = [
    "GroupRow",
    "goodput_steps",
    "group_row",
    "percentile",
    "ratio",
    "recovery_s",
    "render_table",
    "wasted_prefill",
]

STEP_S = 2.0
RECOVERED_SHARE = 0.95


def percentile(values: Iterable[float], share: float) -> float | None:
    """Return the nearest-rank percentile, or ``None`` if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def ratio(part: float, whole: float) -> float | None:
    """Return a quotient, or ``None`` if the divisor is 0."""
    return part / whole if whole else None


@attrs.frozen(kw_only=True)
class GroupRow:
    """Totals of a group of requests; times to first token count from the due time."""

    name: str
    offered: int
    good: int
    good_share: float | None
    good_tokens_per_s: float
    first_token_p50_s: float | None
    first_token_p95_s: float | None
    attempts: int
    refusals: dict[str, int]


def group_row(name: str, outcomes: Sequence[Outcome], seconds: float) -> GroupRow:
    """Return the totals of requests that were due in a phase of ``seconds``."""
    good = [item for item in outcomes if item.in_time]
    waits = []
    for item in good:
        if item.first_token_at is not None:
            waits.append(item.first_token_at - item.due_at)
    codes = collections.Counter(str(code) for item in outcomes for code in item.codes)
    late = sum(1 for item in outcomes if item.whole and not item.in_time)
    if late:
        codes["late"] = late
    unfinished = sum(1 for item in outcomes if not item.whole and not item.codes)
    if unfinished:
        codes["open"] = unfinished
    return GroupRow(
        name=name,
        offered=len(outcomes),
        good=len(good),
        good_share=ratio(len(good), len(outcomes)),
        good_tokens_per_s=sum(item.answer_tokens for item in good) / seconds,
        first_token_p50_s=percentile(waits, 0.5),
        first_token_p95_s=percentile(waits, 0.95),
        attempts=sum(item.attempts for item in outcomes),
        refusals=dict(sorted(codes.items())),
    )


def retained_share(base: GroupRow, disturbed: GroupRow) -> float | None:
    """Return the good share of a disturbed phase relative to the base phase."""
    if base.good_share is None or disturbed.good_share is None:
        return None
    return ratio(disturbed.good_share, base.good_share)


def goodput_steps(
    outcomes: Iterable[Outcome], start: float, seconds: float
) -> list[int]:
    """Count the answers in time by the 2 s step in which they ended."""
    steps = [0] * math.ceil(seconds / STEP_S)
    for item in outcomes:
        if not item.in_time or item.ended_at is None:
            continue
        index = math.floor((item.ended_at - start) / STEP_S)
        if 0 <= index < len(steps):
            steps[index] += 1
    return steps


def recovery_s(before: float, after: Sequence[int]) -> float | None:
    """Return the time until goodput is back within 5% of its earlier level.

    ``before`` is the earlier mean count of a step. Goodput has recovered at the first
    step from which the mean of any two consecutive steps is at least 95% of it.
    Returns ``None`` if that does not happen within ``after``.
    """
    pairs = [(left + right) / 2 for left, right in itertools.pairwise(after)]
    low = [i for i, mean in enumerate(pairs) if mean < before * RECOVERED_SHARE]
    first = low[-1] + 1 if low else 0
    return first * STEP_S if first < len(pairs) else None


@attrs.frozen(kw_only=True)
class EngineRun:
    """A run of a request at an engine; ``start`` is a monotonic time in seconds."""

    request_id: str
    tier: str
    start: float
    prefill_tokens: int


def wasted_prefill(
    runs: Iterable[EngineRun], completed_ids: set[str], start: float, end: float
) -> dict[str, tuple[int, int]]:
    """Return wasted and total prefill tokens by tier, for runs started in a period.

    Prefill is wasted if the request of the run got no complete answer.
    """
    totals: dict[str, tuple[int, int]] = {}
    for run in runs:
        if not start <= run.start < end:
            continue
        wasted, total = totals.get(run.tier, (0, 0))
        if run.request_id not in completed_ids:
            wasted += run.prefill_tokens
        totals[run.tier] = (wasted, total + run.prefill_tokens)
    return totals


def render_cell(value: object) -> str:
    """Render one value of a table; ``None`` is a dash."""
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.3f}" if abs(value) < 10 else f"{value:.1f}"
        case dict():
            return " ".join(f"{key}:{count}" for key, count in value.items()) or "-"
        case _:
            return str(value)


def render_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Render a table in Markdown."""
    lines = ["| " + " | ".join(headings) + " |", "|" + " --- |" * len(headings)]
    for row in rows:
        lines.append("| " + " | ".join(render_cell(value) for value in row) + " |")
    return "\n".join(lines)
