"""Small deployment on loopback addresses for the cases 11 to 15.

The store and the runners are the project's stand-ins and run in this process. Entries
and agents are started with the commands of ``deploy/system.toml`` as processes of their
own, with settings filled from ``deploy/settings.template``.
"""

import asyncio
import contextlib
import os
import random
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

import orjson  # noqa: E402

from acaciarelay_standins.inbound_standin import listen  # noqa: E402
from acaciarelay_standins.platform_runner import PlatformRunner  # noqa: E402
from acaciarelay_standins.platform_store import PlatformStore  # noqa: E402
from acaciarelay_standins.ports import free_port  # noqa: E402

HOST = "shop.example"
KEY = "key-of-workshop"
HEARTBEAT_MS = 1200
START_TIMEOUT_S = 20.0
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
    "quotaWindowS": 8,
    "quotaExcess": 0.1,
    "quotaSlack": 72000,
    "recoveryS": 12,
    "passMs": 200,
    "reuseWindowS": 5.1,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]


class Record:
    """What was sent, answered, run and done, in ``record.txt`` of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Build a route as the operator writes it."""
    value = {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 2,
        "service": "orders",
        "maxAttempts": 2,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return value | fields


def configuration(version: int, routes: list[dict[str, Any]], **fields: Any) -> Any:
    """Build a configuration as the operator writes it."""
    value = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "orders", "healthPath": "/health", "maxConns": 110},
            {
                "name": "assistant",
                "healthPath": "/health",
                "maxConns": 310,
                "engine": {"slots": 8, "kvTokens": 398_073},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 10_000,
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


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders ``{{a.b}}`` and ``{{a.b|json}}`` of a template."""

    def fill(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if match.group(2):
            return orjson.dumps(value).decode()
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


class Program:
    """An entry or an agent of the project."""

    def __init__(self, name: str, role: str, settings: str, folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"][role]["run"])
        self.name = name
        self.path = folder / f"{name}.json"
        self.path.write_text(settings)
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        passed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ACACIARELAY_CONFIG"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, env=env, cwd=ROOT
            )

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        assert self.process is not None
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def logged(self, message_type: str) -> list[dict[str, Any]]:
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b"{"):
                value = orjson.loads(line)
                if value.get("message_type") == message_type:
                    lines.append(value)
        return lines


class Runner(PlatformRunner):
    """A runner whose events name its version, as each version writes its own."""

    @property
    def padding(self) -> bytes:
        return f" by version {self.version}".encode()


class Fleet:
    """Store, runners, agents and entries, as an asynchronous context manager."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)
        self.template = (ROOT / "deploy" / "settings.template").read_text()
        self.store = PlatformStore(announces_era=False)
        self.store_address = ""
        self.store_server: asyncio.Server | None = None
        self.ports = free_port(23)
        # Cases that run side by side must not share the port of the metrics.
        self.net = f"127.{random.SystemRandom().randrange(16, 240)}"
        self.programs: dict[str, Program] = {}
        self.runners: dict[str, PlatformRunner] = {}
        self.servers: dict[str, asyncio.Server] = {}
        self.addresses: dict[str, str] = {}
        self.services: dict[str, str] = {}
        self.beats: dict[str, asyncio.Task[None]] = {}
        # Runners that have crashed and are not back.
        self.down: set[str] = set()

    async def __aenter__(self) -> "Fleet":
        self.store_server, self.store_address = await listen(
            self.store.handle, "127.0.0.1:0"
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.beats.values():
            task.cancel()
        for program in self.programs.values():
            if program.process is not None:
                await program.kill()
        for server in (*self.servers.values(), self.store_server):
            if server is not None:
                server.close()
        if keep := os.environ.get("KEEP_LOGS"):
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    def configure(self, value: dict[str, Any]) -> None:
        self.store.put("op", "config", value)
        self.record.note(f"operator: configuration {value['version']} acknowledged")

    async def add_runner(
        self,
        service: str,
        number: int,
        kind: type[PlatformRunner] = Runner,
        **fields: Any,
    ) -> None:
        """Start a runner at NET.2.NUMBER and register it."""
        name = f"i-{number}"
        self.runners[name] = kind(name, **fields)
        self.services[name] = service
        await self.open_runner(name, f"{self.net}.2.{number}:0")

    async def open_runner(self, name: str, address: str) -> None:
        runner = self.runners[name]
        self.servers[name], self.addresses[name] = await listen(runner.handle, address)
        self.beats[name] = asyncio.create_task(self.beat(name))

    async def beat(self, name: str) -> None:
        runner = self.runners[name]
        born, sequence = int(time.time() * 1000), 0
        while True:
            sequence += 1
            value = {
                "service": self.services[name],
                "address": self.addresses[name],
                "zone": "nairobi-a",
                "version": runner.version,
                "slots": runner.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": sequence,
                "born": born,
            }
            self.store.put("servers", runner.endpoint_id, value)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def crash_runner(self, name: str) -> None:
        """End a runner: its connections are reset, its row goes after three beats."""
        self.record.note(f"runner {name} crashes")
        self.down.add(name)
        self.beats[name].cancel()
        self.servers[name].close()
        runner = self.runners[name]
        for connection in list(runner.connections):
            transport = connection.transport
            if transport is not None and not transport.is_closing():
                connection.reset()
        runner.connections.clear()
        loop = asyncio.get_running_loop()
        gone = runner.endpoint_id
        loop.call_later(
            3 * HEARTBEAT_MS / 1000, lambda: self.store.put("servers", gone, None)
        )

    async def revive_runner(self, name: str, new_id: str) -> None:
        """Start a crashed runner anew at its address, under a new id."""
        self.runners[name].endpoint_id = new_id
        self.down.discard(name)
        await self.open_runner(name, self.addresses[name])
        self.record.note(f"runner {name} is back as {new_id}")

    def fields(self, name: str, host: str, **others: Any) -> dict[str, Any]:
        value = {
            "nodeName": name,
            "ip": host,
            "zone": "nairobi-a",
            "zones": {"nairobi-a": "nairobi"},
            "portRange": [self.ports, self.ports + 15],
            "seeds": [f"{self.net}.1.{number}:1" for number in (1, 2, 3)],
            "platform": {"address": self.store_address},
            "bounds": BOUNDS,
            "limits": {"memoryMb": 150},
            "bootstrap": True,
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": CONTRACTS,
        }
        return value | others

    async def add_entry(self, number: int) -> None:
        host, name = f"{self.net}.1.{number}", f"entry-{number}"
        addresses = {
            "front": f"{host}:{self.ports + 20}",
            "ready": f"{host}:{self.ports + 21}",
        }
        settings = render(self.template, self.fields(name, host, listen=addresses))
        program = Program(name, "entry", settings, self.folder)
        self.programs[name] = program
        await program.start()

    async def add_agent(self, number: int) -> None:
        host, name = f"{self.net}.2.{number}", f"agent-{number}"
        app = self.addresses[f"i-{number}"]
        settings = render(self.template, self.fields(name, host, app=app))
        program = Program(name, "agent", settings, self.folder)
        self.programs[name] = program
        await program.start()

    def front(self, number: int) -> str:
        return f"{self.net}.1.{number}:{self.ports + 20}"

    async def is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                f"{self.net}.1.{number}", self.ports + 21
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(2):
                line = await reader.readline()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()

    async def until_ready(self, numbers: list[int]) -> None:
        """Wait until entries are ready; raises ``TimeoutError``."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in numbers:
                await self.wait_until_ready(number)

    async def wait_until_ready(self, number: int) -> None:
        """Ask an entry again and again, as the platform does."""
        while True:
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.1)


class Answer:
    """What a requester received; ``complete`` if the end of the answer has come."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False
        self.read_request = False

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return number and data of the whole events."""
        found = []
        for block in bytes(self.body).split(b"\n\n")[:-1]:
            match = re.search(rb"id: (\d+)\ndata: ?(.*)", block)
            if match is not None:
                found.append((int(match.group(1)), match.group(2).decode()))
        return found


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Answer:
    """Send one request on a new channel and read its answer, up to a broken channel."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    limit_s = int(headers["Deadline-Ms"]) / 1000
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *fields = head.decode("latin-1").rstrip().split("\r\n")
            answer.status = int(first.split()[1])
            for field in fields:
                name, _, value = field.partition(":")
                answer.headers[name.lower()] = value.strip()
            await _read_body(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body += await reader.readexactly(size)
        answer.complete = True
        return
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        answer.body += data[:-2]
        if size == 0:
            answer.complete = True
            return


def run_case(case: Callable[[Path, bool], Awaitable[int]]) -> None:
    """Run a case in its folder and exit with its result."""
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        async with asyncio.timeout(118):
            return await case(folder, trouble)

    try:
        code = asyncio.run(bounded())
    except (OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    print({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "not run"))
    sys.exit(code)
