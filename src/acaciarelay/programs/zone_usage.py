"""Usage of the entries of one availability zone, gathered for those of the others.

With few entries each one sends its usage to all others. With more, an entry sends it
within its zone only, and one entry of the zone, its speaker, sends the usage of all of
them to an entry of each other zone, which forwards it there. Messages between zones
then grow with the number of entries, not with its square.
"""

from collections.abc import Iterable

import attrs

from acaciarelay.coordination.change_log import ChangeLog
from acaciarelay.coordination.placement.rendezvous import choose_subset
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.link_messages import EntryUsage, Hello, ZoneUsage

__all__ = ["ZoneUsageExchange"]

# Up to this many entries each one sends its usage to all others itself.
MAX_DIRECT_ENTRIES = 24
# Entries of a zone that get the messages to it in turn, so that a single one that
# does not run loses only some of them. Each message repeats the changes that the last
# ones to the others had.
RECEIVERS = 2
# Each message of this number holds all values, for entries that missed a change.
COMPLETE_ROUNDS = 8
# Without a message about a zone for this long, its entries count as lost.
ZONE_SILENCE_S = 2.6


@attrs.define(eq=False)
class _Outgoing:
    """What a speaker sent to one zone; logs are by address and incarnation."""

    round_number: int = 0
    admitted: dict[tuple[str, str], ChangeLog] = attrs.Factory(dict)
    demand: dict[tuple[str, str], ChangeLog] = attrs.Factory(dict)

    @property
    def complete(self) -> bool:
        """Return whether the current message holds all values; the first one does."""
        return self.round_number % COMPLETE_ROUNDS == 1

    def keep(self, members: list[EntryUsage]) -> None:
        """Drop the logs of all other entries and incarnations."""
        keys = {(usage.address, usage.lifetime) for usage in members}
        for logs in (self.admitted, self.demand):
            for key in logs.keys() - keys:
                del logs[key]


class ZoneUsageExchange:
    """Merge the usage that entries report, directly or through a speaker."""

    def __init__(self, hello: Hello, usage: UsageLedger) -> None:
        self.hello = hello
        self.usage = usage
        # The last complete usage of each reachable peer, by address.
        self.received: dict[str, EntryUsage] = {}
        self.outgoing: dict[str, _Outgoing] = {}
        # Time of the last message about a zone, and the zones that were silent for
        # too long and have not sent a complete message since.
        self.heard_at: dict[str, float] = {}
        self.lost_zones: set[str] = set()

    def is_far(self, peer: Hello) -> bool:
        """Return whether a peer is in another zone."""
        return peer.zone != self.hello.zone

    def is_gathered(self, peer: Hello, entries: int) -> bool:
        """Return whether a peer gets the usage of this zone's entries together."""
        return entries > MAX_DIRECT_ENTRIES and peer.gathers_usage and self.is_far(peer)

    # Receiving.

    def receive_status(self, peer: Hello, usage: EntryUsage, now: float) -> None:
        """Merge the usage that a peer sent itself."""
        known = self.received.get(usage.address)
        if known is None or known.lifetime != usage.lifetime:
            known = attrs.evolve(usage, admitted={}, demand={})
        self.merge(known, usage, now)

    def receive_zone(self, message: ZoneUsage, now: float) -> None:
        """Merge the usage of another zone's entries, as far as these are known.

        What an entry said of itself on a new link is where the changes start. After a
        silence they start at a complete message.
        """
        self.heard_at[message.zone] = now
        if message.zone in self.lost_zones:
            if not message.complete:
                return
            self.lost_zones.discard(message.zone)
            log_event("zone_regained", zone=message.zone)
        for usage in message.entries:
            known = self.received.get(usage.address)
            if known is None or known.lifetime != usage.lifetime:
                continue
            if usage.running_s >= known.running_s:
                self.merge(known, usage, now)

    def merge(self, known: EntryUsage, changes: EntryUsage, now: float) -> None:
        usage = attrs.evolve(
            changes,
            admitted=known.admitted | changes.admitted,
            demand=known.demand | changes.demand,
        )
        self.received[usage.address] = usage
        self.usage.merge_peer_totals(
            usage.address,
            usage.lifetime,
            usage.running_s,
            usage.admitted,
            usage.demand,
            now,
        )

    def lose(self, address: str, now: float) -> None:
        """Record that a peer is unreachable."""
        self.received.pop(address, None)
        self.usage.mark_peer_lost(address, now)

    def lose_silent_zones(self, peers: Iterable[Hello], now: float) -> None:
        """Record that the gathered peers of zones without a message are lost."""
        for peer in peers:
            zone = peer.zone
            heard_at = self.heard_at.setdefault(zone, now)
            if now - heard_at > ZONE_SILENCE_S:
                if zone not in self.lost_zones:
                    self.lost_zones.add(zone)
                    log_event("zone_lost", zone=zone, silent_s=now - heard_at)
                self.usage.mark_peer_lost(peer.address, now)

    # Sending.

    def is_speaker(self, zone: str, near: list[str]) -> bool:
        """Return whether this entry speaks to a zone; ``near`` are its neighbours."""
        own = self.hello.address
        return choose_subset(zone, [own, *near], 1) == [own]

    def message_to(
        self, zone: str, far: list[str], near: list[str], own_usage: EntryUsage
    ) -> tuple[str, ZoneUsage] | None:
        """Return the next message to a zone and the entry there that gets it.

        ``None`` if this entry is not the speaker to that zone.
        """
        if not far or not self.is_speaker(zone, near):
            self.outgoing.pop(zone, None)
            return None
        outgoing = self.outgoing.setdefault(zone, _Outgoing())
        outgoing.round_number += 1
        receivers = choose_subset(self.hello.zone, far, RECEIVERS)
        receiver = receivers[outgoing.round_number % len(receivers)]
        members = [own_usage]
        for address in near:
            usage = self.received.get(address)
            if usage is not None:
                members.append(usage)
        if outgoing.complete:
            outgoing.keep(members)
        entries = [self.changes(outgoing, usage) for usage in members]
        return receiver, ZoneUsage(
            zone=self.hello.zone,
            complete=outgoing.complete,
            forwarded=False,
            entries=entries,
        )

    def changes(self, outgoing: _Outgoing, usage: EntryUsage) -> EntryUsage:
        """Return the values of an entry that the zone may not have yet."""
        key = (usage.address, usage.lifetime)
        admitted = outgoing.admitted.setdefault(key, ChangeLog())
        demand = outgoing.demand.setdefault(key, ChangeLog())
        admitted.update(usage.admitted, outgoing.round_number)
        demand.update(usage.demand, outgoing.round_number)
        first_round = outgoing.round_number - RECEIVERS + 1
        if outgoing.complete:
            first_round = 0
        return attrs.evolve(
            usage,
            admitted=admitted.since(first_round),
            demand=demand.since(first_round),
        )
