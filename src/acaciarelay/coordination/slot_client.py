"""Slot requests of an entry: ask several agents and use the first grant."""

import asyncio
import itertools
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.engine_model import EngineSpeed, assumed_speed
from acaciarelay.protocol.link_messages import (
    EngineState,
    LinkMessage,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from acaciarelay.transport.message_link import MessageLink

__all__ = ["AgentLink", "EngineSlot", "SlotClient", "SlotDenied"]

# The last state of an engine is stale when its agent has sent nothing at all for longer
# than this. An unchanged state is not sent again, so its own age says nothing.
STATE_STALE_AFTER_SILENCE_S = 1.2
# Wait assumed while the state of an engine is unknown or stale.
DEFAULT_WAIT_S = 0.05
UNKNOWN_SPEED = EngineSpeed()


@attrs.define(eq=False)
class AgentLink:
    """The link to an agent and the last engine state received from it."""

    host: str
    link: MessageLink
    state: EngineState | None = None
    # Unknown until the agent has reported it.
    speed: EngineSpeed = UNKNOWN_SPEED

    def update(self, state: EngineState) -> None:
        """Replace the engine state."""
        self.state = state
        self.speed = EngineSpeed(first_s=state.first_s, token_s=state.token_s)

    def expected_queue_s(self, rank: int, now: float) -> float:
        """Return how long the agent expects a new request of a rank to be queued."""
        if (
            self.state is None
            or now - self.link.last_received_at > STATE_STALE_AFTER_SILENCE_S
        ):
            return DEFAULT_WAIT_S
        waits = self.state.waits_s
        if not waits:
            return DEFAULT_WAIT_S
        return waits[min(rank, len(waits) - 1)]

    def expected_wait_s(self, rank: int, now: float) -> float:
        """Return the expected time until a new request of a rank has a slot."""
        return self.expected_queue_s(rank, now) + self.link.round_trip_s

    @property
    def slowdown(self) -> float:
        """Return the mean slowdown of the engine's VM, as far as it is known."""
        return self.state.slowdown if self.state is not None else 1.0


@attrs.define(eq=False)
class EngineSlot:
    """A slot granted by an agent, held until ``release`` is called."""

    agent: AgentLink
    # Unique to each call of ``SlotClient.acquire``.
    request_id: str
    open: bool = True

    def release(self, first_s: float = 0.0, stream_s: float = 0.0) -> None:
        """Release the slot and report the measured times; further calls do nothing."""
        if not self.open:
            return
        self.open = False
        self.agent.link.send(
            SlotRelease(
                request=self.request_id,
                first_s=round(first_s, 4),
                stream_s=round(stream_s, 4),
            )
        )


@attrs.frozen
class SlotDenied:
    """No slot was granted.

    ``refused`` is true when the last agent that could still grant one refused, or when
    no agent was asked because the expected waits are too long. It is false otherwise,
    as after a timeout or a lost link.
    """

    refused: bool


@attrs.define(eq=False)
class _Pending:
    """A request that waits; its future gets an ``EngineSlot`` or ``SlotDenied``."""

    future: asyncio.Future
    # Agents asked that have neither refused nor been lost.
    remaining: list[AgentLink]

    def drop(self, agent: AgentLink, refused: bool) -> None:
        """Remove an agent; when it was the last one the request fails."""
        if agent not in self.remaining:
            return
        self.remaining.remove(agent)
        if not self.remaining and not self.future.done():
            self.future.set_result(SlotDenied(refused))


class SlotClient:
    """Links to agents by host, and the requests that wait for a slot."""

    def __init__(self) -> None:
        self.agents: dict[str, AgentLink] = {}
        self._pending: dict[str, _Pending] = {}
        self._numbers = itertools.count(1)
        # When each host was last heard of whose link timed out, as opposed to being
        # closed.
        self._silent_since: dict[str, float] = {}

    def speeds(self, hosts: Iterable[str]) -> dict[str, EngineSpeed]:
        """Return the engines' speeds; those not measured yet are assumed."""
        speeds = {host: self.agents[host].speed for host in hosts}
        unknown = [host for host, speed in speeds.items() if speed == UNKNOWN_SPEED]
        if not unknown:
            return speeds
        known = [(speed, self.agents[host].slowdown) for host, speed in speeds.items()]
        for host in unknown:
            speeds[host] = assumed_speed(self.agents[host].slowdown, known)
        return speeds

    def link_opened(self, host: str, link: MessageLink) -> None:
        """Register a new link to the agent at a host."""
        self.agents[host] = AgentLink(host, link)
        self._silent_since.pop(host, None)

    def silence_s(self, host: str, now: float) -> float:
        """Return how long the agent at a host has sent nothing, 0 without an agent."""
        agent = self.agents.get(host)
        if agent is None:
            return now - self._silent_since.get(host, now)
        return now - agent.link.last_received_at

    def link_closed(self, host: str, link: MessageLink) -> None:
        """Remove a lost link; requests that wait only for its agent get no slot."""
        agent = self.agents.get(host)
        if agent is None or agent.link is not link:
            return
        del self.agents[host]
        silent_s = asyncio.get_running_loop().time() - link.last_received_at
        if silent_s > STATE_STALE_AFTER_SILENCE_S:
            self._silent_since[host] = link.last_received_at
        self._drop_from_waiting(agent)

    def forget(self, host: str) -> None:
        """Remove the agent at a host, whose silence says nothing from now on."""
        self._silent_since.pop(host, None)
        agent = self.agents.pop(host, None)
        if agent is not None:
            self._drop_from_waiting(agent)

    def _drop_from_waiting(self, agent: AgentLink) -> None:
        for pending in list(self._pending.values()):
            pending.drop(agent, False)

    def receive(self, host: str, message: LinkMessage) -> None:
        """Handle a message from the agent at a host."""
        agent = self.agents.get(host)
        if agent is None:
            return
        match message:
            case EngineState():
                agent.update(message)
            case SlotGrant(request=request_id):
                pending = self._pending.get(request_id)
                if pending is None or pending.future.done():
                    agent.link.send(SlotRelease(request=request_id))
                    return
                pending.future.set_result(EngineSlot(agent, request_id))
            case SlotRefusal(request=request_id):
                pending = self._pending.get(request_id)
                if pending is not None:
                    pending.drop(agent, True)

    async def acquire(
        self, agents: list[AgentLink], slot_request: SlotRequest, wait_s: float
    ) -> EngineSlot | SlotDenied:
        """Request a slot from all agents and return the first one granted.

        The request is withdrawn from the other agents. Returns ``SlotDenied`` when all
        agents refuse or ``wait_s`` seconds pass.
        """
        request_id = f"{slot_request.request}.{next(self._numbers)}"
        slot_request = attrs.evolve(slot_request, request=request_id)
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(future, list(agents))
        self._pending[request_id] = pending
        for agent in agents:
            agent.link.send(slot_request)
        result: EngineSlot | SlotDenied | None = None
        try:
            async with asyncio.timeout(wait_s):
                result = await future
        except TimeoutError:
            pass
        finally:
            del self._pending[request_id]
            if result is None and future.done() and not future.cancelled():
                # The wait was cancelled or timed out in the same event-loop iteration
                # in which the slot was granted.
                match future.result():
                    case EngineSlot() as late:
                        late.release()
                        # It is gone already if its link has closed meanwhile.
                        if late.agent in pending.remaining:
                            pending.remaining.remove(late.agent)
            for agent in pending.remaining:
                if not isinstance(result, EngineSlot) or agent is not result.agent:
                    agent.link.send(SlotRelease(request=request_id))
        return result if result is not None else SlotDenied(False)
