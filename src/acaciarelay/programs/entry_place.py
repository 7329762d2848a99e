"""Placing a request: reservations, widening, the last resort and refusal."""

import asyncio
import contextlib
import time

from acaciarelay.coordination.admission import estimated_wait_s, retry_after_s
from acaciarelay.coordination.concurrency import largest_request
from acaciarelay.coordination.placement import (
    PLACEMENT_POLICIES,
    AgentView,
    PlacementRequest,
)
from acaciarelay.coordination.shedding import ShedCheck
from acaciarelay.programs.entry_call import Call
from acaciarelay.programs.entry_core import EntryCore
from acaciarelay.protocol.codes import Refusal, refuse

__all__ = ["Placer"]

STEP_S = 0.1
# A tier whose floor was confirmed at every agent may be shed again for this long; the
# agents keep the floor for 2 s.
FLOOR_VALID_S = 1.0
# A declined last resort is repeated after this time; a tier floor lasts 2 s.
LAST_RESORT_PAUSE_S = 0.25


class Placer:
    """Find an agent for a call, or the refusal that is true of it."""

    def __init__(self, core: EntryCore) -> None:
        self.core = core
        self.policies = {name: cls() for name, cls in PLACEMENT_POLICIES.items()}
        self.floor_until: dict[tuple[str, int], float] = {}

    async def place(self, call: Call) -> Refusal | None:
        """Wait until an agent has the call; returns a refusal if none takes it."""
        backlog = self.core.backlog(call)
        organisation = call.head.caller.organisation
        tokens = self.counted_tokens(call)
        backlog.add(organisation, tokens)
        try:
            return await self.wait_for_agent(call)
        finally:
            backlog.remove(organisation, tokens)

    def counted_tokens(self, call: Call) -> int:
        """Return the most tokens that an agent counts the call for."""
        views = self.core.pool_views(call.pool.name)
        largest = max((largest_request(v.token_limit) for v in views), default=0)
        return min(call.tokens, largest) if largest > 1 else call.tokens

    async def wait_for_agent(self, call: Call) -> Refusal | None:
        while call.waiting:
            call.wake.clear()
            now = time.monotonic()
            refusal = self.check(call, now)
            if refusal is not None:
                call.state.end()
                self.core.withdraw(call)
                return refusal
            if call.shed_check is None and now >= call.last_resort_after:
                self.reserve_more(call, now)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(STEP_S, max(0.0, call.deadline - now))):
                    await call.wake.wait()
        return None

    def check(self, call: Call, now: float) -> Refusal | None:
        """Return the refusal for a call that can't wait any longer."""
        if call.forced_refusal is not None:
            return call.forced_refusal
        if call.caller_left:
            return refuse("caller_gone")
        if now >= call.deadline:
            return refuse("deadline_exceeded", retry_after_s=self.retry_after(call))
        if call.shed_check is not None:
            return self.check_last_resort(call, now)
        over_budget = now - call.started_at >= call.head.wait_budget_s
        if not over_budget and not call.hopeless:
            return None
        if self.may_shed_now(call, now):
            return self.shed(call)
        # An estimate alone is no reason to stop lower work for this call.
        if over_budget and now >= call.last_resort_after:
            self.start_last_resort(call, now)
        return None

    def may_shed_now(self, call: Call, now: float) -> bool:
        """Tell whether nothing lower can be in service, without asking the agents."""
        ranks = [tier.rank for tier in self.core.snapshot.tiers.values()]
        if call.rank >= max(ranks, default=0):
            return True
        return self.floor_until.get((call.pool.name, call.rank), 0.0) > now

    def start_last_resort(self, call: Call, now: float) -> None:
        """Reserve at every agent of the pool, each of which makes room or declines."""
        call.shed_check = ShedCheck()
        agent_ids = []
        for view in self.core.pool_views(call.pool.name):
            if not view.connected or not view.endpoint_up or view.draining:
                continue
            agent_ids.append(view.agent_id)
        call.shed_check.start(agent_ids, now)
        for agent_id in agent_ids:
            call.reserve(self.core.sessions[agent_id], last_resort=True)

    def check_last_resort(self, call: Call, now: float) -> Refusal | None:
        check = call.shed_check
        if check is not None and check.declined:
            # Lower work still runs at an agent that keeps its room for others.
            call.shed_check = None
            call.last_resort_after = now + LAST_RESORT_PAUSE_S
            return None
        if check is None or not check.complete(now):
            return None
        self.floor_until[(call.pool.name, call.rank)] = now + FLOOR_VALID_S
        return self.shed(call)

    def shed(self, call: Call) -> Refusal:
        """Refuse a call, and every lower one of its pool that waits here."""
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
        views = self.core.pool_views(call.pool.name)
        usable = [v for v in views if v.connected and v.endpoint_up and not v.draining]
        if not usable:
            return "no_endpoint"
        return "shed"

    def retry_after(self, call: Call) -> float:
        """Return a jittered time in seconds that grows with the pool's backlog."""
        views = self.core.pool_views(call.pool.name)
        return retry_after_s(pool_pressure(views), self.core.rng)

    def judge_wait(self, call: Call) -> None:
        """Mark a call that can't start within its wait budget."""
        views = self.core.pool_views(call.pool.name)
        tokens = self.counted_tokens(call)
        wait_s = estimated_wait_s(views, call.rank, tokens)
        if wait_s is None or wait_s <= call.head.wait_budget_s:
            call.hopeless = False
            return
        # Of its own tier, only what fair queueing serves first is ahead of it.
        higher_s = estimated_wait_s(views, call.rank - 1, tokens) or 0.0
        share = self.core.backlog(call).share_ahead(call.head.caller.organisation)
        fair_s = higher_s + max(0.0, wait_s - higher_s) * share
        call.hopeless = fair_s > call.head.wait_budget_s

    def reserve_more(self, call: Call, now: float) -> None:
        """Send further reservations as the placement policy advises."""
        avoided = {a for a, until in call.avoid_until.items() if until > now}
        record = call.pool.record
        request = PlacementRequest(
            tier=call.rank,
            tokens=call.tokens,
            prefix_hash=call.prefix_hash,
            zone=self.core.place.zone,
            region=self.core.place.region,
            waited_s=now - call.started_at,
            wait_budget_s=call.head.wait_budget_s,
            reservations=record.reservations,
            wan_wait_s=record.wan_wait_ms / 1000,
        )
        views = self.core.pool_views(call.pool.name)
        usable = [view for view in views if view.agent_id not in avoided]
        policy = self.policies[record.placement]
        chosen = policy.choose(request, usable, call.state.reserved, self.core.rng)
        if not chosen or not self.may_retry(call):
            return
        for agent_id in chosen:
            session = self.core.sessions.get(agent_id)
            if session is None or not session.connected:
                continue
            call.reserve(session, last_resort=False)
            link = self.core.link_class(agent_id)
            self.core.metrics.count("reservations_total", link=link)

    def may_retry(self, call: Call) -> bool:
        """Charge the retry budget when the call lost a reservation before."""
        if not call.retry_reason:
            return True
        if not self.core.budget(call.pool.name).spend():
            call.hopeless = call.hopeless or not call.state.reserved
            return False
        self.core.metrics.count("retries_total", reason=call.retry_reason)
        call.retry_reason = ""
        return True


def pool_pressure(views: list[AgentView]) -> float:
    """Return waiting tokens as a multiple of the token limit of a pool."""
    limit = sum(view.token_limit for view in views if view.connected)
    waiting = 0
    for view in views:
        for count in view.tiers.values():
            waiting += count.waiting_tokens
    return waiting / limit if limit else 1.0
