"""Guard against entries that miss, mix or revert generations of the table."""

import asyncio
import random

import attrs
import pytest
from fakes import FakePeer, FakePlatform
from result import Ok

from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.protocol.platform_api import Transaction, Write
from acaciarelay.state.config_state import ChangeSet, ConfigState
from acaciarelay.state.records import Envelope


def tier(rank: int, name: str = "t") -> Envelope:
    return Envelope("tier", name, 1, 1, {"rank": rank})


def row(envelope: Envelope) -> Write:
    key = f"record/{envelope.type}/{envelope.name}/1"
    return Write("config", key, attrs.asdict(envelope))


def store(platform: FakePlatform, generation: int, *writes: Write) -> None:
    head = Write("config", "generation", {"generation": generation, "token": "x"})
    platform.execute(Transaction([], [head, *writes]))


def new_sync(platform: FakePlatform, *peers: FakePeer) -> ConfigSync:
    return ConfigSync(platform, ConfigState(), peers, random.Random(1), 0.01)


def peer_at(generation: int) -> FakePeer:
    state = ConfigState()
    changed = [tier(generation)]
    state.apply(ChangeSet(generation=generation, changed=changed, whole=True))
    return FakePeer(state)


async def test_an_empty_table_is_generation_0_in_force() -> None:
    """Guards against entries of a new deployment that never become ready."""
    sync = new_sync(FakePlatform())
    assert not sync.ready
    assert await sync.poll() == Ok(0)
    assert sync.ready


async def test_polls_apply_changes_and_deletions() -> None:
    platform = FakePlatform()
    store(platform, 1, row(tier(1)), row(tier(2, "u")))
    sync = new_sync(platform)
    seen: list[int] = []
    # A failing subscriber must not keep the others from being notified.
    sync.subscribe(lambda snapshot: 1 / 0)
    sync.subscribe(lambda snapshot: seen.append(snapshot.generation))
    await sync.poll()
    store(platform, 2, row(tier(5)), Write("config", "record/tier/u/1", None))
    await sync.poll()
    await sync.poll()
    assert seen == [1, 2]
    assert {name: item.rank for name, item in sync.snapshot.tiers.items()} == {"t": 5}


async def test_rows_without_their_generation_wait_for_it() -> None:
    """Guards against putting part of a commit in force before its generation."""
    platform = FakePlatform()
    store(platform, 1, row(tier(1)))
    sync = new_sync(platform)
    await sync.poll()
    platform.execute(Transaction([], [row(tier(9))]))
    await sync.poll()
    assert sync.snapshot.tiers["t"].rank == 1
    store(platform, 2)
    await sync.poll()
    assert sync.snapshot.tiers["t"].rank == 9


async def test_records_without_any_generation_are_not_in_force() -> None:
    """Guards against reading a table that is being restored as generation 0."""
    platform = FakePlatform()
    platform.execute(Transaction([], [row(tier(9))]))
    sync = new_sync(platform)
    await sync.poll()
    assert not sync.ready


async def test_a_malformed_row_keeps_the_last_valid_record() -> None:
    platform = FakePlatform()
    store(platform, 1, row(tier(1)))
    sync = new_sync(platform)
    await sync.poll()
    store(platform, 2, Write("config", "record/tier/t/1", {"type": 3}))
    await sync.poll()
    assert sync.generation == 2 and sync.snapshot.tiers["t"].rank == 1
    platform.execute(Transaction([], [Write("config", "generation", "nonsense")]))
    await sync.poll()
    assert sync.generation == 2


async def test_a_push_between_polls_is_neither_lost_nor_undone() -> None:
    platform = FakePlatform()
    store(platform, 1, row(tier(1)))
    sync = new_sync(platform)
    await sync.poll()
    sync.apply_change(ChangeSet(generation=2, base=1, changed=[tier(2)]))
    await sync.poll()  # This read still gives generation 1.
    assert sync.snapshot.tiers["t"].rank == 2
    store(platform, 2, row(tier(2)))
    store(platform, 3, row(tier(3, "v")))
    await sync.poll()
    assert sync.generation == 3 and set(sync.snapshot.tiers) == {"t", "v"}


async def test_a_start_in_an_outage_fetches_the_newest_peer_snapshot() -> None:
    down = peer_at(9)
    down.down = True
    peers = [FakePeer(ConfigState()), peer_at(3), peer_at(7), down]
    sync = new_sync(FakePlatform(down=True), *peers)
    assert await sync.bootstrap()
    assert sync.ready and sync.generation == 7
    assert not await sync.bootstrap()


async def test_run_recovers_after_an_outage() -> None:
    """Guards against an entry that stays without a configuration after an outage.

    It would place every request wrongly.
    """
    platform = FakePlatform(down=True)
    store(platform, 4, row(tier(4)))
    peer = peer_at(3)
    peer.down = True
    sync = new_sync(platform, peer)
    seen: asyncio.Queue[int] = asyncio.Queue()
    sync.subscribe(lambda snapshot: seen.put_nowait(snapshot.generation))
    task = asyncio.create_task(sync.run())
    await asyncio.sleep(0.05)
    assert not sync.ready
    peer.down = False
    async with asyncio.timeout(5):
        assert await seen.get() == 3
        platform.down = False
        assert await seen.get() == 4
    task.cancel()


async def test_polls_are_jittered_by_a_fifth(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against entries that start together and poll at the same moments."""
    waits: list[float] = []
    timeout = asyncio.timeout
    monkeypatch.setattr(
        asyncio, "timeout", lambda wait: waits.append(wait) or timeout(0.001)
    )
    sync = new_sync(FakePlatform())
    sync.poll_interval_s = 2.0
    task = asyncio.create_task(sync.run())
    await asyncio.sleep(0.05)
    task.cancel()
    assert len(set(waits)) > 2 and all(1.6 <= wait <= 2.4 for wait in waits)
