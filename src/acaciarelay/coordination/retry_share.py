"""This process's share of the retries that a service bears."""

import collections

__all__ = ["RetryShare"]

# Slots into which the window is cut; the oldest one counts in full.
SLOTS = 20
# Part of the budget that is used, so that processes which count differently for a
# moment stay within it together.
USED_PART = 0.8
# Part of the reserve that one lifetime of a process uses; the rest is for a process
# that is started again within the window and doesn't know what it used before.
LIFETIME_PART = 0.5


class _Window:
    """Count events over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self.slot_s = window_s / SLOTS
        self.slots: collections.deque[tuple[int, int]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        slot = int(now / self.slot_s)
        self.expire(slot)
        if self.slots and self.slots[-1][0] == slot:
            self.slots[-1] = (slot, self.slots[-1][1] + 1)
        else:
            self.slots.append((slot, 1))
        self.total += 1

    def count(self, now: float) -> int:
        self.expire(int(now / self.slot_s))
        return self.total

    def expire(self, slot: int) -> None:
        while self.slots and self.slots[0][0] < slot - SLOTS:
            self.total -= self.slots.popleft()[1]


class RetryShare:
    """Allow retries as a share of own requests plus a part of the common reserve.

    ``reserve`` is the number of retries in a window beyond the share; it is divided
    equally among the processes.
    """

    def __init__(self, ratio: float, reserve: float, window_s: float) -> None:
        self.ratio = ratio
        self.reserve = reserve * LIFETIME_PART
        self.window_s = window_s
        self.processes = 1
        self._firsts: dict[str, _Window] = {}
        self._retries: dict[str, _Window] = {}

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self.window_s)
        return window

    def first(self, service: str, now: float) -> None:
        """Record the first attempt of a request."""
        self._window(self._firsts, service).add(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one retry; ``False`` when the share is used up."""
        if not self.allows(service, now):
            return False
        self._window(self._retries, service).add(now)
        return True

    def allows(self, service: str, now: float) -> bool:
        """Return whether one more retry fits."""
        firsts = self._window(self._firsts, service).count(now)
        allowed = self.ratio * firsts + self.reserve / max(1, self.processes)
        used = self._window(self._retries, service).count(now)
        return used + 1 <= allowed * USED_PART
