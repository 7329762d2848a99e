"""Time of the event loop that reading from other processes may take."""

import enum
import math
from collections.abc import Callable

import attrs

__all__ = ["LONG_STEP_S", "LongStep", "LoopBudget", "LoopTime", "Reader"]

# Other tasks wait while a step runs, so longer ones are reported.
LONG_STEP_S = 0.05
# Share of the event loop that each connection may take, and what it may take at once.
CONNECTION_SHARE = 0.02
CONNECTION_BURST_S = 0.002
# The same for what all connections together take beyond that.
POOL_SHARE = 0.3
POOL_BURST_S = 0.1
# How long a connection counts among those that share the pool.
BUSY_S = 5.0
# Shorter pauses would cost more time than they save.
MIN_PAUSE_S = 0.001
# A longer step mostly shows that the process had to wait for the processor.
MAX_CHARGED_STEP_S = 0.02


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


@attrs.define
class _Allowance:
    """Seconds that grow with time by a share of it, up to a burst."""

    share: float
    burst_s: float
    left_s: float
    updated_at: float = 0.0

    def refill(self, now: float) -> None:
        added_s = (now - self.updated_at) * self.share
        self.left_s = min(self.burst_s, self.left_s + added_s)
        self.updated_at = now


class LoopBudget:
    """Bound the share of the event loop that connections with much to read take.

    What a connection takes beyond its own share comes from a pool that all of them have
    in common. ``seconds`` is the time taken by each kind of reader. ``on_long_step`` is
    called with each long step. Times are event loop times in seconds.
    """

    def __init__(self, on_long_step: Callable[[LongStep], None] = _ignore) -> None:
        self.on_long_step = on_long_step
        self.seconds: dict[Reader, float] = dict.fromkeys(Reader, 0.0)
        self.pool = _Allowance(POOL_SHARE, POOL_BURST_S, POOL_BURST_S)
        # When each connection last found the pool empty; the oldest time comes first.
        self.busy: dict[LoopTime, float] = {}
        # Time until which no heavy step may begin, so that other tasks get the event
        # loop for as long as the last one took.
        self.heavy_until = -math.inf

    def open(self, reader: Reader, peer: str) -> "LoopTime":
        """Begin to account for a connection to ``peer``, an address."""
        return LoopTime(self, reader, peer)

    def draw(self, seconds: float, now: float) -> float:
        """Take up to ``seconds`` from the pool and return what was taken."""
        self.pool.refill(now)
        drawn_s = min(seconds, self.pool.left_s)
        self.pool.left_s -= drawn_s
        return drawn_s

    def share_of_busy(self, loop_time: "LoopTime", now: float) -> float:
        """Return the share of the event loop of a connection that finds no more."""
        self.busy.pop(loop_time, None)
        self.busy[loop_time] = now
        for other, busy_at in list(self.busy.items()):
            if now - busy_at < BUSY_S:
                break
            del self.busy[other]
        return CONNECTION_SHARE + POOL_SHARE / len(self.busy)


class LoopTime:
    """The time that one connection takes of a budget."""

    def __init__(self, budget: LoopBudget, reader: Reader, peer: str) -> None:
        self.budget = budget
        self.reader = reader
        self.peer = peer
        # Negative while the connection has taken more than it was allowed.
        self.own = _Allowance(CONNECTION_SHARE, CONNECTION_BURST_S, CONNECTION_BURST_S)

    def spend(self, began: float, now: float, size: int) -> None:
        """Record a step that handled ``size`` bytes from ``began`` to ``now``."""
        seconds = now - began
        self.budget.seconds[self.reader] += seconds
        if seconds >= LONG_STEP_S:
            step = LongStep(self.reader, self.peer, seconds, size)
            self.budget.on_long_step(step)
        self.own.refill(now)
        self.own.left_s -= min(seconds, MAX_CHARGED_STEP_S)
        self._draw(now)

    @property
    def is_used_up(self) -> bool:
        """Return whether the connection may have to wait before its next step."""
        return self.own.left_s < 0

    def pause_s(self, now: float) -> float:
        """Return the seconds that the connection has to wait before its next step."""
        if not self.is_used_up:
            return 0.0
        self.own.refill(now)
        self._draw(now)
        if not self.is_used_up:
            return 0.0
        share = self.budget.share_of_busy(self, now)
        return max(MIN_PAUSE_S, -self.own.left_s / share)

    def record_heavy(self, began: float, now: float) -> None:
        """Record a heavy step, whose time ``spend`` counts as well."""
        self.budget.heavy_until = now + min(now - began, MAX_CHARGED_STEP_S)

    def heavy_pause_s(self, now: float) -> float:
        """Return the seconds that a heavy step has to wait after one of any connection.

        ``pause_s`` does not delay the first step of a connection.
        """
        pause_s = self.budget.heavy_until - now
        return max(MIN_PAUSE_S, pause_s) if pause_s > 0 else 0.0

    def close(self) -> None:
        """Leave the pool to other connections."""
        self.budget.busy.pop(self, None)

    def _draw(self, now: float) -> None:
        if self.own.left_s < 0:
            self.own.left_s += self.budget.draw(-self.own.left_s, now)
