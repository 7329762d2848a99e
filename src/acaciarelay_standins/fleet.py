"""Start and stop fleets of processes on loopback, for the demo and the tests."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import orjson
from result import Ok, Result

from acaciarelay.transport.http_client import FetchedResponse, HttpError, fetch
from acaciarelay_standins.ports import free_port

__all__ = ["Fleet", "FleetMember", "Process", "ProxyAddress"]

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
OPERATOR_KEY = "operator-key-for-tests"
POLL_S = 0.05


@attrs.define(eq=False)
class Process:
    """Started process, with its output in a log file."""

    name: str
    process: asyncio.subprocess.Process
    log_path: Path

    def signal(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Send ``SIGKILL``."""
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send ``SIGTERM``, which starts a graceful stop."""
        self.signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with ``SIGSTOP``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process with ``SIGCONT``."""
        self.signal(signal.SIGCONT)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return its code; raises ``TimeoutError``."""
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()

    def log(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors="replace")


@attrs.frozen
class ProxyAddress:
    """Addresses of a proxy: where it accepts connections, and its control address."""

    listen: str
    control: str


@attrs.define(kw_only=True)
class FleetMember:
    """Entry or agent of the fleet; addresses are ``IP:PORT``."""

    name: str
    process: Process
    http_address: str
    grpc_address: str
    flags: list[str]


@attrs.define(eq=False)
class Fleet:
    """Start stand-ins, entries and agents, and stop all of them at the end.

    Use it as an asynchronous context manager. Addresses are ``IP:PORT``. The logs of
    the processes are written to ``directory``.
    """

    directory: Path
    processes: list[Process] = attrs.field(factory=list)
    entries: dict[str, FleetMember] = attrs.field(factory=dict)
    agents: dict[str, FleetMember] = attrs.field(factory=dict)
    platform_address: str = ""
    environment: dict[str, str] = attrs.field(factory=dict)
    agent_module: str = "acaciarelay.programs.agent_main"

    async def __aenter__(self) -> "Fleet":
        self.directory.mkdir(parents=True, exist_ok=True)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for process in self.processes:
            process.resume()
            process.kill()
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                await process.wait()

    async def spawn(
        self, name: str, words: Sequence[str], ready_line: bool = False
    ) -> tuple[Process, str]:
        """Start ``python -m WORDS``; return the process and its addresses.

        With ``ready_line``, wait for that line and return its text after ``listening
        on``, which for a proxy includes the control address; else return an empty text.
        """
        log_path = self.directory / f"{name}-{len(self.processes)}.log"
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("ACACIARELAY_")
        }
        environment.update(self.environment)
        environment["PYTHONPATH"] = os.pathsep.join(sys.path)
        with log_path.open("wb") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *words,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if ready_line else log,
                stderr=log,
                env=environment,
            )
        process = Process(name, child, log_path)
        self.processes.append(process)
        if not ready_line or child.stdout is None:
            return process, ""
        async with asyncio.timeout(START_TIMEOUT_S):
            line = (await child.stdout.readline()).decode()
        if not line.startswith("listening on "):
            raise RuntimeError(f"{name} did not start: {line} {process.log()}")
        return process, line.removeprefix("listening on ").strip()

    async def start_platform(self, *flags: str) -> str:
        """Start the platform stand-in."""
        words = ["acaciarelay_standins.platform", *flags]
        _, self.platform_address = await self.spawn("platform", words, ready_line=True)
        return self.platform_address

    async def start_engine(self, name: str, *flags: str) -> str:
        """Start a model engine stand-in."""
        words = ["acaciarelay_standins.engine", *flags]
        return (await self.spawn(name, words, ready_line=True))[1]

    async def start_service(self, name: str, *flags: str) -> str:
        """Start a plain service stand-in."""
        words = ["acaciarelay_standins.service", *flags]
        return (await self.spawn(name, words, ready_line=True))[1]

    async def start_proxy(self, name: str, upstream: str, *flags: str) -> ProxyAddress:
        """Start a fault-injecting TCP proxy in front of an address."""
        words = ["acaciarelay_standins.proxy", "--upstream", upstream, *flags]
        _, line = await self.spawn(name, words, ready_line=True)
        address, _, control = line.partition(" control ")
        return ProxyAddress(address, control)

    async def start_entry(
        self, name: str, zone: str = "zone-a", region: str = "region-a", *flags: str
    ) -> FleetMember:
        """Start an entry, with short poll intervals to keep tests fast."""
        http_address, grpc_address = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        words = [
            *("--id", name, "--zone", zone, "--region", region),
            *(
                "--listen",
                http_address,
                "--peer-listen",
                grpc_address,
                "--platform",
                self.platform_address,
            ),
            *("--operator-key", OPERATOR_KEY, "--members-poll-s", "0.3"),
            *("--config-poll-s", "0.5", "--drain-delay-s", "0.5"),
            *flags,
        ]
        module = "acaciarelay.programs.entry_main"
        process, _ = await self.spawn(name, [module, *words])
        member = FleetMember(
            name=name,
            process=process,
            http_address=http_address,
            grpc_address=grpc_address,
            flags=words,
        )
        self.entries[name] = member
        await self.wait_http(http_address, "/healthz", process)
        return member

    async def start_agent(
        self,
        name: str,
        pool: str,
        kind: str,
        endpoint: str,
        zone: str = "zone-a",
        region: str = "region-a",
        *flags: str,
        advertise: str | None = None,
        listen: str | None = None,
    ) -> FleetMember:
        """Start an agent; ``advertise`` is the address of a proxy in front of it."""
        http_address, grpc_address = (
            f"{HOST}:{free_port()}",
            listen or f"{HOST}:{free_port()}",
        )
        words = [
            *("--id", name, "--zone", zone, "--region", region),
            *(
                "--listen",
                grpc_address,
                "--http-listen",
                http_address,
                "--platform",
                self.platform_address,
            ),
            *("--pool", pool, "--kind", kind, "--endpoint", endpoint),
            *flags,
        ]
        if advertise is not None:
            words += ["--advertise", advertise]
        process, _ = await self.spawn(name, [self.agent_module, *words])
        member = FleetMember(
            name=name,
            process=process,
            http_address=http_address,
            grpc_address=grpc_address,
            flags=words,
        )
        self.agents[name] = member
        await self.wait_http(http_address, "/healthz", process)
        return member

    async def wait_http(self, address: str, path: str, process: Process) -> None:
        """Wait until ``GET`` of a path answers 200; raises ``RuntimeError``."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            match await fetch(address, "GET", path):
                case Ok(answer) if answer.status == 200:
                    return
            if process.process.returncode is not None:
                break
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{process.name} is not ready: {process.log()[-2000:]}")

    async def wait_ready(self, agent_count: int | None = None) -> None:
        """Wait until every entry is ready and connected to ``agent_count`` agents.

        The default is the number of agents of the fleet.
        """
        wanted = len(self.agents) if agent_count is None else agent_count
        deadline = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries.values():
            await self.wait_http(entry.http_address, "/readyz", entry.process)
            while True:
                status = await self.admin(entry.name, "GET", "/admin/v1/status")
                connected = 0
                for process in status["processes"]:
                    if process["kind"] == "agent" and process["connected"]:
                        connected += 1
                if connected >= wanted:
                    break
                if agent_count is None:
                    self.check_agents_run()
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{entry.name}: {connected} of {wanted} agents; "
                        f"{status['processes']}; {entry.process.log()[-4000:]}"
                    )
                await asyncio.sleep(POLL_S)

    def check_agents_run(self) -> None:
        """Raise ``RuntimeError`` with the log of an agent that has ended."""
        for agent in self.agents.values():
            code = agent.process.process.returncode
            if code is not None:
                log = agent.process.log()[-2000:]
                raise RuntimeError(f"{agent.name} ended with code {code}: {log}")

    async def admin(
        self, entry: str, method: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        """Call the administration API; raises ``RuntimeError`` if it fails."""
        data = b"" if body is None else orjson.dumps(body)
        headers = [("authorization", f"Bearer {OPERATOR_KEY}")]
        answer = await fetch(
            self.entries[entry].http_address, method, path, headers, data
        )
        match answer:
            case Ok(found) if found.status == 200:
                return orjson.loads(found.body)
            case _:
                raise RuntimeError(f"{method} {path}: {answer}")

    async def set_faults(self, address: str, **faults: Any) -> None:
        """Replace the faults of a stand-in."""
        body = orjson.dumps(faults)
        answer = await fetch(address, "POST", "/faults", (), body)
        if answer.is_err() or answer.unwrap().status != 200:
            raise RuntimeError(f"faults not set at {address}: {answer}")

    async def record(self, address: str) -> dict[str, Any]:
        """Return what a stand-in has recorded, as its ``GET /record`` lists it."""
        answer = await fetch(address, "GET", "/record")
        return orjson.loads(answer.unwrap().body)

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        key: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
    ) -> Result[FetchedResponse, HttpError]:
        """Send a request as a caller and read the complete answer."""
        fields = [("authorization", f"Bearer {key}"), *headers]
        return await fetch(self.entries[entry].http_address, method, path, fields, body)
