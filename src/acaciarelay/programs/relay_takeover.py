"""Requests whose endpoint is silent: another one goes on with them, or they end."""

import asyncio
import time
from collections.abc import Callable

from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_drain import RequestDrain
from acaciarelay.programs.relay_placement import Placement, Placer
from acaciarelay.state.relayed_request import RelayedRequest
from acaciarelay.transport.endpoint_call import EndpointConnection

__all__ = ["Takeovers"]

# A sound endpoint may be silent for 1.5 s and then go on, and callers give up a stream
# after a pause of 2 s.
MAX_SOUND_SILENCE_S = 1.7
# A VM whose agent is silent for longer than this is frozen or behind a network
# partition. A sound one may be silent for 1.5 s after a heartbeat that was due 0.5 s
# later.
AGENT_TIMEOUT_S = 2.5
# The same of a VM whose agent and runner are both silent.
MAX_SOUND_VM_SILENCE_S = 1.6
# Time in which the end of a stream reaches its caller before the caller abandons it.
END_DELIVERY_S = 0.2
# Least time without progress before a takeover, as a fraction of the route's timeout,
# where that is shorter.
STALL_FRACTION = 0.5


class Takeovers:
    """Abandon attempts at silent endpoints once another endpoint is placed.

    A stream at a silent VM ends before its caller abandons it, placed or not.
    ``tasks`` look for a placement, and ``placements`` are those found. What is asked
    before each attempt is asked before the one on its way is abandoned: by
    ``may_go_elsewhere``, the time that is left, and the retry budget.
    """

    def __init__(
        self,
        placer: Placer,
        drain: RequestDrain,
        retry_budget: SharedRetryBudget,
        slot_client: SlotClient,
        may_go_elsewhere: Callable[[RelayedRequest], bool],
    ) -> None:
        self.placer = placer
        self.drain = drain
        self.retry_budget = retry_budget
        self.slot_client = slot_client
        self.may_go_elsewhere = may_go_elsewhere
        self.loop = asyncio.get_running_loop()
        self.tasks: dict[RelayedRequest, asyncio.Task[None]] = {}
        self.placements: dict[RelayedRequest, Placement] = {}

    def on_stall(self, relayed: RelayedRequest, connection: EndpointConnection) -> None:
        """Handle a stalled attempt, as long as it stays so."""
        if self._is_lost(relayed, connection):
            # Its cancellation would not be noticed at the VM either.
            relayed.retries_ended = True
            self._abandon(relayed, connection)
            return
        if not _is_overdue(relayed, connection):
            return
        if relayed.may_retry:
            self._start(relayed, connection)
            return
        if self._agent_silence_s(relayed) > AGENT_TIMEOUT_S:
            self._abandon(relayed, connection)

    def _abandon(self, relayed: RelayedRequest, connection: EndpointConnection) -> None:
        """Abandon a run whose engine and agent are silent."""
        log_event(
            "silent_run_abandoned",
            request_id=relayed.traits.request_id,
            host=relayed.endpoint.host if relayed.endpoint is not None else None,
            stalled_s=round(connection.stalled_s, 4),
            agent_silence_s=round(self._agent_silence_s(relayed), 4),
        )
        connection.abandon()

    def _is_lost(self, relayed: RelayedRequest, connection: EndpointConnection) -> bool:
        """Return whether a stream is at a silent VM and about to be abandoned."""
        if relayed.abandoned_at is None:
            return False
        if self.loop.time() < relayed.abandoned_at - END_DELIVERY_S:
            return False
        vm_silence_s = min(self._agent_silence_s(relayed), connection.stalled_s)
        return vm_silence_s > MAX_SOUND_VM_SILENCE_S

    def _agent_silence_s(self, relayed: RelayedRequest) -> float:
        host = relayed.endpoint.host if relayed.endpoint is not None else ""
        return self.slot_client.silence_s(host, self.loop.time())

    def _start(self, relayed: RelayedRequest, connection: EndpointConnection) -> None:
        task = self.tasks.get(relayed)
        if task is not None and not task.done():
            return
        if not self.retry_budget.can_spend(relayed.service, time.monotonic()):
            return
        task = asyncio.create_task(self._take_over(relayed, connection))
        self.tasks[relayed] = task

    async def _take_over(
        self, relayed: RelayedRequest, connection: EndpointConnection
    ) -> None:
        step_count = len(relayed.steps)
        placement = await self.placer.place(relayed)
        if placement is None:
            # The next try describes the same.
            del relayed.steps[step_count:]
            return
        if not self._may_take_over(relayed, connection, placement):
            placement.release()
            return
        self.placements[relayed] = placement
        connection.abandon()

    def _may_take_over(
        self,
        relayed: RelayedRequest,
        connection: EndpointConnection,
        placement: Placement,
    ) -> bool:
        if placement.endpoint.endpoint_id in relayed.tried:
            return False
        if not _is_overdue(relayed, connection):
            return False
        if not self.drain.can_finish(relayed, placement.endpoint):
            return False
        if not self.may_go_elsewhere(relayed):
            return False
        return self.retry_budget.try_spend(relayed.service, time.monotonic())

    def take(self, relayed: RelayedRequest) -> Placement | None:
        """Return the placement of a takeover, which the caller has to release."""
        return self.placements.pop(relayed, None)

    def close(self, relayed: RelayedRequest) -> None:
        """End the takeover of a request that has ended."""
        task = self.tasks.pop(relayed, None)
        if task is not None:
            task.cancel()
        placement = self.take(relayed)
        if placement is not None:
            placement.release()


def _is_overdue(relayed: RelayedRequest, connection: EndpointConnection) -> bool:
    """Return whether an attempt has been silent for too long."""
    stall_s = min(MAX_SOUND_SILENCE_S, STALL_FRACTION * relayed.route.timeout_s)
    return connection.stalled_s >= stall_s
