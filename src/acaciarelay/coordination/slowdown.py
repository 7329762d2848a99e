"""Estimate how long work takes on a VM that shares its processor with other work."""

import math

import attrs

__all__ = ["SlowdownEstimate"]

# Weight of the newest report in the mean.
SAMPLE_WEIGHT = 0.1
# Time constant with which a report loses its meaning for the present moment: other work
# comes and goes many times a second.
MOMENT_S = 0.15


@attrs.define(eq=False)
class SlowdownEstimate:
    """Estimate of a VM's slowdown, 1 where work takes as long as usual.

    The estimate starts at the newest report and approaches the mean of all reports as
    that one ages.
    """

    mean: float = 1.0
    newest: float = 1.0
    newest_at: float = -math.inf

    @property
    def known(self) -> bool:
        return self.newest_at > -math.inf

    def record(self, slowdown: float, now: float) -> None:
        """Record a report."""
        if self.known:
            self.mean += SAMPLE_WEIGHT * (slowdown - self.mean)
        else:
            self.mean = slowdown
        self.newest = slowdown
        self.newest_at = now

    def at(self, now: float) -> float:
        """Return the expected slowdown at a time."""
        if not self.known:
            return 1.0
        weight = math.exp(-max(0.0, now - self.newest_at) / MOMENT_S)
        return self.mean + weight * (self.newest - self.mean)
