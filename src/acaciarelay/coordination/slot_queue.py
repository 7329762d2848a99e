"""Queue that grants the request slots of one engine by rank and fair share."""

import collections
from collections.abc import Mapping

import attrs

from acaciarelay.coordination.slot_forecast import PlaceForecast
from acaciarelay.protocol.link_messages import AskPlace

__all__ = ["Holder", "PlaceQueue"]

# A request is refused early when its predicted wait exceeds its remaining wait time by
# this factor. The prediction is a mean, so a slot may become free sooner.
EARLY_REFUSAL_FACTOR = 2.0
# Slots that are never reserved for more urgent ranks, so that no rank starves.
UNRESERVED_SLOTS = 2


@attrs.define(eq=False)
class Holder:
    """A request that waits for a slot or has one; ``owner`` is the link it came over.

    ``predicted_s`` is the wait that was predicted when the request was queued.
    """

    ask: AskPlace
    owner: object
    asked_at: float
    predicted_s: float
    granted_at: float | None = None

    @property
    def weight(self) -> float:
        """Return the fraction of the request that counts here.

        A request that was sent to several agents takes a slot at only one of them.
        """
        return 1.0 / max(1, self.ask.asked)


class PlaceQueue:
    """Decide which waiting request gets the next free slot.

    The order is by rank, then requests that can still meet their deadline before late
    ones, then by the organisation's virtual time, then by arrival.
    """

    def __init__(self) -> None:
        self.limit = 0
        self.waiting: dict[tuple[int, str], Holder] = {}
        self.granted: dict[tuple[int, str], Holder] = {}
        self.forecast = PlaceForecast()
        # Virtual time of each organisation: the tokens that it was granted so far, not
        # less than the queue's virtual time when its last request arrived.
        self._virtual_times: dict[str, float] = collections.defaultdict(float)
        self._virtual_time = 0.0

    def ask(
        self, owner: object, ask: AskPlace, now: float, untracked_runs: int = 0
    ) -> None:
        """Queue a request.

        ``untracked_runs`` is the number of requests that run at the engine without a
        slot of this queue.
        """
        start = max(self._virtual_times[ask.organisation], self._virtual_time)
        self._virtual_times[ask.organisation] = start
        predicted_s = self.expected_waits(ask.rank + 1, now, untracked_runs)[ask.rank]
        holder = Holder(ask, owner, now, predicted_s)
        self.waiting[(id(owner), ask.request)] = holder

    def end(self, owner: object, request: str, now: float) -> Holder | None:
        """Withdraw a waiting request or release its slot; return who had a slot."""
        key = (id(owner), request)
        if self.waiting.pop(key, None) is not None:
            return None
        self.forecast.record_occupancy(self._granted_by_rank(), now)
        holder = self.granted.pop(key, None)
        if holder is not None and holder.granted_at is not None:
            self.forecast.record_release(holder.ask.rank, now - holder.granted_at)
        return holder

    def end_all(self, owner: object) -> int:
        """Remove all requests of a closed link; return the number of slots released."""
        for key in [key for key in self.waiting if key[0] == id(owner)]:
            del self.waiting[key]
        released = [key for key in self.granted if key[0] == id(owner)]
        for key in released:
            del self.granted[key]
        return len(released)

    def next_grants(self, now: float, untracked_runs: int = 0) -> list[Holder]:
        """Grant free slots and return the requests that got one."""
        grants = []
        while self.waiting and len(self.granted) + untracked_runs < self.limit:
            key = min(self.waiting, key=self._order)
            holder = self.waiting[key]
            if now - holder.asked_at > holder.ask.time_left_s:
                del self.waiting[key]
                continue
            granted = self._granted_by_rank()
            self.forecast.record_occupancy(granted, now)
            if self._available(holder.ask.rank, granted, untracked_runs) < 1:
                break
            del self.waiting[key]
            self._charge(holder.ask)
            self.forecast.record_grant(holder.ask.rank, now)
            holder.granted_at = now
            self.granted[key] = holder
            grants.append(holder)
        return grants

    def _order(self, key: tuple[int, str]) -> tuple[int, bool, float, float]:
        holder = self.waiting[key]
        ask = holder.ask
        return (
            ask.rank,
            ask.late,
            self._virtual_times[ask.organisation],
            holder.asked_at,
        )

    def _charge(self, ask: AskPlace) -> None:
        # An output token counts as ten prompt tokens.
        tokens = ask.prompt_tokens + 10.0 * ask.output_tokens
        self._virtual_time = max(
            self._virtual_time, self._virtual_times[ask.organisation]
        )
        self._virtual_times[ask.organisation] += tokens

    def ranks(self) -> list[int]:
        """Return the ranks that have held slots at this engine."""
        return self.forecast.ranks()

    def kept_places(self, rank: int) -> int:
        """Return the number of slots reserved for ranks more urgent than this one."""
        reservable = max(0, self.limit - UNRESERVED_SLOTS)
        return min(reservable, self.forecast.reserved_slots(rank))

    def _available(
        self, rank: int, granted: Mapping[int, int], untracked_runs: int
    ) -> int:
        """Return the slots a rank may take, without those reserved for urgent ranks."""
        urgent = sum(count for other, count in granted.items() if other < rank)
        reserved = self.kept_places(rank)
        others = len(self.granted) - urgent
        return self.limit - untracked_runs - others - max(urgent, reserved)

    # Predictions.

    def _granted_by_rank(self) -> dict[int, int]:
        counts: dict[int, int] = collections.Counter()
        for holder in self.granted.values():
            counts[holder.ask.rank] += 1
        return counts

    def _predicted_wait_s(
        self,
        rank: int,
        ahead: float,
        granted: dict[int, int],
        now: float,
        untracked_runs: int,
    ) -> float:
        """Predict the wait of a request that has ``ahead`` others before it."""
        missing = ahead + 1.0 - self._available(rank, granted, untracked_runs)
        if missing <= 0:
            return 0.0
        return missing / self.forecast.slots_per_s(rank, granted, now)

    def expected_waits(
        self, ranks: int, now: float, untracked_runs: int = 0
    ) -> list[float]:
        """Return the wait in seconds of a new request for each rank below ``ranks``."""
        if self.limit == 0:
            # The engine's capacity is unknown until the first request states it.
            return [0.0] * ranks
        by_rank = [0.0] * ranks
        for holder in self.waiting.values():
            by_rank[min(holder.ask.rank, ranks - 1)] += holder.weight
        granted = self._granted_by_rank()
        waits = []
        ahead = 0.0
        for rank, count in enumerate(by_rank):
            ahead += count
            waits.append(
                self._predicted_wait_s(rank, ahead, granted, now, untracked_runs)
            )
        return waits

    def take_hopeless(self, now: float, untracked_runs: int = 0) -> list[Holder]:
        """Remove and return the waiting requests that are unlikely to start in time."""
        if self.limit == 0:
            return []
        granted = self._granted_by_rank()
        refused = []
        ahead = 0.0
        for key in sorted(self.waiting, key=self._order):
            holder = self.waiting[key]
            left_s = holder.asked_at + holder.ask.wait_s - now
            wait_s = self._predicted_wait_s(
                holder.ask.rank, ahead, granted, now, untracked_runs
            )
            if wait_s > left_s * EARLY_REFUSAL_FACTOR:
                del self.waiting[key]
                refused.append(holder)
                continue
            ahead += holder.weight
        return refused
