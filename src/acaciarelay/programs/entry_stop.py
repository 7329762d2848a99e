"""Stop of an entry: what it still takes, and how the rest ends."""

import asyncio
from collections.abc import Callable

from acaciarelay.programs.caller_server import CLOSE_CHECK_INTERVAL_S, CallerServer
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_drain import RequestDrain
from acaciarelay.programs.relay_request import STOPPING_RETRY_AFTER_S
from acaciarelay.protocol.codes import refuse

__all__ = ["EntryStop"]

# Time after a stop request in which the platform may still send new connections.
UNREADY_GRACE_S = 2.6
# Part of the grace time that is reserved for the exit, and its lower bound: a slow
# machine takes long to end all tasks.
EXIT_MARGIN_FRACTION = 0.125
MIN_EXIT_MARGIN_S = 0.6
# Time that the answers to the requests cut at the end of the grace time have.
LAST_ANSWERS_S = 0.2
# Time before the end of the grace time at which closing connections are given up.
TASKS_END_S = 0.25


class EntryStop:
    """Accept requests until the platform has noticed the stop, then end all.

    Requests that can't end in the grace time are refused, and those that still run at
    its end are answered with what is known of them. An answer that has begun is cut.
    ``tick`` is called again and again meanwhile.
    """

    def __init__(
        self,
        callers: CallerServer,
        drain: RequestDrain,
        grace_s: float,
        tick: Callable[[], None],
    ) -> None:
        self.callers = callers
        self.drain = drain
        self.tick = tick
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        self.grace_end_at = self.began_at + grace_s
        self.end_at = self.grace_end_at - max(
            MIN_EXIT_MARGIN_S, EXIT_MARGIN_FRACTION * grace_s
        )

    async def run(self) -> None:
        """End all requests and connections of callers."""
        log_event("stopping", connections=len(self.callers.connections), always=True)
        self.callers.announce_close()
        self.drain.begin(self.end_at)
        while self.loop.time() < self.end_at + LAST_ANSWERS_S:
            self.tick()
            if self.drain.is_over:
                self.refuse_unread()
            if self.loop.time() - self.began_at > UNREADY_GRACE_S:
                if self.callers.is_done:
                    break
                self.callers.stop_listening()
                self.callers.close_idle()
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        self.callers.stop_listening()
        # A process that was paused may have missed the end of the grace time above.
        self.refuse_unread()
        log_event(
            "stopped",
            cut=self.callers.busy_count,
            unsent_bytes=self.callers.unsent_bytes,
            after_s=self.loop.time() - self.began_at,
            always=True,
        )
        self.callers.refuse_unanswered(refuse("outcome_unknown"))
        await self.callers.close(self.grace_end_at - TASKS_END_S)

    def refuse_unread(self) -> None:
        self.callers.refuse_unread(refuse("entry_stopping", "", STOPPING_RETRY_AFTER_S))
