"""Engines without an agent in reach whose slots this entry grants."""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping

import attrs

from acaciarelay.coordination.slot_limit import SlotLimit
from acaciarelay.programs.engine_reports import EngineReports
from acaciarelay.programs.logs import log_errors, log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.slot_granter import EntryLink, SlotGranter
from acaciarelay.protocol.link_messages import (
    SlotMessage,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from acaciarelay.state.endpoints import Endpoint

__all__ = ["GrantedEngines"]

# A new granter grants nothing for the minimum, in which other entries report the slots
# that they hold, and then until it has read the engine's report, up to the maximum.
MIN_SETTLE_S = 0.05
MAX_SETTLE_S = 0.15
# Time after which the report is read again, to correct the count of untracked runs, and
# further time after which that count is dropped.
RECOUNT_S = 1.0
FORGET_S = 1.5
# An entry of another region gets the states of an engine for this time after it has
# requested a slot.
RECENT_REQUEST_S = 5.0


@attrs.define(eq=False)
class _Granted:
    """The granter of one engine, and when entries last requested a slot of it.

    ``settled`` lets the granter begin to grant.
    """

    granter: SlotGranter
    endpoint: Endpoint
    asked_at: dict[EntryLink, float] = attrs.Factory(dict)
    settled: asyncio.TimerHandle | None = None
    recount: asyncio.Task | None = None

    @property
    def is_idle(self) -> bool:
        queue = self.granter.queue
        return not queue.granted and not queue.waiting


class GrantedEngines:
    """Grant the slots of engines to this entry and its peers.

    ``reaches_agent`` tells whether the agent beside an engine is in reach, so that it
    grants and not this entry. ``links`` returns the links to the entries that may be
    served, this one included.
    """

    def __init__(
        self,
        regions: dict[str, str],
        metrics: Metrics,
        reaches_agent: Callable[[str], bool],
        links: Callable[[], Iterable[EntryLink]],
    ) -> None:
        self.regions = regions
        self.metrics = metrics
        self.reaches_agent = reaches_agent
        self.links = links
        self.engines: Mapping[str, Endpoint] = {}
        self.granted: dict[str, _Granted] = {}

    def start(self, host: str) -> SlotGranter | None:
        """Grant the slots of an engine; ``None`` if it is not registered."""
        granted = self.granted.get(host)
        if granted is not None:
            return granted.granter
        endpoint = self.engines.get(host)
        if endpoint is None:
            return None
        granter = SlotGranter(
            EngineReports(endpoint.address),
            endpoint.zone,
            self.regions,
            self.metrics,
            engine=host,
            learned_limit=SlotLimit(time.monotonic()),
        )
        granter.is_held = True
        granted = self.granted[host] = _Granted(granter, endpoint)
        for link in self.links():
            if granter.is_near(link):
                granter.add_link(link)
        log_event("granting_began", host=host)
        granted.settled = granter.loop.call_later(MAX_SETTLE_S, granter.begin)
        self._count_runs(granted)
        return granter

    def _count_runs(self, granted: _Granted) -> None:
        """Start to count the untracked runs, unless a count is in progress."""
        if granted.recount is None or granted.recount.done():
            granted.recount = asyncio.create_task(self._recount(granted.granter))

    async def _recount(self, granter: SlotGranter) -> None:
        settled_at = granter.loop.time() + MIN_SETTLE_S
        with log_errors():
            await granter.update_untracked_runs()
        await asyncio.sleep(max(0.0, settled_at - granter.loop.time()))
        granter.begin()
        await asyncio.sleep(RECOUNT_S)
        with log_errors():
            await granter.update_untracked_runs()
        await asyncio.sleep(FORGET_S)
        granter.forget_untracked_runs()

    def receive(self, link: EntryLink, message: SlotMessage) -> None:
        """Handle a message of an entry that requests or releases a slot."""
        match message:
            case SlotRequest(engine=host, held=held):
                granter = None if self.reaches_agent(host) else self.start(host)
                if granter is None:
                    if not held:
                        _refuse(link, message.request, host)
                    return
                granted = self.granted[host]
                granted.asked_at[link] = time.monotonic()
                if link not in granter.links:
                    granter.add_link(link)
                if held:
                    granter.adopt_slot(link, message)
                else:
                    granter.request_slot(link, message)
            case SlotRelease(engine=host, declined=declined):
                if declined:
                    self.metrics.count("places_declined_total")
                if host in self.granted:
                    self.granted[host].granter.release_slot(link, message)

    def agent_reached(self, host: str) -> None:
        """Send the requests that wait for a slot to the agent; it grants from now on.

        Slots that were granted here are counted until they are released.
        """
        granted = self.granted.get(host)
        if granted is None:
            return
        queue = granted.granter.queue
        for state in list(queue.waiting.values()):
            link: EntryLink = state.owner  # type: ignore[assignment]
            _refuse(link, state.slot_request.request, host)
        queue.waiting.clear()

    def link_used(self, link: EntryLink) -> None:
        """Publish states to an entry that was just reached, if it is near."""
        for granted in self.granted.values():
            if granted.granter.is_near(link):
                granted.granter.add_link(link)

    def link_closed(self, link: EntryLink) -> None:
        """Release what was held over a closed link."""
        for granted in self.granted.values():
            granted.asked_at.pop(link, None)
            if granted.granter.remove_link(link):
                self._count_runs(granted)

    def tick(self, chosen: set[str], now: float) -> None:
        """End granting where this entry is not chosen for it and holds nothing."""
        for host, granted in list(self.granted.items()):
            registered = self.engines.get(host)
            if registered is None or (host not in chosen and granted.is_idle):
                self._end(host, granted)
                continue
            if registered.address != granted.endpoint.address:
                granted.endpoint = registered
                granted.granter.reports.address = registered.address
            self._forget_far(granted, now)

    def _forget_far(self, granted: _Granted, now: float) -> None:
        granter = granted.granter
        for link, asked_at in list(granted.asked_at.items()):
            if now - asked_at < RECENT_REQUEST_S:
                continue
            del granted.asked_at[link]
            if not granter.is_near(link):
                granter.links.pop(link, None)

    def _end(self, host: str, granted: _Granted) -> None:
        del self.granted[host]
        granted.granter.close()
        if granted.settled is not None:
            granted.settled.cancel()
        if granted.recount is not None:
            granted.recount.cancel()
        log_event("granting_ended", host=host)

    def close(self) -> None:
        for host, granted in list(self.granted.items()):
            self._end(host, granted)


def _refuse(link: EntryLink, request: str, host: str) -> None:
    link.send(SlotRefusal(request=request, engine=host, not_granting=True))
