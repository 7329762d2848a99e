"""Guard against commands without a lease, a slot or a confirmation of both."""

import attrs
import pytest

from acaciarelay.coordination.commands import (
    AcquireLease,
    AcquireSlot,
    CommandState,
    CommandStep,
    Idle,
    LoadModel,
    ReleaseLease,
    ReleaseSlot,
    RenewLease,
    RenewSlot,
    Wait,
    may_send,
    next_step,
)
from acaciarelay.state.lease import FencedLease

LEASE = FencedLease(
    name="e1", holder="a", token=7, since=100.0, duration_s=9.0, margin_s=1.0
)
SLOT = attrs.evolve(LEASE, name="weights/0", token=3, duration_s=20.0, margin_s=2.0)
BASE = CommandState(
    desired=["m1", "m2"],
    loaded=frozenset(["m1"]),
    lease=LEASE,
    slot=SLOT,
    retry_at=0.0,
    late_until=0.0,
    loading_until=0.0,
    command_timeout_s=10.0,
    checks_fencing=False,
)
ALL = {"loaded": frozenset(["m1", "m2"])}


@pytest.mark.parametrize(
    "now, changes, step",
    [
        (101.0, {}, LoadModel("m2", 7)),
        (101.0, {"lease": None}, AcquireLease()),
        (101.0, {"slot": None}, AcquireSlot()),
        # Confirmed a third of its duration ago: valid, but to be confirmed again.
        (103.0, {}, RenewLease(LEASE)),
        (120.0, {}, RenewLease(LEASE)),
        # The slot would end during the load.
        (108.0, {"lease": attrs.evolve(LEASE, since=108.0)}, RenewSlot(SLOT)),
        (101.0, {"retry_at": 102.0}, Wait(102.0)),
        (101.0, ALL, ReleaseSlot(SLOT)),
        (101.0, {**ALL, "slot": None}, ReleaseLease(LEASE)),
        (101.0, {**ALL, "slot": None, "lease": None}, Idle()),
        # A lost command may still arrive, or its load may still run.
        (101.0, {"desired": [], "loading_until": 105.0}, ReleaseLease(LEASE)),
        (
            101.0,
            {"desired": [], "loading_until": 105.0, "late_until": 104.0},
            Wait(104.0),
        ),
        (
            101.0,
            {**ALL, "slot": None, "late_until": 104.0, "checks_fencing": True},
            ReleaseLease(LEASE),
        ),
        (101.0, {"idempotent": False}, ReleaseSlot(SLOT)),
        (101.0, {"idempotent": False, "checks_fencing": True}, LoadModel("m2", 7)),
    ],
)
def test_next_step(now: float, changes: dict, step: CommandStep) -> None:
    """Guards against a load without a valid lease and slot, and an early release."""
    assert next_step(attrs.evolve(BASE, **changes), now) == step


def test_the_last_check_uses_the_time_of_sending() -> None:
    """Guards against a command that is sent after a pause between check and send."""
    assert may_send(LEASE, SLOT, 5.0, 107.9)
    assert not may_send(LEASE, SLOT, 5.0, 108.0)
    assert not may_send(LEASE, SLOT, 10.5, 107.9)
