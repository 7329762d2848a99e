"""Rig of the second review's scripts: programs as processes, stand-ins in this process.

Entries and agents are started with the ``run`` lines of ``deploy/system.toml``, from
the repository's root, with ``target/deps`` on Python's path and a settings file made
from ``deploy/settings.template`` with the figures of a small deployment. The store is
the project's stand-in; runners, requesters and proxies are small ones of this file.
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
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

from acaciarelay_standins.inbound_standin import listen  # noqa: E402
from acaciarelay_standins.platform_store import PlatformStore  # noqa: E402

KEY = "i9n73hh2b9wu3fexd9dn"
HOST = "ficu95.example"
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
# Bounds of the site hylly-relay, as its sheet gives them.
CONTACT_S = 3.0
DRAIN_S = 2.5
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetExtra": 56,
    "budgetWindowS": 10,
    "quotaWindowS": 8,
    "quotaExcess": 0.1,
    "quotaSlack": 72000,
    "contactMs": 3000,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine"]
CONTRACTS += ["stream", "tenants", "quota", "platform"]


def trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> int:
    """Return the first of some ports in a row that are free on 127.0.0.1."""
    for first in range(21_000 + os.getpid() % 400 * 25, 60_000, 25):
        socks = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise OSError("no free ports")


def _seconds(line: str) -> float:
    return float(line.split(" s ")[0])


class Record:
    """Lines of ``record.txt``, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str, at: float | None = None) -> None:
        at = time.monotonic() if at is None else at
        self.lines.append(f"{at - self.began:8.3f} s  {text}")

    def since(self, at: float) -> float:
        return at - self.began

    def write(self) -> None:
        self.path.write_text("\n".join(sorted(self.lines, key=_seconds)) + "\n")


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of ``deploy/settings.template``."""

    def value(match: re.Match[str]) -> str:
        path, _, form = match.group(1).partition("|")
        found: Any = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([A-Za-z.]+(?:\|json)?)\}\}", value, template)


class Program:
    """One process of the system."""

    def __init__(self, role: str, fields: dict[str, Any], folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.run_line = deploy["roles"][role]["run"].split(" ")
        template = (ROOT / deploy["roles"][role]["template"]).read_text()
        self.name = fields["nodeName"]
        self.fields = fields
        self.settings = folder / f"{self.name}.json"
        # The metrics port is fixed in the template, and may be taken here.
        port = fields["metricsPort"]
        text = fill(template, fields).replace(":9102", f":{port}")
        self.settings.write_text(text)
        self.log_path = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["ACACIARELAY_CONFIG"] = str(self.settings)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.run_line, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def log(self) -> list[dict[str, Any]]:
        lines = []
        for line in self.log_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Proxy:
    """A proxy whose open channels can fall silent for good, while new ones work."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.server: asyncio.Server | None = None
        self.silenced: set[int] = set()
        self.open: dict[int, list[asyncio.StreamWriter]] = {}
        self.count = 0
        self.all_silent = False

    async def start(self, host: str = "127.0.0.1") -> str:
        self.server = await asyncio.start_server(self.serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    def silence_open(self) -> int:
        """Let the open channels fall silent; return their number."""
        self.silenced |= set(self.open)
        return len(self.open)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.count += 1
        number = self.count
        host, _, port = self.upstream.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open[number] = [writer, up_writer]
        await asyncio.gather(
            self.copy(number, reader, up_writer), self.copy(number, up_reader, writer)
        )
        self.open.pop(number, None)

    async def copy(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                data = await reader.read(65_536)
                if number in self.silenced or self.all_silent:
                    # Nothing passes any more, nor does the end of the channel.
                    continue_silent = bool(data)
                    if not continue_silent:
                        return
                    continue
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            if number not in self.silenced:
                writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writers in self.open.values():
            for writer in writers:
                writer.transport.abort()


class Request:
    """A request as a runner or a requester reads it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.headers: dict[str, str] = {}
        for line in lines:
            name, _, text = line.partition(":")
            self.headers[name.lower()] = text.strip()
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    request = Request(head, b"")
    length = int(request.headers.get("content-length", 0))
    try:
        request.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return request


Handler = Callable[
    ["Runner", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Runner:
    """A plain runner: runs up to ``slots`` requests at once, each for ``work_s``."""

    def __init__(
        self, runner_id: str, service: str, zone: str, record: Record, slots: int = 6
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.work_s = 0.4
        self.version = "v1"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        # Attempt id and monotonic time of each run that began.
        self.runs: list[tuple[str, float]] = []
        self.ended: set[str] = set()
        self.running = 0
        # A runner that leaves says so in all its answers.
        self.leaving = False
        self.handler: Handler | None = None

    async def start(self, host: str, port: int = 0) -> str:
        self.server = await asyncio.start_server(self.serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    def row(self, state: str = "ready", seq: int = 1) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": seq,
            "born": self.born,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.answer(request, reader, writer)
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.headers.get("attempt-id", "")
        named = f"Attempt-Id: {attempt}\r\n{self.leaving_line()}"
        if request.headers.get("expect-instance", self.runner_id) != self.runner_id:
            head = f"HTTP/1.1 421 Misdirected Request\r\n{named}Runner-Id: "
            head += f"{self.runner_id}\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return
        if self.handler is not None:
            await self.handler(self, request, reader, writer)
            return
        if self.running >= self.slots:
            head = f"HTTP/1.1 503 Service Unavailable\r\n{named}Not-Executed: 1\r\n"
            writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
            return
        self.running += 1
        self.runs.append((attempt, time.monotonic()))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{self.runner_id} ran {attempt}".encode()
        named = f"Attempt-Id: {attempt}\r\n{self.leaving_line()}"
        head = f"HTTP/1.1 200 OK\r\n{named}Runner-Seal: seal-{self.runner_id}\r\n"
        head += f"Runner-Load: {self.running},0,{self.slots}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        self.ended.add(attempt)

    def leaving_line(self) -> str:
        return "Server-Leaving: 1\r\n" if self.leaving else ""

    def exit(self) -> int:
        """End as a process does: break all channels; return the runs broken off."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        return self.running


class Answer:
    """What a requester got; ``complete`` if the answer's end has come."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.end = "closed"


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip().split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in lines:
            name, _, text = line.partition(":")
            answer.headers[name.lower()] = text.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += piece[:-2]
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
        answer.complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except OSError:
        answer.end = "reset"
    return answer


async def call(
    address: str,
    target: str,
    attempt: str,
    *,
    method: str = "POST",
    limit_ms: int = 2000,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    key: str = KEY,
) -> Answer:
    """Send one request on a channel of its own, as a requester does."""
    fields = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(limit_ms),
        "Api-Key": key,
    }
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    fields |= headers or {}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in fields.items()]
    host, _, port = address.rpartition(":")
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = await read_answer(reader)
    except TimeoutError:
        answer.end = "no answer in time"
    except OSError:
        answer.end = "no channel"
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    value = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1000,
        "sloMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return value | more


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plainTokens": 200,
                "ratePerS": 97788,
                "burst": 97788,
            }
        ],
    }


class Fleet:
    """Store, proxies to it, entries and agents; ends all that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = PlatformStore()
        self.store_server: asyncio.Server | None = None
        self.store_address = ""
        self.folder = Path(tempfile.mkdtemp(prefix="acaciarelay-review-"))
        self.first_port = free_ports(24)
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.proxies: list[Proxy] = []
        self.runners: list[Runner] = []
        # What a case has other than hylly-relay.
        self.bounds = BOUNDS
        self.contracts = CONTRACTS
        self.memory_mb = 150

    async def __aenter__(self) -> "Fleet":
        server, address = await listen(self.store.handle, "127.0.0.1:0")
        self.store_server, self.store_address = server, address
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in (*self.entries, *self.agents):
            await program.kill()
        for proxy in self.proxies:
            proxy.close()
        for runner in self.runners:
            runner.exit()
        if self.store_server is not None:
            self.store_server.close()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    def fields(self, name: str, host: str, zone: str, store: str) -> dict[str, Any]:
        port = self.first_port
        seeds = [f"127.0.1.{number}:{port + 22}" for number in (1, 2, 3)]
        return {
            "nodeName": name,
            "ip": host,
            "zone": zone,
            "zones": ZONES,
            "listen": {},
            "portRange": [port, port + 15],
            "seeds": seeds,
            "platform": {"address": store},
            "app": None,
            "bounds": self.bounds,
            "limits": {"memoryMb": self.memory_mb},
            "bootstrap": True,
            "heartbeatMs": 1200,
            "contracts": self.contracts,
            "metricsPort": port + 23,
        }

    async def add_entry(self, zone: str, through_proxy: bool = True) -> Program:
        number = len(self.entries) + 1
        host = f"127.0.1.{number}"
        store = self.store_address
        if through_proxy:
            proxy = Proxy(self.store_address)
            self.proxies.append(proxy)
            store = await proxy.start()
        fields = self.fields(f"front-{number}", host, zone, store)
        port = self.first_port
        fields["listen"] = {
            "front": f"{host}:{port + 20}",
            "ready": f"{host}:{port + 21}",
        }
        program = Program("entry", fields, self.folder)
        self.entries.append(program)
        await program.start()
        return program

    async def add_agent(self, runner: Runner) -> Program:
        number = len(self.agents) + 1
        host = runner.address.rpartition(":")[0]
        fields = self.fields(f"side-{number}", host, runner.zone, self.store_address)
        fields["app"] = runner.address
        program = Program("agent", fields, self.folder)
        self.agents.append(program)
        await program.start()
        return program

    async def add_runner(self, service: str, zone: str, slots: int = 6) -> Runner:
        number = len(self.runners) + 1
        runner = Runner(f"i-{number}", service, zone, self.record, slots)
        await runner.start(f"127.0.2.{number}")
        self.runners.append(runner)
        self.register(runner)
        return runner

    def register(self, runner: Runner, state: str = "ready") -> None:
        self.store.put("servers", runner.runner_id, runner.row(state))

    def remove(self, runner: Runner) -> None:
        self.store.put("servers", runner.runner_id, None)

    async def until_ready(self) -> None:
        for program in self.entries:
            await self.until_one_ready(program)

    async def until_one_ready(self, program: Program, limit_s: float = 20.0) -> None:
        until = time.monotonic() + limit_s
        address = program.fields["listen"]["ready"]
        while time.monotonic() < until:
            answer = await call(address, "/ready", "", method="GET")
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{program.name} is not ready")


def run(main: Callable[[Record], Awaitable[int]], folder: str) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(Path(folder) / "record.txt")
    try:
        code = asyncio.run(main(record))
    except Exception as error:  # noqa: BLE001
        record.note(f"the case could not run: {error!r}")
        code = 2
    record.write()
    sys.exit(code)
