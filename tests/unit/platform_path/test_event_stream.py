"""Splitting of event streams: any cuts, any bytes, any separators."""

import itertools
import re
import time

import pytest
from hypothesis import given, strategies as st

from acaciarelay.transport.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    ForeignDataError,
)

fillers = st.sampled_from(
    [b"\n", b"\r\n", b": comment\n", b":\r\n\r\n", b"retry: 5\n\n"]
)
ends = st.sampled_from([b"\n", b"\r\n"])
fields = st.sampled_from([b"data: a", b"data", b"event: token", b"weight-versions: 2"])


@st.composite
def streams(draw):
    """Draw the pieces of a sound stream: for each event, fillers and then its bytes."""
    pieces = []
    for number in range(1, draw(st.integers(0, 6)) + 1):
        filler = b"".join(draw(st.lists(fillers, max_size=3)))
        end = draw(ends)
        lines = [b"id: %d" % number, *draw(st.lists(fields, max_size=3))]
        pieces.append((filler, b"".join(line + end for line in lines) + end))
    return pieces


def split(data, sizes):
    """Feed data in pieces of the given sizes, and then the rest."""
    splitter = EventSplitter()
    events = []
    for size in (*sizes, len(data)):
        splitter.feed(data[:size])
        data = data[size:]
        while splitter.has_more:
            events += splitter.next_events()
    return splitter, events


sizes = st.lists(st.integers(1, 40), max_size=30)


@given(streams(), sizes)
def test_events_of_a_sound_stream_are_found_however_it_is_cut(pieces, sizes):
    data = b"".join(filler + event for filler, event in pieces)
    splitter, events = split(data, sizes)
    assert [event.data for event in events] == [event for _, event in pieces]
    assert [event.number for event in events] == list(range(1, len(pieces) + 1))
    assert not splitter.has_partial_event


@given(streams(), st.binary(max_size=60), sizes)
def test_any_bytes_are_refused_or_left_out_or_make_further_events(
    pieces, foreign, sizes
):
    """Guards against bytes of any kind that end the process or pass for an event."""
    sound = [event for _, event in pieces]
    splitter = EventSplitter()
    events = []
    data = b"".join(sound) + foreign + b"\n\nid: 3\ndata: other\n\n"
    try:
        for size in (*sizes, len(data)):
            splitter.feed(data[:size])
            data = data[size:]
            while splitter.has_more:
                events += splitter.next_events()
    except ForeignDataError:
        assert splitter.has_more
    assert [event.data for event in events[: len(sound)]] == sound
    for before, after in itertools.pairwise(events):
        assert after.number == before.number + 1
    for event in events:
        assert re.search(rb"^id: ?%d\r?$" % event.number, event.data, re.MULTILINE)


# Data in which a pattern may look for an end again and again.
ODD = {
    "names": b"a" * MAX_EVENT_BYTES,
    "values": b"data:" + b"a:" * (MAX_EVENT_BYTES // 2),
    "lines": b"data\n" * (MAX_EVENT_BYTES // 5),
    "lines and a bad one": b"data\n" * (MAX_EVENT_BYTES // 5) + b"/\n\n",
    "carriage returns": b"data:\r" * (MAX_EVENT_BYTES // 6),
    "comments": b":\n" * (MAX_EVENT_BYTES // 2),
}


@pytest.mark.parametrize("odd", ODD)
def test_odd_bytes_are_searched_once(odd):
    """Guards against a search that takes time by the square of the bytes."""
    began = time.process_time()
    data = ODD[odd]
    splitter = EventSplitter()
    try:
        for start in range(0, len(data), 1024):
            splitter.feed(data[start : start + 1024])
            while splitter.has_more:
                splitter.next_events()
    except ForeignDataError:
        pass
    # The square of the bytes would be 10 s and more.
    assert time.process_time() - began < 0.5
