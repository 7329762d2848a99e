"""Ask agents for places at their engines and take the first that is granted."""

import asyncio
import itertools

import attrs

from acaciarelay.coordination.engine_model import EngineSpeed
from acaciarelay.protocol.relay_messages import (
    AskPlace,
    EndPlace,
    EngineState,
    GrantPlace,
    RefusePlace,
    RelayMessage,
)
from acaciarelay.transport.message_link import MessageLink

__all__ = ["AgentLink", "NoPlace", "Place", "PlaceAsker"]

# An agent that was silent for longer may have another load than it last told.
STATE_FRESH_S = 1.2
UNKNOWN_WAIT_S = 0.05
# An agent that says nothing for longer than two heartbeats is frozen or cut off.
SILENT_S = 1.2


@attrs.define(eq=False)
class AgentLink:
    """Hold one agent's link with what it last said of its engine."""

    host: str
    link: MessageLink
    state: EngineState | None = None

    def expected_wait_s(self, rank: int, now: float) -> float:
        """Return the wait that a new request of a rank must expect here."""
        if self.state is None or now - self.link.heard_at > STATE_FRESH_S:
            return UNKNOWN_WAIT_S
        waits = self.state.waits_s
        if not waits:
            return UNKNOWN_WAIT_S
        return waits[min(rank, len(waits) - 1)] + self.link.round_trip_s

    @property
    def speed(self) -> EngineSpeed:
        """Return how fast the engine is; unknown while the agent has told nothing."""
        if self.state is None:
            return EngineSpeed()
        return EngineSpeed(first_s=self.state.first_s, token_s=self.state.token_s)


@attrs.define(eq=False)
class Place:
    """Hold a granted place until it is given back."""

    agent: AgentLink
    request: str
    open: bool = True

    def end(self, first_s: float = 0.0, stream_s: float = 0.0) -> None:
        """Give the place back with what was seen; further calls do nothing."""
        if not self.open:
            return
        self.open = False
        self.agent.link.send(
            EndPlace(
                request=self.request,
                first_s=round(first_s, 4),
                stream_s=round(stream_s, 4),
            )
        )


@attrs.frozen
class NoPlace:
    """Say that no place was granted; ``refused`` if no agent expects to have one."""

    refused: bool


@attrs.define(eq=False)
class _Pending:
    """Hold a request that waits; the future gets a ``Place`` or ``NoPlace``."""

    future: asyncio.Future
    asked: list[AgentLink]

    def drop(self, agent: AgentLink, refused: bool) -> None:
        """Take an agent off; the last one decides."""
        if agent not in self.asked:
            return
        self.asked.remove(agent)
        if not self.asked and not self.future.done():
            self.future.set_result(NoPlace(refused))


class PlaceAsker:
    """Keep the links to agents by host and the requests that wait for a place."""

    def __init__(self) -> None:
        self.agents: dict[str, AgentLink] = {}
        self._pending: dict[str, _Pending] = {}
        self._numbers = itertools.count(1)
        # Hosts whose link was lost because nothing came over it.
        self._silent_hosts: set[str] = set()

    def opened(self, host: str, link: MessageLink) -> None:
        """Take a new link to the agent at a host."""
        self.agents[host] = AgentLink(host, link)
        self._silent_hosts.discard(host)

    def silent(self, host: str, now: float) -> bool:
        """Return whether nothing comes from the agent at a host any more."""
        agent = self.agents.get(host)
        if agent is None:
            return host in self._silent_hosts
        return now - agent.link.heard_at > SILENT_S

    def closed(self, host: str, link: MessageLink) -> None:
        """Drop a lost link; requests that wait only there go on without a place."""
        agent = self.agents.get(host)
        if agent is None or agent.link is not link:
            return
        del self.agents[host]
        if asyncio.get_running_loop().time() - link.heard_at > SILENT_S:
            self._silent_hosts.add(host)
        for pending in list(self._pending.values()):
            pending.drop(agent, False)

    def receive(self, host: str, message: RelayMessage) -> None:
        """Take a message from the agent at a host."""
        agent = self.agents.get(host)
        if agent is None:
            return
        match message:
            case EngineState():
                agent.state = message
            case GrantPlace(request=request):
                pending = self._pending.get(request)
                if pending is None or pending.future.done():
                    agent.link.send(EndPlace(request=request))
                    return
                pending.future.set_result(Place(agent, request))
            case RefusePlace(request=request):
                pending = self._pending.get(request)
                if pending is not None:
                    pending.drop(agent, True)

    async def ask(
        self, agents: list[AgentLink], ask: AskPlace, wait_s: float
    ) -> Place | NoPlace:
        """Ask agents and return the first place granted within ``wait_s`` seconds."""
        request = f"{ask.request}.{next(self._numbers)}"
        ask = attrs.evolve(ask, request=request)
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(future, list(agents))
        self._pending[request] = pending
        for agent in agents:
            agent.link.send(ask)
        result: Place | NoPlace | None = None
        try:
            async with asyncio.timeout(wait_s):
                result = await future
        except TimeoutError:
            pass
        finally:
            del self._pending[request]
            if result is None and future.done() and not future.cancelled():
                # The caller left in the very turn in which the place was granted.
                match future.result():
                    case Place() as late:
                        late.end()
                        pending.asked.remove(late.agent)
            for agent in pending.asked:
                if not isinstance(result, Place) or agent is not result.agent:
                    agent.link.send(EndPlace(request=request))
        return result if result is not None else NoPlace(False)
