"""Case 8: requesters read long streams slowly, and never stop reading."""

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

SERVICES = [
    {"name": "glyph", "healthPath": "/health", "maxConns": 460},
    {"name": "ledger", "healthPath": "/health", "maxConns": 200},
]
ROUTES = [
    rig2.route("hint", "/hint/", "streaming", "glyph", timeoutMs=15000, sloMs=600),
    rig2.route("grant", "/grant/", "non_idempotent", "ledger"),
]
# The longest streams of the kind ruby-hint on the site: 560 events of up to 330 bytes.
EVENTS = 560
DATA_BYTES = 300
STEP_S = 0.015
LIMIT_MS = 15_000
READERS = 18
# A slow requester: its receive buffer, and what it reads in which time.
BUFFER_BYTES = 2800
READ_BYTES = 2000
READ_S = 0.16


async def stream(
    runner: rig2.Runner,
    request: rig2.Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer with events as an engine does, as fast as they are read."""
    attempt = request.headers["attempt-id"]
    runner.runs.append((attempt, time.monotonic()))
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
    head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode())
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: ".encode() + b"y" * DATA_BYTES + b"\n\n"
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(STEP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    runner.ended.add(attempt)


def head(target: str, attempt: str, limit_ms: int, tokens: str = "") -> bytes:
    text = f"POST {target} HTTP/1.1\r\nHost: {rig2.HOST}\r\nAttempt-Id: {attempt}\r\n"
    text += f"Deadline-Ms: {limit_ms}\r\nApi-Key: {rig2.KEY}\r\n{tokens}"
    return (text + "Content-Length: 0\r\n\r\n").encode()


class Requester:
    """Send an order, and on the same channel a request for a stream."""

    def __init__(self, number: int, entry: rig2.Program) -> None:
        self.name = f"hint-{number}"
        self.address = entry.fields["listen"]["front"]
        self.order_status = 0
        self.received = 0
        self.end = ""
        self.sent_at = 0.0
        self.ended_at = 0.0

    async def run(self) -> None:
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        # Segments as on a usual link; the loopback's hold 64 KiB.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=BUFFER_BYTES)
        writer.write(head("/grant/2f", f"{self.name}-order", 2000))
        self.order_status = (await rig2.read_answer(reader)).status
        tokens = f"Token-Usage: 300,{EVENTS * 5}\r\n"
        self.sent_at = time.monotonic()
        writer.write(head("/hint/2f", self.name, LIMIT_MS, tokens))
        try:
            async with asyncio.timeout(LIMIT_MS / 1000):
                self.end = await self.read(reader)
        except TimeoutError:
            self.end = "the time limit passed"
        except OSError:
            self.end = "reset"
        self.ended_at = time.monotonic()
        writer.transport.abort()

    async def read(self, reader: asyncio.StreamReader) -> str:
        tail = b""
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                return "closed before its end"
            self.received += len(data)
            tail = (tail + data)[-7:]
            if tail == b"\r\n0\r\n\r\n":
                return "whole"
            if rig2.trouble():
                await asyncio.sleep(READ_S)


async def main(record: rig2.Record) -> int:
    async with rig2.Fleet(record) as fleet:
        fleet.contracts = [*rig2.CONTRACTS, "health", "pool", "pressure"]
        fleet.bounds = rig2.BOUNDS | {"contactMs": 4000, "budgetExtra": 86}
        fleet.memory_mb = 128
        manifest = rig2.manifest(1, ROUTES, SERVICES)
        fleet.store.put("op", "config", manifest)
        for zone in rig2.ZONES:
            glyph = await fleet.add_runner("glyph", zone)
            glyph.handler = stream
            await fleet.add_runner("ledger", zone)
        for zone in rig2.ZONES:
            await fleet.add_entry(zone, through_proxy=False)
        await fleet.until_ready()
        await asyncio.sleep(5.0)
        requesters = []
        for number in range(READERS):
            entry = fleet.entries[number % len(fleet.entries)]
            requesters.append(Requester(number, entry))
        await asyncio.gather(*(requester.run() for requester in requesters))
        return judge(record, fleet, requesters)


def judge(record: rig2.Record, fleet: rig2.Fleet, requesters: list[Requester]) -> int:
    ended = set().union(*(runner.ended for runner in fleet.runners))
    lost = 0
    for requester in requesters:
        record.note(
            f"{requester.name} sent, after an order answered "
            f"{requester.order_status} on the same channel",
            requester.sent_at,
        )
        after = requester.ended_at - requester.sent_at
        whole = "sent its whole answer" if requester.name in ended else "did not end"
        record.note(
            f"{requester.name}: {requester.end} {after:.2f} s after its sending, "
            f"{requester.received} bytes received; the runner {whole}",
            requester.ended_at,
        )
        lost += requester.end in ("reset", "closed before its end")
    record.note(
        f"{len(requesters)} streams, {lost} channels closed without a whole answer "
        "before the time limit"
    )
    return 1 if lost > 3 else 0


if __name__ == "__main__":
    rig2.run(main, str(FOLDER))
