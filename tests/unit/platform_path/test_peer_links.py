"""Links between entries over real connections: one for each pair, and its repair."""

import asyncio
import itertools
import time

import pytest
from relay_rig import WORKSHOP
from test_relay_peers import Process

from acaciarelay.protocol.link_messages import Hello
from acaciarelay.transport.message_link import SILENCE_TIMEOUT_S
from acaciarelay_standins.ports import free_port


class LinkedProcesses:
    """Several entries' peers that are linked over loopback connections.

    They are in one zone, or in two by turns.
    """

    def __init__(self, count, zones=1):
        self.zones = zones
        self.port = free_port()
        self.processes = {}
        self.numbers = range(1, count + 1)

    def address(self, number):
        return f"127.0.9.{number}:{self.port}"

    async def __aenter__(self):
        for number in self.numbers:
            await self.start(number)
        return self

    async def __aexit__(self, *_):
        for number in list(self.processes):
            self.stop(number)
        await asyncio.sleep(0.05)

    async def start(self, number, incarnation="first"):
        own_hello = Hello(
            name=f"entry-{number}",
            lifetime=incarnation,
            address=self.address(number),
            zone=f"zone-{number % self.zones}",
            gathers_usage=True,
        )
        process = Process(number, own_hello)
        await process.peers.listen(f"127.0.9.{number}", self.port)
        process.peers.add([self.address(1), self.address(2)])
        self.processes[number] = process

    def stop(self, number):
        """End a process: its connections break and it accepts no further ones."""
        peers = self.processes.pop(number).peers
        peers.close()
        for peer in peers.peers.values():
            peer.dialer = DoneDialer()
            if peer.link is not None:
                peer.link.close()

    def links(self, number):
        """Return the address pairs of the links that a process sends over."""
        pairs = {}
        for address, peer in self.processes[number].peers.peers.items():
            if peer.link is None or peer.link.transport.is_closing():
                continue
            transport = peer.link.transport
            ends = (
                transport.get_extra_info("sockname"),
                transport.get_extra_info("peername"),
            )
            pairs[address] = frozenset(ends)
        return pairs

    def meshed(self):
        """Return whether each pair shares one connection for both directions."""
        for first, second in itertools.combinations(self.processes, 2):
            one = self.links(first).get(self.address(second))
            other = self.links(second).get(self.address(first))
            if one is None or one != other:
                return False
        return all(
            peer.dialer is None or address > process.peers.hello.address
            for process in self.processes.values()
            for address, peer in process.peers.peers.items()
        )

    def usage_is_known(self):
        """Return whether each process knows that each other admitted ten its number."""
        for number, process in self.processes.items():
            for other in self.processes:
                peer = process.ledger._peers.get(self.address(other))
                if other == number:
                    continue
                if peer is None or peer.totals.get("workshop") != 10.0 * other:
                    return False
        return True

    async def until(self, condition, seconds=5.0):
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "not reached in time"
            for process in self.processes.values():
                process.peers.tick(time.monotonic())
            await asyncio.sleep(0.05)


class DoneDialer:
    """Dialer of a process that ended."""

    def close(self):
        return None


async def test_each_pair_of_entries_keeps_one_link():
    """Guards against two links a pair, whose heartbeats cost more than the statuses."""
    async with LinkedProcesses(5) as processes:
        await processes.until(processes.meshed)


async def test_statuses_flow_both_ways_over_the_one_link():
    """Guards against a peer whose usage is not heard after its own link was closed."""
    async with LinkedProcesses(3) as processes:
        await processes.until(processes.meshed)
        for number, process in processes.processes.items():
            process.ledger.admit(WORKSHOP, 10 * number, time.monotonic())
        await processes.until(processes.usage_is_known)


async def test_usage_flows_between_zones_over_links_that_stay_quiet():
    """Guards against links between zones that are closed for their silence."""
    async with LinkedProcesses(26, zones=2) as processes:
        await processes.until(processes.meshed)
        links = {number: processes.links(number) for number in processes.numbers}
        quiet_until = time.monotonic() + SILENCE_TIMEOUT_S + 1.0
        await processes.until(lambda: time.monotonic() > quiet_until)
        for number, process in processes.processes.items():
            process.ledger.admit(WORKSHOP, 10 * number, time.monotonic())
        await processes.until(processes.usage_is_known, 3.0)
        assert links == {n: processes.links(n) for n in processes.numbers}


@pytest.mark.parametrize("number", [1, 2, 3])
async def test_a_restarted_entry_is_linked_again(number):
    """Guards against a pair that waits for each other to dial."""
    async with LinkedProcesses(3) as processes:
        await processes.until(processes.meshed)
        processes.stop(number)
        await processes.until(
            lambda: all(
                processes.address(number) not in processes.links(other)
                for other in processes.processes
            )
        )
        await processes.start(number, "second")
        await processes.until(processes.meshed)


async def test_a_cut_link_is_replaced():
    """Guards against a pair without a link after their connection broke."""
    async with LinkedProcesses(2) as processes:
        await processes.until(processes.meshed)
        (peer,) = processes.processes[2].peers.peers.values()
        before = peer.link
        before.close()
        await processes.until(lambda: peer.link not in (None, before))
        await processes.until(processes.meshed)
