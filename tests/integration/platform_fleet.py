"""Entries and agents as real processes; stand-ins run in the event loop of the test."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import orjson
from integration.store_writer import StoreWriter
from relay_rig import (
    KEY,
    RawAnswer,
    configuration,
    read_raw_answer,
    registration,
    route,
)

from acaciarelay_standins.inbound_standin import listen
from acaciarelay_standins.platform_runner import PlatformRunner
from acaciarelay_standins.platform_store import PlatformStore, RestorePoint
from acaciarelay_standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 15.0
STOP_GRACE_S = 4.0
REGISTRATION_INTERVAL_S = 0.4
# How long a crashed runner is down.
CRASHED_S = 1.5
# The range of the programs' own links, and the ports for callers, readiness, metrics.
PORTS_PER_FLEET = 23


@attrs.define(eq=False)
class Program:
    """An entry or agent; ``process`` is set once it was started."""

    name: str
    settings: dict[str, Any]
    folder: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def serving(self) -> bool:
        """Return whether the current process has logged that it listens."""
        assert self.process is not None
        for line in self.log():
            if line.get("pid") != self.process.pid:
                continue
            if line["message_type"] == "started":
                return True
        return False

    @property
    def log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.settings))
        kind = "relay_entry" if self.settings["caller_address"] else "relay_agent"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "src" / f"{kind}.py"),
                stdout=log,
                stderr=log,
                env=os.environ | {"ACACIARELAY_CONFIG": str(path)},
            )

    async def stop(self, number: int = signal.SIGKILL) -> int:
        """Send a signal, wait up to 15 s for the end and return the exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            # ``send_signal`` would poll, and take the exit code of a process that has
            # just ended from the event loop, which then reports 255.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)
        async with asyncio.timeout(15):
            return await self.process.wait()

    def log(self) -> list[dict[str, Any]]:
        """Return the decoded JSON lines of the log, from all starts."""
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b"{"):
                lines.append(orjson.loads(line))
        return lines


class PlatformFleet:
    """A store, runners, agents and entries, as an asynchronous context manager."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = PlatformStore()
        self.writer = StoreWriter(self.store)
        self.rewriting: asyncio.Task | None = None
        self.store_address = ""
        self.store_server: asyncio.Server | None = None
        self.first_port = free_port(PORTS_PER_FLEET)
        self.programs: dict[str, Program] = {}
        self.runners: dict[str, PlatformRunner] = {}
        self.servers: dict[str, asyncio.Server] = {}
        self.registrations: dict[str, asyncio.Task] = {}
        self.states: dict[str, str] = {}
        # Times of crashes, and the tasks that start crashed runners again.
        self.crashes: list[float] = []
        self.down: set[str] = set()
        self.restarts: list[asyncio.Task] = []
        self.stop_grace_s = STOP_GRACE_S

    async def __aenter__(self) -> "PlatformFleet":
        await self.open_store()
        routes = [
            route("/read/", "idempotent"),
            route("/order/", "non_idempotent"),
            route("/chat/", "streaming", service="engine", resumable=True),
        ]
        value = configuration(1, routes=routes)
        value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
        self.configure(value)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in (*self.registrations.values(), *self.restarts):
            task.cancel()
        if self.rewriting is not None:
            self.rewriting.cancel()
        for program in self.programs.values():
            if program.process is not None:
                await program.stop()
        for server in self.servers.values():
            server.close()
        await self.close_store()

    async def open_store(self) -> None:
        address = self.store_address or "127.0.0.1:0"
        self.store_server, self.store_address = await listen(self.store.handle, address)

    async def close_store(self) -> None:
        if self.store_server is not None:
            self.store_server.close()
            self.store_server = None

    def configure(self, value: dict[str, Any]) -> None:
        """Write a configuration to the store, as an operator does."""
        self.writer.write("op", "config", value)

    async def restore_store(
        self, point: RestorePoint, away_s: float = 0.0, rewrite_after_s: float = 0.0
    ) -> None:
        """Let the store be away for ``away_s``, and return from a copy of before.

        What the operator and the runners wrote since then, they write again
        ``rewrite_after_s`` after the return.
        """
        if self.rewriting is not None:
            self.rewriting.cancel()
        copy = RestorePoint(version=self.store.version_of(point))
        self.writer.hold()
        self.store.go_away()
        await asyncio.sleep(away_s)
        self.writer.lose(self.store.restore(copy))
        self.rewriting = asyncio.create_task(self.rewrite_store(rewrite_after_s))

    async def rewrite_store(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.writer.write_again()

    async def open_store_address(self, number: int) -> str:
        """Let the store listen at 127.0.3.NUMBER too, and return the address.

        To ``StoreFaults.hosts``, callers at this address are the host 127.0.3.NUMBER.
        """
        name = f"store-{number}"
        server, address = await listen(self.store.handle, f"127.0.3.{number}:0")
        self.servers[name] = server
        return address

    async def add_runner(
        self,
        service: str,
        number: int,
        through: Callable[[str, str], Awaitable[str]] | None = None,
        runner_type: type[PlatformRunner] = PlatformRunner,
        **fields: Any,
    ) -> None:
        """Start a runner at 127.0.2.NUMBER and register it in the store.

        ``through`` starts a proxy for a runner's name and address, and returns the
        proxy's address.
        """
        name = f"i-{number}"
        runner = runner_type(name, **fields)
        server, bound = await listen(runner.handle, f"127.0.2.{number}:0")
        address = bound
        if through is not None:
            address = await through(name, bound)
        runner.on_crash = lambda: self.crash_runner(name, service, bound, address)
        self.runners[name] = runner
        self.servers[name] = server
        self.states[name] = "ready"
        self.registrations[name] = asyncio.create_task(
            self.register(name, service, address)
        )

    def register_address(self, service: str, number: int, address: str) -> None:
        """Register an address at which no runner is started."""
        name = f"i-{number}"
        self.runners[name] = PlatformRunner(name)
        self.states[name] = "ready"
        register = self.register(name, service, address)
        self.registrations[name] = asyncio.create_task(register)

    async def register(self, name: str, service: str, address: str) -> None:
        """Write the registration of a runner periodically."""
        sequence = 0
        born = int(time.time() * 1000)
        while True:
            sequence += 1
            state = self.states[name]
            value = registration(service, address, seq=sequence, state=state, born=born)
            value["version"] = self.runners[name].version
            self.writer.write("servers", self.runners[name].endpoint_id, value)
            await asyncio.sleep(REGISTRATION_INTERVAL_S)

    def crash_runner(self, name: str, service: str, bound: str, address: str) -> None:
        """Let a runner be down for ``CRASHED_S`` and start again under a new id.

        It listens at ``bound`` and registers ``address``.
        """
        if name in self.down:
            return
        self.down.add(name)
        self.crashes.append(time.monotonic())
        self.registrations[name].cancel()
        self.servers[name].close()
        restart = self.restart_runner(name, service, bound, address)
        self.restarts.append(asyncio.create_task(restart))

    async def restart_runner(
        self, name: str, service: str, bound: str, address: str
    ) -> None:
        await asyncio.sleep(CRASHED_S)
        self.down.discard(name)
        runner = self.runners[name]
        self.writer.write("servers", runner.endpoint_id, None)
        runner.endpoint_id = f"{name}.{len(self.crashes)}"
        self.servers[name], _ = await listen(runner.handle, bound)
        self.registrations[name] = asyncio.create_task(
            self.register(name, service, address)
        )

    def settings(self, name: str, host: str, **fields: Any) -> dict[str, Any]:
        seeds = [f"127.0.1.{number}:1" for number in (1, 2)]
        value = {
            "name": name,
            "host": host,
            "zone": "zone-a",
            "zones": {"zone-a": "region-a"},
            "caller_address": "",
            "ready_address": "",
            "metrics_address": f"{host}:{self.first_port + 22}",
            "ports": [self.first_port, self.first_port + 15],
            "seeds": seeds,
            "store_address": self.store_address,
            "engine_address": "",
            "stop_grace_s": self.stop_grace_s,
            "retry_ratio": 0.2,
            "retry_reserve": 50,
            "retry_window_s": 10,
            "usage_window_s": 8,
            "usage_excess": 0.1,
            "usage_slack": 0,
            "store_silence_ms": 3000,
            "memory_mb": 232,
            "first_start": True,
        }
        return value | fields

    async def add_entry(self, number: int, **fields: Any) -> Program:
        """Start an entry at 127.0.1.NUMBER and wait until it is ready.

        ``fields`` replace values of its settings.
        """
        host = f"127.0.1.{number}"
        name = f"entry-{number}"
        settings = self.settings(
            name,
            host,
            caller_address=f"{host}:{self.first_port + 20}",
            ready_address=f"{host}:{self.first_port + 21}",
            **fields,
        )
        program = Program(name, settings, self.folder)
        self.programs[name] = program
        await program.start()
        await self.until_ready(name)
        return program

    async def add_agent(self, number: int) -> Program:
        """Start the agent beside the runner at 127.0.2.NUMBER."""
        sockets = self.servers[f"i-{number}"].sockets
        host, port = sockets[0].getsockname()
        name = f"agent-{number}"
        settings = self.settings(name, host, engine_address=f"{host}:{port}")
        program = Program(name, settings, self.folder)
        self.programs[name] = program
        await program.start()
        return program

    async def ready(self, entry: str) -> bool:
        address = self.programs[entry].settings["ready_address"]
        try:
            answer = await exchange(address, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        except OSError:
            return False
        return answer.status == 200

    async def until_ready(self, entry: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self.ready(entry):
            assert time.monotonic() < deadline, f"{entry} is not ready"
            await asyncio.sleep(0.05)

    async def call(
        self,
        entry: str,
        target: str,
        attempt: str = "a-1",
        method: str = "POST",
        parts: str = "",
        limit_ms: int = 2000,
        key: str = KEY,
        prompt_tokens: int = 100,
    ) -> RawAnswer:
        """Send one request to an entry and read its answer.

        ``parts`` lists the parts of the prompt as the platform's header does.
        """
        address = self.programs[entry].settings["caller_address"]
        head = request_head(
            target, attempt, method, parts, limit_ms, 0, key, prompt_tokens
        )
        return await exchange(address, head)


def request_head(
    target: str,
    attempt: str = "a-1",
    method: str = "POST",
    parts: str = "",
    limit_ms: int = 2000,
    body_bytes: int = 0,
    key: str = KEY,
    prompt_tokens: int = 100,
) -> bytes:
    """Return the head of a request, with the token counts that a chat has."""
    tokens = ""
    if target.startswith("/chat/"):
        tokens = f"Token-Usage: {prompt_tokens},30\r\n"
    if parts:
        tokens += f"Prompt-Prefix: {parts}\r\n"
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {key}\r\n"
        f"Attempt-Id: {attempt}\r\nDeadline-Ms: {limit_ms}\r\n{tokens}"
        f"Content-Length: {body_bytes}\r\n\r\n"
    )
    return head.encode()


async def exchange(address: str, data: bytes) -> RawAnswer:
    """Send raw bytes and read one answer; raises ``OSError`` without a connection."""
    async with open_channel(address) as (reader, writer):
        writer.write(data)
        async with asyncio.timeout(10):
            return await read_raw_answer(reader)


@contextlib.contextmanager
def stuck_address() -> Iterator[str]:
    """Listen at an address that completes no further connection."""
    listener = socket.socket()
    listener.bind(("127.0.2.9", 0))
    listener.listen(0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    try:
        yield "{}:{}".format(*listener.getsockname())
    finally:
        for sock in (listener, *fillers):
            sock.close()


@contextlib.asynccontextmanager
async def open_channel(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection that is aborted at the end; raises ``OSError``."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.transport.abort()
