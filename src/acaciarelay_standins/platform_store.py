"""Stand-in of the users' platform's metadata store: rows, feeds and transactions.

Besides the calls of the platform it has:

- ``POST /faults`` replaces all faults. See ``StoreFaults``.
- ``POST /put`` writes a row as the operator or a runner does; ``null`` removes it.
- ``POST /compact`` compacts the history.
- ``POST /restore`` goes back to an older copy. See ``RestorePoint``.
- ``GET /calls`` returns the number of calls by path.
"""

import argparse
import asyncio
import base64
import collections
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import attrs
import cattrs
import orjson

from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay_standins.common import add_listen, announce, wait_for_stop
from acaciarelay_standins.inbound_standin import listen

__all__ = ["PlatformStore", "RestorePoint", "StoreFaults", "main"]

MAX_FEED_WAIT_S = 30.0
ERA_HEADER = "Store-Era"
# Tables that only the operator and the runners write.
FOREIGN_TABLES = ("op", "servers")
FIRST_ERA = 1


@attrs.define
class StoreFaults:
    """Faults to inject.

    ``status`` answers all calls with this status; ``silent`` leaves them unanswered;
    ``reset`` resets their connections. ``hosts`` limits these to callers at those
    hosts. ``slow_s`` delays each answer, in seconds, and ``transit_s`` each answer that
    is already complete. ``lose_answers`` is how many of the next writes take effect
    without an answer, and ``late_writes_s`` how long after the loss of their connection
    writes are performed, if their conditions hold then. ``stale_versions`` answers
    ``/rows-get`` as of that many versions ago.
    """

    status: int = 0
    silent: bool = False
    reset: bool = False
    hosts: list[str] = attrs.Factory(list)
    slow_s: float = 0.0
    transit_s: float = 0.0
    lose_answers: int = 0
    late_writes_s: float = 0.0
    stale_versions: int = 0


@attrs.frozen(kw_only=True)
class RestorePoint:
    """What a copy holds: the store's state at ``version``, or ``seconds`` ago."""

    seconds: float = 0.0
    version: int | None = None


@attrs.frozen
class _Change:
    table: str
    part: str
    key: str
    value: str | None
    version: int
    # Monotonic seconds.
    at: float


@attrs.frozen
class _Answer:
    """An answer to a call, or with ``lost`` the reset of its connection."""

    era: int
    status: int = 0
    body: object = None
    lost: bool = False


class PlatformStore:
    """Keep rows in memory with the history of their changes.

    While it is ``away`` it resets the connections of all calls, also of waiting ones.
    Without ``announces_era`` its answers have no ``Store-Era`` header.
    """

    def __init__(self, announces_era: bool = True) -> None:
        self.announces_era = announces_era
        self.faults = StoreFaults()
        self.away = False
        self.era = FIRST_ERA
        self.version = 0
        self.compacted_version = 0
        self.history: list[_Change] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.changed = asyncio.Event()
        # What the last registration of each runner said, without its sequence number.
        self.registrations: dict[tuple[str, str, str], dict[str, Any]] = {}

    def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Write a row as the operator or a runner does; ``None`` removes it.

        A registration that differs in its sequence number only is no change.
        """
        data = None
        if table == "servers" and isinstance(value, dict):
            row_id = (table, part, key)
            described = _without_sequence(value)
            if self.registrations.get(row_id) == described:
                return self.version
            self.registrations[row_id] = described
        if value is not None:
            raw = value if isinstance(value, bytes) else orjson.dumps(value)
            data = base64.b64encode(raw).decode()
        return self.commit([(table, part, key, data)])

    def commit(self, writes: list[tuple[str, str, str, str | None]]) -> int:
        """Apply writes under one new version, and return the version."""
        self.version += 1
        now = time.monotonic()
        for table, part, key, value in writes:
            if value is None:
                self.registrations.pop((table, part, key), None)
            self.history.append(_Change(table, part, key, value, self.version, now))
        self.wake_feeds()
        return self.version

    def wake_feeds(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def go_away(self) -> None:
        """Reset all calls from now on, until the store returns or is restored."""
        self.away = True
        self.wake_feeds()

    def restore(self, point: RestorePoint) -> int:
        """Return from a copy with the next era; later versions are given out again.

        The version of the copy is returned.
        """
        version = self.version_of(point)
        self.away = False
        self.era += 1
        self.version = version
        self.compacted_version = min(self.compacted_version, version)
        self.history = [row for row in self.history if row.version <= version]
        self.registrations = self.recall_registrations()
        self.wake_feeds()
        return version

    def version_of(self, point: RestorePoint) -> int:
        """Return the version of the store's state at a restore point."""
        if point.version is not None:
            return min(point.version, self.version)
        copied_at = time.monotonic() - point.seconds
        version = 0
        for change in self.history:
            if change.at <= copied_at:
                version = change.version
        return version

    def recall_registrations(self) -> dict[tuple[str, str, str], dict[str, Any]]:
        """Return what the last registration of each runner says by the history."""
        found: dict[tuple[str, str, str], dict[str, Any]] = {}
        for change in self.history:
            if change.table != "servers":
                continue
            row_id = (change.table, change.part, change.key)
            found.pop(row_id, None)
            if change.value is None:
                continue
            value = _decode_object(change.value)
            if value is not None:
                found[row_id] = _without_sequence(value)
        return found

    def compact(self) -> None:
        """Compact the history; feeds of earlier changes are then answered with 410."""
        self.compacted_version = self.version

    def rows(self, table: str, part: str, version: int) -> dict[str, _Change]:
        """Return the rows of a table as of a version."""
        found: dict[str, _Change] = {}
        for change in self.history:
            if change.version > version:
                break
            if change.table == table and change.part == part:
                found[change.key] = change
        return {key: row for key, row in found.items() if row.value is not None}

    async def handle(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        """Answer one call."""
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.calls[parts.path] += 1
        answer = self.control(parts.path, request.body)
        if answer is not None:
            return self.send(connection, answer)
        fault = await self.inject_fault(connection)
        if fault is not None:
            return self.send(connection, fault)
        answer = await self.answer(parts.path, query, request.body)
        if self.faults.transit_s:
            await asyncio.sleep(self.faults.transit_s)
        self.send(connection, answer)

    def send(self, connection: InboundConnection, answer: _Answer) -> None:
        if answer.lost:
            return connection.abort()
        fields = [("Content-Type", "application/json")]
        if self.announces_era:
            fields.append((ERA_HEADER, str(answer.era)))
        connection.respond(answer.status, fields, orjson.dumps(answer.body))

    def control(self, path: str, raw: bytes) -> _Answer | None:
        """Answer a call of a test, or return ``None`` for a call of the platform."""
        match path:
            case "/faults":
                self.faults = cattrs.structure(orjson.loads(raw), StoreFaults)
                return _Answer(self.era, 200, {})
            case "/calls":
                return _Answer(self.era, 200, dict(self.calls))
            case "/compact":
                self.compact()
                return _Answer(self.era, 200, {})
            case "/restore":
                point = cattrs.structure(orjson.loads(raw), RestorePoint)
                version = self.restore(point)
                return _Answer(self.era, 200, {"ver": version})
            case "/put":
                body = orjson.loads(raw)
                version = self.put(body["table"], body["key"], body["value"])
                return _Answer(self.era, 200, {"ver": version})
        return None

    async def answer(self, path: str, query: dict[str, str], raw: bytes) -> _Answer:
        match path:
            case "/rows-get":
                return self.get(query)
            case "/rows-feed":
                return await self.feed(query)
            case "/rows-tx":
                return self.transact_or_defer(orjson.loads(raw))
        return _Answer(self.era, 404, {})

    async def inject_fault(self, connection: InboundConnection) -> _Answer | None:
        """Apply the faults; return what replaces the answer."""
        assert connection.transport is not None
        peer = connection.transport.get_extra_info("peername")
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.away:
            return _Answer(self.era, lost=True)
        if self.faults.hosts and peer[0] not in self.faults.hosts:
            return None
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.reset:
            return _Answer(self.era, lost=True)
        if self.faults.status:
            return _Answer(self.era, self.faults.status, {})
        return None

    def get(self, query: dict[str, str]) -> _Answer:
        version = max(0, self.version - self.faults.stale_versions)
        rows = self.rows(query["table"], query.get("part", ""), version)
        keys = sorted(key for key in rows if key >= query.get("from", ""))
        limit = int(query.get("limit", 500))
        page = [_row(rows[key]) for key in keys[:limit]]
        more = len(keys) > limit
        return self.answer_rows(200, page, version, hasMore=more)

    async def feed(self, query: dict[str, str]) -> _Answer:
        after = int(query["afterRev"])
        wait_s = min(MAX_FEED_WAIT_S, int(query.get("waitMs", 0)) / 1000)
        end_at = time.monotonic() + wait_s
        while True:
            if self.away:
                return _Answer(self.era, lost=True)
            if not self.compacted_version <= after <= self.version:
                return self.answer_rows(410, [], self.version)
            rows = []
            for change in self.history:
                if change.version > after and change.table == query["table"]:
                    rows.append(_row(change))
            left_s = end_at - time.monotonic()
            if rows or left_s <= 0:
                return self.answer_rows(200, rows, self.version)
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def transact_or_defer(self, body: Any) -> _Answer:
        """Apply a transaction, later and without an answer if the faults say so."""
        for row in (*(body.get("writes") or ()), *(body.get("remove") or ())):
            if row["table"] in FOREIGN_TABLES:
                return _Answer(self.era, 403, {})
        delay_s = self.faults.late_writes_s
        if not delay_s:
            return self.transact(body)
        asyncio.get_running_loop().call_later(delay_s, self.transact, body)
        return _Answer(self.era, lost=True)

    def transact(self, body: Any) -> _Answer:
        """Apply a transaction if all its expected versions hold."""
        current = []
        holds = True
        for condition in body.get("expectedRev") or ():
            rows = self.rows(condition["table"], condition["part"], self.version)
            found = rows.get(condition["key"])
            if found is not None:
                current.append(_row(found))
            holds &= (found.version if found else 0) == condition["ver"]
        if not holds:
            return self.answer_rows(412, current, self.version)
        writes = []
        for row in body.get("writes") or ():
            writes.append((row["table"], row["part"], row["key"], row["value"]))
        for row in body.get("remove") or ():
            writes.append((row["table"], row["part"], row["key"], None))
        self.commit(writes)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _Answer(self.era, lost=True)
        return _Answer(self.era, 200, self.version_fields(self.version))

    def answer_rows(
        self, status: int, rows: list[dict[str, Any]], version: int, **fields: Any
    ) -> _Answer:
        body = {"rows": rows} | fields | self.version_fields(version)
        return _Answer(self.era, status, body)

    def version_fields(self, version: int) -> dict[str, int]:
        return {"ver": version, "nowMs": int(time.monotonic() * 1000)}


def _row(change: _Change) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": change.table,
        "part": change.part,
        "key": change.key,
        "ver": change.version,
    }
    if change.value is None:
        row["compacted"] = True
    else:
        row["value"] = change.value
    return row


def _without_sequence(registration: dict[str, Any]) -> dict[str, Any]:
    return {name: item for name, item in registration.items() if name != "seq"}


def _decode_object(text: str) -> dict[str, Any] | None:
    try:
        value = orjson.loads(base64.b64decode(text))
    except orjson.JSONDecodeError:
        return None
    return value if isinstance(value, dict) else None


async def _run(address: str, announces_era: bool) -> None:
    store = PlatformStore(announces_era)
    server, bound = await listen(store.handle, address)
    announce(bound)
    await wait_for_stop()
    server.close()


def main() -> None:
    """Run the store until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    parser.add_argument(
        "--no-era", action="store_true", help="send no Store-Era header"
    )
    options = parser.parse_args()
    asyncio.run(_run(options.listen, not options.no_era))


if __name__ == "__main__":
    main()
