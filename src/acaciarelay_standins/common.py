"""Start-up, shutdown and request helpers shared by the stand-ins."""

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from result import Err, Ok

from acaciarelay.transport.http_client import split_address
from acaciarelay.transport.http_server import HttpExchange, HttpServer, ServerLimits

__all__ = [
    "ANSWER_TIMEOUT_S",
    "add_listen",
    "announce",
    "read_body",
    "read_json",
    "serve_until_stopped",
    "wait_for_stop",
]

# Longer than every limit under test, so that a stand-in never times out first.
ANSWER_TIMEOUT_S = 600.0
LIMITS = ServerLimits(
    idle_timeout_s=ANSWER_TIMEOUT_S,
    read_timeout_s=ANSWER_TIMEOUT_S,
    write_timeout_s=ANSWER_TIMEOUT_S,
    max_connections=20_000,
)

Handler = Callable[[HttpExchange], Awaitable[None]]


def add_listen(parser: argparse.ArgumentParser) -> None:
    """Add the ``--listen`` flag; port 0 chooses a free port."""
    parser.add_argument("--listen", default="127.0.0.1:0", help="IP:PORT")


def announce(address: str, suffix: str = "") -> None:
    """Print the ready line, for which ``Fleet`` and the tests wait."""
    print(f"listening on {address}{suffix}", flush=True)


async def wait_for_stop() -> None:
    """Return on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()


async def serve_until_stopped(handler: Handler, listen: str) -> None:
    """Serve HTTP at ``IP:PORT`` until SIGTERM, then close all connections."""
    host, port = split_address(listen)
    server = HttpServer(handler, LIMITS)
    port = await server.listen(host, port)
    announce(f"{host}:{port}")
    await wait_for_stop()
    await server.close(0.0)


async def read_body(exchange: HttpExchange) -> bytes | None:
    """Read the whole body; return ``None`` if the connection broke first."""
    pieces = []
    async for piece in exchange.read_body():
        match piece:
            case Ok(data):
                pieces.append(data)
            case Err(_):
                return None
    return b"".join(pieces)


async def read_json(exchange: HttpExchange) -> Any:
    """Read the body as JSON; if it is malformed, answer 400 and return ``None``."""
    body = await read_body(exchange)
    try:
        return orjson.loads(body or b"")
    except orjson.JSONDecodeError:
        await exchange.respond_json(400, {"error": "the body is not JSON"})
        return None
