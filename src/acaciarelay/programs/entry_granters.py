"""Choice of the entry that grants the slots of an engine without a reachable agent."""

import asyncio
import time
from collections.abc import Mapping

import attrs

from acaciarelay.coordination.granter_choice import (
    AgentAbsences,
    LiveEntry,
    granter_order,
)
from acaciarelay.coordination.slot_client import AgentLink, SlotClient
from acaciarelay.programs.granted_engines import GrantedEngines
from acaciarelay.programs.granter_links import (
    GranterProbe,
    LocalEntry,
    LocalGranterLink,
    PeerGranterLink,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.slot_granter import EntryLink
from acaciarelay.protocol.link_messages import (
    EngineState,
    Hello,
    LinkMessage,
    SlotMessage,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.transport.message_link import MessageLink

__all__ = ["EntryGranters"]

# A granter that did not answer is not asked for at least this time, and then not before
# something is received from it.
SILENT_S = 1.0
# A granter refuses while it reaches the engine's agent itself. No granter is asked for
# this time then, which doubles with each refusal up to the maximum.
REFUSED_S = 0.1
MAX_REFUSED_S = 2.0
# Requests wait for the granter of an engine that has none for at most this time.
MAX_UNDECIDED_S = 0.2


@attrs.define(eq=False)
class _Chosen:
    """The granter in use for an engine; ``link`` is ``None`` if it is this entry."""

    address: str
    link: MessageLink | None


@attrs.define(eq=False)
class _Refused:
    """The pause after a refusal; it ends at monotonic time ``until``."""

    until: float
    pause_s: float


class EntryGranters:
    """Choose granters for the engines without an agent in reach.

    ``slot_client`` uses the chosen one in place of the agent. While the agents of all
    engines are reached, nothing is sent and nothing computed.
    """

    def __init__(
        self,
        hello: Hello,
        regions: dict[str, str],
        slot_client: SlotClient,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        self.hello = hello
        self.regions = regions
        self.slot_client = slot_client
        self.peers = peers
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.engines: Mapping[str, Endpoint] = {}
        self.absences = AgentAbsences()
        self.chosen: dict[str, _Chosen] = {}
        # Granters that were asked over a link, former ones included, by engine.
        self.asked: dict[tuple[EntryLink, str], AgentLink] = {}
        self.probes: dict[MessageLink, GranterProbe] = {}
        # Addresses of entries that did not answer, and until when they are not asked.
        self.silent: dict[str, float] = {}
        self.refused: dict[str, _Refused] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.own = LocalEntry(hello, self.receive_own)
        self.granted = GrantedEngines(
            regions, metrics, self.reaches_agent, self.entry_links
        )
        peers.on_link_used = self.link_used
        peers.on_link_closed = self.link_closed
        peers.on_slot_message = self.receive

    def reaches_agent(self, host: str) -> bool:
        return host in self.absences.linked

    def granting_links(self) -> dict[str, MessageLink]:
        """Return the links to the entries that can grant, by address."""
        links = {}
        for link in self.peers.links():
            if link.peer is not None and link.peer.grants_slots:
                links[link.peer.address] = link
        return links

    def entry_links(self) -> list[EntryLink]:
        return [self.own, *self.granting_links().values()]

    # What changes the choice.

    def update_engines(self, engines: Mapping[str, Endpoint], now: float) -> None:
        """Take over the engines that are registered now, by host."""
        known = self.engines.keys()
        self.engines = self.granted.engines = engines
        for host in engines.keys() - known:
            self.absences.add(host, now)
        for host in known - engines.keys():
            self.absences.remove(host)
            self.refused.pop(host, None)
            self.stop_asking(host)
        self.schedule(now)

    def agent_reached(self, host: str) -> None:
        if host not in self.engines:
            return
        self.absences.record_link(host)
        self.refused.pop(host, None)
        self.stop_asking(host)
        self.granted.agent_reached(host)
        self.slot_client.undecided.discard(host)
        self.schedule(time.monotonic())

    def agent_lost(self, host: str) -> None:
        self.absences.record_loss(host, time.monotonic())
        self.choose("absent")

    def link_used(self, link: MessageLink) -> None:
        if not self.absences:
            return
        if link.peer is not None and link.peer.grants_slots:
            self.granted.link_used(link)
            self.choose("order")

    def link_closed(self, link: MessageLink) -> None:
        if not self.absences and not self.granted.granted:
            return
        self.granted.link_closed(link)
        for key in [key for key in self.asked if key[0] is link]:
            del self.asked[key]
        probe = self.probes.pop(link, None)
        if probe is not None:
            probe.close()
        self.choose("closed")

    def granter_silent(self, link: MessageLink) -> None:
        """Ask other entries instead of one that does not answer."""
        if link.peer is None:
            return
        address = link.peer.address
        log_event("granter_silent", granter=address)
        self.silent[address] = time.monotonic() + SILENT_S
        self.choose("silent")

    def granter_refused(self, host: str) -> None:
        """Ask no one for a while, since the granter reaches the agent."""
        former = self.refused.get(host)
        pause_s = REFUSED_S
        if former is not None:
            pause_s = min(MAX_REFUSED_S, 2 * former.pause_s)
        self.refused[host] = _Refused(time.monotonic() + pause_s, pause_s)
        self.choose("refused")

    def tick(self) -> None:
        """Update the granters of this entry, the gauges and the silent granters."""
        if not self.absences and not self.granted.granted:
            return
        now = time.monotonic()
        chosen_here = {h for h, chosen in self.chosen.items() if chosen.link is None}
        self.granted.tick(chosen_here, now)
        self.update_gauges(chosen_here)
        if self.silent:
            self.end_silences(now)

    def end_silences(self, now: float) -> None:
        """Consider silent entries again once something was received from them."""
        links = self.granting_links()
        for address, until in list(self.silent.items()):
            if now < until:
                continue
            link = links.get(address)
            if link is None or link.last_received_at > until - SILENT_S:
                del self.silent[address]
                self.choose("order")
            else:
                link.ping()

    def update_gauges(self, chosen_here: set[str]) -> None:
        absent = len(self.absences.absent())
        counts = {
            "self": len(chosen_here),
            "peer": len(self.chosen) - len(chosen_here),
            "none": absent - len(self.chosen),
        }
        for granter, count in counts.items():
            self.metrics.set("engines_granted", count, granter=granter)

    # Choice of granters.

    def choose(self, reason: str) -> None:
        """Choose the granter of each engine without an agent in reach."""
        now = time.monotonic()
        links = self.granting_links()
        entries = [LiveEntry(self.hello.address, self.hello.zone)]
        for address, link in links.items():
            if address not in self.silent and link.peer is not None:
                entries.append(LiveEntry(address, link.peer.zone))
        undecided = set()
        for host in self.absences.absent():
            refused = self.refused.get(host)
            is_refused = refused is not None and now < refused.until
            if is_refused or not self.absences.needs_granter(host, now):
                self.stop_asking(host)
                if self.is_undecided(host, refused, now):
                    undecided.add(host)
                continue
            zone = self.engines[host].zone
            granter = granter_order(host, zone, entries, self.regions)[0]
            self.ask(host, granter, links.get(granter), reason)
        self.slot_client.undecided = undecided
        self.ping_granters()
        self.schedule(now)

    def is_undecided(self, host: str, refused: _Refused | None, now: float) -> bool:
        """Return whether requests should wait for an engine to have a granter."""
        if refused is not None and now < refused.until:
            return refused.pause_s <= MAX_UNDECIDED_S
        return self.absences.is_just_lost(host, now)

    def ask(
        self, host: str, address: str, link: MessageLink | None, reason: str
    ) -> None:
        """Ask an entry for the slots of an engine from now on."""
        chosen = self.chosen.get(host)
        if chosen is not None and (chosen.address, chosen.link) == (address, link):
            return
        self.chosen[host] = _Chosen(address, link)
        log_event("granter_chosen", host=host, granter=address, reason=reason)
        self.metrics.count("granter_changes_total", reason=reason)
        if link is None:
            self.granted.start(host)
            own_link = LocalGranterLink(host, self.receive_as_granter)
            self.asked[self.own, host] = self.slot_client.use_granter(host, own_link)
            return
        probe = self.probes.get(link)
        if probe is None:
            probe = self.probes[link] = GranterProbe(link, self.granter_silent)
        peer_link = PeerGranterLink(host, link, probe)
        self.asked[link, host] = self.slot_client.use_granter(host, peer_link)

    def stop_asking(self, host: str) -> None:
        if self.chosen.pop(host, None) is not None:
            self.slot_client.drop_granter(host)

    def ping_granters(self) -> None:
        """Measure the round-trip times to the granters in use, and no others."""
        used = {chosen.link for chosen in self.chosen.values()}
        for link in self.probes:
            link.sends_pings = link in used

    def schedule(self, now: float) -> None:
        """Choose again when the next engine may need a granter."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due_s = [refused.until - now for refused in self.refused.values()]
        due_s.append(self.absences.next_due_s(now) or 0.0)
        later_s = [delay_s for delay_s in due_s if delay_s > 0]
        if self.absences and later_s:
            self.timer = self.loop.call_later(min(later_s), self.choose, "absent")

    # Messages.

    def receive(self, link: MessageLink, message: SlotMessage) -> None:
        """Handle a message from a peer."""
        match message:
            case SlotRequest() | SlotRelease():
                self.granted.receive(link, message)
            case _:
                self.receive_answer(link, message)

    def receive_as_granter(self, message: LinkMessage) -> None:
        """Handle a message of this entry to itself as the granter."""
        if isinstance(message, SlotMessage):
            self.granted.receive(self.own, message)

    def receive_own(self, message: LinkMessage) -> None:
        """Handle an answer of this entry as the granter."""
        if isinstance(message, SlotMessage):
            self.receive_answer(self.own, message)

    def receive_answer(self, link: EntryLink, message: SlotMessage) -> None:
        host = message.engine
        asked = self.asked.get((link, host))
        if asked is None:
            return
        self.slot_client.receive_from(asked, message)
        is_current = self.slot_client.agents.get(host) is asked
        match message:
            case SlotRefusal(not_granting=True) if is_current:
                self.granter_refused(host)
            case EngineState() if is_current:
                self.refused.pop(host, None)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for probe in self.probes.values():
            probe.close()
        self.granted.close()
