"""Grant the slots of one engine to entries, and tell them its waits and speed."""

import asyncio
import time
from typing import Protocol

import attrs

from acaciarelay.coordination.engine_model import SPEED_STEP_RATIO, EngineModel
from acaciarelay.coordination.rounding import round_to_power
from acaciarelay.coordination.slot_limit import EXTRA_SLOTS, SlotLimit
from acaciarelay.coordination.slot_queue import SlotQueue, SlotRequestState
from acaciarelay.programs.engine_reports import EngineReports
from acaciarelay.programs.kept_prompts import KeptPrompts
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.link_messages import (
    EngineState,
    Hello,
    LinkMessage,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    encode_message,
)

__all__ = ["EntryLink", "SlotGranter", "coarse_waits"]

# Delay after which queued requests are re-evaluated and a changed state is published.
CHECK_DELAY_S = 0.05
# Least time between two states sent to an entry in the same region, and in another one.
# Both grow with the number of entries there, so that what an agent sends does not, up
# to a bound that keeps the states of use.
STATE_INTERVAL_S = 0.1
FAR_STATE_INTERVAL_S = 0.5
MAX_STATE_INTERVAL_S = 1.0
NEAR_ENTRIES = 12
FAR_ENTRIES = 48
# Published waits are rounded to powers of this ratio. Shorter ones than the least are
# published as it or as none.
WAIT_STEP_RATIO = 1.25
MIN_WAIT_S = 0.02
# Ranks for which waits are published.
PUBLISHED_RANKS = 16
# How long the engine's report is checked for untracked runs after a start or a lost
# link.
UNTRACKED_RUNS_WINDOW_S = 6.0


class EntryLink(Protocol):
    """What a granter needs of a link to an entry."""

    @property
    def peer(self) -> Hello | None: ...

    def send(self, message: LinkMessage) -> None: ...

    def send_line(self, line: bytes) -> None: ...


@attrs.define(eq=False)
class _SentState:
    """The state that was last sent to an entry, and whether it is in this region."""

    near: bool
    state: EngineState | None = None
    sent_at: float = 0.0


class SlotGranter:
    """Queue the requests for one engine and grant its slots to entries.

    ``zones`` maps zones to regions, and ``zone`` is that of this process. ``engine`` is
    named in messages; an agent leaves it empty. ``learned_limit`` bounds the slots
    of an engine beside which there is no agent. Nothing is granted or refused while
    ``is_held`` is true.
    """

    def __init__(
        self,
        reports: EngineReports,
        zone: str,
        zones: dict[str, str],
        metrics: Metrics,
        engine: str = "",
        learned_limit: SlotLimit | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.reports = reports
        self.zone = zone
        self.zones = zones
        self.metrics = metrics
        self.engine = engine
        self.learned_limit = learned_limit
        self.is_held = False
        # The configured slots of the engine, unknown until the first request.
        self.slots = 0
        self.queue = SlotQueue()
        self.model = EngineModel()
        self.kept = KeptPrompts(metrics)
        self.links: dict[EntryLink, _SentState] = {}
        self.publish_timer: asyncio.TimerHandle | None = None
        # Runs at the engine that hold no granted slot.
        self.untracked_runs = 0
        self.untracked_until = time.monotonic() + UNTRACKED_RUNS_WINDOW_S

    def begin(self) -> None:
        """Grant from now on."""
        if self.is_held:
            self.is_held = False
            self.grant()

    def close(self) -> None:
        """Publish nothing from now on."""
        if self.publish_timer is not None:
            self.publish_timer.cancel()
        self.links.clear()

    # Runs that hold no granted slot.

    async def check_untracked_runs(self) -> None:
        """Count the untracked runs within the window, and forget them after it."""
        if time.monotonic() < self.untracked_until:
            await self.update_untracked_runs()
        else:
            self.forget_untracked_runs()

    async def update_untracked_runs(self) -> None:
        """Count the engine's runs that hold no granted slot."""
        report = await self.reports.read()
        if report is None:
            return
        runs = report.running + report.waiting
        untracked_runs = max(0, runs - len(self.queue.granted))
        if untracked_runs != self.untracked_runs:
            log_event("unknown_runs", runs=runs, places=len(self.queue.granted))
        self.untracked_runs = untracked_runs
        self.grant()

    def forget_untracked_runs(self) -> None:
        """Drop the count at the end of the window: no further report corrects it."""
        if self.untracked_runs:
            self.untracked_runs = 0
            self.grant()

    # Links and requests.

    def add_link(self, link: EntryLink) -> None:
        """Publish the engine's state over a link from now on."""
        self.links[link] = _SentState(self.is_near(link))
        self.schedule_publish()

    def remove_link(self, link: EntryLink) -> int:
        """Forget a closed link; return the number of slots that were held over it."""
        self.links.pop(link, None)
        slots = self.queue.release_link(link)
        if slots:
            # The entry may still be alive, with its requests running at the engine.
            self.untracked_runs += slots
            self.untracked_until = time.monotonic() + UNTRACKED_RUNS_WINDOW_S
        self.grant()
        return slots

    def request_slot(self, link: EntryLink, message: SlotRequest) -> None:
        """Queue a request, and refuse it if no slot is expected in time."""
        now = time.monotonic()
        self.slots = message.slots
        self.update_slot_limit(now)
        self.queue.memory_limit = message.memory_tokens
        if self.queue.never_fits(message):
            self.refuse(SlotRequestState(message, link, now, 0.0))
            return
        self.queue.enqueue(link, message, now, self.untracked_runs)
        self.grant()
        self.refuse_if_infeasible(link, message, now)

    def adopt_slot(self, link: EntryLink, message: SlotRequest) -> None:
        """Count the slot of a request that already runs."""
        now = time.monotonic()
        self.slots = message.slots
        self.queue.memory_limit = message.memory_tokens
        self.update_slot_limit(now)
        if self.queue.adopt(link, message, now):
            # It was counted as a run without a slot if the engine has reported it.
            self.untracked_runs = max(0, self.untracked_runs - 1)
        self.schedule_publish()

    def update_slot_limit(self, now: float) -> None:
        if not self.slots:
            return
        if self.learned_limit is None:
            self.queue.slot_limit = self.slots + EXTRA_SLOTS
        else:
            self.queue.slot_limit = self.learned_limit.limit(self.slots, now)

    def release_slot(self, link: EntryLink, message: SlotRelease) -> None:
        """Withdraw a request or release its slot, and grant what became free."""
        now = time.monotonic()
        if message.declined and self.learned_limit is not None:
            self.learned_limit.record_decline(self.slots, now)
            self.update_slot_limit(now)
        self.release(link, message, now)
        self.grant()

    def refuse_if_infeasible(
        self, link: EntryLink, message: SlotRequest, now: float
    ) -> None:
        """Refuse a new request at once that is not expected to get a slot in time."""
        if self.is_held:
            return
        state = self.queue.pop_if_infeasible(
            link, message.request, now, self.untracked_runs
        )
        if state is not None:
            self.refuse(state)

    def release(self, link: EntryLink, message: SlotRelease, now: float) -> None:
        """Release a slot, and update the engine model with the reported timings."""
        state = self.queue.release(link, message.request, now)
        if state is None:
            return
        if message.first_s <= 0:
            self.kept.withdraw(state)
            return
        prompt_tokens = self.kept.end(
            state,
            self.queue.granted.values(),
            message.first_s,
            self.model.speed(),
            now,
        )
        if prompt_tokens is None:
            return
        predicted_s = self.model.speed().first_event_s(prompt_tokens)
        self.metrics.observe(
            "first_event_error_seconds", abs(message.first_s - predicted_s)
        )
        self.model.observe(
            prompt_tokens,
            state.slot_request.output_tokens,
            message.first_s,
            message.stream_s,
            now,
        )

    def grant(self) -> None:
        """Grant free slots."""
        if self.is_held:
            return
        now = time.monotonic()
        for state in self.queue.next_grants(now, self.untracked_runs):
            request = state.slot_request.request
            self.answer(state, SlotGrant(request=request, engine=self.engine))
            self.kept.begin(state, self.queue.granted.values(), now)
            self.metrics.count("places_granted_total", tier=state.slot_request.rank)
            waited_s = now - state.queued_at
            self.metrics.observe(
                "place_wait_seconds", waited_s, tier=state.slot_request.rank
            )
            self.metrics.observe(
                "place_wait_error_seconds",
                abs(waited_s - state.predicted_wait_s),
                tier=state.slot_request.rank,
            )
        for rank in self.queue.memory_waits:
            self.metrics.count("memory_waits_total", tier=rank)
        self.queue.memory_waits.clear()
        self.schedule_publish()

    def refuse(self, state: SlotRequestState) -> None:
        request = state.slot_request.request
        self.answer(state, SlotRefusal(request=request, engine=self.engine))
        self.metrics.count("places_refused_total", tier=state.slot_request.rank)

    def answer(self, state: SlotRequestState, message: LinkMessage) -> None:
        link: EntryLink = state.owner  # type: ignore[assignment]
        link.send(message)

    # Publication.

    def schedule_publish(self) -> None:
        if self.publish_timer is None:
            self.publish_timer = self.loop.call_later(CHECK_DELAY_S, self.publish)

    def publish(self) -> None:
        """Update the gauges, and send entries the waits and the speed if changed."""
        self.publish_timer = None
        if self.is_held:
            return
        now = time.monotonic()
        if self.learned_limit is not None:
            self.update_slot_limit(now)
        if self.queue.waiting:
            # As time passes, and as others come and go, a queued request may become due
            # for refusal, or a slot may no longer be kept from its rank.
            self.grant()
            for infeasible in self.queue.pop_infeasible(now, self.untracked_runs):
                self.refuse(infeasible)
        if not self.engine:
            self.update_gauges()
        state = self.state(now)
        line = encode_message(state)
        near_interval_s, far_interval_s = self.state_intervals_s()
        for link, last in self.links.items():
            if last.state == state:
                continue
            interval_s = near_interval_s if last.near else far_interval_s
            if now - last.sent_at < interval_s:
                self.schedule_publish()
                continue
            last.state, last.sent_at = state, now
            link.send_line(line)

    def update_gauges(self) -> None:
        self.metrics.set("places_used", len(self.queue.granted) + self.untracked_runs)
        self.metrics.set("places_waiting", len(self.queue.waiting))
        self.metrics.set("kept_parts", len(self.kept.parts))
        for rank in self.queue.ranks():
            self.metrics.set("places_kept", self.queue.reserved_slots(rank), tier=rank)

    def state(self, now: float) -> EngineState:
        """Return the state to publish, rounded so that small changes are not sent."""
        speed = self.model.speed()
        waits_s = self.queue.predicted_waits_s(
            PUBLISHED_RANKS, now, self.untracked_runs
        )
        return EngineState(
            waits_s=coarse_waits(waits_s),
            first_s=speed.first_s,
            token_s=speed.token_s,
            slowdown=round_to_power(self.reports.slowdown.mean, SPEED_STEP_RATIO),
            engine=self.engine,
            kept=self.kept.hints(now),
        )

    def is_near(self, link: EntryLink) -> bool:
        """Return whether an entry is in this region."""
        assert link.peer is not None
        return self.zones.get(link.peer.zone) == self.zones.get(self.zone)

    def state_intervals_s(self) -> tuple[float, float]:
        """Return the least seconds between two states sent to near and far entries.

        Entries in other regions seldom request slots here, so they get fewer.
        """
        near = sum(1 for last in self.links.values() if last.near)
        far = len(self.links) - near
        return (
            min(MAX_STATE_INTERVAL_S, STATE_INTERVAL_S * max(1.0, near / NEAR_ENTRIES)),
            min(
                MAX_STATE_INTERVAL_S, FAR_STATE_INTERVAL_S * max(1.0, far / FAR_ENTRIES)
            ),
        )


def coarse_waits(waits_s: list[float]) -> list[float]:
    """Round waits, and drop trailing ones that repeat the wait before them."""
    coarse = [coarse_wait(wait_s) for wait_s in waits_s]
    while len(coarse) > 1 and coarse[-1] == coarse[-2]:
        coarse.pop()
    return coarse


def coarse_wait(wait_s: float) -> float:
    """Round a wait, so that a small change of a long one is not sent to all entries."""
    if wait_s < MIN_WAIT_S / 2:
        return 0.0
    return round(max(MIN_WAIT_S, round_to_power(wait_s, WAIT_STEP_RATIO)), 3)
