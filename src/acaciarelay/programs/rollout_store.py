"""Asynchronous reads and conditional writes of the rows of one rollout."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import eliot
from result import Err, Ok

from acaciarelay.coordination.rollout import (
    RowsRead,
    WriteEnded,
    WriteOutcome,
    WriteRows,
)
from acaciarelay.platform.configuration import FormatError
from acaciarelay.platform.rollouts import (
    ROLLOUT_TABLE,
    STATUS_TABLE,
    coordinator_key,
    decode_coordinator,
    decode_status,
    encode_coordinator,
    encode_status,
    status_key,
)
from acaciarelay.platform.store import (
    ConditionFailed,
    RowCondition,
    RowPage,
    RowsWritten,
    RowWrite,
    StoreClient,
    WriteRefused,
    WriteUnknown,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.row_logs import log_stale_read, log_unreadable_row
from acaciarelay.state.rollout import CoordinatorRow, RolloutStatus
from acaciarelay.state.store_era import NO_VERSION, StoreVersion

__all__ = ["RolloutStore"]

# Time limit of a call, so that it ends before the lease. While calls fail, each third
# one has the longer limit, for a store that is slow.
CALL_TIMEOUT_S = 0.8
LONG_CALL_TIMEOUT_S = 2.2
LONG_CALL_EVERY = 3
# Attempts to read both rows without a change between the two reads.
MAX_READS = 3


class _Caller:
    """A connection to the store for one kind of call, and its failures in a row."""

    def __init__(self, address: str) -> None:
        self.client = StoreClient(address)
        self.failures = 0

    def timeout_s(self) -> float:
        """Return the time limit of the next call."""
        if self.failures % LONG_CALL_EVERY == LONG_CALL_EVERY - 1:
            return LONG_CALL_TIMEOUT_S
        return CALL_TIMEOUT_S

    def record(self, failed: bool) -> None:
        self.failures = self.failures + 1 if failed else 0


class RolloutStore:
    """Read and write the coordinator's row and the status row of a service.

    ``on_rows`` gets the rows that were read, ``on_write`` the end of each write, and
    ``on_era`` the era of each answer.
    """

    def __init__(
        self,
        address: str,
        service: str,
        on_rows: Callable[[RowsRead], None],
        on_write: Callable[[WriteEnded], None],
        on_era: Callable[[int], None],
    ) -> None:
        self.service = service
        self.on_rows = on_rows
        self.on_write = on_write
        self.on_era = on_era
        self.reader = _Caller(address)
        self.writer = _Caller(address)
        self.reading: asyncio.Task | None = None
        self.writing: asyncio.Task | None = None
        # Newest version in an answer. A read that is older shows a former state.
        self.newest = NO_VERSION

    def read(self) -> None:
        """Begin to read both rows, unless a read is under way."""
        if self.reading is None or self.reading.done():
            self.reading = asyncio.create_task(self._guard(self._read()))

    def write(self, write: WriteRows) -> None:
        """Begin a write; ``on_write`` is called at its end, whatever happens."""
        self.writing = asyncio.create_task(self._guard(self._write(write)))

    def close(self) -> None:
        """Cancel the calls under way."""
        for task in (self.reading, self.writing):
            if task is not None:
                task.cancel()
        self.reader.client.close()
        self.writer.client.close()

    async def _guard(self, call: Coroutine[Any, Any, None]) -> None:
        """Log an unexpected error, which must not end the process."""
        try:
            await call
        except Exception:
            eliot.write_traceback()

    async def _read(self) -> None:
        read_at = time.monotonic()
        for _ in range(MAX_READS):
            # The status is read first: if the other row was not written after that,
            # both were so at the time of the first read.
            status = await self._read_row(STATUS_TABLE, status_key(self.service))
            if status is None:
                return
            key = coordinator_key(self.service)
            coordinator = await self._read_row(ROLLOUT_TABLE, key)
            if coordinator is None:
                return
            if _version(coordinator) <= status.version:
                self.on_era(status.version.era)
                self.on_rows(_rows_read(read_at, coordinator, status))
                return

    async def _read_row(self, table: str, key: str) -> RowPage | None:
        """Read a row; ``None`` if it can't be read as it is now."""
        page = await self.reader.client.read_row(table, key, self.reader.timeout_s())
        self.reader.record(page.is_err())
        match page:
            case Err(error):
                log_event("rollout_read_failed", table=table, detail=error.detail)
                return None
            case Ok(rows):
                pass
        if rows.version < self.newest:
            log_stale_read(table, rows.version, self.newest)
            return None
        self.newest = rows.version
        return rows

    async def _write(self, write: WriteRows) -> None:
        outcome = WriteOutcome.UNKNOWN
        version = 0
        try:
            outcome, version = await self._call_write(write)
        finally:
            ended = WriteEnded(number=write.number, outcome=outcome, version=version)
            self.on_write(ended)

    async def _call_write(self, write: WriteRows) -> tuple[WriteOutcome, int]:
        conditions, rows = _transaction(self.service, write)
        era = self.newest.era
        result = await self.writer.client.write(
            conditions, rows, self.writer.timeout_s()
        )
        match result:
            case Ok(RowsWritten(version)):
                self.writer.record(False)
                self.newest = max(self.newest, version)
                # In another era, the condition may have held for another row.
                if version.era == era:
                    return WriteOutcome.PERFORMED, version.number
                return WriteOutcome.UNKNOWN, 0
            case Err(ConditionFailed()):
                self.writer.record(False)
                return WriteOutcome.REFUSED, 0
            case Err(WriteRefused(detail)):
                outcome = WriteOutcome.NOT_DONE
            case Err(WriteUnknown(detail)):
                outcome = WriteOutcome.UNKNOWN
        self.writer.record(True)
        log_event(
            "rollout_write_failed",
            service=self.service,
            outcome=outcome.name.lower(),
            detail=detail,
        )
        return outcome, 0


def _transaction(
    service: str, write: WriteRows
) -> tuple[list[RowCondition], list[RowWrite]]:
    key, status = coordinator_key(service), status_key(service)
    conditions = [
        RowCondition(table=ROLLOUT_TABLE, key=key, version=write.coordinator_version),
        RowCondition(table=STATUS_TABLE, key=status, version=write.status_version),
    ]
    data = encode_coordinator(write.coordinator)
    rows = [RowWrite(table=ROLLOUT_TABLE, key=key, value=data)]
    if write.status is not None:
        data = encode_status(write.status)
        rows.append(RowWrite(table=STATUS_TABLE, key=status, value=data))
    return conditions, rows


def _version(page: RowPage) -> StoreVersion:
    """Return the version of the page's row; that of no row comes before all others."""
    if not page.rows:
        return StoreVersion(page.version.era, 0)
    return page.rows[0].version


def _rows_read(read_at: float, coordinator: RowPage, status: RowPage) -> RowsRead:
    return RowsRead(
        read_at=read_at,
        now_ms=status.now_ms,
        era=status.version.era,
        coordinator_version=_version(coordinator).number,
        coordinator=_coordinator(coordinator),
        status_version=_version(status).number,
        status=_status(status),
    )


def _coordinator(page: RowPage) -> CoordinatorRow | None:
    for row in page.rows:
        try:
            return decode_coordinator(row.value or b"", row.version.era)
        except FormatError as error:
            log_unreadable_row(ROLLOUT_TABLE, row, error)
    return None


def _status(page: RowPage) -> RolloutStatus | None:
    for row in page.rows:
        try:
            return decode_status(row.value or b"")
        except FormatError as error:
            log_unreadable_row(STATUS_TABLE, row, error)
    return None
