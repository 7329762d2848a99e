"""Guard against two holders that may act at the same time."""

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from acaciarelay.state.lease import (
    FencedLease,
    LeaseHeld,
    LeasePut,
    LeaseRow,
    acquire_step,
    release_step,
    renew_step,
)

DURATION_S = 10.0
MARGIN_S = 1.0


def row(holder: str, write_id: str, token: int = 0) -> LeaseRow:
    return LeaseRow(
        holder=holder, token=token, write_id=write_id, duration_s=DURATION_S
    )


def lease(holder: str, token: int, since: float) -> FencedLease:
    return FencedLease(
        name="n",
        holder=holder,
        token=token,
        since=since,
        duration_s=DURATION_S,
        margin_s=MARGIN_S,
    )


def test_the_holder_stops_before_an_observer_takes_over() -> None:
    """Guards against a safety margin that the holder or the observer doesn't keep."""
    held = lease("a", 1, 100.0)
    assert held.may_act(108.9) and not held.may_act(109.0)
    assert not held.certainly_expired(110.9) and held.certainly_expired(111.0)


def test_tokens_increase_through_release_and_take_over() -> None:
    first = acquire_step(None, row("a", "1"), False)
    assert first == LeasePut(row("a", "1", 1))
    assert acquire_step(row("a", "1", 1), row("b", "2"), False) == LeaseHeld("a", 1)
    assert acquire_step(row("a", "1", 1), row("b", "2"), True) == LeasePut(
        row("b", "2", 2)
    )
    released = release_step(row("a", "1", 1), row("a", "3", 1))
    assert released == LeasePut(row("", "3", 1))
    again = acquire_step(row("", "3", 1), row("b", "2"), False)
    assert again == LeasePut(row("b", "2", 2))


@attrs.define
class Pending:
    """A conditional write in flight; ``since`` is the time before it was sent."""

    revision: int
    row: LeaseRow
    since: float


# Most writes arrive immediately, so that the machine gets beyond its initial states.
MOSTLY_TRUE = st.sampled_from([True, True, True, False])
HOLDERS = st.sampled_from(["a", "b"])


class LeaseMachine(RuleBasedStateMachine):
    """Delays, duplicates, reorders and drops writes; holders pause at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.writes = 0
        self.revision = 0
        self.row: LeaseRow | None = None
        self.pending: list[Pending] = []
        self.leases: dict[str, FencedLease] = {}
        self.observed: dict[str, tuple[str, FencedLease]] = {}
        self.newest_token = 0

    def wanted(self, holder: str, token: int) -> LeaseRow:
        self.writes += 1
        return row(holder, str(self.writes), token)

    def certainly_expired(self, observer: str) -> bool:
        if self.row is None:
            return True
        observed = self.observed.get(observer)
        if observed is None or observed[0] != self.row.write_id:
            current = lease(self.row.holder, self.row.token, self.now)
            observed = self.observed[observer] = (self.row.write_id, current)
        return observed[1].certainly_expired(self.now)

    def send(self, step: object, at_once: bool) -> None:
        if isinstance(step, LeasePut):
            write = Pending(self.revision, step.row, self.now)
            self.pending.append(write)
            if at_once:
                self.apply_write(write, True)

    def apply_write(self, write: Pending, answered: bool) -> None:
        if write.revision != self.revision:
            return
        self.revision += 1
        self.row = write.row
        assert write.row.token >= self.newest_token
        self.newest_token = write.row.token
        holder = write.row.holder
        if answered and holder:
            self.leases[holder] = lease(holder, write.row.token, write.since)

    # Durations near the limits of a lease reach them far more often than random ones.
    @rule(seconds=st.sampled_from([1, 4, 8, 11]), observed=MOSTLY_TRUE)
    def wait(self, seconds: int, observed: bool) -> None:
        if observed:
            for holder in "ab":
                self.certainly_expired(holder)
        self.now += seconds

    @rule(holder=HOLDERS, at_once=MOSTLY_TRUE)
    def acquire(self, holder: str, at_once: bool) -> None:
        held = self.leases.get(holder)
        if held is not None and held.may_act(self.now):
            return
        wanted = self.wanted(holder, 0)
        self.send(
            acquire_step(self.row, wanted, self.certainly_expired(holder)), at_once
        )

    @rule(holder=HOLDERS, at_once=MOSTLY_TRUE)
    def renew(self, holder: str, at_once: bool) -> None:
        if holder in self.leases:
            wanted = self.wanted(holder, self.leases[holder].token)
            self.send(renew_step(self.row, wanted), at_once)

    @rule(holder=HOLDERS, at_once=MOSTLY_TRUE)
    def release(self, holder: str, at_once: bool) -> None:
        if holder in self.leases:
            wanted = self.wanted(holder, self.leases.pop(holder).token)
            self.send(release_step(self.row, wanted), at_once)

    @rule(data=st.data(), answered=st.booleans(), kept=st.booleans())
    def deliver(self, data: st.DataObject, answered: bool, kept: bool) -> None:
        if not self.pending:
            return
        index = data.draw(st.integers(0, len(self.pending) - 1))
        write = self.pending[index] if kept else self.pending.pop(index)
        self.apply_write(write, answered)

    @invariant()
    def at_most_one_holder_may_act(self) -> None:
        acting = [held for held in self.leases.values() if held.may_act(self.now)]
        assert len(acting) <= 1


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=200, deadline=None)
