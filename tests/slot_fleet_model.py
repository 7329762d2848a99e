"""Model of a fleet under load: the decision code of entries and agents, no network.

Requests arrive at seeded random times. Each one asks the agents that
``choose_engines`` names, by waits that were published some time ago; ``SlotQueue``
grants and refuses; the first grant is used and the others are withdrawn one message
delay later. Times are in seconds.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from acaciarelay.coordination.engine_choice import (
    EngineOption,
    ExpectedAnswer,
    choose_engines,
)
from acaciarelay.coordination.engine_model import EngineSpeed
from acaciarelay.coordination.rank_floor import RankFloor
from acaciarelay.coordination.slot_queue import SlotQueue, SlotRequestState
from acaciarelay.protocol.link_messages import SlotRequest

__all__ = ["Load", "MovingFleetModel", "RankResult", "SlotFleetModel"]

MESSAGE_S = 0.005
PUBLISH_S = 0.1
CHECK_S = 0.05
EXTRA_SLOTS = 1
# How long a new granter grants nothing, see ``programs/granted_engines.py``.
SETTLE_S = 0.05


@attrs.frozen(kw_only=True)
class Load:
    """Requests of one rank: how many a second, and how long they hold a slot."""

    rank: int
    per_s: float
    hold_s: float
    wait_s: float = 0.3


@attrs.define
class RankResult:
    """Requests of one rank by their end."""

    served: int = 0
    refused: int = 0

    @property
    def served_share(self) -> float:
        return self.served / max(1, self.served + self.refused)


@attrs.define(eq=False)
class _Request:
    name: str
    load: Load
    open_at: set[int]
    below_floor: bool = False
    granted: bool = False
    ended: bool = False
    granted_by: int | None = None
    arrived_at: float = 0.0
    first_s: float = 0.0


class SlotFleetModel:
    """Play loads on ``engines`` engines of ``slots`` slots each."""

    def __init__(self, engines: int, slots: int, ranks: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.slots = slots
        self.ranks = ranks
        self.queues = [SlotQueue() for _ in range(engines)]
        for queue in self.queues:
            queue.slot_limit = slots + EXTRA_SLOTS
        self.published = [[0.0] * ranks for _ in range(engines)]
        self.floor = RankFloor()
        self.requests: dict[str, _Request] = {}
        self.results = {rank: RankResult() for rank in range(ranks)}
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def play(self, loads: list[Load], seconds: float) -> dict[int, RankResult]:
        """Play all loads for a time, and return the ends of their requests by rank."""
        for load in loads:
            at = self.rng.expovariate(load.per_s)
            while at < seconds:
                self.at(at, lambda load=load: self.arrive(load))
                at += self.rng.expovariate(load.per_s)
        for index in range(len(self.queues)):
            self.at(self.rng.random() * PUBLISH_S, lambda i=index: self.publish(i))
            self.at(self.rng.random() * CHECK_S, lambda i=index: self.check(i))
        while self._events and self._events[0][0] < seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.results

    # An entry.

    def arrive(self, load: Load) -> None:
        options = [
            EngineOption(
                host=str(index),
                queue_s=waits[load.rank],
                round_trip_s=2 * MESSAGE_S,
                distance=0.0,
                failures=0.0,
                speed=EngineSpeed(),
            )
            for index, waits in enumerate(self.published)
        ]
        self.floor.record_arrival("", load.rank, self.now)
        below_floor = self.floor.is_below("", load.rank, self.now)
        answer = ExpectedAnswer(prompt_tokens=500, output_tokens=100, left_s=10.0)
        chosen = choose_engines(options, answer, self.rng)
        expected_s = min(option.queue_s for option in chosen)
        if expected_s > load.wait_s and not below_floor:
            self.results[load.rank].refused += 1
            return
        hosts = [int(option.host) for option in chosen]
        request = self.new_request(load, set(hosts))
        request.below_floor = below_floor
        for index in hosts:
            self.at(MESSAGE_S, lambda i=index: self.ask(i, request, len(hosts)))
        self.at(load.wait_s, lambda: self.end_wait(request))

    def new_request(self, load: Load, hosts: set[int]) -> _Request:
        request = _Request(str(next(self._numbers)), load, hosts)
        self.requests[request.name] = request
        return request

    def end_wait(self, request: _Request) -> None:
        """Refuse a request that nobody has granted a slot."""
        if request.granted or request.ended:
            return
        request.ended = True
        self.results[request.load.rank].refused += 1
        for index in request.open_at:
            self.at(MESSAGE_S, lambda i=index: self.release(i, request))

    def receive_grant(self, index: int, request: _Request) -> None:
        if request.granted or request.ended:
            self.at(MESSAGE_S, lambda: self.release(index, request))
            return
        request.granted = True
        request.granted_by = index
        self.results[request.load.rank].served += 1
        self.floor.record_served("", request.load.rank, self.now)
        self.at(self.hold_s(index, request), lambda: self.release(index, request))
        for other in request.open_at - {index}:
            self.at(MESSAGE_S, lambda i=other: self.release(i, request))

    def hold_s(self, index: int, request: _Request) -> float:
        """Return how long an engine takes for a request."""
        return self.rng.expovariate(1 / request.load.hold_s)

    def receive_refusal(self, index: int, request: _Request) -> None:
        request.open_at.discard(index)
        if not request.open_at:
            self.end_wait(request)

    # An agent.

    def ask(self, index: int, request: _Request, asked: int) -> None:
        slot_request = self.slot_request(request, asked)
        queue = self.queues[index]
        queue.enqueue(self, slot_request, self.now)
        self.grant(index)
        refused = queue.pop_if_infeasible(self, request.name, self.now)
        if refused is not None:
            self.refuse(index, [refused])

    def slot_request(self, request: _Request, asked: int) -> SlotRequest:
        return SlotRequest(
            request=request.name,
            organisation="workshop",
            rank=request.load.rank,
            late=False,
            wait_s=request.load.wait_s,
            time_left_s=10.0,
            prompt_tokens=500,
            output_tokens=100,
            slots=self.slots,
            asked=asked,
            below_floor=request.below_floor,
        )

    def release(self, index: int, request: _Request) -> None:
        state = self.queues[index].release(self, request.name, self.now)
        if state is not None:
            self.released(index, request, state)
        self.grant(index)

    def grant(self, index: int) -> None:
        for state in self.queues[index].next_grants(self.now):
            request = self.requests[state.slot_request.request]
            self.granted(index, state)
            self.at(MESSAGE_S, lambda r=request: self.receive_grant(index, r))

    def granted(self, index: int, state: SlotRequestState) -> None:
        """Note that an agent granted a slot."""

    def released(self, index: int, request: _Request, state: SlotRequestState) -> None:
        """Note that a slot was released."""

    def refuse(self, index: int, states: list[SlotRequestState]) -> None:
        for state in states:
            request = self.requests[state.slot_request.request]
            self.at(MESSAGE_S, lambda r=request: self.receive_refusal(index, r))

    def check(self, index: int) -> None:
        self.grant(index)
        self.refuse(index, self.queues[index].pop_infeasible(self.now))
        self.at(CHECK_S, lambda: self.check(index))

    def publish(self, index: int) -> None:
        queue = self.queues[index]
        self.published[index] = queue.predicted_waits_s(self.ranks, self.now)
        self.at(PUBLISH_S, lambda: self.publish(index))


class MovingFleetModel(SlotFleetModel):
    """The same with granters that move: a new one begins with an empty queue.

    Entries ask it again for what waits, and tell it what they hold, a message delay
    after they have learned of the move. It grants nothing for ``SETTLE_S``.
    ``most_running`` is the most requests that ran or waited at an engine at once.
    """

    def __init__(self, engines: int, slots: int, ranks: int, seed: int) -> None:
        super().__init__(engines, slots, ranks, seed)
        self.running: list[set[str]] = [set() for _ in range(engines)]
        self.most_running = 0

    def move(self, adopt: bool = True) -> None:
        """Replace the granters of all engines."""
        for index, old in enumerate(self.queues):
            new = self.queues[index] = SlotQueue()
            self.at(SETTLE_S, lambda i=index, queue=new: self.begin(i, queue))
            for state in [*old.granted.values(), *old.waiting.values()]:
                delay_s = MESSAGE_S * (1 + self.rng.random())
                self.at(delay_s, lambda i=index, s=state: self.tell(i, s, adopt))

    def begin(self, index: int, queue: SlotQueue) -> None:
        """Let a new granter grant from now on."""
        queue.slot_limit = self.slots + EXTRA_SLOTS
        self.grant(index)

    def tell(self, index: int, state: SlotRequestState, adopt: bool) -> None:
        """Tell a new granter of a request that runs or waits."""
        name = state.slot_request.request
        if name in self.running[index]:
            if adopt:
                self.queues[index].adopt(self, state.slot_request, self.now)
        elif not self.requests[name].granted and not self.requests[name].ended:
            self.queues[index].enqueue(self, state.slot_request, self.now)
            self.grant(index)

    def receive_grant(self, index: int, request: _Request) -> None:
        if not request.granted and not request.ended:
            self.running[index].add(request.name)
            self.most_running = max(self.most_running, len(self.running[index]))
        super().receive_grant(index, request)

    def release(self, index: int, request: _Request) -> None:
        self.running[index].discard(request.name)
        super().release(index, request)
