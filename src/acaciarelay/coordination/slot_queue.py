"""Queue that grants the request slots of one engine by rank and fair share."""

import collections
from collections.abc import Callable, Mapping

import attrs

from acaciarelay.coordination.kept_parts import KeptUse
from acaciarelay.coordination.slot_forecast import ReleaseRates, SlotForecast
from acaciarelay.protocol.link_messages import SlotRequest

__all__ = ["SlotQueue", "SlotRequestState"]

# A request is refused early when its predicted wait exceeds its remaining wait time by
# this factor. The prediction is a mean, so a slot may become free sooner.
EARLY_REFUSAL_FACTOR = 2.0
# Slots that are never reserved for more urgent ranks, so that no rank starves.
UNRESERVED_SLOTS = 2
# Rank in this queue of a request that is below the floor of its own rank.
FLOOR_RANK = -1


@attrs.define(eq=False)
class SlotRequestState:
    """A request that waits for a slot or has one; ``owner`` is the link it came over.

    ``predicted_wait_s`` is the wait that was predicted when the request was queued.
    ``overtaken_tokens`` counts the tokens of the requests that were granted before it
    while it waited for memory, which ``waited_for_memory`` records. ``kept_use`` is
    what a granted request with shared parts was believed to find at the engine.
    """

    slot_request: SlotRequest
    owner: object
    queued_at: float
    predicted_wait_s: float
    granted_at: float | None = None
    overtaken_tokens: int = 0
    waited_for_memory: bool = False
    kept_use: KeptUse | None = None

    @property
    def memory_tokens(self) -> int:
        """Return the memory that the request may need at the engine, in tokens."""
        return _memory_tokens(self.slot_request)

    @property
    def rank(self) -> int:
        """Return the rank by which the request is ordered and gets slots."""
        request = self.slot_request
        return FLOOR_RANK if request.below_floor else request.rank

    @property
    def weight(self) -> float:
        """Return the weight of the request in the wait prediction.

        A request that was sent to several agents takes a slot at only one of them.
        """
        return 1.0 / max(1, self.slot_request.asked)

    def is_infeasible(self, wait_s: float, now: float) -> bool:
        """Return whether a predicted wait is too long for what is left to wait."""
        left_s = self.queued_at + self.slot_request.wait_s - now
        return wait_s > left_s * EARLY_REFUSAL_FACTOR


def _memory_tokens(slot_request: SlotRequest) -> int:
    return slot_request.prompt_tokens + slot_request.output_tokens


class SlotQueue:
    """Decide which waiting request gets the next free slot.

    Requests below the floor of their rank come first. Then the order is by rank, then
    requests within their service level objective before those past it, then by the
    organisation's virtual time, then by arrival.

    The tokens of all granted requests fit into the engine's memory, ``memory_limit``,
    if that is known (not 0). While the first request in this order does not fit,
    requests of its rank that do fit may overtake it, by as many tokens as it needs
    itself and no more; then nothing is granted until it fits.
    """

    def __init__(self) -> None:
        self.slot_limit = 0
        self.memory_limit = 0
        # Ranks of the requests that had to wait for memory since this was last read.
        self.memory_waits: list[int] = []
        self._granted_tokens = 0
        self._head_waits_for_memory = False
        self.waiting: dict[tuple[int, str], SlotRequestState] = {}
        self.granted: dict[tuple[int, str], SlotRequestState] = {}
        self.forecast = SlotForecast()
        # Virtual time of each organisation: the tokens that it was granted so far, not
        # less than the queue's virtual time when its last request arrived.
        self._virtual_times: dict[str, float] = collections.defaultdict(float)
        self._virtual_time = 0.0

    def enqueue(
        self,
        owner: object,
        slot_request: SlotRequest,
        now: float,
        untracked_runs: int = 0,
    ) -> None:
        """Queue a request.

        ``untracked_runs`` is the number of requests that run at the engine without a
        slot of this queue.
        """
        start = max(self._virtual_times[slot_request.organisation], self._virtual_time)
        self._virtual_times[slot_request.organisation] = start
        state = SlotRequestState(slot_request, owner, now, 0.0)
        key = (id(owner), slot_request.request)
        self.waiting[key] = state
        if self.slot_limit:
            state.predicted_wait_s = self._predicted_wait_s(key, now, untracked_runs)

    def adopt(self, owner: object, slot_request: SlotRequest, now: float) -> bool:
        """Count a request that runs with a slot of an earlier granter.

        Returns ``False`` if it was counted already.
        """
        key = (id(owner), slot_request.request)
        if key in self.granted:
            return False
        self.waiting.pop(key, None)
        state = SlotRequestState(slot_request, owner, now, 0.0, granted_at=now)
        self.granted[key] = state
        self._granted_tokens += state.memory_tokens
        return True

    def release(
        self, owner: object, request: str, now: float
    ) -> SlotRequestState | None:
        """Withdraw a waiting request, or release its slot.

        Returns the state of a request that had a slot, else ``None``.
        """
        key = (id(owner), request)
        if self.waiting.pop(key, None) is not None:
            return None
        self.forecast.record_occupancy(self._granted_by_rank(), now)
        state = self._forget_grant(key)
        if state is not None and state.granted_at is not None:
            self.forecast.record_release(
                state.slot_request.rank, now - state.granted_at
            )
        return state

    def release_link(self, owner: object) -> int:
        """Remove all requests of a closed link; return the number of slots released."""
        for key in [key for key in self.waiting if key[0] == id(owner)]:
            del self.waiting[key]
        released = [key for key in self.granted if key[0] == id(owner)]
        for key in released:
            self._forget_grant(key)
        return len(released)

    def _forget_grant(self, key: tuple[int, str]) -> SlotRequestState | None:
        state = self.granted.pop(key, None)
        if state is not None:
            self._granted_tokens -= state.memory_tokens
        return state

    def next_grants(
        self, now: float, untracked_runs: int = 0
    ) -> list[SlotRequestState]:
        """Grant free slots and return the requests that got one."""
        grants = []
        self._head_waits_for_memory = False
        while self.waiting and len(self.granted) + untracked_runs < self.slot_limit:
            head = min(self.waiting, key=self._order)
            if self._is_over(head, now):
                del self.waiting[head]
                continue
            granted = self._granted_by_rank()
            self.forecast.record_occupancy(granted, now)
            rank = self.waiting[head].rank
            if self._available(rank, granted, untracked_runs) < 1:
                break
            key = self._fitting(head, now)
            if key is None:
                break
            grants.append(self._grant(key, now))
        return grants

    def _is_over(self, key: tuple[int, str], now: float) -> bool:
        state = self.waiting[key]
        return now - state.queued_at > state.slot_request.time_left_s

    def _grant(self, key: tuple[int, str], now: float) -> SlotRequestState:
        state = self.waiting.pop(key)
        self._charge(state.slot_request)
        self.forecast.record_grant(state.slot_request.rank, now)
        state.granted_at = now
        self.granted[key] = state
        self._granted_tokens += state.memory_tokens
        return state

    def _fits(self, state: SlotRequestState) -> bool:
        if not self.memory_limit:
            return True
        return self._granted_tokens + state.memory_tokens <= self.memory_limit

    def _fitting(self, head: tuple[int, str], now: float) -> tuple[int, str] | None:
        """Return the request to grant next: the first one, or one to overtake it."""
        first = self.waiting[head]
        if self._fits(first):
            return head
        self._head_waits_for_memory = True
        if not first.waited_for_memory:
            first.waited_for_memory = True
            self.memory_waits.append(first.slot_request.rank)
        left = first.memory_tokens - first.overtaken_tokens
        rank = first.rank
        fitting = []
        for key, state in self.waiting.items():
            if state.rank != rank or state.memory_tokens > left:
                continue
            if key != head and self._fits(state) and not self._is_over(key, now):
                fitting.append(key)
        if not fitting:
            return None
        key = min(fitting, key=self._order)
        first.overtaken_tokens += self.waiting[key].memory_tokens
        return key

    def never_fits(self, slot_request: SlotRequest) -> bool:
        """Return whether a request needs more memory than the engine has."""
        return 0 < self.memory_limit < _memory_tokens(slot_request)

    def _order(self, key: tuple[int, str]) -> tuple[int, bool, float, float]:
        state = self.waiting[key]
        slot_request = state.slot_request
        return (
            state.rank,
            slot_request.late,
            self._virtual_times[slot_request.organisation],
            state.queued_at,
        )

    def _charge(self, slot_request: SlotRequest) -> None:
        # An output token counts as ten prompt tokens.
        tokens = slot_request.prompt_tokens + 10.0 * slot_request.output_tokens
        self._virtual_time = max(
            self._virtual_time, self._virtual_times[slot_request.organisation]
        )
        self._virtual_times[slot_request.organisation] += tokens

    def ranks(self) -> list[int]:
        """Return the ranks that have held slots at this engine."""
        return self.forecast.ranks()

    def reserved_slots(self, rank: int) -> int:
        """Return the number of slots reserved for ranks more urgent than this one."""
        reservable = max(0, self.slot_limit - UNRESERVED_SLOTS)
        return min(reservable, self.forecast.reserved_slots(rank))

    def _available(
        self, rank: int, granted: Mapping[int, int], untracked_runs: int
    ) -> int:
        """Return the number of slots that a rank may take now.

        Slots reserved for more urgent ranks are left out. The result is negative when
        the slots in use and reserved exceed the limit.
        """
        urgent = sum(count for other, count in granted.items() if other < rank)
        reserved = self.reserved_slots(rank)
        others = len(self.granted) - urgent
        return self.slot_limit - untracked_runs - others - max(urgent, reserved)

    # Predictions.

    def _granted_by_rank(self) -> dict[int, int]:
        counts: dict[int, int] = collections.Counter()
        for state in self.granted.values():
            counts[state.slot_request.rank] += 1
        return counts

    def predicted_waits_s(
        self, ranks: int, now: float, untracked_runs: int = 0
    ) -> list[float]:
        """Return the wait in seconds of a new request for each rank below ``ranks``."""
        if self.slot_limit == 0:
            # The engine's capacity is unknown until the first request states it.
            return [0.0] * ranks
        by_rank = [0.0] * ranks
        for state in self.waiting.values():
            by_rank[max(0, min(state.rank, ranks - 1))] += state.weight
        prediction = self._prediction(now, untracked_runs)
        waits = []
        ahead = 0.0
        for rank, count in enumerate(by_rank):
            ahead += count
            waits.append(prediction.wait_s(rank, ahead))
        return waits

    def _prediction(self, now: float, untracked_runs: int) -> "_Prediction":
        granted = self._granted_by_rank()

        def available(rank: int) -> int:
            slots = self._available(rank, granted, untracked_runs)
            # Free slots are of no use while the memory is full.
            return min(0, slots) if self._head_waits_for_memory else slots

        return _Prediction(self.forecast.release_rates(granted, now), available)

    def _predicted_wait_s(
        self, key: tuple[int, str], now: float, untracked_runs: int
    ) -> float:
        """Return the predicted wait of one waiting request, from now on."""
        order = self._order(key)
        ahead = 0.0
        for other, state in self.waiting.items():
            if other != key and self._order(other) < order:
                ahead += state.weight
        rank = self.waiting[key].rank
        return self._prediction(now, untracked_runs).wait_s(rank, ahead)

    def pop_if_infeasible(
        self, owner: object, request: str, now: float, untracked_runs: int = 0
    ) -> SlotRequestState | None:
        """Remove and return a waiting request if it is unlikely to start in time."""
        key = (id(owner), request)
        state = self.waiting.get(key)
        if state is None or self.slot_limit == 0:
            return None
        wait_s = self._predicted_wait_s(key, now, untracked_runs)
        if not self.never_fits(state.slot_request) and not state.is_infeasible(
            wait_s, now
        ):
            return None
        return self.waiting.pop(key)

    def pop_infeasible(
        self, now: float, untracked_runs: int = 0
    ) -> list[SlotRequestState]:
        """Remove and return the waiting requests that are unlikely to start in time."""
        if self.slot_limit == 0 or not self.waiting:
            return []
        prediction = self._prediction(now, untracked_runs)
        refused = []
        ahead = 0.0
        for key in sorted(self.waiting, key=self._order):
            state = self.waiting[key]
            wait_s = prediction.wait_s(state.rank, ahead)
            if self.never_fits(state.slot_request) or state.is_infeasible(wait_s, now):
                del self.waiting[key]
                refused.append(state)
                continue
            ahead += state.weight
        return refused


class _Prediction:
    """Predict waits as of one moment; what depends on the rank alone is kept."""

    def __init__(self, rates: ReleaseRates, available: Callable[[int], int]) -> None:
        self.rates = rates
        self.available = available
        self.available_by_rank: dict[int, int] = {}

    def wait_s(self, rank: int, ahead: float) -> float:
        """Predict the wait of a request that has ``ahead`` others before it."""
        available = self.available_by_rank.get(rank)
        if available is None:
            available = self.available_by_rank[rank] = self.available(rank)
        missing = ahead + 1.0 - available
        if missing <= 0:
            return 0.0
        return missing / self.rates.slots_per_s(rank)
