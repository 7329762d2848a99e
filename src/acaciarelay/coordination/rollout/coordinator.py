"""Coordinator of a rollout: lease, phases and end of an order."""

import math
from collections.abc import Iterable

from acaciarelay.coordination.placement.rendezvous import choose_subset
from acaciarelay.coordination.rollout.comparison import VersionComparison
from acaciarelay.coordination.rollout.lease import LEASE_S, RowLease
from acaciarelay.coordination.rollout.plan import RolloutPlan
from acaciarelay.coordination.rollout.steps import (
    Action,
    CountsReceived,
    EndConfirmed,
    EnginesSeen,
    EntriesSeen,
    EpochHeard,
    Event,
    OrderReplaced,
    ReadRows,
    Remark,
    RowsRead,
    SendPermission,
    Stopping,
    Tick,
    WriteEnded,
)
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState, Verdict

__all__ = ["RolloutCoordinator", "counts_receivers"]

# Interval of the renewals of the lease.
RENEW_INTERVAL_S = 1.0
# Intervals of the reads of both rows: while another entry coordinates, and while the
# outcome of a write is unknown.
WATCH_INTERVAL_S = 0.5
SETTLE_INTERVAL_S = 0.2
# Interval of the permissions while they don't change.
PERMISSION_INTERVAL_S = 0.5
# Difference between the times at which entries claim, in the order of their ranks, so
# that few of them try at once.
CLAIM_STAGGER_S = 0.2
MAX_CLAIM_DELAY_S = 2.0


def _ranked(order: RolloutOrder, entries: Iterable[str]) -> list[str]:
    """Return the entries in the order in which they are to coordinate an order."""
    names = sorted(set(entries))
    key = f"{order.service}/{order.revision.era}/{order.revision.number}"
    return choose_subset(key, names, len(names))


def counts_receivers(
    order: RolloutOrder, entries: Iterable[str], coordinator: str
) -> list[str]:
    """Return the entries that get the counts: the coordinator and its deputy.

    ``coordinator`` is the address of the one that sent the last permission; empty if
    none has.
    """
    ranked = _ranked(order, entries)
    receivers = [coordinator] if coordinator else ranked[:1]
    deputies = [entry for entry in ranked if entry not in receivers]
    return receivers + deputies[:1]


class RolloutCoordinator:
    """State machine by which an entry coordinates an order, or stands by for that.

    Each entry has one for each order that has not ended. ``holder`` names this lifetime
    of the entry; ``ended`` is the end state if it is known (``EndedOrders``). After
    ``EndConfirmed`` or ``OrderReplaced`` there are no more actions.
    """

    def __init__(
        self,
        order: RolloutOrder,
        entry: str,
        lifetime: str,
        now: float,
        ended: RolloutState = RolloutState.RUNNING,
    ) -> None:
        self.order = order
        self.entry = entry
        self.first_seen = now
        self.lease = RowLease(order=order, holder=f"{entry}/{lifetime}")
        duration_s = order.duration_s if order.has_duration else 0.0
        self.plan = RolloutPlan(order, now, VersionComparison(duration_s))
        self.known_end = ended
        # The rows hold the end, or the order was replaced.
        self.done = False
        self._acting = False
        # This entry stops, and has written that others may take the lease.
        self._stopping = False
        self._handed_over = False
        self._age_error_s = math.inf
        self._read_asked_at = -math.inf
        self._sent: tuple[int, Phase] | None = None
        self._sent_at = -math.inf

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry holds the lease, as far as it knows."""
        return self._acting and not self.done

    @property
    def verdict(self) -> Verdict:
        """Finding about the new version so far."""
        return self.plan.verdict

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return the actions that follow from it."""
        if self.done:
            return []
        actions: list[Action] = []
        fresh = False
        match event:
            case Tick():
                pass
            case RowsRead():
                fresh = self.lease.read(event, now)
                if fresh and not self._acting:
                    self._follow_age(event, now)
            case WriteEnded():
                self.lease.write_ended(event, now)
            case CountsReceived(counts):
                if counts.order == self.order.revision:
                    self.plan.comparison.observe(counts, now)
            case EnginesSeen(old=old, new=new):
                self.plan.set_engines(old, new)
            case EntriesSeen(entries):
                self.plan.entries = entries
            case EpochHeard(epoch):
                self.lease.max_epoch = max(self.lease.max_epoch, epoch)
            case Stopping():
                self._stopping = True
        if self._is_over(actions, now):
            return actions
        self._update_term(actions, now)
        if self.is_coordinator:
            self._coordinate(actions, now)
        elif fresh:
            self._claim_if_due(actions, now)
        self._read_if_due(actions, now)
        return actions

    def _follow_age(self, rows: RowsRead, now: float) -> None:
        """Take the time at which the order was first seen from the row.

        The store's time in an answer is known up to the time that the read took, so the
        fastest read counts.
        """
        row = self.lease.own_row
        error_s = now - rows.read_at
        if row is None or not 0 < row.since_ms <= rows.now_ms:
            return
        if error_s < self._age_error_s:
            self._age_error_s = error_s
            age_s = (rows.now_ms - row.since_ms) / 1000.0
            began_at = rows.read_at + error_s / 2 - age_s
            self.plan.began_at = min(self.first_seen, began_at)

    def _is_over(self, actions: list[Action], now: float) -> bool:
        """Stop when the rows hold the end of this order, or are of a later one."""
        state = self.lease.ended
        rows = self.lease.rows
        if state.is_end:
            self.done = True
            actions.append(EndConfirmed(state))
            if self._acting:
                actions.append(self._permission(Phase.ENDED, state, now))
            return True
        row = rows.coordinator if rows is not None else None
        if row is not None and row.order > self.order.revision:
            self.done = True
            actions.append(OrderReplaced())
        return self.done

    def _update_term(self, actions: list[Action], now: float) -> None:
        """Begin or end the term as coordinator with the lease."""
        lease = self.lease
        fenced = lease.epoch < lease.max_epoch
        handed_over = self._handed_over and lease.pending is None
        if lease.epoch and (fenced or handed_over or not lease.is_valid(now)):
            lease.release()
        holds = lease.epoch > 0
        if holds and not self._acting:
            row = lease.own_row
            assert row is not None
            self.plan.comparison.restore(row.counts)
            self.plan.begin()
            actions.append(Remark("rollout_coordinated", f"epoch {lease.epoch}"))
        if self._acting and not holds:
            actions.append(Remark("rollout_coordination_lost", "lease ended"))
        self._acting = holds

    def _claim_if_due(self, actions: list[Action], now: float) -> None:
        """Claim the lease if nobody holds it, as of rows that were just read."""
        lease = self.lease
        rows = lease.rows
        if self._stopping or lease.pending is not None or rows is None:
            return
        row = lease.own_row
        if row is None:
            waited_s = rows.read_at - self.first_seen - self._claim_delay_s()
        elif row.holder == lease.holder:
            waited_s = 0.0
        else:
            delay_s = min(LEASE_S, row.lease_s) + self._claim_delay_s()
            waited_s = rows.read_at - lease.unchanged_since - delay_s
        if waited_s < 0.0:
            return
        if row is not None and row.phase is Phase.FULL:
            self.plan.inherited_full = True
        if not self.order.has_duration:
            reason = "the order has no usable duration"
            self.plan.finish(RolloutState.ROLLED_BACK, reason)
        state = self.known_end if self.known_end.is_end else self.plan.end
        if state is RolloutState.SUCCEEDED and not self.known_end.is_end:
            # Decided in an earlier term; it is judged anew in the next one.
            state = RolloutState.RUNNING
        if state.is_end:
            actions.append(Remark("rollout_decided", f"{state}: {self._end_reason()}"))
        age_ms = int(self.plan.age_s(now) * 1000.0)
        write = lease.claim(now, state, Phase.NONE, rows.now_ms - age_ms)
        actions.append(write)

    def _claim_delay_s(self) -> float:
        ranked = _ranked(self.order, (*self.plan.entries, self.entry))
        return min(MAX_CLAIM_DELAY_S, CLAIM_STAGGER_S * ranked.index(self.entry))

    def _end_reason(self) -> str:
        return self.plan.reason or "end state seen before"

    def _coordinate(self, actions: list[Action], now: float) -> None:
        """Permit what is due, and renew the lease or write the end."""
        lease, plan = self.lease, self.plan
        before = plan.end
        plan.advance(now, lease.epoch)
        if plan.end is not before:
            actions.append(Remark("rollout_decided", f"{plan.end}: {plan.reason}"))
        sent = (lease.epoch, plan.phase)
        if sent != self._sent or now - self._sent_at >= PERMISSION_INTERVAL_S:
            self._sent, self._sent_at = sent, now
            actions.append(self._permission(plan.phase, RolloutState.RUNNING, now))
        if lease.pending is not None or lease.needs_read:
            return
        if self._stopping and not plan.end.is_end:
            self._handed_over = True
            counts = plan.comparison.totals()
            actions.append(lease.hand_over(now, plan.phase, counts))
            return
        if (
            plan.end.is_end
            or plan.phase is not lease.written_phase
            or now - lease.renewed_at >= RENEW_INTERVAL_S
        ):
            counts = plan.comparison.totals()
            actions.append(lease.renew(now, plan.end, plan.phase, counts))

    def _permission(
        self, phase: Phase, state: RolloutState, now: float
    ) -> SendPermission:
        return SendPermission(
            epoch=self.lease.epoch,
            phase=phase,
            state=state,
            age_s=max(0.0, self.plan.age_s(now)),
        )

    def _read_if_due(self, actions: list[Action], now: float) -> None:
        lease = self.lease
        if lease.pending is not None:
            return
        interval_s = SETTLE_INTERVAL_S if lease.needs_read else WATCH_INTERVAL_S
        if self.is_coordinator and not lease.needs_read:
            return
        if now - self._read_asked_at >= interval_s:
            self._read_asked_at = now
            actions.append(ReadRows())
