"""Agent on the users' platform: grants slots of the engine on its VM."""

import asyncio
import secrets
import signal
import sys
import time
from collections.abc import Iterable

from acaciarelay.coordination.crash_suspicion import Crash
from acaciarelay.programs.crash_detector import CrashDetector, crash_record
from acaciarelay.programs.decision_log import configure_decision_log
from acaciarelay.programs.engine_reports import EngineReports
from acaciarelay.programs.logs import log_errors, log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.metrics_server import serve_metrics
from acaciarelay.programs.relay_settings import (
    RelaySettings,
    SettingsError,
    load_settings,
    settings_path,
)
from acaciarelay.programs.slot_granter import SlotGranter
from acaciarelay.programs.stream_records import StreamRecords
from acaciarelay.protocol.link_messages import (
    BrokenRun,
    CrashReport,
    EntryList,
    Hello,
    LinkMessage,
    SlotRelease,
    SlotRequest,
    StreamLookup,
    StreamStarted,
    encode_message,
)
from acaciarelay.transport.message_link import LinkHandlers, LinkServer, MessageLink

__all__ = ["RelayAgent", "main"]

EXIT_SETTINGS = 2
REPORT_INTERVAL_S = 0.25


class RelayAgent:
    """Queue the requests for one engine and grant its slots to entries."""

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.granter = SlotGranter(
            EngineReports(settings.engine_address),
            settings.zone,
            settings.zones,
            self.metrics,
        )
        self.hello = Hello(
            name=settings.name,
            lifetime=secrets.token_hex(6),
            address=f"{settings.host}:{settings.agent_port}",
            zone=settings.zone,
            digests_parts=True,
            grants_slots=True,
            finds_streams=True,
        )
        self.streams = StreamRecords()
        self.server = LinkServer(
            self.hello,
            LinkHandlers(
                on_open=self.opened, on_message=self.receive, on_close=self.closed
            ),
        )
        self.links: set[MessageLink] = set()
        self.crashes = CrashDetector(self.report_crash)
        self.stopping = asyncio.Event()

    async def run(self) -> int:
        """Serve entries until a stop is requested."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        # The agent has nothing to reload, and the signal must not end it.
        self.loop.add_signal_handler(signal.SIGHUP, lambda: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.server.listen(self.settings.host, self.settings.agent_port)
        metrics = await serve_metrics(self.settings.metrics_address, self.metrics)
        log_event("started", engine=self.settings.engine_address, always=True)
        while not self.stopping.is_set():
            with log_errors():
                await self.granter.check_untracked_runs()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self.stopping.wait()
            except TimeoutError:
                continue
        log_event("stopped", places=len(self.granter.queue.granted), always=True)
        self.crashes.close()
        self.server.close()
        metrics.close()
        return 0

    def opened(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.links.add(link)
        log_event("entry_regained", entry=link.peer.name, lifetime=link.peer.lifetime)
        self.send_entry_list()
        self.granter.add_link(link)
        self.send_crashes([link], list(self.crashes.crashes.values()))

    def closed(self, link: MessageLink) -> None:
        assert link.peer is not None
        self.links.discard(link)
        slots = self.granter.remove_link(link)
        log_event("entry_lost", entry=link.peer.name, places=slots)

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        match message:
            case SlotRequest(held=True):
                self.granter.adopt_slot(link, message)
            case SlotRequest():
                self.granter.request_slot(link, message)
            case SlotRelease():
                self.granter.release_slot(link, message)
            case BrokenRun():
                self.crashes.record(message, self.settings.engine_address)
            case StreamStarted() | StreamLookup():
                self.streams.receive(link, message)
            case _:
                return

    def report_crash(self, crash: Crash) -> None:
        """Tell all entries of a crash of the engine."""
        self.metrics.count("engine_crashes_total")
        self.granter.kept.clear()
        self.send_crashes(self.links, [crash])

    def send_crashes(self, links: Iterable[MessageLink], crashes: list[Crash]) -> None:
        if not crashes:
            return
        now = time.monotonic()
        records = [crash_record(crash, now) for crash in crashes]
        line = encode_message(CrashReport(crashes=records, benign_s={}))
        for link in links:
            if link.peer is not None and link.peer.digests_parts:
                link.send_line(line)

    def send_entry_list(self) -> None:
        """Send all entries the addresses of those that are connected."""
        entries = EntryList(
            entries=sorted(link.peer.address for link in self.links if link.peer)
        )
        for link in self.links:
            link.send(entries)


def main() -> int:
    """Run an agent and return the exit code of the process."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"acaciarelay agent: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_decision_log("agent", settings.name)

    async def run() -> int:
        return await RelayAgent(settings).run()

    return asyncio.run(run())
