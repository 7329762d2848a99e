"""Usage gathered by zone: known everywhere in time, with few messages between."""

import attrs
import pytest
from relay_rig import WORKSHOP
from test_relay_peers import FakeDialer

from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.programs.zone_usage import COMPLETE_ROUNDS, ZONE_SILENCE_S
from acaciarelay.protocol.link_messages import (
    Hello,
    ZoneUsage,
    decode_message,
    encode_message,
)
from acaciarelay.transport.message_link import LinkTicker

STEP_S = 0.05
ZONES = ("north", "west", "south")
# A message of an entry, one of its speaker, and the times of the ticks.
KNOWN_WITHIN_S = 1.5
# A silent speaker is noticed by its link, as every silent peer.
LINK_SILENCE_S = 1.6


@attrs.define(eq=False)
class Link:
    """One end of a connection in the simulated network."""

    peer: Hello
    network: "Network"
    own: str
    opened_at: float = 0.0
    is_receiving_long: bool = False

    def send(self, message):
        self.send_line(encode_message(message))

    def send_line(self, line):
        self.network.deliver(self.own, self.peer.address, line)

    def set_quiet(self, quiet):
        return None


class Network:
    """Entries of three zones that are all linked, with a simulated clock."""

    def __init__(self, count, monkeypatch, gathers=True):
        self.now = 1000.0
        monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
        monkeypatch.setattr(
            "acaciarelay.programs.relay_peers.time.monotonic", lambda: self.now
        )
        self.gathers = gathers
        self.members = {}
        self.zones = {}
        # Entries that run no more, or do not run for a time; and the cut zone.
        self.stopped = set()
        self.cut_zone = None
        self.far_bytes = 0
        self.messages = []
        for number in range(count):
            self.start(number)
        for one in self.members:
            for other in self.members:
                if one != other:
                    self.link(one, other)

    def start(self, number):
        zone = ZONES[number % len(ZONES)]
        hello = Hello(
            name=f"entry-{number}",
            lifetime="first",
            address=f"10.0.0.{number}:7601",
            zone=zone,
            gathers_usage=self.gathers,
        )
        tolerance = UsageTolerance(
            window_s=8.0, excess_fraction=0.1, slack_tokens=72_000.0
        )
        ledger = UsageLedger(tolerance, True, self.now)
        budget = SharedRetryBudget(0.2, 50, 10)
        crashes = CrashGuard(hello.address, SlotClient(), Metrics())
        peers = Peers(hello, StateCache(), ledger, budget, crashes, LinkTicker())
        self.members[hello.address] = peers
        self.zones[hello.address] = zone

    def link(self, own, other):
        peers = self.members[own]
        peers.add([other])
        peers.dialled(Link(self.members[other].hello, self, own))

    def deliver(self, sender, receiver, line):
        far = self.zones[sender] != self.zones[receiver]
        if far:
            self.far_bytes += len(line)
        if sender in self.stopped or receiver in self.stopped:
            return
        if far and self.cut_zone in (self.zones[sender], self.zones[receiver]):
            return
        message = decode_message(line)
        self.messages.append((sender, receiver, message))
        link = Link(self.members[sender].hello, self, receiver)
        self.members[receiver].receive(link, message)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for address, peers in self.members.items():
                for table in TABLES:
                    peers.cache.mark_current(table)
                if address not in self.stopped:
                    peers.tick(self.now)

    def close_links(self, address):
        """Close what leads to an entry, as its silence does after a while."""
        for other, peers in self.members.items():
            link = peers.peers[address].link if other != address else None
            if link is not None:
                peers.closed(link)

    def admit(self, address, tokens):
        assert self.members[address].usage.admit(WORKSHOP, tokens, self.now) == 0

    def knowing(self, address, tokens):
        """Return the running entries that know what an entry admitted."""
        found = set()
        for other, peers in self.members.items():
            peer = peers.usage._peers.get(address)
            if other == address or other in self.stopped or peer is None:
                continue
            if peer.totals.get("workshop") == tokens:
                found.add(other)
        return found

    def others(self, address):
        return self.members.keys() - {address} - self.stopped

    def speakers(self):
        """Return the entries that sent a message about their zone."""
        return {
            sender
            for sender, _, message in self.messages
            if isinstance(message, ZoneUsage) and not message.forwarded
        }


@pytest.mark.parametrize("count", [6, 25, 36])
def test_usage_is_known_everywhere_in_time(count, monkeypatch):
    """Guards against limits that the entries of other zones do not count."""
    network = Network(count, monkeypatch)
    network.run(1.0)
    for number, address in enumerate(network.members):
        network.admit(address, 100 + number)
    network.run(KNOWN_WITHIN_S)
    for number, address in enumerate(network.members):
        assert network.knowing(address, 100 + number) == network.others(address)


def test_few_bytes_cross_zones(monkeypatch):
    """Guards against statuses of each entry to each one of the other zones."""
    sent = {}
    for gathers in (True, False):
        network = Network(69, monkeypatch, gathers)
        network.run(1.0)
        network.far_bytes = 0
        for _ in range(12):
            for address in network.members:
                network.admit(address, 1)
            network.run(0.5)
        sent[gathers] = network.far_bytes
    assert sent[True] < sent[False] / 5, sent


def test_another_entry_speaks_when_the_speaker_is_gone(monkeypatch):
    """Guards against a zone that is not heard of once its speaker has stopped."""
    network = Network(36, monkeypatch)
    network.run(1.0)
    north = {a for a, zone in network.zones.items() if zone == "north"}
    network.stopped = network.speakers() & north
    network.run(LINK_SILENCE_S)
    for address in network.stopped:
        network.close_links(address)
    address = min(north - network.stopped)
    network.admit(address, 500)
    network.run(KNOWN_WITHIN_S)
    assert network.knowing(address, 500) == network.others(address)


def test_a_frozen_receiver_does_not_keep_usage_from_its_zone(monkeypatch):
    """Guards against a zone that hears nothing as one entry there does not run."""
    network = Network(36, monkeypatch)
    network.run(1.0)
    receivers = {
        receiver
        for _, receiver, message in network.messages
        if isinstance(message, ZoneUsage) and not message.forwarded
    }
    receiver = min(receivers - network.speakers())
    network.stopped = {receiver}
    address = min(network.others(receiver) - network.speakers())
    network.admit(address, 500)
    network.run(KNOWN_WITHIN_S)
    assert network.knowing(address, 500) == network.others(address)


def test_a_silent_zone_counts_as_lost_and_is_not_charged_later(monkeypatch):
    """Guards against both sides of a cut that refill a limit at its full rate."""
    network = Network(36, monkeypatch)
    address, *_ = network.members
    far = next(a for a, zone in network.zones.items() if zone == "west")
    network.run(1.0)
    for each in (address, far):
        network.admit(each, 10)
    network.run(KNOWN_WITHIN_S)
    network.cut_zone = "north"
    network.run(ZONE_SILENCE_S + 0.5)
    ledger = network.members[address].usage
    assert ledger.reachable_share(network.now) == pytest.approx(12 / 36)
    network.admit(far, 700)
    network.run(1.0)
    before = ledger._buckets["workshop"].level
    network.cut_zone = None
    network.run(COMPLETE_ROUNDS * ledger.message_interval_s + KNOWN_WITHIN_S)
    assert address in network.knowing(far, 710)
    assert ledger.reachable_share(network.now) == 1.0
    assert ledger._buckets["workshop"].level >= before


def test_changes_that_a_new_speaker_missed_reach_the_other_zones(monkeypatch):
    """Guards against totals that stay unknown since they no longer change."""
    network = Network(36, monkeypatch)
    network.run(1.0)
    address = min(network.members.keys() - network.speakers())
    network.admit(address, 500)
    gone = network.speakers() & {
        a for a, zone in network.zones.items() if zone == network.zones[address]
    }
    network.stopped = set(gone)
    network.run(LINK_SILENCE_S)
    for each in gone:
        network.close_links(each)
    network.run(KNOWN_WITHIN_S)
    assert network.knowing(address, 500) == network.others(address)


def test_an_older_process_still_gets_statuses(monkeypatch):
    """Guards against a rolling upgrade in which old entries hear no usage."""
    network = Network(27, monkeypatch)
    old = min(network.members)
    hello = attrs.evolve(network.members[old].hello, gathers_usage=False)
    for other, peers in network.members.items():
        if other != old:
            peers.peers[old].link.peer = hello
    network.run(1.0)
    other = next(a for a, r in network.zones.items() if r != network.zones[old])
    network.admit(other, 300)
    network.run(KNOWN_WITHIN_S)
    assert old in network.knowing(other, 300)
