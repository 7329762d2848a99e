"""Pauses of the reading from a connection, for several reasons at once."""

import asyncio
import enum

from acaciarelay.coordination.loop_budget import LoopTime

__all__ = ["PauseReason", "ReadGate"]


class PauseReason(enum.Enum):
    """Why nothing more is read from a connection for now."""

    UNPARSED = enum.auto()
    PIPELINED = enum.auto()
    LOOP_TIME = enum.auto()


class ReadGate:
    """Read from a transport while there is no reason to pause.

    ``loop_time`` bounds the share of the event loop that the connection takes.
    """

    def __init__(self, transport: asyncio.Transport, loop_time: LoopTime) -> None:
        self.transport = transport
        self.loop_time = loop_time
        self.loop = asyncio.get_running_loop()
        self.reasons: set[PauseReason] = set()
        self.timer: asyncio.TimerHandle | None = None

    def pause(self, reason: PauseReason) -> None:
        """Stop reading until the reason ends."""
        if not self.reasons:
            self.transport.pause_reading()
        self.reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """End a reason, and read on without another one."""
        if reason not in self.reasons:
            return
        self.reasons.discard(reason)
        if not self.reasons:
            self.transport.resume_reading()

    def resume_all(self) -> None:
        """End all reasons."""
        for reason in list(self.reasons):
            self.resume(reason)

    def record_step(self, began: float, size: int) -> None:
        """Record a step that handled ``size`` bytes, and pause after a long one."""
        now = self.loop.time()
        self.loop_time.spend(began, now, size)
        if self.timer is not None or not self.loop_time.is_used_up:
            return
        self.pause(PauseReason.LOOP_TIME)
        self.timer = self.loop.call_later(self.loop_time.pause_s(now), self._end_pause)

    def _end_pause(self) -> None:
        self.timer = None
        self.resume(PauseReason.LOOP_TIME)

    def close(self) -> None:
        """Stop to account for a closed connection."""
        self.loop_time.close()
        if self.timer is not None:
            self.timer.cancel()
