"""Test rig: entries that request and grant slots over real links, without agents."""

import asyncio
import time
from collections.abc import Callable

from test_peer_links import DoneDialer
from test_relay_peers import Process

from acaciarelay.coordination.slot_client import EngineSlot, SlotClient, SlotDenied
from acaciarelay.programs.entry_granters import EntryGranters
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import Hello, SlotRequest
from acaciarelay.state.endpoints import Endpoint
from acaciarelay_standins.ports import free_port

__all__ = ["SLOTS", "GranterFleet", "GrantingEntry", "engine"]

SLOTS = 2
REGIONS = {"zone-a": "region-a", "zone-b": "region-b"}


def engine(host: str, zone: str = "zone-a") -> Endpoint:
    """Build the registration of an engine that answers no calls."""
    return Endpoint(
        endpoint_id=f"i-{host}",
        service="engine",
        address=f"{host}:1",
        zone=zone,
        slots=SLOTS,
        draining=False,
        started_ms=0,
    )


class GrantingEntry:
    """One entry: its peers, its slot client and its granters."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.process = Process(1, hello)
        self.peers = self.process.peers
        self.client = SlotClient()
        self.metrics = Metrics()
        self.granters = EntryGranters(
            hello, REGIONS, self.client, self.peers, self.metrics
        )

    def granter_of(self, host: str) -> str:
        chosen = self.granters.chosen.get(host)
        return chosen.address if chosen is not None else ""

    async def acquire(
        self, host: str, name: str, rank: int = 1, wait_s: float = 1.0
    ) -> EngineSlot | SlotDenied:
        """Request a slot of one engine."""
        slot_request = SlotRequest(
            request=name,
            organisation="workshop",
            rank=rank,
            late=False,
            wait_s=wait_s,
            time_left_s=10.0,
            prompt_tokens=100,
            output_tokens=10,
            slots=SLOTS,
            asked=1,
        )
        agent = self.client.agents[host]
        return await self.client.acquire([agent], slot_request, wait_s)

    def freeze(self) -> None:
        """Neither read nor send, as a process that gets no processor time."""
        for link in self.peers.ticker.links:
            link.data_received = lambda data: None  # type: ignore[method-assign]
            link.send_line = lambda line: None  # type: ignore[method-assign]

    def stop(self) -> None:
        self.peers.close()
        self.granters.close()
        for peer in list(self.peers.peers.values()):
            if peer.dialer is not None:
                peer.dialer.close()
            if peer.link is not None:
                peer.link.close()
            peer.dialer = DoneDialer()  # type: ignore[assignment]


class GranterFleet:
    """Several entries in one loop, as an asynchronous context manager."""

    def __init__(self, count: int) -> None:
        self.port = free_port()
        self.count = count
        self.entries: dict[str, GrantingEntry] = {}

    def address(self, number: int) -> str:
        return f"127.0.8.{number}:{self.port}"

    async def __aenter__(self) -> "GranterFleet":
        for number in range(1, self.count + 1):
            await self.start(number)
        await self.until(self.is_meshed)
        return self

    def is_meshed(self) -> bool:
        """Return whether each pair shares the link that it will keep."""
        for entry in self.entries.values():
            if len(entry.granters.granting_links()) != self.count - 1:
                return False
            for address, peer in entry.peers.peers.items():
                if peer.dialer is not None and address < entry.hello.address:
                    return False
        return True

    async def __aexit__(self, *_: object) -> None:
        for address in list(self.entries):
            self.stop(address)
        await asyncio.sleep(0.05)

    async def start(self, number: int) -> GrantingEntry:
        address = self.address(number)
        hello = Hello(
            name=f"entry-{number}",
            lifetime="first",
            address=address,
            zone="zone-a",
            gathers_usage=True,
            grants_slots=True,
        )
        entry = GrantingEntry(hello)
        await entry.peers.listen(address.partition(":")[0], self.port)
        entry.peers.add([self.address(other) for other in range(1, self.count + 1)])
        self.entries[address] = entry
        return entry

    def stop(self, address: str) -> None:
        self.entries.pop(address).stop()

    def register(self, *hosts: str) -> None:
        """Register engines whose agents nobody reaches, and wait no longer for them."""
        for entry in self.entries.values():
            long_ago = time.monotonic() - 60.0
            entry.granters.update_engines({h: engine(h) for h in hosts}, long_ago)
            entry.granters.choose("absent")

    def granter(self, host: str) -> GrantingEntry:
        """Return the entry that all others have chosen."""
        addresses = {entry.granter_of(host) for entry in self.entries.values()}
        assert len(addresses) == 1, addresses
        return self.entries[addresses.pop()]

    def is_decided(self, host: str) -> bool:
        """Return whether all entries have chosen one granter that is alive."""
        addresses = {entry.granter_of(host) for entry in self.entries.values()}
        return len(addresses) == 1 and addresses <= self.entries.keys()

    def others(self, entry: GrantingEntry) -> list[GrantingEntry]:
        return [other for other in self.entries.values() if other is not entry]

    async def until(self, condition: Callable[[], bool], seconds: float = 5.0) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "not reached in time"
            for entry in self.entries.values():
                entry.peers.tick(time.monotonic())
                entry.granters.tick()
            await asyncio.sleep(0.02)
