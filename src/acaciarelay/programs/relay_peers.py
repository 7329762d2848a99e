"""Links between entries: exchange of usage, demand, addresses and store rows."""

import math
import time
from collections.abc import Callable, Collection

import attrs

from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.peer_status import StatusBuilder, StatusFields
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.table_exchange import TableExchange
from acaciarelay.programs.zone_usage import ZoneUsageExchange
from acaciarelay.protocol.link_messages import (
    CrashReport,
    EntryUsage,
    Hello,
    LinkMessage,
    PeerRows,
    PeerStatus,
    RolloutCounts,
    RolloutPermission,
    SlotMessage,
    StreamMessage,
    TableVersions,
    ZoneUsage,
    encode_message,
)
from acaciarelay.transport.message_link import (
    SLOW_HEARTBEAT_INTERVAL_S,
    Dialer,
    LinkHandlers,
    LinkServer,
    LinkTicker,
    MessageLink,
)

__all__ = ["Peers"]

# Time after which a lost peer that announced its end is removed.
REMOVE_PEER_S = 30.0
# The same for others, which may use their shares behind a partition of up to an hour.
REMOVE_SILENT_PEER_S = 4 * 3600.0
# Fraction of the status interval after which a status is due: ticks come at fixed
# times, so one just before the interval ends must count.
DUE_FRACTION = 0.9


@attrs.define(eq=False)
class _Peer:
    """A peer, and the open link over which it gets statuses.

    ``dialer`` is ``None`` while the peer's own link serves both directions.
    ``has_left`` is true when the peer announced its end or the operator removed it.
    """

    dialer: Dialer | None
    reachable_at: float
    link: MessageLink | None = None
    has_left: bool = False


class Peers:
    """Keep links to all other entries, send statuses, and send rows to stale peers."""

    def __init__(
        self,
        hello: Hello,
        cache: StateCache,
        usage: UsageLedger,
        retry_budget: SharedRetryBudget,
        crashes: CrashGuard,
        ticker: LinkTicker,
    ) -> None:
        self.hello = hello
        self.zones = ZoneUsageExchange(hello, usage)
        self.tables = TableExchange(hello.address, cache, self.links)
        self.ticker = ticker
        self.cache = cache
        self.usage = usage
        self.retry_budget = retry_budget
        self.crashes = crashes
        self.peers: dict[str, _Peer] = {}
        # Called with the newest era of the store that a peer knows.
        self.on_era: Callable[[int], None] = lambda era: None
        # Called with the messages about rollouts, and who sent them.
        self.on_rollout: Callable[[Hello, RolloutCounts | RolloutPermission], None] = (
            lambda peer, message: None
        )
        # Called with a link that is used from now on, with one that has closed, and
        # with each message about the slots of an engine.
        self.on_link_used: Callable[[MessageLink], None] = lambda link: None
        self.on_link_closed: Callable[[MessageLink], None] = lambda link: None
        self.on_slot_message: Callable[[MessageLink, SlotMessage], None]
        self.on_slot_message = lambda link, message: None
        # Called with each message about streams that are resumed.
        self.on_stream_message: Callable[[MessageLink, StreamMessage], None]
        self.on_stream_message = lambda link, message: None
        self.own_status = StatusBuilder(hello, cache, usage, self.tables)
        self.sent = StatusFields()
        self.sent_at = -math.inf
        self.server = LinkServer(
            hello,
            LinkHandlers(
                on_open=self.opened, on_message=self.receive, on_close=self.closed
            ),
            ticker,
            SLOW_HEARTBEAT_INTERVAL_S,
        )

    async def listen(self, host: str, port: int) -> None:
        """Accept links; raises ``OSError`` when the address can't be bound."""
        await self.server.listen(host, port)

    def add(self, addresses: list[str]) -> None:
        """Add the peers that are not known yet, and dial them."""
        for address in addresses:
            if address == self.hello.address or address in self.peers:
                continue
            self.peers[address] = _Peer(self.dial(address), time.monotonic())
            log_event("peer_learned", peer=address)
        self.update_process_count()

    def dial(self, address: str) -> Dialer:
        return Dialer(
            address,
            self.hello,
            LinkHandlers(
                on_open=self.dialled, on_message=self.receive, on_close=self.closed
            ),
            self.ticker,
        )

    def update_process_count(self) -> None:
        known = len(self.peers)
        self.usage.known_peer_count = known
        self.retry_budget.process_count = known + 1

    def addresses(self) -> list[str]:
        """Return the addresses of peers that are reachable."""
        return [key for key, peer in self.peers.items() if peer.link is not None]

    def links(self) -> list[MessageLink]:
        """Return the links to peers that are reachable."""
        return [peer.link for peer in self.peers.values() if peer.link is not None]

    def links_with_hello(self) -> list[tuple[MessageLink, Hello]]:
        """Return the links to peers that are reachable, each with the peer's hello."""
        return [(link, link.peer) for link in self.links() if link.peer is not None]

    def opened(self, link: MessageLink) -> None:
        """Use a link that a peer dialled if it is the one to keep, or the only one.

        Of two links between a pair, the one that the lower address dialled is kept.
        """
        assert link.peer is not None
        address = link.peer.address
        self.add([address])
        peer = self.peers.get(address)
        if peer is None:
            return
        keep = address < self.hello.address
        if keep or peer.link is None:
            self.use(peer, link)
        if keep and peer.dialer is not None:
            peer.dialer.close()
            peer.dialer = None

    def dialled(self, link: MessageLink) -> None:
        assert link.peer is not None
        peer = self.peers.get(link.peer.address)
        if peer is not None and peer.dialer is not None:
            self.use(peer, link)

    def use(self, peer: _Peer, link: MessageLink) -> None:
        """Send statuses to a peer over this link from now on."""
        assert link.peer is not None
        peer.link = link
        peer.has_left = False
        peer.reachable_at = time.monotonic()
        log_event("peer_regained", peer=link.peer.address, lifetime=link.peer.lifetime)
        link.send(self.status(StatusFields()))
        self.on_link_used(link)
        if not link.peer.digests_parts:
            return
        report = self.crashes.report_to_new_peer(link.peer.address, peer.reachable_at)
        if report is not None:
            link.send(report)

    def closed(self, link: MessageLink) -> None:
        self.lose(link)
        self.on_link_closed(link)

    def lose(self, link: MessageLink) -> None:
        """Dial a peer again if this was the link to it."""
        assert link.peer is not None
        self.tables.forget(link)
        address = link.peer.address
        peer = self.peers.get(address)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        if peer.dialer is None:
            peer.dialer = self.dial(address)
        log_event("peer_lost", peer=address)
        self.zones.lose(address, time.monotonic())

    def tick(self, now: float) -> None:
        """Send all peers a status with what changed here, if one is due."""
        self.send_crashes(now)
        gathered = self.gathered_links()
        near = self.near_links()
        interval_s = self.usage.message_interval_s
        if gathered:
            # Gathered usage takes two intervals to its receivers.
            interval_s /= 2
        if now - self.sent_at < interval_s * DUE_FRACTION:
            return
        self.sent_at = now
        # All peers got the same statuses before, so one encoded status serves them all.
        status = self.status(self.sent)
        self.sent = self.own_status.fields(self.live_addresses(), now)
        line = encode_message(status)
        gathered_set = set(gathered)
        for address, peer in list(self.peers.items()):
            if peer.link is None:
                self.remove_if_lost(address, peer, now)
                continue
            peer.reachable_at = now
            is_gathered = peer.link in gathered_set
            peer.link.set_quiet(is_gathered)
            if not is_gathered:
                peer.link.send_line(line)
        self.send_tables(gathered, now)
        self.send_zones(gathered, near, now)
        self.update_process_count()

    def send_crashes(self, now: float) -> None:
        """Send all peers what they have to learn of crashes of engines."""
        self.crashes.entries = self.live_addresses()
        report = self.crashes.report_to_peers(now)
        if report is None:
            return
        line = encode_message(report)
        for link, peer in self.links_with_hello():
            if peer.digests_parts:
                link.send_line(line)

    def remove_if_lost(self, address: str, peer: _Peer, now: float) -> None:
        limit_s = REMOVE_PEER_S if peer.has_left else REMOVE_SILENT_PEER_S
        if now - peer.reachable_at <= limit_s:
            return
        if peer.dialer is not None:
            peer.dialer.close()
        del self.peers[address]
        log_event("peer_forgotten", peer=address, has_left=peer.has_left)

    def gathered_links(self) -> list[MessageLink]:
        """Return the links to peers that get this zone's usage together."""
        entries = 1 + len(self.peers)
        return [
            link
            for link, peer in self.links_with_hello()
            if self.zones.is_gathered(peer, entries)
        ]

    def near_links(self) -> list[MessageLink]:
        """Return the links to peers of this zone that understand gathered usage."""
        return [
            link
            for link, peer in self.links_with_hello()
            if peer.gathers_usage and not self.zones.is_far(peer)
        ]

    def send_tables(self, links: list[MessageLink], now: float) -> None:
        """Send gathered peers the table versions, if they are due."""
        if not links:
            return
        message = self.tables.message_to_far(self.live_addresses(), now)
        if message is None:
            return
        line = encode_message(message)
        for link in links:
            link.send_line(line)

    def send_zones(
        self, far: list[MessageLink], near: list[MessageLink], now: float
    ) -> None:
        """Send the usage of this zone to each other one, if that is this entry's."""
        if not far:
            return
        peers = [link.peer for link in far if link.peer is not None]
        near_addresses = [link.peer.address for link in near if link.peer is not None]
        self.zones.lose_silent_zones(peers, now)
        own_usage = self.own_status.entry_usage(now)
        for zone in sorted({peer.zone for peer in peers}):
            addresses = [p.address for p in peers if p.zone == zone]
            outgoing = self.zones.message_to(zone, addresses, near_addresses, own_usage)
            if outgoing is None:
                continue
            receiver, message = outgoing
            link = self.peers[receiver].link
            if link is not None:
                link.send(message)

    def send_rollout(
        self,
        message: RolloutCounts | RolloutPermission,
        receivers: Collection[str] | None = None,
    ) -> None:
        """Send a message about a rollout to some peers that understand it, or all."""
        line = encode_message(message)
        for link, peer in self.links_with_hello():
            if not peer.rolls_out:
                continue
            if receivers is None or peer.address in receivers:
                link.send_line(line)

    def live_addresses(self) -> list[str]:
        """Return the addresses of this entry and of its peers that are alive."""
        return sorted([self.hello.address, *self.addresses()])

    def status(self, sent: StatusFields) -> PeerStatus:
        """Return a status for peers that already received ``sent``."""
        return self.own_status.message(sent, self.live_addresses(), time.monotonic())

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        if link.peer is None:
            return
        match message:
            case PeerStatus():
                self.receive_status(link, link.peer, message)
            case TableVersions():
                self.receive_tables(link, message)
            case ZoneUsage():
                self.receive_zone(message)
            case CrashReport():
                self.crashes.receive(message)
            case RolloutCounts() | RolloutPermission():
                self.on_rollout(link.peer, message)
            case PeerRows(rows=rows):
                known = self.tables.decode(link, message)
                self.cache.apply_peer_rows(link.peer.name, rows, known.tables)
                self.tables.note_held(known)
            case _ if isinstance(message, SlotMessage):
                self.on_slot_message(link, message)
            case _ if isinstance(message, StreamMessage):
                self.on_stream_message(link, message)

    def receive_status(
        self, link: MessageLink, peer: Hello, status: PeerStatus
    ) -> None:
        usage = EntryUsage(
            address=peer.address,
            lifetime=peer.lifetime,
            running_s=status.running_s,
            admitted=status.admitted,
            demand=status.demand,
        )
        self.zones.receive_status(peer, usage, time.monotonic())
        self.receive_tables(link, status)
        if status.leaving:
            self.mark_left([peer.address])

    def receive_zone(self, message: ZoneUsage) -> None:
        """Merge another zone's usage, and forward it if it came from there."""
        self.zones.receive_zone(message, time.monotonic())
        if message.forwarded:
            return
        line = encode_message(attrs.evolve(message, forwarded=True))
        for link in self.near_links():
            link.send_line(line)

    def receive_tables(
        self, link: MessageLink, message: PeerStatus | TableVersions
    ) -> None:
        self.add(message.peers)
        known = self.tables.decode(link, message)
        self.on_era(max((version.era for version in known.tables.values()), default=0))
        self.tables.confirm(link, known)
        self.tables.send_missing_rows(link, known, message.wanted, self.addresses())

    def mark_left(self, addresses: list[str]) -> None:
        """Record that entries end or were removed; linked ones still count."""
        for address in addresses:
            if address in self.peers:
                self.peers[address].has_left = True

    def announce_leaving(self) -> None:
        """Tell all peers that this entry ends, so that they leave it no share."""
        self.own_status.is_leaving = True
        status = self.status(StatusFields())
        for peer in self.peers.values():
            if peer.link is not None:
                peer.link.send(status)

    def close(self) -> None:
        self.server.close()
        for peer in self.peers.values():
            if peer.dialer is not None:
                peer.dialer.close()
