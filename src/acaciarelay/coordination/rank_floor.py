"""Least share of requests that each rank gets served while more urgent ones flood.

It is for loads beyond the capacity in which urgent requests alone would keep all
slots: a rank that is served far less often than the mean goes first until it is at its
floor again. A rank above its floor is never preferred, so that less urgent requests are
never served more often than more urgent ones. A flood of the rank itself raises its
floor no further than the number of more urgent requests does.
"""

import math

import attrs

__all__ = ["RankFloor"]

# Least share of a rank, as a fraction of the mean share of all ranks. It is above the
# quarter of the mean below which a rank counts as starved. A higher floor costs urgent
# requests more than it gives: a long calm answer holds a slot as long as several short
# urgent ones.
FLOOR_SHARE = 0.3
# A rank is preferred only while it is served less often than this part of the share of
# each more urgent rank, so that none of them is served behind it.
MAX_URGENT_SHARE = 0.8
# Time constant of the exponential decay of the counts.
WINDOW_S = 5.0
# Arrivals in the window below which the share of a rank says little.
MIN_ARRIVALS = 4.0


@attrs.define(eq=False)
class _Counts:
    """Exponentially decaying counts of requests."""

    arrived: float = 0.0
    served: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / WINDOW_S)
        self.arrived *= factor
        self.served *= factor
        self.at = now

    @property
    def share(self) -> float:
        """Return the share of the requests that was served; 1 if none arrived."""
        return self.served / self.arrived if self.arrived else 1.0


class RankFloor:
    """Compare how often the ranks of each service are served."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, _Counts]] = {}

    def record_arrival(self, service: str, rank: int, now: float) -> None:
        """Record a request that asks for a service."""
        self._current(service, rank, now).arrived += 1.0

    def record_served(self, service: str, rank: int, now: float) -> None:
        """Record a request that was sent to an endpoint for the first time."""
        self._current(service, rank, now).served += 1.0

    def _current(self, service: str, rank: int, now: float) -> _Counts:
        ranks = self._counts.setdefault(service, {})
        counts = ranks.setdefault(rank, _Counts(at=now))
        counts.decay(now)
        return counts

    def is_below(self, service: str, rank: int, now: float) -> bool:
        """Return whether a rank is served less often than its floor allows."""
        ranks = self._counts.get(service, {})
        own = ranks.get(rank)
        if own is None:
            return False
        own.decay(now)
        arrived = served = urgent = 0.0
        for other, counts in ranks.items():
            counts.decay(now)
            arrived += counts.arrived
            served += counts.served
            if other >= rank:
                continue
            urgent += counts.arrived
            if own.share > MAX_URGENT_SHARE * counts.share:
                return False
        entitled = min(own.arrived, urgent)
        if entitled < MIN_ARRIVALS:
            return False
        return own.served < FLOOR_SHARE * served / arrived * entitled
