"""Agent on the users' platform: grants places at the engine on its machine."""

import asyncio
import secrets
import signal
import sys
import time

import attrs
import h11
from result import Err, Ok

from acaciarelay.coordination.engine_model import EngineModel
from acaciarelay.coordination.place_queue import Holder, PlaceQueue
from acaciarelay.platform.configuration import FormatError
from acaciarelay.platform.endpoints import EngineReport, decode_report
from acaciarelay.platform.exchange import REPORT_PATH
from acaciarelay.programs.decision_log import configure_decision_log
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.metrics_server import serve_metrics
from acaciarelay.programs.relay_settings import (
    RelaySettings,
    SettingsError,
    load_settings,
    settings_path,
)
from acaciarelay.protocol.relay_messages import (
    AskPlace,
    EndPlace,
    EngineState,
    EntryList,
    GrantPlace,
    Hello,
    RefusePlace,
    RelayMessage,
)
from acaciarelay.transport.endpoint_call import CallFault, connect
from acaciarelay.transport.message_link import LinkServer, MessageLink

__all__ = ["RelayAgent", "main"]

EXIT_SETTINGS = 2
# How often waiting requests are looked at again.
CHECK_INTERVAL_S = 0.05
STATE_INTERVAL_S = 0.1
FAR_STATE_INTERVAL_S = 0.5
# Steps in which waits are told.
WAIT_STEP_S = 0.02
# Places beyond the engine's slots, so that the next request is there when one ends.
EXTRA_PLACES = 1
RANKS = 16
REPORT_TIMEOUT_S = 0.5
REPORT_INTERVAL_S = 0.25
# How long runs without a place are looked for after a start or a lost link.
UNKNOWN_RUNS_S = 6.0


@attrs.define(eq=False)
class _Told:
    """Hold what an entry was told last, and when."""

    state: EngineState | None = None
    at: float = 0.0


class RelayAgent:
    """Own the places at one engine."""

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.queue = PlaceQueue()
        self.model = EngineModel()
        self.hello = Hello(
            name=settings.name,
            lifetime=secrets.token_hex(6),
            address=f"{settings.host}:{settings.agent_port}",
            zone=settings.zone,
        )
        self.server = LinkServer(self.hello, self.receive, self.opened, self.closed)
        self.links: dict[MessageLink, _Told] = {}
        self.stopping = asyncio.Event()
        self.state_timer: asyncio.TimerHandle | None = None
        self.foreign = 0
        self.unknown_until = time.monotonic() + UNKNOWN_RUNS_S

    async def run(self) -> int:
        """Grant places until a stop is requested."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self.server.listen(self.settings.host, self.settings.agent_port)
        metrics = await serve_metrics(self.settings.metrics_address, self.metrics)
        log_event("started", engine=self.settings.engine_address, always=True)
        while not self.stopping.is_set():
            if time.monotonic() < self.unknown_until:
                await self.look_for_unknown_runs()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self.stopping.wait()
            except TimeoutError:
                continue
        log_event("stopped", places=len(self.queue.granted), always=True)
        self.server.close()
        metrics.close()
        return 0

    async def look_for_unknown_runs(self) -> None:
        """Count the engine's runs that no place stands for."""
        report = await self.read_report()
        if report is None:
            return
        runs = report.running + report.waiting
        foreign = max(0, runs - len(self.queue.granted))
        if time.monotonic() + REPORT_INTERVAL_S >= self.unknown_until:
            foreign = 0
        if foreign != self.foreign:
            log_event("unknown_runs", runs=runs, places=len(self.queue.granted))
        self.foreign = foreign
        self.grant()

    async def read_report(self) -> EngineReport | None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await self.fetch_report()
        except TimeoutError:
            log_event("report_failed", detail="no report in time")
            return None

    async def fetch_report(self) -> EngineReport | None:
        match await connect(self.settings.engine_address, REPORT_TIMEOUT_S):
            case Err(fault):
                log_event("report_failed", detail=str(fault))
                return None
            case Ok(call):
                pass
        try:
            host = self.settings.engine_address
            call.send("GET", REPORT_PATH, [("Host", host)], b"")
            pieces: list[bytes] = []
            while True:
                match await call.next_event():
                    case h11.Data(data=data):
                        pieces.append(bytes(data))
                    case h11.EndOfMessage():
                        return decode_report(b"".join(pieces))
                    case CallFault() as fault:
                        log_event("report_failed", detail=str(fault))
                        return None
        except FormatError as error:
            log_event("report_failed", detail=str(error))
            return None
        finally:
            call.close()

    def opened(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.links[link] = _Told()
        log_event("entry_regained", entry=link.peer.name, lifetime=link.peer.lifetime)
        self.tell_entries()
        self.tell_soon()

    def closed(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.links.pop(link, None)
        places = self.queue.end_all(link)
        log_event("entry_lost", entry=link.peer.name, places=places)
        if places:
            # The entry may live and still use its places.
            self.foreign += places
            self.unknown_until = time.monotonic() + UNKNOWN_RUNS_S
        self.grant()

    def receive(self, link: MessageLink, message: RelayMessage) -> None:
        now = time.monotonic()
        match message:
            case AskPlace():
                self.queue.limit = message.slots + EXTRA_PLACES
                self.queue.ask(link, message, now, self.foreign)
            case EndPlace():
                self.end(link, message, now)
            case _:
                return
        self.grant()

    def end(self, link: MessageLink, message: EndPlace, now: float) -> None:
        """Free a place, and learn from the answer that its request got."""
        holder = self.queue.end(link, message.request, now)
        if holder is None or message.first_s <= 0:
            return
        prompt_tokens = holder.ask.prompt_tokens
        predicted_s = self.model.speed().first_event_s(prompt_tokens)
        self.metrics.observe(
            "first_event_error_seconds", abs(message.first_s - predicted_s)
        )
        self.model.observe(
            prompt_tokens, holder.ask.output_tokens, message.first_s, message.stream_s
        )

    def grant(self) -> None:
        """Grant free places, and refuse at once what can't have one in time."""
        now = time.monotonic()
        for holder in self.queue.next_grants(now, self.foreign):
            self.answer(holder, GrantPlace(request=holder.ask.request))
            self.metrics.count("places_granted_total", tier=holder.ask.rank)
            waited_s = now - holder.asked_at
            self.metrics.observe("place_wait_seconds", waited_s, tier=holder.ask.rank)
            self.metrics.observe(
                "place_wait_error_seconds",
                abs(waited_s - holder.predicted_s),
                tier=holder.ask.rank,
            )
        for holder in self.queue.take_hopeless(now, self.foreign):
            self.answer(holder, RefusePlace(request=holder.ask.request))
            self.metrics.count("places_refused_total", tier=holder.ask.rank)
        self.tell_soon()

    def answer(self, holder: Holder, message: RelayMessage) -> None:
        assert isinstance(holder.owner, MessageLink)
        holder.owner.send(message)

    def tell_soon(self) -> None:
        if self.state_timer is None:
            self.state_timer = self.loop.call_later(CHECK_INTERVAL_S, self.tell)

    def tell(self) -> None:
        """Tell the entries how long the wait is, when that changed."""
        self.state_timer = None
        now = time.monotonic()
        if self.queue.waiting:
            # Time alone can make a waiting request hopeless or open a place to it.
            self.grant()
        self.metrics.set("places_used", len(self.queue.granted) + self.foreign)
        self.metrics.set("places_waiting", len(self.queue.waiting))
        for rank in self.queue.ranks():
            self.metrics.set("places_kept", self.queue.kept_places(rank), tier=rank)
        speed = self.model.speed()
        waits_s = self.queue.expected_waits(RANKS, now, self.foreign)
        state = EngineState(
            waits_s=coarse_waits(waits_s),
            first_s=speed.first_s,
            token_s=speed.token_s,
        )
        for link, told in self.links.items():
            if told.state == state:
                continue
            if now - told.at < self.interval_s(link):
                self.tell_soon()
                continue
            told.state, told.at = state, now
            link.send(state)

    def interval_s(self, link: MessageLink) -> float:
        """Return how often an entry is told; entries far away seldom ask here."""
        assert link.peer is not None
        zones = self.settings.zones
        if zones.get(link.peer.zone) == zones.get(self.settings.zone):
            return STATE_INTERVAL_S
        return FAR_STATE_INTERVAL_S

    def tell_entries(self) -> None:
        """Tell all entries of each other."""
        entries = EntryList(
            entries=sorted(link.peer.address for link in self.links if link.peer)
        )
        for link in self.links:
            link.send(entries)


def coarse_waits(waits_s: list[float]) -> list[float]:
    """Round waits, and leave out the last ones that are alike."""
    coarse = [round(wait / WAIT_STEP_S) * WAIT_STEP_S for wait in waits_s]
    while len(coarse) > 1 and coarse[-1] == coarse[-2]:
        coarse.pop()
    return [round(wait, 3) for wait in coarse]


def main() -> int:
    """Run an agent and return its exit code."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"acaciarelay agent: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_decision_log("agent", settings.name)

    async def run() -> int:
        return await RelayAgent(settings).run()

    return asyncio.run(run())
