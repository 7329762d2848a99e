"""Guard against wrong totals, shares and percentiles in the report of the bench."""

import pytest

from acaciarelay_bench.load import Outcome
from acaciarelay_bench.report import (
    EngineRun,
    goodput_steps,
    group_row,
    percentile,
    ratio,
    recovery_s,
    render_table,
    retained_share,
    wasted_prefill,
)


def outcome(**changes: object) -> Outcome:
    fields: dict[str, object] = {
        "phase": "base",
        "caller": "home/normal",
        "organisation": "home",
        "request_class": "normal",
        "due_at": 10.0,
        "answer_tokens": 100,
        "timeout_s": 5.0,
        "attempts": 1,
    }
    return Outcome(**{**fields, **changes})  # type: ignore[arg-type]


def answered(ended_at: float, **changes: object) -> Outcome:
    return outcome(
        whole=True, in_time=True, first_token_at=10.5, ended_at=ended_at, **changes
    )


@pytest.mark.parametrize(
    ("share", "expected"), [(0.0, 1.0), (0.5, 2.0), (0.95, 4.0), (1.0, 4.0)]
)
def test_percentile_is_one_of_the_values(share: float, expected: float) -> None:
    assert percentile([4.0, 1.0, 3.0, 2.0], share) == expected


def test_empty_groups_have_no_percentile_and_no_share() -> None:
    assert percentile([], 0.5) is None
    assert ratio(1, 0) is None
    assert group_row("none", [], 10.0).good_share is None


def test_only_answers_in_time_count_as_goodput() -> None:
    late = outcome(whole=True, in_time=False, ended_at=30.0)
    refused = outcome(codes=[300, 300], attempts=2)
    unfinished = outcome(attempts=0)
    row = group_row("all", [answered(12.0), late, refused, unfinished], 10.0)
    assert (row.offered, row.good, row.good_share) == (4, 1, 0.25)
    assert row.good_tokens_per_s == 10.0
    assert row.first_token_p50_s == row.first_token_p95_s == 0.5
    assert row.attempts == 4
    assert row.refusals == {"300": 2, "late": 1, "open": 1}


def test_retained_share_compares_shares_and_not_counts() -> None:
    base = group_row("base", [answered(12.0), outcome(codes=[300])], 10.0)
    half = group_row("half", [answered(12.0), *[outcome(codes=[300])] * 3], 10.0)
    assert retained_share(base, half) == 0.5
    assert retained_share(group_row("none", [], 1.0), half) is None


def test_steps_count_answers_by_their_end() -> None:
    outcomes = [answered(end) for end in (19.9, 20.0, 21.9, 22.0, 26.0)]
    outcomes.append(outcome(whole=True, ended_at=20.5))
    assert goodput_steps(outcomes, 20.0, 6.0) == [2, 1, 0]


def test_recovery_requires_a_lasting_level() -> None:
    assert recovery_s(100.0, [100, 100, 100]) == 0.0
    assert recovery_s(100.0, [50, 70, 100, 96, 94]) == 4.0
    # A later peak does not compensate for a dip.
    assert recovery_s(100.0, [100, 100, 80, 80, 150, 150]) == 6.0
    # A short peak while the backlog is answered is not a recovery.
    assert recovery_s(100.0, [100, 100, 50, 50, 50]) is None
    assert recovery_s(100.0, []) is None


def test_prefill_of_a_request_without_complete_answer_is_wasted() -> None:
    runs = [
        EngineRun(request_id="a", tier="1", start=1.0, prefill_tokens=100),
        EngineRun(request_id="b", tier="1", start=2.0, prefill_tokens=30),
        EngineRun(request_id="c", tier="2", start=2.0, prefill_tokens=7),
        EngineRun(request_id="b", tier="1", start=9.0, prefill_tokens=30),
    ]
    assert wasted_prefill(runs, {"a"}, 1.0, 9.0) == {"1": (30, 130), "2": (7, 7)}


def test_table_renders_missing_values_and_counts() -> None:
    table = render_table(["a", "b", "c"], [[None, 0.25, {"300": 2}], ["x", 12.34, {}]])
    assert table.splitlines()[2:] == ["| - | 0.250 | 300:2 |", "| x | 12.3 | - |"]
