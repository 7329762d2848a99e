"""Stand-in of the users' platform's metadata store: rows, feeds and transactions.

Besides the calls of the platform it has:

- ``POST /faults`` replaces all faults. See ``StoreFaults``.
- ``POST /put`` writes a row as the operator or a runner does.
- ``POST /compact`` compacts the history.
- ``GET /calls`` returns the number of calls by path.
"""

import argparse
import asyncio
import base64
import collections
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import attrs
import cattrs
import orjson

from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay_standins.common import add_listen, announce, wait_for_stop
from acaciarelay_standins.inbound_standin import listen

__all__ = ["PlatformStore", "StoreFaults", "main"]

MAX_FEED_WAIT_S = 30.0


@attrs.define
class StoreFaults:
    """Faults to inject.

    ``status`` answers all calls with this status; ``silent`` leaves them unanswered;
    ``reset`` resets their connections. ``hosts`` limits these to callers at those
    hosts. ``slow_s`` delays each answer, in seconds. ``lose_answers`` is how many of
    the next writes take effect without an answer. ``stale_versions`` answers
    ``/rows-get`` as of that many versions ago.
    """

    status: int = 0
    silent: bool = False
    reset: bool = False
    hosts: list[str] = attrs.Factory(list)
    slow_s: float = 0.0
    lose_answers: int = 0
    stale_versions: int = 0


@attrs.frozen
class _Change:
    table: str
    part: str
    key: str
    value: str | None
    version: int


class PlatformStore:
    """Keep rows in memory with the history of their changes."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
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
            described = {name: item for name, item in value.items() if name != "seq"}
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
        for table, part, key, value in writes:
            if value is None:
                self.registrations.pop((table, part, key), None)
            self.history.append(_Change(table, part, key, value, self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

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
        if parts.path == "/faults":
            self.faults = cattrs.structure(orjson.loads(request.body), StoreFaults)
            return _answer(connection, 200, {})
        if parts.path == "/calls":
            return _answer(connection, 200, dict(self.calls))
        if parts.path == "/compact":
            self.compact()
            return _answer(connection, 200, {})
        if parts.path == "/put":
            body = orjson.loads(request.body)
            version = self.put(body["table"], body["key"], body["value"])
            return _answer(connection, 200, {"ver": version})
        if await self.inject_fault(connection):
            return None
        handlers: dict[str, Callable[[InboundConnection, Any], Any]] = {
            "/rows-get": self.get,
            "/rows-feed": self.feed,
        }
        if parts.path == "/rows-tx":
            return self.transact(connection, orjson.loads(request.body))
        handler = handlers.get(parts.path)
        if handler is None:
            return _answer(connection, 404, {})
        await handler(connection, query)

    async def inject_fault(self, connection: InboundConnection) -> bool:
        """Apply the faults; return whether they replace the answer."""
        assert connection.transport is not None
        peer = connection.transport.get_extra_info("peername")
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.hosts and peer[0] not in self.faults.hosts:
            return False
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.reset:
            connection.abort()
            return True
        if self.faults.status:
            _answer(connection, self.faults.status, {})
            return True
        return False

    async def get(self, connection: InboundConnection, query: dict[str, str]) -> None:
        version = max(0, self.version - self.faults.stale_versions)
        rows = self.rows(query["table"], query.get("part", ""), version)
        keys = sorted(key for key in rows if key >= query.get("from", ""))
        limit = int(query.get("limit", 500))
        page = [_row(rows[key]) for key in keys[:limit]]
        more = len(keys) > limit
        _answer(
            connection,
            200,
            {"rows": page, "hasMore": more} | self.version_fields(version),
        )

    async def feed(self, connection: InboundConnection, query: dict[str, str]) -> None:
        after = int(query["afterRev"])
        wait_s = min(MAX_FEED_WAIT_S, int(query.get("waitMs", 0)) / 1000)
        end_at = time.monotonic() + wait_s
        while True:
            if after < self.compacted_version:
                return _answer(connection, 410, self.version_fields(self.version))
            rows = []
            for change in self.history:
                if change.version > after and change.table == query["table"]:
                    rows.append(_row(change))
            left_s = end_at - time.monotonic()
            if rows or left_s <= 0:
                return _answer(
                    connection, 200, {"rows": rows} | self.version_fields(self.version)
                )
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def transact(self, connection: InboundConnection, body: Any) -> None:
        """Apply a transaction if all its expected versions hold."""
        for condition in body.get("expectedRev") or ():
            rows = self.rows(condition["table"], condition["part"], self.version)
            found = rows.get(condition["key"])
            if (found.version if found else 0) != condition["ver"]:
                current = [_row(found)] if found else []
                fields = self.version_fields(self.version)
                return _answer(connection, 412, {"rows": current} | fields)
        writes = []
        for row in body.get("writes") or ():
            writes.append((row["table"], row["part"], row["key"], row["value"]))
        for row in body.get("remove") or ():
            writes.append((row["table"], row["part"], row["key"], None))
        self.commit(writes)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return connection.abort()
        _answer(connection, 200, self.version_fields(self.version))

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


def _answer(connection: InboundConnection, status: int, body: object) -> None:
    fields = [("Content-Type", "application/json")]
    connection.respond(status, fields, orjson.dumps(body))


async def _run(address: str) -> None:
    store = PlatformStore()
    server, bound = await listen(store.handle, address)
    announce(bound)
    await wait_for_stop()
    server.close()


def main() -> None:
    """Run the store until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    asyncio.run(_run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
