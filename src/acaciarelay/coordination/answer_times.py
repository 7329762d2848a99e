"""Estimate how long the answers of each route take, from those before."""

import attrs

__all__ = ["AnswerTimes"]

# Weights of the newest answer in the mean and in the mean deviation, and the number of
# deviations above the mean that the estimate is.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4


@attrs.define
class _Smoothed:
    """Moving averages of a route's answer times and of their deviation, in seconds."""

    mean_s: float
    deviation_s: float

    def observe(self, taken_s: float) -> None:
        error_s = taken_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * error_s


class AnswerTimes:
    """Moving averages of the answer times by route name."""

    def __init__(self) -> None:
        self._routes: dict[str, _Smoothed] = {}

    def observe(self, route: str, taken_s: float) -> None:
        """Record the seconds from the first attempt to the end of an answer."""
        smoothed = self._routes.get(route)
        if smoothed is None:
            self._routes[route] = _Smoothed(taken_s, taken_s / 2)
            return
        smoothed.observe(taken_s)

    def upper_estimate_s(self, route: str) -> float | None:
        """Return the seconds that few answers exceed; ``None`` without any answer."""
        smoothed = self._routes.get(route)
        if smoothed is None:
            return None
        return smoothed.mean_s + DEVIATIONS * smoothed.deviation_s
