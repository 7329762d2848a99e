"""Conditional writes to the store: what each outcome says about the rows."""

import asyncio
from typing import Any

import orjson
import pytest
from result import Err, Ok

from acaciarelay.platform.store import (
    ConditionFailed,
    RowCondition,
    RowsWritten,
    RowWrite,
    StoreClient,
    WriteRefused,
    WriteUnknown,
)
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_store import PlatformStore, RestorePoint

TIMEOUT_S = 0.5


class WrittenStore:
    """A store and a client that writes to it, as an asynchronous context manager."""

    def __init__(self) -> None:
        self.store = PlatformStore()

    async def __aenter__(self) -> "WrittenStore":
        self.server, self.address = await listen(self.store.handle, "127.0.0.1:0")
        self.client = StoreClient(self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self.server.close()

    async def write(self, version: int, text: str = "new", table: str = "rollouts"):
        """Write row ``a`` of the table if it has this version."""
        return await self.client.write(
            [RowCondition(table=table, key="a", version=version)],
            [RowWrite(table=table, key="a", value=text.encode())],
            TIMEOUT_S,
        )

    def value(self, table: str = "rollouts", key: str = "a") -> tuple[int, Any] | None:
        row = self.store.rows(table, "", self.store.version).get(key)
        return (row.version, row.value) if row is not None else None


async def test_a_write_with_the_current_version_is_done():
    """Guards against a write whose version the next condition can't use."""
    async with WrittenStore() as written:
        first = await written.write(0)
        assert first == Ok(RowsWritten(StoreVersion(1, 1)))
        assert await written.write(1) == Ok(RowsWritten(StoreVersion(1, 2)))
        page = (await written.client.read_row("rollouts", "a", TIMEOUT_S)).unwrap()
        assert [(row.key, row.value) for row in page.rows] == [("a", b"new")]
        assert page.rows[0].version == StoreVersion(1, 2)
        assert page.now_ms > 0


async def test_a_write_with_another_version_changes_nothing():
    """Guards against two writers that both believe they wrote."""
    async with WrittenStore() as written:
        await written.write(0, "first")
        before = written.value()
        match await written.write(0, "second"):
            case Err(ConditionFailed(rows=rows)):
                assert [(row.key, row.value) for row in rows] == [("a", b"first")]
            case other:
                raise AssertionError(other)
        assert written.value() == before


async def test_a_transaction_is_all_or_nothing():
    """Guards against a status that is written without the lease that allows it."""
    async with WrittenStore() as written:
        await written.write(0)
        conditions = [
            RowCondition(table="rollouts", key="a", version=1),
            RowCondition(table="status", key="a", version=7),
        ]
        writes = [
            RowWrite(table="rollouts", key="a", value=None),
            RowWrite(table="status", key="a", value=b"{}"),
        ]
        outcome = await written.client.write(conditions, writes, TIMEOUT_S)
        assert isinstance(outcome.unwrap_err(), ConditionFailed)
        assert written.value() is not None
        assert written.value("status") is None
        conditions[1] = RowCondition(table="status", key="a", version=0)
        outcome = await written.client.write(conditions, writes, TIMEOUT_S)
        assert outcome == Ok(RowsWritten(StoreVersion(1, 2)))
        assert written.value() is None
        assert written.value("status") is not None


async def test_a_lost_answer_leaves_the_outcome_unknown():
    """Guards against a performed write that is taken for a refused one."""
    async with WrittenStore() as written:
        written.store.faults.lose_answers = 1
        assert isinstance((await written.write(0)).unwrap_err(), WriteUnknown)
        assert written.value() is not None
        assert isinstance((await written.write(0)).unwrap_err(), ConditionFailed)


async def test_a_write_may_be_performed_after_it_was_given_up():
    """Guards against a stand-in that performs all writes at once."""
    async with WrittenStore() as written:
        written.store.faults.late_writes_s = 0.2
        assert isinstance((await written.write(0)).unwrap_err(), WriteUnknown)
        assert written.value() is None
        await asyncio.sleep(0.4)
        assert written.value() is not None
        # A late write whose condition no longer holds changes nothing.
        assert isinstance((await written.write(1, "late")).unwrap_err(), WriteUnknown)
        written.store.faults.late_writes_s = 0.0
        await written.write(1, "soon")
        before = written.value()
        await asyncio.sleep(0.4)
        assert written.value() == before


async def test_a_silent_store_leaves_the_outcome_unknown():
    """Guards against a write without an answer that counts as not done."""
    async with WrittenStore() as written:
        written.store.faults.silent = True
        assert isinstance((await written.write(0)).unwrap_err(), WriteUnknown)
        written.store.faults.silent = False
        assert (await written.write(0)).is_ok()


async def test_a_store_that_can_not_be_reached_has_done_nothing():
    """Guards against an unknown outcome where nothing was sent."""
    async with WrittenStore() as written:
        written.server.close()
        await written.server.wait_closed()
        assert isinstance((await written.write(0)).unwrap_err(), WriteRefused)


@pytest.mark.parametrize(
    "status,kind",
    [
        (503, WriteRefused),
        (400, WriteRefused),
        (500, WriteUnknown),
        (504, WriteUnknown),
    ],
)
async def test_only_some_statuses_say_that_nothing_was_done(status, kind):
    """Guards against an error of a proxy that is taken for a refusal of the store."""
    async with WrittenStore() as written:
        written.store.faults.status = status
        assert isinstance((await written.write(0)).unwrap_err(), kind)


@pytest.mark.parametrize("table", ["op", "servers"])
async def test_rows_of_others_can_not_be_written(table):
    """Guards against a stand-in that lets the system write the operator's rows."""
    async with WrittenStore() as written:
        assert isinstance(
            (await written.write(0, table=table)).unwrap_err(), WriteRefused
        )
        assert written.value(table) is None


async def test_a_version_is_one_of_the_era_in_which_it_was_written():
    """Guards against a version of the next era that names a row of a former one."""
    async with WrittenStore() as written:
        await written.write(0)
        written.store.restore(RestorePoint(version=0))
        assert await written.write(0) == Ok(RowsWritten(StoreVersion(2, 1)))


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"ver": "1"}', b'{"ver": -3}'])
async def test_an_unreadable_answer_leaves_the_outcome_unknown(body):
    """Guards against a version that no row has."""

    async def answer(connection, _):
        connection.respond(200, [], body)

    server, address = await listen(answer, "127.0.0.1:0")
    client = StoreClient(address)
    outcome = await client.write([], [RowWrite(table="status", key="a", value=b"")], 1)
    assert isinstance(outcome.unwrap_err(), WriteUnknown)
    client.close()
    server.close()


async def test_a_row_is_read_alone():
    """Guards against a read that takes the next row for the one that is missing."""
    async with WrittenStore() as written:
        written.store.put("status", "rollout/b", {"state": "running"})
        client = written.client
        missing = (await client.read_row("status", "rollout/a", TIMEOUT_S)).unwrap()
        assert missing.rows == []
        assert missing.version == StoreVersion(1, 1)
        found = (await client.read_row("status", "rollout/b", TIMEOUT_S)).unwrap()
        assert orjson.loads(found.rows[0].value or b"") == {"state": "running"}
