"""Callers that send arbitrary bytes and control when they read."""

import asyncio
from types import TracebackType

from integration.support import CHAT_PATH, KEY

from acaciarelay.transport.http_client import split_address

__all__ = ["RawCaller", "request_head"]


def request_head(length: int, *fields: str, path: str = CHAT_PATH) -> bytes:
    """Build the head of a request whose body has ``length`` bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {length}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class RawCaller:
    """A connection to an entry, as an asynchronous context manager."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def __aenter__(self) -> "RawCaller":
        host, port = split_address(self.address)
        self.reader, self.writer = await asyncio.open_connection(host, port)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.writer.transport.abort()

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def send_request(self, body: bytes) -> None:
        """Send a complete chat request."""
        await self.send(request_head(len(body)) + body)

    async def read_answer(self, limit_s: float = 30.0) -> tuple[int, bytes]:
        """Read one complete answer with a content length; leaves the connection open.

        Raises ``EOFError`` when the entry closes the connection first.
        """
        status, headers = await self.read_head(limit_s)
        length = int(headers["content-length"])
        async with asyncio.timeout(limit_s):
            return status, await self.reader.readexactly(length)

    async def read_head(self, limit_s: float = 30.0) -> tuple[int, dict[str, str]]:
        """Read the status and the headers of an answer."""
        async with asyncio.timeout(limit_s):
            text = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.strip().split("\r\n")
        fields = [line.partition(":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        return int(first.split(" ")[1]), headers

    async def read_to_end(self, limit_s: float = 30.0) -> bytes:
        """Read until the entry closes the connection."""
        async with asyncio.timeout(limit_s):
            return await self.reader.read(-1)
