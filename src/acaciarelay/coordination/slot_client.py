"""Slot requests of an entry: ask several granters and use the first grant.

The granter of an engine is the agent beside it, or an entry while that is out of reach.
"""

import asyncio
import itertools
from collections.abc import Iterable
from typing import Protocol

import attrs

from acaciarelay.coordination.engine_model import EngineSpeed, assumed_speed
from acaciarelay.coordination.prompt_chain import PromptChain
from acaciarelay.protocol.link_messages import (
    EngineState,
    Hello,
    LinkMessage,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)

__all__ = ["AgentLink", "EngineSlot", "SlotClient", "SlotDenied", "SlotLink"]

# The last state of an engine is stale when its agent has sent nothing at all for longer
# than this. An unchanged state is not sent again, so its own age says nothing.
STATE_STALE_AFTER_SILENCE_S = 1.2
# The same for a granter in an entry: entries of other zones seldom send heartbeats to
# each other, but answer a ping every 2 s.
GRANTER_STATE_STALE_AFTER_SILENCE_S = 2.6
# Wait assumed while the state of an engine is unknown or stale.
DEFAULT_WAIT_S = 0.05
# Probability that an engine still keeps a part when a request arrives there. The
# granter has already weighted the tokens by how often its record was right.
KEPT_CHANCE = 0.9
UNKNOWN_SPEED = EngineSpeed()


class SlotLink(Protocol):
    """What slot requests need of the link to a granter.

    ``peer`` is the hello of an agent, ``None`` for a granter in an entry.
    """

    @property
    def peer(self) -> Hello | None: ...

    @property
    def last_received_at(self) -> float: ...

    @property
    def round_trip_s(self) -> float: ...

    def send(self, message: LinkMessage) -> None: ...


@attrs.define(eq=False)
class AgentLink:
    """The link to a granter and the last engine state received from it.

    ``beside_engine`` is true when the granter is the agent on the engine's VM.
    """

    host: str
    link: SlotLink
    state: EngineState | None = None
    # Unknown until the agent has reported it.
    speed: EngineSpeed = UNKNOWN_SPEED
    beside_engine: bool = True

    def update(self, state: EngineState) -> None:
        """Replace the engine state; a speed unknown to the granter stays as it is."""
        self.state = state
        if state.first_s or state.token_s:
            self.speed = EngineSpeed(first_s=state.first_s, token_s=state.token_s)

    @property
    def stale_after_s(self) -> float:
        if self.beside_engine:
            return STATE_STALE_AFTER_SILENCE_S
        return GRANTER_STATE_STALE_AFTER_SILENCE_S

    def expected_queue_s(self, rank: int, now: float) -> float:
        """Return how long the agent expects a new request of a rank to be queued."""
        if self.state is None:
            return DEFAULT_WAIT_S
        if now - self.link.last_received_at > self.stale_after_s:
            return DEFAULT_WAIT_S
        waits = self.state.waits_s
        if not waits:
            return DEFAULT_WAIT_S
        return waits[min(rank, len(waits) - 1)]

    def expected_wait_s(self, rank: int, now: float) -> float:
        """Return the expected time until a new request of a rank has a slot."""
        return self.expected_queue_s(rank, now) + self.link.round_trip_s

    def kept_tokens(self, chain: PromptChain, now: float) -> float:
        """Return the tokens of a prompt that the engine need not read.

        They are weighted by the chance that it still keeps them.
        """
        if self.state is None or not self.state.kept:
            return 0.0
        if now - self.link.last_received_at > self.stale_after_s:
            return 0.0
        tokens = 0
        for digest, chain_tokens in chain.items():
            tokens = max(tokens, min(chain_tokens, self.state.kept.get(digest, 0)))
        return KEPT_CHANCE * tokens

    @property
    def slowdown(self) -> float:
        """Return the mean slowdown of the engine's VM, as far as it is known."""
        return self.state.slowdown if self.state is not None else 1.0


@attrs.define(eq=False)
class EngineSlot:
    """A slot granted by an agent, held until ``release`` is called.

    ``slot_request`` is what was asked for, and ``held`` the slots of the process.
    """

    agent: AgentLink
    # Unique to each call of ``SlotClient.acquire``.
    request_id: str
    slot_request: SlotRequest | None = None
    held: set["EngineSlot"] = attrs.Factory(set)
    open: bool = True

    def release(
        self, first_s: float = 0.0, stream_s: float = 0.0, declined: bool = False
    ) -> None:
        """Release the slot and report the measured times; further calls do nothing.

        ``declined`` reports that the engine did not take the request.
        """
        if not self.open:
            return
        self.open = False
        self.held.discard(self)
        self.agent.link.send(
            SlotRelease(
                request=self.request_id,
                first_s=round(first_s, 4),
                stream_s=round(stream_s, 4),
                declined=declined,
            )
        )

    def move(self, agent: AgentLink) -> None:
        """Hold the slot with another granter of the same engine from now on."""
        if self.slot_request is None or self.agent is agent:
            return
        self.agent.link.send(SlotRelease(request=self.request_id))
        self.agent = agent
        agent.link.send(attrs.evolve(self.slot_request, held=True))


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
    slot_request: SlotRequest
    # Event loop time at which the wait ends.
    until: float
    # Agents asked that have neither refused nor been lost.
    remaining: list[AgentLink]

    def move(self, old: AgentLink, new: AgentLink, now: float) -> None:
        """Ask another granter of the same engine, if the first one is still asked."""
        if old not in self.remaining or self.future.done():
            return
        self.remaining.remove(old)
        old.link.send(SlotRelease(request=self.slot_request.request))
        self.remaining.append(new)
        wait_s = round(max(0.0, self.until - now), 4)
        waited_s = max(0.0, self.slot_request.wait_s - wait_s)
        time_left_s = round(self.slot_request.time_left_s - waited_s, 4)
        new.link.send(
            attrs.evolve(self.slot_request, wait_s=wait_s, time_left_s=time_left_s)
        )

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
        # Engines whose granter is about to be chosen.
        self.undecided: set[str] = set()
        self._held: dict[str, set[EngineSlot]] = {}
        # The last known speeds of engines whose granter has changed.
        self._last_speeds: dict[str, EngineSpeed] = {}

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

    def link_opened(self, host: str, link: SlotLink) -> None:
        """Register a new link to the agent at a host.

        It learns of the slots that are held, and gets the requests that wait at another
        granter.
        """
        granter = self.agents.get(host)
        agent = self.agents[host] = AgentLink(host, link)
        self._silent_since.pop(host, None)
        if self._held.get(host) and link.peer is not None and link.peer.grants_slots:
            self._move_held(agent)
        if granter is not None and not granter.beside_engine:
            self._move_waiting(granter, agent)

    def use_granter(self, host: str, link: SlotLink) -> AgentLink:
        """Ask an entry for the slots of an engine without an agent in reach.

        It takes over what the former granter held and was asked for.
        """
        former = self.agents.get(host)
        speed = former.speed if former is not None else self._last_speeds.get(host)
        granter = AgentLink(
            host, link, speed=speed or UNKNOWN_SPEED, beside_engine=False
        )
        self.agents[host] = granter
        self._move_held(granter)
        if former is not None:
            self._move_waiting(former, granter)
        return granter

    def drop_granter(self, host: str) -> None:
        """Ask no entry for the slots of an engine from now on."""
        granter = self.agents.get(host)
        if granter is None or granter.beside_engine:
            return
        del self.agents[host]
        self._last_speeds[host] = granter.speed
        self._drop_from_waiting(granter)

    def _move_held(self, granter: AgentLink) -> None:
        for slot in list(self._held.get(granter.host, ())):
            slot.move(granter)

    def _move_waiting(self, old: AgentLink, new: AgentLink) -> None:
        now = asyncio.get_running_loop().time()
        for pending in list(self._pending.values()):
            pending.move(old, new, now)

    def silence_s(self, host: str, now: float) -> float:
        """Return how long the agent at a host has sent nothing, 0 without an agent."""
        agent = self.agents.get(host)
        if agent is None or not agent.beside_engine:
            return now - self._silent_since.get(host, now)
        return now - agent.link.last_received_at

    def link_closed(self, host: str, link: SlotLink) -> None:
        """Remove a lost link; requests that wait only for its agent get no slot."""
        agent = self.agents.get(host)
        if agent is None or agent.link is not link:
            return
        del self.agents[host]
        self._last_speeds[host] = agent.speed
        silent_s = asyncio.get_running_loop().time() - link.last_received_at
        if silent_s > STATE_STALE_AFTER_SILENCE_S:
            self._silent_since[host] = link.last_received_at
        self._drop_from_waiting(agent)

    def forget(self, host: str) -> None:
        """Remove the agent at a host, whose silence says nothing from now on."""
        self._silent_since.pop(host, None)
        self._last_speeds.pop(host, None)
        if not self._held.get(host):
            self._held.pop(host, None)
        agent = self.agents.pop(host, None)
        if agent is not None:
            self._drop_from_waiting(agent)

    def _drop_from_waiting(self, agent: AgentLink) -> None:
        for pending in list(self._pending.values()):
            pending.drop(agent, False)

    def receive(self, host: str, message: LinkMessage) -> None:
        """Handle a message from the agent at a host."""
        agent = self.agents.get(host)
        if agent is not None and agent.beside_engine:
            self.receive_from(agent, message)

    def receive_from(self, agent: AgentLink, message: LinkMessage) -> None:
        """Handle a message from a granter, which may be a former one."""
        match message:
            case EngineState():
                agent.update(message)
            case SlotGrant(request=request_id):
                pending = self._pending.get(request_id)
                if pending is None or pending.future.done():
                    agent.link.send(SlotRelease(request=request_id))
                    return
                held = self._held.setdefault(agent.host, set())
                slot = EngineSlot(agent, request_id, pending.slot_request, held)
                held.add(slot)
                pending.future.set_result(slot)
            case SlotRefusal(request=request_id, not_granting=not_granting):
                pending = self._pending.get(request_id)
                if pending is not None:
                    pending.drop(agent, not not_granting)

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
        until = asyncio.get_running_loop().time() + wait_s
        pending = _Pending(future, slot_request, until, list(agents))
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
