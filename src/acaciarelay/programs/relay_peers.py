"""Links of an entry to its peers: what they know, and what they lack."""

import time

import attrs

from acaciarelay.coordination.retry_share import RetryShare
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.relay_beliefs import TABLES, Beliefs
from acaciarelay.protocol.relay_messages import Hello, PeerStatus, RelayMessage
from acaciarelay.transport.message_link import Dialer, LinkServer, MessageLink

__all__ = ["Peers"]

# A table counts as current below this age, so that peers need not pass it on.
CURRENT_S = 1.2
# A peer that was not reached for this long is forgotten.
FORGET_S = 30.0


@attrs.define(eq=False)
class _Peer:
    dialer: Dialer
    seen_at: float
    alive: bool = False


class Peers:
    """Dial every other entry and exchange what each knows."""

    def __init__(
        self, hello: Hello, beliefs: Beliefs, usage: UsageLedger, retries: RetryShare
    ) -> None:
        self.hello = hello
        self.beliefs = beliefs
        self.usage = usage
        self.retries = retries
        self.peers: dict[str, _Peer] = {}
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
        link.send(self.status(False))

    def closed(self, link: MessageLink) -> None:
        assert link.peer is not None
        peer = self.peers.get(link.peer.address)
        if peer is None or peer.dialer.link is not link:
            return
        peer.alive = False
        log_event("peer_lost", peer=link.peer.address)
        self.usage.lose(link.peer.address, time.monotonic())

    def tick(self) -> None:
        """Tell all peers what is known here."""
        now = time.monotonic()
        for address, peer in list(self.peers.items()):
            link = peer.dialer.link
            if link is not None and link.peer is not None:
                peer.seen_at = now
                link.send(self.status(False))
                continue
            if now - peer.seen_at > FORGET_S:
                peer.dialer.close()
                del self.peers[address]
                log_event("peer_forgotten", peer=address)
        self.count()

    def status(self, answer: bool) -> PeerStatus:
        now = time.monotonic()
        wanted = [OPERATOR_TABLE]
        for table in TABLES:
            if table != OPERATOR_TABLE and self.beliefs.age_s(table) > CURRENT_S:
                wanted.append(table)
        return PeerStatus(
            name=self.hello.name,
            lifetime=self.hello.lifetime,
            running_s=round(now - self.started_at, 3),
            versions=self.beliefs.versions(),
            wanted=wanted,
            peers=[self.hello.address, *self.addresses()],
            admitted=self.usage.totals(),
            demand=self.usage.demand(now),
            rows=[],
            answer=answer,
        )

    def receive(self, link: MessageLink, message: RelayMessage) -> None:
        if not isinstance(message, PeerStatus) or link.peer is None:
            return
        address = link.peer.address
        now = time.monotonic()
        self.usage.hear(
            address,
            message.lifetime,
            message.running_s,
            message.admitted,
            message.demand,
            now,
        )
        self.learn(message.peers)
        if message.rows:
            self.beliefs.apply_peer_rows(message.rows, message.versions)
        if message.answer:
            return
        rows = []
        for table in message.wanted:
            rows.extend(self.beliefs.rows_after(table, message.versions.get(table, 0)))
        if rows:
            link.send(attrs.evolve(self.status(True), rows=rows))

    def close(self) -> None:
        self.server.close()
        for peer in self.peers.values():
            peer.dialer.close()
