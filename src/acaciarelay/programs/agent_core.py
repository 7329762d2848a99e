"""The agent's scheduler: which reservations to pull or drop, which runs to preempt."""

import asyncio
import time
from collections.abc import Callable

import attrs

from acaciarelay.coordination.concurrency import TokenLimit
from acaciarelay.coordination.fair_queue import FairQueue, Reservation
from acaciarelay.coordination.shedding import TierFloor, should_preempt
from acaciarelay.programs.agent_load import LoadState, load_report
from acaciarelay.programs.agent_reservations import decode_reservation
from acaciarelay.programs.agent_run_service import RunService
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.state.records import supported_schemas
from acaciarelay.transport.entry_session import EntrySession

__all__ = ["AgentConfig", "AgentCore"]

HEARTBEAT_CHECK_INTERVAL_S = 0.5
LOAD_MAX_AGE_S = 2.0
TICK_INTERVAL_S = 0.05
# Tokens held for a pull are freed after this time if the entry does not answer it.
PULL_TIMEOUT_S = 3.0
# Tier ranks start at 0 and lower tiers have larger ones, so every tier is below this.
ABOVE_ALL_TIERS = -1


@attrs.frozen(kw_only=True)
class AgentConfig:
    """Identity and location of the agent."""

    agent_id: str
    incarnation: int
    pool: str
    zone: str
    region: str


@attrs.frozen
class PendingPull:
    """A pull that the entry has not answered; the tokens stay reserved for it."""

    reservation: Reservation
    session: EntrySession
    expires_at: float


class AgentCore:
    """Schedules the reservations of all entries on one endpoint.

    It handles each session message and a periodic tick.
    """

    def __init__(
        self,
        config: AgentConfig,
        queue: FairQueue,
        token_limit: TokenLimit,
        runs: RunService,
        metrics: Metrics,
    ) -> None:
        self.config = config
        self.queue = queue
        self.token_limit = token_limit
        self.runs = runs
        self.metrics = metrics
        self.floor = TierFloor()
        self.sessions: dict[str, EntrySession] = {}
        self.pulls: dict[str, PendingPull] = {}
        self.last_resorts: dict[str, Reservation] = {}
        self.draining = False
        self.endpoint_up = True
        self.generation = 0
        self.on_config: Callable[[bytes], None] = lambda data: None
        runs.transmit = self.transmit
        runs.on_finished = self.on_run_finished

    # Sessions.

    def on_session_opened(self, session: EntrySession) -> None:
        """Register a session, and close an older one of the same entry."""
        old = self.sessions.pop(session.entry_id, None)
        if old is not None:
            self.release_session(old)
            old.close()
        self.sessions[session.entry_id] = session
        self.runs.entry_session_opened(session.entry_id, session.incarnation)
        welcome = pb.Welcome(
            agent_id=self.config.agent_id,
            incarnation=self.config.incarnation,
            pool=self.config.pool,
            zone=self.config.zone,
            region=self.config.region,
            token_limit=self.token_limit.limit,
            draining=self.draining,
            generation=self.generation,
            schemas=supported_schemas(),
        )
        session.send(pb.AgentMessage(welcome=welcome))
        session.send(pb.AgentMessage(load=self.current_load()))

    def on_session_closed(self, session: EntrySession) -> None:
        """Remove the session's reservations and start the resume window of its runs."""
        if self.sessions.get(session.entry_id) is not session:
            return
        del self.sessions[session.entry_id]
        self.release_session(session)
        self.runs.entry_session_closed(session.entry_id)
        self.pull_reservations()

    def release_session(self, session: EntrySession) -> None:
        self.queue.remove_entry(session.entry_id)
        for request_id, pull in list(self.pulls.items()):
            if pull.session is session:
                self.release_pull(request_id)

    def transmit(self, entry_id: str, message: pb.AgentMessage) -> None:
        """Send an answer message unless the entry has no open session."""
        session = self.sessions.get(entry_id)
        if session is not None:
            session.outgoing.put_bulk_nowait(message)

    # Messages.

    def on_message(self, session: EntrySession, message: pb.EntryMessage) -> None:
        """Handle one message; those of replaced sessions are ignored."""
        if self.sessions.get(session.entry_id) is not session:
            return
        match message.WhichOneof("kind"):
            case "reserve":
                self.on_reserve(session, message.reserve)
            case "withdraw":
                self.on_withdraw(message.withdraw.request_id)
            case "grant":
                self.on_grant(session, message.grant)
            case "body_chunk":
                self.runs.on_body_chunk(message.body_chunk)
            case "deny":
                self.release_pull(message.deny.request_id)
                self.pull_reservations()
            case "ack":
                self.runs.on_ack(message.ack)
            case "cancel":
                self.runs.on_cancel(message.cancel.request_id)
            case "query":
                self.release_pull(message.query.request_id)
                session.send(self.runs.on_query(session.entry_id, message.query))
                self.runs.resend(message.query)
            case "heartbeat":
                session.generation = message.heartbeat.generation
            case "config_update":
                self.on_config(message.config_update.snapshot)

    def on_reserve(self, session: EntrySession, message: pb.Reserve) -> None:
        now = time.monotonic()
        reservation = decode_reservation(session.entry_id, message, now)
        reservation.tokens = min(
            reservation.tokens, self.token_limit.max_request_tokens
        )
        request_id = reservation.request_id
        if request_id in self.pulls:
            return
        if self.runs.is_known(request_id):
            self.drop(reservation, pb.EXPIRED)
            return
        if self.draining:
            self.drop(reservation, pb.DRAINING)
            return
        if not self.endpoint_up:
            self.drop(reservation, pb.ENDPOINT_DOWN)
            return
        floor = self.floor.current(now)
        if floor is not None and reservation.tier > floor:
            self.evict(reservation, pb.EVICTED)
            return
        if reservation.last_resort:
            self.raise_floor(reservation.tier, now)
        for evicted in self.queue.add(reservation):
            is_new = evicted.request_id == request_id
            self.evict(evicted, pb.FULL if is_new else pb.EVICTED)
        self.preempt_for_head(now)
        self.pull_reservations()
        if reservation.last_resort:
            self.last_resorts[request_id] = reservation
            self.check_last_resort(reservation)

    def raise_floor(self, tier: int, now: float) -> None:
        """Set the tier floor and evict waiting work below it; report a new floor."""
        old = self.floor.current(now)
        self.floor.set(tier, now)
        if old is None or tier < old:
            self.send_load()
        for evicted in self.queue.evict_below(tier):
            self.evict(evicted, pb.EVICTED)

    def evict(self, reservation: Reservation, reason: pb.DropReason) -> None:
        """Drop a reservation with the given reason.

        A last-resort reservation gets ``NO_LOWER_WORK`` instead when no lower-tier
        work is left.
        """
        if reservation.last_resort and not self.has_lower_work(reservation.tier):
            reason = pb.NO_LOWER_WORK
        self.drop(reservation, reason)

    def check_last_resort(self, reservation: Reservation) -> None:
        """Drop a last-resort reservation once no lower-tier work is left to preempt."""
        request_id = reservation.request_id
        if request_id not in self.queue:
            self.last_resorts.pop(request_id, None)
            return
        if self.has_lower_work(reservation.tier):
            return
        self.last_resorts.pop(request_id, None)
        self.queue.remove(request_id)
        self.drop(reservation, pb.NO_LOWER_WORK)

    def has_lower_work(self, tier: int) -> bool:
        for pull in self.pulls.values():
            if pull.reservation.tier > tier:
                return True
        return self.runs.has_lower_cancellable(tier)

    def on_withdraw(self, request_id: str) -> None:
        self.queue.remove(request_id)

    def on_grant(self, session: EntrySession, grant: pb.Grant) -> None:
        pull = self.pulls.pop(grant.request_id, None)
        reservation = pull.reservation if pull is not None else None
        self.runs.begin(session.entry_id, session.incarnation, grant, reservation)

    def on_run_finished(self, reservation: Reservation, actual_tokens: int) -> None:
        """Free the tokens of a run and charge its organisation for the actual use."""
        self.token_limit.release(reservation.request_id, time.monotonic())
        self.queue.correct_charge(
            reservation.organisation,
            reservation.tier,
            reservation.tokens,
            min(actual_tokens, self.token_limit.max_request_tokens),
        )
        self.pull_reservations()

    # Scheduling.

    def pull_reservations(self) -> None:
        """Pull reservations in queue order while the token limit admits them."""
        if self.draining or not self.endpoint_up:
            return
        now = time.monotonic()
        while True:
            reservation = self.queue.dequeue(
                self.token_limit.free_tokens, self.floor.current(now)
            )
            if reservation is None:
                if len(self.queue):
                    self.token_limit.record_blocked()
                return
            session = self.sessions.get(reservation.entry_id)
            if session is None:
                continue
            self.token_limit.acquire(reservation.request_id, reservation.tokens)
            expires_at = now + PULL_TIMEOUT_S
            pull = PendingPull(reservation, session, expires_at)
            self.pulls[reservation.request_id] = pull
            pull_message = pb.Pull(request_id=reservation.request_id)
            session.send(pb.AgentMessage(pull=pull_message))

    def release_pull(self, request_id: str) -> None:
        pull = self.pulls.pop(request_id, None)
        if pull is None:
            return
        self.token_limit.release(request_id, time.monotonic())
        self.queue.refund(pull.reservation)

    def preempt_for_head(self, now: float) -> None:
        """Cancel one lower-tier run if the head of the queue would wait too long."""
        head = self.queue.head()
        if head is None or head.tokens <= self.token_limit.free_tokens:
            return
        if not should_preempt(
            head, now, self.token_limit.time_until_free_s(head.tokens)
        ):
            return
        tier = self.runs.preempt(head.tier)
        if tier is not None:
            self.metrics.count("preemptions_total", tier=tier)

    def drop(self, reservation: Reservation, reason: pb.DropReason) -> None:
        self.metrics.count(
            "drops_total",
            reason=pb.DropReason.Name(reason).lower(),
            tier=reservation.tier,
        )
        session = self.sessions.get(reservation.entry_id)
        if session is not None:
            message = pb.Drop(request_id=reservation.request_id, reason=reason)
            session.send(pb.AgentMessage(drop=message))

    def drop_waiting(self, reason: pb.DropReason) -> None:
        """Drop every waiting reservation with the given reason."""
        for reservation in self.queue.evict_below(ABOVE_ALL_TIERS):
            self.drop(reservation, reason)

    # Periodic work.

    def tick(self) -> None:
        """Expire reservations, pulls and runs, and preempt and pull again."""
        now = time.monotonic()
        for reservation in self.queue.expire(now):
            self.drop(reservation, pb.EXPIRED)
        for request_id, pull in list(self.pulls.items()):
            if pull.expires_at <= now:
                self.release_pull(request_id)
        self.runs.tick(now)
        self.preempt_for_head(now)
        self.pull_reservations()
        for reservation in list(self.last_resorts.values()):
            self.check_last_resort(reservation)

    async def run_ticks(self) -> None:
        """Call ``tick`` and send heartbeats periodically until cancelled."""
        next_heartbeat = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()
            if time.monotonic() >= next_heartbeat:
                next_heartbeat = time.monotonic() + HEARTBEAT_CHECK_INTERVAL_S
                self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send the load to entries whose heartbeat is due or whose load is stale."""
        self.metrics.set("token_limit", self.token_limit.limit)
        self.metrics.set("tokens_in_service", self.token_limit.in_use)
        now = time.monotonic()
        running = self.runs.entry_ids()
        message = pb.AgentMessage(load=self.current_load())
        for session in self.sessions.values():
            active = session.entry_id in running or self.queue.has_entry(
                session.entry_id
            )
            session.liveness.set_active(active, now)
            # Answer messages count as heartbeats but carry no load, which placement
            # needs.
            stale = active and now - session.load_sent_at >= LOAD_MAX_AGE_S
            if session.liveness.heartbeat_due(now) or stale:
                session.load_sent_at = now
                session.send(message)

    def send_load(self) -> None:
        """Send the load to every entry at once, ahead of the next heartbeat."""
        message = pb.AgentMessage(load=self.current_load())
        for session in self.sessions.values():
            session.send(message)

    def current_load(self) -> pb.Load:
        return load_report(
            LoadState(
                waiting=self.queue.waiting_counts(),
                in_service=self.in_service(),
                token_limit=self.token_limit,
                tier_floor=self.floor.current(time.monotonic()),
                draining=self.draining,
                generation=self.generation,
                endpoint_up=self.endpoint_up,
            )
        )

    def in_service(self) -> list[Reservation]:
        running = [run.reservation for run in self.runs.active()]
        return running + [pull.reservation for pull in self.pulls.values()]

    # Drain and endpoint state.

    def start_drain(self, reason: str) -> None:
        """Stop pulling and drop waiting reservations; current runs continue."""
        if self.draining:
            return
        self.draining = True
        log_event("drain_started", reason=reason, running=len(self.runs.active()))
        self.drop_waiting(pb.DRAINING)
        self.send_load()

    def stop_drain(self) -> None:
        """Accept reservations again."""
        if not self.draining:
            return
        self.draining = False
        log_event("drain_cancelled")
        self.send_load()

    def set_endpoint_up(self, up: bool) -> None:
        """Record whether the endpoint is up; drop waiting reservations if not."""
        if up == self.endpoint_up:
            return
        self.endpoint_up = up
        log_event("endpoint_up" if up else "endpoint_down")
        if not up:
            self.drop_waiting(pb.ENDPOINT_DOWN)
        self.send_load()
        self.pull_reservations()

    @property
    def idle(self) -> bool:
        """Return whether no pull or run is open and every answer is delivered."""
        return not self.pulls and self.runs.idle
