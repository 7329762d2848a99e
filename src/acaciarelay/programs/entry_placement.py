"""Placement of a request: reservations at agents, the last-resort round, refusals."""

import asyncio
import contextlib
import time

from acaciarelay.coordination.admission import estimated_wait_s, retry_after_s
from acaciarelay.coordination.concurrency import max_request_tokens
from acaciarelay.coordination.placement import (
    PLACEMENT_POLICIES,
    AgentState,
    PlacementRequest,
)
from acaciarelay.coordination.shedding import LastResortRound
from acaciarelay.programs.entry_call import Call
from acaciarelay.programs.entry_core import EntryCore
from acaciarelay.protocol.codes import Refusal, refuse

__all__ = ["ReservationPlacer"]

# Longest time between two evaluations of a waiting call.
RECHECK_INTERVAL_S = 0.1
# Once every agent of a pool has confirmed a tier floor, further requests of that tier
# are shed without a new round. Less than the 2 s for which agents keep the floor.
FLOOR_CONFIRMATION_VALID_S = 1.0
# Delay before a declined last-resort round is repeated, well within the 2 s that a tier
# floor lasts.
LAST_RESORT_RETRY_DELAY_S = 0.25


class ReservationPlacer:
    """Assigns calls to agents, and refuses those that no agent can take in time."""

    def __init__(self, core: EntryCore) -> None:
        self.core = core
        self.policies = {name: cls() for name, cls in PLACEMENT_POLICIES.items()}
        self.floor_confirmed_until: dict[tuple[str, int], float] = {}

    async def place(self, call: Call) -> Refusal | None:
        """Wait until the call is handed off to an agent; return a refusal otherwise."""
        backlog = self.core.backlog(call)
        organisation = call.head.caller.organisation
        tokens = self.capped_tokens(call)
        backlog.add(organisation, tokens)
        try:
            return await self.wait_for_agent(call)
        finally:
            backlog.remove(organisation, tokens)

    def capped_tokens(self, call: Call) -> int:
        """Return the estimated tokens, capped at the most an agent counts for them."""
        agents = self.core.pool_agents(call.pool.name)
        largest = max((max_request_tokens(a.token_limit) for a in agents), default=0)
        return min(call.tokens, largest) if largest > 1 else call.tokens

    async def wait_for_agent(self, call: Call) -> Refusal | None:
        while call.waiting:
            call.wake.clear()
            now = time.monotonic()
            refusal = self.find_refusal(call, now)
            if refusal is not None:
                call.state.end()
                self.core.withdraw(call)
                return refusal
            if call.last_resort_round is None and now >= call.next_last_resort_at:
                self.reserve_more(call, now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    min(RECHECK_INTERVAL_S, max(0.0, call.deadline - now))
                ):
                    await call.wake.wait()
        return None

    def find_refusal(self, call: Call, now: float) -> Refusal | None:
        """Return the refusal of a waiting call, or ``None`` while it may wait.

        Starts a last-resort round for a call whose wait budget is exhausted.
        """
        if call.forced_refusal is not None:
            return call.forced_refusal
        if call.caller_disconnected:
            return refuse("caller_gone")
        if now >= call.deadline:
            return refuse("deadline_exceeded", retry_after_s=self.retry_after(call))
        if call.last_resort_round is not None:
            return self.check_last_resort(call, now)
        over_budget = now - call.created_at >= call.head.wait_budget_s
        if not over_budget and not call.infeasible:
            return None
        if self.may_shed_now(call, now):
            return self.shed(call)
        # A last-resort round cancels lower-tier work, so an estimated wait alone does
        # not start one.
        if over_budget and now >= call.next_last_resort_at:
            self.start_last_resort(call, now)
        return None

    def may_shed_now(self, call: Call, now: float) -> bool:
        """Return whether the call can be shed without a new last-resort round.

        True when no lower tier exists, and for a time after a round has shown that no
        lower tier is in service.
        """
        ranks = [tier.rank for tier in self.core.snapshot.tiers.values()]
        if call.rank >= max(ranks, default=0):
            return True
        return self.floor_confirmed_until.get((call.pool.name, call.rank), 0.0) > now

    def start_last_resort(self, call: Call, now: float) -> None:
        """Send a last-resort reservation to every usable agent of the pool.

        Each agent evicts or cancels lower-tier work for it, or drops it.
        """
        call.last_resort_round = LastResortRound()
        agent_ids = []
        for agent in self.core.pool_agents(call.pool.name):
            if not agent.connected or not agent.endpoint_up or agent.draining:
                continue
            agent_ids.append(agent.agent_id)
        call.last_resort_round.start(agent_ids, now)
        for agent_id in agent_ids:
            call.reserve(self.core.sessions[agent_id], last_resort=True)

    def check_last_resort(self, call: Call, now: float) -> Refusal | None:
        """Shed the call after its round, or schedule a retry of a declined one."""
        last_resort_round = call.last_resort_round
        if last_resort_round is not None and last_resort_round.declined:
            # An agent still has lower-tier work, but its free tokens are needed for
            # other reservations.
            call.last_resort_round = None
            call.next_last_resort_at = now + LAST_RESORT_RETRY_DELAY_S
            return None
        if last_resort_round is None or not last_resort_round.may_shed(now):
            return None
        self.floor_confirmed_until[(call.pool.name, call.rank)] = (
            now + FLOOR_CONFIRMATION_VALID_S
        )
        return self.shed(call)

    def shed(self, call: Call) -> Refusal:
        """Refuse a call and every lower-tier call that waits for the same pool here."""
        for other in list(self.core.calls.values()):
            if other.pool.name != call.pool.name or other.rank <= call.rank:
                continue
            if other.waiting:
                other.forced_refusal = refuse(
                    "shed", retry_after_s=self.retry_after(other)
                )
                other.wake.set()
        code = self.shed_reason(call)
        detail = ""
        if code == "no_endpoint":
            detail = f"Pool {call.pool.name} has no endpoint that is up and active"
        return refuse(code, detail, self.retry_after(call))

    def shed_reason(self, call: Call) -> str:
        agents = self.core.pool_agents(call.pool.name)
        usable = [
            agent
            for agent in agents
            if agent.connected and agent.endpoint_up and not agent.draining
        ]
        if not usable:
            return "no_endpoint"
        return "shed"

    def retry_after(self, call: Call) -> float:
        """Return a jittered Retry-After in seconds that grows with the backlog."""
        agents = self.core.pool_agents(call.pool.name)
        return retry_after_s(pool_pressure(agents), self.core.rng)

    def check_feasibility(self, call: Call) -> None:
        """Mark the call as infeasible if its estimated wait exceeds its wait budget."""
        agents = self.core.pool_agents(call.pool.name)
        tokens = self.capped_tokens(call)
        wait_s = estimated_wait_s(agents, call.rank, tokens)
        if wait_s is None or wait_s <= call.head.wait_budget_s:
            call.infeasible = False
            return
        # Of the waiting work of its own tier, only the share that fair queueing serves
        # first delays the call.
        higher_s = estimated_wait_s(agents, call.rank - 1, tokens) or 0.0
        share = self.core.backlog(call).share_ahead(call.head.caller.organisation)
        fair_s = higher_s + max(0.0, wait_s - higher_s) * share
        call.infeasible = fair_s > call.head.wait_budget_s

    def reserve_more(self, call: Call, now: float) -> None:
        """Send reservations to the further agents that the placement policy chooses."""
        avoided = {a for a, until in call.avoid_until.items() if until > now}
        record = call.pool.record
        request = PlacementRequest(
            tier=call.rank,
            tokens=call.tokens,
            prefix_hash=call.prefix_hash,
            zone=self.core.identity.zone,
            region=self.core.identity.region,
            waited_s=now - call.created_at,
            wait_budget_s=call.head.wait_budget_s,
            reservations=record.reservations,
            wan_wait_s=record.wan_wait_ms / 1000,
        )
        agents = self.core.pool_agents(call.pool.name)
        usable = [agent for agent in agents if agent.agent_id not in avoided]
        policy = self.policies[record.placement]
        chosen = policy.choose(request, usable, call.state.reserved, self.core.rng)
        if not chosen or not self.spend_retry(call):
            return
        for agent_id in chosen:
            session = self.core.sessions.get(agent_id)
            if session is None or not session.connected:
                continue
            call.reserve(session, last_resort=False)
            link = self.core.link_class(agent_id)
            self.core.metrics.count("reservations_total", link=link)

    def spend_retry(self, call: Call) -> bool:
        """Take a retry from the pool's budget if the call lost a reservation before.

        Returns false when the budget is exhausted; a call without any reservation is
        then infeasible.
        """
        if not call.retry_reason:
            return True
        if not self.core.budget(call.pool.name).try_spend():
            call.infeasible = call.infeasible or not call.state.reserved
            return False
        self.core.metrics.count("retries_total", reason=call.retry_reason)
        call.retry_reason = ""
        return True


def pool_pressure(agents: list[AgentState]) -> float:
    """Return the waiting tokens of a pool as a multiple of its token limit."""
    limit = sum(agent.token_limit for agent in agents if agent.connected)
    waiting = 0
    for agent in agents:
        for count in agent.tiers.values():
            waiting += count.waiting_tokens
    return waiting / limit if limit else 1.0
