"""Places: order by rank, fairness, and what holds when entries are lost."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.place_queue import PlaceQueue
from acaciarelay.protocol.relay_messages import AskPlace


def ask(request, rank=1, organisation="workshop", tokens=100, left_s=5.0):
    return AskPlace(
        request=request,
        organisation=organisation,
        rank=rank,
        objective_left_s=0.4,
        time_left_s=left_s,
        prompt_tokens=tokens,
        output_tokens=0,
        slots=2,
        memory_tokens=1000,
        asked=1,
    )


def queue(limit=1):
    result = PlaceQueue()
    result.limit = limit
    return result


def granted(places, now=0.0, foreign=0):
    return [holder.ask.request for holder in places.next_grants(now, foreign)]


def test_more_urgent_request_goes_first():
    """Guards against order of arrival across ranks."""
    places = queue()
    places.ask("entry", ask("late", rank=2), 0.0)
    places.ask("entry", ask("urgent", rank=0), 0.1)
    assert granted(places) == ["urgent"]


def test_small_organisation_is_not_behind_a_large_one():
    """Guards against head-of-line blocking within a rank."""
    places = queue()
    for number in range(10):
        places.ask("entry", ask(f"large-{number}", organisation="dealer"), 0.0)
    places.ask("entry", ask("small", organisation="caller"), 0.1)
    order = []
    for _ in range(3):
        order += granted(places)
        places.end("entry", order[-1], 1.0)
    assert "small" in order[:2]


def test_places_of_a_lost_entry_are_freed():
    """Guards against places that a dead entry holds for ever."""
    places = queue(2)
    places.ask("one", ask("a"), 0.0)
    places.ask("one", ask("b"), 0.0)
    places.ask("one", ask("waiting"), 0.0)
    places.ask("two", ask("c"), 0.0)
    assert granted(places) == ["a", "b"]
    assert places.end_all("one") == 2
    assert granted(places) == ["c"]


def test_runs_without_a_place_count():
    """Guards against a restarted agent that fills a full engine."""
    places = queue(2)
    places.ask("one", ask("a"), 0.0)
    assert granted(places, foreign=2) == []
    assert granted(places, foreign=1) == ["a"]


def test_request_past_its_time_gets_no_place():
    """Guards against a place for a caller that has given up."""
    places = queue()
    places.ask("one", ask("old", left_s=0.5), 0.0)
    places.ask("one", ask("new"), 1.0)
    assert granted(places, now=1.0) == ["new"]


def test_expected_wait_grows_for_less_urgent_requests():
    """Guards against one wait for all ranks."""
    places = queue()
    places.ask("one", ask("a", rank=0), 0.0)
    granted(places)
    for number in range(5):
        places.ask("one", ask(f"b-{number}", rank=0), 0.0)
    waits = places.expected_waits(3, 0.0)
    assert 0 < waits[0] <= waits[1] <= waits[2]


def test_unused_engine_promises_no_wait():
    """Guards against an agent that nobody asks, since it has not been asked yet."""
    assert PlaceQueue().expected_waits(3, 0.0) == [0.0, 0.0, 0.0]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end", "lose", "grant"]),
        st.integers(0, 2),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(steps=STEPS)
def test_never_more_places_than_the_limit(steps):
    """Guards against places lost or given twice in any order of events."""
    places = queue(3)
    held = set()
    for number, (kind, owner, request) in enumerate(steps):
        match kind:
            case "ask":
                key = (id(owner), str(request))
                if key not in places.granted:
                    places.ask(owner, ask(str(request)), float(number))
            case "end":
                places.end(owner, str(request), float(number))
                held.discard((owner, str(request)))
            case "lose":
                places.end_all(owner)
                held = {item for item in held if item[0] != owner}
            case "grant":
                for holder in places.next_grants(0.0, 0):
                    held.add((holder.owner, holder.ask.request))
        assert len(places.granted) <= 3
        assert len(held) == len(places.granted)
