"""Links of an entry to its peers: what they know, and what they lack."""

import math
import random
import time

import attrs

from acaciarelay.coordination.retry_share import RetryShare
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_beliefs import TABLES, Beliefs
from acaciarelay.protocol.relay_messages import (
    Hello,
    PeerRows,
    PeerStatus,
    RelayMessage,
    encode_message,
)
from acaciarelay.transport.message_link import Dialer, LinkServer, MessageLink

__all__ = ["Peers"]

# A table counts as current below this age, so that peers need not pass it on.
CURRENT_S = 1.2
# A peer that was not reached for this long is forgotten.
FORGET_S = 30.0
# How long peers are given to read a new configuration from the store themselves.
STORE_LEAD_S = 0.4
# Entries that pass rows on to a peer after one of its statuses, on average.
SENDERS = 3.0
# A status is due from this part of its interval on, since ticks come at fixed times.
EARLY_PART = 0.9


@attrs.define(eq=False)
class _Told:
    """Hold what a process told its peers of itself, so that only changes are sent."""

    admitted: dict[str, float] = attrs.Factory(dict)
    demand: dict[str, float] = attrs.Factory(dict)
    peers: list[str] = attrs.Factory(list)


@attrs.define(eq=False)
class _Peer:
    dialer: Dialer
    seen_at: float
    alive: bool = False


class Peers:
    """Dial every other entry and exchange what each knows."""

    def __init__(
        self,
        hello: Hello,
        beliefs: Beliefs,
        usage: UsageLedger,
        retries: RetryShare,
        rng: random.Random,
    ) -> None:
        self.hello = hello
        self.beliefs = beliefs
        self.usage = usage
        self.retries = retries
        self.rng = rng
        self.peers: dict[str, _Peer] = {}
        self.heard: dict[MessageLink, _Told] = {}
        self.told = _Told()
        self.told_at = -math.inf
        self.started_at = time.monotonic()
        self.server = LinkServer(hello, self.receive, self.opened, self.closed)

    async def listen(self, host: str, port: int) -> None:
        """Accept links; raises ``OSError`` when the address can't be bound."""
        await self.server.listen(host, port)

    def learn(self, addresses: list[str]) -> None:
        """Add peers by address."""
        for address in addresses:
            if address == self.hello.address or address in self.peers:
                continue
            dialer = Dialer(
                address, self.hello, self.receive, self.dialled, self.closed
            )
            self.peers[address] = _Peer(dialer, time.monotonic())
            log_event("peer_learned", peer=address)
        self.count()

    def count(self) -> None:
        known = len(self.peers)
        self.usage.known_peers = known
        self.retries.processes = known + 1

    def addresses(self) -> list[str]:
        """Return the addresses of peers that are alive."""
        return [address for address, peer in self.peers.items() if peer.alive]

    def opened(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.learn([link.peer.address])

    def dialled(self, link: MessageLink) -> None:
        assert link.peer is not None
        address = link.peer.address
        peer = self.peers.get(address)
        if peer is None:
            return
        peer.alive = True
        peer.seen_at = time.monotonic()
        log_event("peer_regained", peer=address, lifetime=link.peer.lifetime)
        link.send(self.status(_Told()))

    def closed(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.heard.pop(link, None)
        peer = self.peers.get(link.peer.address)
        if peer is None or peer.dialer.link is not link:
            return
        peer.alive = False
        log_event("peer_lost", peer=link.peer.address)
        self.usage.lose(link.peer.address, time.monotonic())

    def tick(self, now: float) -> None:
        """Tell all peers what changed here, once it is time for it."""
        if now - self.told_at < self.usage.message_interval_s * EARLY_PART:
            return
        self.told_at = now
        # All peers know the same, so one encoded status serves all of them.
        status = self.status(self.told)
        self.told = _Told(self.usage.totals(), self.usage.demand(now), self.group())
        line = encode_message(status)
        for address, peer in list(self.peers.items()):
            link = peer.dialer.link
            if link is not None and link.peer is not None:
                peer.seen_at = now
                link.send_line(line)
                continue
            if now - peer.seen_at > FORGET_S:
                peer.dialer.close()
                del self.peers[address]
                log_event("peer_forgotten", peer=address)
        self.count()

    def group(self) -> list[str]:
        """Return the addresses of this entry and of its peers that are alive."""
        return sorted([self.hello.address, *self.addresses()])

    def status(self, told: _Told) -> PeerStatus:
        """Build the status for peers that know what ``told`` holds."""
        now = time.monotonic()
        wanted = [OPERATOR_TABLE]
        for table in TABLES:
            if table != OPERATOR_TABLE and self.beliefs.age_s(table) > CURRENT_S:
                wanted.append(table)
        peers = self.group()
        return PeerStatus(
            running_s=round(now - self.started_at, 3),
            versions=self.beliefs.versions(),
            wanted=wanted,
            peers=peers if peers != told.peers else [],
            admitted=_changes(told.admitted, self.usage.totals()),
            demand=_changes(told.demand, self.usage.demand(now)),
        )

    def receive(self, link: MessageLink, message: RelayMessage) -> None:
        if link.peer is None:
            return
        match message:
            case PeerStatus():
                self.take_status(link, message)
            case PeerRows(rows=rows, versions=versions):
                self.beliefs.apply_peer_rows(rows, versions)

    def take_status(self, link: MessageLink, status: PeerStatus) -> None:
        assert link.peer is not None
        heard = self.heard.setdefault(link, _Told())
        heard.admitted = heard.admitted | status.admitted
        heard.demand = heard.demand | status.demand
        self.usage.hear(
            link.peer.address,
            link.peer.lifetime,
            status.running_s,
            heard.admitted,
            heard.demand,
            time.monotonic(),
        )
        self.learn(status.peers)
        rows = []
        for table in status.wanted:
            if not self.passes_on(table):
                continue
            rows.extend(self.beliefs.rows_after(table, status.versions.get(table, 0)))
        if rows:
            link.send(PeerRows(versions=self.beliefs.versions(), rows=rows))

    def passes_on(self, table: str) -> bool:
        """Decide whether to pass rows on, so that a peer gets few copies of them.

        A peer that reaches the store has a new configuration before its next status,
        and all other entries see that a peer is behind.
        """
        lead_s = self.beliefs.unchanged_s(table)
        if table == OPERATOR_TABLE and lead_s < STORE_LEAD_S:
            return False
        return self.rng.random() * len(self.peers) < SENDERS

    def close(self) -> None:
        self.server.close()
        for peer in self.peers.values():
            peer.dialer.close()


def _changes(before: dict[str, float], now: dict[str, float]) -> dict[str, float]:
    """Return the values that differ; one that is gone counts as zero."""
    changes = {name: value for name, value in now.items() if before.get(name) != value}
    for name in before.keys() - now.keys():
        changes[name] = 0.0
    return changes
