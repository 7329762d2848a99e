"""Statuses between entries: only changes, but everything on a new link."""

import asyncio
import itertools
import time

import orjson
import pytest
from relay_rig import configuration

from acaciarelay.coordination.row_senders import rounds_until_all_send
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.platform.store import StoreRow
from acaciarelay.programs.relay_peers import STORE_LEAD_S, Peers
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.protocol.link_messages import (
    Hello,
    PeerRows,
    PeerStatus,
    decode_message,
    encode_message,
)
from acaciarelay.state.routing import Organisation
from acaciarelay.transport.message_link import LinkTicker
from acaciarelay_standins.ports import free_port

WORKSHOP = Organisation(
    name="workshop",
    rank=None,
    by_tokens=True,
    default_cost_tokens=1,
    rate_per_s=1000.0,
    burst=1000.0,
)


def hello(number, incarnation="first"):
    return Hello(
        name=f"entry-{number}",
        lifetime=incarnation,
        address=f"10.0.0.{number}:7601",
        zone="zone-a",
    )


class FakeLink:
    """Link to one peer that records what is sent."""

    def __init__(self, peer):
        self.peer = peer
        self.opened_at = 0.0
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_line(self, line):
        self.sent.append(decode_message(line))


class FakeDialer:
    """Dialer of one peer that opens no connection."""

    def __init__(self, address, *_):
        self.address = address
        self.link = None

    def close(self):
        self.link = None


class Process:
    """One entry's peers, with a ledger and a cache of its own."""

    def __init__(self, number):
        self.ledger = UsageLedger(
            UsageTolerance(window_s=8.0, excess_fraction=0.1, slack_tokens=0.0),
            True,
            0.0,
        )
        self.cache = StateCache()
        self.peers = Peers(
            hello(number),
            self.cache,
            self.ledger,
            SharedRetryBudget(0.2, 50, 10),
            LinkTicker(),
        )

    def dial(self, number):
        """Add another entry as a peer and return an open link to it."""
        link = FakeLink(hello(number))
        self.peers.add([link.peer.address])
        self.peers.dialled(link)
        return link

    def admitted_by(self, number):
        return self.ledger._peers[hello(number).address].totals


@pytest.fixture
def pair(monkeypatch):
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    return Process(1), Process(2)


def statuses(link):
    return [message for message in link.sent if isinstance(message, PeerStatus)]


def test_a_status_omits_unchanged_values(pair):
    """Guards against full lists sent five times a second on every link."""
    first, _ = pair
    first.ledger.admit(WORKSHOP, 100, 1.0)
    link = first.dial(2)
    first.peers.tick(1.0)
    first.peers.tick(2.0)
    full, _, update = statuses(link)
    assert full.admitted == {"workshop": 100.0}
    assert full.peers
    assert (update.admitted, update.peers) == ({}, [])


def test_the_status_interval_grows_with_the_number_of_peers(pair):
    """Guards against traffic that grows with the square of the number of entries."""
    first, _ = pair
    link = first.dial(2)
    sent = {}
    start = time.monotonic()
    for count in (2, 30):
        for number in range(2, count + 1):
            first.peers.add([hello(number).address])
        link.sent.clear()
        for step in range(100):
            first.peers.tick(start + step * 0.05)
        sent[count] = len(statuses(link))
        start += 6.0
    assert sent[2] >= 24
    assert sent[30] <= sent[2] / 2


def test_one_status_serves_all_peers(pair, monkeypatch):
    """Guards against encoding the same status once for each peer."""
    first, _ = pair
    links = [first.dial(number) for number in range(2, 12)]
    encoded = []
    monkeypatch.setattr(
        "acaciarelay.programs.relay_peers.encode_message",
        lambda message: encoded.append(message) or encode_message(message),
    )
    first.peers.tick(5.0)
    assert len(encoded) == 1
    assert {len(statuses(link)) for link in links} == {2}


def test_a_receiver_keeps_omitted_values(pair):
    """Guards against an omitted total that counts as zero and so refills a bucket."""
    first, second = pair
    first.ledger.admit(WORKSHOP, 100, 1.0)
    link = first.dial(2)
    first.peers.tick(1.0)
    incoming = FakeLink(hello(1))
    for status in statuses(link):
        second.peers.receive(incoming, status)
    assert second.admitted_by(1) == {"workshop": 100.0}
    first.ledger.admit(WORKSHOP, 50, 1.1)
    first.peers.tick(2.0)
    second.peers.receive(incoming, statuses(link)[-1])
    assert second.admitted_by(1) == {"workshop": 150.0}


def test_a_new_link_gets_a_complete_status(pair):
    """Guards against a peer that lacks the values sent on a broken link."""
    first, second = pair
    first.ledger.admit(WORKSHOP, 100, 1.0)
    broken = first.dial(2)
    first.peers.closed(broken)
    again = first.dial(2)
    second.peers.receive(FakeLink(hello(1)), statuses(again)[0])
    assert second.admitted_by(1) == {"workshop": 100.0}


def stale_status(versions):
    return PeerStatus(
        running_s=1.0,
        versions=versions,
        wanted=["op"],
        peers=[],
        admitted={},
        demand={},
    )


def copies_sent(processes, monkeypatch, after_s):
    """Return how many entries send a new configuration after one stale status."""
    clock = [1000.0]
    monkeypatch.setattr(
        "acaciarelay.programs.relay_state_cache.time.monotonic", lambda: clock[0]
    )
    row = StoreRow(key="config", value=orjson.dumps(configuration(7)), version=7)
    sent = 0
    for process in processes:
        for other in range(len(processes)):
            process.dial(other)
        process.cache.apply_changes("op", [row], 7, False)
        link = FakeLink(hello(200))
        clock[0] += after_s
        process.peers.receive(link, stale_status({"op": 6}))
        clock[0] = 1000.0
        sent += sum(isinstance(message, PeerRows) for message in link.sent)
    return sent


def test_a_stale_peer_gets_few_copies(monkeypatch):
    """Guards against a large configuration sent by every entry at once."""
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    processes = [Process(number) for number in range(25)]
    assert copies_sent(processes, monkeypatch, 0.1) == 0
    assert 1 <= copies_sent(processes, monkeypatch, STORE_LEAD_S + 0.1) <= 8


def test_a_single_peer_sends_rows(monkeypatch):
    """Guards against a small group in which nobody sends the configuration."""
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    assert copies_sent([Process(1)], monkeypatch, STORE_LEAD_S + 0.1) == 1


def test_only_a_peer_without_newer_rows_confirms_the_cache(pair):
    """Guards against a restarted entry that trusts tables which a peer knows better."""
    first, _ = pair
    row = StoreRow(key="config", value=orjson.dumps(configuration(7)), version=7)
    first.cache.await_peer()
    first.cache.apply_changes("op", [row], 7, False)
    link = FakeLink(hello(2))
    first.peers.receive(link, stale_status({"op": 9}))
    assert not first.cache.trusted.is_set()
    first.peers.receive(link, stale_status({"op": 7}))
    assert first.cache.trusted.is_set()


def test_rows_known_to_one_entry_reach_a_stale_peer_within_a_bound(monkeypatch):
    """Guards against a peer that stays stale because others are to send its rows."""
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    processes = [Process(number) for number in range(40)]
    row = StoreRow(key="config", value=orjson.dumps(configuration(7)), version=7)
    for receiver in range(200, 230):
        knowing = processes[receiver % 40]
        for other in range(40):
            knowing.dial(other)
        knowing.cache.apply_changes("op", [row], 7, False)
        knowing.cache.tables["op"].changed_at -= STORE_LEAD_S
        link = FakeLink(hello(receiver))
        for _ in range(rounds_until_all_send(40) + 1):
            knowing.peers.receive(link, stale_status({"op": 6}))
        assert any(isinstance(message, PeerRows) for message in link.sent)


class LinkedProcesses:
    """Several entries' peers that are linked over loopback connections."""

    def __init__(self, count):
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
        process = Process(number)
        process.peers.hello = Hello(
            name=f"entry-{number}",
            lifetime=incarnation,
            address=self.address(number),
            zone="zone-a",
        )
        process.peers.server.hello = process.peers.hello
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

        def heard():
            for number, process in processes.processes.items():
                for other in processes.processes:
                    peer = process.ledger._peers.get(processes.address(other))
                    if other == number:
                        continue
                    if peer is None or peer.totals.get("workshop") != 10.0 * other:
                        return False
            return True

        await processes.until(heard)


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
