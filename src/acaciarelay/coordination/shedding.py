"""The tier floor, preemption, and the last-resort round before a request is shed."""

import collections
import math

import attrs

from .fair_queue import Reservation

__all__ = [
    "LastResortRound",
    "RunningWork",
    "TierFloor",
    "choose_victim",
    "should_preempt",
]

# Time for which a tier floor stays in force.
TIER_FLOOR_S = 3.0
# Share of the wait budget before which nothing is preempted.
PREEMPT_SHARE = 0.5
# Work is preempted for a request that is not expected to start within this share of its
# wait budget. The rest allows for a low estimate and a slow answer to a pull, since at
# the end of the budget the entry makes last-resort reservations at all agents, which
# stop all lower-tier work of the pool.
LATEST_START_SHARE = 0.75
# A last-resort round takes one round trip and the time to stop lower-tier work. A sound
# agent may be silent for 1.5 s; one that does not answer within this time is
# unreachable. A tier floor outlasts the round.
LAST_RESORT_TIMEOUT_S = 2.0


@attrs.define
class RunningWork:
    """A running request; ``tokens_done`` counts prefill and answer tokens."""

    request_id: str
    tier: int
    repeatable: bool
    prompt_tokens: int
    tokens_done: int
    first_token_sent: bool
    organisation: str = ""


class TierFloor:
    """The lowest tier that is served; each floor expires after ``TIER_FLOOR_S``."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}

    def set(self, tier: int, now: float) -> None:
        """Serve no tier below the given one until the floor expires."""
        self._until[tier] = now + TIER_FLOOR_S

    def current(self, now: float) -> int | None:
        """Return the most urgent floor in force, or ``None``."""
        for tier in [key for key, until in self._until.items() if until <= now]:
            del self._until[tier]
        return min(self._until, default=None)


def _prefill_done(work: RunningWork) -> int:
    if work.first_token_sent:
        return work.prompt_tokens
    return min(work.tokens_done, work.prompt_tokens)


def choose_victim(running: list[RunningWork], tier: int) -> str | None:
    """Return the request to cancel for one of the given tier, or ``None``.

    Only repeatable work of a strictly lower tier is cancelled: the lowest tier first,
    in it the organisation with the most running requests, so that a flood of one
    organisation does not cost others their streams, and of those the request that
    loses the least prefill.
    """
    candidates = [work for work in running if work.tier > tier and work.repeatable]
    if not candidates:
        return None
    lowest = max(work.tier for work in candidates)
    candidates = [work for work in candidates if work.tier == lowest]
    counts = collections.Counter(work.organisation for work in candidates)
    victim = min(
        candidates,
        key=lambda work: (
            -counts[work.organisation],
            _prefill_done(work),
            work.tokens_done,
        ),
    )
    return victim.request_id


def should_preempt(
    head: Reservation, now: float, time_until_free_s: float = math.inf
) -> bool:
    """Return whether to cancel lower-tier work for the head of the queue.

    ``time_until_free_s`` is the expected time until finished runs have freed enough
    tokens for it. No run is cancelled for a head that is expected to start within
    ``LATEST_START_SHARE`` of its wait budget, since that would waste the run's prefill.
    """
    if head.last_resort:
        return True
    waited_s = head.waited_s + max(0.0, now - head.queued_at)
    if waited_s <= head.wait_budget_s * PREEMPT_SHARE:
        return False
    return waited_s + time_until_free_s > head.wait_budget_s * LATEST_START_SHARE


class LastResortRound:
    """Track the last-resort round that precedes the shedding of one request."""

    def __init__(self) -> None:
        self._pending: set[str] = set()
        self._started_at: float | None = None
        self.declined = False

    @property
    def pending(self) -> list[str]:
        """Return the agents that have neither replied nor disconnected."""
        return sorted(self._pending)

    def start(self, agent_ids: list[str], now: float) -> None:
        """Start a round of requests to the given agents."""
        self._pending = set(agent_ids)
        self._started_at = now

    def record_reply(self, agent_id: str) -> None:
        """Record that an agent dropped the reservation, for whatever reason."""
        self._pending.discard(agent_id)

    def record_decline(self) -> None:
        """Record that an agent runs lower-tier work but has no capacity now."""
        self.declined = True

    def record_session_lost(self, agent_id: str) -> None:
        """Record that the session with an agent ended."""
        self._pending.discard(agent_id)

    def may_shed(self, now: float) -> bool:
        """Return whether the request may be shed; false after a decline."""
        if self._started_at is None or self.declined:
            return False
        return not self._pending or now - self._started_at >= LAST_RESORT_TIMEOUT_S
