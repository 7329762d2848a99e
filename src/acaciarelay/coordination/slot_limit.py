"""Limit of the slots to grant of an engine whose queue the granter does not see."""

import math

__all__ = ["EXTRA_SLOTS", "SlotLimit"]

# Requests granted beyond the engine's slots, so that the next one is already at the
# engine when a run ends.
EXTRA_SLOTS = 1
# The extra ones are granted once the engine declined nothing for this time.
EXTRA_AFTER_S = 3.0
# Each decline takes one slot from the limit, which grows again by one in this time.
RECOVERY_S = 1.0
# Declines within this time count once: they show the same full queue.
DECLINE_INTERVAL_S = 0.1
# Least part of the engine's slots that is granted, however much it declines.
MIN_SHARE = 0.5


class SlotLimit:
    """Learn from an engine's declines how many requests it takes at once.

    Runs of which the granter does not know fill the engine's queue. They are not seen
    in reports, which are up to seconds old.
    """

    def __init__(self, now: float) -> None:
        self._withheld = 0.0
        self._changed_at = now
        self._declined_at = now

    def record_decline(self, slots: int, now: float) -> None:
        """Record that the engine, which has ``slots``, declined a request with one."""
        if self._withheld and now - self._declined_at < DECLINE_INTERVAL_S:
            return
        # More withheld slots than the limit can lose would only delay its recovery.
        most = max(1, slots - _least_limit(slots))
        self._withheld = min(self._withheld_at(now) + 1.0, most)
        self._changed_at = self._declined_at = now

    def limit(self, slots: int, now: float) -> int:
        """Return the slots to grant of an engine that has ``slots``."""
        withheld = math.ceil(self._withheld_at(now))
        if withheld:
            return max(_least_limit(slots), slots - withheld)
        if now - self._declined_at < EXTRA_AFTER_S:
            return slots
        return slots + EXTRA_SLOTS

    def _withheld_at(self, now: float) -> float:
        return max(0.0, self._withheld - (now - self._changed_at) / RECOVERY_S)


def _least_limit(slots: int) -> int:
    return max(1, math.ceil(slots * MIN_SHARE))
