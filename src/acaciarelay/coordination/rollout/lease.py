"""The coordinator's row as a lease: claim, renewal and settling of lost answers."""

import attrs

from acaciarelay.coordination.rollout.steps import (
    RowsRead,
    WriteEnded,
    WriteOutcome,
    WriteRows,
)
from acaciarelay.state.rollout import (
    CoordinatorRow,
    LifetimeCounts,
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)

__all__ = ["RowLease"]

# Time without a change of the row after which another entry may take it over.
LEASE_S = 3.0
# The holder stops this much earlier, for clocks that run at slightly different rates.
LEASE_MARGIN_S = 0.2


@attrs.frozen(kw_only=True)
class _Pending:
    """A write under way or of unknown outcome, sent at monotonic ``sent_at``."""

    write: WriteRows
    sent_at: float


@attrs.define(eq=False)
class RowLease:
    """Lease of an order as seen by one entry; times are monotonic, in seconds.

    At most one write is under way. Each write changes the coordinator's row and has its
    last known version as a condition, so of all writes after one version at most one
    is ever performed, however late.

    ``needs_read``: the rows have to be read before anything else is written.
    """

    order: RolloutOrder
    holder: str
    # Epoch under which this entry holds the lease, 0 if it does not.
    epoch: int = 0
    max_epoch: int = 0
    valid_until: float = 0.0
    written_phase: Phase = Phase.NONE
    renewed_at: float = 0.0
    needs_read: bool = True
    # Rows as last read or written.
    rows: RowsRead | None = None
    # Since when the coordinator's row has been seen unchanged.
    unchanged_since: float = 0.0
    pending: _Pending | None = None
    # Writes whose outcome is unknown, since the rows were last known.
    uncertain: list[_Pending] = attrs.Factory(list)
    # Only reads that began after this time show what was written.
    usable_from: float = 0.0
    writes: int = 0

    def is_valid(self, now: float) -> bool:
        return self.epoch > 0 and now < self.valid_until

    def release(self) -> None:
        """Stop acting as the holder."""
        self.epoch = 0
        self.valid_until = 0.0
        self.needs_read = True

    @property
    def ended(self) -> RolloutState:
        """The end state of the order if the rows hold it."""
        rows = self.rows
        if rows is None or rows.coordinator is None or rows.status is None:
            return RolloutState.RUNNING
        if rows.coordinator.order != self.order.revision:
            return RolloutState.RUNNING
        if rows.coordinator.phase is not Phase.ENDED:
            return RolloutState.RUNNING
        if rows.status.version != self.order.version:
            return RolloutState.RUNNING
        return rows.status.state

    @property
    def own_row(self) -> CoordinatorRow | None:
        """The coordinator's row if it is of this order."""
        row = self.rows.coordinator if self.rows is not None else None
        return row if row is not None and row.order == self.order.revision else None

    def read(self, rows: RowsRead, now: float) -> bool:
        """Take rows that were read; ``False`` if they may be older than known ones."""
        if self.pending is not None or rows.read_at < self.usable_from:
            return False
        known = self.rows
        if known is not None and known.era != rows.era:
            self.release()
            self.uncertain.clear()
        if (
            known is None
            or known.era != rows.era
            or known.coordinator_version != rows.coordinator_version
        ):
            self.unchanged_since = now
        self.rows = rows
        self.usable_from = rows.read_at
        self.needs_read = False
        if rows.coordinator is not None:
            self.max_epoch = max(self.max_epoch, rows.coordinator.epoch)
        self._settle(rows)
        return True

    def _settle(self, rows: RowsRead) -> None:
        """Find out from the rows whether this entry holds the lease."""
        row = rows.coordinator
        for pending in self.uncertain:
            # Successive renewals may write the same, so the version has to change too.
            changed = rows.coordinator_version != pending.write.coordinator_version
            if changed and row == pending.write.coordinator:
                self._take_effect(pending)
                self.uncertain.clear()
                return
        if row is None or row.holder != self.holder or row.epoch != self.epoch:
            self.epoch = 0
            self.valid_until = 0.0
            self.uncertain.clear()

    def _take_effect(self, pending: _Pending) -> None:
        row = pending.write.coordinator
        self.epoch = row.epoch
        self.max_epoch = max(self.max_epoch, row.epoch)
        self.valid_until = pending.sent_at + LEASE_S - LEASE_MARGIN_S
        self.renewed_at = pending.sent_at
        self.written_phase = row.phase

    def claim(
        self, now: float, state: RolloutState, phase: Phase, since_ms: int
    ) -> WriteRows:
        """Return the write by which this entry takes the lease."""
        former = self.own_row
        row = CoordinatorRow(
            order=self.order.revision,
            epoch=self.max_epoch + 1,
            holder=self.holder,
            lease_s=LEASE_S,
            phase=Phase.ENDED if state.is_end else phase,
            since_ms=former.since_ms if former is not None else since_ms,
            counts=former.counts if former is not None else (),
        )
        return self._write(row, state, now)

    def renew(
        self,
        now: float,
        state: RolloutState,
        phase: Phase,
        counts: tuple[LifetimeCounts, ...],
    ) -> WriteRows:
        """Return the write by which the holder renews the lease or ends the order."""
        former = self.own_row
        assert former is not None
        row = attrs.evolve(
            former, phase=Phase.ENDED if state.is_end else phase, counts=counts
        )
        return self._write(row, state, now)

    def hand_over(
        self, now: float, phase: Phase, counts: tuple[LifetimeCounts, ...]
    ) -> WriteRows:
        """Return the write by which the holder lets others take the lease at once."""
        former = self.own_row
        assert former is not None
        row = attrs.evolve(former, lease_s=0.0, phase=phase, counts=counts)
        return self._write(row, RolloutState.RUNNING, now)

    def _write(self, row: CoordinatorRow, state: RolloutState, now: float) -> WriteRows:
        rows = self.rows
        assert rows is not None
        status: RolloutStatus | None = RolloutStatus(
            state=state, version=self.order.version
        )
        if status == rows.status and self.own_row is not None:
            status = None
        self.writes += 1
        write = WriteRows(
            number=self.writes,
            coordinator_version=rows.coordinator_version,
            coordinator=row,
            status_version=rows.status_version,
            status=status,
        )
        self.pending = _Pending(write=write, sent_at=now)
        return write

    def write_ended(self, ended: WriteEnded, now: float) -> None:
        """Take the outcome of a write."""
        pending = self.pending
        if pending is None or pending.write.number != ended.number:
            return
        self.pending = None
        self.usable_from = now
        match ended.outcome:
            case WriteOutcome.PERFORMED:
                self._performed(pending, ended.version, now)
            case WriteOutcome.UNKNOWN:
                self.uncertain.append(pending)
                self.needs_read = True
            case WriteOutcome.REFUSED | WriteOutcome.NOT_DONE:
                self.needs_read = True

    def _performed(self, pending: _Pending, version: int, now: float) -> None:
        assert self.rows is not None
        write = pending.write
        self._take_effect(pending)
        self.uncertain.clear()
        self.unchanged_since = now
        if write.status is not None:
            self.rows = attrs.evolve(
                self.rows, status=write.status, status_version=version
            )
        self.rows = attrs.evolve(
            self.rows, coordinator=write.coordinator, coordinator_version=version
        )
