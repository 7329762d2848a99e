"""Callers and endpoints that read slowly, and the memory of the programs they meet."""

import asyncio
import socket

import attrs
from integration.platform_fleet import PlatformFleet, Program, request_head
from relay_rig import RawAnswer, configuration, read_raw_answer, route

from acaciarelay.transport.inbound_server import InboundConnection
from acaciarelay_standins.platform_runner import PlatformRunner

SMALL_BUFFER_BYTES = 16_384
LIMIT_MS = 15_000
# Chats wait for a slot for 0.6 of their objective.
CHAT_OBJECTIVE_MS = 7_000
# Attempts whose ids begin so get a long answer.
LONG = "long"
LONG_BYTES = 8_000_000
FILE_BYTES = 12_000_000
PIECE_BYTES = 100_000
# How often a slow endpoint reads.
READ_INTERVAL_S = 0.1


@attrs.define
class SlowReader:
    """A caller with a small receive buffer that reads nothing up to some time."""

    sock: socket.socket

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self) -> RawAnswer:
        reader, writer = await asyncio.open_connection(sock=self.sock)
        try:
            return await read_raw_answer(reader)
        finally:
            writer.transport.abort()


async def connect(entry: Program) -> SlowReader:
    host, _, port = entry.settings["caller_address"].rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return SlowReader(sock)


async def read_late(
    entry: Program, target: str, attempt: str, after_s: float
) -> RawAnswer:
    """Send a request, read nothing for some time, then read the answer."""
    caller = await connect(entry)
    await caller.send(request_head(target, attempt, limit_ms=LIMIT_MS))
    await asyncio.sleep(after_s)
    async with asyncio.timeout(20):
        return await caller.read()


class LongAnswerRunner(PlatformRunner):
    """A runner whose answers to some attempts are long, and sent as fast as read."""

    async def stream(
        self,
        connection: InboundConnection,
        fields: dict[str, str],
        headers: list[tuple[str, str]],
        course: object,
    ) -> None:
        if not fields["attempt-id"].startswith(LONG):
            return await super().stream(connection, fields, headers, course)
        connection.start(200, [*headers, ("Content-Type", "text/event-stream")])
        for number in range(1, LONG_BYTES // PIECE_BYTES + 1):
            data = b"x" * PIECE_BYTES
            connection.write(f"id: {number}\ndata: ".encode() + data + b"\n\n")
            await connection.drain()
            await asyncio.sleep(0.001)
        connection.finish()


async def start_fleet(
    fleet: PlatformFleet, memory_mb: float, **fields: bool
) -> Program:
    """Start an entry, an engine of 8 slots with its agent, and plain services."""
    value = configuration(
        2,
        routes=[
            route("/order/", "non_idempotent"),
            route("/upload/", "non_idempotent", service="uploads", timeoutMs=LIMIT_MS),
            route("/file/", "non_idempotent", service="files", timeoutMs=LIMIT_MS),
            route(
                "/chat/",
                "streaming",
                service="engine",
                timeoutMs=LIMIT_MS,
                sloMs=CHAT_OBJECTIVE_MS,
            ),
        ],
    )
    value["services"][1]["engine"] = {"slots": 8, "kvTokens": 100_000}
    for name in ("uploads", "files"):
        service = {"name": name, "healthPath": "/health", "maxConns": 100}
        value["services"].append(service)
    value["limits"]["maxBodyBytes"] = LONG_BYTES
    fleet.configure(value)
    await fleet.add_runner("engine", 1, runner_type=LongAnswerRunner)
    await fleet.add_agent(1)
    await fleet.add_runner("orders", 3)
    await fleet.add_runner("files", 4, slots=100, padding_bytes=FILE_BYTES)
    entry = await fleet.add_entry(1, memory_mb=memory_mb, **fields)
    await asyncio.sleep(1.0)
    return entry


def peak_memory_mb(program: Program) -> float:
    """Return the largest resident memory that a program has had."""
    assert program.process is not None
    with open(f"/proc/{program.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1000
    raise ValueError("no peak of the memory")


class SlowEndpoint:
    """An endpoint that reads requests slowly, and answers none."""

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.arrivals = 0

    async def listen(self, host: str) -> tuple[asyncio.Server, str]:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.bind((host, 0))
        # The stream reader holds twice its limit.
        server = await asyncio.start_server(self.serve, sock=sock, limit=1024)
        return server, f"{host}:{sock.getsockname()[1]}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals += 1
        try:
            while True:
                if not await reader.read(int(self.bytes_per_s * READ_INTERVAL_S)):
                    return
                await asyncio.sleep(READ_INTERVAL_S)
        finally:
            writer.transport.abort()
