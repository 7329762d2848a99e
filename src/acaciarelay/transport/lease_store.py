"""Fenced leases in table ``leases``; load slots of the weight store in ``slots``."""

import random
import secrets
import time
from collections.abc import Callable

import attrs
import cattrs
from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import Platform, PlatformError, Row
from acaciarelay.state.lease import (
    FencedLease,
    LeaseHeld,
    LeaseOwned,
    LeasePut,
    LeaseRow,
    LeaseStep,
    acquire_step,
    release_step,
    renew_step,
)
from acaciarelay.state.store_era import FIRST_ERA, NO_ERA
from acaciarelay.transport.conditional_write import (
    AssumedRow,
    Replace,
    Stop,
    Written,
    update_row,
)
from acaciarelay.transport.era_monitor import EraMonitor

__all__ = ["LeaseStore", "SlotStore"]

LEASE_TABLE = "leases"
SLOT_TABLE = "slots"


@attrs.frozen
class _Observed:
    """A lease as observed; its duration counts from the first read of ``write_id``."""

    write_id: str
    lease: FencedLease


class LeaseStore:
    """Acquire and renew leases for one holder.

    ``holder`` must include the process's incarnation, since a holder may acquire its
    own lease again at once. ``margin_s`` is that of ``FencedLease``; it must be below
    half of ``duration_s``. ``clock`` is monotonic. Raises ``ValueError`` for a margin
    that is negative or too large.

    In a new era of the store no lease is acquired until those that it may have lost
    have expired.
    """

    def __init__(
        self,
        platform: Platform,
        holder: str,
        duration_s: float,
        margin_s: float,
        table: str = LEASE_TABLE,
        clock: Callable[[], float] = time.monotonic,
        eras: EraMonitor | None = None,
    ) -> None:
        if not 0 <= margin_s < duration_s / 2:
            raise ValueError("margin_s must be below half of duration_s")
        self.platform = platform
        self.holder = holder
        self.duration_s = duration_s
        self.margin_s = margin_s
        self.table = table
        self.clock = clock
        self.observed: dict[str, _Observed] = {}
        self.held: dict[str, Row] = {}
        self.eras = eras or EraMonitor()

    async def acquire(
        self, name: str
    ) -> Result[FencedLease, LeaseHeld | PlatformError]:
        """Acquire a lease with a token above all earlier ones.

        A lease of another holder is taken over only after this ``LeaseStore`` has seen
        it unchanged for its duration plus the margin; repeat the call until then.
        """
        if self.may_have_lost_leases:
            return Err(LeaseHeld("", 0))
        wanted = self.new_row(0)

        def step(row: Row | None) -> LeaseStep:
            expired = self.observe_expired(name, row)
            era = max(self.eras.current, FIRST_ERA)
            return acquire_step(_read_row(row), wanted, expired, era)

        answer = await self.apply(name, step, None)
        if isinstance(answer, Ok) and self.may_have_lost_leases:
            # The answer of this call was the first one of the new era.
            await self.release(answer.ok_value)
            return Err(LeaseHeld("", 0))
        return answer

    async def renew(
        self, lease: FencedLease
    ) -> Result[FencedLease, LeaseHeld | PlatformError]:
        """Renew a lease.

        After a ``PlatformError`` the old lease stays valid until it expires; after
        ``LeaseHeld`` it is lost.
        """
        wanted = self.new_row(lease.token)
        row = self.held.get(lease.name)
        held_era = row.era if row is not None else NO_ERA

        def step(row: Row | None) -> LeaseStep:
            is_newer_era = NO_ERA < held_era < self.eras.current
            restored = is_newer_era and lease.may_act(self.clock())
            return renew_step(_read_row(row), wanted, restored)

        answer = await self.apply(lease.name, step, self.assume(row))
        if isinstance(answer, Err) and isinstance(answer.err_value, LeaseHeld):
            self.held.pop(lease.name, None)
        return answer

    async def release(self, lease: FencedLease) -> Result[None, PlatformError]:
        """Release a lease; the holder must have stopped acting under it."""
        wanted = self.new_row(lease.token)
        row = self.held.pop(lease.name, None)
        answer = await self.apply(
            lease.name,
            lambda row: release_step(_read_row(row), wanted),
            self.assume(row),
        )
        self.held.pop(lease.name, None)
        if isinstance(answer, Err) and isinstance(answer.err_value, PlatformError):
            return Err(answer.err_value)
        return Ok(None)

    @property
    def may_have_lost_leases(self) -> bool:
        return self.eras.is_younger_than(self.duration_s + self.margin_s)

    def assume(self, row: Row | None) -> AssumedRow | None:
        """Assume the row as it was written, unless a new era has begun since."""
        if row is None or row.era < self.eras.current:
            return None
        return AssumedRow(row)

    async def apply(
        self,
        name: str,
        step: Callable[[Row | None], LeaseStep],
        assumed: AssumedRow | None,
    ) -> Result[FencedLease, LeaseHeld | PlatformError]:
        # The clock is read before any write, so the lease expires for its holder before
        # it does for an observer.
        since = self.clock()
        current: list[Row | None] = [None]

        def decide(row: Row | None) -> Replace | Stop[LeaseOwned | LeaseHeld]:
            current[0] = row
            match step(row):
                case LeasePut(wanted):
                    return Replace(cattrs.unstructure(wanted))
                case LeaseOwned() | LeaseHeld() as outcome:
                    return Stop(outcome)
            raise AssertionError("unexpected lease step")

        match await update_row(self.platform, self.table, name, decide, assumed):
            case Err(error):
                return Err(error)
            case Ok(Stop(LeaseHeld() as held)):
                return Err(held)
            case Ok(Written(row)):
                current[0] = row
        owned = current[0]
        assert owned is not None
        self.held[name] = owned
        return Ok(self.to_lease(name, cattrs.structure(owned.value, LeaseRow), since))

    def observe_expired(self, name: str, row: Row | None) -> bool:
        """Record when the row's ``write_id`` was first seen.

        Returns whether the lease has certainly expired.
        """
        current = _read_row(row)
        if current is None:
            return True
        now = self.clock()
        seen = self.observed.get(name)
        if seen is None or seen.write_id != current.write_id:
            seen = _Observed(current.write_id, self.to_lease(name, current, now))
            self.observed[name] = seen
        return seen.lease.certainly_expired(now)

    def new_row(self, token: int) -> LeaseRow:
        return LeaseRow(
            holder=self.holder,
            token=token,
            write_id=secrets.token_hex(16),
            duration_s=self.duration_s,
        )

    def to_lease(self, name: str, row: LeaseRow, since: float) -> FencedLease:
        return FencedLease(
            name=name,
            holder=row.holder,
            token=row.token,
            since=since,
            duration_s=row.duration_s,
            margin_s=self.margin_s,
        )


class SlotStore:
    """Limit concurrent loads from the weight store to ``count`` slots, each a lease."""

    def __init__(
        self, leases: LeaseStore, group: str, count: int, random: random.Random
    ) -> None:
        self.leases = leases
        self.group = group
        self.count = count
        self.random = random
        self.acquiring: set[str] = set()

    async def acquire(self) -> Result[FencedLease, LeaseHeld | PlatformError]:
        """Acquire a free slot; it is renewed and released through ``leases``."""
        first = self.random.randrange(self.count)
        held = LeaseHeld("", 0)
        for offset in range(self.count):
            name = f"{self.group}/{(first + offset) % self.count}"
            # The holder could acquire its own lease again, but a slot is for one load.
            if name in self.leases.held or name in self.acquiring:
                continue
            self.acquiring.add(name)
            try:
                answer = await self.leases.acquire(name)
            finally:
                self.acquiring.discard(name)
            match answer:
                case Ok(lease):
                    return Ok(lease)
                case Err(LeaseHeld() as held):
                    continue
                case Err(PlatformError() as error):
                    return Err(error)
        return Err(held)


def _read_row(row: Row | None) -> LeaseRow | None:
    return None if row is None else cattrs.structure(row.value, LeaseRow)
