"""Decision on the next step that brings an engine to its desired models."""

from collections.abc import Sequence

import attrs

from acaciarelay.state.lease import FencedLease

__all__ = [
    "AcquireLease",
    "AcquireSlot",
    "CommandState",
    "CommandStep",
    "Idle",
    "LoadModel",
    "ReleaseLease",
    "ReleaseSlot",
    "RenewLease",
    "RenewSlot",
    "Wait",
    "may_send",
    "next_step",
]

# A lease whose last confirmation is older than this share of its duration is renewed
# before a command. If the platform is unreachable, commands thus stop before the lease
# ends.
MAX_CONFIRMATION_AGE_SHARE = 1 / 3


@attrs.frozen(kw_only=True)
class CommandState:
    """Inputs of the decision; times are monotonic, in seconds.

    ``lease`` is the endpoint's lease and ``slot`` the weight-store slot, as last
    confirmed by the platform. A load takes at most ``command_timeout_s``. No step is
    taken before ``retry_at``. After a lost answer the command may arrive until
    ``late_until`` and its load may run until ``loading_until``. ``checks_fencing`` is
    set if the engine refuses an old fencing token, ``idempotent`` if a load may be
    repeated.
    """

    desired: Sequence[str]
    loaded: frozenset[str]
    lease: FencedLease | None
    slot: FencedLease | None
    retry_at: float
    late_until: float
    loading_until: float
    command_timeout_s: float
    checks_fencing: bool
    idempotent: bool = True

    @property
    def missing(self) -> list[str]:
        """Return the models to load, in the order of ``desired``."""
        return [model for model in self.desired if model not in self.loaded]


@attrs.frozen
class Idle:
    """Do nothing until the state changes."""


@attrs.frozen
class Wait:
    """Do nothing until a time, or until the state changes."""

    until: float


@attrs.frozen
class AcquireLease:
    """Acquire the endpoint's lease."""


@attrs.frozen
class RenewLease:
    """Have the platform confirm the endpoint's lease."""

    lease: FencedLease


@attrs.frozen
class ReleaseLease:
    """Release the endpoint's lease."""

    lease: FencedLease


@attrs.frozen
class AcquireSlot:
    """Acquire a slot for a load from the weight store."""


@attrs.frozen
class RenewSlot:
    """Have the platform confirm the slot for the duration of a load."""

    slot: FencedLease


@attrs.frozen
class ReleaseSlot:
    """Release the slot."""

    slot: FencedLease


@attrs.frozen
class LoadModel:
    """Send the command to load a model."""

    model: str
    token: int


CommandStep = (
    Idle
    | Wait
    | AcquireLease
    | RenewLease
    | ReleaseLease
    | AcquireSlot
    | RenewSlot
    | ReleaseSlot
    | LoadModel
)


def may_send(
    lease: FencedLease, slot: FencedLease, command_timeout_s: float, now: float
) -> bool:
    """Return whether a load may be sent now; the slot must outlast the load."""
    return lease.may_act(now) and slot.may_act(now + command_timeout_s)


def next_step(state: CommandState, now: float) -> CommandStep:
    """Choose the next step towards the desired models."""
    if now < state.retry_at:
        return Wait(state.retry_at)
    missing = state.missing
    # An engine that ignores the fencing token can't refuse a load that arrives late. If
    # the load is not idempotent either, a late one could run after its repetition, so
    # none is sent.
    safe_to_repeat = state.idempotent or state.checks_fencing
    if not missing or not safe_to_repeat:
        return _release_held(state, now)
    lease, slot = state.lease, state.slot
    if lease is None:
        return AcquireLease()
    if slot is None:
        return AcquireSlot()
    if not _confirmed(lease, now):
        return RenewLease(lease)
    if not slot.may_act(now + state.command_timeout_s):
        return RenewSlot(slot)
    return LoadModel(missing[0], lease.token)


def _confirmed(lease: FencedLease, now: float) -> bool:
    fresh = now < lease.since + lease.duration_s * MAX_CONFIRMATION_AGE_SHARE
    return fresh and lease.may_act(now)


def _release_held(state: CommandState, now: float) -> CommandStep:
    """Release lease and slot once no earlier command can still act under them.

    The next holder may act as soon as a lease or slot is released.
    """
    lease, slot = state.lease, state.slot
    waits = []
    if slot is not None:
        if now >= state.loading_until:
            return ReleaseSlot(slot)
        waits.append(state.loading_until)
    if lease is not None:
        if state.checks_fencing or now >= state.late_until:
            return ReleaseLease(lease)
        waits.append(state.late_until)
    return Wait(min(waits)) if waits else Idle()
