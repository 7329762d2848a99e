"""Time of the event loop that reading from other processes takes."""

import enum
from collections.abc import Callable

import attrs

__all__ = ["LONG_STEP_S", "LongStep", "LoopBudget", "LoopTime", "Reader"]

# Other tasks wait while a step runs, so longer ones are reported.
LONG_STEP_S = 0.05


class Reader(enum.StrEnum):
    """What a connection reads from; the values are labels of metrics."""

    CALLER = "caller"
    ENDPOINT = "endpoint"
    LINK = "link"
    STORE = "store"


@attrs.frozen
class LongStep:
    """A step of the event loop of at least ``LONG_STEP_S``, for one connection."""

    reader: Reader
    peer: str
    seconds: float
    size: int


def _ignore(_: LongStep) -> None:
    return


class LoopBudget:
    """Account for the time of the event loop, by kind of reader.

    ``on_long_step`` is called with each long step.
    """

    def __init__(self, on_long_step: Callable[[LongStep], None] = _ignore) -> None:
        self.on_long_step = on_long_step
        self.seconds: dict[Reader, float] = dict.fromkeys(Reader, 0.0)

    def open(self, reader: Reader, peer: str) -> "LoopTime":
        """Begin to account for a connection to ``peer``, an address."""
        return LoopTime(self, reader, peer)


class LoopTime:
    """The time that one connection takes of a budget."""

    def __init__(self, budget: LoopBudget, reader: Reader, peer: str) -> None:
        self.budget = budget
        self.reader = reader
        self.peer = peer

    def spend(self, seconds: float, size: int) -> None:
        """Record a step that handled ``size`` bytes."""
        self.budget.seconds[self.reader] += seconds
        if seconds >= LONG_STEP_S:
            step = LongStep(self.reader, self.peer, seconds, size)
            self.budget.on_long_step(step)
