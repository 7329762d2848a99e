"""Usage of the entries of one region, gathered for the entries of the others.

With few entries each one sends its usage to all others. With more, an entry sends it
within its region only, and one entry of the region, its speaker, sends the usage of all
of them to an entry of each other region, which forwards it there. Messages between
regions then grow with the number of entries, not with its square.
"""

from collections.abc import Iterable

import attrs

from acaciarelay.coordination.change_log import ChangeLog
from acaciarelay.coordination.placement.rendezvous import choose_subset
from acaciarelay.coordination.usage_ledger import UsageLedger
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.link_messages import EntryUsage, Hello, RegionUsage

__all__ = ["RegionUsageExchange"]

# Up to this many entries each one sends its usage to all others itself.
MAX_DIRECT_ENTRIES = 12
# Entries of a region that get the messages to it in turn, so that a single one that
# does not run loses only some of them. Each message repeats the changes that the last
# ones to the others had.
RECEIVERS = 3
# Each message of this number holds all values, for entries that missed a change.
COMPLETE_ROUNDS = 8
# Without a message about a region for this long, its entries count as lost.
REGION_SILENCE_S = 2.6


@attrs.define(eq=False)
class _Outgoing:
    """What a speaker sent to one region; logs are by address and incarnation."""

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


class RegionUsageExchange:
    """Merge the usage that entries report, directly or through a speaker.

    ``zones`` maps each availability zone to its region.
    """

    def __init__(self, hello: Hello, zones: dict[str, str], usage: UsageLedger) -> None:
        self.hello = hello
        self.zones = zones
        self.usage = usage
        # The last complete usage of each reachable peer, by address.
        self.received: dict[str, EntryUsage] = {}
        self.outgoing: dict[str, _Outgoing] = {}
        # Time of the last message about a region, and the regions that were silent for
        # too long and have not sent a complete message since.
        self.heard_at: dict[str, float] = {}
        self.lost_regions: set[str] = set()

    def region(self, peer: Hello) -> str:
        return self.zones.get(peer.zone, "")

    def is_far(self, peer: Hello) -> bool:
        """Return whether a peer is in another region."""
        return self.region(peer) != self.region(self.hello)

    def is_gathered(self, peer: Hello, entries: int) -> bool:
        """Return whether a peer gets the usage of this region's entries together."""
        return entries > MAX_DIRECT_ENTRIES and peer.gathers_usage and self.is_far(peer)

    # Receiving.

    def receive_status(self, peer: Hello, usage: EntryUsage, now: float) -> None:
        """Merge the usage that a peer sent itself."""
        known = self.received.get(usage.address)
        if known is None or known.lifetime != usage.lifetime:
            known = attrs.evolve(usage, admitted={}, demand={})
        self.merge(known, usage, now)

    def receive_region(self, message: RegionUsage, now: float) -> None:
        """Merge the usage of another region's entries, as far as these are known.

        What an entry said of itself on a new link is where the changes start. After a
        silence they start at a complete message.
        """
        self.heard_at[message.region] = now
        if message.region in self.lost_regions:
            if not message.complete:
                return
            self.lost_regions.discard(message.region)
            log_event("region_regained", region=message.region)
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

    def lose_silent_regions(self, peers: Iterable[Hello], now: float) -> None:
        """Record that the gathered peers of regions without a message are lost."""
        for peer in peers:
            region = self.region(peer)
            heard_at = self.heard_at.setdefault(region, now)
            if now - heard_at > REGION_SILENCE_S:
                if region not in self.lost_regions:
                    self.lost_regions.add(region)
                    log_event("region_lost", region=region, silent_s=now - heard_at)
                self.usage.mark_peer_lost(peer.address, now)

    # Sending.

    def is_speaker(self, region: str, near: list[str]) -> bool:
        """Return whether this entry speaks to a region; ``near`` are its neighbours."""
        own = self.hello.address
        return choose_subset(region, [own, *near], 1) == [own]

    def message_to(
        self, region: str, far: list[str], near: list[str], own_usage: EntryUsage
    ) -> tuple[str, RegionUsage] | None:
        """Return the next message to a region and the entry there that gets it.

        ``None`` if this entry is not the speaker to that region.
        """
        if not far or not self.is_speaker(region, near):
            self.outgoing.pop(region, None)
            return None
        outgoing = self.outgoing.setdefault(region, _Outgoing())
        outgoing.round_number += 1
        receivers = choose_subset(self.region(self.hello), far, RECEIVERS)
        receiver = receivers[outgoing.round_number % len(receivers)]
        members = [own_usage]
        for address in near:
            usage = self.received.get(address)
            if usage is not None:
                members.append(usage)
        if outgoing.complete:
            outgoing.keep(members)
        entries = [self.changes(outgoing, usage) for usage in members]
        own_region = self.region(self.hello)
        return receiver, RegionUsage(
            region=own_region,
            complete=outgoing.complete,
            forwarded=False,
            entries=entries,
        )

    def changes(self, outgoing: _Outgoing, usage: EntryUsage) -> EntryUsage:
        """Return the values of an entry that the region may not have yet."""
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
