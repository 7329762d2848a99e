"""Fenced lease, its times on the monotonic clock of one process, and its steps."""

import attrs

__all__ = [
    "FencedLease",
    "LeaseHeld",
    "LeaseOwned",
    "LeasePut",
    "LeaseRow",
    "LeaseStep",
    "acquire_step",
    "release_step",
    "renew_step",
]


@attrs.frozen(kw_only=True)
class FencedLease:
    """Hold one process's view of a lease; times are monotonic, in seconds.

    ``since`` is a time before the write for the holder and a time after the read for
    an observer. The holder's view thus ends first on any clocks of nearly equal rate;
    ``margin_s`` covers the difference of the rates and the way of a command.
    """

    name: str
    holder: str
    token: int
    since: float
    duration_s: float
    margin_s: float

    @property
    def expires_at(self) -> float:
        return self.since + self.duration_s

    def may_act(self, now: float) -> bool:
        """Return whether the holder may still act under this lease."""
        return now < self.expires_at - self.margin_s

    def lapsed_surely(self, now: float) -> bool:
        """Return whether no holder can believe any more that it may act."""
        return now >= self.expires_at + self.margin_s


@attrs.frozen(kw_only=True)
class LeaseRow:
    """Hold the stored lease; it is never deleted, so that tokens only count up.

    ``write_id`` names the write, by which a writer recognises its own. An empty
    ``holder`` marks a lease given back.
    """

    holder: str
    token: int
    write_id: str
    duration_s: float


@attrs.frozen
class LeasePut:
    """Ask for a conditional write."""

    row: LeaseRow


@attrs.frozen
class LeaseOwned:
    """Say that the writer's own write is in effect."""

    row: LeaseRow


@attrs.frozen
class LeaseHeld:
    """Say that another holder has the lease, or a newer token is out."""

    holder: str
    token: int


LeaseStep = LeasePut | LeaseOwned | LeaseHeld


def acquire_step(
    current: LeaseRow | None, wanted: LeaseRow, lapsed_surely: bool
) -> LeaseStep:
    """Acquire a lease with the next token; ``wanted.token`` is not used.

    ``lapsed_surely`` is the observer's judgement of exactly this row.
    """
    if current is None:
        return LeasePut(attrs.evolve(wanted, token=1))
    if current.write_id == wanted.write_id:
        return LeaseOwned(current)
    free = not current.holder or current.holder == wanted.holder or lapsed_surely
    if not free:
        return LeaseHeld(current.holder, current.token)
    return LeasePut(attrs.evolve(wanted, token=current.token + 1))


def renew_step(current: LeaseRow | None, wanted: LeaseRow) -> LeaseStep:
    """Renew a lease under its token; it fails once a newer token is out."""
    if current is None:
        return LeaseHeld("", 0)
    if current.write_id == wanted.write_id:
        return LeaseOwned(current)
    if (current.holder, current.token) != (wanted.holder, wanted.token):
        return LeaseHeld(current.holder, current.token)
    return LeasePut(wanted)


def release_step(current: LeaseRow | None, wanted: LeaseRow) -> LeaseStep:
    """Give a lease back, keeping its token in the table."""
    match renew_step(current, wanted):
        case LeasePut(row):
            return LeasePut(attrs.evolve(row, holder=""))
        case step:
            return step
