"""Streams that callers resume: which software version they may go on at."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from acaciarelay.coordination.slot_client import SlotClient, SlotLink
from acaciarelay.coordination.stream_origins import StreamOrigin
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.served_versions import ServedVersions
from acaciarelay.programs.stream_records import StreamRecords
from acaciarelay.protocol.link_messages import (
    StreamFound,
    StreamLookup,
    StreamMessage,
    StreamStarted,
)
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.state.relayed_request import RelayedRequest
from acaciarelay.state.routing import Repeatability
from acaciarelay.transport.message_link import MessageLink

__all__ = ["ResumedStreams"]

# How long all processes asked may take to answer, and how long a process that has just
# started waits for the links to those that it can't ask yet.
ANSWER_TIMEOUT_S = 0.25
LINK_TIMEOUT_S = 0.8
LINK_CHECK_S = 0.05
# Processes that remember a stream beside its entry and the granter of its slot.
COPIES = 2
# How long a stream may be resumed after the time limit of its request.
KEPT_AFTER_LIMIT_S = 2.0


@attrs.define(eq=False)
class _Lookup:
    """A question under way; ``awaited`` are the links that owe an answer.

    ``found`` is what those that know the stream say of it.
    """

    asked: set[MessageLink] = attrs.Factory(set)
    awaited: set[MessageLink] = attrs.Factory(set)
    found: StreamOrigin | None = None
    answered: asyncio.Event = attrs.Factory(asyncio.Event)

    def add(self, message: StreamFound) -> None:
        """Take over what one process knows."""
        versions = frozenset({message.version}) if message.begun else frozenset()
        origin = StreamOrigin(versions, message.foreign)
        self.found = origin if self.found is None else self.found.joined(origin)

    @property
    def is_answered(self) -> bool:
        """Return whether all that were asked have answered."""
        return bool(self.asked) and not self.awaited


class ResumedStreams:
    """Record where streams begin, and find out where a resumed one began.

    The agents beside the engines remember it, since they outlive the entries, and so
    does this entry. In place of an agent that is out of reach, the entry that grants
    the slots of its engine does. Further agents or entries keep copies, as several
    processes may end at once. ``peer_links`` returns the links to all entries.
    """

    def __init__(
        self,
        cache: StateCache,
        versions: ServedVersions,
        slot_client: SlotClient,
        metrics: Metrics,
        peer_links: Callable[[], Iterable[MessageLink]],
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.cache = cache
        self.versions = versions
        self.slot_client = slot_client
        self.metrics = metrics
        self.peer_links = peer_links
        self.records = StreamRecords()
        self.lookups: dict[int, _Lookup] = {}
        self.numbers = itertools.count(1)
        self.loop = asyncio.get_running_loop()

    # Streams that begin.

    def record(self, relayed: RelayedRequest) -> None:
        """Remember where a stream begins, before its first event is passed on.

        A request that was sent and brought no event is not recorded: it may be sent
        elsewhere, and a record of that may be lost.
        """
        endpoint = relayed.endpoint
        if (
            endpoint is None
            or relayed.route.repeatability is not Repeatability.RESUMABLE
        ):
            return
        message = self.started(relayed, endpoint)
        self.records.record(message)
        for link in self.keepers(endpoint):
            link.send(message)

    def started(self, relayed: RelayedRequest, endpoint: Endpoint) -> StreamStarted:
        """Return what is told of a stream that began at an endpoint."""
        limit_s = relayed.deadline - self.loop.time()
        limit_s = max(limit_s, relayed.traits.time_limit_s or 0.0)
        return StreamStarted(
            request=relayed.traits.request_id,
            version=endpoint.version,
            attempt=relayed.attempt_count,
            kept_s=round(limit_s + KEPT_AFTER_LIMIT_S, 1),
            begun=True,
        )

    def disown(self, relayed: RelayedRequest) -> None:
        """Let nobody resume a stream whose events are no part of it."""
        endpoint = relayed.endpoint
        if endpoint is None or relayed.first_event_at is None:
            # The caller has no event of this answer.
            return
        log_event(
            "stream_disowned",
            request_id=relayed.traits.request_id,
            first_request=relayed.traits.first_request,
            endpoint=endpoint.endpoint_id,
            last_event=relayed.position.last_event,
        )
        message = attrs.evolve(self.started(relayed, endpoint), foreign=True)
        for request in {message.request, relayed.traits.first_request} - {""}:
            named = attrs.evolve(message, request=request)
            self.records.record(named)
            for link in self.agent_links() + self.streaming_peers():
                link.send(named)

    def keepers(self, endpoint: Endpoint) -> list[SlotLink]:
        """Return the links to those that remember a stream beside this entry.

        They are the granter of the engine's slots, and others in case it ends: agents
        of other engines, or peers in their place.
        """
        links: list[SlotLink] = []
        copies = []
        for host, agent in self.slot_client.agents.items():
            if not agent.beside_engine:
                if host == endpoint.host:
                    links.append(agent.link)
            elif not _finds_streams(agent.link):
                continue
            elif host == endpoint.host:
                links.append(agent.link)
            else:
                copies.append(agent.link)
        if len(copies) < COPIES:
            copies += self.streaming_peers()
        return links + self.rng.sample(copies, min(COPIES, len(copies)))

    # Streams that are resumed.

    async def find_software(self, relayed: RelayedRequest) -> Result[str, str]:
        """Return the version that began a resumed stream, or the code of a refusal."""
        origin = None
        first_request = relayed.traits.first_request
        if first_request:
            origin = await self.find_origin(first_request, relayed.service)
        if origin is not None and origin.foreign:
            return Err("stream_foreign")
        if origin is not None:
            software = origin.version
        else:
            software = await self.versions.only_version(relayed)
        log_event(
            "stream_resumed",
            request_id=relayed.traits.request_id,
            first_request=first_request,
            after_event=relayed.position.last_event,
            software=software,
            known_by="record" if origin is not None else "history",
        )
        return Ok(software) if software is not None else Err("stream_origin_unknown")

    async def find_origin(self, request: str, service: str) -> StreamOrigin | None:
        """Return where a request's stream began; ask others if need be."""
        known = self.records.origins.find(request, time.monotonic())
        if known is not None:
            return known
        number = next(self.numbers)
        lookup = self.lookups[number] = _Lookup()
        try:
            await self.ask(number, request, service, lookup)
        finally:
            del self.lookups[number]
        return lookup.found

    async def ask(
        self, number: int, request: str, service: str, lookup: _Lookup
    ) -> None:
        """Ask all agents in reach, then the peers, until one names a version.

        One answer suffices, as only the first event of a stream is recorded.
        """
        began_at = self.loop.time()
        asked_at = began_at
        while True:
            links = self.agent_links()
            is_late = self.loop.time() >= asked_at + ANSWER_TIMEOUT_S
            if self.misses_agents or lookup.is_answered or is_late:
                links += self.streaming_peers()
            for link in links:
                if link in lookup.asked:
                    continue
                lookup.asked.add(link)
                lookup.awaited.add(link)
                asked_at = self.loop.time()
                link.send(StreamLookup(number=number, request=request))
            if lookup.found is not None:
                return
            now = self.loop.time()
            is_answered = not lookup.awaited or now >= asked_at + ANSWER_TIMEOUT_S
            is_linked = self.is_linked(service) or now >= began_at + LINK_TIMEOUT_S
            if is_answered and is_linked:
                return
            lookup.answered.clear()
            try:
                async with asyncio.timeout(LINK_CHECK_S):
                    await lookup.answered.wait()
            except TimeoutError:
                continue

    def agent_links(self) -> list[MessageLink]:
        """Return the links to all agents that can be asked."""
        links = []
        for agent in self.slot_client.agents.values():
            if not agent.beside_engine or not isinstance(agent.link, MessageLink):
                continue
            if _finds_streams(agent.link):
                links.append(agent.link)
        return links

    def streaming_peers(self) -> list[MessageLink]:
        """Return the links to the entries that understand messages about streams."""
        return [link for link in self.peer_links() if _finds_streams(link)]

    @property
    def misses_agents(self) -> bool:
        """Return whether an engine has no agent in reach, or there are no engines."""
        agents = self.slot_client.agents.values()
        return not all(agent.beside_engine for agent in agents) or not agents

    def is_linked(self, service: str) -> bool:
        """Return whether each engine of a service has a granter that can be asked."""
        routing = self.cache.routing
        endpoints = [e for e in self.cache.endpoints.all() if e.service == service]
        if routing is None or not endpoints:
            return False
        known = routing.services.get(service)
        if known is None or known.engine is None:
            return True
        return all(e.host in self.slot_client.agents for e in endpoints)

    def receive(self, link: MessageLink, message: StreamMessage) -> None:
        """Handle a message of an agent or a peer about streams."""
        match message:
            case StreamStarted() | StreamLookup():
                self.records.receive(link, message)
            case StreamFound(number=number):
                lookup = self.lookups.get(number)
                if lookup is None or link not in lookup.awaited:
                    return
                lookup.awaited.discard(link)
                if message.begun or message.foreign:
                    lookup.add(message)
                if lookup.found is not None or not lookup.awaited:
                    lookup.answered.set()

    def count(self, outcome: str) -> None:
        """Count the fate of a resumed stream."""
        self.metrics.count("streams_resumed_total", outcome=outcome)


def _finds_streams(link: SlotLink) -> bool:
    return link.peer is not None and link.peer.finds_streams
