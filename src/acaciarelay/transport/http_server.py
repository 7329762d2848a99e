"""HTTP/1.1 server side on h11 and asyncio streams, with progress time-outs."""

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from urllib.parse import parse_qsl, urlsplit

import attrs
import eliot
import h11
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import REQUEST_ID_HEADER, Header, HttpRequest

__all__ = [
    "CallerDisconnectedError",
    "Handler",
    "HttpExchange",
    "HttpRequest",
    "HttpServer",
    "ServerLimits",
    "refusal_headers",
    "render_refusal",
]

READ_SIZE_BYTES = 65_536
# Limit of pipelined data that is buffered while a request is in service.
MAX_PIPELINED_BYTES = 65_536
# An unread body is read and discarded up to this time and size. Closing with unread
# data makes the kernel reset the connection, and the caller would lose the refusal.
LINGER_S = 1.0
LINGER_BYTES = 4_194_304


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Limits of a server and its connections; times in seconds, sizes in bytes.

    ``head_timeout_s`` limits the time until the first head of a connection is complete,
    ``idle_timeout_s`` that from a response to the end of the next head.
    ``read_timeout_s`` and ``write_timeout_s`` limit the time without progress.
    """

    max_head_bytes: int = 16_384
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    read_timeout_s: float = 10.0
    write_timeout_s: float = 10.0
    max_connections: int = 2_000


class CallerDisconnectedError(Exception):
    """The caller closed the connection or stopped reading."""


def refusal_headers(refusal: Refusal) -> list[Header]:
    """Build the header fields that describe a refusal."""
    headers = [
        ("acaciarelay-code", str(refusal.code.number)),
        ("acaciarelay-outcome", str(refusal.code.outcome)),
    ]
    if refusal.retry_after_s is not None:
        # The field takes whole seconds; rounding up avoids a retry that is too early.
        headers.append(("retry-after", str(max(1, -int(-refusal.retry_after_s // 1)))))
    return headers


def render_refusal(refusal: Refusal) -> bytes:
    """Render a refusal as the JSON body of a response."""
    error = {
        "code": refusal.code.number,
        "type": refusal.code.name,
        "outcome": str(refusal.code.outcome),
        "message": refusal.message,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = round(refusal.retry_after_s, 3)
    return orjson.dumps({"error": error})


class HttpExchange:
    """One request and its response.

    Sending raises ``CallerDisconnectedError`` when the caller closed the connection or
    read no data for the write time-out.
    """

    def __init__(self, connection: "_Connection", request: HttpRequest) -> None:
        self.connection = connection
        self.request = request
        self.started = False

    async def read_body(self) -> AsyncIterator[Result[bytes, Refusal]]:
        """Read the body in pieces; an error ends the iteration."""
        async for piece in self.connection.read_body():
            yield piece

    async def start(self, status: int, headers: Sequence[Header]) -> None:
        """Send the head of a response whose body follows in pieces."""
        self.started = True
        await self.connection.send(
            h11.Response(status_code=status, headers=list(headers))
        )

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self.connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the response."""
        await self.connection.send(h11.EndOfMessage())

    async def respond(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete response."""
        fields = [*headers, ("content-length", str(len(body)))]
        await self.start(status, fields)
        if body and self.request.method != "HEAD":
            await self.write(body)
        await self.finish()

    async def respond_json(
        self, status: int, value: object, headers: Sequence[Header] = ()
    ) -> None:
        """Send a complete response with a JSON body."""
        fields = [("content-type", "application/json"), *headers]
        await self.respond(status, fields, orjson.dumps(value))

    async def respond_refusal(
        self, refusal: Refusal, headers: Sequence[Header] = ()
    ) -> None:
        """Send a refusal with its code, outcome and retry time."""
        fields = [
            ("content-type", "application/json"),
            *refusal_headers(refusal),
            *headers,
        ]
        await self.respond(refusal.code.status, fields, render_refusal(refusal))

    async def wait_closed(self) -> None:
        """Return when the caller closes its connection or pipelines too much data."""
        await self.connection.wait_closed()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response can't look complete."""
        self.connection.abort()


Handler = Callable[[HttpExchange], Awaitable[None]]


class _Connection:
    """Drive h11 over one accepted connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: ServerLimits,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        self.pipelined_bytes = 0

    async def next_event(self, timeout_s: float) -> object:
        """Return the next h11 event; raises ``TimeoutError`` without progress."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            async with asyncio.timeout(timeout_s):
                data = await self.reader.read(READ_SIZE_BYTES)
            self.protocol.receive_data(data)

    async def read_request(
        self, timeout_s: float
    ) -> Result[HttpRequest | None, Refusal]:
        """Read the head of a request; ``None`` when the caller closed or was idle."""
        try:
            async with asyncio.timeout(timeout_s):
                event = await self.next_event(timeout_s)
        except TimeoutError:
            if self.protocol.trailing_data[0]:
                return Err(refuse("head_too_slow"))
            return Ok(None)
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                return Err(refuse("head_too_large"))
            # The text of the exception is left out: it quotes raw bytes of the request.
            return Err(refuse("malformed_http"))
        except OSError:
            return Ok(None)
        if not isinstance(event, h11.Request):
            return Ok(None)
        target = event.target.decode("latin-1")
        parts = urlsplit(target)
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        ]
        request = HttpRequest(
            event.method.decode("ascii"),
            parts.path,
            dict(parse_qsl(parts.query)),
            headers,
            target,
        )
        return Ok(request)

    async def read_body(self) -> AsyncIterator[Result[bytes, Refusal]]:
        while True:
            try:
                event = await self.next_event(self.limits.read_timeout_s)
            except TimeoutError:
                yield Err(refuse("body_too_slow"))
                return
            except (h11.RemoteProtocolError, OSError) as error:
                yield Err(refuse("malformed_http", str(error)))
                return
            match event:
                case h11.Data():
                    yield Ok(bytes(event.data))
                case h11.EndOfMessage():
                    return
                case _:
                    yield Err(refuse("malformed_http", "the body ended early"))
                    return

    async def send(self, event: h11.Event) -> None:
        try:
            data = self.protocol.send(event)
            if data:
                self.writer.write(data)
            transport = self.writer.transport
            if not transport.is_closing() and not transport.get_write_buffer_size():
                # The kernel accepted all data, as it does for most events.
                return
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self.writer.drain()
        except (OSError, TimeoutError, h11.LocalProtocolError) as error:
            self.abort()
            raise CallerDisconnectedError(str(error)) from error

    async def wait_closed(self) -> None:
        while True:
            try:
                data = await self.reader.read(READ_SIZE_BYTES)
            except OSError:
                return
            if not data:
                return
            self.pipelined_bytes += len(data)
            if self.pipelined_bytes > MAX_PIPELINED_BYTES:
                return
            self.protocol.receive_data(data)

    def abort(self) -> None:
        self.writer.transport.abort()

    @property
    def reusable(self) -> bool:
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def close(self) -> None:
        try:
            if self.protocol.their_state not in (h11.DONE, h11.CLOSED):
                with contextlib.suppress(OSError, TimeoutError):
                    await self.discard_input()
        finally:
            self.writer.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self.writer.wait_closed()

    async def discard_input(self) -> None:
        if self.writer.can_write_eof() and not self.writer.transport.is_closing():
            self.writer.write_eof()
        async with asyncio.timeout(LINGER_S):
            left = LINGER_BYTES
            while left > 0:
                data = await self.reader.read(READ_SIZE_BYTES)
                if not data:
                    return
                left -= len(data)


class HttpServer:
    """Serve HTTP on one address and pass each request to a handler."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.busy: set[asyncio.Task] = set()
        self.closing = False

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections and return the port in use.

        Raises ``OSError`` when the address can't be bound.
        """
        self.server = await asyncio.start_server(self.accept, host, port, backlog=1024)
        return self.server.sockets[0].getsockname()[1]

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        connection = _Connection(reader, writer, self.limits)
        try:
            await self.serve(connection, task)
        except CallerDisconnectedError:
            pass
        except (OSError, h11.ProtocolError) as error:
            eliot.log_message(message_type="connection_failed", detail=str(error))
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection handler as an error, but `close`
            # cancels handlers as a part of a planned stop.
            if not self.closing:
                raise
        finally:
            self.busy.discard(task)
            await connection.close()
            self.tasks.discard(task)

    async def serve(self, connection: _Connection, task: asyncio.Task) -> None:
        timeout_s = self.limits.head_timeout_s
        while not self.closing:
            if len(self.tasks) > self.limits.max_connections:
                return
            match await connection.read_request(timeout_s):
                case Err(refusal):
                    await self.refuse(connection, refusal)
                    return
                case Ok(None):
                    return
                case Ok(HttpRequest() as request):
                    self.busy.add(task)
                    exchange = HttpExchange(connection, request)
                    await self.handle(exchange)
                    self.busy.discard(task)
            if not connection.reusable:
                return
            connection.protocol.start_next_cycle()
            connection.pipelined_bytes = 0
            timeout_s = self.limits.idle_timeout_s

    async def handle(self, exchange: HttpExchange) -> None:
        try:
            await self.handler(exchange)
        except CallerDisconnectedError:
            raise
        except Exception:
            # An unexpected error in one request is logged and must not end the server.
            eliot.write_traceback()
            if exchange.started:
                exchange.abort()
                return
            await exchange.respond_refusal(refuse("internal_error"))

    async def refuse(self, connection: _Connection, refusal: Refusal) -> None:
        if connection.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        request = HttpRequest("GET", "", {}, [])
        # Assigned here, since no handler has run for the request.
        request_id = secrets.token_hex(12)
        headers = [("connection", "close"), (REQUEST_ID_HEADER, request_id)]
        await HttpExchange(connection, request).respond_refusal(refusal, headers)

    async def close(self, grace_s: float) -> None:
        """Stop accepting, let requests in service finish, then close.

        ``grace_s`` limits the time to wait for them, in seconds.
        """
        self.closing = True
        if self.server is not None:
            self.server.close()
        deadline = asyncio.get_running_loop().time() + grace_s
        while self.busy and asyncio.get_running_loop().time() < deadline:
            await asyncio.wait(self.busy, timeout=0.1)
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=LINGER_S)
