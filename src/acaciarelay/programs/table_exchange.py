"""Exchange of store rows between entries: versions, and rows for stale peers."""

import math
import time
from collections.abc import Callable, Iterable

import attrs

from acaciarelay.coordination.row_senders import (
    SERIES_SENDERS,
    is_row_sender,
    senders_in_round,
)
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.protocol.link_messages import (
    PeerRow,
    PeerRows,
    PeerStatus,
    TableVersions,
)
from acaciarelay.state.store_era import NO_VERSION, StoreVersion
from acaciarelay.transport.message_link import MessageLink

__all__ = [
    "STORE_LEAD_S",
    "KnownVersions",
    "TableExchange",
    "encode_versions",
]

# Staleness up to which a table is not requested from peers.
MAX_STALENESS_S = 1.2
# How long peers are given to read a new configuration from the store themselves.
STORE_LEAD_S = 0.4
# Least interval at which an entry sends a peer the configurations of a series.
SERIES_INTERVAL_S = 1.0
# Least interval at which entries of other zones get the versions of the tables, and
# the staleness of the configuration from which on they get them with each status.
FAR_INTERVAL_S = 5.0
MAX_QUIET_STALENESS_S = 6.0


@attrs.frozen
class KnownVersions:
    """What a process knows of each table.

    ``held`` is a digest of the rows that it holds, for the tables of which it has any.
    """

    tables: dict[str, StoreVersion]
    held: dict[str, int]


@attrs.define(eq=False)
class _SentToFar:
    """What the entries of other zones last got."""

    at: float = -math.inf
    configuration_version: StoreVersion = NO_VERSION
    held: dict[str, int] = attrs.Factory(dict)
    peers: list[str] = attrs.Factory(list)


@attrs.define(eq=False)
class _SentRows:
    """What is known of the peer's tables over a link, and what it was sent.

    ``peer_versions`` holds the versions at which the peer last lacked rows that this
    entry could have sent, and ``stale_rounds`` how many of its statuses in a row told
    these. ``keeping_up`` holds the tables in which it has got further since it first
    lacked rows. ``versions`` and ``sent_at`` are those of the last rows sent, and
    ``held`` the digest of the last held rows.
    """

    peer_versions: dict[str, StoreVersion] = attrs.Factory(dict)
    stale_rounds: dict[str, int] = attrs.Factory(dict)
    keeping_up: set[str] = attrs.Factory(set)
    versions: dict[str, StoreVersion] = attrs.Factory(dict)
    sent_at: dict[str, float] = attrs.Factory(dict)
    held: dict[str, int] = attrs.Factory(dict)

    def record_current(self, table: str) -> None:
        """Record that the peer lacks no rows of a table."""
        self.peer_versions.pop(table, None)
        self.stale_rounds.pop(table, None)
        self.keeping_up.discard(table)

    def record_stale(self, table: str, version: StoreVersion) -> int:
        """Record that the peer lacks rows; return its earlier statuses that told so."""
        last = self.peer_versions.get(table)
        if last != version:
            self.peer_versions[table] = version
            self.stale_rounds[table] = 0
            if last is not None:
                self.keeping_up.add(table)
        rounds = self.stale_rounds[table]
        self.stale_rounds[table] = rounds + 1
        return rounds


class TableExchange:
    """Compare cached tables with those of peers.

    ``own`` is this entry's address, and ``links`` returns the links to its peers.
    """

    def __init__(
        self,
        own: str,
        cache: StateCache,
        links: Callable[[], Iterable[MessageLink]],
    ) -> None:
        self.own = own
        self.links = links
        self.cache = cache
        # Loop time of the end of this process's last pause.
        self.resumed_at = -math.inf
        self.sent_to_far = _SentToFar()
        self.sent_rows: dict[MessageLink, _SentRows] = {}
        # The tables and digests of the held rows that a peer sent last.
        self.received_held: set[tuple[str, int]] = set()

    def forget(self, link: MessageLink) -> None:
        """Drop what is known of a closed link."""
        self.sent_rows.pop(link, None)

    def wanted(self) -> list[str]:
        """Return the tables of which newer rows are accepted from peers.

        A configuration is wanted neither while the store tells it nor while a long
        message of a peer, which may bring it, is on its way: copies from several peers
        would fill a slow link.
        """
        is_receiving = any(link.is_receiving_long for link in self.links())
        wanted = []
        for table in TABLES:
            if table == OPERATOR_TABLE and is_receiving:
                continue
            if self.cache.staleness_s(table) > MAX_STALENESS_S:
                wanted.append(table)
        return wanted

    def message_to_far(self, peers: list[str], now: float) -> TableVersions | None:
        """Return the next message to entries of other zones, if one is due.

        ``peers`` are the addresses of all reachable entries.
        """
        sent = self.sent_to_far
        version = self.cache.versions()[OPERATOR_TABLE]
        stale = self.cache.staleness_s(OPERATOR_TABLE) > MAX_QUIET_STALENESS_S
        held = self.cache.held_digests()
        changed = version != sent.configuration_version or held != sent.held
        if not changed and not stale and now - sent.at < FAR_INTERVAL_S:
            return None
        self.sent_to_far = _SentToFar(now, version, held, peers)
        numbers, era, eras = encode_versions(self.cache.versions())
        return TableVersions(
            versions=numbers,
            wanted=self.wanted(),
            peers=peers if peers != sent.peers else [],
            era=era,
            eras=eras,
            held=held,
        )

    def decode(
        self, link: MessageLink, message: PeerStatus | TableVersions | PeerRows
    ) -> KnownVersions:
        """Return what the sender of a message knows.

        The versions of a sender that knows no eras are taken for ones of this era, as
        far as they say which rows it lacks.
        """
        assert link.peer is not None
        own = self.cache.versions()
        knows_no_eras = not link.peer.orders_eras and not isinstance(message, PeerRows)
        tables = {}
        for table, number in message.versions.items():
            era = message.eras.get(table, message.era)
            if knows_no_eras and number:
                era = own.get(table, NO_VERSION).era
            tables[table] = StoreVersion(era, number)
        return KnownVersions(tables, message.held)

    def confirm(self, link: MessageLink, known: KnownVersions) -> None:
        """After a start or a pause, trust the cache if a peer knows nothing newer.

        Only a link that opened after the pause counts, since what an older one
        delivers may have been sent before.
        """
        if self.cache.trusted.is_set() or link.opened_at < self.resumed_at:
            return
        assert link.peer is not None
        for table, version in self.cache.versions().items():
            if version.era and not link.peer.orders_eras:
                return
            if not self.is_confirmed(table, version, known):
                return
        self.cache.confirm_by_peer()

    def is_confirmed(
        self, table: str, version: StoreVersion, known: KnownVersions
    ) -> bool:
        """Return whether a peer that knows this knows no newer rows of a table."""
        peer_version = known.tables.get(table, NO_VERSION)
        if peer_version > version or peer_version.era < version.era:
            # A peer in a former era can't tell what is to be held in this one.
            return False
        if version.number and not peer_version.number:
            return False
        digest = known.held.get(table, 0)
        own_digest = self.cache.tables[table].cached.held_digest
        return digest in (0, own_digest) or (table, digest) in self.received_held

    def note_held(self, known: KnownVersions) -> None:
        """Record that a peer has sent the rows that it holds."""
        if known.held:
            self.received_held = set(known.held.items())

    def send_missing_rows(
        self,
        link: MessageLink,
        known: KnownVersions,
        wanted: list[str],
        reachable: Iterable[str],
    ) -> None:
        """Send a peer the rows that it lacks, if that is this entry's to do.

        ``reachable`` are the addresses of all reachable entries.
        """
        assert link.peer is not None
        receiver = link.peer.address
        sent = self.sent_rows.setdefault(link, _SentRows())
        rows: list[PeerRow] = []
        complete = {}
        for table in TABLES:
            newer = self.newer_rows(table, known, wanted)
            held = self.unsent_held_rows(table, link, known)
            if not newer and not held:
                sent.record_current(table)
                continue
            version = known.tables.get(table, NO_VERSION)
            if not held and not self.is_due(table, version):
                continue
            rounds = sent.record_stale(table, version)
            in_series = table in sent.keeping_up and rounds == 0
            senders = SERIES_SENDERS if in_series else senders_in_round(rounds)
            if not is_row_sender(self.own, receiver, reachable, senders):
                continue
            if not held and self.was_sent(sent, table):
                continue
            rows += newer + held
            if newer:
                complete[table] = self.cache.versions()[table]
                sent.versions[table] = complete[table]
                sent.sent_at[table] = time.monotonic()
            sent.held[table] = self.cache.tables[table].cached.held_digest
        if not rows:
            return
        numbers, era, eras = encode_versions(complete)
        digests = self.cache.held_digests()
        link.send(
            PeerRows(versions=numbers, rows=rows, era=era, eras=eras, held=digests)
        )

    def was_sent(self, sent: _SentRows, table: str) -> bool:
        """Return whether a peer was sent its rows, or a configuration just before.

        A link loses nothing, and a long row takes its time over a slow one.
        """
        if sent.versions.get(table) == self.cache.versions()[table]:
            return True
        if table != OPERATOR_TABLE:
            return False
        since_s = time.monotonic() - sent.sent_at.get(table, -math.inf)
        return since_s < SERIES_INTERVAL_S

    def newer_rows(
        self, table: str, known: KnownVersions, wanted: list[str]
    ) -> list[PeerRow]:
        if table not in wanted:
            return []
        return self.cache.rows_after(table, known.tables.get(table, NO_VERSION))

    def unsent_held_rows(
        self, table: str, link: MessageLink, known: KnownVersions
    ) -> list[PeerRow]:
        """Return the held rows, unless the peer has the same or was sent them."""
        assert link.peer is not None
        digest = self.cache.tables[table].cached.held_digest
        if not digest or not link.peer.orders_eras:
            return []
        if digest in (known.held.get(table), self.sent_rows[link].held.get(table)):
            return []
        return self.cache.held_rows(table)

    def is_due(self, table: str, version: StoreVersion) -> bool:
        """Return whether a peer at a version had time to read what it lacks itself.

        A peer that reaches the store has a new configuration before its next status.
        """
        if table != OPERATOR_TABLE:
            return True
        return version < self.cache.version_known_for(table, STORE_LEAD_S)


def encode_versions(
    versions: dict[str, StoreVersion],
) -> tuple[dict[str, int], int, dict[str, int]]:
    """Return the fields ``versions``, ``era`` and ``eras`` of a message."""
    numbers = {table: version.number for table, version in versions.items()}
    newest = max((version.era for version in versions.values()), default=0)
    eras = {}
    for table, version in versions.items():
        if version.era != newest:
            eras[table] = version.era
    return numbers, newest, eras
