"""The entry's sessions with agents, and routing of agent messages to calls."""

import asyncio
import random
import time
from collections.abc import Callable

import attrs

from acaciarelay.coordination.admission import Backlog
from acaciarelay.coordination.load import TierCount
from acaciarelay.coordination.placement import AgentState, choose_subset
from acaciarelay.coordination.retry_budget import RetryBudget
from acaciarelay.programs.entry_call import AVOID_AGENT_S, Call, HolderLost
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.wire import NO_FLOOR
from acaciarelay.state.config_state import agent_snapshot
from acaciarelay.state.directory import AgentMember, MemberDirectory
from acaciarelay.state.records import Snapshot, encode_snapshot
from acaciarelay.state.request_state import AgentIdentity, Phase
from acaciarelay.transport.agent_session import AgentSession, SessionTiming

__all__ = ["EntryCore", "EntryIdentity"]

# Time for which a call waits, after its agent's session was lost, for a new session and
# the answer to its ``Query``.
RESUME_WINDOW_S = 15.0
# Retries in the budget of a pool before its first request.
RETRY_RESERVE = 10.0
# An agent that drops a last-resort reservation for one of these reasons still has
# lower-tier work.
CAPACITY_DROP_REASONS = (pb.EVICTED, pb.FULL)
# For a pool without a record: agents that this entry connects to, and retries per first
# attempt.
DEFAULT_SUBSET = 20
DEFAULT_RETRY_RATIO = 0.1


@attrs.frozen(kw_only=True)
class EntryIdentity:
    """Identity and location of the entry."""

    entry_id: str
    incarnation: int
    zone: str
    region: str


class EntryCore:
    """Manages the sessions with agents and routes their messages to calls."""

    def __init__(
        self,
        identity: EntryIdentity,
        metrics: Metrics,
        rng: random.Random,
        timing: SessionTiming,
    ) -> None:
        self.identity = identity
        self.metrics = metrics
        self.rng = rng
        self.timing = timing
        self.snapshot = Snapshot()
        self.calls: dict[str, Call] = {}
        self.backlogs: dict[tuple[str, int], Backlog] = {}
        self.sessions: dict[str, AgentSession] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.agent_states: dict[str, AgentState] = {}
        self.budgets: dict[str, RetryBudget] = {}
        # By agent id: the configuration generation that the agent reported, and the
        # newest schema that it supports of each record type.
        self.generations: dict[str, int] = {}
        self.schemas: dict[str, dict[str, int]] = {}
        self.on_usage: Callable[[Call, pb.End], None] = lambda call, end: None

    # Sessions.

    def build_hello(self) -> pb.Hello:
        return pb.Hello(
            entry_id=self.identity.entry_id,
            incarnation=self.identity.incarnation,
            zone=self.identity.zone,
            region=self.identity.region,
            generation=self.snapshot.generation,
        )

    def update_members(self, directory: MemberDirectory) -> None:
        """Open sessions with the agents of this entry's subsets; close all others."""
        wanted: dict[str, AgentMember] = {}
        by_pool: dict[str, list[str]] = {}
        for member in directory.agents.values():
            by_pool.setdefault(member.pool, []).append(member.id)
        for pool, agent_ids in by_pool.items():
            record = self.snapshot.pools.get(pool)
            size = record.subset if record is not None else DEFAULT_SUBSET
            for agent_id in choose_subset(self.identity.entry_id, agent_ids, size):
                wanted[agent_id] = directory.agents[agent_id]
        for agent_id, session in list(self.sessions.items()):
            kept = wanted.get(agent_id)
            if kept is None or kept.address != session.address:
                self.close_session(agent_id)
        for agent_id, member in wanted.items():
            if agent_id not in self.sessions:
                self.open_session(member)

    def open_session(self, member: AgentMember) -> None:
        session = AgentSession(
            member.id, member.address, self.build_hello, self, self.rng, self.timing
        )
        self.sessions[member.id] = session
        self.agent_states[member.id] = AgentState(
            agent_id=member.id,
            pool=member.pool,
            zone=member.zone,
            region=member.region,
            connected=False,
            draining=False,
            endpoint_up=True,
            token_limit=0,
            tokens_per_second=0.0,
            tiers={},
            tier_floor=None,
            updated_at=0.0,
        )
        self.tasks[member.id] = asyncio.create_task(session.run())

    def close_session(self, agent_id: str) -> None:
        self.sessions.pop(agent_id, None)
        self.agent_states.pop(agent_id, None)
        self.schemas.pop(agent_id, None)
        task = self.tasks.pop(agent_id, None)
        if task is not None:
            task.cancel()

    def pool_agents(self, pool: str) -> list[AgentState]:
        """Return the cached state of the pool's agents in this entry's subset."""
        return [
            agent_state
            for agent_state in self.agent_states.values()
            if agent_state.pool == pool
        ]

    def link_class(self, agent_id: str) -> str:
        """Return the metric label of the link to an agent: zone, region or wan."""
        agent_state = self.agent_states.get(agent_id)
        if agent_state is None or agent_state.region != self.identity.region:
            return "wan"
        return "zone" if agent_state.zone == self.identity.zone else "region"

    def on_welcome(self, session: AgentSession, welcome: pb.Welcome) -> None:
        """Record the agent's state and query the calls that were handed off to it."""
        agent_state = self.agent_states.get(session.agent_id)
        if agent_state is None:
            return
        agent_state.connected = True
        agent_state.draining = welcome.draining
        agent_state.zone, agent_state.region, agent_state.pool = (
            welcome.zone,
            welcome.region,
            welcome.pool,
        )
        agent_state.token_limit = welcome.token_limit
        self.schemas[session.agent_id] = dict(welcome.schemas)
        agent_state.updated_at = time.monotonic()
        self.send_config(session)
        log_event("session_opened", agent=session.agent_id)
        identity = AgentIdentity(session.agent_id, session.incarnation)
        for call in list(self.calls.values()):
            call.wake.set()
            holder = call.state.holder
            if call.state.phase is not Phase.HANDED_OFF or holder is None:
                continue
            if holder.agent_id != session.agent_id:
                continue
            if holder != identity:
                call.events.put_nowait(HolderLost("The agent was restarted"))
                continue
            call.session = session
            session.outstanding.add(call.dispatch_id)
            query = pb.Query(
                request_id=call.dispatch_id, next_seq=call.state.answer.next_seq
            )
            session.send(pb.EntryMessage(query=query))

    def on_session_lost(self, session: AgentSession) -> None:
        """Drop the session's reservations; handed-off calls wait for a new session."""
        agent_id = session.agent_id
        agent_state = self.agent_states.get(agent_id)
        if agent_state is not None:
            agent_state.connected = False
            agent_state.tiers = {}
        self.count_bytes(session)
        self.metrics.count("session_losses_total", agent=agent_id)
        log_event("session_lost", agent=agent_id)
        for call in list(self.calls.values()):
            if call.state.drop(agent_id):
                self.record_drop(call, agent_id, "session_lost")
            holder = call.state.holder
            if holder is None or holder.agent_id != agent_id:
                continue
            call.stop_body()
            self.start_resume_timer(call)

    def start_resume_timer(self, call: Call) -> None:
        if call.resume_timer is not None:
            return
        detail = f"The agent gave no answer for {RESUME_WINDOW_S:g} s"
        call.resume_timer = asyncio.get_running_loop().call_later(
            RESUME_WINDOW_S, call.events.put_nowait, HolderLost(detail)
        )

    # Messages.

    def on_message(self, session: AgentSession, message: pb.AgentMessage) -> None:
        """Route one message to its call, or record the agent's load."""
        match message.WhichOneof("kind"):
            case "pull":
                self.on_pull(session, message.pull.request_id)
            case "drop":
                self.on_drop(session, message.drop)
            case "head":
                self.on_answer(session, message.head)
            case "chunk":
                self.on_answer(session, message.chunk)
            case "end":
                self.on_answer(session, message.end)
            case "status":
                self.on_status(session, message.status)
            case "load":
                self.on_load(session, message.load)

    def find_call(self, dispatch_id: str) -> Call | None:
        """Find a call by the id of its current attempt, not of an earlier one."""
        call = self.calls.get(dispatch_id.partition(".")[0])
        if call is None or call.dispatch_id != dispatch_id:
            return None
        return call

    def on_pull(self, session: AgentSession, request_id: str) -> None:
        call = self.find_call(request_id)
        if call is None or not call.on_pull(session):
            deny = pb.Deny(request_id=request_id)
            session.send(pb.EntryMessage(deny=deny))
            return
        log_event("request_handed_off", request_id=request_id, agent=session.agent_id)
        self.withdraw(call)

    def withdraw(self, call: Call) -> None:
        """Withdraw every reservation that is still open."""
        for agent_id in list(call.state.reserved):
            call.state.drop(agent_id)
            session = self.sessions.get(agent_id)
            if session is not None:
                session.outstanding.discard(call.dispatch_id)
                withdraw = pb.Withdraw(request_id=call.dispatch_id)
                session.send(pb.EntryMessage(withdraw=withdraw))

    def on_drop(self, session: AgentSession, drop: pb.Drop) -> None:
        call = self.find_call(drop.request_id)
        if call is None:
            return
        if call.last_resort_round is not None:
            if drop.reason in CAPACITY_DROP_REASONS:
                call.last_resort_round.record_decline()
            call.last_resort_round.record_reply(session.agent_id)
            call.wake.set()
        session.outstanding.discard(call.dispatch_id)
        if call.state.drop(session.agent_id):
            reason = pb.DropReason.Name(drop.reason).lower()
            self.record_drop(call, session.agent_id, reason)

    def record_drop(self, call: Call, agent_id: str, reason: str) -> None:
        if call.last_resort_round is not None and reason == "session_lost":
            call.last_resort_round.record_session_lost(agent_id)
        call.avoid_until[agent_id] = time.monotonic() + AVOID_AGENT_S
        call.retry_reason = reason
        call.wake.set()

    def on_answer(
        self, session: AgentSession, message: pb.Head | pb.Chunk | pb.End
    ) -> None:
        call = self.find_call(message.request_id)
        if call is not None:
            call.on_answer(session, message.seq, message)
            return
        if isinstance(message, pb.End):
            session.outstanding.discard(message.request_id)
            # The call has ended. Without an acknowledgement the agent would keep the
            # answer buffered.
            ack = pb.Ack(request_id=message.request_id, next_seq=message.seq + 1)
            session.send(pb.EntryMessage(ack=ack))

    def on_status(self, session: AgentSession, status: pb.Status) -> None:
        call = self.find_call(status.request_id)
        if call is None:
            return
        # While a resume timer runs, a status is taken as the answer to a ``Query``,
        # otherwise as the acknowledgement of body chunks.
        if call.resume_timer is not None:
            self.on_query_status(call, session, status)
            return
        call.on_body_ack(status.next_body_seq)

    def on_query_status(
        self, call: Call, session: AgentSession, status: pb.Status
    ) -> None:
        if call.resume_timer is not None:
            call.resume_timer.cancel()
            call.resume_timer = None
        self.metrics.count(
            "resumes_total", state=pb.DispatchState.Name(status.state).lower()
        )
        identity = AgentIdentity(session.agent_id, session.incarnation)
        match status.state:
            case pb.RUNNING:
                call.start_body(session, status.next_body_seq)
            case pb.TOMBSTONED if call.requeue(identity, "tombstoned"):
                pass
            case _:
                call.events.put_nowait(HolderLost("The agent no longer has it"))

    def on_load(self, session: AgentSession, load: pb.Load) -> None:
        agent_state = self.agent_states.get(session.agent_id)
        if agent_state is None:
            return
        self.generations[session.agent_id] = load.generation
        endpoint_recovered = load.endpoint_up and not agent_state.endpoint_up
        agent_state.draining = load.draining
        agent_state.endpoint_up = load.endpoint_up
        agent_state.token_limit = load.token_limit
        agent_state.tokens_per_second = load.tokens_per_second
        agent_state.tier_floor = (
            None if load.tier_floor == NO_FLOOR else load.tier_floor
        )
        agent_state.tiers = {
            tier.tier: TierCount(
                tier.waiting, tier.waiting_tokens, tier.running, tier.running_tokens
            )
            for tier in load.tiers
        }
        agent_state.updated_at = time.monotonic()
        self.count_bytes(session)
        if load.generation < self.snapshot.generation:
            self.send_config(session)
        if endpoint_recovered:
            for call in self.calls.values():
                call.wake.set()

    def count_bytes(self, session: AgentSession) -> None:
        link = self.link_class(session.agent_id)
        self.metrics.count(
            "link_bytes_total", session.sent_bytes, link=link, direction="sent"
        )
        self.metrics.count(
            "link_bytes_total", session.received_bytes, link=link, direction="received"
        )
        session.sent_bytes = 0
        session.received_bytes = 0

    def backlog(self, call: Call) -> Backlog:
        """Return the backlog at this entry for the pool and tier of a call."""
        key = (call.pool.name, call.rank)
        return self.backlogs.setdefault(key, Backlog())

    # Configuration and budgets.

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a configuration and send each connected agent its part of it."""
        self.snapshot = snapshot
        self.metrics.set("config_generation", snapshot.generation)
        # Counts all unreadable envelopes, not only those with a schema that is too new.
        self.metrics.set("config_records_set_aside", len(snapshot.errors))
        for session in self.sessions.values():
            self.send_config(session)

    def send_config(self, session: AgentSession) -> None:
        agent_state = self.agent_states.get(session.agent_id)
        if agent_state is None or not session.connected:
            return
        part = agent_snapshot(self.snapshot, session.agent_id, agent_state.pool)
        update = pb.ConfigUpdate(
            generation=part.generation, snapshot=encode_snapshot(part)
        )
        session.send(pb.EntryMessage(config_update=update))

    def budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool; create it on first use."""
        budget = self.budgets.get(pool)
        if budget is None:
            record = self.snapshot.pools.get(pool)
            ratio = record.retry_ratio if record else DEFAULT_RETRY_RATIO
            budget = self.budgets[pool] = RetryBudget(ratio, RETRY_RESERVE)
        return budget

    async def close(self) -> None:
        for agent_id in list(self.sessions):
            self.close_session(agent_id)
        await asyncio.sleep(0)
