"""Memory that the bodies under way in one process may occupy together."""

__all__ = ["BodyMemory", "MemoryBudget"]


class MemoryBudget:
    """Account for the bytes of all bodies under way, up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0


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
        if self.budget.used_bytes + added > self.budget.limit_bytes:
            return False
        self.budget.used_bytes += added
        self.size = size
        return True

    def release(self) -> None:
        """Give back what the body occupied."""
        self.budget.used_bytes -= self.size
        self.size = 0
