"""Exchange of store rows between entries: versions, and rows for stale peers."""

import math
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.row_senders import is_row_sender
from acaciarelay.platform.configuration import OPERATOR_TABLE
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.protocol.link_messages import PeerRows, TableVersions
from acaciarelay.transport.message_link import MessageLink

__all__ = ["STORE_LEAD_S", "TableExchange"]

# Staleness up to which a table is not requested from peers.
MAX_STALENESS_S = 1.2
# How long peers are given to read a new configuration from the store themselves.
STORE_LEAD_S = 0.4
# Least interval at which entries of other zones get the versions of the tables, and
# the staleness of the configuration from which on they get them with each status.
FAR_INTERVAL_S = 5.0
MAX_QUIET_STALENESS_S = 6.0


@attrs.define(eq=False)
class _SentToFar:
    """What the entries of other zones last got."""

    at: float = -math.inf
    configuration_version: int = 0
    peers: list[str] = attrs.Factory(list)


class TableExchange:
    """Compare cached tables with those of peers; ``own`` is this entry's address."""

    def __init__(self, own: str, cache: StateCache) -> None:
        self.own = own
        self.cache = cache
        # Loop time of the end of this process's last pause.
        self.resumed_at = -math.inf
        self.sent_to_far = _SentToFar()
        # By link and table, how many statuses in a row came from a peer that lacked
        # rows which this entry could have sent.
        self.stale_rounds: dict[MessageLink, dict[str, int]] = {}

    def forget(self, link: MessageLink) -> None:
        """Drop what is known of a closed link."""
        self.stale_rounds.pop(link, None)

    def wanted(self) -> list[str]:
        """Return the tables of which newer rows are accepted from peers."""
        wanted = [OPERATOR_TABLE]
        for table in TABLES:
            if table == OPERATOR_TABLE:
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
        changed = version != sent.configuration_version
        if not changed and not stale and now - sent.at < FAR_INTERVAL_S:
            return None
        self.sent_to_far = _SentToFar(now, version, peers)
        return TableVersions(
            versions=self.cache.versions(),
            wanted=self.wanted(),
            peers=peers if peers != sent.peers else [],
        )

    def confirm(self, link: MessageLink, versions: dict[str, int]) -> None:
        """After a start or a pause, trust the cache if a peer knows nothing newer.

        Only a link that opened after the pause counts, since what an older one
        delivers may have been sent before.
        """
        if self.cache.trusted.is_set() or link.opened_at < self.resumed_at:
            return
        for table, version in self.cache.versions().items():
            if versions.get(table, 0) > version:
                return
        self.cache.confirm_by_peer()

    def send_missing_rows(
        self,
        link: MessageLink,
        versions: dict[str, int],
        wanted: list[str],
        reachable: Iterable[str],
    ) -> None:
        """Send a peer the rows that it lacks, if that is this entry's to do.

        ``reachable`` are the addresses of all reachable entries.
        """
        assert link.peer is not None
        receiver = link.peer.address
        stale_rounds = self.stale_rounds.setdefault(link, {})
        rows = []
        for table in wanted:
            newer = self.cache.rows_after(table, versions.get(table, 0))
            if not newer:
                stale_rounds[table] = 0
            elif self.is_due(table):
                rounds = stale_rounds.get(table, 0)
                stale_rounds[table] = rounds + 1
                if is_row_sender(self.own, receiver, reachable, rounds):
                    rows.extend(newer)
        if rows:
            link.send(PeerRows(versions=self.cache.versions(), rows=rows))

    def is_due(self, table: str) -> bool:
        """Return whether a stale peer has had time to read a table itself.

        A peer that reaches the store has a new configuration before its next status.
        """
        if table != OPERATOR_TABLE:
            return True
        return self.cache.unchanged_s(table) >= STORE_LEAD_S
