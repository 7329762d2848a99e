"""Stand-in of a runner on the users' platform: engine or plain service.

It admits requests in order of arrival, runs up to ``slots`` at once, and injects the
kinds of faults that the platform documents. ``PlatformRunner.runs`` records the runs.
"""

import argparse
import asyncio
import collections
import contextlib
import itertools
import time
from collections.abc import Callable, Iterator

import attrs
import cattrs
import orjson

from acaciarelay.protocol.http_message import InboundRequest
from acaciarelay.transport.endpoint_call import connect
from acaciarelay.transport.inbound_server import (
    CallerDisconnectedError,
    InboundConnection,
)
from acaciarelay_standins.common import add_listen, announce, wait_for_stop
from acaciarelay_standins.inbound_standin import listen

__all__ = ["PlatformRunner", "Run", "RunnerFaults", "main"]

FIRST_EVENT_ID = 1
_CHUNKED_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
_UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n\r\n"


def _repeat(text: str) -> Iterator[str]:
    return itertools.repeat(text)


def _numbered_events() -> Iterator[str]:
    for first in itertools.count(1, 1_000):
        numbers = range(first, first + 1_000)
        yield "".join(f"id: {number}\ndata:\n\n" for number in numbers)


# Parts of an answer that can be sent without end: what comes first, and what follows.
ENDLESS_PARTS: dict[str, tuple[str, Callable[[], Iterator[str]]]] = {
    "head": (
        "HTTP/1.1 200 OK\r\nX-Filler: ",
        lambda: _repeat("x" * 65_536),
    ),
    "fields": ("HTTP/1.1 200 OK\r\n", lambda: _repeat("X-Filler: x\r\n" * 4_096)),
    "interim": ("", lambda: _repeat("HTTP/1.1 102 Processing\r\n\r\n" * 2_048)),
    "body": (_CHUNKED_HEAD, lambda: _repeat(f"10000\r\n{'x' * 65_536}\r\n")),
    "small_chunks": (_CHUNKED_HEAD, lambda: _repeat("1\r\nx\r\n" * 10_000)),
    "comments": (_CHUNKED_HEAD, lambda: _repeat("4\r\n: x\n\r\n" * 8_192)),
    "extension": (_CHUNKED_HEAD + "1;", lambda: _repeat("x" * 65_536)),
    "trailer": (_CHUNKED_HEAD + "0\r\nX-Filler: ", lambda: _repeat("x" * 65_536)),
    "trailer_fields": (_CHUNKED_HEAD + "0\r\n", lambda: _repeat("x:\r\n" * 16_384)),
    "blank_lines": (_UNFRAMED_HEAD, lambda: _repeat("\n" * 65_536)),
    "blank_crlf_lines": (_UNFRAMED_HEAD, lambda: _repeat("\r\n" * 32_768)),
    "empty_comments": (_UNFRAMED_HEAD, lambda: _repeat(":\n\n" * 21_845)),
    "events_without_data": (
        _UNFRAMED_HEAD,
        lambda: _repeat("event: a\n\n" * 6_553),
    ),
    "events_without_number": (
        _UNFRAMED_HEAD,
        lambda: _repeat("data:\n\n" * 9_362),
    ),
    "repeated_event": (_UNFRAMED_HEAD, lambda: _repeat("id: 1\ndata:\n\n" * 4_681)),
    "numbered_events": (_UNFRAMED_HEAD, _numbered_events),
}


@attrs.define
class RunnerFaults:
    """Faults to inject; each applies to every request while it is set.

    ``lose`` runs the request and resets the connection; ``cut_after`` resets it after
    that many events, with ``torn`` in the middle of an event. ``shed`` declines the
    request; ``error`` answers 500; ``foreign`` answers with another request's id;
    ``unsealed`` omits the seal; ``short`` ends a body early; ``garbage`` sends bytes
    that aren't HTTP; ``encoded`` declares a content encoding; ``silent`` never answers;
    ``extra`` sends bytes after a complete answer; ``wrong_endpoint`` answers as if
    another endpoint had the address. ``old_refusal`` runs the request but answers with
    a refusal that names no request. ``endless``, a name in ``ENDLESS_PARTS``, sends
    bytes of that part of an answer until the caller closes. ``drip_s`` sends one byte
    in that many seconds instead of an answer. ``lying`` answers health checks with 200
    despite the other faults, and with 503 when cleared. ``leaving`` says in each answer
    that the runner leaves; ``retry_after`` is the text of that header in a refusal.
    ``fatal_parts``, ids of parts of prompts, crash the runner when it begins to write
    an answer to a prompt with one of them.
    """

    lose: bool = False
    cut_after: int = 0
    torn: bool = False
    shed: bool = False
    error: bool = False
    foreign: bool = False
    unsealed: bool = False
    short: bool = False
    garbage: bool = False
    encoded: bool = False
    silent: bool = False
    extra: bool = False
    wrong_endpoint: bool = False
    old_refusal: bool = False
    endless: str = ""
    drip_s: float = 0.0
    lying: bool = True
    leaving: bool = False
    retry_after: str = ""
    fatal_parts: list[str] = attrs.Factory(list)


@attrs.frozen
class Run:
    """A run that was started; ``at`` is monotonic, in seconds.

    ``target`` is the method and the request target, ``parts`` the ids of the parts of
    its prompt.
    """

    attempt: str
    organisation: str
    target: str
    body: bytes
    time_limit_ms: int
    at: float
    parts: tuple[str, ...] = ()


@attrs.define(eq=False)
class PlatformRunner:
    """One runner; ``slots`` limits its concurrent runs.

    An answer starts after ``work_s`` seconds. A stream has ``events`` events, which
    are ``step_s`` seconds apart; with ``body_s`` the second half of another body
    follows that many seconds after the first. ``padding_bytes`` lengthen each event and
    each other body. ``slowdown`` returns the factor by which
    work takes longer on the VM at a time; if set, answers report it with the load.
    ``on_crash`` is called after a crash, which breaks all connections. A request that
    finds ``max_waiting`` others waiting is declined; ``longest_queue`` is the most that
    have waited. ``ended_at`` holds when each run ended, monotonic, by its attempt.
    """

    endpoint_id: str
    slots: int = 8
    step_s: float = 0.005
    work_s: float = 0.02
    body_s: float = 0.0
    padding_bytes: int = 0
    events: int = 10
    slowdown: Callable[[float], float] | None = None
    faults: RunnerFaults = attrs.Factory(RunnerFaults)
    runs: list[Run] = attrs.Factory(list)
    cancelled: list[str] = attrs.Factory(list)
    headers_seen: list[dict[str, str]] = attrs.Factory(list)
    running: int = 0
    endless_bytes: int = 0
    refusals: int = 0
    connections: set[InboundConnection] = attrs.Factory(set)
    on_crash: Callable[[], None] | None = None
    silent_until: float = 0.0
    max_waiting: int | None = None
    longest_queue: int = 0
    ended_at: dict[str, float] = attrs.Factory(dict)
    _queue: collections.deque[asyncio.Future] = attrs.Factory(collections.deque)

    async def handle(
        self, connection: InboundConnection, request: InboundRequest
    ) -> None:
        """Answer one request."""
        fields = dict(request.headers)
        self.connections.add(connection)
        await self.end_of_silence()
        if request.target == "/faults":
            self.faults = cattrs.structure(orjson.loads(request.body), RunnerFaults)
            return connection.respond(200, [], b"")
        if request.target == "/runs":
            runs = [attrs.asdict(run) | {"body": len(run.body)} for run in self.runs]
            body = {"runs": runs, "cancelled": self.cancelled}
            return connection.respond(200, [], orjson.dumps(body))
        if request.target == "/report":
            return connection.respond(200, [], orjson.dumps(self.report()))
        if request.target == "/health":
            return connection.respond(200 if self.faults.lying else 503, [], b"")
        named = [("Attempt-Id", fields.get("attempt-id", ""))]
        if self.faults.leaving:
            named.append(("Server-Leaving", "1"))
        expected = fields.get("expect-instance", self.endpoint_id)
        if expected != self.endpoint_id or self.faults.wrong_endpoint:
            return connection.respond(
                421, [*named, ("Runner-Id", self.endpoint_id)], b""
            )
        if self.faults.shed and self.faults.retry_after:
            named.append(("Retry-After", self.faults.retry_after))
        if self.faults.shed:
            self.refusals += 1
            return connection.respond(503, [*named, ("Not-Executed", "1")], b"")
        self.headers_seen.append(fields)
        await self.admit(connection, request, fields)

    def report(self) -> dict[str, object]:
        waiting = len(self._queue)
        return {
            "stage": "colocated",
            "models": [],
            "busy": False,
            "seq": 1,
            "waiting": waiting,
            "inFlight": self.running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        }

    async def admit(
        self,
        connection: InboundConnection,
        request: InboundRequest,
        fields: dict[str, str],
    ) -> None:
        if self.running >= self.slots:
            waiting = sum(1 for waiter in self._queue if not waiter.done())
            if self.max_waiting is not None and waiting >= self.max_waiting:
                self.refusals += 1
                named = [("Attempt-Id", fields.get("attempt-id", ""))]
                return connection.respond(503, [*named, ("Not-Executed", "1")], b"")
            self.longest_queue = max(self.longest_queue, waiting + 1)
            waiter = asyncio.get_running_loop().create_future()
            self._queue.append(waiter)
            await waiter
        self.running += 1
        attempt = fields.get("attempt-id", "")
        run = Run(
            attempt=attempt,
            organisation=fields.get("tenant", ""),
            target=f"{request.method} {request.target}",
            body=request.body,
            time_limit_ms=int(fields.get("deadline-ms", 0)),
            at=time.monotonic(),
            parts=_part_ids(fields.get("prompt-prefix", "")),
        )
        self.runs.append(run)
        try:
            if not set(self.faults.fatal_parts).isdisjoint(run.parts):
                await self.work(self.work_s)
                return self.crash()
            await self.answer(connection, fields, attempt)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        finally:
            self.running -= 1
            self.ended_at[attempt] = time.monotonic()
            while self._queue:
                waiter = self._queue.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    break

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some time, and then go on."""
        self.silent_until = time.monotonic() + seconds

    async def end_of_silence(self) -> None:
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    def crash(self) -> None:
        """Break all connections, as a process does that ends."""
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()
        if self.on_crash is not None:
            self.on_crash()

    async def answer(
        self, connection: InboundConnection, fields: dict[str, str], attempt: str
    ) -> None:
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.lose:
            await asyncio.sleep(self.work_s)
            return connection.abort()
        if faults.garbage:
            assert connection.transport is not None
            connection.transport.write(b"\x00garbage\r\n\r\n")
            return connection.close()
        if faults.old_refusal:
            return connection.respond(503, [("Not-Executed", "1")], b"")
        if faults.endless:
            return await self.send_without_end(connection, attempt)
        headers = [("Attempt-Id", "other" if faults.foreign else attempt)]
        if not faults.unsealed:
            headers.append(("Runner-Seal", f"seal-of-{self.endpoint_id}"))
        headers += self.load_report()
        if faults.leaving:
            headers.append(("Server-Leaving", "1"))
        if faults.encoded:
            headers.append(("Content-Encoding", "gzip"))
        if "token-usage" in fields:
            return await self.stream(connection, fields, headers)
        if faults.drip_s:
            connection.start(200, [*headers, ("Content-Length", "500")])
            return await self.drip(connection, faults.drip_s)
        await self.work(self.work_s)
        status = 500 if faults.error else 200
        body = f"answer of {self.endpoint_id} to {attempt}".encode() + self.padding
        if faults.short:
            connection.start(status, [*headers, ("Content-Length", "500")])
            connection.write(body)
            return connection.abort()
        if self.body_s:
            return await self.respond_in_halves(connection, status, headers, body)
        connection.respond(status, headers, body)
        if faults.extra and connection.transport is not None:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        return None

    async def work(self, seconds: float) -> None:
        factor = self.slowdown(time.monotonic()) if self.slowdown is not None else 1.0
        await asyncio.sleep(seconds * factor)
        await self.end_of_silence()

    async def respond_in_halves(
        self,
        connection: InboundConnection,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        half = len(body) // 2
        connection.start(status, [*headers, ("Content-Length", str(len(body)))])
        connection.write(body[:half])
        await self.work(self.body_s)
        connection.write(body[half:])
        connection.finish()

    @property
    def padding(self) -> bytes:
        return b"x" * self.padding_bytes

    def load_report(self) -> list[tuple[str, str]]:
        if self.slowdown is None:
            return []
        percent = int(100 * self.slowdown(time.monotonic()))
        figures = (self.running, len(self._queue), self.slots, percent)
        return [("Runner-Load", ",".join(str(figure) for figure in figures))]

    async def send_without_end(
        self, connection: InboundConnection, attempt: str
    ) -> None:
        """Send one part of an answer until the caller closes the connection."""
        first, pieces = ENDLESS_PARTS[self.faults.endless]
        assert connection.transport is not None
        connection.transport.write(first.replace("{attempt}", attempt).encode())
        with contextlib.suppress(CallerDisconnectedError):
            for piece in pieces():
                connection.transport.write(piece.encode())
                self.endless_bytes += len(piece)
                await connection.drain()
                await asyncio.sleep(0)

    async def drip(self, connection: InboundConnection, interval_s: float) -> None:
        """Send a byte of the body each ``interval_s`` until the caller closes."""
        while True:
            await asyncio.sleep(interval_s)
            connection.write(b":")

    async def stream(
        self,
        connection: InboundConnection,
        fields: dict[str, str],
        headers: list[tuple[str, str]],
    ) -> None:
        await self.work(self.work_s)
        if self.faults.error:
            return connection.respond(500, headers, b"failed")
        connection.start(200, [*headers, ("Content-Type", "text/event-stream")])
        if drip_s := self.faults.drip_s:
            return await self.drip(connection, drip_s)
        first = int(fields.get("last-event-id", FIRST_EVENT_ID - 1)) + 1
        for count, number in enumerate(range(first, self.events + 1)):
            if self.faults.cut_after and count >= self.faults.cut_after:
                if self.faults.torn:
                    connection.write(f"id: {number}\ndata: pie".encode())
                await asyncio.sleep(self.step_s)
                return connection.abort()
            piece = f"id: {number}\ndata: piece {number}".encode() + self.padding
            connection.write(piece + b"\n\n")
            await self.work(self.step_s)
        connection.finish()


def _part_ids(prefix: str) -> tuple[str, ...]:
    return tuple(part.partition(":")[0] for part in prefix.split(",") if part)


async def _register(
    store: str, runner: PlatformRunner, address: str, service: str, zone: str
) -> None:
    """Renew the registration in the store every second, as a runner does."""
    sequence = 0
    born = int(time.time() * 1000)
    while True:
        sequence += 1
        value = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": runner.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": sequence,
            "born": born,
        }
        row = {"table": "servers", "key": runner.endpoint_id, "value": value}
        await _post(store, "/put", orjson.dumps(row))
        await asyncio.sleep(1.0)


async def _post(address: str, path: str, body: bytes) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(2.0):
            connection = (await connect(address, 1.0)).ok()
            if connection is None:
                return
            headers = [("Host", address), ("Content-Length", str(len(body)))]
            connection.send("POST", path, headers, body)
            await connection.next_event()
            connection.close()


async def _run(options: argparse.Namespace) -> None:
    runner = PlatformRunner(options.id, slots=options.slots, events=options.events)
    server, bound = await listen(runner.handle, options.listen)
    announce(bound)
    task = asyncio.create_task(
        _register(options.store, runner, bound, options.service, options.zone)
    )
    await wait_for_stop()
    task.cancel()
    server.close()


def main() -> None:
    """Run one runner until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    parser.add_argument("--id", required=True)
    parser.add_argument("--store", required=True, help="IP:PORT of the store")
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--events", type=int, default=10)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
