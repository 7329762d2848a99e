"""Baseline: push to the agent with the lowest reported load."""

from random import Random

from .base import AgentState, PlacementPolicy, PlacementRequest, is_usable, load_share

__all__ = ["LeastReported"]


class LeastReported(PlacementPolicy):
    """Choose one agent, in the entry's region while one is usable there."""

    name = "least_reported"

    def choose(
        self,
        request: PlacementRequest,
        agents: list[AgentState],
        reserved: set[str],
        random: Random,
    ) -> list[str]:
        """Return the least loaded agent, or none if there is a reservation."""
        usable = [agent for agent in agents if is_usable(agent, request.tier)]
        if reserved or not usable:
            return []
        regional = [agent for agent in usable if agent.region == request.region]
        best = min(
            regional or usable, key=lambda agent: (load_share(agent), random.random())
        )
        return [best.agent_id]
