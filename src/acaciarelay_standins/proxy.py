"""Fault-injecting TCP proxy.

It prints ``listening on IP:PORT control IP:PORT``. At the control address:

- ``POST /faults`` replaces all faults. ``{}`` clears them, but connections that were
  cut or made silent stay so. See ``Faults``.
- ``GET /record`` returns the numbers of connections and of bytes in each direction.
"""

import argparse
import asyncio
import contextlib

import attrs
import cattrs

from acaciarelay.transport.http_client import split_address
from acaciarelay.transport.http_server import HttpExchange, HttpServer
from acaciarelay_standins.common import announce, read_json, wait_for_stop

__all__ = ["Direction", "Faults", "Proxy", "main"]

READ_SIZE_BYTES = 65_536
MAX_QUEUED_CHUNKS = 1_024

TO_UPSTREAM = "to_upstream"
TO_CLIENT = "to_client"


@attrs.define
class Faults:
    """Faults to inject.

    ``cut`` closes the open connections once. ``refuse`` closes the listening socket.
    ``silent`` permanently stops forwarding on the open connections, including the end
    of the stream and resets; new connections are not affected. ``one_way``
    (``to_upstream`` or ``to_client``) does the same for one direction. With
    ``all_connections`` these two also apply to connections that are opened while the
    fault is set. ``delay_s`` delays the data of each direction, in seconds.
    """

    cut: bool = False
    refuse: bool = False
    silent: bool = False
    one_way: str = ""
    all_connections: bool = False
    delay_s: float = 0.0

    @property
    def silent_directions(self) -> set[str]:
        if self.silent:
            return {TO_UPSTREAM, TO_CLIENT}
        return {self.one_way} if self.one_way else set()


@attrs.define
class Record:
    """Counters of connections, and of bytes forwarded in each direction."""

    accepted: int = 0
    open: int = 0
    failed: int = 0
    bytes_to_upstream: int = 0
    bytes_to_client: int = 0


@attrs.frozen
class DelayedChunk:
    """Data, empty for the end of the stream, with the loop time of its delivery."""

    deliver_at: float
    data: bytes


class Direction:
    """Forward data one way with a delay."""

    def __init__(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        proxy: "Proxy",
    ) -> None:
        self.name = name
        self.reader = reader
        self.writer = writer
        self.proxy = proxy
        self.silent = False
        self.queue: asyncio.Queue[DelayedChunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)

    async def read(self) -> None:
        """Queue received data; a silent direction stops reading from the socket."""
        loop = asyncio.get_running_loop()
        while True:
            data = await self.reader.read(READ_SIZE_BYTES)
            await self.wait_while_silent()
            deliver_at = loop.time() + self.proxy.faults.delay_s
            await self.queue.put(DelayedChunk(deliver_at, data))
            if not data:
                return

    async def write(self) -> None:
        """Deliver queued data when it is due."""
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self.queue.get()
            await asyncio.sleep(max(0.0, chunk.deliver_at - loop.time()))
            await self.wait_while_silent()
            if not chunk.data:
                self.writer.write_eof()
                return
            self.writer.write(chunk.data)
            await self.writer.drain()
            self.proxy.count(self.name, len(chunk.data))

    async def wait_while_silent(self) -> None:
        # A silent direction stays so until the connection is cut or the proxy stops.
        if self.silent:
            await asyncio.Event().wait()


class Connection:
    """Both directions of one proxied connection."""

    def __init__(self, directions: list[Direction], task: asyncio.Task) -> None:
        self.directions = directions
        self.task = task

    def silence(self, names: set[str]) -> None:
        for direction in self.directions:
            if direction.name in names:
                direction.silent = True

    async def run(self) -> None:
        """Forward data until both directions have ended or one fails."""
        steps = [item.read() for item in self.directions]
        steps += [item.write() for item in self.directions]
        tasks = [asyncio.create_task(step) for step in steps]
        try:
            await asyncio.gather(*tasks)
        except OSError:
            # A silent connection doesn't forward a reset either.
            for direction in self.directions:
                await direction.wait_while_silent()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    def abort(self) -> None:
        for direction in self.directions:
            direction.writer.transport.abort()


class Proxy:
    """Forward connections to the upstream address and inject faults."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.host = ""
        self.port = 0
        self.server: asyncio.Server | None = None
        self.faults = Faults()
        self.totals = Record()
        self.connections: set[Connection] = set()

    async def listen(self, host: str, port: int) -> int:
        """Start accepting connections and return the bound port."""
        self.server = await asyncio.start_server(self.accept, host, port, backlog=1024)
        self.host, self.port = host, self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.totals.accepted += 1
        try:
            host, port = split_address(self.upstream)
            upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        except OSError:
            self.totals.failed += 1
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        directions = [
            Direction(TO_UPSTREAM, reader, upstream_writer, self),
            Direction(TO_CLIENT, upstream_reader, writer, self),
        ]
        connection = Connection(directions, task)
        if self.faults.all_connections:
            connection.silence(self.faults.silent_directions)
        self.connections.add(connection)
        # ``cut`` cancels this task, which asyncio would log as an error.
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await connection.run()
            finally:
                self.connections.discard(connection)
                connection.abort()

    def count(self, name: str, size: int) -> None:
        if name == TO_UPSTREAM:
            self.totals.bytes_to_upstream += size
        else:
            self.totals.bytes_to_client += size

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults and apply them to the open connections."""
        self.faults = faults
        if faults.cut:
            self.cut()
        for connection in self.connections:
            connection.silence(faults.silent_directions)
        assert self.server is not None
        if faults.refuse and self.server.is_serving():
            self.server.close()
        if not faults.refuse and not self.server.is_serving():
            await self.listen(self.host, self.port)

    def cut(self) -> None:
        for connection in self.connections:
            connection.abort()
            connection.task.cancel()

    async def control(self, exchange: HttpExchange) -> None:
        """Answer one request at the control address."""
        match exchange.request.method, exchange.request.path:
            case "POST", "/faults":
                body = await read_json(exchange)
                if body is None:
                    return
                await self.set_faults(cattrs.structure(body, Faults))
                await exchange.respond_json(200, attrs.asdict(self.faults))
            case "GET", "/record":
                self.totals.open = len(self.connections)
                await exchange.respond_json(200, attrs.asdict(self.totals))
            case _:
                await exchange.respond_json(404, {"error": "unknown path"})

    async def close(self) -> None:
        """Stop accepting and close all connections."""
        if self.server is not None:
            self.server.close()
        self.cut()
        tasks = {connection.task for connection in self.connections}
        if tasks:
            await asyncio.wait(tasks, timeout=1.0)


async def serve(arguments: argparse.Namespace) -> None:
    """Run the proxy and its control server until SIGTERM."""
    proxy = Proxy(arguments.upstream)
    host, port = split_address(arguments.listen)
    port = await proxy.listen(host, port)
    control = HttpServer(proxy.control)
    control_host, control_port = split_address(arguments.control)
    control_port = await control.listen(control_host, control_port)
    announce(f"{host}:{port}", f" control {control_host}:{control_port}")
    await wait_for_stop()
    await proxy.close()
    await control.close(0.0)


def main() -> None:
    """Run the proxy until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", help="IP:PORT")
    parser.add_argument("--control", default="127.0.0.1:0", help="IP:PORT")
    parser.add_argument("--upstream", required=True, help="IP:PORT")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
