"""Cached state of an entry: configuration and endpoints, with their staleness."""

import asyncio
import binascii
import math
import time
from collections.abc import Callable, Iterable

import attrs
import eliot

from acaciarelay.platform.configuration import (
    CONFIGURATION_KEY,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    FormatError,
    configuration_order,
    decode_configuration,
)
from acaciarelay.platform.endpoints import registration_order
from acaciarelay.platform.store import RowPage
from acaciarelay.programs.endpoint_rows import EndpointRows
from acaciarelay.programs.logs import log_event, run_steps
from acaciarelay.programs.peer_rows import decode_row, encode_row
from acaciarelay.programs.row_logs import (
    log_held_row,
    log_stale_read,
    log_unreadable_row,
)
from acaciarelay.protocol.link_messages import PeerRow
from acaciarelay.state.cached_table import CachedTable, StoreRow
from acaciarelay.state.endpoints import REREGISTRATION_TIMEOUT_S
from acaciarelay.state.recent_versions import RecentVersions
from acaciarelay.state.routing import RoutingTable
from acaciarelay.state.store_era import StoreVersion

__all__ = ["TABLES", "StateCache"]

TABLES = (OPERATOR_TABLE, ENDPOINT_TABLE)
# Number of rows in a table above which its tombstones are dropped. Until then they are
# kept for peers that missed the removal.
MAX_ROWS_WITH_TOMBSTONES = 5_000
# How long a configuration that a restored store has lost stays in force if the
# operator does not write it again.
CONFIGURATION_HOLD_S = 30.0
# The store removes the registration of a lost endpoint after this many intervals, and
# an endpoint that is alive has written its own again by then. A registration that lasts
# longer than this and the time to read its removal is renewed by a live endpoint.
HOLD_INTERVALS = 5
REGISTRATION_INTERVAL_S = 1.2

# Who told a row, for the log; a peer's is its name.
FEED_SOURCE = "feed"
READ_SOURCE = "complete read"
HOLD_SOURCE = "end of hold"
# Stands for the word of any peer among what has to be confirmed.
PEERS = "peers"
# Time in seconds that is longer ago than any limit.
NEVER = -1e9


@attrs.define(eq=False)
class _TableState:
    """A table, and whether this process reads it from the store at present."""

    cached: CachedTable
    readable: bool = False
    confirmed_at: float = NEVER
    recent: RecentVersions = attrs.Factory(RecentVersions)


class StateCache:
    """Merge rows from the store and from peers; what is in force never goes back.

    Endpoints renew their registrations every ``registration_interval_s`` seconds.
    """

    def __init__(
        self, registration_interval_s: float = REGISTRATION_INTERVAL_S
    ) -> None:
        self.registration_interval_s = registration_interval_s
        self.routing: RoutingTable | None = None
        endpoint_hold_s = (
            HOLD_INTERVALS * registration_interval_s + REREGISTRATION_TIMEOUT_S
        )
        self.tables = {
            OPERATOR_TABLE: _TableState(
                # The operator's versions rise, so one that is lower is late for good.
                CachedTable(
                    configuration_order,
                    CONFIGURATION_HOLD_S,
                    math.inf,
                    holds_removed=True,
                )
            ),
            ENDPOINT_TABLE: _TableState(
                CachedTable(registration_order, endpoint_hold_s, endpoint_hold_s)
            ),
        }
        self.endpoint_rows = EndpointRows()
        self.endpoints = self.endpoint_rows.endpoints
        # The row of the configuration in force.
        self.configuration_row: StoreRow | None = None
        # Set while the cache may be acted on, which is not so just after a pause.
        self.trusted = asyncio.Event()
        self.trusted.set()
        self._unconfirmed: set[str] = set()
        self.on_configuration: list[Callable[[], None]] = []
        self.on_endpoints: list[Callable[[], None]] = []
        # Called with the name of a table of which rows may have come and gone unseen.
        self.on_gap: list[Callable[[str], None]] = []
        # Called with each row of the operator's table that is no configuration.
        self.on_operator_row: Callable[[StoreRow], None] = lambda row: None

    def staleness_s(self, table: str) -> float:
        """Return the seconds since a table was last known to be current."""
        return time.monotonic() - self.tables[table].confirmed_at

    def version_known_for(self, table: str, seconds: float) -> StoreVersion:
        """Return the newest version of a table that was known for some time."""
        return self.tables[table].recent.known_for(seconds, time.monotonic())

    def versions(self) -> dict[str, StoreVersion]:
        """Return the newest known version of each table."""
        return {name: state.cached.version for name, state in self.tables.items()}

    def held_digests(self) -> dict[str, int]:
        """Return the digest of the held rows of each table that has any."""
        digests = {}
        for name, state in self.tables.items():
            if state.cached.held:
                digests[name] = state.cached.held_digest
        return digests

    @property
    def era(self) -> int:
        """The newest known era of the store."""
        return max(version.era for version in self.versions().values())

    def apply_changes(
        self,
        table: str,
        rows: Iterable[StoreRow],
        version: StoreVersion,
        after_outage: bool,
        source: str = FEED_SOURCE,
    ) -> None:
        """Apply changed rows; ``source`` names for the log who told them.

        With ``after_outage`` a removed endpoint stays listed until it registers again
        or ``expire_endpoints`` drops it.
        """
        state = self.tables[table]
        now = time.monotonic()
        before = state.cached.version
        if state.cached.advance(version, now) and before.number > 0:
            log_event(
                "store_restored",
                table=table,
                era=version.era,
                version=version.number,
                known_era=before.era,
                known_version=before.number,
                always=True,
            )
        changed = has_changed = False
        for row in rows:
            if row.value is None and row.key not in state.cached.rows:
                # What the row was before its removal is not known.
                self._notify_gap(table)
            if after_outage and row.value is None:
                row = attrs.evolve(row, lapsed=True)
            merged = state.cached.merge(row, now)
            if table == ENDPOINT_TABLE and row.key in state.cached.rows:
                newest = state.cached.rows[row.key]
                changed |= self.endpoint_rows.apply_newest(newest)
            if merged is None:
                self._log_hold(table, row, source)
                continue
            has_changed = True
            # A held removal is certain.
            is_held = merged.version.era < state.cached.version.era
            changed |= self._apply_row(
                table, merged, after_outage and not is_held, source
            )
        if has_changed:
            state.recent.record(state.cached.version, now)
        if changed:
            self._notify_listeners(table)

    def apply_snapshot(self, table: str, page: RowPage, after_outage: bool) -> bool:
        """Replace all rows; ``False`` if the snapshot is older than the cache."""
        cached = self.tables[table].cached
        if page.version < cached.version:
            log_stale_read(table, page.version, cached.version)
            return False
        self._notify_gap(table)
        rows = cached.replace_all(page.rows, page.version)
        self.apply_changes(table, rows, page.version, after_outage, READ_SOURCE)
        return True

    def release_holds(self) -> None:
        """Put the store's rows in force in place of held ones that had their time.

        While a table can't be read, its rows are held on, since they can't be written
        again either.
        """
        now = time.monotonic()
        for table, state in self.tables.items():
            if not state.readable:
                continue
            changed = False
            for row in state.cached.release_holds(now):
                log_event(
                    "hold_ended",
                    table=table,
                    key=row.key,
                    era=row.version.era,
                    row_version=row.version.number,
                    always=True,
                )
                changed |= self._apply_row(table, row, False, HOLD_SOURCE)
            if changed:
                self._notify_listeners(table)

    def mark_read(self, table: str) -> None:
        """Record that the store has just told the newest rows of a table."""
        state = self.tables[table]
        if not state.readable:
            state.readable = True
            state.cached.renew_holds(time.monotonic())
        self.mark_current(table)

    def mark_unreadable(self, table: str) -> None:
        """Record that the store does not tell the rows of a table at present."""
        self.tables[table].readable = False

    def mark_current(self, table: str) -> None:
        """Record that a table is current as of now."""
        self.tables[table].confirmed_at = time.monotonic()
        self._unconfirmed.discard(table)
        if not self._unconfirmed:
            self.trusted.set()

    def distrust(self) -> None:
        """Record that the tables may have changed unnoticed, after a pause."""
        for table, state in self.tables.items():
            state.confirmed_at = NEVER
            state.readable = False
            self._unconfirmed.add(table)
        self.trusted.clear()

    def await_peer(self) -> None:
        """Require the word of a peer too, after a restart.

        What the store answers may be seconds old then, while the peers know better.
        """
        self._unconfirmed.add(PEERS)
        self.trusted.clear()

    def confirm_by_peer(self) -> None:
        """Record that a peer knows no newer version of any table."""
        self._unconfirmed.discard(PEERS)
        for table, state in self.tables.items():
            if state.cached.version.number > 0:
                self.mark_current(table)

    async def wait_until_trusted(self, timeout_s: float) -> None:
        """Wait until all tables are confirmed; after ``timeout_s`` trust them anyway.

        The store and the peers may be unreachable, and the last known configuration
        is better than none then.
        """
        if self.trusted.is_set():
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self.trusted.wait()
        except TimeoutError:
            if not self.trusted.is_set():
                log_event("unconfirmed_state_used", tables=sorted(self._unconfirmed))
                self._unconfirmed.clear()
                self.trusted.set()

    def rows_after(self, table: str, version: StoreVersion) -> list[PeerRow]:
        """Return the rows newer than ``version``, for a peer that has this version."""
        rows = self.tables[table].cached.rows_after(version)
        return [encode_row(table, row) for row in rows]

    def held_rows(self, table: str) -> list[PeerRow]:
        """Return the held rows of a table, for a peer that may lack them."""
        rows = self.tables[table].cached.held.values()
        return [encode_row(table, row) for row in rows]

    def apply_peer_rows(
        self, peer: str, rows: list[PeerRow], versions: dict[str, StoreVersion]
    ) -> None:
        """Apply rows that a peer sent; unreadable ones are logged and skipped."""
        for table, state in self.tables.items():
            known = state.cached.version
            decoded = []
            for row in rows:
                if row.table != table:
                    continue
                try:
                    decoded_row = decode_row(row, known.era)
                except binascii.Error:
                    log_event("peer_row_unreadable", table=table, key=row.key)
                    continue
                if not state.cached.is_removed(decoded_row):
                    decoded.append(decoded_row)
            if not decoded:
                continue
            version = versions.get(table, known)
            log_event(
                "rows_from_peer",
                peer=peer,
                table=table,
                rows=len(decoded),
                era=version.era,
                version=version.number,
            )
            # Endpoints that the restored store has lost register again soon.
            after_outage = version.era > known.era
            self.apply_changes(table, decoded, version, after_outage, peer)

    def _apply_row(
        self, table: str, row: StoreRow, after_outage: bool, source: str
    ) -> bool:
        """Apply a row; log an unexpected error, which must not end who brought it."""
        try:
            if table == OPERATOR_TABLE:
                return self._apply_operator_row(row, source)
            return self.endpoint_rows.apply(row, after_outage, source)
        except Exception:
            eliot.write_traceback()
            return False

    def _apply_operator_row(self, row: StoreRow, source: str) -> bool:
        if row.key == CONFIGURATION_KEY:
            return self._apply_configuration(row, source)
        self.on_operator_row(row)
        return False

    def _apply_configuration(self, row: StoreRow, source: str) -> bool:
        if row.value is None:
            log_event("configuration_row_missing", row_version=row.version.number)
            return False
        began = time.monotonic()
        try:
            routing = decode_configuration(row.value)
        except FormatError as error:
            log_unreadable_row(OPERATOR_TABLE, row, error)
            return False
        if not self._replaces_configuration(row, routing):
            return False
        log_event(
            "configuration_applied",
            source=source,
            version=routing.version,
            era=row.version.era,
            row_version=row.version.number,
            before=self.routing.version if self.routing else None,
            routes=routing.route_count,
            organisations=len(routing.organisations),
            decoding_s=round(time.monotonic() - began, 4),
        )
        self.routing = routing
        self.configuration_row = row
        return True

    def _replaces_configuration(self, row: StoreRow, routing: RoutingTable) -> bool:
        """Return whether a row that is to be in force changes anything."""
        in_force = self.configuration_row
        if in_force is None or self.routing is None:
            return True
        if row.version.era > in_force.version.era:
            self.configuration_row = row
            return row.value != in_force.value
        return routing.version > self.routing.version

    def _log_hold(self, table: str, row: StoreRow, source: str) -> None:
        cached = self.tables[table].cached
        held = cached.held.get(row.key)
        if held is None or cached.rows[row.key].version != row.version:
            return
        log_held_row(table, row, held, cached.writer_order, source)

    def expire_endpoints(self) -> None:
        """Drop the endpoints that did not register again after an outage."""
        expired = self.endpoints.expire(time.monotonic())
        for endpoint_id in expired:
            log_event("endpoint_not_back", endpoint=endpoint_id)
        if expired:
            self._notify_listeners(ENDPOINT_TABLE)

    def _notify_gap(self, table: str) -> None:
        for listener in self.on_gap:
            listener(table)

    def _notify_listeners(self, table: str) -> None:
        """Notify the listeners of a table; first drop its tombstones if it is large.

        An error in a listener is logged, and must not end what has brought the rows.
        """
        cached = self.tables[table].cached
        if len(cached.rows) > MAX_ROWS_WITH_TOMBSTONES:
            cached.drop_removed()
        callbacks = (
            self.on_configuration if table == OPERATOR_TABLE else self.on_endpoints
        )
        run_steps(callbacks)
