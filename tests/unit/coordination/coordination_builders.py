"""Builders of reservations and agent states with defaults that tests override."""

from typing import Any

import attrs

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.coordination.load import TierCount
from acaciarelay.coordination.placement import AgentState, PlacementRequest

RESERVATION = Reservation(
    "", "entry-1", "chat", 1, "a", 1, 100, 50, 0, True, False, 0.0, 60.0, 10.0, 0.0
)
AGENT = AgentState(
    "", "chat", "zone-1", "north", True, False, True, 10_000, 1_000.0, {}, None, 0.0
)
REQUEST = PlacementRequest(1, 500, 0, "zone-1", "north", 0.0, 10.0, 2, 0.5)


def reservation(request_id: str, **changes: Any) -> Reservation:
    return attrs.evolve(RESERVATION, request_id=request_id, **changes)


def agent(name: str, running: int = 0, waiting: int = 0, **changes: Any) -> AgentState:
    """Build an agent state; ``running`` and ``waiting`` are tokens of tier 1."""
    tiers = {1: TierCount(1, waiting, 1, running)}
    return attrs.evolve(AGENT, **({"agent_id": name, "tiers": tiers} | changes))


def placement_request(**changes: Any) -> PlacementRequest:
    return attrs.evolve(REQUEST, **changes)
