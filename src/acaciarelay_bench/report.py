"""Arithmetic and tables of results."""

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
    """Return the nearest-rank percentile, or ``None`` without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def ratio(part: float, whole: float) -> float | None:
    """Return a quotient, or ``None`` when it is not defined."""
    return part / whole if whole else None


@attrs.frozen(kw_only=True)
class GroupRow:
    """Sum up a group of requests; waits are in seconds from the due time."""

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
    """Sum up requests that were due in a phase of the given length."""
    good = [item for item in outcomes if item.in_time]
    waits = []
    for item in good:
        if item.first_token_at is not None:
            waits.append(item.first_token_at - item.due_at)
    codes = collections.Counter(str(code) for item in outcomes for code in item.codes)
    late = sum(1 for item in outcomes if item.whole and not item.in_time)
    if late:
        codes["late"] = late
    open_at_end = sum(1 for item in outcomes if not item.whole and not item.codes)
    if open_at_end:
        codes["open"] = open_at_end
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


def kept(base: GroupRow, disturbed: GroupRow) -> float | None:
    """Return the goodput share kept relative to the base phase."""
    if base.good_share is None or disturbed.good_share is None:
        return None
    return ratio(disturbed.good_share, base.good_share)


def goodput_steps(
    outcomes: Iterable[Outcome], start: float, seconds: float
) -> list[int]:
    """Count answers in time by the step of 2 s in which they ended."""
    steps = [0] * math.ceil(seconds / STEP_S)
    for item in outcomes:
        if not item.in_time or item.ended_at is None:
            continue
        index = math.floor((item.ended_at - start) / STEP_S)
        if 0 <= index < len(steps):
            steps[index] += 1
    return steps


def recovery_s(before: float, after: Sequence[int]) -> float | None:
    """Return the time in which goodput is back within 5% of its earlier level.

    ``before`` is the mean count of a step. Goodput counts as back at the first step
    from which the mean of no two neighbouring steps is below 95% of it. ``None`` when
    that is never so.
    """
    pairs = [(left + right) / 2 for left, right in itertools.pairwise(after)]
    low = [i for i, mean in enumerate(pairs) if mean < before * RECOVERED_SHARE]
    first = low[-1] + 1 if low else 0
    return first * STEP_S if first < len(pairs) else None


@attrs.frozen(kw_only=True)
class EngineRun:
    """Hold what the waste of one engine run is computed from."""

    request_id: str
    tier: str
    start: float
    prefill_tokens: int


def wasted_prefill(
    runs: Iterable[EngineRun], whole_ids: set[str], start: float, end: float
) -> dict[str, tuple[int, int]]:
    """Return prefill tokens, wasted and in all, by tier for runs begun in a period."""
    totals: dict[str, tuple[int, int]] = {}
    for run in runs:
        if not start <= run.start < end:
            continue
        wasted, total = totals.get(run.tier, (0, 0))
        if run.request_id not in whole_ids:
            wasted += run.prefill_tokens
        totals[run.tier] = (wasted, total + run.prefill_tokens)
    return totals


def render_cell(value: object) -> str:
    """Render one value of a table."""
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
