"""Statuses between entries: only changes, but everything on a new link."""

import time

import attrs
import orjson
import pytest
from relay_rig import WORKSHOP, age_changes, configuration

from acaciarelay.coordination.row_senders import rounds_until_all_send
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.table_exchange import STORE_LEAD_S
from acaciarelay.protocol.link_messages import (
    Hello,
    PeerRows,
    PeerStatus,
    RolloutPermission,
    decode_message,
    encode_message,
)
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.store_era import StoreVersion
from acaciarelay.transport.message_link import LinkTicker


def hello(number, incarnation="first", orders_eras=True):
    return Hello(
        name=f"entry-{number}",
        lifetime=incarnation,
        address=f"10.0.0.{number}:7601",
        zone="zone-a",
        orders_eras=orders_eras,
    )


class FakeLink:
    """Link to one peer that records what is sent."""

    is_receiving_long = False

    def __init__(self, peer):
        self.peer = peer
        self.opened_at = 0.0
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_line(self, line):
        self.sent.append(decode_message(line))

    def set_quiet(self, quiet):
        return None


class FakeDialer:
    """Dialer of one peer that opens no connection."""

    def __init__(self, address, *_):
        self.address = address
        self.link = None

    def close(self):
        self.link = None


class Process:
    """One entry's peers, with a ledger and a cache of its own."""

    def __init__(self, number, own_hello=None):
        self.ledger = UsageLedger(
            UsageTolerance(window_s=8.0, excess_fraction=0.1, slack_tokens=0.0),
            True,
            0.0,
        )
        self.cache = StateCache()
        self.peers = Peers(
            own_hello or hello(number),
            self.cache,
            self.ledger,
            SharedRetryBudget(0.2, 50, 10),
            CrashGuard(f"10.0.0.{number}:7601", SlotClient(), Metrics()),
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


def known_after(peers, silent_s):
    """Return the number of peers that are counted after a silence."""
    peers.tick(time.monotonic() + silent_s)
    return peers.usage.known_peer_count


def test_a_silent_peer_is_counted_for_hours(pair):
    """Guards against each side of a partition taking itself for the only one."""
    first, _ = pair
    first.peers.closed(first.dial(2))
    first.peers.add([hello(3).address])
    assert known_after(first.peers, 3_600.0) == 2
    assert known_after(first.peers, 5 * 3_600.0) == 0


def test_a_peer_that_announced_its_end_is_removed(pair):
    """Guards against a share of the limits that stays unused after a planned stop."""
    first, second = pair
    link = second.dial(1)
    second.peers.announce_leaving()
    incoming = first.dial(2)
    first.peers.receive(incoming, statuses(link)[-1])
    first.peers.closed(incoming)
    assert known_after(first.peers, 20.0) == 1
    assert known_after(first.peers, 60.0) == 0


def test_a_peer_that_returns_after_its_end_is_counted_again(pair):
    """Guards against the share of a restarted process, used while it is cut off."""
    first, second = pair
    link = second.dial(1)
    second.peers.announce_leaving()
    incoming = first.dial(2)
    first.peers.receive(incoming, statuses(link)[-1])
    first.peers.closed(incoming)
    first.peers.closed(first.dial(2))
    assert known_after(first.peers, 60.0) == 1


def test_a_seed_that_the_operator_removed_is_not_counted(pair):
    """Guards against a share kept for a machine that was replaced without a stop."""
    first, _ = pair
    first.peers.closed(first.dial(2))
    first.peers.mark_left([hello(2).address, "10.0.0.9:7601"])
    assert known_after(first.peers, 60.0) == 0


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
    row = StoreRow(
        key="config", value=orjson.dumps(configuration(7)), version=StoreVersion(0, 7)
    )
    sent = 0
    for process in processes:
        for other in range(len(processes)):
            process.dial(other)
        process.cache.apply_changes("op", [row], StoreVersion(0, 7), False)
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
    row = StoreRow(
        key="config", value=orjson.dumps(configuration(7)), version=StoreVersion(0, 7)
    )
    first.cache.await_peer()
    first.cache.apply_changes("op", [row], StoreVersion(0, 7), False)
    link = FakeLink(hello(2))
    first.peers.receive(link, stale_status({"op": 9}))
    assert not first.cache.trusted.is_set()
    first.peers.receive(link, stale_status({"op": 7}))
    assert first.cache.trusted.is_set()


def test_rows_known_to_one_entry_reach_a_stale_peer_within_a_bound(monkeypatch):
    """Guards against a peer that stays stale because others are to send its rows."""
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    processes = [Process(number) for number in range(40)]
    row = StoreRow(
        key="config", value=orjson.dumps(configuration(7)), version=StoreVersion(0, 7)
    )
    for receiver in range(200, 230):
        knowing = processes[receiver % 40]
        for other in range(40):
            knowing.dial(other)
        knowing.cache.apply_changes("op", [row], StoreVersion(0, 7), False)
        age_changes(knowing.cache, "op", STORE_LEAD_S)
        link = FakeLink(hello(receiver))
        for _ in range(rounds_until_all_send(40) + 1):
            knowing.peers.receive(link, stale_status({"op": 6}))
        assert any(isinstance(message, PeerRows) for message in link.sent)


def test_a_storm_of_changes_keeps_no_rows_from_a_stale_peer(monkeypatch):
    """Guards against changes that nobody passes on while further ones follow."""
    clock = [1000.0]
    monkeypatch.setattr(
        "acaciarelay.programs.relay_state_cache.time.monotonic", lambda: clock[0]
    )
    process = Process(1)
    link = FakeLink(hello(2))
    for number in range(1, 21):
        value = orjson.dumps(configuration(number))
        row = StoreRow(key="config", value=value, version=StoreVersion(0, number))
        process.cache.apply_changes("op", [row], StoreVersion(0, number), False)
        process.peers.receive(link, stale_status({"op": 0}))
        clock[0] += STORE_LEAD_S / 2
    sent = [message for message in link.sent if isinstance(message, PeerRows)]
    # 20 changes follow each other for 4 s.
    assert len(sent) >= 3


def test_a_peer_that_keeps_up_with_a_storm_gets_few_copies(monkeypatch):
    """Guards against a peer to which all entries send each change of a storm."""
    monkeypatch.setattr("acaciarelay.programs.relay_peers.Dialer", FakeDialer)
    clock = [1000.0]
    monkeypatch.setattr(
        "acaciarelay.programs.relay_state_cache.time.monotonic", lambda: clock[0]
    )
    copies = 0
    for index in range(25):
        process = Process(index)
        for other in range(25):
            process.dial(other)
        link = FakeLink(hello(200))
        for number in range(1, 21):
            value = orjson.dumps(configuration(number))
            row = StoreRow(key="config", value=value, version=StoreVersion(0, number))
            process.cache.apply_changes("op", [row], StoreVersion(0, number), False)
            process.peers.receive(link, stale_status({"op": number - 4}))
            clock[0] += STORE_LEAD_S / 2
        copies += sum(isinstance(message, PeerRows) for message in link.sent)
    # The first change of a series comes from three entries, further ones from one.
    assert 1 <= copies <= 3 + 20


def test_no_configuration_is_wanted_while_a_long_message_comes(pair):
    """Guards against a slow link that copies of one configuration fill."""
    first, _ = pair
    link = first.dial(2)
    assert "op" in first.peers.tables.wanted()
    link.is_receiving_long = True
    assert "op" not in first.peers.tables.wanted()
    assert "servers" in first.peers.tables.wanted()


def test_no_configuration_is_wanted_while_the_store_tells_it(pair):
    """Guards against copies of what an entry reads itself."""
    first, _ = pair
    first.cache.mark_read("op")
    assert "op" not in first.peers.tables.wanted()


def test_rows_are_sent_once_over_a_link(monkeypatch):
    """Guards against a long row that is sent again while it is on its way."""
    clock = [1000.0]
    monkeypatch.setattr(
        "acaciarelay.programs.relay_state_cache.time.monotonic", lambda: clock[0]
    )
    process = Process(1)
    value = orjson.dumps(configuration(7))
    row = StoreRow(key="config", value=value, version=StoreVersion(0, 7))
    process.cache.apply_changes("op", [row], StoreVersion(0, 7), False)
    link = FakeLink(hello(2))
    for _ in range(5):
        clock[0] += STORE_LEAD_S
        process.peers.receive(link, stale_status({"op": 6}))
    assert sum(isinstance(message, PeerRows) for message in link.sent) == 1


def test_messages_of_rollouts_go_to_entries_that_take_part(pair):
    """Guards against a message that an older process closes the link for."""
    first, _ = pair
    links = {}
    for number, rolls_out in ((2, True), (3, False), (4, True)):
        links[number] = FakeLink(attrs.evolve(hello(number), rolls_out=rolls_out))
        first.peers.add([links[number].peer.address])
        first.peers.dialled(links[number])
    message = RolloutPermission(
        service="orders", era=1, order=7, epoch=1, phase=1, state="running", age_s=0.0
    )
    first.peers.send_rollout(message)
    first.peers.send_rollout(message, [hello(3).address, hello(4).address])
    counts = {number: link.sent.count(message) for number, link in links.items()}
    assert counts == {2: 1, 3: 0, 4: 2}
    received = []
    first.peers.on_rollout = lambda peer, item: received.append((peer.address, item))
    first.peers.receive(links[2], message)
    assert received == [(hello(2).address, message)]
