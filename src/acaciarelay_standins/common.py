"""Start-up, stop and request helpers shared by the stand-ins."""

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

# Long, so that the limits under test act first and not those of a stand-in.
ANSWER_TIMEOUT_S = 600.0
LIMITS = ServerLimits(
    idle_timeout_s=ANSWER_TIMEOUT_S,
    read_timeout_s=ANSWER_TIMEOUT_S,
    write_timeout_s=ANSWER_TIMEOUT_S,
    max_connections=20_000,
)

Handler = Callable[[HttpExchange], Awaitable[None]]


def add_listen(parser: argparse.ArgumentParser) -> None:
    """Add the flag of the listening address; port 0 chooses a free port."""
    parser.add_argument("--listen", default="127.0.0.1:0", help="IP:PORT")


def announce(address: str, suffix: str = "") -> None:
    """Print the line that tells a test that the program is ready."""
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
    """Read the whole body; ``None`` when the connection broke first."""
    pieces = []
    async for piece in exchange.read_body():
        match piece:
            case Ok(data):
                pieces.append(data)
            case Err(_):
                return None
    return b"".join(pieces)


async def read_json(exchange: HttpExchange) -> Any:
    """Read the body as JSON; ``None`` when it is broken, after answering 400."""
    body = await read_body(exchange)
    try:
        return orjson.loads(body or b"")
    except orjson.JSONDecodeError:
        await exchange.respond_json(400, {"error": "the body is not JSON"})
        return None
