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
        # Present while the entry stops.
        self.window: DrainWindow | None = None
        self._time_limits: dict[RelayedRequest, asyncio.Timeout] = {}

    def begin(self, window: DrainWindow) -> None:
        """Limit all requests to the window."""
        self.window = window
        for time_limit in self._time_limits.values():
            _shorten(time_limit, window.streams_end_at)

    def end_unanswered(self) -> None:
        """End the requests without an answer so far; others go on in the window."""
        for relayed, time_limit in self._time_limits.items():
            if not relayed.answer_begun:
                _shorten(time_limit, self.loop.time())

    @contextlib.asynccontextmanager
    async def time_limit(self, relayed: RelayedRequest) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at the deadline or at the end of the grace time."""
        ends_at = relayed.deadline
        if self.window is not None:
            ends_at = min(ends_at, self.window.streams_end_at)
        async with asyncio.timeout_at(ends_at) as time_limit:
            self._time_limits[relayed] = time_limit
            try:
                yield
            finally:
                del self._time_limits[relayed]

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
            if at is not None and self.window is not None:
                fields[name] = round(at - self.window.began_at, 4)
        return fields

    def can_finish(self, relayed: RelayedRequest, endpoint: Endpoint | None) -> bool:
        """Return whether a request ends in the grace time, if the entry stops.

        Without the endpoint that was chosen for it, its wait for a slot counts too.
        """
        if self.window is None:
            return True
        may_be_cut = relayed.route.streaming and relayed.certainly_not_run
        return self.window.can_finish(
            self.loop.time(),
            relayed.deadline,
            self.expected_s(relayed, endpoint),
            may_be_cut,
        )

    def expected_s(
        self, relayed: RelayedRequest, endpoint: Endpoint | None
    ) -> float | None:
        """Return the seconds that a request is expected to take at most.

        ``None`` for a stream of which nothing is known.
        """
        predicted_s = self.placer.predicted_answer_s(relayed, endpoint)
        if predicted_s is not None:
            wait_s = self.placer.expected_wait_s(relayed) if endpoint is None else 0.0
            return wait_s + STREAM_TIME_RATIO * predicted_s
        usual_s = self.answer_times.upper_estimate_s(relayed.route.name)
        if usual_s is None and not relayed.route.streaming:
            return relayed.route.objective_s
        return usual_s


def _shorten(time_limit: asyncio.Timeout, ends_at: float) -> None:
    """Let a time limit end at an event loop time, unless it does sooner."""
    at = time_limit.when()
    if not time_limit.expired() and at is not None and at > ends_at:
        time_limit.reschedule(ends_at)
