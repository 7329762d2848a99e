"""HTTP server for a process's metrics."""

import asyncio

from acaciarelay.coordination.loop_budget import LoopBudget
from acaciarelay.coordination.memory_budget import MemoryBudget
from acaciarelay.programs.metrics import Metrics
from acaciarelay.protocol.codes import Refusal
from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.state.routing import CallerLimits
from acaciarelay.transport.inbound_server import InboundConnection

__all__ = ["serve_metrics"]

# Bodies are not expected here.
MAX_BODY_BYTES = 65_536


async def serve_metrics(address: str, metrics: Metrics) -> asyncio.Server:
    """Serve the metrics at ``IP:PORT`` on any path.

    Raises ``OSError`` when the address can't be bound.
    """

    async def answer(connection: InboundConnection, request: InboundRequest) -> None:
        body, content_type = metrics.render()
        connection.respond(200, [("Content-Type", content_type)], body)

    connections: set[InboundConnection] = set()
    memory = MemoryBudget(MAX_BODY_BYTES)
    loop_budget = LoopBudget()

    def build() -> InboundConnection:
        return InboundConnection(
            answer, _refuse, CallerLimits, connections, memory, loop_budget
        )

    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(build, host, int(port))


def _refuse(connection: InboundConnection, refusal: Refusal) -> None:
    connection.respond(refusal.code.status, [], refusal.message.encode())
