"""Stop of an entry: what it still takes, and how the rest ends."""

import asyncio
from collections.abc import Callable

from acaciarelay.coordination.drain_window import DrainWindow
from acaciarelay.programs.caller_server import CLOSE_CHECK_INTERVAL_S, CallerServer
from acaciarelay.programs.logs import log_event, run_steps
from acaciarelay.programs.relay_drain import RequestDrain
from acaciarelay.programs.relay_request import STOPPING_RETRY_AFTER_S
from acaciarelay.protocol.codes import refuse

__all__ = ["EntryStop"]

# Time before the end of the grace time at which closing connections are given up.
TASKS_END_S = 0.25


class EntryStop:
    """Accept requests until the platform has noticed the stop, then end all.

    Requests that can't end in the grace time are refused, and those without an answer
    at its end are answered with what is known of them. An answer that has begun goes on
    for longer: what its endpoint still sends is collected for a slow caller. It is cut
    then, unless it is whole; a whole one may be read until the connections are closed.
    ``tick`` is called again and again meanwhile. An error in a step is logged, and the
    stop goes on.
    """

    def __init__(
        self,
        callers: CallerServer,
        drain: RequestDrain,
        window: DrainWindow,
        tick: Callable[[], None],
    ) -> None:
        self.callers = callers
        self.drain = drain
        self.tick = tick
        self.loop = asyncio.get_running_loop()
        self.window = window
        self.close_at = window.grace_ends_at - TASKS_END_S

    async def run(self) -> None:
        """End all requests and connections of callers."""
        log_event("stopping", connections=len(self.callers.connections), always=True)
        run_steps((self.callers.announce_close, self.begin_drain))
        while self.loop.time() < self.window.streams_end_at:
            if self.callers.is_done:
                break
            run_steps(self.due_steps())
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        # A process that was paused may have missed the end of the grace time above.
        run_steps((self.callers.stop_listening, self.refuse_unread))
        log_event(
            "stopped",
            cut=self.callers.busy_count,
            unsent_bytes=self.callers.unsent_bytes,
            after_s=self.loop.time() - self.window.began_at,
            always=True,
        )
        run_steps((self.refuse_unanswered,))
        await self.callers.close(self.close_at)

    def begin_drain(self) -> None:
        self.drain.begin(self.window)

    def due_steps(self) -> list[Callable[[], None]]:
        """Return what is to be done at this time of the stop."""
        now = self.loop.time()
        steps = [self.tick]
        if self.window.is_over(now):
            steps += [self.drain.end_unanswered, self.refuse_unread]
            steps.append(self.callers.collect_answers)
        if self.window.is_noticed(now):
            steps += [self.callers.stop_listening, self.callers.close_idle]
        return steps

    def refuse_unanswered(self) -> None:
        self.callers.refuse_unanswered(refuse("outcome_unknown"))

    def refuse_unread(self) -> None:
        self.callers.refuse_unread(refuse("entry_stopping", "", STOPPING_RETRY_AFTER_S))
