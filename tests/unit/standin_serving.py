"""Serve a handler on a free port for the duration of a test."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence

from acaciarelay.transport.endpoints.base import EndpointCall, Header
from acaciarelay.transport.http_server import Handler, HttpServer

__all__ = ["Collector", "call", "pieces", "serving", "until"]


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[str]:
    """Serve the handler; gives its address."""
    server = HttpServer(handler)
    port = await server.listen("127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.close(0.0)


async def until(condition: Callable[[], bool], limit_s: float = 10.0) -> None:
    """Wait until a condition holds; raises ``TimeoutError`` after ``limit_s``."""
    async with asyncio.timeout(limit_s):
        # Conditions test plain attributes, which can't be awaited.
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class Collector:
    """Answer sink that stores the answer; it blocks while ``gate`` is clear."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.gate = asyncio.Event()
        self.gate.set()

    async def head(self, status: int, headers: Sequence[Header]) -> None:
        self.status = status
        self.headers = dict(headers)

    async def chunk(self, data: bytes) -> None:
        await self.gate.wait()
        self.body += data


async def pieces(body: bytes, size: int = 1_000) -> AsyncIterator[bytes]:
    """Yield a body in pieces of ``size`` bytes."""
    for start in range(0, len(body), size):
        yield body[start : start + size]


def call(method: str, path: str, body: bytes = b"") -> EndpointCall:
    """Build a call with hop-by-hop headers, which must not be forwarded."""
    headers = [("connection", "x-hop, close"), ("x-hop", "1"), ("x-kept", "1")]
    return EndpointCall(method, path, headers, len(body))
