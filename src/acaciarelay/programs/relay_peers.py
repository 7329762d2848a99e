"""Links between entries: exchange of usage, demand, addresses and store rows."""

import math
import time

import attrs

from acaciarelay.coordination.row_senders import is_row_sender
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.protocol.link_messages import (
    Hello,
    LinkMessage,
    PeerRows,
    PeerStatus,
    encode_message,
)
from acaciarelay.transport.message_link import (
    SLOW_HEARTBEAT_INTERVAL_S,
    Dialer,
    LinkServer,
    LinkTicker,
    MessageLink,
)

__all__ = ["Peers"]

# Staleness up to which a table is not requested from peers.
MAX_STALENESS_S = 1.2
# A peer that was unreachable for this long is removed.
REMOVE_PEER_S = 30.0
# How long peers are given to read a new configuration from the store themselves.
STORE_LEAD_S = 0.4
# Fraction of the status interval after which a status is due: ticks come at fixed
# times, so one just before the interval ends must count.
DUE_FRACTION = 0.9


@attrs.define(eq=False)
class _StatusFields:
    """The last values of the status fields that are only sent when they change.

    ``stale_rounds`` counts, by table, the statuses in a row of a peer that lacked rows
    which this entry could have sent.
    """

    admitted: dict[str, float] = attrs.Factory(dict)
    demand: dict[str, float] = attrs.Factory(dict)
    peers: list[str] = attrs.Factory(list)
    stale_rounds: dict[str, int] = attrs.Factory(dict)


@attrs.define(eq=False)
class _Peer:
    """A peer, and the open link over which it gets statuses.

    ``dialer`` is ``None`` while the peer's own link serves both directions.
    """

    dialer: Dialer | None
    reachable_at: float
    link: MessageLink | None = None


class Peers:
    """Keep links to all other entries, send statuses, and send rows to stale peers."""

    def __init__(
        self,
        hello: Hello,
        cache: StateCache,
        usage: UsageLedger,
        retry_budget: SharedRetryBudget,
        ticker: LinkTicker,
    ) -> None:
        self.hello = hello
        self.ticker = ticker
        self.cache = cache
        self.usage = usage
        self.retry_budget = retry_budget
        self.peers: dict[str, _Peer] = {}
        self.received: dict[MessageLink, _StatusFields] = {}
        self.sent = _StatusFields()
        self.sent_at = -math.inf
        self.started_at = time.monotonic()
        # Loop time of the end of this process's last pause.
        self.resumed_at = -math.inf
        self.server = LinkServer(
            hello,
            self.receive,
            self.opened,
            self.closed,
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
            self.receive,
            self.dialled,
            self.closed,
            self.ticker,
        )

    def update_process_count(self) -> None:
        known = len(self.peers)
        self.usage.known_peer_count = known
        self.retry_budget.process_count = known + 1

    def addresses(self) -> list[str]:
        """Return the addresses of peers that are reachable."""
        return [
            address for address, peer in self.peers.items() if peer.link is not None
        ]

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
        peer.reachable_at = time.monotonic()
        log_event("peer_regained", peer=link.peer.address, lifetime=link.peer.lifetime)
        link.send(self.status(_StatusFields()))

    def closed(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.received.pop(link, None)
        address = link.peer.address
        peer = self.peers.get(address)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        if peer.dialer is None:
            peer.dialer = self.dial(address)
        log_event("peer_lost", peer=address)
        self.usage.mark_peer_lost(address, time.monotonic())

    def tick(self, now: float) -> None:
        """Send all peers a status with what changed here, if one is due."""
        if now - self.sent_at < self.usage.message_interval_s * DUE_FRACTION:
            return
        self.sent_at = now
        # All peers got the same statuses before, so one encoded status serves them all.
        status = self.status(self.sent)
        self.sent = _StatusFields(
            self.usage.totals(), self.usage.demand(now), self.live_addresses()
        )
        line = encode_message(status)
        for address, peer in list(self.peers.items()):
            if peer.link is not None:
                peer.reachable_at = now
                peer.link.send_line(line)
                continue
            if now - peer.reachable_at > REMOVE_PEER_S:
                if peer.dialer is not None:
                    peer.dialer.close()
                del self.peers[address]
                log_event("peer_forgotten", peer=address)
        self.update_process_count()

    def live_addresses(self) -> list[str]:
        """Return the addresses of this entry and of its peers that are alive."""
        return sorted([self.hello.address, *self.addresses()])

    def status(self, sent: _StatusFields) -> PeerStatus:
        """Build a status for peers that already received ``sent``."""
        now = time.monotonic()
        wanted = [OPERATOR_TABLE]
        for table in TABLES:
            if (
                table != OPERATOR_TABLE
                and self.cache.staleness_s(table) > MAX_STALENESS_S
            ):
                wanted.append(table)
        peers = self.live_addresses()
        return PeerStatus(
            running_s=round(now - self.started_at, 3),
            versions=self.cache.versions(),
            wanted=wanted,
            peers=peers if peers != sent.peers else [],
            admitted=_changes(sent.admitted, self.usage.totals()),
            demand=_changes(sent.demand, self.usage.demand(now)),
        )

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        if link.peer is None:
            return
        match message:
            case PeerStatus():
                self.receive_status(link, message)
            case PeerRows(rows=rows, versions=versions):
                self.cache.apply_peer_rows(rows, versions)

    def receive_status(self, link: MessageLink, status: PeerStatus) -> None:
        assert link.peer is not None
        received = self.received.setdefault(link, _StatusFields())
        received.admitted = received.admitted | status.admitted
        received.demand = received.demand | status.demand
        self.usage.merge_peer_totals(
            link.peer.address,
            link.peer.lifetime,
            status.running_s,
            received.admitted,
            received.demand,
            time.monotonic(),
        )
        self.add(status.peers)
        self.confirm_tables(link, status)
        rows = []
        for table in status.wanted:
            newer = self.cache.rows_after(table, status.versions.get(table, 0))
            if not newer:
                received.stale_rounds[table] = 0
            elif self.is_due(table):
                rounds = received.stale_rounds.get(table, 0)
                received.stale_rounds[table] = rounds + 1
                if self.sends_rows(link.peer.address, rounds):
                    rows.extend(newer)
        if rows:
            link.send(PeerRows(versions=self.cache.versions(), rows=rows))

    def confirm_tables(self, link: MessageLink, status: PeerStatus) -> None:
        """After a start or a pause, trust the cache if a peer knows nothing newer.

        Only a link that opened after the pause counts, since what an older one
        delivers may have been sent before.
        """
        if self.cache.trusted.is_set() or link.opened_at < self.resumed_at:
            return
        for table, version in self.cache.versions().items():
            if status.versions.get(table, 0) > version:
                return
        self.cache.confirm_by_peer()

    def is_due(self, table: str) -> bool:
        """Return whether a stale peer has had time to read a table itself.

        A peer that reaches the store has a new configuration before its next status.
        """
        if table != OPERATOR_TABLE:
            return True
        return self.cache.unchanged_s(table) >= STORE_LEAD_S

    def sends_rows(self, receiver: str, rounds: int) -> bool:
        own = self.hello.address
        return is_row_sender(own, receiver, self.addresses(), rounds)

    def close(self) -> None:
        self.server.close()
        for peer in self.peers.values():
            if peer.dialer is not None:
                peer.dialer.close()


def _changes(before: dict[str, float], now: dict[str, float]) -> dict[str, float]:
    """Return the values that differ, with zero for those that no longer exist."""
    changes = {name: value for name, value in now.items() if before.get(name) != value}
    for name in before.keys() - now.keys():
        changes[name] = 0.0
    return changes
