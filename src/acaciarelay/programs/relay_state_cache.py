"""Cached state of an entry: configuration and endpoints, with their staleness."""

import asyncio
import base64
import binascii
import time
from collections.abc import Callable, Iterable

import attrs

from acaciarelay.platform.configuration import (
    CONFIGURATION_KEY,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    FormatError,
    decode_configuration,
)
from acaciarelay.platform.endpoints import decode_endpoint
from acaciarelay.platform.store import RowPage, StoreRow
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.link_messages import PeerRow
from acaciarelay.state.endpoints import EndpointList
from acaciarelay.state.routing import RoutingTable

__all__ = ["TABLES", "StateCache"]

TABLES = (OPERATOR_TABLE, ENDPOINT_TABLE)
# Number of rows in a table above which its tombstones are dropped. Until then they are
# kept for peers that missed the removal.
MAX_ROWS_WITH_TOMBSTONES = 5_000


# Stands for the word of any peer among what has to be confirmed.
PEERS = "peers"
# Time in seconds that is longer ago than any limit.
NEVER = -1e9


@attrs.define(eq=False)
class _TableState:
    rows: dict[str, StoreRow] = attrs.Factory(dict)
    version: int = 0
    confirmed_at: float = NEVER
    changed_at: float = NEVER


class StateCache:
    """Merge rows from the store and from peers; a row never goes back a version."""

    def __init__(self) -> None:
        self.routing: RoutingTable | None = None
        self.endpoints = EndpointList()
        self.tables = {name: _TableState() for name in TABLES}
        # Set while the cache may be acted on, which is not so just after a pause.
        self.trusted = asyncio.Event()
        self.trusted.set()
        self._unconfirmed: set[str] = set()
        self.on_configuration: list[Callable[[], None]] = []
        self.on_endpoints: list[Callable[[], None]] = []

    def staleness_s(self, table: str) -> float:
        """Return the seconds since a table was last known to be current."""
        return time.monotonic() - self.tables[table].confirmed_at

    def unchanged_s(self, table: str) -> float:
        """Return the seconds since a row of a table last changed in this cache."""
        return time.monotonic() - self.tables[table].changed_at

    def versions(self) -> dict[str, int]:
        """Return the newest known version of each table."""
        return {name: state.version for name, state in self.tables.items()}

    def apply_changes(
        self, table: str, rows: Iterable[StoreRow], version: int, after_outage: bool
    ) -> None:
        """Apply changed rows.

        With ``after_outage`` a removed endpoint stays listed until it registers again
        or ``expire_endpoints`` drops it.
        """
        state = self.tables[table]
        changed = False
        for row in rows:
            known = state.rows.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            state.rows[row.key] = row
            state.changed_at = time.monotonic()
            changed |= self._apply_row(table, row, after_outage)
        state.version = max(state.version, version)
        if changed:
            self._notify_listeners(table)

    def apply_snapshot(self, table: str, page: RowPage, after_outage: bool) -> bool:
        """Replace all rows; ``False`` if the snapshot is older than the cache."""
        state = self.tables[table]
        if page.version < state.version:
            log_event(
                "stale_read_ignored",
                table=table,
                version=page.version,
                known_version=state.version,
            )
            return False
        present = {row.key for row in page.rows}
        rows = list(page.rows)
        for key, row in state.rows.items():
            if key in present or row.value is None:
                continue
            rows.append(StoreRow(key=key, value=None, version=page.version))
        self.apply_changes(table, rows, page.version, after_outage)
        return True

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
            if state.version > 0:
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

    def rows_after(self, table: str, version: int) -> list[PeerRow]:
        """Return the rows newer than ``version``, for a peer that has this version."""
        result = []
        for row in self.tables[table].rows.values():
            if row.version <= version:
                continue
            value = base64.b64encode(row.value).decode() if row.value else None
            result.append(
                PeerRow(table=table, key=row.key, value=value, version=row.version)
            )
        return result

    def apply_peer_rows(
        self, peer: str, rows: list[PeerRow], versions: dict[str, int]
    ) -> None:
        """Apply rows that a peer sent; unreadable ones are logged and skipped."""
        for table in TABLES:
            decoded = []
            for row in rows:
                if row.table != table:
                    continue
                try:
                    value = base64.b64decode(row.value) if row.value else None
                except binascii.Error:
                    log_event("peer_row_unreadable", table=table, key=row.key)
                    continue
                decoded.append(StoreRow(key=row.key, value=value, version=row.version))
            if decoded:
                log_event(
                    "rows_from_peer",
                    peer=peer,
                    table=table,
                    rows=len(decoded),
                    known=versions,
                )
                self.apply_changes(table, decoded, versions.get(table, 0), False)

    def _apply_row(self, table: str, row: StoreRow, after_outage: bool) -> bool:
        if table == OPERATOR_TABLE:
            return row.key == CONFIGURATION_KEY and self._apply_configuration(row)
        return self._apply_endpoint(row, after_outage)

    def _apply_configuration(self, row: StoreRow) -> bool:
        if row.value is None:
            log_event("configuration_row_missing", row_version=row.version)
            return False
        try:
            routing = decode_configuration(row.value)
        except FormatError as error:
            log_event(
                "row_unreadable",
                table=OPERATOR_TABLE,
                key=row.key,
                row_version=row.version,
                detail=str(error),
            )
            return False
        if self.routing is not None and routing.version <= self.routing.version:
            return False
        log_event(
            "configuration_applied",
            version=routing.version,
            row_version=row.version,
            before=self.routing.version if self.routing else None,
            routes=routing.route_count,
            organisations=len(routing.organisations),
        )
        self.routing = routing
        return True

    def _apply_endpoint(self, row: StoreRow, after_outage: bool) -> bool:
        if row.value is None:
            if after_outage:
                self.endpoints.mark_missing(row.key, time.monotonic())
                log_event("endpoint_missing", endpoint=row.key, version=row.version)
                return False
            removed = self.endpoints.remove(row.key)
            if removed:
                log_event("endpoint_removed", endpoint=row.key, version=row.version)
            return removed
        try:
            endpoint = decode_endpoint(row.key, row.value)
        except FormatError as error:
            log_event(
                "row_unreadable",
                table=ENDPOINT_TABLE,
                key=row.key,
                row_version=row.version,
                detail=str(error),
            )
            # Some other writer's row, which describes no usable endpoint, has replaced
            # the registration.
            return self.endpoints.remove(row.key)
        changed = self.endpoints.upsert(endpoint)
        if changed:
            log_event(
                "endpoint_changed",
                endpoint=row.key,
                service=endpoint.service,
                address=endpoint.address,
                draining=endpoint.draining,
                version=row.version,
            )
        return changed

    def expire_endpoints(self) -> None:
        """Drop the endpoints that did not register again after an outage."""
        expired = self.endpoints.expire(time.monotonic())
        for endpoint_id in expired:
            log_event("endpoint_not_back", endpoint=endpoint_id)
        if expired:
            self._notify_listeners(ENDPOINT_TABLE)

    def _notify_listeners(self, table: str) -> None:
        """Notify the listeners of a table; first drop its tombstones if it is large."""
        state = self.tables[table]
        if len(state.rows) > MAX_ROWS_WITH_TOMBSTONES:
            for key in [key for key, row in state.rows.items() if row.value is None]:
                del state.rows[key]
        callbacks = (
            self.on_configuration if table == OPERATOR_TABLE else self.on_endpoints
        )
        for callback in callbacks:
            callback()
