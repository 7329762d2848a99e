"""The agent's decisions: which reservation to pull, drop, preempt or run."""

import asyncio
import time
from collections.abc import Callable

import attrs

from acaciarelay.coordination.concurrency import TokenLimit
from acaciarelay.coordination.fair_queue import FairQueue, Reservation
from acaciarelay.coordination.shedding import TierFloor, should_preempt
from acaciarelay.programs.agent_reservations import read_reservation
from acaciarelay.programs.agent_service import RunService
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol import relay_pb2 as pb
from acaciarelay.protocol.wire import NO_FLOOR
from acaciarelay.state.records import known_schemas
from acaciarelay.transport.relay_server import EntryLink

__all__ = ["AgentCore", "AgentIdentityConfig"]

HEARTBEAT_CHECK_S = 0.5
LOAD_MAX_AGE_S = 2.0
TICK_S = 0.05
# A pull whose answer is lost must not hold room for long.
PULL_TIMEOUT_S = 3.0
# Below this number lies every tier.
EVERY_TIER = -1


@attrs.frozen(kw_only=True)
class AgentIdentityConfig:
    """Name the agent and its place; ``resume_window_s`` is in seconds."""

    agent_id: str
    incarnation: int
    pool: str
    zone: str
    region: str
    resume_window_s: float = 15.0


@attrs.frozen
class PendingPull:
    """Hold room for a reservation until the entry answers."""

    reservation: Reservation
    link: EntryLink
    expires_at: float


class AgentCore:
    """Own the agent's queue and decide on each message and each tick."""

    def __init__(
        self,
        config: AgentIdentityConfig,
        queue: FairQueue,
        limit: TokenLimit,
        runs: RunService,
        metrics: Metrics,
    ) -> None:
        self.config = config
        self.queue = queue
        self.limit = limit
        self.runs = runs
        self.metrics = metrics
        self.floor = TierFloor()
        self.links: dict[str, EntryLink] = {}
        self.pulls: dict[str, PendingPull] = {}
        self.last_resorts: dict[str, Reservation] = {}
        self.draining = False
        self.endpoint_up = True
        self.generation = 0
        self.on_config: Callable[[bytes], None] = lambda data: None
        runs.transmit = self.transmit
        runs.on_finished = self.on_run_finished

    # Sessions.

    def on_attach(self, link: EntryLink) -> None:
        """Take up a session; an older one of the same entry ends."""
        old = self.links.pop(link.entry_id, None)
        if old is not None:
            self.release_entry(old)
            old.close()
        self.links[link.entry_id] = link
        self.runs.entry_attached(link.entry_id, link.incarnation)
        welcome = pb.Welcome(
            agent_id=self.config.agent_id,
            incarnation=self.config.incarnation,
            pool=self.config.pool,
            zone=self.config.zone,
            region=self.config.region,
            token_limit=self.limit.limit,
            draining=self.draining,
            generation=self.generation,
            schemas=known_schemas(),
        )
        link.send(pb.AgentMessage(welcome=welcome))
        link.send(pb.AgentMessage(load=self.load()))

    def on_detach(self, link: EntryLink) -> None:
        """Drop what the session had reserved; its runs go on for a while."""
        if self.links.get(link.entry_id) is not link:
            return
        del self.links[link.entry_id]
        self.release_entry(link)
        self.runs.entry_detached(link.entry_id)
        self.pump()

    def release_entry(self, link: EntryLink) -> None:
        self.queue.remove_entry(link.entry_id)
        for request_id, pull in list(self.pulls.items()):
            if pull.link is link:
                self.release_pull(request_id)

    def transmit(self, entry_id: str, message: pb.AgentMessage) -> None:
        """Send an answer message, if the entry has a session now."""
        link = self.links.get(entry_id)
        if link is not None:
            link.outgoing.put_bounded(message)

    # Messages.

    def on_message(self, link: EntryLink, message: pb.EntryMessage) -> None:
        """Act on one message of a current session."""
        if self.links.get(link.entry_id) is not link:
            return
        match message.WhichOneof("kind"):
            case "reserve":
                self.on_reserve(link, message.reserve)
            case "withdraw":
                self.on_withdraw(message.withdraw.request_id)
            case "grant":
                self.on_grant(link, message.grant)
            case "body_chunk":
                self.runs.on_body_chunk(message.body_chunk)
            case "deny":
                self.release_pull(message.deny.request_id)
                self.pump()
            case "ack":
                self.runs.on_ack(message.ack)
            case "cancel":
                self.runs.on_cancel(message.cancel.request_id)
            case "query":
                self.release_pull(message.query.request_id)
                link.send(self.runs.on_query(link.entry_id, message.query))
                self.runs.resend(message.query)
            case "heartbeat":
                link.generation = message.heartbeat.generation
            case "config_update":
                self.on_config(message.config_update.snapshot)

    def on_reserve(self, link: EntryLink, message: pb.Reserve) -> None:
        now = time.monotonic()
        reservation = read_reservation(link.entry_id, message, now)
        reservation.tokens = min(reservation.tokens, self.limit.largest)
        request_id = reservation.request_id
        if request_id in self.pulls:
            return
        if self.runs.knows(request_id):
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
            newcomer = evicted.request_id == request_id
            self.evict(evicted, pb.FULL if newcomer else pb.EVICTED)
        self.preempt_for_head(now)
        self.pump()
        if reservation.last_resort:
            self.last_resorts[request_id] = reservation
            self.settle_last_resort(reservation)

    def raise_floor(self, tier: int, now: float) -> None:
        old = self.floor.current(now)
        self.floor.set(tier, now)
        if old is None or tier < old:
            self.send_load()
        for evicted in self.queue.evict_below(tier):
            self.evict(evicted, pb.EVICTED)

    def evict(self, reservation: Reservation, reason: pb.DropReason) -> None:
        """Drop a reservation; a last resort hears whether lower work remains."""
        if reservation.last_resort and not self.lower_work(reservation.tier):
            reason = pb.NO_LOWER_WORK
        self.drop(reservation, reason)

    def settle_last_resort(self, reservation: Reservation) -> None:
        """Drop a last-resort reservation once no lower work can make room for it."""
        request_id = reservation.request_id
        if request_id not in self.queue:
            self.last_resorts.pop(request_id, None)
            return
        if self.lower_work(reservation.tier):
            return
        self.last_resorts.pop(request_id, None)
        self.queue.remove(request_id)
        self.drop(reservation, pb.NO_LOWER_WORK)

    def lower_work(self, tier: int) -> bool:
        for pull in self.pulls.values():
            if pull.reservation.tier > tier:
                return True
        return self.runs.has_lower_cancellable(tier)

    def on_withdraw(self, request_id: str) -> None:
        self.queue.remove(request_id)

    def on_grant(self, link: EntryLink, grant: pb.Grant) -> None:
        pull = self.pulls.pop(grant.request_id, None)
        reservation = pull.reservation if pull is not None else None
        self.runs.begin(link.entry_id, link.incarnation, grant, reservation)

    def on_run_finished(self, reservation: Reservation, actual_tokens: int) -> None:
        """Free the room of a run and charge its organisation what it used."""
        self.limit.release(reservation.request_id, time.monotonic())
        self.queue.charge(
            reservation.organisation,
            reservation.tier,
            reservation.tokens,
            min(actual_tokens, self.limit.largest),
        )
        self.pump()

    # Decisions.

    def pump(self) -> None:
        """Pull the best reservations while there is room."""
        if self.draining or not self.endpoint_up:
            return
        now = time.monotonic()
        while True:
            reservation = self.queue.take(self.limit.room, self.floor.current(now))
            if reservation is None:
                if len(self.queue):
                    self.limit.blocked()
                return
            link = self.links.get(reservation.entry_id)
            if link is None:
                continue
            self.limit.acquire(reservation.request_id, reservation.tokens)
            expires_at = now + PULL_TIMEOUT_S
            pull = PendingPull(reservation, link, expires_at)
            self.pulls[reservation.request_id] = pull
            pull_message = pb.Pull(request_id=reservation.request_id)
            link.send(pb.AgentMessage(pull=pull_message))

    def release_pull(self, request_id: str) -> None:
        pull = self.pulls.pop(request_id, None)
        if pull is None:
            return
        self.limit.release(request_id, time.monotonic())
        self.queue.put_back(pull.reservation)

    def preempt_for_head(self, now: float) -> None:
        """Cancel one lower run when the best reservation can't wait any longer."""
        head = self.queue.head()
        if head is None or head.tokens <= self.limit.room:
            return
        if not should_preempt(head, now, self.limit.room_in_s(head.tokens)):
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
        link = self.links.get(reservation.entry_id)
        if link is not None:
            message = pb.Drop(request_id=reservation.request_id, reason=reason)
            link.send(pb.AgentMessage(drop=message))

    def drop_all(self, reason: pb.DropReason) -> None:
        """Drop every waiting reservation."""
        for reservation in self.queue.evict_below(EVERY_TIER):
            self.drop(reservation, reason)

    # Time.

    def tick(self) -> None:
        """Act on what time alone changes; called every 50 ms."""
        now = time.monotonic()
        for reservation in self.queue.expire(now):
            self.drop(reservation, pb.EXPIRED)
        for request_id, pull in list(self.pulls.items()):
            if pull.expires_at <= now:
                self.release_pull(request_id)
        self.runs.tick(now)
        self.preempt_for_head(now)
        self.pump()
        for reservation in list(self.last_resorts.values()):
            self.settle_last_resort(reservation)

    async def run_ticks(self) -> None:
        """Call ``tick`` and send heartbeats until the task is cancelled."""
        next_heartbeat = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()
            if time.monotonic() >= next_heartbeat:
                next_heartbeat = time.monotonic() + HEARTBEAT_CHECK_S
                self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send the load to the entries whose heartbeat is due."""
        self.metrics.set("token_limit", self.limit.limit)
        self.metrics.set("tokens_in_service", self.limit.in_use)
        now = time.monotonic()
        running = self.runs.entry_ids()
        message = pb.AgentMessage(load=self.load())
        for link in self.links.values():
            active = link.entry_id in running or self.queue.has_entry(link.entry_id)
            link.liveness.set_active(active, now)
            # Answer messages serve as heartbeats, but placement needs the load too.
            stale = active and now - link.load_sent_at >= LOAD_MAX_AGE_S
            if link.liveness.heartbeat_due(now) or stale:
                link.load_sent_at = now
                link.send(message)

    def send_load(self) -> None:
        """Send a change that every entry must know at once."""
        message = pb.AgentMessage(load=self.load())
        for link in self.links.values():
            link.send(message)

    def load(self) -> pb.Load:
        """Describe what waits and runs now."""
        counts: dict[int, pb.TierLoad] = {}
        for tier, count in self.queue.load().items():
            counts[tier] = pb.TierLoad(
                tier=tier, waiting=count.waiting, waiting_tokens=count.waiting_tokens
            )
        for reservation in self.in_service():
            tier_load = counts.setdefault(
                reservation.tier, pb.TierLoad(tier=reservation.tier)
            )
            tier_load.running += 1
            tier_load.running_tokens += reservation.tokens
        floor = self.floor.current(time.monotonic())
        return pb.Load(
            tiers=list(counts.values()),
            token_limit=self.limit.limit,
            tier_floor=NO_FLOOR if floor is None else floor,
            draining=self.draining,
            generation=self.generation,
            endpoint_up=self.endpoint_up,
            tokens_per_second=self.limit.tokens_per_second,
        )

    def in_service(self) -> list[Reservation]:
        running = [run.reservation for run in self.runs.active()]
        return running + [pull.reservation for pull in self.pulls.values()]

    # State changes from outside.

    def start_drain(self, reason: str) -> None:
        """Take no more work; what runs goes on."""
        if self.draining:
            return
        self.draining = True
        log_event("drain_started", reason=reason, running=len(self.runs.active()))
        self.drop_all(pb.DRAINING)
        self.send_load()

    def stop_drain(self) -> None:
        """Take work again."""
        if not self.draining:
            return
        self.draining = False
        log_event("drain_cancelled")
        self.send_load()

    def set_endpoint_up(self, up: bool) -> None:
        """Note whether the endpoint answers its probe."""
        if up == self.endpoint_up:
            return
        self.endpoint_up = up
        log_event("endpoint_up" if up else "endpoint_down")
        if not up:
            self.drop_all(pb.ENDPOINT_DOWN)
        self.send_load()
        self.pump()

    @property
    def idle(self) -> bool:
        """Tell whether nothing runs and every answer has been delivered."""
        return not self.pulls and self.runs.idle
