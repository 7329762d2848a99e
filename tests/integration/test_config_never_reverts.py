"""Guard against an older configuration that takes the place of a newer one (I8)."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import grpc
import orjson
from integration.generations import Watch, commit, pool_change, watching
from integration.support import chat, standard_records
from result import Ok

from acaciarelay.protocol import relay_pb2 as pb, relay_pb2_grpc
from acaciarelay.state.config_state import ChangeSet, encode_change
from acaciarelay.state.records import Envelope
from acaciarelay.transport.peer import PeerClient
from acaciarelay_standins.fleet import Fleet

ENTRIES = ["entry-1", "entry-2"]
AGENT = "agent-1"


async def test_older_configurations_are_never_applied(tmp_path: Path) -> None:
    """Guards against late messages and an old table that revert a change."""
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        await asyncio.gather(
            *(fleet.start_entry(name) for name in ENTRIES),
            fleet.start_agent(AGENT, "assistants", "chat", engine),
        )
        assert (await commit(fleet, "entry-1", *standard_records())).status == 200
        answer = await commit(fleet, "entry-1", pool_change("newest"))
        newest = orjson.loads(answer.body)["generation"]
        await fleet.wait_ready()
        async with watching(fleet) as watch:
            await watch.wait_in_force(newest)
            await a_late_push(fleet, watch, newest)
            await a_late_update_of_an_agent(fleet, watch, newest)
            await an_old_table(fleet, watch, newest)


def older(generation: int) -> ChangeSet:
    """An older whole configuration, in which the agent was draining."""
    body = {"pool": "assistants", "state": "draining"}
    endpoint = Envelope("endpoint", AGENT, 1, generation, body)
    return ChangeSet(generation=generation, changed=[endpoint], whole=True)


async def still_in_force(fleet: Fleet, watch: Watch, generation: int) -> None:
    assert set((await watch.look()).values()) == {generation}
    for entry in ENTRIES:
        assert (await chat(fleet, entry, "as before", 4)).whole


async def a_late_push(fleet: Fleet, watch: Watch, newest: int) -> None:
    """An entry that slept sends a change that is older by now."""
    for entry in ENTRIES:
        client = PeerClient(fleet.entries[entry].grpc)
        for generation in (newest - 1, newest):
            pushed = await client.push(older(generation))
            assert pushed == Ok(newest), pushed
        await client.close()
    await still_in_force(fleet, watch, newest)


async def a_late_update_of_an_agent(fleet: Fleet, watch: Watch, newest: int) -> None:
    """An entry that slept sends an agent the configuration that it still has."""
    answered = asyncio.Event()

    async def messages() -> AsyncIterator[pb.EntryMessage]:
        hello = pb.Hello(entry_id="late", incarnation=1, generation=newest - 1)
        yield pb.EntryMessage(hello=hello)
        update = pb.ConfigUpdate(
            generation=newest - 1, snapshot=encode_change(older(newest - 1))
        )
        yield pb.EntryMessage(config_update=update)
        await answered.wait()

    async with grpc.aio.insecure_channel(fleet.agents[AGENT].grpc) as channel:
        call = relay_pb2_grpc.RelayStub(channel).Session(messages())
        loads = 0
        async for message in call:
            if message.WhichOneof("kind") != "load":
                continue
            assert message.load.generation == newest
            assert not message.load.draining
            loads += 1
            if loads == 3:
                break
        answered.set()
        call.cancel()
    await still_in_force(fleet, watch, newest)


async def an_old_table(fleet: Fleet, watch: Watch, newest: int) -> None:
    """The platform comes back from a copy that lacks the last changes."""
    old = next(p for p in fleet.processes if p.name == "platform")
    old.kill()
    await old.wait()
    await fleet.start_platform("--listen", fleet.platform)
    # Several polls of 0.5 s.
    for _ in range(5):
        await asyncio.sleep(0.4)
        await still_in_force(fleet, watch, newest)
    # Nothing is accepted on top of a table that lost changes.
    refused = await commit(fleet, "entry-1", pool_change("on-old-table"))
    assert (refused.code, refused.outcome) == (600, "not_run")
