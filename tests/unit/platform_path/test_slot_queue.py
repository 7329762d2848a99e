"""Slot queue: order by rank, fair shares, reserved slots, and lost entries."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.slot_queue import SlotQueue
from acaciarelay.protocol.link_messages import SlotRequest


def slot_request(
    request,
    rank=1,
    organisation="workshop",
    tokens=100,
    left_s=5.0,
    wait_s=5.0,
    late=False,
    below_floor=False,
):
    return SlotRequest(
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
        below_floor=below_floor,
    )


def new_queue(limit=1):
    result = SlotQueue()
    result.slot_limit = limit
    return result


def granted(queue, now=0.0, untracked_runs=0):
    return [
        state.slot_request.request for state in queue.next_grants(now, untracked_runs)
    ]


def test_more_urgent_request_goes_first():
    """Guards against serving ranks in order of arrival."""
    queue = new_queue()
    queue.enqueue("entry", slot_request("late", rank=2), 0.0)
    queue.enqueue("entry", slot_request("urgent", rank=0), 0.1)
    assert granted(queue) == ["urgent"]


def test_a_request_below_its_floor_goes_first():
    """Guards against a starved rank that waits behind all urgent requests."""
    queue = new_queue()
    queue.enqueue("entry", slot_request("urgent", rank=0), 0.0)
    queue.enqueue("entry", slot_request("calm", rank=2, below_floor=True), 0.1)
    assert granted(queue) == ["calm"]


def test_a_request_below_its_floor_waits_behind_no_others():
    """Guards against refusing a starved rank for the wait of the urgent ones."""
    queue = new_queue()
    for number in range(20):
        queue.enqueue("entry", slot_request(f"urgent-{number}", rank=0), 0.0)
    granted(queue)
    for name, below_floor in (("calm", False), ("starved", True)):
        calm = slot_request(name, rank=2, wait_s=0.3, below_floor=below_floor)
        queue.enqueue("entry", calm, 0.0)
    assert queue.pop_if_infeasible("entry", "calm", 0.0) is not None
    assert queue.pop_if_infeasible("entry", "starved", 0.0) is None


def test_small_organisation_is_not_behind_a_large_one():
    """Guards against head-of-line blocking within a rank."""
    queue = new_queue()
    for number in range(10):
        queue.enqueue(
            "entry", slot_request(f"large-{number}", organisation="dealer"), 0.0
        )
    queue.enqueue("entry", slot_request("small", organisation="caller"), 0.1)
    order = []
    for _ in range(3):
        order += granted(queue)
        queue.release("entry", order[-1], 1.0)
    assert "small" in order[:2]


def test_slots_of_a_lost_entry_are_released():
    """Guards against slots that a dead entry holds for ever."""
    queue = new_queue(2)
    queue.enqueue("one", slot_request("a"), 0.0)
    queue.enqueue("one", slot_request("b"), 0.0)
    queue.enqueue("one", slot_request("waiting"), 0.0)
    queue.enqueue("two", slot_request("c"), 0.0)
    assert granted(queue) == ["a", "b"]
    assert queue.release_link("one") == 2
    assert granted(queue) == ["c"]


def test_request_that_can_be_on_time_goes_before_a_late_one():
    """Guards against requests that miss their deadline because late ones go first."""
    queue = new_queue()
    queue.enqueue("one", slot_request("late", late=True), 0.0)
    queue.enqueue("one", slot_request("fresh"), 0.1)
    assert granted(queue) == ["fresh"]


def serve(queue, rank, count, every_s, hold_s, start=0.0):
    """Serve a series of requests of one rank; return when the last one arrived."""
    ending = []
    at = start
    for number in range(count):
        at = start + number * every_s
        while ending and ending[0][0] <= at:
            ended_at, request = ending.pop(0)
            queue.release("one", request, ended_at)
        request = f"{rank}-{number}"
        queue.enqueue("one", slot_request(request, rank=rank), at)
        for state in queue.next_grants(at):
            ending.append((at + hold_s, state.slot_request.request))
    for _, request in list(queue.waiting):
        queue.release("one", request, at)
    for ended_at, request in ending:
        queue.release("one", request, ended_at)
    return at


def queue_with_history(limit=8):
    """Return a queue that served long answers of rank 2, then short ones of rank 0."""
    queue = new_queue(limit)
    now = serve(queue, 2, 20, 3.0, 2.0)
    now = serve(queue, 0, 200, 0.1, 0.3, now + 10.0)
    return queue, now


def burst(queue, now, rank, count):
    """Queue many requests of a rank and return how many get a slot."""
    for number in range(count):
        queue.enqueue("one", slot_request(f"burst-{rank}-{number}", rank=rank), now)
    return len(granted(queue, now))


def test_slots_are_reserved_against_long_answers():
    """Guards against long answers that hold every slot when an urgent burst begins."""
    queue, now = queue_with_history()
    assert burst(queue, now, 2, 8) == 4
    assert burst(queue, now, 0, 8) == 4


def test_two_slots_are_never_reserved():
    """Guards against a rank that never gets a slot."""
    queue = new_queue(8)
    now = serve(queue, 2, 20, 3.0, 2.0)
    now = serve(queue, 0, 400, 0.05, 0.4, now + 10.0)
    assert burst(queue, now, 2, 8) == 2


def test_no_slots_are_reserved_against_short_answers():
    """Guards against an engine left half idle for requests that end soon anyway."""
    queue, now = queue_with_history()
    assert burst(queue, now, 1, 8) == 8


def test_reservation_expires_without_urgent_requests():
    """Guards against slots reserved for urgent requests that no longer arrive."""
    queue, now = queue_with_history()
    assert burst(queue, now + 30.0, 2, 8) == 8


def test_request_that_cannot_start_in_time_is_refused_early():
    """Guards against callers that wait for a slot which can't be free in time."""
    queue = new_queue(1)
    now = serve(queue, 1, 20, 1.0, 0.9)
    queue.enqueue("one", slot_request("running"), now)
    granted(queue, now)
    queue.enqueue("one", slot_request("patient", wait_s=3.0), now)
    queue.enqueue("one", slot_request("short", wait_s=0.2), now)
    refused = [state.slot_request.request for state in queue.pop_infeasible(now)]
    assert refused == ["short"]
    assert ["patient"] == [s.slot_request.request for s in queue.waiting.values()]


def test_a_new_request_is_judged_as_in_the_whole_queue():
    """Guards against a request that waits for a check of all before it is refused."""
    for wait_s in (0.05, 0.2, 0.5, 1.0, 2.0, 4.0):
        judged = []
        for alone in (True, False):
            queue = new_queue(1)
            now = serve(queue, 1, 20, 1.0, 0.9)
            queue.enqueue("one", slot_request("running"), now)
            granted(queue, now)
            queue.enqueue("one", slot_request("urgent", rank=0, wait_s=9.0), now)
            queue.enqueue("one", slot_request("later", rank=3, wait_s=99.0), now)
            queue.enqueue("one", slot_request("new", wait_s=wait_s), now)
            if alone:
                judged.append(queue.pop_if_infeasible("one", "new", now) is not None)
                continue
            refused = [s.slot_request.request for s in queue.pop_infeasible(now)]
            judged.append("new" in refused)
        assert judged[0] == judged[1]
    assert queue.pop_if_infeasible("one", "unknown", now) is None


def test_nothing_is_refused_while_slots_are_free():
    """Guards against refusals at an idle engine."""
    queue = new_queue(2)
    queue.enqueue("one", slot_request("a", wait_s=0.01), 0.0)
    assert queue.pop_infeasible(0.0) == []


def test_runs_without_a_slot_count_against_the_limit():
    """Guards against a restarted agent that fills a full engine."""
    queue = new_queue(2)
    queue.enqueue("one", slot_request("a"), 0.0)
    assert granted(queue, untracked_runs=2) == []
    assert granted(queue, untracked_runs=1) == ["a"]


def test_request_past_its_deadline_gets_no_slot():
    """Guards against a slot granted to a caller that has timed out."""
    queue = new_queue()
    queue.enqueue("one", slot_request("old", left_s=0.5), 0.0)
    queue.enqueue("one", slot_request("new"), 1.0)
    assert granted(queue, now=1.0) == ["new"]


def test_expected_wait_grows_for_less_urgent_requests():
    """Guards against the same expected wait for all ranks."""
    queue = new_queue()
    queue.enqueue("one", slot_request("a", rank=0), 0.0)
    granted(queue)
    for number in range(5):
        queue.enqueue("one", slot_request(f"b-{number}", rank=0), 0.0)
    waits = queue.predicted_waits_s(3, 0.0)
    assert 0 < waits[0] <= waits[1] <= waits[2]


def test_unused_engine_expects_no_wait():
    """Guards against an agent that gets no requests because it has had none yet."""
    assert SlotQueue().predicted_waits_s(3, 0.0) == [0.0, 0.0, 0.0]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end", "lose", "grant"]),
        st.integers(0, 2),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(steps=STEPS)
def test_never_more_slots_than_the_limit(steps):
    """Guards against slots leaked or granted twice in any order of events."""
    queue = new_queue(3)
    held = set()
    for number, (kind, owner, request) in enumerate(steps):
        match kind:
            case "ask":
                key = (id(owner), str(request))
                if key not in queue.granted:
                    queue.enqueue(owner, slot_request(str(request)), float(number))
            case "end":
                queue.release(owner, str(request), float(number))
                held.discard((owner, str(request)))
            case "lose":
                queue.release_link(owner)
                held = {item for item in held if item[0] != owner}
            case "grant":
                for state in queue.next_grants(0.0, 0):
                    held.add((state.owner, state.slot_request.request))
        assert len(queue.granted) <= 3
        assert len(held) == len(queue.granted)
