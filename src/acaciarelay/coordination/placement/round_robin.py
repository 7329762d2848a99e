"""Round-robin placement, which ignores load; a baseline to compare policies with."""

from random import Random

from .base import AgentState, PlacementPolicy, PlacementRequest, is_usable

__all__ = ["RoundRobin"]


class RoundRobin(PlacementPolicy):
    """Choose one agent, in the entry's region while one is usable there."""

    name = "round_robin"

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self,
        request: PlacementRequest,
        agents: list[AgentState],
        reserved: set[str],
        random: Random,
    ) -> list[str]:
        """Return the id of the next agent in turn.

        The list is empty when there is a reservation already or no agent is usable.
        """
        usable = [agent for agent in agents if is_usable(agent, request.tier)]
        if reserved or not usable:
            return []
        regional = [agent for agent in usable if agent.region == request.region]
        names = sorted(agent.agent_id for agent in regional or usable)
        if not self._last:
            # A random start keeps entries that start together out of lockstep.
            self._last = random.choice(names)
        later = (name for name in names if name > self._last)
        self._last = next(later, names[0])
        return [self._last]
