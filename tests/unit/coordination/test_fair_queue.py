"""Guard against lost reservations, passed tiers and unfair or starved organisations."""

from coordination_builders import reservation
from hypothesis import given, settings, strategies as st

from acaciarelay.coordination.fair_queue import FairQueue, Reservation
from acaciarelay.coordination.tier_queue import MAX_BYPASSES

QUANTUM = 500
HUGE = 10**9


def drain(queue: FairQueue, number: int = 10**6) -> list[Reservation]:
    taken = []
    while len(taken) < number and (item := queue.take(HUGE, None)) is not None:
        taken.append(item)
    return taken


def fill(queue: FairQueue, organisation: str, number: int, **changes) -> None:
    for index in range(number):
        name = f"{organisation}{index}"
        queue.add(reservation(name, organisation=organisation, **changes))


def expected_victim(waiting: dict[str, Reservation]) -> str:
    """Find the victim by a plain scan; ``waiting`` is in order of arrival."""
    lowest = max(item.tier for item in waiting.values())
    tier = [item for item in waiting.values() if item.tier == lowest]
    pool = [item for item in tier if not item.last_resort]
    if not pool:
        return tier[-1].request_id
    sums: dict[str, int] = {}
    for item in pool:
        sums[item.organisation] = sums.get(item.organisation, 0) + item.tokens
    # Ties go to either organisation, so the caller compares sums and not names.
    most = max(sums, key=lambda name: sums[name])
    return [item for item in pool if item.organisation == most][-1].request_id


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"),
            st.integers(0, 3),  # tier
            st.sampled_from("abcd"),
            st.integers(1, 5_000),  # tokens
            st.booleans(),  # last resort
            st.integers(1, 60),  # deadline
        ),
        st.tuples(st.just("take"), st.integers(0, 6_000), st.integers(0, 4)),
        st.tuples(st.just("remove"), st.integers(0, 80)),
        st.tuples(st.just("charge"), st.sampled_from("abcd"), st.integers(-9999, 9999)),
        st.tuples(st.just("evict_below"), st.integers(0, 3)),
        st.tuples(st.just("expire"), st.integers(0, 60)),
        st.tuples(st.just("remove_entry"), st.sampled_from("01")),
    ),
    max_size=80,
)


class Model:
    """Run steps on a queue and on a plain dict, and compare them after each step."""

    def __init__(self, capacity: int) -> None:
        self.queue = FairQueue(capacity, QUANTUM)
        self.capacity = capacity
        self.waiting: dict[str, Reservation] = {}
        self.added = 0

    def gone(self, items: list[Reservation], expected: set[str]) -> None:
        names = [item.request_id for item in items]
        assert sorted(names) == sorted(expected)
        for name in names:
            del self.waiting[name]

    def step(self, step: tuple) -> None:
        match step:
            case ("add", tier, organisation, tokens, last_resort, deadline):
                self.add(tier, organisation, tokens, last_resort, deadline)
            case ("take", room, floor):
                self.take(room, None if floor == 4 else floor)
            case ("remove", number):
                name = str(number)
                removed = self.queue.remove(name)
                known = {name} & set(self.waiting)
                self.gone([removed] if removed else [], known)
            case ("charge", organisation, tokens):
                self.queue.charge(organisation, 1, max(0, -tokens), max(0, tokens))
            case ("evict_below", tier):
                low = {k for k, v in self.waiting.items() if v.tier > tier}
                self.gone(self.queue.evict_below(tier), low)
            case ("expire", now):
                late = {k for k, v in self.waiting.items() if v.deadline <= now}
                self.gone(self.queue.expire(float(now)), late)
            case ("remove_entry", entry):
                own = {k for k, v in self.waiting.items() if v.entry_id == entry}
                self.gone(self.queue.remove_entry(entry), own)

    def add(self, tier, organisation, tokens, last_resort, deadline) -> None:
        item = reservation(
            str(self.added),
            entry_id=str(self.added % 2),
            tier=tier,
            organisation=organisation,
            tokens=tokens,
            last_resort=last_resort,
            deadline=float(deadline),
        )
        self.added += 1
        evicted = self.queue.add(item)
        self.waiting[item.request_id] = item
        assert len(evicted) == max(0, len(self.waiting) - self.capacity)
        for victim in evicted:
            model = self.waiting[expected_victim(self.waiting)]
            same = (victim.tier, victim.last_resort) == (model.tier, model.last_resort)
            assert same and self.held(victim) == self.held(model)
            assert victim.request_id == self.newest(victim)
            del self.waiting[victim.request_id]

    def held(self, item: Reservation) -> int:
        return sum(other.tokens for other in self.peers(item))

    def newest(self, item: Reservation) -> str:
        return self.peers(item)[-1].request_id

    def peers(self, item: Reservation) -> list[Reservation]:
        return [
            other
            for other in self.waiting.values()
            if (other.tier, other.last_resort) == (item.tier, item.last_resort)
            and (item.last_resort or other.organisation == item.organisation)
        ]

    def take(self, room: int, floor: int | None) -> None:
        head = self.queue.head()
        taken = self.queue.take(room, floor)
        if not self.waiting:
            assert head is None and taken is None
            return
        assert head is not None
        top = min(item.tier for item in self.waiting.values())
        urgent = [v for v in self.waiting.values() if v.tier == top and v.last_resort]
        assert head.tier == top and (head.last_resort or not urgent)
        served = floor is None or top <= floor
        if served and head.tokens <= room:
            assert taken is head
        if taken is not None:
            assert served and taken.tier == top and taken.tokens <= room
            self.gone([taken], {taken.request_id})

    def check(self) -> None:
        assert len(self.queue) == len(self.waiting) <= self.capacity
        load = self.queue.load()
        assert set(load) == {item.tier for item in self.waiting.values()}
        for tier, count in load.items():
            tokens = [v.tokens for v in self.waiting.values() if v.tier == tier]
            assert (count.waiting, count.waiting_tokens) == (len(tokens), sum(tokens))


@settings(max_examples=300, deadline=None)
@given(STEPS, st.integers(1, 12))
def test_steps_agree_with_a_plain_model(steps: list[tuple], capacity: int) -> None:
    """Guards against loss, duplication, a passed tier and a wrong eviction."""
    model = Model(capacity)
    for step in steps:
        model.step(step)
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
def test_shares_of_backlogged_organisations_stay_within_the_bound(
    weights: list[int], sizes: list[int], quantum: int
) -> None:
    """Guards against an organisation that gains by the lengths of its requests."""
    queue = FairQueue(HUGE, quantum)
    served = dict.fromkeys(range(len(weights)), 0)
    for index, size in enumerate(sizes * 4):
        owner = index % len(weights)
        item = reservation(
            str(index), organisation=str(owner), weight=weights[owner], tokens=size
        )
        queue.add(item)
    left = {owner: len(sizes) * 4 // len(weights) for owner in served}
    while all(left.values()):
        item = queue.take(HUGE, None)
        assert item is not None
        owner = int(item.organisation)
        served[owner] += item.tokens
        left[owner] -= 1
        shares = [served[owner] / weights[owner] for owner in served]
        bound = 2 * quantum + max(sizes) / min(weights)
        assert max(shares) - min(shares) <= bound


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 39), st.integers(1, 5_000), st.integers(1, 5_000))
def test_a_single_request_waits_for_at_most_one_of_a_flood(
    before: int, flood_tokens: int, tokens: int
) -> None:
    """Guards against 40 requests of one organisation delaying one of another."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "flood", 40, tokens=flood_tokens)
    drain(queue, before)
    queue.add(reservation("single", organisation="b", tokens=tokens))
    assert "single" in [item.request_id for item in drain(queue, 2)]


def test_a_large_head_is_passed_only_a_bounded_number_of_times() -> None:
    """Guards against a large request starved by small ones while room is short."""
    queue = FairQueue(1_000, QUANTUM)
    queue.add(reservation("large", organisation="big", tokens=10_000))
    for index in range(50):
        queue.add(reservation(str(index), organisation=f"small{index}"))
    passed = 0
    while queue.take(9_999, None) is not None:
        passed += 1
    assert passed == MAX_BYPASSES
    taken = queue.take(10_000, None)
    assert taken is not None and taken.request_id == "large"
    assert queue.take(100, None) is not None


def test_lower_tiers_do_not_use_the_room_kept_for_a_higher_one() -> None:
    """Guards against a flood of short lower-tier work that blocks a long request."""
    queue = FairQueue(10, QUANTUM)
    queue.add(reservation("high", tier=0, tokens=5_000))
    queue.add(reservation("low", tier=2, tokens=10))
    assert queue.take(4_999, None) is None


def test_a_debt_from_actual_tokens_is_repaid() -> None:
    """Guards against an organisation that gains by underestimated requests."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "a", 10, tokens=500)
    fill(queue, "b", 10, tokens=500)
    queue.charge("a", 1, 500, 2_500)
    assert [item.organisation for item in drain(queue, 5)] == ["b"] * 4 + ["a"]


def test_an_idle_organisation_saves_no_credit() -> None:
    """Guards against a burst of an organisation that was idle for many rounds."""
    queue = FairQueue(1_000, QUANTUM)
    fill(queue, "busy", 200)
    drain(queue, 100)
    queue.charge("idle", 1, 50_000, 0)
    fill(queue, "idle", 50)
    names = [item.organisation for item in drain(queue, 40)]
    assert 18 <= names.count("idle") <= 24


def test_a_denied_pull_is_refunded() -> None:
    """Guards against an organisation that pays for work done at another agent."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "a", 3, tokens=500)
    fill(queue, "b", 3, tokens=500)
    taken = queue.take(HUGE, None)
    assert taken is not None and taken.organisation == "a"
    queue.put_back(taken)
    assert taken.request_id not in queue
    names = [item.organisation for item in drain(queue)]
    assert names[:4].count("a") == 2


def test_a_reservation_that_becomes_last_resort_goes_first() -> None:
    """Guards against a second copy when the entry extends a reservation."""
    queue = FairQueue(100, QUANTUM)
    fill(queue, "a", 5)
    queue.add(reservation("a4", last_resort=True))
    assert len(queue) == 5
    assert [item.request_id for item in drain(queue)][0] == "a4"


def test_repaid_organisations_are_forgotten() -> None:
    """Guards against memory that grows with every organisation ever seen."""
    queue = FairQueue(100, QUANTUM)
    for index in range(20_000):
        name = f"organisation-{index}"
        queue.add(reservation(name, organisation=name, tokens=2 * QUANTUM))
        drain(queue)
    assert len(queue._tiers[1]._organisations) < 1_000
