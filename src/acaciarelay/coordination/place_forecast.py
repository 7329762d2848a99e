"""Learn for how long an engine's places are held, and predict waits from it."""

import collections
import math
from collections.abc import Mapping

import attrs

__all__ = ["PlaceForecast"]

# Weight of the newest observation in the mean time for which a place is held.
HOLD_WEIGHT = 0.1
FIRST_HOLD_S = 0.3
# Time over which rates are averaged.
RATE_S = 1.0
# Time over which the places that a rank holds are averaged.
HELD_S = 4.0
# Multiple of the holding time of urgent requests from which a place is held for long.
LONG_HOLD = 2.0
# Part of the engine's pace that is reckoned with for the least urgent work at least.
LEAST_PART = 0.05


@attrs.define(eq=False)
class _Rate:
    """Average events a second, fading with time."""

    value: float = 0.0
    at: float = 0.0

    def add(self, weight: float, now: float) -> None:
        self.value = self.read(now) + weight / RATE_S
        self.at = now

    def read(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / RATE_S)


class PlaceForecast:
    """Keep rates of grants and holding times by rank; lower ranks are more urgent."""

    def __init__(self) -> None:
        self._hold_s: dict[int, float] = {}
        self._granted: dict[int, _Rate] = collections.defaultdict(_Rate)
        self._held: dict[int, float] = {}
        self._held_at: float | None = None

    def note_held(self, granted: Mapping[int, int], now: float) -> None:
        """Note how many places each rank has held since the last call."""
        if self._held_at is None:
            self._held_at = now
        fading = math.exp(-max(0.0, now - self._held_at) / HELD_S)
        self._held_at = now
        for rank in self._held.keys() | granted.keys():
            held = granted.get(rank, 0)
            before = self._held.get(rank, 0.0)
            self._held[rank] = held + (before - held) * fading

    def ranks(self) -> list[int]:
        """Return the ranks that held places here."""
        return sorted(self._held)

    def urgent_places(self, rank: int) -> int:
        """Return how many places to keep from a rank for more urgent ones.

        That is the mean and one standard deviation of what those hold, but none if the
        rank holds its places about as briefly: they are free again soon.
        """
        held = rate = 0.0
        for other, places in self._held.items():
            if other < rank:
                held += places
                rate += places / self.hold_s(other)
        if held <= 0.0 or self.hold_s(rank) < LONG_HOLD * held / rate:
            return 0
        return int(held + math.sqrt(held))

    def grant(self, rank: int, now: float) -> None:
        """Note that a request got a place."""
        self._granted[rank].add(1.0, now)

    def end(self, rank: int, held_s: float) -> None:
        """Note for how long a place was held."""
        before = self._hold_s.get(rank, held_s)
        self._hold_s[rank] = before + HOLD_WEIGHT * (held_s - before)

    def hold_s(self, rank: int) -> float:
        """Return the mean time in seconds for which a rank holds a place."""
        return max(0.001, self._hold_s.get(rank, FIRST_HOLD_S))

    def pace(self, rank: int, granted: Mapping[int, int], now: float) -> float:
        """Return the places a second that more urgent requests leave to a rank."""
        freed = sum(count / self.hold_s(other) for other, count in granted.items())
        urgent = 0.0
        for other, rate in self._granted.items():
            if other < rank:
                urgent += rate.read(now)
        return max(freed * LEAST_PART, freed - urgent, 0.001)
