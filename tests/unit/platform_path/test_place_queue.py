"""Places: order by rank, fairness, and what holds when entries are lost."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.place_queue import PlaceQueue
from acaciarelay.protocol.relay_messages import AskPlace


def ask(
    request,
    rank=1,
    organisation="workshop",
    tokens=100,
    left_s=5.0,
    wait_s=5.0,
    late=False,
):
    return AskPlace(
        request=request,
        organisation=organisation,
        rank=rank,
        late=late,
        wait_s=wait_s,
        time_left_s=left_s,
        prompt_tokens=tokens,
        output_tokens=0,
        slots=2,
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


def test_request_that_can_be_on_time_goes_before_a_late_one():
    """Guards against on-time answers lost to requests that are late in any case."""
    places = queue()
    places.ask("one", ask("late", late=True), 0.0)
    places.ask("one", ask("fresh"), 0.1)
    assert granted(places) == ["fresh"]


def serve(places, rank, count, every_s, hold_s, start=0.0):
    """Let requests of one rank come and go; return when the last one came."""
    ending = []
    at = start
    for number in range(count):
        at = start + number * every_s
        while ending and ending[0][0] <= at:
            ended_at, request = ending.pop(0)
            places.end("one", request, ended_at)
        request = f"{rank}-{number}"
        places.ask("one", ask(request, rank=rank), at)
        for holder in places.next_grants(at):
            ending.append((at + hold_s, holder.ask.request))
    for _, request in list(places.waiting):
        places.end("one", request, at)
    for ended_at, request in ending:
        places.end("one", request, ended_at)
    return at


def accustomed(limit=8):
    """Return places that served long answers of rank 2 and then brief urgent ones."""
    places = queue(limit)
    now = serve(places, 2, 20, 3.0, 2.0)
    now = serve(places, 0, 200, 0.1, 0.3, now + 10.0)
    return places, now


def burst(places, now, rank, count):
    """Ask for places for many requests of a rank and return how many get one."""
    for number in range(count):
        places.ask("one", ask(f"burst-{rank}-{number}", rank=rank), now)
    return len(granted(places, now))


def test_places_are_kept_from_long_answers():
    """Guards against long answers that hold every place when a burst begins."""
    places, now = accustomed()
    assert burst(places, now, 2, 8) == 4
    assert burst(places, now, 0, 8) == 4


def test_two_places_stay_open_to_long_answers():
    """Guards against a kind of request that never gets a place."""
    places = queue(8)
    now = serve(places, 2, 20, 3.0, 2.0)
    now = serve(places, 0, 400, 0.05, 0.4, now + 10.0)
    assert burst(places, now, 2, 8) == 2


def test_no_places_are_kept_from_brief_answers():
    """Guards against an engine left half idle by requests that end soon."""
    places, now = accustomed()
    assert burst(places, now, 1, 8) == 8


def test_places_are_open_again_when_urgent_requests_stay_away():
    """Guards against places that stay empty for requests that no longer come."""
    places, now = accustomed()
    assert burst(places, now + 30.0, 2, 8) == 8


def test_hopeless_request_is_refused_before_its_wait_is_over():
    """Guards against callers held for a place that can't come in time."""
    places = queue(1)
    now = serve(places, 1, 20, 1.0, 0.9)
    places.ask("one", ask("running"), now)
    granted(places, now)
    places.ask("one", ask("patient", wait_s=3.0), now)
    places.ask("one", ask("short", wait_s=0.2), now)
    hopeless = [holder.ask.request for holder in places.take_hopeless(now)]
    assert hopeless == ["short"]
    assert ["patient"] == [h.ask.request for h in places.waiting.values()]


def test_nothing_is_hopeless_while_places_are_free():
    """Guards against refusals beside an idle engine."""
    places = queue(2)
    places.ask("one", ask("a", wait_s=0.01), 0.0)
    assert places.take_hopeless(0.0) == []


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
