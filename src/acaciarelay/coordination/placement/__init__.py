"""Placement policies by name, and the subset of agents that an entry connects to."""

from .base import AgentState, PlacementPolicy, PlacementRequest, agent_wait_s, is_usable
from .late_binding import LateBinding
from .least_reported import LeastReported
from .rendezvous import choose_subset, rendezvous_agent
from .round_robin import RoundRobin

__all__ = [
    "PLACEMENT_POLICIES",
    "AgentState",
    "PlacementPolicy",
    "PlacementRequest",
    "agent_wait_s",
    "choose_subset",
    "is_usable",
    "rendezvous_agent",
]

PLACEMENT_POLICIES: dict[str, type[PlacementPolicy]] = {
    policy.name: policy for policy in (LateBinding, LeastReported, RoundRobin)
}
