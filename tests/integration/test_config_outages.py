"""Guard against configurations that are lost while the platform is down (I8)."""

import asyncio
from pathlib import Path

import orjson
from integration.generations import admin_call, commit, monitor_generations, pool_change
from integration.support import chat, standard_records

from acaciarelay_standins.fleet import Fleet

OUTAGE_S = 5.0


async def test_an_outage_of_the_platform(tmp_path: Path) -> None:
    """Guards against changes lost, reverted or applied unstored in an outage."""
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        await asyncio.gather(
            fleet.start_entry("entry-1"),
            fleet.start_entry("entry-2"),
            fleet.start_agent("agent-1", "assistants", "chat", engine),
        )
        answer = await commit(fleet, "entry-1", *standard_records())
        generation = orjson.loads(answer.body)["generation"]
        await fleet.wait_ready()
        async with monitor_generations(fleet) as monitor:
            await monitor.wait_in_force(generation)
            await fleet.set_faults(fleet.platform_address, down="close")

            # A change that can't be stored is refused.
            refused = await commit(fleet, "entry-1", pool_change("unstored"))
            assert (refused.code, refused.outcome) == (600, "not_run")

            # A new entry gets the configuration from a peer, and is ready only then.
            peers = ",".join(member.grpc_address for member in fleet.entries.values())
            started = await fleet.start_entry(
                "entry-3", "zone-a", "region-a", "--peers", peers
            )
            await fleet.wait_http(started.http_address, "/readyz", started.process)
            await monitor.wait_in_force(generation)

            # Running processes keep serving with their configuration. An agent that
            # starts now would get its own from an entry's session after the outage.
            until = asyncio.get_running_loop().time() + OUTAGE_S
            while asyncio.get_running_loop().time() < until:
                for entry in ("entry-1", "entry-2"):
                    assert (await chat(fleet, entry, "in the outage", 4)).complete
                await asyncio.sleep(0.3)
            old = await monitor.read_all()
            assert set(old.values()) == {generation}

            await fleet.set_faults(fleet.platform_address)
            answer = await commit(fleet, "entry-3", pool_change("after"))
            newer = orjson.loads(answer.body)["generation"]
            assert newer == generation + 1
            await monitor.wait_in_force(newer)
            path = "/admin/v1/records/pool"
            listed = await admin_call(fleet, "entry-2", "GET", path)
            names = {item["name"] for item in orjson.loads(listed.body)["records"]}
            assert "after" in names
            assert "unstored" not in names


async def test_an_entry_alone_in_an_outage_is_not_ready(tmp_path: Path) -> None:
    """Guards against an entry that serves before it has a configuration."""
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        await fleet.set_faults(fleet.platform_address, down="close")
        await fleet.start_entry("entry-1")
        answer = await chat(fleet, "entry-1", "too early")
        assert (answer.code, answer.outcome) == (305, "not_run")
        read = await admin_call(fleet, "entry-1", "GET", "/admin/v1/records")
        assert read.code == 305
        refused = await commit(fleet, "entry-1", *standard_records())
        assert refused.code == 600
        await fleet.set_faults(fleet.platform_address)
        entry = fleet.entries["entry-1"]
        await fleet.wait_http(entry.http_address, "/readyz", entry.process)


async def test_a_replaced_agent_process_resumes(tmp_path: Path) -> None:
    """Guards against a resumed process that restores an older configuration."""
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        await asyncio.gather(
            fleet.start_entry("entry-1"),
            fleet.start_entry("entry-2"),
            fleet.start_agent("agent-1", "assistants", "chat", engine),
        )
        answer = await commit(fleet, "entry-1", *standard_records())
        first = orjson.loads(answer.body)["generation"]
        await fleet.wait_ready()
        async with monitor_generations(fleet) as monitor:
            await monitor.wait_in_force(first)
            old = fleet.agents["agent-1"]
            old.process.pause()
            # A new process registers under the same name during the pause.
            new = await fleet.start_agent("agent-1", "assistants", "chat", engine)
            answer = await commit(fleet, "entry-2", pool_change("meanwhile"))
            newer = orjson.loads(answer.body)["generation"]
            await monitor.wait_in_force(newer)
            old.process.resume()
            await asyncio.sleep(2.0)
            await monitor.wait_in_force(newer)
            status = await fleet.admin("entry-1", "GET", "/admin/v1/status")
            agents = [p for p in status["processes"] if p["kind"] == "agent"]
            assert [agent["address"] for agent in agents] == [new.grpc_address]
            assert [agent["generation"] for agent in agents] == [newer]
            for entry in ("entry-1", "entry-2"):
                assert (await chat(fleet, entry, "after the return", 4)).complete
