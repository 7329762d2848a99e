"""The agent program, through which all requests to one endpoint pass."""

import asyncio
import random
import secrets
import sys

from result import Err, Ok

from acaciarelay.coordination.concurrency import TokenLimit
from acaciarelay.coordination.fair_queue import FairQueue
from acaciarelay.programs.agent_commands import CommandConfig, CommandRunner
from acaciarelay.programs.agent_core import AgentConfig, AgentCore
from acaciarelay.programs.agent_run_service import RunService
from acaciarelay.programs.logs import configure_logs, log_event
from acaciarelay.programs.membership import Registration
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.settings import AGENT_OPTIONS
from acaciarelay.programs.startup import Settings, StopSignal, run_program
from acaciarelay.protocol.codes import refuse
from acaciarelay.protocol.platform_api import VmState
from acaciarelay.state.directory import AgentMember
from acaciarelay.state.records import EndpointRecord, Snapshot, decode_snapshot
from acaciarelay.transport.claim_store import ClaimStore
from acaciarelay.transport.endpoints import ENDPOINT_KINDS
from acaciarelay.transport.endpoints.base import EndpointLimits
from acaciarelay.transport.entry_session import RelayServer, start_grpc_server
from acaciarelay.transport.http_client import split_address
from acaciarelay.transport.http_server import HttpExchange, HttpServer
from acaciarelay.transport.platform_client import PlatformClient

__all__ = ["main"]

PROBE_INTERVAL_S = 1.0
# Consecutive failed probes after which the endpoint counts as down. A single lost probe
# must not drop the queue of a healthy endpoint.
PROBE_FAILURE_LIMIT = 2
STOP_POLL_INTERVAL_S = 0.05
# ``ClaimStore`` requires an age for taking over claims, but an agent never claims a
# key, so the value has no effect. The entries' setting claim-stale-s applies.
UNUSED_TAKE_OVER_S = 3600.0
# Time for the delivery of answers after the last run. An entry whose caller has
# disconnected may never acknowledge the last message.
DELIVERY_GRACE_S = 5.0
# Longest wait at a stop for the running command and the release of its leases. A lease
# that is not released by then expires.
COMMAND_STOP_GRACE_S = 2.0


class AgentProgram:
    """Builds the components of an agent and runs them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random()
        self.metrics = Metrics()
        self.platform = PlatformClient(settings.platform, settings.platform_timeout_s)
        self.platform.on_failure = self.metrics.count_platform_failure
        endpoint_limits = EndpointLimits(
            stall_s=settings.stall_s, command_timeout_s=settings.command_timeout_s
        )
        self.adapter = ENDPOINT_KINDS[settings.kind](settings.endpoint, endpoint_limits)
        self.token_limit = TokenLimit(
            settings.token_limit,
            settings.token_limit_min,
            settings.token_limit_max,
            largest_share=settings.largest_share,
        )
        self.config = AgentConfig(
            agent_id=settings.id,
            incarnation=secrets.randbits(63),
            pool=settings.pool,
            zone=settings.zone,
            region=settings.region,
        )
        self.claims = ClaimStore(
            self.platform, UNUSED_TAKE_OVER_S, eras=self.platform.eras
        )
        runs = RunService(
            self.adapter,
            self.claims,
            self.token_limit,
            self.metrics,
            settings.resume_window_s,
        )
        queue = FairQueue(settings.max_waiting, settings.quantum_tokens)
        self.core = AgentCore(self.config, queue, self.token_limit, runs, self.metrics)
        self.core.on_config = self.on_config
        self.commands = self.new_command_runner()
        self.snapshot = Snapshot()
        self.drain_reasons: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []

    def new_command_runner(self) -> CommandRunner:
        settings = self.settings
        config = CommandConfig(
            endpoint=settings.id,
            holder=f"{settings.id}/{self.config.incarnation}",
            checks_fencing=settings.checks_fencing,
            lease_s=settings.command_lease_s,
            command_timeout_s=settings.command_timeout_s,
            load_slots=settings.load_slots,
        )
        return CommandRunner(
            config,
            self.adapter,
            self.platform,
            self.metrics,
            self.rng,
            self.platform.eras,
        )

    async def run(self, stop_signal: StopSignal) -> int:
        """Serve until a stop is requested and the drain ends; return the exit code."""
        settings = self.settings
        server = HttpServer(self.serve)
        await server.listen(*split_address(settings.http_listen))
        relay = RelayServer(self.core, settings.silence_s)
        grpc_server = await start_grpc_server(settings.listen, relay.add_to)
        self.start_tasks()
        log_event("agent_started", listen=settings.listen, pool=settings.pool)
        await stop_signal.wait()
        self.set_drain("stop requested", True)
        await self.wait_idle()
        await self.commands.wait_idle(COMMAND_STOP_GRACE_S)
        for task in self.tasks:
            task.cancel()
        await grpc_server.stop(None)
        await server.close(0)
        log_event("agent_stopped")
        return 0

    def start_tasks(self) -> None:
        settings = self.settings
        member = AgentMember(
            id=settings.id,
            address=settings.advertise or settings.listen,
            incarnation=self.config.incarnation,
            pool=settings.pool,
            zone=settings.zone,
            region=settings.region,
        )
        work = [
            self.core.run_ticks(),
            self.probe_endpoint(),
            self.poll_config(),
            self.claims.rewriter.run(),
            Registration(self.platform, member, self.rng, self.platform.eras).run(),
        ]
        if settings.kind == "chat":
            work.append(self.commands.run())
        if settings.vm_name != "-":
            work.append(self.poll_vms())
        for item in work:
            self.tasks.append(asyncio.create_task(item))

    async def wait_idle(self) -> None:
        """Wait until the agent is idle, at most ``stop_grace_s``.

        Without an active run the wait ends after ``DELIVERY_GRACE_S``, even if pulls
        are open or answers undelivered, unless a result is still being stored or a
        claim released.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.stop_grace_s
        delivery_deadline = 0.0
        while loop.time() < deadline:
            if self.core.idle:
                return
            if self.core.runs.active():
                delivery_deadline = loop.time() + DELIVERY_GRACE_S
            elif loop.time() >= delivery_deadline > 0 and not self.core.runs.background:
                return
            delivery_deadline = delivery_deadline or loop.time() + DELIVERY_GRACE_S
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    # Drain.

    def set_drain(self, reason: str, wanted: bool) -> None:
        """Set or clear one reason to drain; the agent drains while any is set."""
        if wanted:
            self.drain_reasons.add(reason)
            self.core.start_drain(reason)
            self.commands.set_active(False)
            return
        self.drain_reasons.discard(reason)
        if not self.drain_reasons:
            self.core.stop_drain()
            self.commands.set_active(True)

    def on_config(self, data: bytes) -> None:
        """Apply a configuration if it is newer than the current one."""
        try:
            snapshot = decode_snapshot(data)
        except ValueError:
            log_event("config_not_understood")
            return
        if snapshot.generation <= self.core.generation:
            return
        self.snapshot = snapshot
        self.core.generation = snapshot.generation
        self.metrics.set("config_generation", snapshot.generation)
        log_event("config_in_force", generation=snapshot.generation)
        # Report the new generation at once, since operators watch a rollout and an idle
        # session would send its next load up to 5 s later.
        self.core.send_load()
        self.apply_endpoint_record(snapshot.endpoints.get(self.settings.id))

    def apply_endpoint_record(self, record: EndpointRecord | None) -> None:
        draining = record is not None and record.state == "draining"
        self.set_drain("endpoint record", draining)
        self.commands.set_models(record.models if record is not None else [])

    # Polling.

    async def probe_endpoint(self) -> None:
        failures = 0
        while True:
            match await self.adapter.probe():
                case Ok(load):
                    failures = 0
                    self.token_limit.update_from_report(load.running, load.waiting)
                case Err():
                    failures += 1
            self.core.set_endpoint_up(failures < PROBE_FAILURE_LIMIT)
            self.commands.set_endpoint_up(self.core.endpoint_up)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def poll_config(self) -> None:
        """Follow the drain state in the endpoint record while no session is open."""
        key = f"record/endpoint/{self.settings.id}/1"
        while True:
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))
            if self.core.sessions:
                continue
            match await self.platform.read("config", key):
                case Ok(row) if row is not None:
                    body = row.value.get("body", {})
                    draining = body.get("state") == "draining"
                    self.set_drain("endpoint record", draining)

    async def poll_vms(self) -> None:
        """Drain while the platform lists this VM as leaving."""
        while True:
            match await self.platform.list_vms():
                case Ok(vms):
                    for vm in vms:
                        if vm.name == self.settings.vm_name:
                            leaving = vm.state is VmState.LEAVING
                            self.set_drain("VM list", leaving)
            await asyncio.sleep(self.settings.vm_poll_s)

    # Health and metrics.

    async def serve(self, exchange: HttpExchange) -> None:
        """Answer a health, readiness or metrics request."""
        match exchange.request.path:
            case "/healthz":
                await exchange.respond_json(200, {"status": "alive"})
            case "/readyz":
                ready = self.core.endpoint_up and not self.core.draining
                await exchange.respond_json(200 if ready else 503, {"ready": ready})
            case "/metrics":
                body, content_type = self.metrics.render()
                await exchange.respond(200, [("content-type", content_type)], body)
            case _:
                await exchange.respond_refusal(refuse("unknown_path"))


async def run_agent(settings: Settings, stop_signal: StopSignal) -> int:
    """Run the agent until it is stopped; return its exit code."""
    configure_logs("acaciarelay-agent", settings.id)
    return await AgentProgram(settings).run(stop_signal)


def main() -> None:
    """Start the agent program."""
    text = "Queue and run the requests of one endpoint."
    sys.exit(run_program("acaciarelay-agent", text, AGENT_OPTIONS, run_agent))


if __name__ == "__main__":
    main()
