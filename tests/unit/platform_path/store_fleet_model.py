"""Model of entries that follow a store, in virtual time and without a network."""

import asyncio
import random
import time
import unittest.mock
from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

import attrs
import h11
import orjson
from result import Err, Ok
from virtual_loop import VirtualLoop

from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.store_follower import StoreFollower
from acaciarelay.protocol.link_messages import Hello, decode_message, encode_message
from acaciarelay.transport.endpoint_call import ConnectionFault, FaultKind
from acaciarelay.transport.message_link import SILENCE_TIMEOUT_S, LinkTicker
from acaciarelay_standins.platform_store import ERA_HEADER, PlatformStore

__all__ = ["Entry", "StoreFleet"]

SILENCE_LIMIT_S = 3.0
TICK_S = 0.2
# A longer gap than this makes an entry distrust what it knows.
PAUSE_S = 1.0
STORE_DELAY_S = 0.005
LINK_DELAY_S = 0.002
NO_TOLERANCE = UsageTolerance(window_s=8.0, excess_fraction=0.1, slack_tokens=0.0)


class _NoDialer:
    """Dialer that opens no connection; the fleet opens the links."""

    def __init__(self, address: str, *_: object) -> None:
        self.address = address

    def close(self) -> None:
        return None


@attrs.define(eq=False)
class _StoreConnection:
    """An entry's connection to the store; an answer stays as it was made."""

    fleet: "StoreFleet"
    entry: "Entry"
    reusable: bool = True
    silent: bool = False
    request: str = ""
    events: list[object] = attrs.Factory(list)

    def send(self, method: str, path: str, headers: object, body: bytes) -> None:
        self.request = path
        self.events = []

    async def next_event(self) -> object:
        if not self.events:
            await self.exchange()
        return self.events.pop(0)

    async def exchange(self) -> None:
        entry, store = self.entry, self.fleet.store
        await asyncio.sleep(STORE_DELAY_S)
        if entry.store_silent or self.silent:
            await asyncio.sleep(3600)
        if store.away:
            self.events = [ConnectionFault(FaultKind.RESET)]
            return
        parts = urlsplit(self.request)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if entry.store_refuses:
            status, body, era, lost = 503, b"{}", store.era, False
        else:
            answer = await store.answer(parts.path, query, b"")
            status, body = answer.status, orjson.dumps(answer.body)
            era, lost = answer.era, answer.lost
        await asyncio.sleep(entry.transit_s)
        await entry.thawed.wait()
        if self.silent:
            await asyncio.sleep(3600)
        if lost:
            self.events = [ConnectionFault(FaultKind.RESET)]
            return
        headers = [(ERA_HEADER, str(era))] if store.announces_era else []
        response = h11.Response(status_code=status, headers=headers)
        self.events = [response, h11.Data(data=body), h11.EndOfMessage()]

    def start_next(self) -> None:
        return None

    def close(self) -> None:
        self.reusable = False


@attrs.define(eq=False)
class _Link:
    """One direction of a link; it delivers in order until it is closed."""

    fleet: "StoreFleet"
    peer: Hello
    receiver: "Entry"
    opened_at: float
    back: "_Link | None" = None
    open: bool = True
    delivered_at: float = 0.0
    is_receiving_long: bool = False

    def send(self, message: object) -> None:
        self.send_line(encode_message(message))

    def send_line(self, line: bytes) -> None:
        loop = self.fleet.loop
        self.delivered_at = max(self.delivered_at, loop.time() + LINK_DELAY_S)
        loop.call_at(self.delivered_at, self.deliver, line)

    def deliver(self, line: bytes) -> None:
        entry = self.receiver
        if not self.open or not entry.running:
            return
        if entry.frozen_at is not None:
            entry.inbox.append((self, line))
            return
        self.receive(line)

    def receive(self, line: bytes) -> None:
        peers = self.receiver.peers
        assert peers is not None and self.back is not None
        peers.receive(self.back, decode_message(line))
        self.receiver.check()

    def set_quiet(self, quiet: bool) -> None:
        return None


@attrs.define(eq=False)
class Entry:
    """An entry; ``number`` orders the addresses, ``cache`` is that of one lifetime."""

    fleet: "StoreFleet"
    number: int
    store_refuses: bool = False
    store_silent: bool = False
    transit_s: float = 0.0
    lifetime: int = 0
    frozen_at: float | None = None
    thawed: asyncio.Event = attrs.Factory(asyncio.Event)
    inbox: list[tuple[_Link, bytes]] = attrs.Factory(list)
    links: dict[int, _Link] = attrs.Factory(dict)
    cache: StateCache | None = None
    peers: Peers | None = None
    follower: StoreFollower | None = None
    ticking: asyncio.Task | None = None
    connections: list[_StoreConnection] = attrs.Factory(list)
    on_change: Callable[["Entry"], None] = lambda entry: None

    @property
    def running(self) -> bool:
        return self.cache is not None

    @property
    def hello(self) -> Hello:
        return Hello(
            name=f"entry-{self.number}",
            lifetime=str(self.lifetime),
            address=f"10.0.0.{self.number}:7601",
            zone="zone-a",
            orders_eras=True,
        )

    def start(self) -> None:
        """Begin a lifetime without a cache."""
        self.lifetime += 1
        self.thawed.set()
        self.cache = StateCache()
        if self.lifetime > 1:
            self.cache.await_peer()
        usage = UsageLedger(NO_TOLERANCE, True, time.monotonic())
        self.peers = Peers(
            self.hello,
            self.cache,
            usage,
            SharedRetryBudget(0.2, 50, 10),
            CrashGuard(self.hello.address, SlotClient(), Metrics()),
            LinkTicker(),
        )
        self.follower = StoreFollower(
            f"store-of:{self.number}",
            self.cache,
            random.Random(self.number),
            SILENCE_LIMIT_S,
            lambda: len(self.fleet.entries),
        )
        self.cache.on_configuration.append(self.check)
        self.cache.on_endpoints.append(self.check)
        self.peers.on_era = self.follower.probe_era
        self.follower.start()
        self.ticking = self.fleet.loop.create_task(self.tick())
        self.fleet.open_links()

    def kill(self) -> None:
        assert self.follower is not None and self.ticking is not None
        self.follower.close()
        self.ticking.cancel()
        self.cache = self.peers = self.follower = None
        self.inbox.clear()
        self.frozen_at = None
        for other in list(self.links):
            self.fleet.close_link(self.number, other)

    async def tick(self) -> None:
        while True:
            await self.thawed.wait()
            assert self.peers is not None and self.cache is not None
            self.peers.tick(time.monotonic())
            self.cache.expire_endpoints()
            self.cache.release_holds()
            self.check()
            await asyncio.sleep(TICK_S)

    def silence_connections(self) -> None:
        """Let the open connections to the store fall silent; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def freeze(self) -> None:
        self.frozen_at = time.monotonic()
        self.thawed.clear()
        self.fleet.loop.call_later(SILENCE_TIMEOUT_S, self.fall_silent, self.frozen_at)

    def fall_silent(self, frozen_at: float) -> None:
        """Let the peers close their links to an entry that is still frozen."""
        if self.frozen_at == frozen_at:
            for other in list(self.links):
                self.fleet.close_end(other, self.number)

    def thaw(self) -> None:
        """Go on; what has arrived meanwhile is read before the pause is noticed."""
        assert self.frozen_at is not None
        pause_s = time.monotonic() - self.frozen_at
        self.frozen_at = None
        self.thawed.set()
        inbox, self.inbox = self.inbox, []
        for link, line in inbox:
            link.receive(line)
        if pause_s > SILENCE_TIMEOUT_S:
            for other in list(self.links):
                self.fleet.close_link(self.number, other)
        if pause_s > PAUSE_S:
            assert self.cache and self.peers and self.follower
            self.cache.distrust()
            self.peers.tables.resumed_at = time.monotonic()
            self.follower.probe()
        self.fleet.open_links()

    def check(self) -> None:
        if self.running:
            self.on_change(self)


class StoreFleet:
    """Entries, their links and a store, with the clock of a virtual loop."""

    def __init__(self, store: PlatformStore, count: int) -> None:
        self.loop = VirtualLoop()
        self.patches = [
            unittest.mock.patch("time.monotonic", self.loop.time),
            unittest.mock.patch("acaciarelay.programs.relay_peers.Dialer", _NoDialer),
            unittest.mock.patch("acaciarelay.platform.store.connect", self.connect),
        ]
        self.store = store
        self.cuts: set[frozenset[int]] = set()
        self.entries = {n: Entry(self, n) for n in range(1, count + 1)}

    async def connect(self, address: str, *_: object) -> object:
        entry = self.entries[int(address.rpartition(":")[2])]
        await entry.thawed.wait()
        if self.store.away:
            await asyncio.sleep(STORE_DELAY_S)
            return Err(ConnectionFault(FaultKind.CONNECT))
        connection = _StoreConnection(self, entry)
        entry.connections.append(connection)
        return Ok(connection)

    def run(self, action: Callable[[], None] | None = None, wait_s: float = 0) -> None:
        """Run an action in the loop, and then what happens within a time."""

        async def act() -> None:
            if action is not None:
                action()
            await asyncio.sleep(wait_s)

        for patch in self.patches:
            patch.start()
        try:
            self.loop.run_until_complete(act())
        finally:
            for patch in self.patches:
                patch.stop()

    def open_links(self) -> None:
        """Open the links between entries that run and reach each other."""
        for low in self.entries.values():
            for high in self.entries.values():
                if low.number < high.number and self.reachable(low, high):
                    self.open_link(low, high)

    def reachable(self, low: Entry, high: Entry) -> bool:
        for entry in (low, high):
            if not entry.running or entry.frozen_at is not None:
                return False
        return frozenset((low.number, high.number)) not in self.cuts

    def open_link(self, low: Entry, high: Entry) -> None:
        if high.number in low.links:
            return
        assert low.peers is not None and high.peers is not None
        now = self.loop.time()
        there = _Link(self, high.hello, high, now)
        back = _Link(self, low.hello, low, now, there)
        there.back = back
        low.links[high.number], high.links[low.number] = there, back
        low.peers.add([high.hello.address])
        high.peers.add([low.hello.address])
        low.peers.dialled(there)
        high.peers.opened(back)

    def close_link(self, one: int, other: int) -> None:
        self.close_end(one, other)
        self.close_end(other, one)

    def close_end(self, own: int, peer: int) -> None:
        """Close the end of a link at one entry."""
        link = self.entries[own].links.pop(peer, None)
        if link is None:
            return
        link.open = False
        peers = self.entries[own].peers
        if peers is not None:
            peers.closed(link)

    def close(self) -> None:
        self.run(self.stop, 0.01)
        self.loop.close()

    def stop(self) -> None:
        for entry in self.entries.values():
            if entry.running:
                entry.kill()
        for task in asyncio.all_tasks(self.loop):
            if task is not asyncio.current_task():
                task.cancel()
