"""The entry program, which passes callers' requests to agents."""

import asyncio
import contextlib
import random
import secrets
import sys

from acaciarelay.coordination.admission import Admission
from acaciarelay.coordination.estimator import TokenEstimator
from acaciarelay.coordination.rate_limit import OrganisationLimits
from acaciarelay.programs.admin_routes import AdminRoutes
from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.config_writer import ConfigWriter
from acaciarelay.programs.entry_claims import ClaimManager
from acaciarelay.programs.entry_core import EntryCore, EntryIdentity
from acaciarelay.programs.entry_requests import RequestHandler
from acaciarelay.programs.entry_status import FleetStatus
from acaciarelay.programs.logs import configure_logs, log_event
from acaciarelay.programs.membership import MemberPoller, Registration
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.settings import ENTRY_OPTIONS
from acaciarelay.programs.startup import Settings, StopSignal, run_program
from acaciarelay.protocol.codes import refuse
from acaciarelay.state.config_state import ConfigState
from acaciarelay.state.directory import EntryMember, MemberDirectory
from acaciarelay.state.records import Snapshot
from acaciarelay.transport.agent_session import SessionTiming
from acaciarelay.transport.claim_store import ClaimStore
from acaciarelay.transport.entry_session import start_grpc_server
from acaciarelay.transport.http_client import split_address
from acaciarelay.transport.http_server import HttpExchange, HttpServer, ServerLimits
from acaciarelay.transport.peer import PeerClient, PeerServer
from acaciarelay.transport.platform_client import PlatformClient

__all__ = ["main"]

# Lower bound of the limit on open connections. A connection above the limit is closed
# before the tier of its request is known. Callers that are idle or whose request runs
# hold a connection but no admission slot, so the limit must stay well above the number
# of slots.
MIN_CONNECTION_LIMIT = 2_000
# Part of the grace time for the answers to the requests that are left at its end: an
# agent has a second to report the outcome of a run that is cut.
LAST_ANSWERS_S = 1.5


class EntryProgram:
    """Builds the components of an entry and runs them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random()
        self.metrics = Metrics()
        self.identity = EntryIdentity(
            entry_id=settings.id,
            incarnation=secrets.randbits(63),
            zone=settings.zone,
            region=settings.region,
        )
        timing = SessionTiming(silence_s=settings.silence_s)
        self.core = EntryCore(self.identity, self.metrics, self.rng, timing)
        self.platform = PlatformClient(settings.platform, settings.platform_timeout_s)
        self.platform.on_failure = self.metrics.count_platform_failure
        self.directory = MemberDirectory()
        self.sync = ConfigSync(
            self.platform,
            ConfigState(),
            [],
            self.rng,
            settings.config_poll_s,
            self.platform.eras,
        )
        self.peer_clients: dict[str, PeerClient] = {}
        self.update_peers()
        self.claims = ClaimStore(
            self.platform, settings.claim_stale_s, eras=self.platform.eras
        )
        self.handler = RequestHandler(
            self.core,
            Admission(settings.max_requests, settings.max_body_bytes),
            OrganisationLimits(),
            TokenEstimator(),
            ClaimManager(self.claims),
        )
        self.writer = ConfigWriter(self.sync)
        self.status = FleetStatus(
            self.core, self.sync, self.directory, self.handler, self.peer_clients
        )
        self.admin = AdminRoutes(
            self.writer, self.sync, settings.operator_key, self.status
        )
        self.members = MemberPoller(
            self.platform,
            self.directory,
            self.on_members,
            self.rng,
            settings.members_poll_s,
        )
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, stop_signal: StopSignal) -> int:
        """Serve until a stop is requested; return the exit code."""
        settings = self.settings
        limits = ServerLimits(
            read_timeout_s=settings.read_timeout_s,
            write_timeout_s=settings.read_timeout_s,
            max_connections=max(MIN_CONNECTION_LIMIT, settings.max_requests * 2),
        )
        server = HttpServer(self.serve, limits)
        await server.listen(*split_address(settings.listen))
        grpc_server = await start_grpc_server(
            settings.peer_listen, PeerServer(self.sync).add_to
        )
        self.sync.subscribe(self.on_snapshot)
        self.start_tasks()
        log_event("entry_started", listen=settings.listen)
        await stop_signal.wait()
        await self.stop(server)
        await grpc_server.stop(None)
        return 0

    def start_tasks(self) -> None:
        settings = self.settings
        member = EntryMember(
            id=settings.id,
            address=settings.peer_listen,
            incarnation=self.identity.incarnation,
            zone=settings.zone,
            region=settings.region,
            admin=settings.listen,
        )
        for work in (
            self.sync.run(),
            self.members.run(),
            self.claims.rewriter.run(),
            self.status.run(),
            Registration(self.platform, member, self.rng, self.platform.eras).run(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self, server: HttpServer) -> None:
        """Stop gracefully.

        First fail the readiness check and wait until load balancers have noticed. Then
        refuse new requests, and give the open ones up to ``stop_grace_s`` to finish.
        Shortly before its end those that are left are answered with what is known of
        them. Then close the sessions.
        """
        self.handler.draining = True
        log_event("drain_started", reason="stop requested")
        await asyncio.sleep(self.settings.drain_delay_s)
        self.handler.stopping = True
        grace_s = self.settings.stop_grace_s
        asyncio.get_running_loop().call_later(
            grace_s - min(LAST_ANSWERS_S, grace_s / 2), self.handler.end_grace
        )
        await server.close(grace_s)
        await self.handler.claims.close(self.settings.platform_timeout_s)
        await self.writer.close()
        for task in self.tasks:
            task.cancel()
        await self.core.close()
        log_event("entry_stopped")

    # Changes of configuration and membership.

    def on_snapshot(self, snapshot: Snapshot) -> None:
        self.core.apply_snapshot(snapshot)
        self.handler.apply_snapshot(snapshot)
        self.core.update_members(self.directory)
        self.handler.ready = True

    def on_members(self, directory: MemberDirectory) -> None:
        self.core.update_members(directory)
        self.handler.update_limit_share(len(directory.entries))
        self.update_peers()

    def update_peers(self) -> None:
        """Update the list of peers from the settings and the registered entries."""
        addresses = set(self.settings.peers)
        for member in self.directory.entries.values():
            addresses.add(member.address)
        addresses.discard(self.settings.peer_listen)
        for address in addresses - self.peer_clients.keys():
            self.peer_clients[address] = PeerClient(address)
        self.sync.peers = [self.peer_clients[a] for a in sorted(addresses)]

    # Requests.

    async def serve(self, exchange: HttpExchange) -> None:
        """Route one request."""
        path = exchange.request.path
        match path:
            case "/healthz":
                await exchange.respond_json(200, {"status": "alive"})
            case "/readyz":
                await self.serve_ready(exchange)
            case "/metrics":
                body, content_type = self.metrics.render()
                await exchange.respond(200, [("content-type", content_type)], body)
            case _ if path.startswith("/v1/"):
                await self.handler.handle(exchange)
            case _:
                if not await self.admin.handle(exchange):
                    await exchange.respond_refusal(refuse("unknown_path"))

    async def serve_ready(self, exchange: HttpExchange) -> None:
        ready = self.handler.ready and not self.handler.draining
        status = 200 if ready else 503
        await exchange.respond_json(
            status, {"ready": ready, "generation": self.core.snapshot.generation}
        )


async def run_entry(settings: Settings, stop_signal: StopSignal) -> int:
    """Run the entry until it is stopped; return its exit code."""
    configure_logs("acaciarelay-entry", settings.id)
    program = EntryProgram(settings)
    with contextlib.suppress(asyncio.CancelledError):
        return await program.run(stop_signal)
    return 1


def main() -> None:
    """Start the entry program."""
    text = "Take callers' requests and pass them to the agents of endpoints."
    sys.exit(run_program("acaciarelay-entry", text, ENTRY_OPTIONS, run_entry))


if __name__ == "__main__":
    main()
