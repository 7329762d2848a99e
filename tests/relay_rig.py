"""Test rig: one entry's request path in the test's loop, with stand-in runners."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.coordination.shared_retry_budget import SharedRetryBudget
from acaciarelay.coordination.slot_client import SlotClient
from acaciarelay.coordination.usage_ledger import UsageLedger, UsageTolerance
from acaciarelay.programs.crash_guard import CrashGuard
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_refusal import respond_refusal
from acaciarelay.programs.relay_request import RequestRelay
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.programs.resumed_streams import ResumedStreams
from acaciarelay.programs.served_versions import ServedVersions
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.state.cached_table import StoreRow
from acaciarelay.state.routing import CallerLimits, Organisation
from acaciarelay.state.run_clock import RunClock
from acaciarelay.state.store_era import StoreVersion
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)
from acaciarelay.transport.message_link import MessageLink
from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_runner import PlatformRunner

HOST = "shop.example"
KEY = "key-1"
WORKSHOP = Organisation(
    name="workshop",
    rank=None,
    by_tokens=True,
    default_cost_tokens=1,
    rate_per_s=1000.0,
    burst=1000.0,
)
NO_TOLERANCE = UsageTolerance(window_s=8.0, excess_fraction=0.0, slack_tokens=0.0)


def route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Build a route as the operator writes it."""
    value = {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 1,
        "service": "orders",
        "maxAttempts": 2,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return value | fields


def configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Build a configuration as the operator writes it."""
    value = {
        "version": version,
        "routes": [
            route("/read/", "idempotent"),
            route("/order/", "non_idempotent"),
            route("/chat/", "streaming", service="engine", resumable=True),
            route("/quote/", "streaming", service="engine", maxAttempts=1),
        ],
        "services": [
            {"name": "orders", "healthPath": "/health", "maxConns": 100},
            {"name": "engine", "healthPath": "/health", "maxConns": 100},
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 3000,
        },
        "tenants": [
            {
                "name": "workshop",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }
    return value | fields


@attrs.define
class RawAnswer:
    """An answer as read from the socket; ``complete`` if its end was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class RelayRig:
    """An entry's request path and its runners, as an asynchronous context manager."""

    def __init__(self, seed: int = 1, body_memory_bytes: int = 64_000_000) -> None:
        self.cache = StateCache()
        # Links to other entries.
        self.peer_links: list[MessageLink] = []
        self.usage = UsageLedger(NO_TOLERANCE, True, time.monotonic())
        self.retry_budget = SharedRetryBudget(0.2, 50.0, 10.0)
        rng = random.Random(seed)
        self.health = EndpointHealth("zone-a", {"zone-a": "region-a"}, rng)
        self.slot_client = SlotClient()
        self.run_clock = RunClock()
        self.body_memory = MemoryBudget(body_memory_bytes)
        self.loop_budget = LoopBudget()
        metrics = Metrics()
        self.crashes = CrashGuard("127.0.0.1:1", self.slot_client, metrics)
        # Whether the store confirms that the list of endpoints is current.
        self.store_confirms = True
        self.versions = ServedVersions(self.cache, self.confirm)
        self.streams = ResumedStreams(
            self.cache,
            self.versions,
            self.slot_client,
            metrics,
            lambda: self.peer_links,
            rng,
        )
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
            metrics,
            rng,
            self.streams,
        )
        self.runners: list[PlatformRunner] = []
        self.servers: list[asyncio.Server] = []
        # Called at the end, to close what a test has opened.
        self.closers: list[Callable[[], None]] = []
        self.connections: set[InboundConnection] = set()
        self.version = 0
        self.address = ""

    async def __aenter__(self) -> "RelayRig":
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self.build, "127.0.0.1", 0)
        self.servers.append(server)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.configure(configuration())
        return self

    async def __aexit__(self, *_: object) -> None:
        for connection in list(self.connections):
            connection.abort()
        for server in self.servers:
            server.close()
        for close in self.closers:
            close()
        await asyncio.sleep(0)

    async def confirm(self, table: str, timeout_s: float) -> bool:
        """Answer for the store."""
        return self.store_confirms

    def build(self) -> InboundConnection:
        return InboundConnection(
            self.serve,
            self.refuse,
            self.limits,
            self.connections,
            self.body_memory,
            self.loop_budget,
        )

    def limits(self) -> CallerLimits:
        routing = self.cache.routing
        return routing.limits if routing is not None else CallerLimits()

    def refuse(self, connection: InboundConnection, refusal: Any) -> None:
        respond_refusal(connection, refusal)

    async def serve(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        try:
            await self.relay.handle(connection, request)
        except CallerDisconnectedError:
            return

    def configure(self, value: dict[str, Any]) -> None:
        """Put a configuration in force."""
        self.row("op", "config", value)

    def row(self, table: str, key: str, value: Any) -> None:
        """Apply a row as if the store had sent it; ``None`` removes it."""
        self.version += 1
        data = value if isinstance(value, bytes) or value is None else None
        if data is None and value is not None:
            data = orjson.dumps(value)
        version = StoreVersion(0, self.version)
        row = StoreRow(key=key, value=data, version=version)
        self.cache.apply_changes(table, [row], version, False)

    async def add_runner(self, service: str, **fields: Any) -> PlatformRunner:
        """Start a runner and add its registration row."""
        runner = PlatformRunner(f"i-{len(self.runners) + 1}", **fields)
        server, address = await listen(runner.handle, "127.0.0.1:0")
        self.servers.append(server)
        self.runners.append(runner)
        value = registration(service, address, version=runner.version)
        self.row("servers", runner.endpoint_id, value)
        return runner

    async def call(
        self,
        target: str,
        method: str = "POST",
        body: bytes = b"",
        limit_ms: int = 2000,
        attempt: str = "a-1",
        **headers: str,
    ) -> RawAnswer:
        """Send one request on a connection of its own and read its answer."""
        fields = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(limit_ms),
            "Api-Key": KEY,
            "Content-Length": str(len(body)),
        }
        if target.startswith(("/chat/", "/quote/")):
            fields["Token-Usage"] = "100,30"
        fields |= {name.replace("_", "-"): text for name, text in headers.items()}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {text}" for name, text in fields.items()]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return await self.exchange(head + body)

    async def exchange(self, data: bytes) -> RawAnswer:
        """Send raw bytes and read one answer."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            async with asyncio.timeout(10):
                return await read_raw_answer(reader)
        finally:
            writer.transport.abort()

    @property
    def arrivals(self) -> int:
        """Return the number of runs that all runners began."""
        return sum(len(runner.runs) for runner in self.runners)


def registration(service: str, address: str, **fields: Any) -> dict[str, Any]:
    """Build a runner's registration."""
    value = {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }
    return value | fields


def age_changes(cache: StateCache, table: str, seconds: float) -> None:
    """Let a table have changed some seconds earlier than it did."""
    recent = cache.tables[table].recent
    changes = [(at - seconds, version) for at, version in recent.changes]
    recent.changes.clear()
    recent.changes.extend(changes)


async def read_raw_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Read one answer; it is not ``complete`` if the connection ends early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawAnswer(0, {}, b"", False)
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, text = line.partition(":")
        headers[name.lower()] = text.strip()
    status = int(first.split(" ")[1])
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return RawAnswer(status, headers, body, True)
                body += piece[:-2]
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawAnswer(status, headers, body, False)
    return RawAnswer(status, headers, body, True)
