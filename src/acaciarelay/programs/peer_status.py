"""State of this entry as it is sent to its peers."""

import time

import attrs

from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.table_exchange import TableExchange, encode_versions
from acaciarelay.protocol.link_messages import EntryUsage, Hello, PeerStatus

__all__ = ["StatusBuilder", "StatusFields"]


@attrs.define(eq=False)
class StatusFields:
    """Values of the status fields that are only sent when they change."""

    admitted: dict[str, float] = attrs.Factory(dict)
    demand: dict[str, float] = attrs.Factory(dict)
    peers: list[str] = attrs.Factory(list)


class StatusBuilder:
    """Build the messages that report this entry's usage and tables.

    ``is_leaving`` is true while this entry drains before its end.
    """

    def __init__(
        self,
        hello: Hello,
        cache: StateCache,
        usage: UsageLedger,
        tables: TableExchange,
    ) -> None:
        self.hello = hello
        self.cache = cache
        self.usage = usage
        self.tables = tables
        self.started_at = time.monotonic()
        self.is_leaving = False

    def fields(self, live_addresses: list[str], now: float) -> StatusFields:
        """Return the current values of the fields that are only sent on change."""
        return StatusFields(self.usage.totals(), self.usage.demand(now), live_addresses)

    def message(
        self, sent: StatusFields, live_addresses: list[str], now: float
    ) -> PeerStatus:
        """Return a status for peers that already received ``sent``."""
        numbers, era, eras = encode_versions(self.cache.versions())
        return PeerStatus(
            running_s=round(now - self.started_at, 3),
            versions=numbers,
            wanted=self.tables.wanted(),
            peers=live_addresses if live_addresses != sent.peers else [],
            admitted=_changes(sent.admitted, self.usage.totals()),
            demand=_changes(sent.demand, self.usage.demand(now)),
            era=era,
            eras=eras,
            held=self.cache.held_digests(),
            leaving=self.is_leaving,
        )

    def entry_usage(self, now: float) -> EntryUsage:
        """Return this entry's usage, with all values."""
        return EntryUsage(
            address=self.hello.address,
            lifetime=self.hello.lifetime,
            running_s=round(now - self.started_at, 3),
            admitted=self.usage.totals(),
            demand=self.usage.demand(now),
        )


def _changes(before: dict[str, float], now: dict[str, float]) -> dict[str, float]:
    """Return the values that differ, with zero for those that no longer exist."""
    changes = {name: value for name, value in now.items() if before.get(name) != value}
    for name in before.keys() - now.keys():
        changes[name] = 0.0
    return changes
