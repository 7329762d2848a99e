"""Places at one engine, granted by rank and fairly among organisations."""

import collections
from collections.abc import Mapping

import attrs

from acaciarelay.coordination.place_forecast import PlaceForecast
from acaciarelay.protocol.relay_messages import AskPlace

__all__ = ["Holder", "PlaceQueue"]

# A predicted wait beyond this multiple of what a request may wait counts as hopeless:
# the prediction is a mean, and some places come sooner.
HOPELESS = 2.0
# Places that stay open to requests of every rank, so that none of them starves.
OPEN_PLACES = 2


@attrs.define(eq=False)
class Holder:
    """Hold one request that waits for a place or has one; ``owner`` is its link.

    ``predicted_s`` is the wait that was predicted when it was asked for.
    """

    ask: AskPlace
    owner: object
    asked_at: float
    predicted_s: float
    granted_at: float | None = None

    @property
    def weight(self) -> float:
        """Return how much of the request waits here, if several agents were asked."""
        return 1.0 / max(1, self.ask.asked)


class PlaceQueue:
    """Decide which waiting request gets the next place.

    Requests are granted by rank, then those that can still be on time, then the
    organisation that was granted least, then by arrival.
    """

    def __init__(self) -> None:
        self.limit = 0
        self.waiting: dict[tuple[int, str], Holder] = {}
        self.granted: dict[tuple[int, str], Holder] = {}
        self.forecast = PlaceForecast()
        # Virtual time of each organisation: the tokens that it was granted so far.
        self._served: dict[str, float] = collections.defaultdict(float)
        self._floor = 0.0

    def ask(self, owner: object, ask: AskPlace, now: float, foreign: int = 0) -> None:
        """Add a request; ``foreign`` counts runs that no place stands for."""
        start = max(self._served[ask.organisation], self._floor)
        self._served[ask.organisation] = start
        predicted_s = self.expected_waits(ask.rank + 1, now, foreign)[ask.rank]
        holder = Holder(ask, owner, now, predicted_s)
        self.waiting[(id(owner), ask.request)] = holder

    def end(self, owner: object, request: str, now: float) -> Holder | None:
        """Remove a waiting request or free its place; return who had a place."""
        key = (id(owner), request)
        if self.waiting.pop(key, None) is not None:
            return None
        self.forecast.note_held(self._granted_by_rank(), now)
        holder = self.granted.pop(key, None)
        if holder is not None and holder.granted_at is not None:
            self.forecast.end(holder.ask.rank, now - holder.granted_at)
        return holder

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
            holder = self.waiting[key]
            if now - holder.asked_at > holder.ask.time_left_s:
                del self.waiting[key]
                continue
            granted = self._granted_by_rank()
            self.forecast.note_held(granted, now)
            if self._free(holder.ask.rank, granted, foreign) < 1:
                break
            del self.waiting[key]
            self._charge(holder.ask)
            self.forecast.grant(holder.ask.rank, now)
            holder.granted_at = now
            self.granted[key] = holder
            grants.append(holder)
        return grants

    def _order(self, key: tuple[int, str]) -> tuple[int, bool, float, float]:
        holder = self.waiting[key]
        ask = holder.ask
        return ask.rank, ask.late, self._served[ask.organisation], holder.asked_at

    def _charge(self, ask: AskPlace) -> None:
        tokens = ask.prompt_tokens + 10.0 * ask.output_tokens
        self._floor = max(self._floor, self._served[ask.organisation])
        self._served[ask.organisation] += tokens

    def ranks(self) -> list[int]:
        """Return the ranks that held places at this engine."""
        return self.forecast.ranks()

    def kept_places(self, rank: int) -> int:
        """Return the places that are kept from a rank for more urgent ones."""
        most = max(0, self.limit - OPEN_PLACES)
        return min(most, self.forecast.urgent_places(rank))

    def _free(self, rank: int, granted: Mapping[int, int], foreign: int) -> int:
        """Return the places that a rank may take, beside those kept for urgent ones."""
        urgent = sum(count for other, count in granted.items() if other < rank)
        kept = self.kept_places(rank)
        others = len(self.granted) - urgent
        return self.limit - foreign - others - max(urgent, kept)

    # Predictions.

    def _granted_by_rank(self) -> dict[int, int]:
        counts: dict[int, int] = collections.Counter()
        for holder in self.granted.values():
            counts[holder.ask.rank] += 1
        return counts

    def _wait_s(
        self, rank: int, ahead: float, granted: dict[int, int], now: float, foreign: int
    ) -> float:
        """Predict the wait of a request with ``ahead`` others before it."""
        missing = ahead + 1.0 - self._free(rank, granted, foreign)
        if missing <= 0:
            return 0.0
        return missing / self.forecast.pace(rank, granted, now)

    def expected_waits(self, ranks: int, now: float, foreign: int = 0) -> list[float]:
        """Return the wait in seconds of a new request for each rank below ``ranks``."""
        if self.limit == 0:
            # The first request brings the engine's capacity with it.
            return [0.0] * ranks
        by_rank = [0.0] * ranks
        for holder in self.waiting.values():
            by_rank[min(holder.ask.rank, ranks - 1)] += holder.weight
        granted = self._granted_by_rank()
        waits = []
        ahead = 0.0
        for rank, count in enumerate(by_rank):
            ahead += count
            waits.append(self._wait_s(rank, ahead, granted, now, foreign))
        return waits

    def take_hopeless(self, now: float, foreign: int = 0) -> list[Holder]:
        """Remove the waiting requests that most likely get no place in time."""
        if self.limit == 0:
            return []
        granted = self._granted_by_rank()
        hopeless = []
        ahead = 0.0
        for key in sorted(self.waiting, key=self._order):
            holder = self.waiting[key]
            left_s = holder.asked_at + holder.ask.wait_s - now
            wait_s = self._wait_s(holder.ask.rank, ahead, granted, now, foreign)
            if wait_s > left_s * HOPELESS:
                del self.waiting[key]
                hopeless.append(holder)
                continue
            ahead += holder.weight
        return hopeless
