"""Resumed streams at an entry that doesn't know what the others know."""

import asyncio
import contextlib
import signal

import pytest
from integration.platform_fleet import PORTS_PER_FLEET, PlatformFleet
from integration.test_platform_path import wait_until
from integration.test_streams_of_killed_entries import (
    BEGUN_EVENTS,
    STEP_S,
    STREAMS,
    add_engine,
    begin,
    resume,
    resumed,
    roomy_configuration,
)

from acaciarelay.coordination.software_history import STREAM_LIFE_S
from acaciarelay_standins.ports import free_port
from acaciarelay_standins.proxy import Faults, Proxy


@contextlib.asynccontextmanager
async def proxied_store(fleet):
    """Pass calls to the store on, until the proxy falls silent."""
    proxy = Proxy(fleet.store_address)
    await proxy.listen("127.0.3.1", 0)
    try:
        yield proxy
    finally:
        await proxy.close()


async def add_isolated_entry(fleet, number, store):
    """Start an entry that reaches engines and the store, but no own process."""
    ports = free_port(PORTS_PER_FLEET)
    store_address = f"{store.host}:{store.port}"
    await fleet.add_entry(
        number, ports=[ports, ports + 15], store_address=store_address
    )


async def freeze(fleet, name, seconds):
    process = fleet.programs[name].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def knows_both_engines(fleet, name):
    hosts = set()
    for line in fleet.programs[name].log():
        if line["message_type"] == "agent_regained":
            hosts.add(line["host"])
    return len(hosts) == 2


@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.timeout(180)
async def test_an_entry_out_of_step_joins_no_streams(tmp_path, frozen):
    """Guards against a list of before a cut that is taken for the present one."""
    async with PlatformFleet(tmp_path) as fleet, proxied_store(fleet) as store:
        fleet.configure(roomy_configuration())
        await add_engine(fleet, 1, "v1")
        await add_isolated_entry(fleet, 1, store)
        await fleet.add_entry(2)
        await asyncio.sleep(STREAM_LIFE_S + 1.5)
        pause = None
        if frozen:
            pause = asyncio.create_task(freeze(fleet, "entry-1", 4.0))
        await store.set_faults(Faults(silent=True, all_connections=True))
        await add_engine(fleet, 2, "v2")
        old, new = fleet.runners["i-1"], fleet.runners["i-2"]
        await wait_until(fleet, lambda: knows_both_engines(fleet, "entry-2"))
        old.faults.shed = True
        # Odd ones begin at the second entry.
        numbers = range(1, 2 * STREAMS, 2)
        streams = []
        for number in numbers:
            streams.append(asyncio.create_task(begin(fleet, number)))
        await wait_until(fleet, lambda: len(new.runs) >= STREAMS // 2)
        await asyncio.sleep(BEGUN_EVENTS * STEP_S)
        await fleet.programs["entry-2"].stop()
        begun = dict(zip(numbers, await asyncio.gather(*streams), strict=True))
        old.faults.shed = False
        taken_up = [
            asyncio.create_task(resume(fleet, n, last, 0.0))
            for n, last in begun.items()
            if last
        ]
        if pause is not None:
            await pause
        answers = await asyncio.gather(*taken_up)
        assert len(answers) >= STREAMS // 2
        assert not resumed(fleet, 1)
