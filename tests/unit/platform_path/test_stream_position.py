"""Position of a caller in a stream, over the runs that bring its events."""

import pytest

from acaciarelay.state.stream_position import (
    ContradictionError,
    OutOfOrderError,
    StreamEvent,
    StreamPosition,
    UnprovenEndError,
)


def events(first, last, text="piece"):
    return [
        StreamEvent(f"id: {number}\ndata: {text} {number}\n\n".encode(), number)
        for number in range(first, last + 1)
    ]


def begun(last):
    """Return the position of a stream whose first run brought some events."""
    position = StreamPosition()
    assert position.start_run(False) is None
    assert len(position.advance(events(1, last))) == last
    return position


def test_a_run_repeats_the_last_event_of_the_answer():
    position = begun(4)
    assert position.start_run(True) == 3
    assert position.advance(events(4, 6)) == events(5, 6)
    position.check_end()
    assert position.last_event == 6


def test_a_run_that_follows_a_first_event_begins_anew():
    """Guards against an event number before the first one."""
    position = begun(1)
    assert position.start_run(True) is None
    assert position.advance(events(1, 3)) == events(2, 3)


def test_a_callers_wish_is_forwarded_as_it_is():
    position = StreamPosition(7)
    assert position.start_run(False) == 7
    assert position.advance(events(8, 9)) == events(8, 9)
    position.check_end()


def test_an_end_without_an_event_proves_nothing():
    """Guards against a whole answer of which the caller lacks a part."""
    position = StreamPosition(7)
    position.start_run(False)
    with pytest.raises(UnprovenEndError):
        position.check_end()
    assert position.start_run(True) == 6
    assert position.advance(events(7, 7)) == []
    position.check_end()


def test_an_engine_without_the_last_event_contradicts_the_former_run():
    """Guards against events of a faulty engine that pass for a part of the stream."""
    position = begun(20)
    assert position.start_run(True) == 19
    with pytest.raises(ContradictionError):
        position.check_end()


def test_a_run_that_begins_behind_the_last_event_has_it():
    """Guards against sound runs that go on without the repeated event."""
    position = begun(4)
    position.start_run(True)
    assert position.advance(events(5, 6)) == events(5, 6)
    position.check_end()


def test_a_run_that_leaves_out_an_event_is_out_of_order():
    position = begun(4)
    position.start_run(True)
    with pytest.raises(OutOfOrderError):
        position.advance(events(6, 7))
    assert position.last_event == 4


def test_what_runs_write_in_an_event_may_differ():
    """Guards against sound runs that are taken for contradictions."""
    position = begun(2)
    position.start_run(True)
    assert position.advance(events(2, 3, "other")) == events(3, 3, "other")


def test_a_stream_without_an_event_may_end():
    position = StreamPosition()
    position.start_run(False)
    position.check_end()
    position = StreamPosition(0)
    assert position.start_run(False) == 0
    position.check_end()
