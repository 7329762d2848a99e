"""Stand-in of a model runner as a process: ``engine.py IP:PORT NAME MODE``.

MODE says what it writes instead of a sound answer until the caller closes:

- ``sound``: nothing; each answer is a stream of 17 numbered events.
- ``blank``: after the head of a stream, blank lines without end.
- ``report``: after the head of its report, bytes without end; streams are sound.
"""

import asyncio
import contextlib
import json
import sys

from rig import REPORT, read_head

EVENTS = 17
STEP_S = 0.01
BLANK_LINES = b"\n" * 65_536
FILLER = b"x" * 1_048_576


class Engine:
    """Answer requests and reports in one mode."""

    def __init__(self, name: str, mode: str) -> None:
        self.name = name
        self.mode = mode

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, or write without end."""
        with contextlib.suppress(OSError, EOFError):
            first, fields = await read_head(reader)
            if first.startswith("GET /report"):
                await self.report(writer)
            else:
                await self.stream(writer, fields)
            writer.write_eof()
            await reader.read()
        writer.transport.abort()

    async def report(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(REPORT).encode()
        if self.mode == "report":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
            await self.write_without_end(writer, FILLER)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    async def stream(
        self, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        attempt = fields.get("attempt-id", "")
        print(f"run {attempt}", flush=True)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Runner-Seal: seal-of-{self.name}\r\n"
            "Content-Type: text/event-stream\r\n\r\n"
        )
        await asyncio.sleep(STEP_S)
        writer.write(head.encode())
        if self.mode == "blank":
            await self.write_without_end(writer, BLANK_LINES)
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(STEP_S)

    async def write_without_end(
        self, writer: asyncio.StreamWriter, piece: bytes
    ) -> None:
        while True:
            writer.write(piece)
            await writer.drain()


async def main() -> None:
    """Serve until the process is killed."""
    address, name, mode = sys.argv[1:]
    host, _, port = address.rpartition(":")
    engine = Engine(name, mode)
    server = await asyncio.start_server(engine.handle, host, int(port))
    print("listening", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
