"""Guard against a non-idempotent call that starts twice for one key."""

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from acaciarelay.state.claim import (
    AlreadyApplied,
    Claim,
    ClaimPhase,
    Denied,
    DeniedReason,
    Put,
    ResultRecord,
    Settlement,
    claim_step,
    finish_step,
    release_step,
    settle_step,
    start_step,
)

RESULT = ResultRecord(status=200, headers=[])
TAKE_OVER_S = 10.0


def claimed(current: Claim | None, token: str, now: float = 0.0) -> Claim:
    step = claim_step(current, "hash", token, now, TAKE_OVER_S)
    assert isinstance(step, Put) and step.claim is not None
    return step.claim


def started(token: str, start_id: str) -> Claim:
    step = start_step(claimed(None, token), token, start_id)
    assert isinstance(step, Put) and step.claim is not None
    return step.claim


def test_another_body_is_denied_in_every_phase() -> None:
    for claim in (claimed(None, "a"), started("a", "1")):
        step = claim_step(claim, "other", "b", 100.0, TAKE_OVER_S)
        assert step == Denied(DeniedReason.OTHER_BODY)


def test_a_clock_that_was_ahead_does_not_block_the_key() -> None:
    """Guards against a key that is blocked until a claim time in the future.

    An entry whose clock is ahead writes such a time.
    """
    assert claimed(claimed(None, "a", 1e6), "b", 0.0).token == "b"


def test_the_first_result_is_kept() -> None:
    """Guards against a late agent that overwrites a stored result."""
    assert finish_step(claimed(None, "a"), "a", RESULT) == Denied(
        DeniedReason.NOT_STARTED
    )
    step = finish_step(started("a", "1"), "a", RESULT)
    assert isinstance(step, Put)
    other = attrs.evolve(RESULT, status=500)
    assert finish_step(step.claim, "a", other) == AlreadyApplied(step.claim)
    assert claim_step(step.claim, "hash", "b", 0.0, TAKE_OVER_S) == AlreadyApplied(
        step.claim
    )


def settlement(revision: int, ran: bool, token: str = "t") -> Settlement:
    result = attrs.evolve(RESULT, status=299) if ran else None
    return Settlement(revision=revision, result=result, operator="op", token=token)


def test_only_a_started_claim_is_settled() -> None:
    """Guards against settlements that replace a result or displace a live claimant."""
    for ran in (True, False):
        wanted = settlement(1, ran)
        assert settle_step(None, 0, wanted) == Denied(DeniedReason.MISSING)
        claim = claimed(None, "a")
        assert settle_step(claim, 1, wanted) == Denied(DeniedReason.NOT_STARTED)
        step = finish_step(started("a", "1"), "a", RESULT)
        assert isinstance(step, Put)
        assert settle_step(step.claim, 1, wanted) == Denied(DeniedReason.FINISHED)
        changed = Denied(DeniedReason.CHANGED)
        assert settle_step(started("a", "1"), 2, wanted) == changed


def test_a_settlement_recognises_its_own_write() -> None:
    """Guards against a settlement that fails after a lost response to its write."""
    step = settle_step(started("a", "1"), 1, settlement(1, True))
    assert isinstance(step, Put) and step.claim is not None
    assert settle_step(step.claim, 2, settlement(1, True)) == AlreadyApplied(step.claim)
    other = settlement(1, True, token="u")
    assert settle_step(step.claim, 2, other) == Denied(DeniedReason.CHANGED)
    # An agent that returns keeps the operator's result and does not call again.
    assert finish_step(step.claim, "a", RESULT) == AlreadyApplied(step.claim)
    assert start_step(step.claim, "a", "1") == Denied(DeniedReason.STARTED)


@attrs.define
class Pending:
    """A conditional write in flight to the table."""

    revision: int
    claim: Claim | None
    start_id: str = ""


# Most writes arrive immediately, so that the machine gets beyond its initial states.
MOSTLY_TRUE = st.sampled_from([True, True, True, False])
TOKENS = st.sampled_from(["a", "b"])
AGENTS = st.sampled_from(["1", "2"])


class ClaimMachine(RuleBasedStateMachine):
    """Delays, duplicates, reorders and drops writes, and loses their responses.

    Two agents may hold the same token, as after a duplicated message.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.row_revision = 0
        self.claim: Claim | None = None
        self.pending: list[Pending] = []
        self.called: set[str] = set()
        self.given_up: set[str] = set()
        self.reads: list[tuple[int, str]] = []

    def send(self, step: object, at_once: bool, start_id: str = "") -> None:
        if isinstance(step, Put):
            write = Pending(self.row_revision, step.claim, start_id)
            self.pending.append(write)
            if at_once:
                self.apply_write(write, True)

    def apply_write(self, write: Pending, answered: bool) -> None:
        if write.revision != self.row_revision:
            return
        self.revision += 1
        self.row_revision = self.revision if write.claim is not None else 0
        self.claim = write.claim
        if answered:
            self.confirm(write.start_id)

    def confirm(self, start_id: str) -> None:
        if start_id and start_id not in self.given_up:
            self.called.add(start_id)

    @rule(seconds=st.floats(0.0, 20.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(token=TOKENS, at_once=MOSTLY_TRUE)
    def claim_key(self, token: str, at_once: bool) -> None:
        step = claim_step(self.claim, "hash", token, self.now, TAKE_OVER_S)
        self.send(step, at_once)

    @rule(token=TOKENS, agent=AGENTS, at_once=MOSTLY_TRUE)
    def start(self, token: str, agent: str, at_once: bool) -> None:
        start_id = token + agent
        if start_id in self.given_up:
            return
        step = start_step(self.claim, token, start_id)
        if isinstance(step, AlreadyApplied):
            self.confirm(start_id)
        self.send(step, at_once, start_id)

    @rule(token=TOKENS, agent=AGENTS, at_once=MOSTLY_TRUE)
    def finish(self, token: str, agent: str, at_once: bool) -> None:
        if token + agent in self.called:
            self.send(finish_step(self.claim, token, RESULT), at_once)

    @rule(token=TOKENS, agent=AGENTS, at_once=MOSTLY_TRUE)
    def give_up(self, token: str, agent: str, at_once: bool) -> None:
        start_id = token + agent
        if start_id not in self.called:
            self.given_up.add(start_id)
            self.send(release_step(self.claim, token, start_id), at_once)

    @rule()
    def read_by_operator(self) -> None:
        if self.claim is not None and self.claim.start_id:
            self.reads.append((self.row_revision, self.claim.start_id))

    @rule(data=st.data(), ran=st.booleans(), at_once=MOSTLY_TRUE)
    def settle(self, data: st.DataObject, ran: bool, at_once: bool) -> None:
        """Settle a claim read earlier; "not run" only if its agent has given up."""
        if not self.reads:
            return
        revision, start_id = data.draw(st.sampled_from(self.reads))
        if not ran and (start_id not in self.given_up or start_id in self.called):
            return
        wanted = settlement(revision, ran)
        self.send(settle_step(self.claim, self.row_revision, wanted), at_once)

    @rule(data=st.data(), answered=st.booleans(), kept=st.booleans())
    def deliver(self, data: st.DataObject, answered: bool, kept: bool) -> None:
        if not self.pending:
            return
        index = data.draw(st.integers(0, len(self.pending) - 1))
        write = self.pending[index] if kept else self.pending.pop(index)
        self.apply_write(write, answered)

    @invariant()
    def the_call_is_made_at_most_once(self) -> None:
        assert len(self.called) <= 1

    @invariant()
    def a_call_made_keeps_its_claim(self) -> None:
        if self.called:
            assert self.claim is not None
            assert self.claim.phase is not ClaimPhase.CLAIMED
            assert self.called == {self.claim.start_id}

    @invariant()
    def the_start_has_the_token_of_the_claimant(self) -> None:
        if self.claim is not None and self.claim.start_id:
            assert self.claim.start_id[0] == self.claim.token


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=200, deadline=None)
