"""Guard against changes that take effect late or are reverted (I8)."""

import asyncio
from pathlib import Path
from typing import Any

import orjson
from integration.generations import (
    GenerationMonitor,
    admin_call,
    commit,
    monitor_generations,
    pool_change,
)
from integration.support import (
    KEY,
    Answer,
    chat,
    key_hash,
    record,
    standard_records,
)
from result import Ok

from acaciarelay.protocol.platform_api import Transaction, Write
from acaciarelay.transport.platform_client import PlatformClient
from acaciarelay_standins.fleet import Fleet

ENTRIES = ["entry-1", "entry-2"]


async def start_fleet(fleet: Fleet) -> int:
    """Start two entries and two agents; return the first generation."""
    await fleet.start_platform()
    engine, service = await asyncio.gather(
        fleet.start_engine("engine"), fleet.start_service("service")
    )
    await asyncio.gather(
        *(fleet.start_entry(name) for name in ENTRIES),
        fleet.start_agent("agent-1", "assistants", "chat", engine),
        fleet.start_agent("agent-2", "shop", "service", service),
    )
    answer = await commit(fleet, "entry-1", *standard_records())
    assert answer.status == 200, answer
    await fleet.wait_ready()
    return generation_of(answer)


def generation_of(answer: Answer) -> int:
    assert answer.status == 200, answer
    return orjson.loads(answer.body)["generation"]


async def stored(fleet: Fleet, entry: str, type_name: str, name: str) -> list[dict]:
    path = f"/admin/v1/records/{type_name}/{name}"
    answer = await admin_call(fleet, entry, "GET", path)
    return orjson.loads(answer.body)["records"]


async def test_changes_reach_every_process_and_are_never_reverted(
    tmp_path: Path,
) -> None:
    """Guards against lost, reverted and late changes in a running fleet."""
    async with Fleet(tmp_path) as fleet:
        generation = await start_fleet(fleet)
        async with monitor_generations(fleet) as monitor:
            await monitor.wait_in_force(generation)
            await check_two_operators(fleet, monitor)
            await check_lost_answer(fleet, monitor)
            await check_paused_entry(fleet, monitor)
            await check_paused_agent(fleet, monitor)


async def check_two_operators(fleet: Fleet, monitor: GenerationMonitor) -> None:
    """Of two changes to the same revision, one is accepted and one is a conflict."""
    first = generation_of(await commit(fleet, "entry-1", pool_change("both")))
    await monitor.wait_in_force(first)
    answers = await asyncio.gather(
        commit(fleet, "entry-1", pool_change("both", first, 21)),
        commit(fleet, "entry-2", pool_change("both", first, 22)),
    )
    codes = sorted(answer.code for answer in answers)
    assert codes == [0, 702], answers
    refused = next(answer for answer in answers if answer.code)
    accepted = next(answer for answer in answers if not answer.code)
    (conflict,) = orjson.loads(refused.body)["error"]["conflicts"]
    assert conflict["expected_revision"] == first
    assert conflict["stored_revision"] == generation_of(accepted)
    subsets = {conflict[side][0]["body"]["subset"] for side in ("expected", "stored")}
    assert subsets == {21, 22}
    await monitor.wait_in_force(generation_of(accepted))
    for entry in ENTRIES:
        (envelope,) = await stored(fleet, entry, "pool", "both")
        assert envelope["body"] == conflict["stored"][0]["body"]

    # Changes to different records at once are all accepted.
    answers = await asyncio.gather(
        *(
            commit(fleet, ENTRIES[number % 2], pool_change(f"many-{number}"))
            for number in range(6)
        )
    )
    generations = sorted(generation_of(answer) for answer in answers)
    assert len(set(generations)) == 6
    await monitor.wait_in_force(generations[-1])


async def check_lost_answer(fleet: Fleet, monitor: GenerationMonitor) -> None:
    """A commit whose answer was lost is found again and is stored once."""
    await fleet.set_faults(fleet.platform_address, lose_answers=1, lose_table="config")
    answer = await commit(fleet, "entry-2", pool_change("lost"), token="lost-1")
    generation = generation_of(answer)
    again = await commit(fleet, "entry-1", pool_change("lost"), token="lost-1")
    assert generation_of(again) == generation
    await monitor.wait_in_force(generation)
    history = await admin_call(fleet, "entry-1", "GET", "/admin/v1/history?limit=10")
    tokens = [entry["token"] for entry in orjson.loads(history.body)["entries"]]
    assert tokens.count("lost-1") == 1
    writes = (await fleet.record(fleet.platform_address))["writes"]
    assert any(write["answer_lost"] for write in writes)


async def check_paused_entry(fleet: Fleet, monitor: GenerationMonitor) -> None:
    """A resumed entry takes over the changes it missed and restores no older state."""
    process = fleet.entries["entry-2"].process
    process.pause()
    generation = 0
    for number in range(3):
        answer = await commit(fleet, "entry-1", pool_change(f"paused-{number}"))
        generation = generation_of(answer)
    await monitor.wait_in_force(generation, "entry-1", "agent-1", "agent-2")
    process.resume()
    answer = await commit(fleet, "entry-2", pool_change("resumed"))
    assert generation_of(answer) > generation
    await monitor.wait_in_force(generation_of(answer))


async def check_paused_agent(fleet: Fleet, monitor: GenerationMonitor) -> None:
    process = fleet.agents["agent-1"].process
    process.pause()
    answer = await commit(fleet, "entry-1", pool_change("paused-agent"))
    await asyncio.sleep(3.5)
    process.resume()
    await monitor.wait_in_force(generation_of(answer))


async def put_row(fleet: Fleet, *writes: Write) -> None:
    """Write rows to the configuration table, bypassing the entries."""
    client = PlatformClient(fleet.platform_address, 2.0)
    answer = await client.commit(Transaction([], list(writes)))
    assert isinstance(answer, Ok), answer


def organisation_row(schema: int, revision: int, body: dict[str, Any]) -> Write:
    value = {
        "type": "organisation",
        "name": "dealer",
        "schema": schema,
        "revision": revision,
        "body": body,
    }
    return Write("config", f"record/organisation/dealer/{schema}", value)


async def test_schemas_side_by_side(tmp_path: Path) -> None:
    """Guards against a process that loses a record for a schema that it can't read."""
    async with Fleet(tmp_path) as fleet:
        generation = await start_fleet(fleet)
        async with monitor_generations(fleet) as monitor:
            await monitor.wait_in_force(generation)
            (newest,) = await stored(fleet, "entry-1", "organisation", "dealer")
            old_body = {"key_hash": key_hash(KEY), "policy": "standard"}
            changes = [
                {
                    **record("organisation", "dealer", **newest["body"]),
                    "revision": newest["revision"],
                },
                {
                    **record("organisation", "dealer", **old_body),
                    "schema": 1,
                    "revision": newest["revision"],
                },
            ]
            generation = generation_of(await commit(fleet, "entry-1", *changes))
            await monitor.wait_in_force(generation)
            forms = await stored(fleet, "entry-2", "organisation", "dealer")
            assert [form["schema"] for form in forms] == [1, newest["schema"]]

            # Processes that read the other schema would miss a change of one form only.
            half = {**changes[0], "revision": generation}
            half["body"] = {**half["body"], "weight": 3}
            refused = await commit(fleet, "entry-2", half)
            assert refused.code == 701, refused

            # A newer release writes a schema that no process here can read.
            generation += 1
            await put_row(
                fleet,
                organisation_row(9, generation, {"keys": "another form"}),
                Write("config", "generation", {"generation": generation, "token": "n"}),
            )
            await monitor.wait_in_force(generation)
            for entry in ENTRIES:
                path = "/admin/v1/generation"
                answer = await admin_call(fleet, entry, "GET", path)
                assert orjson.loads(answer.body)["set_aside"] == 1
                assert (await chat(fleet, entry, "still served")).complete
