"""Guard against peers that serve a missing, malformed or older configuration."""

import asyncio
import random
from collections.abc import AsyncIterator

import grpc.aio
import pytest
from fakes import FakePlatform
from result import Err, Ok

from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.protocol import relay_pb2
from acaciarelay.state.config_state import ChangeSet, ConfigState
from acaciarelay.state.records import Envelope, supported_schemas
from acaciarelay.transport.peer import PeerClient, PeerServer


def whole(generation: int) -> ChangeSet:
    changed = [Envelope("tier", "t", 1, generation, {"rank": generation})]
    return ChangeSet(generation=generation, changed=changed, whole=True)


@pytest.fixture
async def sync() -> ConfigSync:
    return ConfigSync(FakePlatform(), ConfigState(), [], random.Random(1))


@pytest.fixture
async def client(sync: ConfigSync) -> AsyncIterator[PeerClient]:
    server = grpc.aio.server()
    PeerServer(sync).add_to(server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    client = PeerClient(f"127.0.0.1:{port}")
    yield client
    await client.close()
    await server.stop(None)


async def test_a_peer_without_configuration_is_not_used(client: PeerClient) -> None:
    """Guards against a starting entry that serves with its peer's empty tables."""
    assert isinstance(await client.generation(), Err)
    assert isinstance(await client.fetch(0), Err)


async def test_snapshots_are_sent_only_when_they_are_newer(
    sync: ConfigSync, client: PeerClient
) -> None:
    sync.apply_change(whole(5))
    assert await client.generation() == Ok(5)
    assert client.schemas == supported_schemas()
    assert await client.fetch(5) == Ok(None)
    assert await client.fetch(4) == Ok(whole(5))


async def test_pushes_apply_once_and_return_the_generation_in_force(
    sync: ConfigSync, client: PeerClient
) -> None:
    malformed = relay_pb2.ConfigUpdate(generation=9, snapshot=b"{}")
    assert (await client.call("PushConfig", malformed, 2)).unwrap().generation == 0
    delta = ChangeSet(generation=6, base=5, changed=whole(6).changed)
    assert await client.push(delta) == Ok(0)
    assert await client.push(whole(5)) == Ok(5)
    assert await client.push(delta) == Ok(6)
    assert await client.push(whole(5)) == Ok(6)
    assert sync.snapshot.tiers["t"].rank == 6


async def test_a_call_to_a_silent_peer_times_out_and_the_next_reconnects() -> None:
    accepted = []

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(writer)
        await reader.read()

    server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = PeerClient(f"127.0.0.1:{port}", timeout_s=0.2, fetch_timeout_s=0.2)
    assert isinstance(await client.generation(), Err)
    assert isinstance(await client.generation(), Err)
    assert len(accepted) == 2
    await client.close()
    for writer in accepted:
        writer.transport.abort()
    server.close()
