"""Stand-in of a model runner that one part of a prompt crashes."""

import asyncio
import contextlib
import json
import time

from rig import REPORT, Rig, read_head

EVENTS = 12
STEP_S = 0.02
PREFILL_S = 0.15
# A crashed runner is back after some seconds.
DOWN_S = 2.0


class FragileEngine:
    """Answer prompts with streams; end at once when one with the fatal part begins.

    ``crashes`` holds the times of its crashes, ``fatal_arrivals`` when prompts with the
    fatal part reached it and their ids.
    """

    def __init__(self, rig: Rig, number: int, fatal_part: str, deadly: bool) -> None:
        self.rig = rig
        self.ip = f"127.0.2.{number}"
        self.name = f"i-{number}"
        self.lifetime = 0
        self.fatal_part = fatal_part
        self.deadly = deadly
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.crashes: list[float] = []
        self.fatal_arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.renewal: asyncio.Task | None = None
        self.restart: asyncio.Task | None = None

    @property
    def instance(self) -> str:
        return f"{self.name}.{self.lifetime}"

    async def start(self) -> None:
        """Listen at the same address as before, and register as a new lifetime."""
        host, port = (self.address or f"{self.ip}:0").split(":")
        self.server = await asyncio.start_server(self.handle, host, int(port))
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"
        self.lifetime += 1
        self.renewal = asyncio.create_task(self.register())
        self.rig.tasks.append(self.renewal)

    async def register(self) -> None:
        sequence, born = 0, int(time.time() * 1000)
        while True:
            sequence += 1
            value = {
                "service": "engines",
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 9,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": sequence,
                "born": born,
            }
            self.rig.store.put("servers", self.instance, value)
            await asyncio.sleep(1.2)

    def crash(self, attempt: str) -> None:
        """End as a process does that crashes, and come back later."""
        if self.server is None:
            return
        self.crashes.append(time.monotonic())
        self.rig.record(f"{self.instance} crashes on {attempt}")
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        if self.renewal is not None:
            self.renewal.cancel()
        self.restart = asyncio.create_task(self.come_back())
        self.rig.tasks.append(self.restart)

    async def come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        self.rig.store.put("servers", self.instance, None)
        await self.start()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            first, fields = await read_head(reader)
            if first.startswith("GET /report"):
                body = json.dumps(REPORT).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
            else:
                await self.stream(writer, fields)
            writer.write_eof()
            await reader.read()
        self.writers.discard(writer)
        writer.transport.abort()

    async def stream(
        self, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        attempt = fields.get("attempt-id", "")
        head = f"Attempt-Id: {attempt}\r\nRunner-Seal: seal-of-{self.name}\r\n"
        if fields.get("expect-instance") != self.instance:
            writer.write(f"HTTP/1.1 421 Other\r\n{head}\r\n".encode())
            return
        prefix = fields.get("prompt-prefix", "")
        parts = [part.partition(":")[0] for part in prefix.split(",")]
        self.runs.append(attempt)
        fatal = self.fatal_part in parts[:-1]
        if fatal:
            self.fatal_arrivals.append((time.monotonic(), attempt))
            self.rig.record(f"{self.instance} is reached by {attempt}")
        await asyncio.sleep(PREFILL_S)
        if fatal and self.deadly:
            self.crash(attempt)
            return
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(STEP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
