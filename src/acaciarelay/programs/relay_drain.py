"""Requests of a stopping entry: those it still takes, and the time limit of all."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from acaciarelay.coordination.answer_times import AnswerTimes
from acaciarelay.coordination.drain_window import DrainWindow
from acaciarelay.programs.relay_placement import Placer
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relayed_request import RelayedRequest

__all__ = ["RequestDrain"]

# Ratio of the time reserved for a stream to its predicted time: callers' counts of
# tokens are rough.
STREAM_TIME_RATIO = 1.5


class RequestDrain:
    """Limit the requests of an entry to its grace time once it stops."""

    def __init__(self, placer: Placer) -> None:
        self.placer = placer
        self.answer_times = AnswerTimes()
        self.loop = asyncio.get_running_loop()
        # Both are present while the entry stops.
        self.window: DrainWindow | None = None
        self.began_at: float | None = None
        self._time_limits: set[asyncio.Timeout] = set()

    def begin(self, ends_at: float) -> None:
        """Limit all requests to the event loop time ``ends_at``, in seconds."""
        self.began_at = self.loop.time()
        self.window = DrainWindow(ends_at)
        for time_limit in self._time_limits:
            at = time_limit.when()
            if not time_limit.expired() and at is not None and at > ends_at:
                time_limit.reschedule(ends_at)

    @contextlib.asynccontextmanager
    async def time_limit(self, deadline: float) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at the deadline or at the end of the grace time."""
        if self.window is not None:
            deadline = min(deadline, self.window.ends_at)
        async with asyncio.timeout_at(deadline) as time_limit:
            self._time_limits.add(time_limit)
            try:
                yield
            finally:
                self._time_limits.discard(time_limit)

    @property
    def is_over(self) -> bool:
        return self.window is not None and self.window.is_over(self.loop.time())

    def shorten(self, wait_s: float) -> float:
        """Return a wait in seconds, shortened to the end of the grace time."""
        if self.window is None:
            return wait_s
        return max(0.0, min(wait_s, self.window.ends_at - self.loop.time()))

    def times_after_stop(self, relayed: RelayedRequest) -> dict[str, object]:
        """Return a request's times in seconds after the stop began, for the log."""
        times = {
            "arrived_after_stop_s": relayed.arrived_at,
            "sent_after_stop_s": relayed.sent_at,
            "last_event_after_stop_s": relayed.last_event_at,
        }
        fields: dict[str, object] = {}
        for name, at in times.items():
            if at is not None and self.began_at is not None:
                fields[name] = round(at - self.began_at, 4)
        return fields

    def can_finish(self, relayed: RelayedRequest, endpoint: Endpoint | None) -> bool:
        """Return whether a request ends in the grace time, if the entry stops.

        Without the endpoint that was chosen for it, its wait for a slot counts too.
        """
        if self.window is None:
            return True
        expected_s = self.expected_s(relayed, endpoint)
        return self.window.can_finish(self.loop.time(), relayed.deadline, expected_s)

    def expected_s(self, relayed: RelayedRequest, endpoint: Endpoint | None) -> float:
        """Return the seconds that a request is expected to take at most."""
        predicted_s = self.placer.predicted_answer_s(relayed, endpoint)
        if predicted_s is None:
            usual_s = self.answer_times.upper_estimate_s(relayed.route.name)
            return usual_s if usual_s is not None else relayed.route.objective_s
        wait_s = self.placer.expected_wait_s(relayed) if endpoint is None else 0.0
        return wait_s + STREAM_TIME_RATIO * predicted_s
