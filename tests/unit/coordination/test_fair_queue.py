"""Guard against lost reservations, tier order violations, unfairness and starvation."""

from coordination_builders import reservation
from hypothesis import given, settings, strategies as st

from acaciarelay.coordination.fair_queue import FairQueue, Reservation
from acaciarelay.coordination.tier_queue import MAX_BYPASSES

QUANTUM = 500
HUGE = 10**9


def drain(queue: FairQueue, number: int = HUGE) -> list[Reservation]:
    taken = []
    while len(taken) < number and (item := queue.dequeue(HUGE, None)) is not None:
        taken.append(item)
    return taken


def fill(queue: FairQueue, organisation: str, number: int, tokens: int = 100) -> None:
    for index in range(number):
        name = f"{organisation}{index}"
        queue.add(reservation(name, organisation=organisation, tokens=tokens))


ADD = st.fixed_dictionaries(
    {
        "tier": st.integers(0, 3),
        "organisation": st.sampled_from("abcd"),
        "entry_id": st.sampled_from("01"),
        "tokens": st.integers(1, 5_000),
        "last_resort": st.booleans(),
        "deadline": st.integers(1, 60),
    }
)
REMOVALS = {
    "evict_below": lambda item, value: item.tier > value,
    "expire": lambda item, value: item.deadline <= value,
    "remove_entry": lambda item, value: item.entry_id == value,
    "remove": lambda item, value: item.request_id == value,
}
VALUES = st.integers(0, 60)
STEPS = st.lists(
    ADD
    | st.tuples(st.integers(0, 6_000), st.sampled_from([None, 0, 2]))
    | st.tuples(st.sampled_from(["evict_below", "expire"]), VALUES)
    | st.tuples(st.sampled_from(["remove_entry", "remove"]), VALUES.map(str))
    | st.integers(-9_999, 9_999),
    min_size=10,
    max_size=60,
)


class Model:
    """Run steps on a queue and on a plain dict, and compare them after each step."""

    def __init__(self, capacity: int) -> None:
        self.queue = FairQueue(capacity, QUANTUM)
        self.capacity = capacity
        self.waiting: dict[str, Reservation] = {}

    def step(self, number: int, step) -> None:
        match step:
            case dict():
                self.add(reservation(str(number), **step))
            case int():
                self.queue.correct_charge("a", 1, max(0, -step), max(0, step))
            case (str(kind), value):
                result = getattr(self.queue, kind)(value) or []
                removed = result if isinstance(result, list) else [result]
                left = {item.request_id for item in removed}
                for name, item in list(self.waiting.items()):
                    assert REMOVALS[kind](item, value) == (name in left)
                    if name in left:
                        del self.waiting[name]
            case (free_tokens, floor):
                self.dequeue(free_tokens, floor)

    def add(self, item: Reservation) -> None:
        evicted = self.queue.add(item)
        self.waiting[item.request_id] = item
        assert len(evicted) == max(0, len(self.waiting) - self.capacity)
        for victim in evicted:
            lowest = max(i.tier for i in self.waiting.values())
            tier = [i for i in self.waiting.values() if i.tier == lowest]
            peers = [i for i in tier if not i.last_resort]
            sums: dict[str, int] = {}
            for i in peers:
                sums[i.organisation] = sums.get(i.organisation, 0) + i.tokens
            if peers:
                assert sums[victim.organisation] == max(sums.values())
                peers = [i for i in peers if i.organisation == victim.organisation]
            assert victim is (peers or tier)[-1]
            del self.waiting[victim.request_id]

    def dequeue(self, free_tokens: int, floor: int | None) -> None:
        head = self.queue.head()
        taken = self.queue.dequeue(free_tokens, floor)
        if head is None:
            assert not self.waiting and taken is None
            return
        top = min(i.tier for i in self.waiting.values())
        urgent = [i for i in self.waiting.values() if i.tier == top and i.last_resort]
        assert head.tier == top and (head.last_resort or not urgent)
        served = floor is None or top <= floor
        assert taken is head or not served or head.tokens > free_tokens
        if taken is not None:
            assert served and taken.tier == top and taken.tokens <= free_tokens
            assert self.waiting.pop(taken.request_id) is taken

    def check(self) -> None:
        assert len(self.queue) == len(self.waiting) <= self.capacity
        load = self.queue.waiting_counts()
        assert set(load) == {i.tier for i in self.waiting.values()}
        for tier, count in load.items():
            tokens = [i.tokens for i in self.waiting.values() if i.tier == tier]
            assert (count.waiting, count.waiting_tokens) == (len(tokens), sum(tokens))


@settings(max_examples=200, deadline=None)
@given(st.lists(ADD, min_size=10, max_size=25), STEPS, st.integers(1, 12))
def test_steps_agree_with_a_plain_model(first, steps, capacity) -> None:
    """Guards against loss, duplication, a wrong tier order and a wrong eviction."""
    model = Model(capacity)
    for number, step in enumerate(first + steps):
        model.step(number, step)
        model.check()
    rest = drain(model.queue)
    assert {item.request_id for item in rest} == set(model.waiting)
    assert [item.tier for item in rest] == sorted(item.tier for item in rest)


@settings(max_examples=100, deadline=None)
@given(
    st.lists(st.integers(1, 5), min_size=2, max_size=4),
    st.lists(st.integers(1, 10_000), min_size=20, max_size=60),
    st.integers(1, 2_000),
)
def test_shares_stay_within_the_bound(weights, sizes, quantum) -> None:
    """Guards against an organisation that gains by the lengths of its requests."""
    queue = FairQueue(HUGE, quantum)
    for index, tokens in enumerate(sizes * 4):
        owner = index % len(weights)
        values = dict(organisation=str(owner), weight=weights[owner], tokens=tokens)
        queue.add(reservation(str(index), **values))
    served = [0] * len(weights)
    left = [len(sizes) * 4 // len(weights)] * len(weights)
    while all(left):
        item = drain(queue, 1)[0]
        served[int(item.organisation)] += item.tokens
        left[int(item.organisation)] -= 1
        shares = [served[i] / weight for i, weight in enumerate(weights)]
        bound = 2 * quantum + max(sizes) / min(weights)
        assert max(shares) - min(shares) <= bound


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 39), st.integers(1, 5_000), st.integers(1, 5_000))
def test_a_single_request_waits_for_one_of_a_flood(before, flood, tokens) -> None:
    """Guards against 40 requests of one organisation delaying one of another."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "flood", 40, flood)
    drain(queue, before)
    queue.add(reservation("single", organisation="b", tokens=tokens))
    assert "single" in [item.request_id for item in drain(queue, 2)]


def test_a_large_head_is_bypassed_a_bounded_number_of_times() -> None:
    """Guards against a large request starved by small ones when few tokens are free."""
    queue = FairQueue(1_000, QUANTUM)
    queue.add(reservation("large", organisation="big", tokens=10_000))
    for index in range(50):
        queue.add(reservation(str(index), organisation=f"small{index}"))
    taken = [queue.dequeue(9_999, None) for _ in range(20)]
    assert taken[MAX_BYPASSES - 1] is not None and taken[MAX_BYPASSES] is None
    assert [item.request_id for item in drain(queue, 1)] == ["large"]


def test_a_deficit_from_actual_tokens_is_repaid() -> None:
    """Guards against an organisation that gains by underestimated requests."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "a", 10, 500)
    fill(queue, "b", 10, 500)
    queue.correct_charge("a", 1, 500, 2_400)
    queue.add(reservation("urgent", last_resort=True))
    assert drain(queue, 1)[0].request_id == "urgent"
    assert [item.organisation for item in drain(queue, 5)] == ["b"] * 4 + ["a"]


def test_an_idle_organisation_saves_no_credit() -> None:
    """Guards against a burst of an organisation that was idle for many rounds."""
    queue = FairQueue(1_000, QUANTUM)
    fill(queue, "busy", 200)
    drain(queue, 100)
    queue.correct_charge("idle", 1, 50_000, 0)
    fill(queue, "idle", 50)
    names = [item.organisation for item in drain(queue, 40)]
    assert 18 <= names.count("idle") <= 24


def test_a_denied_pull_is_refunded() -> None:
    """Guards against an organisation charged for work done at another agent."""
    queue = FairQueue(100, QUANTUM)
    queue.add(reservation("denied", tokens=5_000))
    fill(queue, "a", 3, 500)
    fill(queue, "b", 3, 500)
    queue.refund(drain(queue, 1)[0])
    assert "denied" not in queue
    assert [item.organisation for item in drain(queue, 4)].count("a") == 2


def test_a_reservation_that_becomes_last_resort_goes_first() -> None:
    """Guards against a duplicate when the entry updates a reservation."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "a", 5)
    queue.add(reservation("a4", last_resort=True))
    assert len(queue) == 5 and drain(queue, 1)[0].request_id == "a4"


def test_organisations_without_deficit_are_removed() -> None:
    """Guards against memory that grows with every organisation ever seen."""
    queue = FairQueue(100, QUANTUM)
    for index in range(5_000):
        fill(queue, f"organisation-{index}-", 1, 2 * QUANTUM)
        drain(queue)
    assert len(queue._tiers[1]._organisations) < 1_000
