"""Guard against a write reported as failed or done when its effect is unknown."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest
import pytest_asyncio
from result import Err, Ok
from unit.standin_serving import serving

from acaciarelay.protocol.platform_api import (
    Check,
    Conflict,
    PlatformError,
    PlatformFault,
    Transaction,
    Vm,
    VmState,
    Write,
)
from acaciarelay.transport.http_client import fetch
from acaciarelay.transport.platform_client import PlatformClient
from acaciarelay_standins.platform import Faults, PlatformStandin

TRANSACTION = Transaction([Check("t", "a/b", 0)], [Write("t", "a/b", {"n": 1})])


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    yield PlatformStandin()


@pytest_asyncio.fixture
async def client(platform: PlatformStandin) -> AsyncIterator[PlatformClient]:
    async with serving(platform.handle) as address:
        yield PlatformClient(address, 1.0)


def fault_of(answer: Any) -> PlatformFault:
    assert isinstance(answer, Err) and isinstance(answer.err_value, PlatformError)
    return answer.err_value.fault


async def test_rows_are_written_conditionally_and_listed(
    client: PlatformClient,
) -> None:
    first = (await client.commit(TRANSACTION)).unwrap()
    assert await client.commit(TRANSACTION) == Err(Conflict("t", "a/b", first.revision))
    row = (await client.read("t", "a/b")).unwrap()
    assert row is not None and row.value == {"n": 1}
    deletion = Transaction(
        [Check("t", "a/b", first.revision)], [Write("t", "a/b", None)]
    )
    second = (await client.commit(deletion)).unwrap()
    assert await client.read("t", "a/b") == Ok(None)
    changes = (await client.changes("t", first.revision)).unwrap()
    assert changes.revision == second.revision
    assert [(row.key, row.deleted) for row in changes.rows] == [("a/b", True)]
    assert (await client.changes("t", 0)).unwrap().rows == []


async def test_keys_with_special_characters_are_distinct(
    client: PlatformClient,
) -> None:
    keys = ["org/a b", "org/a%20b", "org/a?after=0", "org/ä/", "org/../x", "org/x#y"]
    for number, key in enumerate(keys):
        await client.commit(
            Transaction([Check("t", key, 0)], [Write("t", key, number)])
        )
    for number, key in enumerate(keys):
        row = (await client.read("t", key)).unwrap()
        assert row is not None and (row.key, row.value) == (key, number)


async def test_objects_and_vms(
    client: PlatformClient, platform: PlatformStandin
) -> None:
    assert await client.get_object("a/b") == Ok(None)
    (await client.put_object("a/b", b"\x00data")).unwrap()
    assert await client.get_object("a/b") == Ok(b"\x00data")
    vm = {"name": "vm-1", "address": "127.0.0.1", "state": "leaving"}
    await fetch(client.address, "POST", "/vms", body=orjson.dumps([vm]))
    assert await client.list_vms() == Ok([Vm("vm-1", "127.0.0.1", VmState.LEAVING)])
    platform.faults = Faults(vm_lag_s=60.0)
    assert await client.list_vms() == Ok([])


async def test_a_write_with_a_lost_response_is_unknown_and_took_effect(
    client: PlatformClient, platform: PlatformStandin
) -> None:
    platform.faults = Faults(lose_answers=1, lose_table="t")
    assert fault_of(await client.commit(TRANSACTION)) is PlatformFault.UNKNOWN
    row = (await client.read("t", "a/b")).unwrap()
    assert row is not None and row.value == {"n": 1}
    assert platform.writes[0].answer_lost
    platform.faults = Faults(lose_probability=1.0, lose_table="objects")
    assert fault_of(await client.put_object("o", b"1")) is PlatformFault.UNKNOWN


@pytest.mark.parametrize(
    ("faults", "write_fault"),
    [
        (Faults(down="status"), PlatformFault.UNAVAILABLE),
        (Faults(down="close"), PlatformFault.UNKNOWN),
        (Faults(slow_s=1.0), PlatformFault.UNKNOWN),
    ],
)
async def test_faults_of_reads_and_writes(
    platform: PlatformStandin, faults: Faults, write_fault: PlatformFault
) -> None:
    platform.faults = faults
    async with serving(platform.handle) as address:
        client = PlatformClient(address, 0.2)
        assert fault_of(await client.commit(TRANSACTION)) is write_fault
        assert fault_of(await client.put_object("o", b"1")) is write_fault
        assert fault_of(await client.read("t", "k")) is PlatformFault.UNAVAILABLE
        assert fault_of(await client.list_vms()) is PlatformFault.UNAVAILABLE


async def test_a_refused_connection_took_no_effect() -> None:
    async with serving(PlatformStandin().handle) as address:
        pass
    client = PlatformClient(address, 1.0)
    assert fault_of(await client.commit(TRANSACTION)) is PlatformFault.UNAVAILABLE


async def test_a_trickling_response_does_not_extend_the_timeout() -> None:
    """Guards against a call that outlives its timeout while each read progresses."""

    async def trickle(exchange: Any) -> None:
        await exchange.start(200, [("content-length", "1000")])
        for _ in range(100):
            await exchange.write(b" ")
            await asyncio.sleep(0.05)

    async with serving(trickle) as address:
        started = asyncio.get_running_loop().time()
        answer = await PlatformClient(address, 0.3).commit(TRANSACTION)
        assert fault_of(answer) is PlatformFault.UNKNOWN
        assert asyncio.get_running_loop().time() - started < 3.0


async def test_failed_calls_are_reported_by_collection(
    platform: PlatformStandin, client: PlatformClient
) -> None:
    """Guards against an outage that no counter shows because callers only retry."""
    failed: list[str] = []
    client.on_failure = failed.append
    await client.read("t", "a")
    platform.faults = Faults(down="status")
    await client.read("t", "a")
    await client.changes("t", 0)
    await client.commit(TRANSACTION)
    platform.faults = Faults(down="close")
    await client.list_vms()
    assert failed == ["GET tables", "GET tables", "POST transactions", "GET vms"]
