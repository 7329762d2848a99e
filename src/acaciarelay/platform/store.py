"""Client of the platform's metadata store: table reads and change feeds."""

import asyncio
import base64
import binascii
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import attrs
import h11
import orjson
from result import Err, Ok, Result

from acaciarelay.coordination.loop_budget import LoopBudget, Reader
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import StoreVersion
from acaciarelay.transport.endpoint_call import (
    ConnectionFault,
    EndpointConnection,
    connect,
)

__all__ = [
    "ConditionFailed",
    "HistoryCompacted",
    "RowCondition",
    "RowPage",
    "RowWrite",
    "RowsWritten",
    "StoreClient",
    "StoreError",
    "StoreRow",
    "WriteRefused",
    "WriteUnknown",
]

CONNECT_TIMEOUT_S = 1.0
# The store sends pages of up to 1 MB of rows.
MAX_ANSWER_BYTES = 8 * 1_048_576
# All pages of a table that is read completely.
MAX_TABLE_BYTES = 32 * 1_048_576
# Statuses of a write with a defined meaning.
WRITTEN_STATUS = 200
CONDITION_FAILED_STATUS = 412
UNAVAILABLE_STATUS = 503
# Header with the era of the store's versions, in all answers of stores that have eras.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15


@attrs.frozen(kw_only=True)
class RowPage:
    """Rows of a table, and the store's newest version when they were read.

    For a table read in several pages it is the lowest version of all pages. ``now_ms``
    is the store's time in the answer, 0 if it has none.
    """

    rows: list[StoreRow]
    version: StoreVersion
    now_ms: int = 0


@attrs.frozen
class StoreError:
    """Failure of a call to the store.

    ``is_refusal`` is true if the store itself answered that it is unavailable, and
    ``is_begun`` if a part of its answer had come when the time for it was over.
    """

    detail: str
    is_refusal: bool = False
    is_begun: bool = False


@attrs.frozen
class HistoryCompacted:
    """The store does not have the requested changes, or no longer, in this era."""

    era: int


@attrs.frozen(kw_only=True)
class RowCondition:
    """Version that a row must have for a write; 0 if it must not exist."""

    table: str
    key: str
    version: int


@attrs.frozen(kw_only=True)
class RowWrite:
    """New value of a row; ``None`` removes it."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen
class RowsWritten:
    """All rows were written, under one version."""

    version: StoreVersion


@attrs.frozen
class ConditionFailed:
    """Nothing was written; ``rows`` are current rows as far as the store tells them."""

    rows: list[StoreRow]


@attrs.frozen
class WriteRefused:
    """Nothing was written, and nothing will be."""

    detail: str


@attrs.frozen
class WriteUnknown:
    """The write may have been performed, or may be performed later."""

    detail: str


@attrs.frozen
class _Answer:
    status: int
    era: int
    body: bytes


class StoreClient:
    """Call the store at ``IP:PORT`` over one persistent connection, serially.

    ``era`` is the store's newest known era. An answer without an era is of this one.
    """

    def __init__(
        self, address: str, era: int = 0, loop_budget: LoopBudget | None = None
    ) -> None:
        self.address = address
        self.loop_budget = loop_budget
        self.era = era
        self._connection: EndpointConnection | None = None
        # Whether the call on its way was sent, wholly or in part.
        self._sent = False
        # Whether a part of its answer has come.
        self._begun = False
        self._lock = asyncio.Lock()

    @property
    def is_connected(self) -> bool:
        """Return whether the next call uses the connection of the last one."""
        return self._connection is not None and self._connection.reusable

    async def read_table(
        self, table: str, timeout_s: float
    ) -> Result[RowPage, StoreError]:
        """Read all rows of a table, each page within ``timeout_s``."""
        rows: list[StoreRow] = []
        size = 0
        first_key = ""
        version: StoreVersion | None = None
        while True:
            path = f"/rows-get?table={quote(table)}&part=&limit=500"
            if first_key:
                path += f"&from={quote(first_key, safe='')}"
            match await self._call("GET", path, b"", timeout_s):
                case Err(error):
                    return Err(error)
                case Ok(_Answer(status=200) as answer):
                    page, more = _decode_page(answer)
                    size += len(answer.body)
                case Ok(_Answer(status=status)):
                    return Err(_refused(status))
            if page is None:
                return Err(StoreError("the store's answer is unreadable"))
            if size > MAX_TABLE_BYTES:
                return Err(StoreError("the table is too large"))
            if first_key and page.rows and page.rows[-1].key < first_key:
                return Err(StoreError("the store repeats a page"))
            if version is not None and page.version.era != version.era:
                return Err(StoreError("the store was restored between two pages"))
            rows.extend(page.rows)
            # Use the lowest version of all pages, since a page lacks the changes made
            # after it was read.
            version = min(version or page.version, page.version)
            if not more or not page.rows:
                return Ok(RowPage(rows=rows, version=version))
            first_key = page.rows[-1].key + "\x00"

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[RowPage, StoreError | HistoryCompacted]:
        """Wait up to ``wait_s`` for changes of a table after a version.

        The call fails if it has no answer after ``timeout_s``.
        """
        path = (
            f"/rows-feed?table={quote(table)}&afterRev={after}"
            f"&waitMs={int(wait_s * 1000)}"
        )
        match await self._call("GET", path, b"", timeout_s):
            case Err(error):
                return Err(error)
            case Ok(_Answer(status=410, era=era)):
                return Err(HistoryCompacted(era))
            case Ok(_Answer(status=200) as answer):
                page, more = _decode_page(answer)
                if page is None:
                    return Err(StoreError("the store's answer is unreadable"))
                if more and page.rows:
                    # The next call continues after the last row of this page.
                    return Ok(attrs.evolve(page, version=page.rows[-1].version))
                return Ok(page)
            case Ok(_Answer(status=status)):
                return Err(_refused(status))

    async def read_row(
        self, table: str, key: str, timeout_s: float
    ) -> Result[RowPage, StoreError]:
        """Read one row; the page has no row if it does not exist."""
        path = f"/rows-get?table={quote(table)}&part=&limit=1"
        path += f"&from={quote(key, safe='')}"
        match await self._call("GET", path, b"", timeout_s):
            case Err(error):
                return Err(error)
            case Ok(_Answer(status=200) as answer):
                page, _ = _decode_page(answer)
            case Ok(_Answer(status=status)):
                return Err(_refused(status))
        if page is None:
            return Err(StoreError("the store's answer is unreadable"))
        rows = [row for row in page.rows if row.key == key]
        return Ok(attrs.evolve(page, rows=rows))

    async def write(
        self,
        conditions: Sequence[RowCondition],
        writes: Sequence[RowWrite],
        timeout_s: float,
    ) -> Result[RowsWritten, ConditionFailed | WriteRefused | WriteUnknown]:
        """Write and remove rows in one transaction if all conditions hold."""
        body = _encode_transaction(conditions, writes)
        match await self._call("POST", "/rows-tx", body, timeout_s):
            case Err(StoreError(detail=detail)):
                return Err(WriteUnknown(detail) if self._sent else WriteRefused(detail))
            case Ok(_Answer(status=status) as answer):
                pass
        if status == WRITTEN_STATUS:
            version = _decode_written(answer)
            if version is None:
                return Err(WriteUnknown("the store's answer is unreadable"))
            return Ok(RowsWritten(version))
        if status == CONDITION_FAILED_STATUS:
            page, _ = _decode_page(answer)
            return Err(ConditionFailed(page.rows if page is not None else []))
        detail = f"the store answered {status}"
        if status == UNAVAILABLE_STATUS or 400 <= status < 500:
            return Err(WriteRefused(detail))
        return Err(WriteUnknown(detail))

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[_Answer, StoreError]:
        async with self._lock:
            self._sent = self._begun = False
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._exchange(method, path, body)
            except TimeoutError:
                self.close()
                if self._begun:
                    detail = f"no whole answer within {timeout_s:g} s"
                    return Err(StoreError(detail, is_begun=True))
                return Err(StoreError(f"no answer within {timeout_s:g} s"))
            except asyncio.CancelledError:
                self.close()
                raise

    async def _exchange(
        self, method: str, path: str, body: bytes
    ) -> Result[_Answer, StoreError]:
        connection = self._connection
        if not self.is_connected:
            match await connect(
                self.address, CONNECT_TIMEOUT_S, self.loop_budget, Reader.STORE
            ):
                case Err(fault):
                    return Err(StoreError(str(fault)))
                case Ok(connection):
                    self._connection = connection
        assert connection is not None
        headers = [("Host", self.address), ("content-length", str(len(body)))]
        self._sent = True
        connection.send(method, path, headers, body)
        status = 0
        era = self.era
        received = bytearray()
        while True:
            match await connection.next_event():
                case h11.Response() as response:
                    self._begun = True
                    status = response.status_code
                    era = _decode_era(response, self.era)
                    self.era = max(self.era, era)
                case h11.Data() as data:
                    received += data.data
                    if len(received) > MAX_ANSWER_BYTES:
                        self.close()
                        return Err(StoreError("the store's answer is too large"))
                case h11.EndOfMessage():
                    connection.start_next()
                    return Ok(_Answer(status, era, bytes(received)))
                case ConnectionFault() as fault:
                    self.close()
                    return Err(StoreError(str(fault)))

    def close(self) -> None:
        """Close the connection; a call in progress fails."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _refused(status: int) -> StoreError:
    return StoreError(f"the store answered {status}", status == UNAVAILABLE_STATUS)


def _decode_era(response: h11.Response, default: int) -> int:
    for name, value in response.headers:
        if name != ERA_HEADER:
            continue
        if value.isdigit() and len(value) <= MAX_ERA_DIGITS:
            return int(value)
    return default


def _decode_page(answer: _Answer) -> tuple[RowPage | None, bool]:
    try:
        raw = orjson.loads(answer.body)
        rows = [_decode_row(item, answer.era) for item in raw["rows"]]
        version = StoreVersion(answer.era, int(raw["ver"]))
        now_ms = int(raw.get("nowMs", 0))
        page = RowPage(rows=rows, version=version, now_ms=now_ms)
        return page, bool(raw.get("hasMore"))
    except (ValueError, KeyError, TypeError, OverflowError, binascii.Error):
        return None, False


def _encode_transaction(
    conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
) -> bytes:
    expected = []
    for item in conditions:
        expected.append(_row_id(item.table, item.key) | {"ver": item.version})
    written = []
    removed = []
    for row in writes:
        row_id = _row_id(row.table, row.key)
        if row.value is None:
            removed.append(row_id)
            continue
        written.append(row_id | {"value": base64.b64encode(row.value).decode()})
    return orjson.dumps({"expectedRev": expected, "writes": written, "remove": removed})


def _row_id(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _decode_written(answer: _Answer) -> StoreVersion | None:
    try:
        number = orjson.loads(answer.body)["ver"]
    except (ValueError, KeyError, TypeError):
        return None
    if type(number) is not int or number <= 0:
        return None
    return StoreVersion(answer.era, number)


def _decode_row(raw: dict, era: int) -> StoreRow:
    # The store marks a removed row with "compacted".
    removed = bool(raw.get("compacted")) or raw.get("value") is None
    value = None if removed else base64.b64decode(raw["value"])
    version = StoreVersion(era, int(raw["ver"]))
    return StoreRow(key=raw["key"], value=value, version=version)
