"""Memory of engines: the bound on granted tokens, large requests, and odd figures."""

import orjson
import pytest
from hypothesis import given, strategies as st
from relay_rig import RelayRig, configuration
from test_slot_queue import granted, slot_request

from acaciarelay.coordination.slot_queue import SlotQueue
from acaciarelay.platform.configuration import FormatError, decode_configuration
from acaciarelay.platform.endpoints import decode_report

REPORT = {"inFlight": 3, "waiting": 1, "kvUsed": 500, "kvTotal": 1000}


def new_queue(limit=8, memory=1000):
    queue = SlotQueue()
    queue.slot_limit = limit
    queue.memory_limit = memory
    return queue


def test_granted_requests_fit_into_the_memory():
    """Guards against preempted streams at an engine without memory for them."""
    queue = new_queue()
    for number in range(4):
        queue.enqueue("entry", slot_request(f"r{number}", tokens=400), 0.0)
    assert granted(queue) == ["r0", "r1"]
    queue.release("entry", "r0", 1.0)
    assert granted(queue, 1.0) == ["r2"]
    assert queue.release_link("entry") == 2
    queue.enqueue("entry", slot_request("whole", tokens=1000), 2.0)
    assert granted(queue, 2.0) == ["whole"]


def test_memory_is_unbounded_while_unknown():
    """Guards against engines that get nothing since their memory is not stated."""
    queue = new_queue(memory=0)
    for number in range(4):
        queue.enqueue("entry", slot_request(f"r{number}", tokens=10**9), 0.0)
    assert len(granted(queue)) == 4


def test_a_large_request_is_overtaken_by_its_own_size_at_most():
    """Guards against a large request that small ones overtake for ever."""
    queue = new_queue()
    queue.enqueue("entry", slot_request("running", tokens=600), 0.0)
    assert granted(queue) == ["running"]
    queue.enqueue("entry", slot_request("large", tokens=500), 0.1)
    overtaking = []
    for number in range(20):
        # Each small request ends before the next one arrives.
        name = f"small-{number}"
        queue.enqueue("entry", slot_request(name, tokens=100), 0.2 + number)
        overtaking += granted(queue, 0.2)
        queue.release("entry", name, 0.3)
    assert overtaking == [f"small-{number}" for number in range(5)]
    queue.release("entry", "running", 0.4)
    assert granted(queue, 0.4)[0] == "large"


def test_a_less_urgent_request_does_not_overtake_one_that_waits_for_memory():
    """Guards against an urgent kind that is served behind a less urgent one."""
    queue = new_queue()
    queue.enqueue("entry", slot_request("running", tokens=600), 0.0)
    assert granted(queue) == ["running"]
    queue.enqueue("entry", slot_request("large", rank=0, tokens=500), 0.1)
    queue.enqueue("entry", slot_request("small", rank=1, tokens=10), 0.1)
    assert granted(queue, 0.1) == []
    assert queue.memory_waits == [0]
    # The wait is predicted although slots are free.
    assert queue.predicted_waits_s(2, 0.1)[0] > 0.0


def test_a_request_that_never_fits_is_refused_at_once():
    """Guards against a request that holds up all others until its wait ends."""
    queue = new_queue()
    queue.enqueue("entry", slot_request("huge", tokens=1001), 0.0)
    refused = queue.pop_if_infeasible("entry", "huge", 0.0)
    assert refused is not None and not queue.waiting
    queue.enqueue("entry", slot_request("huge", tokens=1001), 0.0)
    assert len(queue.pop_infeasible(0.0)) == 1


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(1, 1000), st.booleans()), max_size=60
    )
)
def test_the_bound_holds_and_every_request_is_granted(steps):
    """Guards against tokens that are counted twice or never released."""
    queue = new_queue(limit=4)
    total = 0
    done = set()
    for number, (rank, tokens, release) in enumerate(steps):
        queue.enqueue("entry", slot_request(str(number), rank, tokens=tokens), 0.0)
        granted(queue, 0.0)
        held = [state.memory_tokens for state in queue.granted.values()]
        assert sum(held) <= 1000
        if release and queue.granted:
            _, request = next(iter(queue.granted))
            queue.release("entry", request, 0.0)
            done.add(request)
        total += 1
    while queue.granted or queue.waiting:
        granted(queue, 0.0)
        assert queue.granted, "requests wait although the engine is idle"
        _, request = next(iter(queue.granted))
        queue.release("entry", request, 0.0)
        done.add(request)
    assert len(done) == total


@pytest.mark.parametrize(
    ("value", "expected"),
    [(270_371, 270_371), (None, 0), (-1, 0), (0, 0), ("9", 0), (1e9, 0), (10**18, 0)],
)
def test_odd_capacities_are_unknown_ones(value, expected):
    """Guards against an operator's slip that stops all requests of a service."""
    raw = configuration()
    raw["services"][1]["engine"] = {"slots": 8}
    if value is not None:
        raw["services"][1]["engine"]["kvTokens"] = value
    capacity = decode_configuration(orjson.dumps(raw)).services["engine"].engine
    assert capacity is not None
    assert capacity.memory_tokens == expected
    assert capacity.slots == 8


@pytest.mark.parametrize("name", sorted(REPORT))
@pytest.mark.parametrize("value", [-1, 10**18, 1.5, "7", None, True, []])
def test_odd_figures_of_a_report_are_not_believed(name, value):
    """Guards against calculations with figures that no engine can have."""
    assert decode_report(orjson.dumps(REPORT)).memory_used == 500
    with pytest.raises(FormatError):
        decode_report(orjson.dumps(REPORT | {name: value}))


async def test_a_request_beyond_the_memory_of_all_engines_is_refused_finally():
    """Guards against a caller who is told to come back with what never fits."""
    async with RelayRig() as rig:
        value = configuration(2)
        value["services"][1]["engine"] = {"slots": 8, "kvTokens": 120}
        rig.configure(value)
        await rig.add_runner("engine")
        answer = await rig.call("/chat/a")
        assert answer.status == 413
        assert "retry-after" not in answer.headers
        smaller = await rig.call("/chat/a", Token_Usage="90,30")
        assert smaller.status == 200
        assert rig.arrivals == 1
