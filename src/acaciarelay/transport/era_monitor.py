"""Follow the era of the platform's store."""

import time
from collections.abc import Callable

from acaciarelay.state.store_era import FIRST_ERA, NO_ERA

__all__ = ["RESTORE_WINDOW_S", "EraMonitor"]

# Time for every process to notice a new era and to write again what the store has lost:
# a pause of 1 s and a call of 2 s that fails, then the calls that write.
RESTORE_WINDOW_S = 6.0


class EraMonitor:
    """Follows the newest era that any answer of the store named.

    ``began_at`` is the latest time at which the era can have begun, on the monotonic
    ``clock``; a store that has never been restored has none.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.current = NO_ERA
        self.began_at = float("-inf")
        self.subscribers: list[Callable[[int, int], None]] = []

    def subscribe(self, callback: Callable[[int, int], None]) -> None:
        """Call ``callback`` with the former and the new era at each change."""
        self.subscribers.append(callback)

    def observe(self, era: int) -> bool:
        """Record the era of an answer; return false for one of a former era.

        An answer without an era is taken as one of the current era.
        """
        if era == NO_ERA or era == self.current:
            return True
        if era < self.current:
            return False
        former, self.current = self.current, era
        # A process that starts in a later era can't tell when the era began.
        if former != NO_ERA or era > FIRST_ERA:
            self.began_at = self.clock()
        for callback in self.subscribers:
            callback(former, era)
        return True

    def is_younger_than(self, duration_s: float) -> bool:
        """Whether the era may have begun less than ``duration_s`` seconds ago."""
        return self.clock() < self.began_at + duration_s

    def began_before(self, era: int, age_s: float) -> None:
        """Record that an era had begun at least ``age_s`` seconds ago."""
        if era == self.current:
            self.began_at = min(self.began_at, self.clock() - age_s)
