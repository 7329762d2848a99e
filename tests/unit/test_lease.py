"""Guard against two holders that both believe they may act."""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from acaciarelay.state.lease import (
    FencedLease,
    LeaseHeld,
    LeaseOwned,
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
    view = lease("a", 1, 100.0)
    assert view.may_act(108.9) and not view.may_act(109.0)
    assert not view.lapsed_surely(110.9) and view.lapsed_surely(111.0)


def test_tokens_count_up_through_release_and_take_over() -> None:
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


def test_an_own_write_is_recognised() -> None:
    mine = row("a", "1", 4)
    assert acquire_step(mine, row("a", "1"), False) == LeaseOwned(mine)
    assert renew_step(mine, row("a", "1", 4)) == LeaseOwned(mine)


def test_a_stale_token_does_not_renew() -> None:
    assert renew_step(row("b", "2", 2), row("a", "3", 1)) == LeaseHeld("b", 2)
    assert renew_step(row("a", "2", 2), row("a", "3", 1)) == LeaseHeld("a", 2)


@attrs.define
class Pending:
    """Hold a conditional write on its way; ``since`` was read before it was sent."""

    revision: int
    row: LeaseRow
    since: float


HOLDERS = st.sampled_from(["a", "b", "c"])


class LeaseMachine(RuleBasedStateMachine):
    """Deliver writes late, twice, in any order or never; holders pause at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.writes = 0
        self.revision = 0
        self.row: LeaseRow | None = None
        self.pending: list[Pending] = []
        self.views: dict[str, FencedLease] = {}
        self.seen: dict[str, tuple[str, FencedLease]] = {}
        self.newest_token = 0

    def wanted(self, holder: str, token: int) -> LeaseRow:
        self.writes += 1
        return row(holder, str(self.writes), token)

    def lapsed(self, observer: str) -> bool:
        if self.row is None:
            return True
        seen = self.seen.get(observer)
        if seen is None or seen[0] != self.row.write_id:
            view = lease(self.row.holder, self.row.token, self.now)
            seen = self.seen[observer] = (self.row.write_id, view)
        return seen[1].lapsed_surely(self.now)

    def send(self, step: object) -> None:
        if isinstance(step, LeasePut):
            self.pending.append(Pending(self.revision, step.row, self.now))

    @rule(seconds=st.floats(0.0, 12.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(holder=HOLDERS)
    def acquire(self, holder: str) -> None:
        view = self.views.get(holder)
        if view is not None and view.may_act(self.now):
            return
        wanted = self.wanted(holder, 0)
        self.send(acquire_step(self.row, wanted, self.lapsed(holder)))

    @rule(holder=HOLDERS)
    def renew(self, holder: str) -> None:
        if holder in self.views:
            wanted = self.wanted(holder, self.views[holder].token)
            self.send(renew_step(self.row, wanted))

    @rule(holder=HOLDERS)
    def release(self, holder: str) -> None:
        if holder in self.views:
            wanted = self.wanted(holder, self.views.pop(holder).token)
            self.send(release_step(self.row, wanted))

    @rule(data=st.data(), answered=st.booleans(), kept=st.booleans())
    def deliver(self, data: st.DataObject, answered: bool, kept: bool) -> None:
        if not self.pending:
            return
        index = data.draw(st.integers(0, len(self.pending) - 1))
        write = self.pending[index] if kept else self.pending.pop(index)
        if write.revision != self.revision:
            return
        self.revision += 1
        self.row = write.row
        assert write.row.token >= self.newest_token
        self.newest_token = write.row.token
        if answered and write.row.holder:
            self.views[write.row.holder] = lease(
                write.row.holder, write.row.token, write.since
            )

    @invariant()
    def at_most_one_holder_may_act(self) -> None:
        acting = [view for view in self.views.values() if view.may_act(self.now)]
        assert len(acting) <= 1


TestLeaseMachine = LeaseMachine.TestCase
