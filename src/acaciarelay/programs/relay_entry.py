"""Entry on the users' platform: its servers, links and life cycle."""

import asyncio
import random
import secrets
import signal
import sys
import time

import eliot

from acaciarelay.coordination.drain_window import DrainWindow
from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.loop_budget import LongStep, LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.platform.headers import READY_PATH
from acaciarelay.programs.agent_links import AgentLinks, engines_by_host
from acaciarelay.programs.caller_server import CallerServer
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.decision_log import configure_decision_log
from acaciarelay.programs.entry_granters import EntryGranters
from acaciarelay.programs.entry_stop import EntryStop
from acaciarelay.programs.logs import log_event, run_steps
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.metrics_server import serve_metrics
from acaciarelay.programs.relay_peers import Peers
from acaciarelay.programs.relay_refusal import respond_refusal
from acaciarelay.programs.relay_request import RequestRelay
from acaciarelay.programs.relay_settings import (
    RelaySettings,
    SettingsError,
    load_settings,
    settings_path,
)
from acaciarelay.programs.relay_state_cache import TABLES, StateCache
from acaciarelay.programs.resumed_streams import ResumedStreams
from acaciarelay.programs.rollouts import Rollouts
from acaciarelay.programs.served_versions import ServedVersions
from acaciarelay.programs.slow_callers import SlowCallers
from acaciarelay.programs.store_follower import StoreFollower
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.protocol.link_messages import Hello
from acaciarelay.state.routing import CallerLimits
from acaciarelay.state.run_clock import RunClock
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)
from acaciarelay.transport.message_link import LinkTicker

__all__ = ["RelayEntry", "main"]

EXIT_SETTINGS = 2
# Interval at which a running entry sends due statuses, drops expired endpoints and
# updates its gauges.
TICK_S = 0.2
# Share of the process's memory for the bodies of requests and answers under way. While
# a body is passed on there are up to three copies of it.
BODY_MEMORY_SHARE = 0.2
BYTES_PER_MB = 1_000_000
# Part of that which long bodies leave to small ones where endpoints may read slowly.
SMALL_BODY_RESERVE = 0.25
# Bodies on the address for readiness, where none are expected.
READY_BODY_BYTES = 65_536


class RelayEntry:
    """Build the parts of an entry, and run it from start to stop."""

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(secrets.randbits(64))
        self.metrics = Metrics()
        self.cache = StateCache(settings.registration_interval_ms / 1000)
        if not settings.first_start:
            self.cache.await_peer()
        self.run_clock = RunClock()
        self.run_clock.on_pause.append(self.resume)
        self.usage = UsageLedger(
            UsageTolerance(
                window_s=settings.usage_window_s,
                excess_fraction=settings.usage_excess,
                slack_tokens=settings.usage_slack,
            ),
            settings.first_start,
            time.monotonic(),
        )
        self.retry_budget = SharedRetryBudget(
            settings.retry_ratio,
            settings.retry_reserve,
            settings.retry_window_s,
        )
        self.health = EndpointHealth(settings.zone, settings.zones, self.rng)
        self.slot_client = SlotClient()
        body_bytes = int(settings.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE)
        small_reserve = SMALL_BODY_RESERVE if settings.slow_peers else 0.0
        self.body_memory = MemoryBudget(body_bytes, int(body_bytes * small_reserve))
        self.connections: set[InboundConnection] = set()
        # Present where callers may read slowly.
        self.slow_callers: SlowCallers | None = None
        if settings.slow_peers:
            self.slow_callers = SlowCallers(
                settings.memory_mb, self.connections, self.metrics
            )
        self.loop_budget = LoopBudget(self.record_long_step)
        own_address = f"{settings.host}:{settings.peer_port}"
        self.crashes = CrashGuard(own_address, self.slot_client, self.metrics)
        self.hello = Hello(
            name=settings.name,
            lifetime=secrets.token_hex(6),
            address=own_address,
            zone=settings.zone,
            gathers_usage=True,
            digests_parts=True,
            orders_eras=True,
            grants_slots=True,
            rolls_out=settings.rollout_share > 0.0,
            finds_streams=True,
        )
        self.ticker = LinkTicker(self.loop_budget)
        self.peers = Peers(
            self.hello,
            self.cache,
            self.usage,
            self.retry_budget,
            self.crashes,
            self.ticker,
        )
        self.rollouts: Rollouts | None = None
        if self.hello.rolls_out:
            self.rollouts = Rollouts(
                settings,
                self.hello,
                self.cache,
                self.peers,
                self.metrics,
                lambda era: self.peers.on_era(era),
            )
        self.follower = StoreFollower(
            settings.store_address,
            self.cache,
            self.rng,
            settings.store_silence_ms / 1000,
            lambda: self.usage.process_count,
            self.loop_budget,
        )
        self.streams = ResumedStreams(
            self.cache,
            ServedVersions(self.cache, self.follower.confirm),
            self.slot_client,
            self.metrics,
            self.peers.links,
            self.rng,
        )
        self.peers.on_stream_message = self.streams.receive
        self.relay = RequestRelay(
            self.cache,
            self.usage,
            self.retry_budget,
            self.health,
            self.slot_client,
            self.run_clock,
            self.body_memory,
            self.loop_budget,
            self.crashes,
            self.metrics,
            self.rng,
            self.streams,
            self.rollouts,
            settings.slow_peers,
        )
        self.peers.on_era = self.follower.probe_era
        self.callers = CallerServer(self.build_inbound, self.connections)
        self.granters = EntryGranters(
            self.hello, settings.zones, self.slot_client, self.peers, self.metrics
        )
        self.agents = AgentLinks(
            self.hello,
            self.slot_client,
            self.crashes,
            self.peers,
            self.ticker,
            self.granters,
        )
        self.agents.on_stream_found = self.streams.receive
        self.servers: list[asyncio.Server] = []
        self.stopping = asyncio.Event()
        # Event loop time of the first signal to stop.
        self.stop_requested_at: float | None = None
        self.cache.on_configuration.append(self.reconcile_agents)
        self.cache.on_endpoints.append(self.reconcile_agents)

    async def run(self) -> int:
        """Serve until a stop is requested, then drain."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
            # Replaces the handler that does nothing, and keeps the wake-up of the loop.
            signal.signal(number, self.record_stop_signal)
            signal.siginterrupt(number, False)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.listen()
        self.follower.start()
        log_event("started", address=self.settings.caller_address, always=True)
        while not self.stopping.is_set():
            self.tick()
            try:
                async with asyncio.timeout(TICK_S):
                    await self.stopping.wait()
            except TimeoutError:
                continue
        await self.drain()
        return 0

    def record_stop_signal(self, *_: object) -> None:
        """Record the time of the first signal, even while a task holds the loop."""
        if self.stop_requested_at is None:
            self.stop_requested_at = self.loop.time()

    def tick(self) -> None:
        """Do what is due; an error in one step must not end the process."""
        run_steps(
            (
                self.run_clock.check,
                self.tick_peers,
                self.granters.tick,
                self.cache.expire_endpoints,
                self.cache.release_holds,
                self.update_gauges,
            )
        )

    def tick_peers(self) -> None:
        """Send the peers what is due."""
        self.peers.tick(time.monotonic())

    def resume(self, pause_s: float) -> None:
        """Distrust what was true before a pause, and read it again."""
        log_event("resumed_after_pause", pause_s=round(pause_s, 3), always=True)
        self.cache.distrust()
        self.usage.forget_levels(time.monotonic())
        self.peers.tables.resumed_at = self.loop.time()
        self.follower.probe()

    def update_gauges(self) -> None:
        """Set the gauges of the configuration, the cache's staleness and the peers."""
        routing = self.cache.routing
        if routing is not None:
            self.metrics.set("config_generation", routing.version)
        for table in TABLES:
            self.metrics.set(
                "belief_age_seconds", self.cache.staleness_s(table), table=table
            )
        self.metrics.set("store_era", self.cache.era)
        self.metrics.set("peers_reached", len(self.peers.addresses()))
        self.metrics.set("body_bytes", self.body_memory.used_bytes)
        if self.slow_callers is not None:
            self.slow_callers.update_metrics()
        for reader, seconds in self.loop_budget.seconds.items():
            self.metrics.set("reading_seconds", seconds, reader=reader)

    def record_long_step(self, step: LongStep) -> None:
        """Count and log a step that kept the event loop from other tasks."""
        self.metrics.count("long_steps_total", reader=step.reader)
        log_event(
            "event_loop_held",
            reader=step.reader,
            peer=step.peer,
            seconds=round(step.seconds, 4),
            bytes=step.size,
        )

    async def listen(self) -> None:
        host, port = _split(self.settings.caller_address)
        await self.callers.listen(host, port)
        host, port = _split(self.settings.ready_address)
        self.servers.append(await self.loop.create_server(self.build_ready, host, port))
        self.servers.append(
            await serve_metrics(self.settings.metrics_address, self.metrics)
        )
        await self.peers.listen(self.settings.host, self.settings.peer_port)
        self.add_seeds()

    def add_seeds(self) -> None:
        self.peers.add(self.seed_addresses())

    def seed_addresses(self) -> list[str]:
        port = self.settings.peer_port
        return [f"{_split(seed)[0]}:{port}" for seed in self.settings.seeds]

    def limits(self) -> CallerLimits:
        routing = self.cache.routing
        return routing.limits if routing is not None else CallerLimits()

    def reconcile_agents(self) -> None:
        """Link to the agents of the engines that are registered now."""
        if self.cache.routing is not None:
            engines = engines_by_host(self.cache.endpoints.all(), self.cache.routing)
            self.agents.reconcile(engines, self.settings.agent_port)

    def build_inbound(self) -> InboundConnection:
        return InboundConnection(
            self.serve,
            self.refuse,
            self.limits,
            self.connections,
            self.body_memory,
            self.loop_budget,
            self.slow_callers.outputs if self.slow_callers is not None else None,
        )

    def build_ready(self) -> InboundConnection:
        return InboundConnection(
            self.answer_ready,
            self.refuse,
            CallerLimits,
            set(),
            MemoryBudget(READY_BODY_BYTES),
            self.loop_budget,
        )

    async def serve(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        if self.stopping.is_set():
            connection.last_request = True
        try:
            await self.relay.handle(connection, request)
        except CallerDisconnectedError:
            return
        except Exception:
            # An unexpected error in one request is logged and must not end the process.
            eliot.write_traceback()
            if connection.response_started:
                connection.abort()
                return
            respond_refusal(connection, refuse("internal_error"))

    def refuse(self, connection: InboundConnection, refusal: Refusal) -> None:
        # -1 stands for the rank, which is known only after admission.
        self.relay.recorder.count_refusal(refusal, -1)
        log_event("input_refused", code=refusal.code.name)
        respond_refusal(connection, refusal)

    @property
    def ready(self) -> bool:
        return self.cache.routing is not None and not self.stopping.is_set()

    async def answer_ready(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        known = request.target == READY_PATH
        status = 404 if not known else 200 if self.ready else 503
        connection.respond(status, [], b"")

    # Reload and stop.

    def reload(self) -> None:
        """Read the settings file again and apply what can change at run time."""
        try:
            settings = load_settings(settings_path())
        except SettingsError as error:
            log_event("reload_failed", detail=str(error), always=True)
            return
        removed = set(self.seed_addresses())
        self.settings = settings
        self.add_seeds()
        removed -= set(self.seed_addresses())
        self.peers.mark_left(sorted(removed))
        log_event("reloaded", seeds=settings.seeds, always=True)

    async def drain(self) -> None:
        """Report not ready, end the requests of callers, then close all."""
        if self.rollouts is not None:
            run_steps((self.rollouts.stop,))
        run_steps((self.peers.announce_leaving,))
        began_at = self.stop_requested_at
        if began_at is None:
            began_at = self.loop.time()
        window = DrainWindow.for_grace(began_at, self.settings.stop_grace_s)
        stop = EntryStop(self.callers, self.relay.drain, window, self.tick)
        await stop.run()
        run_steps(server.close for server in self.servers)
        run_steps(
            (
                self.follower.close,
                *((self.rollouts.close,) if self.rollouts is not None else ()),
                self.peers.close,
                self.crashes.close,
                self.agents.close,
                self.granters.close,
            )
        )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> int:
    """Run an entry and return the exit code of the process."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"acaciarelay entry: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_decision_log("entry", settings.name)

    async def run() -> int:
        return await RelayEntry(settings).run()

    return asyncio.run(run())
