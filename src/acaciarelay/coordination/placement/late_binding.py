"""Reservations at several agents; the first one with free tokens runs the request."""

import math
from random import Random

from .base import (
    AgentState,
    PlacementPolicy,
    PlacementRequest,
    agent_wait_s,
    is_usable,
    load_share,
    spare_tokens,
)
from .rendezvous import rendezvous_agent

__all__ = ["LateBinding"]

# Each time this share of the wait budget passes, as many reservations as at first are
# added.
WIDEN_SHARE = 0.1
# Lowest weight of an agent, as a share of its token limit. Reports are seconds old, and
# an agent that no entry chooses would stay idle until its next report.
MIN_WEIGHT_SHARE = 0.05
# The agent that rendezvous hashing assigns to the prefix is used up to this load, as a
# share of its token limit, or up to this multiple of the mean load. A longer queue
# costs more time than a cached prefix saves.
PREFIX_LOAD_BOUND = 0.8
PREFIX_LOAD_RATIO = 1.25
# Other zones of the region are used as well when they save more than this wait. A small
# saved wait justifies them, since the latency between zones is at most 1 ms.
MIN_SAVED_WAIT_S = 0.02


class LateBinding(PlacementPolicy):
    """Choose agents at random, weighted by spare capacity.

    Agents of the request's zone and region are preferred. The longer the request waits,
    the more agents are chosen.
    """

    name = "late_binding"

    def choose(
        self,
        request: PlacementRequest,
        agents: list[AgentState],
        reserved: set[str],
        random: Random,
    ) -> list[str]:
        """Return further agents: the prefix agent first, then a weighted sample."""
        eligible = _eligible_agents(request, agents)
        chosen: list[str] = []
        # The prefix agent is added to the wanted number, but only initially: if it
        # dropped the request, another agent is more useful.
        if request.waited_s < request.wait_budget_s * WIDEN_SHARE:
            chosen = _prefix_choice(request, eligible, reserved)
        wanted = _wanted(request) - len(reserved)
        taken = reserved.union(chosen)
        candidates = [agent for agent in eligible if agent.agent_id not in taken]
        return chosen + _sample(candidates, request.tier, wanted, random)


def _wanted(request: PlacementRequest) -> int:
    """Return how many agents should have a reservation after the time waited."""
    step_s = request.wait_budget_s * WIDEN_SHARE
    steps = int(request.waited_s / step_s) if step_s > 0 else 0
    return request.reservations * (1 + steps)


def _eligible_agents(
    request: PlacementRequest, agents: list[AgentState]
) -> list[AgentState]:
    """Return the usable agents of the zone, the region or all regions."""
    zonal, zonal_s = [], math.inf
    regional, regional_s = [], math.inf
    usable, usable_s = [], math.inf
    for agent in agents:
        if not is_usable(agent, request.tier):
            continue
        # An unknown rate means that the agent has just started.
        wait_s = agent_wait_s(agent, request.tier, request.tokens) or 0.0
        usable.append(agent)
        usable_s = min(usable_s, wait_s)
        if agent.region != request.region:
            continue
        regional.append(agent)
        regional_s = min(regional_s, wait_s)
        if agent.zone == request.zone:
            zonal.append(agent)
            zonal_s = min(zonal_s, wait_s)
    # If the request has waited longer than the wait reported for its region, the
    # reports understate it.
    saved_s = max(regional_s, request.waited_s) - usable_s
    if len(regional) < len(usable) and saved_s > request.wan_wait_s:
        return usable
    if len(zonal) >= _wanted(request) and zonal_s - regional_s <= MIN_SAVED_WAIT_S:
        return zonal
    return regional


def _prefix_choice(
    request: PlacementRequest, agents: list[AgentState], reserved: set[str]
) -> list[str]:
    """Return the rendezvous agent of the prefix, unless loaded or reserved."""
    if request.prefix_hash == 0 or not agents:
        return []
    by_id = {agent.agent_id: agent for agent in agents}
    agent_id = rendezvous_agent(request.prefix_hash, by_id)
    if agent_id is None or agent_id in reserved:
        return []
    mean = sum(load_share(agent) for agent in agents) / len(agents)
    bound = max(PREFIX_LOAD_BOUND, PREFIX_LOAD_RATIO * mean)
    return [agent_id] if load_share(by_id[agent_id]) <= bound else []


def _sample(
    agents: list[AgentState], tier: int, number: int, random: Random
) -> list[str]:
    """Sample agents without replacement, weighted by spare capacity.

    The smallest of exponential variables divided by the weights gives such a sample
    (Efraimidis and Spirakis, 2006). The random choice prevents herding: entries with
    the same reports would otherwise all choose the same agents.
    """
    if number <= 0:
        return []
    keyed = []
    for agent in agents:
        floor = max(1.0, agent.token_limit * MIN_WEIGHT_SHARE)
        weight = max(floor, spare_tokens(agent, tier))
        keyed.append((random.expovariate(weight), agent.agent_id))
    keyed.sort()
    return [agent_id for _, agent_id in keyed[:number]]
