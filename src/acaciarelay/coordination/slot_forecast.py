"""Wait prediction from the holding times and grant rates of an engine's slots."""

import bisect
import collections
import itertools
import math
from collections.abc import Mapping

import attrs

__all__ = ["ReleaseRates", "SlotForecast"]

# Weight of the newest sample in the moving average of the holding time.
HOLD_SAMPLE_WEIGHT = 0.1
# Holding time assumed for a rank that has not released a slot yet.
DEFAULT_HOLD_S = 0.3
# Time constant of the grant rates.
GRANT_RATE_WINDOW_S = 1.0
# Time constant of the average number of slots held by a rank.
OCCUPANCY_WINDOW_S = 4.0
# Slots are reserved only against ranks that hold theirs for at least this multiple of
# the more urgent ranks' holding time.
LONG_HOLD_RATIO = 2.0
# Any rank is predicted to get at least this share of the released slots, however many
# more urgent requests come.
MIN_RELEASED_SHARE = 0.05


@attrs.define(eq=False)
class _Rate:
    """Exponentially decaying average of events per second."""

    value: float = 0.0
    at: float = 0.0

    def add(self, weight: float, now: float) -> None:
        self.value = self.read(now) + weight / GRANT_RATE_WINDOW_S
        self.at = now

    def read(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / GRANT_RATE_WINDOW_S)


class SlotForecast:
    """Averages of slot grants, holding times and occupancy by rank.

    Lower ranks are more urgent.
    """

    def __init__(self) -> None:
        self._hold_s: dict[int, float] = {}
        self._grant_rates: dict[int, _Rate] = collections.defaultdict(_Rate)
        self._occupancy: dict[int, float] = {}
        self._occupancy_at: float | None = None

    def record_occupancy(self, granted: Mapping[int, int], now: float) -> None:
        """Record the number of slots that each rank has held since the last call."""
        if self._occupancy_at is None:
            self._occupancy_at = now
        decay = math.exp(-max(0.0, now - self._occupancy_at) / OCCUPANCY_WINDOW_S)
        self._occupancy_at = now
        for rank in self._occupancy.keys() | granted.keys():
            held = granted.get(rank, 0)
            before = self._occupancy.get(rank, 0.0)
            self._occupancy[rank] = held + (before - held) * decay

    def ranks(self) -> list[int]:
        """Return the ranks that have held slots here."""
        return sorted(self._occupancy)

    def reserved_slots(self, rank: int) -> int:
        """Return how many slots to reserve for ranks more urgent than this one.

        That is the mean occupancy of those ranks plus one standard deviation. Nothing
        is reserved against a rank that holds its slots about as briefly as they do,
        since its slots soon become free again.
        """
        held = rate = 0.0
        for other, slots in self._occupancy.items():
            if other < rank:
                held += slots
                rate += slots / self.mean_hold_s(other)
        if held <= 0.0 or self.mean_hold_s(rank) < LONG_HOLD_RATIO * held / rate:
            return 0
        return int(held + math.sqrt(held))

    def record_grant(self, rank: int, now: float) -> None:
        """Record that a request of a rank got a slot."""
        self._grant_rates[rank].add(1.0, now)

    def record_release(self, rank: int, held_s: float) -> None:
        """Record that a rank released a slot which it held for ``held_s`` seconds."""
        before = self._hold_s.get(rank, held_s)
        self._hold_s[rank] = before + HOLD_SAMPLE_WEIGHT * (held_s - before)

    def mean_hold_s(self, rank: int) -> float:
        """Return the mean time in seconds for which a rank holds a slot."""
        return max(0.001, self._hold_s.get(rank, DEFAULT_HOLD_S))

    def release_rates(self, granted: Mapping[int, int], now: float) -> "ReleaseRates":
        """Return the rates at which slots become free for each rank."""
        released = sum(
            count / self.mean_hold_s(other) for other, count in granted.items()
        )
        ranks = sorted(self._grant_rates)
        rates = [self._grant_rates[rank].read(now) for rank in ranks]
        return ReleaseRates(released, ranks, [0.0, *itertools.accumulate(rates)])


@attrs.frozen
class ReleaseRates:
    """Slots per second that are released, and that more urgent requests take of them.

    ``urgent[n]`` is what the first ``n`` of ``ranks`` take.
    """

    released: float
    ranks: list[int]
    urgent: list[float]

    def slots_per_s(self, rank: int) -> float:
        """Return the slots per second that more urgent requests leave to a rank."""
        urgent = self.urgent[bisect.bisect_left(self.ranks, rank)]
        released = self.released
        return max(released * MIN_RELEASED_SHARE, released - urgent, 0.001)
