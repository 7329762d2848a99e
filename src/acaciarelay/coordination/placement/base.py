"""The base class of placement policies, their inputs and shared estimates."""

import abc
import math
from random import Random

import attrs

from ..load import TierCount

__all__ = [
    "AgentState",
    "PlacementPolicy",
    "PlacementRequest",
    "agent_wait_s",
    "is_usable",
    "load_share",
    "spare_tokens",
]

# With late binding a request waits at this many agents and runs at one of them, so the
# reported waiting tokens count it this many times.
RESERVATION_COPIES = 2


@attrs.define
class AgentState:
    """An entry's cached state of an agent; the counts may be seconds old.

    ``tokens_per_second`` is the rate at which running requests free tokens, 0 when
    unknown. ``updated_at`` is in monotonic seconds.
    """

    agent_id: str
    pool: str
    zone: str
    region: str
    connected: bool
    draining: bool
    endpoint_up: bool
    token_limit: int
    tokens_per_second: float
    tiers: dict[int, TierCount]
    tier_floor: int | None
    updated_at: float


@attrs.frozen
class PlacementRequest:
    """A request to be placed, with the zone and region of its entry.

    ``reservations`` is the initial number of reservations; ``wan_wait_s`` is the wait
    that must be saved to justify billed traffic to another region.
    """

    tier: int
    tokens: int
    prefix_hash: int
    zone: str
    region: str
    waited_s: float
    wait_budget_s: float
    reservations: int
    wan_wait_s: float


class PlacementPolicy(abc.ABC):
    """Select the agents that receive a reservation for a request."""

    name: str

    @abc.abstractmethod
    def choose(
        self,
        request: PlacementRequest,
        agents: list[AgentState],
        reserved: set[str],
        random: Random,
    ) -> list[str]:
        """Return ids of further agents; those in ``reserved`` have a reservation."""


def is_usable(agent: AgentState, tier: int) -> bool:
    """Return whether an agent can serve a request of the tier."""
    if not agent.connected or agent.draining or not agent.endpoint_up:
        return False
    return agent.tier_floor is None or tier <= agent.tier_floor


def _tokens_ahead(agent: AgentState, tier: int, copies: int) -> float:
    """Return the tokens that are served before a new request of the tier.

    Running lower-tier requests are not counted, since the agent preempts them.
    """
    tokens = 0.0
    for other, count in agent.tiers.items():
        if other <= tier:
            tokens += count.running_tokens + count.waiting_tokens / copies
    return tokens


def spare_tokens(agent: AgentState, tier: int) -> float:
    """Return the free tokens of a tier; negative when requests of it wait."""
    running = sum(count.running_tokens for count in agent.tiers.values())
    waiting = sum(
        count.waiting_tokens for other, count in agent.tiers.items() if other <= tier
    )
    return agent.token_limit - running - waiting


def load_share(agent: AgentState) -> float:
    """Return running and waiting tokens as a share of the token limit."""
    tokens = sum(
        count.running_tokens + count.waiting_tokens for count in agent.tiers.values()
    )
    return tokens / max(1, agent.token_limit)


def agent_wait_s(agent: AgentState, tier: int, tokens: int) -> float | None:
    """Estimate the wait of a request at an agent; ``None`` when its rate is unknown."""
    ahead = _tokens_ahead(agent, tier, RESERVATION_COPIES)
    # One request of any size fits when nothing is ahead of it.
    excess = min(ahead, ahead + tokens - agent.token_limit)
    if excess <= 0:
        return 0.0
    if agent.tokens_per_second <= 0 or not math.isfinite(agent.tokens_per_second):
        return None
    return excess / agent.tokens_per_second
