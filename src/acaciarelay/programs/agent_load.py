"""The load that an agent reports to the entries."""

import attrs

from acaciarelay.coordination.concurrency import TokenLimit
from acaciarelay.coordination.fair_queue import Reservation
from acaciarelay.coordination.load import TierCount
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.wire import NO_FLOOR

__all__ = ["LoadState", "load_report"]


@attrs.frozen(kw_only=True)
class LoadState:
    """What an agent's report of its load is made from.

    ``waiting`` counts the waiting reservations by tier, and ``in_service`` lists the
    running and the pulled ones. Without a tier floor ``tier_floor`` is ``None``.
    """

    waiting: dict[int, TierCount]
    in_service: list[Reservation]
    token_limit: TokenLimit
    tier_floor: int | None
    draining: bool
    generation: int
    endpoint_up: bool


def load_report(state: LoadState) -> pb.Load:
    """Build the report: work by tier, token limit, tier floor and state."""
    counts: dict[int, pb.TierLoad] = {}
    for tier, count in state.waiting.items():
        counts[tier] = pb.TierLoad(
            tier=tier, waiting=count.waiting, waiting_tokens=count.waiting_tokens
        )
    for reservation in state.in_service:
        tier_load = counts.setdefault(
            reservation.tier, pb.TierLoad(tier=reservation.tier)
        )
        tier_load.running += 1
        tier_load.running_tokens += reservation.tokens
    return pb.Load(
        tiers=list(counts.values()),
        token_limit=state.token_limit.limit,
        tier_floor=NO_FLOOR if state.tier_floor is None else state.tier_floor,
        draining=state.draining,
        generation=state.generation,
        endpoint_up=state.endpoint_up,
        tokens_per_second=state.token_limit.tokens_per_second,
    )
