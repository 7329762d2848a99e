"""Stand-in of the platform: tables, objects and the VM list, held in memory.

Besides the paths of ``acaciarelay.protocol.platform_api`` it has:

- ``POST /vms`` replaces the VM list.
- ``POST /faults`` replaces all faults; ``{}`` clears them. See ``Faults``.
- ``POST /restores`` returns to an older copy and begins a new era. See ``Restore``.
- ``GET /record`` lists all writes in order, and counts reads and refused calls;
  ``?after=N`` omits the first N writes.
"""

import argparse
import asyncio
import collections
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import attrs
import cattrs

from acaciarelay.protocol.platform_api import (
    ERA_HEADER,
    Changes,
    Committed,
    Conflict,
    Row,
    Transaction,
    Vm,
    Write,
)
from acaciarelay.state.store_era import FIRST_ERA, NO_ERA
from acaciarelay.transport.http_server import HttpExchange
from acaciarelay_standins.common import (
    add_listen,
    read_body,
    read_json,
    serve_until_stopped,
)

__all__ = ["Faults", "PlatformStandin", "Restore", "Tables", "main"]

OBJECTS_TABLE = "objects"
# Bounds the memory for commits that a restore can take back.
MAX_UNDO_STEPS = 20_000


@attrs.define
class Faults:
    """Faults to inject.

    ``slow_s`` delays each call, in seconds; ``slow_answer_s`` delays the answer after
    the effect. ``down`` refuses all calls with ``status`` (503) or ``close``. Answers
    of writes are lost after the effect: the next ``lose_answers`` ones, then each one
    with ``lose_probability``, drawn with ``seed``; ``lose_table`` limits this to writes
    to one table (``objects`` for the object store). ``vm_lag_s`` delays changes of the
    VM list, in seconds.
    """

    slow_s: float = 0.0
    slow_answer_s: float = 0.0
    down: str = ""
    lose_answers: int = 0
    lose_probability: float = 0.0
    lose_table: str = ""
    seed: int = 0
    vm_lag_s: float = 0.0


@attrs.frozen
class Restore:
    """The copy to return to; a commit that either bound names is lost.

    ``lost_s`` is the age of the copy in seconds, ``lost_commits`` its age in commits.
    """

    lost_s: float = 0.0
    lost_commits: int = 0


@attrs.frozen
class UndoStep:
    """Takes back one commit; ``at`` is monotonic, in seconds."""

    at: float
    undo: Callable[[], None]


@attrs.frozen
class RecordedWrite:
    """Write that took effect; ``at`` is monotonic, in seconds.

    For an object ``value`` is its size in bytes.
    """

    at: float
    revision: int
    table: str
    key: str
    value: Any
    answer_lost: bool


class Tables:
    """Tables of rows with one global revision counter."""

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, dict[str, Row]] = {}
        self.undo_steps: collections.deque[UndoStep] = collections.deque(
            maxlen=MAX_UNDO_STEPS
        )

    def add_undo_step(self, undo: Callable[[], None]) -> None:
        self.undo_steps.append(UndoStep(time.monotonic(), undo))

    def restore(self, copy: Restore) -> int:
        """Take back the newest commits and their revisions; return their number."""
        horizon = time.monotonic() - copy.lost_s
        lost = 0
        while self.undo_steps:
            if lost >= copy.lost_commits and self.undo_steps[-1].at < horizon:
                break
            self.undo_steps.pop().undo()
            self.revision -= 1
            lost += 1
        return lost

    def read(self, table: str, key: str) -> Row | None:
        row = self.rows.get(table, {}).get(key)
        return None if row is None or row.deleted else row

    def changes(self, table: str, after: int) -> Changes:
        """List rows changed after a revision; with 0 deleted rows are left out."""
        rows = [
            row
            for row in self.rows.get(table, {}).values()
            if row.revision > after and not (row.deleted and after == 0)
        ]
        rows.sort(key=lambda row: row.revision)
        return Changes(rows, self.revision)

    def commit(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes if all checks hold."""
        for check in transaction.checks:
            row = self.read(check.table, check.key)
            found = row.revision if row is not None else 0
            if found != check.revision:
                return Conflict(check.table, check.key, found)
        if transaction.writes:
            self.revision += 1
            self.add_undo_step(self.undo_of(transaction.writes))
        for write in transaction.writes:
            row = Row(write.key, write.value, self.revision, write.value is None)
            self.rows.setdefault(write.table, {})[write.key] = row
        return Committed(self.revision)

    def undo_of(self, writes: list[Write]) -> Callable[[], None]:
        before = [
            (self.rows.setdefault(write.table, {}), write.key) for write in writes
        ]
        kept = [(rows, key, rows.get(key)) for rows, key in before]

        def undo() -> None:
            for rows, key, row in kept:
                if row is None:
                    rows.pop(key, None)
                    continue
                rows[key] = row

        return undo


class PlatformStandin:
    """Answer platform calls and inject faults; with ``NO_ERA`` no era is sent."""

    def __init__(self, era: int = FIRST_ERA) -> None:
        self.era = era
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.vms: list[tuple[float, list[Vm]]] = [(float("-inf"), [])]
        self.faults = Faults()
        self.random = random.Random(0)
        self.writes: list[RecordedWrite] = []
        self.reads = 0
        self.refused = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        method, path = exchange.request.method, exchange.request.path
        match method, path.split("/")[1:]:
            case "POST", ["faults"]:
                await self.set_faults(exchange)
                return
            case "POST", ["restores"]:
                await self.restore(exchange)
                return
            case "POST", ["vms"]:
                await self.set_vms(exchange)
                return
            case "GET", ["record"]:
                await self.send_record(exchange)
                return
        if self.faults.slow_s > 0:
            await asyncio.sleep(self.faults.slow_s)
        match self.faults.down:
            case "status":
                self.refused += 1
                await exchange.respond_json(503, {"error": "down"}, self.era_headers())
            case "close":
                self.refused += 1
                exchange.abort()
            case _:
                await self.serve(exchange, method, path)

    async def serve(self, exchange: HttpExchange, method: str, path: str) -> None:
        match method, path.split("/")[1:]:
            case "POST", ["transactions"]:
                await self.commit(exchange)
            case "GET", ["tables", table, *key]:
                self.reads += 1
                await self.read(exchange, unquote(table), unquote("/".join(key)))
            case "GET", ["objects", *name]:
                self.reads += 1
                await self.get_object(exchange, unquote("/".join(name)))
            case "PUT", ["objects", *name]:
                await self.put_object(exchange, unquote("/".join(name)))
            case "GET", ["vms"]:
                self.reads += 1
                vms = [attrs.asdict(vm) for vm in self.visible_vms()]
                await self.answer(exchange, 200, vms)
            case _:
                await exchange.respond_json(404, {"error": "unknown path"})

    async def read(self, exchange: HttpExchange, table: str, key: str) -> None:
        if not key:
            after = int(exchange.request.query.get("after", "0"))
            if after > self.tables.revision:
                await self.answer(exchange, 410, {"error": "no such revision"})
                return
            changes = self.tables.changes(table, after)
            await self.answer(exchange, 200, attrs.asdict(changes))
            return
        row = self.tables.read(table, key)
        if row is None:
            await self.answer(exchange, 404, {"error": "no such row"})
            return
        await self.answer(exchange, 200, attrs.asdict(row))

    async def commit(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        try:
            transaction = cattrs.structure(body, Transaction)
        except cattrs.BaseValidationError:
            await exchange.respond_json(400, {"error": "not a transaction"})
            return
        if self.is_of_other_era(exchange):
            await self.answer(exchange, 412, {"error": "another era"})
            return
        answer = self.tables.commit(transaction)
        if isinstance(answer, Conflict):
            await self.answer(exchange, 409, attrs.asdict(answer))
            return
        lost = self.loses_answer({write.table for write in transaction.writes})
        for write in transaction.writes:
            self.record_write(write.table, write.key, write.value, lost)
        await self.answer(exchange, 200, attrs.asdict(answer), lost)

    async def get_object(self, exchange: HttpExchange, name: str) -> None:
        data = self.objects.get(name)
        if data is None:
            await self.answer(exchange, 404, {"error": "no such object"})
            return
        await exchange.respond(200, self.era_headers(), data)

    async def put_object(self, exchange: HttpExchange, name: str) -> None:
        data = await read_body(exchange)
        if data is None:
            return
        self.tables.revision += 1
        self.tables.add_undo_step(self.undo_of_object(name))
        self.objects[name] = data
        lost = self.loses_answer({OBJECTS_TABLE})
        self.record_write(OBJECTS_TABLE, name, len(data), lost)
        await self.answer(exchange, 200, {"revision": self.tables.revision}, lost)

    def undo_of_object(self, name: str) -> Callable[[], None]:
        before = self.objects.get(name)

        def undo() -> None:
            if before is None:
                self.objects.pop(name, None)
                return
            self.objects[name] = before

        return undo

    def era_headers(self) -> list[tuple[str, str]]:
        return [] if self.era == NO_ERA else [(ERA_HEADER, str(self.era))]

    def is_of_other_era(self, exchange: HttpExchange) -> bool:
        expected = exchange.request.header(ERA_HEADER)
        return expected is not None and expected != str(self.era)

    async def answer(
        self, exchange: HttpExchange, status: int, value: object, lost: bool = False
    ) -> None:
        # The answer of a call that is slow names the era in which it took effect.
        headers = self.era_headers()
        if self.faults.slow_answer_s > 0:
            await asyncio.sleep(self.faults.slow_answer_s)
        if lost:
            exchange.abort()
            return
        await exchange.respond_json(status, value, headers)

    def loses_answer(self, tables: set[str]) -> bool:
        """Decide whether a write loses its answer; may use up a ``lose_answers``."""
        faults = self.faults
        if faults.lose_table and faults.lose_table not in tables:
            return False
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return True
        return self.random.random() < faults.lose_probability

    def record_write(self, table: str, key: str, value: Any, lost: bool) -> None:
        revision = self.tables.revision
        now = time.monotonic()
        self.writes.append(RecordedWrite(now, revision, table, key, value, lost))

    def visible_vms(self) -> list[Vm]:
        horizon = time.monotonic() - self.faults.vm_lag_s
        return [vms for at, vms in self.vms if at <= horizon][-1]

    async def set_faults(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        self.faults = cattrs.structure(body, Faults)
        self.random = random.Random(self.faults.seed)
        await exchange.respond_json(200, attrs.asdict(self.faults))

    async def restore(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        lost = self.tables.restore(cattrs.structure(body, Restore))
        if self.era != NO_ERA:
            self.era += 1
        await exchange.respond_json(200, {"era": self.era, "lost_commits": lost})

    async def set_vms(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        self.vms.append((time.monotonic(), cattrs.structure(body, list[Vm])))
        await exchange.respond_json(200, {})

    async def send_record(self, exchange: HttpExchange) -> None:
        after = int(exchange.request.query.get("after", "0"))
        record = {
            "writes": [attrs.asdict(write) for write in self.writes[after:]],
            "reads": self.reads,
            "refused": self.refused,
        }
        await exchange.respond_json(200, record)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    arguments = parser.parse_args()
    asyncio.run(serve_until_stopped(PlatformStandin().handle, arguments.listen))


if __name__ == "__main__":
    main()
