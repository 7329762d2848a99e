"""Stand-ins of the platform, servers and callers for the cases of this review.

The project's programs run as separate processes, with the commands of
``deploy/system.toml`` and settings filled from its template. The store is the project's
stand-in; runners and callers are small ones that speak raw HTTP/1.1, so that a case
sees each byte.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from acaciarelay_standins.inbound_standin import listen  # noqa: E402
from acaciarelay_standins.platform_store import PlatformStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
KEY = "key-1"
TENANT = "workshop"
START_LIMIT_S = 20.0
# A case may take 120 s.
CASE_LIMIT_S = 115.0
# Bounds of the small deployment hylly-relay, as the pages give them.
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2500,
    "graceS": 8,
    "configApplyMs": 2500,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 56,
    "quotaWindowS": 8,
    "quotaExcess": 0.1,
    "quotaSlack": 72000,
}


def trouble_wanted() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Build a route as the operator writes it."""
    value = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return value | fields


def manifest(version: int, routes: list[dict[str, Any]], **fields: Any) -> dict:
    """Build a manifest with a service of engines and one of plain runners."""
    engine = {"slots": 9, "kvTokens": 611214, "models": [{"name": "m"}]}
    value = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConns": 300,
                "engine": engine,
            },
            {"name": "orders", "healthPath": "/health", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
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


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a settings template."""

    def value(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        found: Any = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        if form == "json":
            return "null" if found is None else json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def free_ports(count: int) -> int:
    """Return the first of so many neighbouring ports that are free."""
    first = 20_000 + (os.getpid() * 37) % 9_000
    while True:
        try:
            for port in range(first, first + count):
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            first += count


class Program:
    """One of the project's programs, on a loopback address of its own."""

    def __init__(self, name: str, role: str, settings: dict, folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.folder = folder
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.words = deploy["roles"][role]["run"].split()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process as the platform does."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        passed = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {key: os.environ[key] for key in passed if key in os.environ}
        environment["ACACIARELAY_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def signal(self, number: int) -> None:
        """Send a signal to the process unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_text(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


class Rig:
    """A small deployment on loopback; an asynchronous context manager."""

    def __init__(self, folder: Path) -> None:
        self.case = folder
        self.record_file = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.programs: list[Program] = []
        self.tasks: list[asyncio.Task] = []
        self.servers: list[asyncio.Server] = []
        self.helpers: list[asyncio.subprocess.Process] = []
        self.first_port = free_ports(40)
        self.store = PlatformStore()
        self.store_address = ""

    def record(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    async def __aenter__(self) -> "Rig":
        server, self.store_address = await listen(self.store.handle, "127.0.0.1:0")
        self.servers.append(server)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self.tasks:
            task.cancel()
        for program in self.programs:
            program.signal(signal.SIGCONT)
            await program.kill()
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
            await helper.wait()
        for server in self.servers:
            server.close()
        self.record_file.close()
        self.temporary.cleanup()

    def configure(self, value: dict[str, Any]) -> None:
        """Write the manifest as the operator does."""
        self.record(f"operator writes manifest {value['version']}")
        self.store.put("op", "config", value)

    def settings(self, name: str, ip: str, memory_mb: int, **fields: Any) -> dict:
        """Fill the settings template for one machine."""
        first = self.first_port
        front = fields.pop("front", False)
        given: dict[str, Any] = {
            "nodeName": name,
            "ip": ip,
            "zone": "zone-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"{ip}:{first + 30}" if front else None,
                "ready": f"{ip}:{first + 31}" if front else None,
            },
            "portRange": [first, first + 15],
            "seeds": [f"127.0.1.1:{first + 32}", f"127.0.1.2:{first + 32}"],
            "bootstrap": True,
            "limits": {"memoryMb": memory_mb},
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store_address},
        }
        template = (ROOT / "deploy" / "settings.template").read_text()
        settings = json.loads(render(template, given | fields))
        # The template's port is the same on all machines; here it has to be free.
        settings["metrics_address"] = f"{ip}:{first + 33}"
        return settings

    async def add_entry(self, number: int, memory_mb: int = 300, **fields) -> Program:
        """Start an entry at 127.0.1.NUMBER and wait until it is ready."""
        name, ip = f"entry-{number}", f"127.0.1.{number}"
        settings = self.settings(name, ip, memory_mb, front=True, **fields)
        program = Program(name, "entry", settings, self.folder)
        self.programs.append(program)
        await program.start()
        self.record(f"{name} started, pid {program.pid}")
        await self.until_ready(program)
        return program

    async def add_agent(self, number: int, engine: str) -> Program:
        """Start the agent beside the engine at an address 127.0.2.NUMBER:PORT."""
        name, ip = f"agent-{number}", f"127.0.2.{number}"
        settings = self.settings(name, ip, 232, app=engine)
        program = Program(name, "agent", settings, self.folder)
        self.programs.append(program)
        await program.start()
        self.record(f"{name} started, pid {program.pid}")
        return program

    async def until_ready(self, program: Program) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while not await self.is_ready(program):
            if time.monotonic() > deadline:
                raise RuntimeError(f"{program.name}: {program.log_text()[-2000:]}")
            await asyncio.sleep(0.05)

    async def is_ready(self, program: Program, limit_s: float = 1.0) -> bool:
        """Ask whether an entry is ready, as the platform does each second."""
        request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            async with asyncio.timeout(limit_s):
                answer = await call(program.settings["ready_address"], request)
                return answer.status == 200
        return False

    def register(
        self,
        name: str,
        service: str,
        address: str,
        slots: int,
        is_alive: Callable[[], bool] = lambda: True,
    ) -> None:
        """Register a runner in the store, and renew that while it is alive."""

        async def renew() -> None:
            sequence, born, was_alive = 0, int(time.time() * 1000), True
            while True:
                alive = is_alive()
                if alive and not was_alive:
                    sequence, born = 0, int(time.time() * 1000)
                was_alive = alive
                sequence += 1
                value = {
                    "service": service,
                    "address": address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": slots,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "seq": sequence,
                    "born": born,
                }
                if alive:
                    self.store.put("servers", name, value)
                await asyncio.sleep(0.4)

        self.tasks.append(asyncio.create_task(renew()))

    async def serve(
        self,
        ip: str,
        handler: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> str:
        """Serve raw connections at an address and return it."""

        async def guarded(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                await handler(reader, writer)
            writer.transport.abort()

        server = await asyncio.start_server(guarded, ip, 0, limit=1 << 20)
        self.servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"


class EngineProcess:
    """An engine of ``engine.py`` as a process; ``runs`` lists what it began to run."""

    def __init__(self, address: str, process: asyncio.subprocess.Process) -> None:
        self.address = address
        self.process = process
        self.runs: list[str] = []

    async def read_runs(self, rig: Rig, name: str) -> None:
        assert self.process.stdout is not None
        while line := (await self.process.stdout.readline()).decode():
            word, _, attempt = line.strip().partition(" ")
            if word == "run":
                self.runs.append(attempt)
                rig.record(f"{name} runs {attempt}")


async def start_engine(rig: Rig, number: int, mode: str) -> EngineProcess:
    """Start an engine at 127.0.2.NUMBER."""
    address = f"127.0.2.{number}:{rig.first_port + 36}"
    name = f"engine-{number}"
    script = str(Path(__file__).with_name("engine.py"))
    process = await asyncio.create_subprocess_exec(
        "python3", script, address, name, mode, stdout=asyncio.subprocess.PIPE
    )
    rig.helpers.append(process)
    assert process.stdout is not None
    await process.stdout.readline()
    rig.record(f"{name} listens at {address}, mode {mode}")
    engine = EngineProcess(address, process)
    rig.tasks.append(asyncio.create_task(engine.read_runs(rig, name)))
    return engine


class Answer:
    """An answer as a caller reads it; ``complete`` if its end was received."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self.body = b""
        self.complete = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head and return its first line and its fields."""
    first, *lines = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return first, fields


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer up to its end, or to where it is cut off."""
    first, fields = await read_head(reader)
    answer = Answer(int(first.split()[1]), fields)
    with contextlib.suppress(EOFError, OSError, ValueError):
        if "content-length" in fields:
            answer.body = await reader.readexactly(int(fields["content-length"]))
        else:
            while size := int(await reader.readline(), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        answer.complete = True
    return answer


async def call(address: str, request: bytes) -> Answer:
    """Send a request on a new connection and read its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def request_head(
    target: str, attempt: str, limit_ms: int, *fields: str, method: str = "POST"
) -> bytes:
    """Build a request without a body."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Api-Key: {KEY}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {limit_ms}",
        "Content-Length: 0",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


REPORT = {
    "stage": "colocated",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 1,
    "waiting": 0,
    "inFlight": 0,
    "kvUsed": 0,
    "kvTotal": 611214,
    "handles": 0,
}


def plain_answer(body: bytes, fields: dict[str, str], name: str) -> bytes:
    """Build a runner's complete answer with its seal."""
    head = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields.get('attempt-id', '')}\r\n"
        f"Runner-Seal: seal-of-{name}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def run_case(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit: 0 rule held, 1 rule broken, 2 the case could not run."""

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        # All processes are ended also if the case itself is.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_LIMIT_S):
            return await case()

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        code = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
