"""Builders of reservations and agent views with defaults that tests override."""

from typing import Any

from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.coordination.load import TierCount
from acaciarelay.coordination.placement import AgentView, PlacementRequest


def reservation(request_id: str, **changes: Any) -> Reservation:
    values: dict[str, Any] = dict(
        request_id=request_id,
        entry_id="entry-1",
        pool="chat",
        tier=1,
        organisation="a",
        weight=1,
        tokens=100,
        prompt_tokens=50,
        prefix_hash=0,
        repeatable=True,
        last_resort=False,
        queued_at=0.0,
        deadline=60.0,
        wait_budget_s=10.0,
        waited_s=0.0,
    )
    return Reservation(**(values | changes))


def agent(agent_id: str, running: int = 0, waiting: int = 0, **changes: Any):
    """Build a view; ``running`` and ``waiting`` are tokens of tier 1."""
    values: dict[str, Any] = dict(
        agent_id=agent_id,
        pool="chat",
        zone="zone-1",
        region="north",
        connected=True,
        draining=False,
        endpoint_up=True,
        token_limit=10_000,
        tokens_per_second=1_000.0,
        tiers={1: TierCount(1, waiting, 1, running)},
        tier_floor=None,
        updated_at=0.0,
    )
    return AgentView(**(values | changes))


def placement_request(**changes: Any) -> PlacementRequest:
    values: dict[str, Any] = dict(
        tier=1,
        tokens=500,
        prefix_hash=0,
        zone="zone-1",
        region="north",
        waited_s=0.0,
        wait_budget_s=10.0,
        reservations=2,
        wan_wait_s=0.5,
    )
    return PlacementRequest(**(values | changes))
