"""One order of a version at one entry: its permission, counts, and part in deciding."""

import time
from collections.abc import Callable, Collection, Iterable

import attrs

from acaciarelay.coordination.rollout import (
    Action,
    AnswerCounts,
    CountsReceived,
    EndConfirmed,
    EndedOrders,
    EnginesSeen,
    EntriesSeen,
    EpochHeard,
    Event,
    OrderReplaced,
    Permission,
    ReadRows,
    Remark,
    RolloutCoordinator,
    RowsRead,
    SendPermission,
    ShareLimit,
    Stopping,
    Tick,
    WriteRows,
    counts_receivers,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.rollout_store import RolloutStore
from acaciarelay.protocol.rollout_messages import (
    RolloutCounts,
    RolloutPermission,
    counts_message,
    decode_counts,
    decode_permission,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.rollout import EntryCounts, Phase, RolloutOrder, RolloutState

__all__ = ["OrderLinks", "OrderRun"]

# Interval at which an entry sends its counts while they change.
COUNTS_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class OrderLinks:
    """What an order needs of its entry.

    ``entry`` and ``lifetime`` are those of the entry's ``Hello``. ``send`` sends a
    message to some peers, or to all. ``live_entries`` returns the addresses of the
    entries that live, this one included, and ``old_running`` how many requests of this
    entry run at engines of other versions than that of the order. ``on_era`` gets the
    eras of the store's answers.
    """

    entry: str
    lifetime: str
    store_address: str
    share: float
    ended: EndedOrders
    send: Callable[[RolloutCounts | RolloutPermission, Collection[str] | None], None]
    live_entries: Callable[[], list[str]]
    old_running: Callable[[RolloutOrder], int]
    on_era: Callable[[int], None]


class OrderRun:
    """Follow an order, and coordinate it while this entry holds the lease.

    It is ``open`` until the rows hold the end state, or those of a later order.
    """

    def __init__(self, order: RolloutOrder, links: OrderLinks) -> None:
        now = time.monotonic()
        known_end = links.ended.state_of(order)
        self.order = order
        self.links = links
        self.open = True
        self.permission = Permission(order, known_end)
        self.share = ShareLimit(links.share)
        self.counts = AnswerCounts(order, links.entry, links.lifetime)
        self.coordinator = RolloutCoordinator(
            order, links.entry, links.lifetime, now, known_end
        )
        self.store = RolloutStore(
            links.store_address,
            order.service,
            self.take_rows,
            self.handle,
            links.on_era,
        )
        # Address of the entry that sent the last permission.
        self.coordinated_by = ""
        self.seen_engines: EnginesSeen | None = None
        self.seen_entries: tuple[str, ...] = ()
        self.sent_counts: EntryCounts | None = None
        self.sent_to: list[str] = []
        self.counted_at = -COUNTS_INTERVAL_S
        self.phase = Phase.NONE

    def tick(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Do what is due; ``endpoints`` are those that may get requests."""
        self.see_engines(endpoints)
        entries = tuple(self.links.live_entries())
        if entries != self.seen_entries:
            self.seen_entries = entries
            self.handle(EntriesSeen(entries))
        if now - self.counted_at >= COUNTS_INTERVAL_S:
            self.counted_at = now
            self.report_counts(now)
        self.handle(Tick())
        self.log_phase()

    def see_engines(self, endpoints: Iterable[Endpoint]) -> None:
        old = new = 0
        for endpoint in endpoints:
            if endpoint.version == self.order.version:
                new += 1
            else:
                old += 1
        seen = EnginesSeen(old=old, new=new)
        if seen != self.seen_engines:
            self.seen_engines = seen
            self.handle(seen)

    def report_counts(self, now: float) -> None:
        """Give this entry's counts to the coordinator and its deputy, if changed."""
        permission = self.permission
        counts = self.counts.report(permission.epoch, permission.phase(now), now)
        # The requests from before the order count too.
        running = self.links.old_running(self.order)
        counts = attrs.evolve(counts, old_running=running)
        receivers = counts_receivers(self.order, self.seen_entries, self.coordinated_by)
        if receivers == self.sent_to and _is_same(counts, self.sent_counts):
            return
        self.sent_counts, self.sent_to = counts, receivers
        self.handle(CountsReceived(counts))
        others = [entry for entry in receivers if entry != self.links.entry]
        if others:
            self.links.send(counts_message(self.order.service, counts), others)

    def receive_counts(self, message: RolloutCounts, entry: str, lifetime: str) -> None:
        """Take the counts of a peer."""
        counts = decode_counts(message, entry, lifetime)
        if counts is None:
            log_event("rollout_message_unreadable", peer=entry, kind="counts")
            return
        self.handle(CountsReceived(counts))

    def receive_permission(self, message: RolloutPermission, sender: str) -> None:
        """Take a permission that a peer gives as the coordinator."""
        decoded = decode_permission(message)
        if decoded is None:
            log_event("rollout_message_unreadable", peer=sender, kind="permission")
            return
        phase, state = decoded
        now = time.monotonic()
        taken = self.permission.receive(message.epoch, phase, now, message.age_s, state)
        if taken:
            self.coordinated_by = sender
        if phase is Phase.ENDED:
            self.links.ended.record(self.order, self.permission.state)
        else:
            self.handle(EpochHeard(message.epoch))
        self.log_phase()

    def take_rows(self, rows: RowsRead) -> None:
        """Take both rows as the store holds them."""
        if rows.coordinator is not None:
            self.permission.receive_row(
                rows.coordinator, rows.coordinator_version, rows.read_at
            )
        self.handle(rows)

    def record_answer(self, failed: bool) -> None:
        """Record the outcome of a request that this entry sent to the new version."""
        before = self.permission.tripped
        self.permission.record_answer(failed)
        if self.permission.tripped and not before:
            log_event(
                "rollout_paused_here",
                **self.fields(),
                failures=self.permission.consecutive_failures,
                always=True,
            )

    def withdraw(self) -> None:
        """Stop using the version, since the operator has removed the order."""
        now = time.monotonic()
        log_event("rollout_order_removed", **self.fields(), always=True)
        self.permission.receive_end(RolloutState.ROLLED_BACK, now)
        self.links.ended.record(self.order, self.permission.state)
        self.close()
        self.log_phase()

    def stop(self) -> None:
        """Hand over what this entry coordinates, as it is about to stop."""
        self.handle(Stopping())

    def close(self) -> None:
        self.open = False
        self.store.close()

    # Events and actions of the coordinator.

    def handle(self, event: Event) -> None:
        """Give the coordinator an event, and do what follows from it."""
        if not self.open:
            return
        for action in self.coordinator.handle(event, time.monotonic()):
            self.perform(action)

    def perform(self, action: Action) -> None:
        match action:
            case ReadRows():
                self.store.read()
            case WriteRows():
                self.store.write(action)
            case SendPermission():
                self.send_permission(action)
            case EndConfirmed(state=state):
                self.end(state)
            case OrderReplaced():
                log_event("rollout_order_replaced", **self.fields(), always=True)
                # Nothing may be sent to the version until the later order is known.
                self.permission = Permission(self.order, self.permission.state)
                self.close()
            case Remark(event=event, detail=detail):
                self.log_decision(event, detail)

    def send_permission(self, sent: SendPermission) -> None:
        now = time.monotonic()
        self.permission.receive(
            sent.epoch, sent.phase, now, round(sent.age_s, 3), sent.state
        )
        self.coordinated_by = self.links.entry
        message = RolloutPermission(
            service=self.order.service,
            era=self.order.revision.era,
            order=self.order.revision.number,
            epoch=sent.epoch,
            phase=int(sent.phase),
            state=sent.state.value,
            age_s=round(sent.age_s, 3),
        )
        self.links.send(message, None)

    def end(self, state: RolloutState) -> None:
        """Take the end state that the rows hold, and close the run."""
        now = time.monotonic()
        self.permission.receive_end(state, now)
        self.links.ended.record(self.order, state)
        log_event(
            "rollout_ended",
            **self.fields(),
            state=state.value,
            sent=self.share.sent,
            sent_new=self.share.sent_new,
            always=True,
        )
        self.close()
        self.log_phase()

    # Log.

    def fields(self) -> dict[str, object]:
        """Return the fields that name the order in log lines."""
        return {
            "service": self.order.service,
            "version": self.order.version,
            "era": self.order.revision.era,
            "order": self.order.revision.number,
        }

    def log_decision(self, event: str, detail: str) -> None:
        """Log a decision with what it was made from."""
        plan = self.coordinator.plan
        old, new = plan.comparison.log.old_total, plan.comparison.log.new_total
        log_event(
            event,
            **self.fields(),
            detail=detail,
            age_s=round(plan.age_s(time.monotonic()), 3),
            duration_s=self.order.duration_s,
            verdict=plan.verdict.name.lower(),
            old_requests=old.requests,
            old_failures=old.failures,
            new_requests=new.requests,
            new_failures=new.failures,
            failure_evidence=round(plan.comparison.failure_evidence(), 3),
            time_score=round(plan.comparison.time_score(), 3),
            old_engines=plan.old_engines,
            new_engines=plan.new_engines,
            entries=len(plan.entries),
            always=True,
        )

    def log_phase(self) -> None:
        """Log a change of what may be sent to the version."""
        phase = self.permission.phase(time.monotonic())
        if phase is self.phase:
            return
        before, self.phase = self.phase, phase
        log_event(
            "rollout_phase",
            **self.fields(),
            phase=phase.name.lower(),
            before=before.name.lower(),
            state=self.permission.state.value,
            epoch=self.permission.epoch,
            coordinator=self.coordinated_by,
            tripped=self.permission.tripped,
            sent=self.share.sent,
            sent_new=self.share.sent_new,
            always=True,
        )


def _is_same(counts: EntryCounts, sent: EntryCounts | None) -> bool:
    """Return whether counts differ from those sent at most in their number."""
    return sent is not None and attrs.evolve(counts, number=sent.number) == sent
