"""Guard against faults of entries and agents as real processes on the platform path."""

import asyncio
import signal
import time

import orjson
from integration.platform_fleet import PlatformFleet, Program
from relay_rig import configuration, route

from acaciarelay.coordination.drain_window import UNREADY_GRACE_S

APPLY_LIMIT_S = 2.5


async def start_full_fleet(fleet: PlatformFleet) -> None:
    """Start two entries, two engines with agents and one plain service."""
    await fleet.add_runner("engine", 1)
    await fleet.add_runner("engine", 2)
    await fleet.add_runner("orders", 3)
    for number in (1, 2):
        await fleet.add_agent(number)
    for number in (1, 2):
        await fleet.add_entry(number)
    await wait_until(fleet, lambda: agents_linked(fleet))


def agents_linked(fleet: PlatformFleet) -> bool:
    for name in ("entry-1", "entry-2"):
        regained = [
            line
            for line in fleet.programs[name].log()
            if line["message_type"] == "agent_regained"
        ]
        if len(regained) < 2:
            return False
    return True


def resumed_lines(program: Program) -> list[dict[str, object]]:
    lines = program.log()
    return [line for line in lines if line["message_type"] == "resumed_after_pause"]


async def wait_until(fleet, condition, limit_s=10.0):
    deadline = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.05)


async def test_complete_path_and_a_new_configuration(tmp_path):
    """Guards against parts that work alone but not together."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        for entry in ("entry-1", "entry-2"):
            stream = await fleet.call(entry, "/chat/a")
            assert stream.status == 200 and stream.complete
            assert stream.body.count(b"data: piece") == 10
            order = await fleet.call(entry, "/order/a", attempt=f"order-{entry}")
            assert order.status == 200
        value = configuration(7, routes=[route("/new/", "non_idempotent")])
        fleet.configure(value)
        changed_at = time.monotonic()
        for entry in ("entry-1", "entry-2"):
            while (await fleet.call(entry, "/new/a", attempt="n")).status != 200:
                assert time.monotonic() - changed_at < APPLY_LIMIT_S
                await asyncio.sleep(0.02)
            assert (await fleet.call(entry, "/order/a")).status == 404


async def test_draining_runner_gets_no_new_requests(tmp_path):
    """Guards against requests sent to a runner after it was reported as draining."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        await fleet.add_runner("orders", 4)
        await asyncio.sleep(1.0)
        fleet.states["i-3"] = "draining"
        await asyncio.sleep(2.0)
        before = len(fleet.runners["i-3"].runs)
        for number in range(20):
            answer = await fleet.call("entry-1", "/order/a", attempt=f"a-{number}")
            assert answer.status == 200
        assert len(fleet.runners["i-3"].runs) == before


async def test_stopping_entry_finishes_its_requests(tmp_path):
    """Guards against requests lost when an entry is stopped by SIGTERM."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        for name in ("i-1", "i-2"):
            fleet.runners[name].events = 100
            fleet.runners[name].step_s = 0.01
        calls = [
            asyncio.create_task(fleet.call("entry-1", "/chat/a", attempt=f"a-{n}"))
            for n in range(6)
        ]
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(fleet.programs["entry-1"].stop(signal.SIGTERM))
        await asyncio.sleep(0.1)
        assert not await fleet.ready("entry-1")
        late = await fleet.call("entry-1", "/order/a", attempt="late")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        for answer in await asyncio.gather(*calls):
            assert answer.status == 200 and answer.complete
        assert await stopping == 0


async def test_lost_agent_does_not_stop_its_engine(tmp_path):
    """Guards against an engine that gets no requests after its agent is lost."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        for number in (1, 2):
            await fleet.programs[f"agent-{number}"].stop()
        await asyncio.sleep(0.3)
        for number in range(5):
            answer = await fleet.call("entry-1", "/chat/a", attempt=f"a-{number}")
            assert answer.status == 200 and answer.complete


async def test_store_outage_with_an_entry_restarted_from_its_peer(tmp_path):
    """Guards against an entry that needs the store to serve or to start."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        fleet.store.faults.status = 503
        await asyncio.sleep(1.5)
        assert (await fleet.call("entry-1", "/order/a")).status == 200
        await fleet.programs["entry-2"].stop()
        await fleet.programs["entry-2"].start()
        await fleet.until_ready("entry-2")
        await wait_until(fleet, lambda: agents_linked(fleet))
        answer = await fleet.call("entry-2", "/chat/a", attempt="after")
        assert answer.status == 200 and answer.complete


async def test_lost_history_and_stale_reads_revert_nothing(tmp_path):
    """Guards against a configuration reverted after the store lost its history."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        fleet.configure(configuration(5, routes=[route("/new/", "non_idempotent")]))
        await asyncio.sleep(0.5)
        assert (await fleet.call("entry-1", "/new/a")).status == 200
        fleet.store.faults.stale_versions = fleet.store.version - 1
        fleet.store.compact()
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline:
            assert (await fleet.call("entry-1", "/new/a")).status == 200
            await asyncio.sleep(0.1)


async def test_settings_errors_list_all_problems(tmp_path):
    """Guards against a start with invalid settings."""
    async with PlatformFleet(tmp_path) as fleet:
        settings = fleet.settings("entry-9", "127.0.1.9", caller_address="x:1")
        del settings["zone"], settings["ports"]
        path = tmp_path / "bad.json"
        path.write_bytes(orjson.dumps(settings))
        program = Program("entry-9", settings, tmp_path)
        await program.start()
        # SIGCONT does not affect a running process, so this only waits for its exit.
        assert await program.stop(signal.SIGCONT) == 2
        text = program.log_path.read_text()
        assert "zone" in text and "ports" in text


async def test_an_entry_paused_across_a_revocation_and_a_drain_acts_on_neither(
    tmp_path,
):
    """Guards against a paused entry that acts on a permission that has run out.

    The requests arrive during the pause, so that they are read first after it.
    """
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        await fleet.add_runner("orders", 4)
        await asyncio.sleep(1.5)
        entry = fleet.programs["entry-1"]
        # A start beside load may be a pause too.
        earlier = len(resumed_lines(entry))
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        fleet.states["i-3"] = "draining"
        value = configuration(7)
        value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
        value["tenants"][0]["apiKeys"] = ["another-key"]
        fleet.configure(value)
        before = len(fleet.runners["i-3"].runs)
        calls = [
            asyncio.create_task(fleet.call("entry-1", "/order/a", attempt=f"p-{n}"))
            for n in range(10)
        ]
        await asyncio.sleep(1.5)
        entry.process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {401}
        assert len(fleet.runners["i-3"].runs) == before
        resumed = resumed_lines(entry)
        assert len(resumed) > earlier, resumed
        assert resumed[earlier]["pause_s"] > 2.0, resumed


async def test_a_full_backlog_at_the_end_of_a_stop_is_answered(tmp_path):
    """Guards against accepted connections that are reset when an entry stops.

    The entry does not run while the callers connect, and finds them waiting just as it
    is about to stop listening.
    """
    async with PlatformFleet(tmp_path) as fleet:
        fleet.stop_grace_s = 8.0
        await start_full_fleet(fleet)
        fleet.runners["i-3"].slots = 300
        entry = fleet.programs["entry-1"]
        stopping = asyncio.create_task(entry.stop(signal.SIGTERM))
        await asyncio.sleep(UNREADY_GRACE_S - 0.3)
        entry.process.send_signal(signal.SIGSTOP)
        calls = [
            asyncio.create_task(fleet.call("entry-1", "/order/a", attempt=f"b-{n}"))
            for n in range(200)
        ]
        await asyncio.sleep(0.6)
        entry.process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*calls)
        assert all(answer.status != 0 for answer in answers)
        assert sum(answer.status == 200 for answer in answers) > 100
        assert await stopping == 0
