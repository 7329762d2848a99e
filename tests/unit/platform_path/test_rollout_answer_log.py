"""Counts of entries: collection, merging, and their groups for the comparison."""

import attrs

from acaciarelay.coordination.rollout import AnswerCounts
from acaciarelay.coordination.rollout.answer_log import MAX_LIFETIMES, AnswerLog
from acaciarelay.state.rollout import (
    OTHER_ROUTES,
    TIME_BUCKETS,
    Phase,
    RolloutOrder,
    time_bucket,
)
from acaciarelay.state.store_era import StoreVersion

ORDER = RolloutOrder(
    service="chat", version="2", duration_s=12.0, revision=StoreVersion(1, 7)
)


def answer(counts, key, new=False, failed=False, route="/a", at=0.0, taken_s=0.1):
    counts.begin(key, route, "e1", new, at)
    counts.end(key, failed, at + taken_s)


def report(counts, phase=Phase.SHARE, now=1.0):
    return counts.report(1, phase, now)


def make_counts(lifetime="x", entry="a"):
    return AnswerCounts(ORDER, entry, lifetime)


def test_buckets_are_bounded():
    """Guards against a bucket beyond the last one, or below 0, for odd times."""
    assert time_bucket(0.0) == time_bucket(-1.0) == time_bucket(float("nan")) == 0
    assert time_bucket(0.002) == 4 and time_bucket(0.004) == 8
    assert time_bucket(1e9) == time_bucket(float("inf")) == TIME_BUCKETS - 1


def test_counts_hold_ended_and_running_requests():
    """Guards against answers that are counted twice, or under the wrong version."""
    counts = make_counts()
    answer(counts, 1)
    answer(counts, 2, new=True, failed=True)
    counts.end(2, False, 9.0)
    counts.begin(3, "/a", "e1", False, 0.5)
    counts.begin(4, "/a", "e2", True, 0.5)
    counts.forget(4)
    taken = report(counts)
    assert (taken.old["/a"].requests, taken.old["/a"].failures) == (1, 0)
    assert (taken.new["/a"].requests, taken.new["/a"].failures) == (1, 1)
    assert taken.old["/a"].times == ((time_bucket(0.1), 1),)
    assert taken.old["/a"].running == ((time_bucket(0.5), 1),)
    assert taken.new["/a"].times == () and taken.new["/a"].running == ()
    assert taken.old_running == 1 and taken.number == 1


def test_work_makes_unlike_requests_comparable():
    """Guards against long prompts that hide the slowness of a version."""
    counts = make_counts()
    counts.begin(1, "/a", "e1", False, 0.0, work=10.0)
    counts.end(1, False, 1.0)
    assert report(counts).old["/a"].times == ((time_bucket(0.1), 1),)


def test_many_routes_are_counted_together():
    """Guards against memory and messages that grow with 300 routes."""
    counts = make_counts()
    for number in range(300):
        answer(counts, number, route=f"/{number}")
    taken = report(counts)
    assert len(taken.old) == 17
    assert taken.old[OTHER_ROUTES].requests == 284
    log = AnswerLog()
    for entry in range(5):
        other = make_counts(entry=str(entry))
        for number in range(300):
            answer(other, number, route=f"/{entry}/{number}")
        log.add(report(other))
    assert len(log.before) <= 33
    assert log.old_total.requests == 1500


def test_many_engines_are_bounded():
    """Guards against a report that grows with the engines of years."""
    counts = make_counts()
    for number in range(1000):
        counts.begin(number, "/a", f"e{number}", False, 0.0)
        counts.end(number, False, 0.1)
    assert len(report(counts).engines) == 256


def test_engine_excess_is_relative_to_the_old_answers_of_a_route():
    """Guards against engines rated as slow because they got a slow route."""
    counts = make_counts()
    for key, (engine, route, taken_s) in enumerate(
        [("e1", "/a", 0.1), ("e2", "/a", 0.1), ("e1", "/b", 0.8), ("e2", "/b", 0.8)]
    ):
        counts.begin(key, route, engine, False, 0.0)
        counts.end(key, False, taken_s)
    assert {engine.excess for engine in report(counts).engines} == {0.0}


def test_repeated_and_older_reports_change_nothing():
    """Guards against failures counted twice after a message came twice or late."""
    counts = make_counts()
    log = AnswerLog()
    first = report(counts)
    answer(counts, 1, new=True, failed=True)
    second = report(counts)
    for taken in (first, second, second, first):
        log.add(taken)
    assert log.new_total.failures == 1
    assert log.take_slice()["/a"].new_failures == 1


def test_lifetimes_of_one_entry_add_up():
    """Guards against counts of a dead process that a new one replaces."""
    log = AnswerLog()
    for lifetime in ("x", "y"):
        counts = make_counts(lifetime)
        answer(counts, 1, new=True, failed=True)
        log.add(report(counts))
    assert log.new_total.failures == 2 and len(log.totals()) == 2
    assert log.last_reports["a"].lifetime == "y"


def test_restored_totals_are_replaced_by_the_report_of_that_lifetime():
    """Guards against failures counted twice by the next coordinator."""
    counts = make_counts()
    for key in range(3):
        answer(counts, key, new=True, failed=True)
    former = AnswerLog()
    former.add(report(counts))
    kept = former.totals()
    log = AnswerLog()
    log.restore(kept)
    log.restore(kept)
    assert log.new_total.failures == 3 and log.totals() == kept
    assert log.before[OTHER_ROUTES].new_failures == 3
    log.add(report(counts))
    assert log.new_total.failures == 3
    assert log.before[OTHER_ROUTES].new_failures == 0
    assert log.before["/a"].new_failures == 3


def test_lifetimes_are_bounded():
    """Guards against a row that grows with each start of an entry."""
    log = AnswerLog()
    for number in range(300):
        log.add(report(make_counts(str(number))))
    assert len(log.totals()) == MAX_LIFETIMES


def test_shrinking_counts_are_ignored():
    """Guards against negative counts from a wrong report."""
    counts = make_counts()
    log = AnswerLog()
    answer(counts, 1)
    first = report(counts)
    log.add(first)
    log.add(attrs.evolve(first, number=9, old={}))
    log.add(attrs.evolve(first, number=10))
    slices = log.take_slice()
    assert all(one.old_requests >= 0 for one in slices.values())
    assert log.old_total.requests >= 1


def test_unanswered_requests_count_as_slow_once():
    """Guards against a version that never answers and so shows no long time."""
    counts = make_counts()
    log = AnswerLog()
    log.add(report(counts))
    for key in range(30):
        answer(counts, key)
    log.add(report(counts))
    log.take_slice()
    counts.begin(50, "/a", "e2", True, 1.0)
    log.add(report(counts, now=1.2))
    assert sum(log.take_slice()["/a"].new_times.values()) == 0
    for now in (2.0, 3.0):
        log.add(report(counts, now=now))
    assert sum(log.take_slice()["/a"].new_times.values()) == 1
    counts.end(50, False, 4.0)
    log.add(report(counts, now=4.0))
    assert sum(log.take_slice()["/a"].new_times.values()) == 0


def test_full_traffic_is_kept_apart():
    """Guards against answers under full traffic compared with nothing."""
    counts = make_counts()
    log = AnswerLog()
    log.add(report(counts))
    answer(counts, 1)
    log.add(report(counts, Phase.FULL))
    answer(counts, 2, new=True, failed=True)
    answer(counts, 3)
    log.add(report(counts, Phase.FULL))
    assert log.full["/a"].old_requests == 2 and log.full["/a"].new_failures == 1
    assert sum(log.full["/a"].old_times.values()) == 1
    assert log.take_slice()["/a"].new_requests == 0
