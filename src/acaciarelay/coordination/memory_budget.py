"""Memory that the bodies under way in one process may occupy together."""

__all__ = ["SMALL_BODY_BYTES", "BodyMemory", "MemoryBudget"]


# Bodies up to this size may use the reserve for small ones.
SMALL_BODY_BYTES = 65_536


class MemoryBudget:
    """Account for the bytes of all bodies under way, up to a limit.

    Only small bodies may use the last ``small_reserve_bytes``, so that long ones to an
    endpoint that reads slowly don't keep ordinary requests out.
    """

    def __init__(self, limit_bytes: int, small_reserve_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.small_reserve_bytes = small_reserve_bytes
        self.used_bytes = 0

    def has_room(self, size: int, added: int) -> bool:
        """Return whether a body may grow by ``added`` bytes to ``size``."""
        free = self.limit_bytes - self.used_bytes - added
        if size <= SMALL_BODY_BYTES:
            return free >= 0
        return free >= self.small_reserve_bytes


class BodyMemory:
    """The part of a budget that one body occupies, until it is released."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def grow_to(self, size: int) -> bool:
        """Occupy ``size`` bytes in total; change nothing and return false without room.

        A smaller size than before changes nothing.
        """
        added = size - self.size
        if added <= 0:
            return True
        if not self.budget.has_room(size, added):
            return False
        self.budget.used_bytes += added
        self.size = size
        return True

    def release(self) -> None:
        """Give back what the body occupied."""
        self.budget.used_bytes -= self.size
        self.size = 0
