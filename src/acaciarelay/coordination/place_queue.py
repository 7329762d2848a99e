"""Places at one engine, granted by rank and fairly among organisations."""

import collections
import math

import attrs

from acaciarelay.protocol.relay_messages import AskPlace

__all__ = ["Holder", "PlaceQueue"]

# Weight of the newest observation in the mean time for which a place is held.
HOLD_WEIGHT = 0.1
FIRST_HOLD_S = 0.3
# Time over which the rate of grants is averaged.
RATE_S = 1.0
# Part of the engine that is reckoned with for the least urgent work at least.
LEAST_PART = 0.05


@attrs.define(eq=False)
class Holder:
    """Hold one request that waits for a place or has one; ``owner`` is its link."""

    ask: AskPlace
    owner: object
    asked_at: float
    share_start: float
    granted_at: float | None = None


class PlaceQueue:
    """Decide which waiting request gets the next place."""

    def __init__(self) -> None:
        self.limit = 0
        self.waiting: dict[tuple[int, str], Holder] = {}
        self.granted: dict[tuple[int, str], Holder] = {}
        self.hold_s = FIRST_HOLD_S
        # Virtual time of each organisation: the tokens that it was granted so far.
        self._served: dict[str, float] = collections.defaultdict(float)
        self._floor = 0.0
        # Grants a second by rank, fading with time.
        self._rates: dict[int, tuple[float, float]] = {}

    def ask(self, owner: object, ask: AskPlace, now: float) -> None:
        """Add a request."""
        start = max(self._served[ask.organisation], self._floor)
        self._served[ask.organisation] = start
        key = (id(owner), ask.request)
        self.waiting[key] = Holder(ask, owner, now, start)

    def end(self, owner: object, request: str, now: float) -> None:
        """Remove a waiting request or free its place."""
        key = (id(owner), request)
        if self.waiting.pop(key, None) is not None:
            return
        holder = self.granted.pop(key, None)
        if holder is None or holder.granted_at is None:
            return
        held = now - holder.granted_at
        self.hold_s += HOLD_WEIGHT * (held - self.hold_s)

    def end_all(self, owner: object) -> int:
        """Remove all that came over a link which is gone; return how many places."""
        for key in [key for key in self.waiting if key[0] == id(owner)]:
            del self.waiting[key]
        places = [key for key in self.granted if key[0] == id(owner)]
        for key in places:
            del self.granted[key]
        return len(places)

    def next_grants(self, now: float, foreign: int = 0) -> list[Holder]:
        """Grant the free places; ``foreign`` counts runs that no place stands for."""
        grants = []
        while self.waiting and len(self.granted) + foreign < self.limit:
            key = min(self.waiting, key=self._order)
            holder = self.waiting.pop(key)
            if now - holder.asked_at > holder.ask.time_left_s:
                continue
            self._charge(holder.ask)
            rank = holder.ask.rank
            self._rates[rank] = (self._rate(rank, now) + 1.0 / RATE_S, now)
            holder.granted_at = now
            self.granted[key] = holder
            grants.append(holder)
        return grants

    def _order(self, key: tuple[int, str]) -> tuple[float, float, float]:
        holder = self.waiting[key]
        served = self._served[holder.ask.organisation]
        return holder.ask.rank, served, holder.asked_at

    def _charge(self, ask: AskPlace) -> None:
        tokens = ask.prompt_tokens + 10.0 * ask.output_tokens
        self._floor = max(self._floor, self._served[ask.organisation])
        self._served[ask.organisation] += tokens

    def _rate(self, rank: int, now: float) -> float:
        rate, at = self._rates.get(rank, (0.0, now))
        return rate * math.exp(-(now - at) / RATE_S)

    def expected_waits(self, ranks: int, now: float) -> list[float]:
        """Return the wait in seconds of a new request for each rank below ``ranks``.

        A request that asked several agents counts in part at each of them, and what
        more urgent requests take of the engine is not there for less urgent ones.
        """
        if self.limit == 0:
            # The first request brings the engine's capacity with it.
            return [0.0] * ranks
        by_rank = [0.0] * ranks
        for holder in self.waiting.values():
            rank = min(holder.ask.rank, ranks - 1)
            by_rank[rank] += 1.0 / max(1, holder.ask.asked)
        free = self.limit - len(self.granted)
        pace = max(1, self.limit) / self.hold_s
        waits = []
        ahead = 0.0
        urgent = 0.0
        for rank, count in enumerate(by_rank):
            ahead += count
            left = max(pace * LEAST_PART, pace - urgent)
            waits.append(max(0.0, ahead + 1 - free) / left)
            urgent += self._rate(rank, now)
        return waits
