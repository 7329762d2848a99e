"""Baseline: agents in turn, whatever their load."""

from random import Random

from .base import AgentView, PlacementPolicy, PlacementRequest, is_usable

__all__ = ["RoundRobin"]


class RoundRobin(PlacementPolicy):
    """Choose one agent, in the own region while one is usable there."""

    name = "round_robin"

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self,
        request: PlacementRequest,
        agents: list[AgentView],
        already: set[str],
        random: Random,
    ) -> list[str]:
        """Return the agent after the last one, or none while a reservation is held."""
        usable = [agent for agent in agents if is_usable(agent, request.tier)]
        if already or not usable:
            return []
        regional = [agent for agent in usable if agent.region == request.region]
        names = sorted(agent.agent_id for agent in regional or usable)
        if not self._last:
            # Entries that start together must not go through the agents in step.
            self._last = random.choice(names)
        later = (name for name in names if name > self._last)
        self._last = next(later, names[0])
        return [self._last]
