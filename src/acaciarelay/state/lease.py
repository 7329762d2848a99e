"""Leases with fencing tokens, and the steps that acquire, renew and release them."""

import attrs

from acaciarelay.state.store_era import FIRST_ERA

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


# The tokens of an era begin at a multiple of this number, above all former ones.
TOKEN_STRIDE = 1_000_000


@attrs.frozen(kw_only=True)
class FencedLease:
    """A lease as seen by one process, its holder or an observer.

    Times are in seconds on that process's monotonic clock. The holder takes ``since``
    before it writes the lease, an observer after it has read it, so the lease expires
    first at the holder if both clocks run at nearly the same rate.
    ``margin_s`` covers the clock drift and the transmission time of a command.
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
        """Whether the holder may still act under this lease."""
        return now < self.expires_at - self.margin_s

    def certainly_expired(self, now: float) -> bool:
        """Whether the lease has expired on the holder's clock as well."""
        return now >= self.expires_at + self.margin_s


@attrs.frozen(kw_only=True)
class LeaseRow:
    """A stored lease; it is never deleted, so that its token only increases.

    ``write_id`` is unique to each write, so that a writer recognises its own. An empty
    ``holder`` marks a released lease.
    """

    holder: str
    token: int
    write_id: str
    duration_s: float


@attrs.frozen
class LeasePut:
    """The step needs a conditional write of this row."""

    row: LeaseRow


@attrs.frozen
class LeaseOwned:
    """The writer's own write has already taken effect."""

    row: LeaseRow


@attrs.frozen
class LeaseHeld:
    """The writer does not hold the lease, or holds it with another token.

    ``holder`` and ``token`` are those of the row. ``holder`` is empty when the lease
    was released or has no row, and ``token`` is 0 without a row.
    """

    holder: str
    token: int


LeaseStep = LeasePut | LeaseOwned | LeaseHeld


def acquire_step(
    current: LeaseRow | None,
    wanted: LeaseRow,
    certainly_expired: bool,
    era: int = FIRST_ERA,
) -> LeaseStep:
    """Acquire a lease with the next token; ``wanted.token`` is not used.

    The tokens of an ``era`` of the store begin above all of former eras, of which the
    store may have lost the newest. ``certainly_expired`` is the result of
    ``FencedLease.certainly_expired`` for ``current``. A released lease or one of the
    same holder is acquired without waiting.
    """
    if current is None:
        return LeasePut(attrs.evolve(wanted, token=_next_token(0, era)))
    if current.write_id == wanted.write_id:
        return LeaseOwned(current)
    free = not current.holder or current.holder == wanted.holder or certainly_expired
    if not free:
        return LeaseHeld(current.holder, current.token)
    return LeasePut(attrs.evolve(wanted, token=_next_token(current.token, era)))


def _next_token(token: int, era: int) -> int:
    return max(token + 1, (era - FIRST_ERA) * TOKEN_STRIDE)


def renew_step(
    current: LeaseRow | None, wanted: LeaseRow, restored: bool = False
) -> LeaseStep:
    """Renew a lease under its token.

    Returns ``LeaseHeld`` if the row is missing or has another holder or token. In a
    table that was ``restored`` since, a missing row or one with a lower token is one
    that the store has lost, and is written again; the lease must not have expired.
    """
    if restored and (current is None or current.token < wanted.token):
        return LeasePut(wanted)
    if current is None:
        return LeaseHeld("", 0)
    if current.write_id == wanted.write_id:
        return LeaseOwned(current)
    if (current.holder, current.token) != (wanted.holder, wanted.token):
        return LeaseHeld(current.holder, current.token)
    return LeasePut(wanted)


def release_step(current: LeaseRow | None, wanted: LeaseRow) -> LeaseStep:
    """Release a lease; its token stays in the table."""
    match renew_step(current, wanted):
        case LeasePut(row):
            return LeasePut(attrs.evolve(row, holder=""))
        case step:
            return step
