"""HTTP server shared by the stand-ins of the users' platform."""

import asyncio

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.protocol.codes import Refusal
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.inbound_server import InboundConnection, InboundHandler

__all__ = ["listen"]

# Longer than every limit under test, so that a stand-in never times out first.
LIMITS = CallerLimits(
    max_body_bytes=16_777_216, head_timeout_s=600.0, idle_timeout_s=600.0
)
MAX_BODIES = 64


async def listen(handler: InboundHandler, address: str) -> tuple[asyncio.Server, str]:
    """Serve at ``IP:PORT`` and return the server with its bound address."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    connections: set[InboundConnection] = set()
    memory = MemoryBudget(MAX_BODIES * LIMITS.max_body_bytes)
    loop_budget = LoopBudget()

    def build() -> InboundConnection:
        return InboundConnection(
            handler, _refuse, lambda: LIMITS, connections, memory, loop_budget
        )

    server = await loop.create_server(build, host, int(port))
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"


def _refuse(connection: InboundConnection, refusal: Refusal) -> None:
    connection.respond(refusal.code.status, [], refusal.message.encode())
