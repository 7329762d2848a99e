"""Reads and writes of a rollout's rows: one moment of both, and every outcome."""

import asyncio

import attrs
import pytest

from acaciarelay.coordination.rollout import WriteOutcome, WriteRows
from acaciarelay.platform.rollouts import encode_coordinator
from acaciarelay.programs.rollout_store import RolloutStore
from acaciarelay.state.rollout import (
    CoordinatorRow,
    Phase,
    RolloutState,
    RolloutStatus,
)
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_store import PlatformStore, RestorePoint

ROW = CoordinatorRow(
    order=StoreVersion(1, 1),
    epoch=1,
    holder="10.0.0.1:7601/aa",
    lease_s=3.0,
    phase=Phase.SHARE,
    since_ms=5,
)
RUNNING = RolloutStatus(state=RolloutState.RUNNING, version="v2")
WRITE = WriteRows(
    number=1,
    coordinator_version=0,
    coordinator=ROW,
    status_version=0,
    status=RUNNING,
)


class CalledStore:
    """A store with the calls of one rollout, as an asynchronous context manager."""

    def __init__(self):
        self.store = PlatformStore()
        self.rows = []
        self.ends = []
        self.eras = []

    async def __aenter__(self):
        self.server, address = await listen(self.store.handle, "127.0.0.1:0")
        self.calls = RolloutStore(
            address, "orders", self.rows.append, self.ends.append, self.eras.append
        )
        self.store.put("op", "rollout/orders", {})
        return self

    async def __aexit__(self, *_):
        self.calls.close()
        self.server.close()
        await asyncio.sleep(0)

    async def read(self):
        self.calls.read()
        await self.calls.reading

    async def write(self, write=WRITE):
        self.calls.write(write)
        await self.calls.writing
        return self.ends[-1]


async def test_rows_that_do_not_exist_have_version_0():
    """Guards against a first write whose conditions can't hold."""
    async with CalledStore() as called:
        await called.read()
        (rows,) = called.rows
        assert (rows.coordinator_version, rows.status_version) == (0, 0)
        assert (rows.coordinator, rows.status, rows.era) == (None, None, 1)
        assert called.eras == [1]


async def test_both_rows_are_written_and_read():
    """Guards against a lease without its status, or one that is read as another."""
    async with CalledStore() as called:
        await called.read()
        end = await called.write()
        assert (end.number, end.outcome) == (1, WriteOutcome.PERFORMED)
        await called.read()
        rows = called.rows[-1]
        assert (rows.coordinator, rows.status) == (ROW, RUNNING)
        assert rows.coordinator_version == rows.status_version == end.version
        renewal = attrs.evolve(
            WRITE,
            coordinator_version=end.version,
            status_version=end.version,
            status=None,
        )
        later = await called.write(renewal)
        assert later.outcome is WriteOutcome.PERFORMED
        await called.read()
        assert called.rows[-1].coordinator_version == later.version
        assert called.rows[-1].status_version == end.version


@pytest.mark.parametrize(
    "faults,outcome",
    [
        ({}, WriteOutcome.REFUSED),
        ({"status": 503}, WriteOutcome.NOT_DONE),
        ({"status": 500}, WriteOutcome.UNKNOWN),
        ({"reset": True}, WriteOutcome.UNKNOWN),
        ({"silent": True}, WriteOutcome.UNKNOWN),
    ],
)
async def test_the_end_of_each_write_is_told(faults, outcome):
    """Guards against a coordinator that waits for a write without an end."""
    async with CalledStore() as called:
        for name, value in faults.items():
            setattr(called.store.faults, name, value)
        end = await called.write(attrs.evolve(WRITE, number=7, status_version=9))
        assert (end.number, end.outcome) == (7, outcome)


async def test_an_error_in_a_write_has_an_end_too(monkeypatch):
    """Guards against an unexpected error after which nothing is written any more."""
    async with CalledStore() as called:
        monkeypatch.setattr(called.calls.writer, "client", None)
        assert (await called.write()).outcome is WriteOutcome.UNKNOWN
        monkeypatch.undo()


async def test_a_write_in_a_later_era_has_an_unknown_outcome():
    """Guards against a condition that holds for another row with the same version."""
    async with CalledStore() as called:
        await called.read()
        called.store.restore(RestorePoint(version=0))
        assert (await called.write()).outcome is WriteOutcome.UNKNOWN


async def test_a_read_that_is_older_than_a_write_is_left_out():
    """Guards against a lost lease that an old copy of the row shows as held."""
    async with CalledStore() as called:
        await called.read()
        await called.write()
        called.store.faults.stale_versions = 1
        await called.read()
        assert len(called.rows) == 1


async def test_rows_that_change_between_two_reads_are_read_again(monkeypatch):
    """Guards against a lease and a status that never were there together."""
    async with CalledStore() as called:
        answer = called.store.answer
        changed = []

        async def change_between(path, query, raw):
            if query.get("table") == "rollouts" and not changed:
                changed.append(1)
                called.store.put("rollouts", "orders", encode_coordinator(ROW))
                called.store.put("status", "rollout/orders", {"state": "x"})
            return await answer(path, query, raw)

        monkeypatch.setattr(called.store, "answer", change_between)
        await called.read()
        (rows,) = called.rows
        assert rows.coordinator == ROW
        # Unreadable content has its version all the same.
        assert (rows.status, rows.status_version) == (None, 3)


async def test_one_read_at_a_time():
    """Guards against reads that pile up at a slow store."""
    async with CalledStore() as called:
        called.store.faults.slow_s = 0.1
        for _ in range(5):
            called.calls.read()
            await asyncio.sleep(0.01)
        await called.calls.reading
        assert called.store.calls["/rows-get"] == 2
