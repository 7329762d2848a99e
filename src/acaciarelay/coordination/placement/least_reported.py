"""Placement by lowest reported load; a baseline to compare policies with."""

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
        """Return the id of the least loaded agent.

        The list is empty when there is a reservation already or no agent is usable.
        """
        usable = [agent for agent in agents if is_usable(agent, request.tier)]
        if reserved or not usable:
            return []
        regional = [agent for agent in usable if agent.region == request.region]
        best = min(
            regional or usable, key=lambda agent: (load_share(agent), random.random())
        )
        return [best.agent_id]
