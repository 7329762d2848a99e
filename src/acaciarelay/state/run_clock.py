"""Notice when a process did not run for some time."""

import math
import time
from collections.abc import Callable

__all__ = ["RunClock"]

# A process that did not run for longer than this was paused: its VM was suspended or
# frozen, or the process was stopped or starved.
PAUSE_S = 1.0


def boot_time() -> float:
    """Return the seconds since the start of the VM, including any suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RunClock:
    """Compare the times of the checks, of which there are several in ``PAUSE_S``.

    ``on_pause`` callbacks are called with the length of a pause in seconds.
    """

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self.clock = clock
        self.checked_at = clock()
        self.paused_at = -math.inf
        self.on_pause: list[Callable[[float], None]] = []

    def check(self) -> None:
        """Call the callbacks if the process did not run since the last check."""
        now = self.clock()
        gap_s = now - self.checked_at
        self.checked_at = now
        if gap_s <= PAUSE_S:
            return
        self.paused_at = now
        for callback in self.on_pause:
            callback(gap_s)
