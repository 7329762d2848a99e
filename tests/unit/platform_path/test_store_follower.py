"""How soon entries notice a silent store, its return, and what it says then."""

import asyncio
import contextlib
import random
import time

import orjson
import pytest
from relay_rig import configuration, registration

from acaciarelay.coordination.store_contact import StoreContact
from acaciarelay.platform.store import RowPage
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.store_follower import (
    PROBE_FRACTION,
    RETRY_INTERVAL_S,
    StoreFollower,
)
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_store import PlatformStore

SILENCE_LIMIT_S = 3.0
# A call just before the return, the longest pause after it, and the next call.
RETURN_BOUND_S = SILENCE_LIMIT_S * PROBE_FRACTION + 1.5 * RETRY_INTERVAL_S + 0.3


class FollowedStore:
    """A store and one follower of it, as an asynchronous context manager."""

    def __init__(self):
        self.store = PlatformStore()
        self.cache = StateCache()
        self.server = None
        self.follower = None

    async def __aenter__(self):
        self.server, address = await listen(self.store.handle, "127.0.0.1:0")
        self.follower = StoreFollower(
            address, self.cache, random.Random(1), SILENCE_LIMIT_S, lambda: 5
        )
        self.configure(1)
        self.beat = asyncio.create_task(self.register())
        self.follower.start()
        await self.until_version(1, 2.0)
        return self

    async def __aexit__(self, *_):
        self.beat.cancel()
        self.follower.close()
        self.server.close()
        await asyncio.sleep(0.05)

    async def register(self):
        """Write a registration every second, as endpoints do."""
        sequence = 0
        while True:
            sequence += 1
            row = registration("orders", "127.0.0.1:9", seq=sequence)
            self.store.put("servers", "i-1", row)
            await asyncio.sleep(1.0)

    def configure(self, version):
        self.store.put("op", "config", configuration(version))

    async def until_version(self, version, limit_s):
        """Wait for a configuration; return how long it took."""
        began = time.monotonic()
        while self.cache.routing is None or self.cache.routing.version < version:
            assert time.monotonic() - began < limit_s, "not in force in time"
            await asyncio.sleep(0.01)
        return time.monotonic() - began


class SlowLink:
    """Pass a connection to the store on, its answers at so many bytes a second."""

    def __init__(self, store_port, bytes_per_s):
        self.store_port = store_port
        self.bytes_per_s = bytes_per_s

    async def handle(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port
        )
        requests = asyncio.create_task(self.copy(reader, store_writer, 1e9))
        try:
            await self.copy(store_reader, writer, self.bytes_per_s)
        finally:
            requests.cancel()
            store_writer.transport.abort()
            writer.transport.abort()

    async def copy(self, reader, writer, bytes_per_s):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                await asyncio.sleep(len(data) / bytes_per_s)
                writer.write(data)
                await writer.drain()


@contextlib.asynccontextmanager
async def follow_over_a_slow_link():
    """Follow a store at which 40 versions of a long configuration are to be read."""
    store, cache = PlatformStore(), StateCache()
    routes = configuration(1)["routes"]
    padding = [routes[0] | {"prefix": f"/{number}/"} for number in range(150)]
    for version in range(1, 41):
        value = configuration(version, routes=[*routes, *padding])
        store.put("op", "config", value)
    server, address = await listen(store.handle, "127.0.0.1:0")
    link = SlowLink(int(address.rpartition(":")[2]), 200_000)
    slow = await asyncio.start_server(link.handle, "127.0.0.1", 0)
    port = slow.sockets[0].getsockname()[1]
    follower = StoreFollower(
        f"127.0.0.1:{port}", cache, random.Random(1), SILENCE_LIMIT_S, lambda: 5
    )
    # What the entry knew before it was turned away.
    row = store.rows("op", "", 1)["config"]
    known = StoreRow(
        key="config", value=orjson.dumps(configuration(1)), version=StoreVersion(0, 1)
    )
    assert row.version == 1
    cache.apply_changes("op", [known], StoreVersion(0, 1), False)
    follower.feeds["op"].version = StoreVersion(0, 1)
    follower.feeds["op"].probing = True
    caught_up = asyncio.Event()
    cache.on_configuration.append(caught_up.set)
    try:
        follower.start()
        async with asyncio.timeout(SILENCE_LIMIT_S):
            await caught_up.wait()
        yield follower
    finally:
        follower.close()
        slow.close()
        server.close()


async def test_many_changes_of_a_long_row_are_caught_up_on_a_slow_link():
    """Guards against a feed that gets the same changes again and never all of them."""
    async with follow_over_a_slow_link() as follower:
        assert follower.cache.routing.version == 40


async def test_an_answer_that_takes_too_long_shows_no_outage(monkeypatch):
    """Guards against removed endpoints that are kept after an outage that was none."""
    signs = []
    monkeypatch.setattr(
        StoreContact, "record_unreachable", lambda contact: signs.append(contact)
    )
    async with follow_over_a_slow_link():
        assert not signs


@pytest.mark.parametrize("silent_s", [0.5, 2.0, 4.0, 6.5])
async def test_a_change_after_a_silence_is_in_force_within_the_bound(silent_s):
    """Guards against calls that hang since the silence and hide a change.

    A silence that is too short to be noticed may hide it for the tolerated silence.
    """
    async with FollowedStore() as followed:
        # Let the calls that wait for changes begin before the silence.
        await asyncio.sleep(1.2)
        silent_at = time.monotonic()
        followed.store.faults.silent = True
        await asyncio.sleep(silent_s)
        followed.store.faults.silent = False
        followed.configure(2)
        unnoticed_s = silent_at + SILENCE_LIMIT_S - time.monotonic()
        await followed.until_version(2, max(unnoticed_s, 0.0) + RETURN_BOUND_S)


async def test_an_entry_that_starts_in_a_silence_reads_the_store_soon_after_it():
    """Guards against a first read that hangs since the silence, with nothing known."""
    store = PlatformStore()
    store.put("op", "config", configuration(1))
    store.faults.silent = True
    server, address = await listen(store.handle, "127.0.0.1:0")
    cache = StateCache()
    follower = StoreFollower(
        address, cache, random.Random(1), SILENCE_LIMIT_S, lambda: 5
    )
    follower.start()
    await asyncio.sleep(0.3)
    store.faults.silent = False
    returned_at = time.monotonic()
    while cache.routing is None:
        assert time.monotonic() - returned_at < RETURN_BOUND_S, "read too late"
        await asyncio.sleep(0.01)
    follower.close()
    server.close()


async def test_a_call_lost_at_the_end_of_a_disturbance_hides_no_change_beyond_contact():
    """Guards against confirmed changes that calls lost by all entries at once hide."""
    async with FollowedStore() as followed:
        await asyncio.sleep(0.2)
        followed.store.faults.silent = True
        followed.configure(2)
        await followed.until_version(2, 1.0)
        # The next call, which follows at once, gets no answer; then all is well again.
        await asyncio.sleep(0.03)
        followed.store.faults.silent = False
        followed.configure(3)
        await followed.until_version(3, SILENCE_LIMIT_S)


async def test_an_answer_older_than_the_cache_confirms_nothing():
    """Guards against an old state that counts as fresh and is not asked of peers."""
    async with FollowedStore() as followed:
        follower, cache = followed.follower, followed.cache
        feed = follower.feeds["servers"]
        feed.task.cancel()
        known = feed.version
        cache.distrust()
        older = StoreVersion(known.era, known.number - 1)
        follower.apply("servers", feed, RowPage(rows=[], version=older))
        assert cache.staleness_s("servers") > SILENCE_LIMIT_S
        assert feed.version == known


async def test_a_probe_confirms_the_tables_at_once():
    """Guards against requests that wait for a feed which is quiet for seconds."""
    async with FollowedStore() as followed:
        await asyncio.sleep(1.2)
        followed.cache.distrust()
        followed.follower.probe()
        began = time.monotonic()
        await asyncio.wait_for(followed.cache.trusted.wait(), 1.0)
        assert time.monotonic() - began < 0.3


async def test_a_quiet_feed_makes_few_calls():
    """Guards against bounds that are bought with many calls, which are priced."""
    async with FollowedStore() as followed:
        before = followed.store.calls["/rows-feed"]
        await asyncio.sleep(5.0)
        # One in 2.4 s for each of the two tables, though an endpoint renews its
        # registration every second.
        assert followed.store.calls["/rows-feed"] - before <= 5


async def test_a_changed_endpoint_is_known_at_once():
    """Guards against a drain that waits for the next call of a slow series."""
    async with FollowedStore() as followed:
        await asyncio.sleep(1.2)
        row = registration("orders", "127.0.0.1:9", seq=9, state="draining")
        followed.beat.cancel()
        followed.store.put("servers", "i-1", row)
        await asyncio.sleep(0.3)
        (endpoint,) = followed.cache.endpoints.all()
        assert endpoint.draining


async def test_an_error_in_a_listener_does_not_end_the_feed():
    """Guards against a configuration that never comes after an unexpected error."""

    def fail():
        raise RuntimeError("unexpected")

    async with FollowedStore() as followed:
        noticed = []
        followed.cache.on_configuration.append(fail)
        followed.cache.on_configuration.append(lambda: noticed.append(True))
        followed.configure(2)
        await followed.until_version(2, 2.0)
        followed.configure(3)
        await followed.until_version(3, 2.0)
        assert len(noticed) == 2


async def test_an_error_in_applying_a_page_does_not_end_the_feed(monkeypatch):
    """Guards against a table that is never read again after an unexpected error."""

    def fail(*_):
        raise RuntimeError("unexpected")

    async with FollowedStore() as followed:
        with monkeypatch.context() as patched:
            patched.setattr(followed.cache, "apply_changes", fail)
            followed.configure(2)
            await asyncio.sleep(0.5)
        await followed.until_version(2, RETURN_BOUND_S)


async def test_a_table_is_confirmed_by_a_call_of_now():
    """Guards against the answer of a call that began before the question."""
    async with FollowedStore() as followed:
        await asyncio.sleep(0.3)
        followed.configure(2)
        began = time.monotonic()
        assert await followed.follower.confirm("op", 0.5)
        assert time.monotonic() - began < 0.5
        assert followed.cache.routing.version == 2
        assert await followed.follower.confirm("servers", 0.5)
        # The calls that wait for changes go on.
        followed.configure(3)
        await followed.until_version(3, 1.0)


async def test_a_silent_store_confirms_nothing():
    async with FollowedStore() as followed:
        followed.store.faults.silent = True
        began = time.monotonic()
        assert not await followed.follower.confirm("servers", 0.3)
        assert time.monotonic() - began < 0.5


async def test_questions_at_once_share_a_call():
    """Guards against a flood of resumed streams that uses up the store's rate."""
    async with FollowedStore() as followed:
        before = followed.store.calls.total()
        for _ in range(3):
            questions = [followed.follower.confirm("servers", 1.0) for _ in range(50)]
            assert all(await asyncio.gather(*questions))
        assert followed.store.calls.total() - before <= 6


async def test_a_slow_store_confirms_questions_that_keep_coming():
    """Guards against calls that are given up for each new question."""
    async with FollowedStore() as followed:
        followed.store.faults.slow_s = 0.2
        questions = []
        for _ in range(20):
            question = followed.follower.confirm("servers", 0.6)
            questions.append(asyncio.create_task(question))
            await asyncio.sleep(0.05)
        assert all(await asyncio.gather(*questions))
