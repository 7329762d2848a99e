"""Cached rows of one of the store's tables, in the order of their writers.

A write that got no answer may be performed seconds later, over one that its writer made
after it: the store's newest version of a row may be an old one of its writer.

A store that was restored from a copy has lost its last writes and counts its versions
from the copy's on again, under the next era. What it lost is written again, but until
then its rows may be older than what is in force here.
"""

import math
from collections.abc import Callable, Iterable

import attrs
import xxhash

from acaciarelay.state.store_era import NO_VERSION, UNKNOWN_ERA, StoreVersion

__all__ = ["CachedTable", "StoreRow", "WriterOrder"]


@attrs.frozen(order=True)
class WriterOrder:
    """Order that the writer of a row gave it, whatever the store's version is.

    ``incarnation`` identifies the lifetime of a writer; a later one is greater unless
    the writer's clock was set back. ``position`` orders the writes of one lifetime.
    """

    incarnation: int
    position: tuple[int, ...]


@attrs.frozen(kw_only=True)
class StoreRow:
    """Row of a table; ``value`` is ``None`` for a removed row.

    ``removed_value`` is the last known value of a removed row, and ``lapsed`` whether
    the store may have removed it although its writer is alive.
    """

    key: str
    value: bytes | None
    version: StoreVersion
    removed_value: bytes | None = None
    lapsed: bool = False


class CachedTable:
    """Merge rows of any origin and age, and tell which ones to put in force.

    ``rows`` holds the newest row of each key that the store is known to have. While it
    may be older than the one in force by the order of their writers, the latter is in
    ``held``: it stays in force until the row is written again. Seconds in which the
    table could be read end a hold too: ``hold_s`` after the store was restored, and
    ``doubt_s`` after the row was first seen, if it is of the same era. A row that is
    listed longer than that is renewed by a live writer.

    ``writer_order`` decodes a value's order; ``None`` stands for an unknown one, which
    holds nothing. With ``holds_removed`` a removal in a new era is held off too, as
    rows of this table are replaced but never removed.
    """

    def __init__(
        self,
        writer_order: Callable[[bytes], WriterOrder | None],
        hold_s: float,
        doubt_s: float,
        holds_removed: bool = False,
    ) -> None:
        self.writer_order = writer_order
        self.hold_s = hold_s
        self.doubt_s = doubt_s
        self.holds_removed = holds_removed
        self.rows: dict[str, StoreRow] = {}
        self.version = NO_VERSION
        # Version of the last complete read.
        self.snapshot_version = NO_VERSION
        self.held: dict[str, StoreRow] = {}
        # End of the holds over a restore, and of the one of each key within an era.
        self.hold_until = 0.0
        self.doubt_until: dict[str, float] = {}
        # The incarnation that each writer's present one has replaced.
        self.former: dict[str, int] = {}

    def advance(self, version: StoreVersion, now: float) -> bool:
        """Record a version of the table; ``True`` when it begins another era."""
        begins_era = version.era > self.version.era
        if begins_era:
            self.renew_holds(now)
        self.version = max(self.version, version)
        return begins_era

    def renew_holds(self, now: float) -> None:
        """Begin the time of the holds anew, as the table was not read for a while."""
        self.hold_until = now + self.hold_s
        for key in self.held:
            self.doubt_until[key] = now + self.doubt_s

    def merge(self, row: StoreRow, now: float) -> StoreRow | None:
        """Merge a row; return the one to put in force, or ``None`` without a change."""
        known = self.rows.get(row.key)
        if known is None:
            is_former = UNKNOWN_ERA < row.version.era < self.version.era
            if is_former and not self.holds_removed:
                return None
            self._store(row, now)
            return row
        if row.version.era < known.version.era:
            return self._merge_former(row, known, now)
        if row.version <= known.version:
            return self._merge_overtaken(row, known, now)
        in_force = self.held.get(row.key, known)
        if row.value is None and row.removed_value is None:
            row = attrs.evolve(row, removed_value=_last_value(in_force))
        if row.lapsed and in_force.value is None and not in_force.lapsed:
            # What was removed for certain did not lapse now.
            row = attrs.evolve(row, lapsed=False)
        self._store(row, now)
        if self._is_held_off(row, in_force):
            self.held[row.key] = in_force
            return None
        self._put_in_force(row, in_force)
        return row

    def replace_all(
        self, rows: Iterable[StoreRow], version: StoreVersion
    ) -> list[StoreRow]:
        """Return the rows of a complete read, and the removal of all other ones."""
        self.snapshot_version = version
        result = list(rows)
        present = {row.key for row in result}
        for key, row in self.rows.items():
            if key in present or row.value is None:
                continue
            # A copy may lack the row although its writer is alive.
            lapsed = version.era > row.version.era
            removal = StoreRow(key=key, value=None, version=version, lapsed=lapsed)
            result.append(removal)
        return result

    def is_removed(self, row: StoreRow) -> bool:
        """Return whether a row was removed before the last complete read.

        A peer that read the table before may still send it, and no later change would
        tell of the removal.
        """
        if row.key in self.rows or row.version.era != self.snapshot_version.era:
            return False
        return row.version <= self.snapshot_version

    def release_holds(self, now: float) -> list[StoreRow]:
        """End the holds when their time is over; return the rows to put in force."""
        released = []
        for key, in_force in list(self.held.items()):
            if now < self._hold_end(key):
                continue
            row = self.rows[key]
            self._put_in_force(row, in_force)
            # What peers still hold must not begin the doubt anew.
            self.doubt_until[key] = -math.inf
            released.append(row)
        return released

    def rows_after(self, version: StoreVersion) -> list[StoreRow]:
        """Return the store's rows that are newer than a version."""
        return [row for row in self.rows.values() if row.version > version]

    @property
    def held_digest(self) -> int:
        """Identify the held rows and their versions; 0 without any."""
        if not self.held:
            return 0
        names = []
        for key, row in sorted(self.held.items()):
            names.append(f"{key} {row.version.era} {row.version.number}")
        return xxhash.xxh32_intdigest("\n".join(names).encode())

    def drop_removed(self) -> None:
        """Forget the removed rows."""
        for key in [key for key, row in self.rows.items() if row.value is None]:
            del self.rows[key]
            self.held.pop(key, None)
            self.doubt_until.pop(key, None)
            self.former.pop(key, None)

    def _store(self, row: StoreRow, now: float) -> None:
        self.rows[row.key] = row
        self.doubt_until[row.key] = now + self.doubt_s

    def _put_in_force(self, row: StoreRow, before: StoreRow) -> None:
        """End a hold, and note an incarnation that another one replaces."""
        self.held.pop(row.key, None)
        order, order_before = self._order(row), self._order(before)
        if order is None or order_before is None:
            return
        if order.incarnation != order_before.incarnation:
            self.former[row.key] = order_before.incarnation

    def _hold_end(self, key: str) -> float:
        """Return the time at which the hold of a key ends."""
        if self.rows[key].version.era > self.held[key].version.era:
            return self.hold_until
        return self.doubt_until[key]

    def _merge_overtaken(
        self, row: StoreRow, known: StoreRow, now: float
    ) -> StoreRow | None:
        """Hold a row that a peer holds against a newer version of this era."""
        in_force = self.held.get(row.key, known)
        if row.version == known.version or now >= self.doubt_until[row.key]:
            return None
        if not self._may_be_late(known, row) or not self._may_be_late(in_force, row):
            return None
        self.held[row.key] = row
        return row

    def _merge_former(
        self, row: StoreRow, known: StoreRow, now: float
    ) -> StoreRow | None:
        """Hold a row of a former era that a peer still has in force."""
        in_force = self.held.get(row.key, known)
        if not self._follows(row, known, in_force):
            return None
        if row.version.era == UNKNOWN_ERA:
            self.hold_until = max(self.hold_until, now + self.hold_s)
        if now >= self.hold_until:
            return None
        self.held[row.key] = row
        return row

    def _follows(self, row: StoreRow, known: StoreRow, in_force: StoreRow) -> bool:
        """Return whether a row of a former era was written after the one in force."""
        if self.holds_removed:
            if row.value is None:
                return False
            return in_force.value is None or self._is_older(in_force, row)
        return known.value is not None and self._may_be_late(in_force, row)

    def _is_held_off(self, row: StoreRow, in_force: StoreRow) -> bool:
        """Return whether a newer version of a row leaves the one in force there."""
        is_other_era = row.version.era > in_force.version.era
        if not is_other_era or not self.holds_removed:
            return self._may_be_late(row, in_force)
        if in_force.value is None:
            return False
        return row.value is None or self._is_older(row, in_force)

    def _may_be_late(self, row: StoreRow, in_force: StoreRow) -> bool:
        """Return whether a row may have been written before the one in force.

        Nothing of the incarnation that was removed for certain, or replaced by another
        one, is expected again.
        """
        order, last = self._order(row), self._order(in_force)
        if row.value is None or order is None or last is None:
            return False
        if order.incarnation == self.former.get(row.key):
            return True
        if in_force.value is None and not in_force.lapsed:
            return order.incarnation <= last.incarnation
        return order < last

    def _is_older(self, row: StoreRow, other: StoreRow) -> bool:
        """Return whether a row is older than another by the order of their writers.

        The removal of a row comes after its last value, unless it lapsed.
        """
        order, other_order = self._order(row), self._order(other)
        if order is None or other_order is None:
            return False
        if order != other_order:
            return order < other_order
        return not _is_removal(row) and _is_removal(other)

    def _order(self, row: StoreRow) -> WriterOrder | None:
        value = _last_value(row)
        return self.writer_order(value) if value is not None else None


def _is_removal(row: StoreRow) -> bool:
    return row.value is None and not row.lapsed


def _last_value(row: StoreRow) -> bytes | None:
    return row.value if row.value is not None else row.removed_value
