"""HTTP/1.1 client side on h11 and asyncio streams, with progress time-outs."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Callable, Sequence

import attrs
import h11
from result import Err, Ok, Result

from acaciarelay.protocol.http_message import MAX_STATUS, Header

__all__ = [
    "ClientExchange",
    "ClientLimits",
    "FetchedResponse",
    "HttpError",
    "HttpFault",
    "fetch",
    "open_exchange",
    "split_address",
]


READ_SIZE_BYTES = 65_536
# A longer body that is read as a whole is given up.
MAX_BODY_BYTES = 64 * 1_048_576
# Interim responses (status 1xx) accepted before the final one.
MAX_INTERIM_RESPONSES = 8


class HttpFault(enum.StrEnum):
    """How far a failed request got."""

    NOT_SENT = "not_sent"  # No byte of the request was written.
    SENT = "sent"  # The server may have the request.
    STALLED = "stalled"  # The server made no progress within the time-out.
    REFUSED = "refused"  # The server answered that it did not act.


@attrs.frozen
class HttpError:
    fault: HttpFault
    detail: str


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits of the time without progress at each step, in seconds."""

    connect_timeout_s: float = 2.0
    head_timeout_s: float = 30.0
    read_timeout_s: float = 10.0
    write_timeout_s: float = 10.0


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``; raises ``ValueError`` when there is no port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class ClientExchange:
    """One request on a connection of its own, and its response."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: ClientLimits,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.protocol = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: list[Header] = []
        self.interim_responses = 0

    async def send_request(
        self,
        method: str,
        path: str,
        headers: Sequence[Header],
        body: AsyncIterator[bytes] | bytes,
    ) -> HttpError | None:
        """Send head and body; the body must have the length that the head declares."""
        try:
            await self.send(
                h11.Request(method=method, target=path, headers=list(headers))
            )
            if isinstance(body, bytes):
                if body:
                    await self.send(h11.Data(data=body))
            else:
                async for piece in body:
                    await self.send(h11.Data(data=piece))
            await self.send(h11.EndOfMessage())
        except TimeoutError:
            return HttpError(HttpFault.STALLED, "the server reads no data")
        except (OSError, h11.LocalProtocolError) as error:
            return HttpError(HttpFault.SENT, str(error))
        return None

    async def send(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            self.writer.write(data)
        async with asyncio.timeout(self.limits.write_timeout_s):
            await self.writer.drain()

    async def read_head(self) -> HttpError | None:
        """Read status and headers of the response."""
        match await self.next_event(self.limits.head_timeout_s):
            case Err(error):
                return error
            case Ok(h11.Response(status_code=status)) if status > MAX_STATUS:
                return HttpError(HttpFault.SENT, f"invalid status {status}")
            case Ok(h11.Response() as response):
                self.status = response.status_code
                self.headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in response.headers
                ]
                return None
            case _:
                return HttpError(HttpFault.SENT, "the server closed the connection")

    async def read_piece(self) -> Result[bytes | None, HttpError]:
        """Read the next piece of the body; ``None`` at its end."""
        match await self.next_event(self.limits.read_timeout_s):
            case Err(error):
                return Err(error)
            case Ok(h11.Data() as event):
                return Ok(bytes(event.data))
            case Ok(h11.EndOfMessage()):
                return Ok(None)
            case _:
                return Err(HttpError(HttpFault.SENT, "the answer ended early"))

    async def read_all(self) -> Result[bytes, HttpError]:
        """Read the rest of the body."""
        received = bytearray()
        while True:
            match await self.read_piece():
                case Err(error):
                    return Err(error)
                case Ok(bytes() as piece):
                    received += piece
                    if len(received) > MAX_BODY_BYTES:
                        return Err(HttpError(HttpFault.SENT, "the answer is too large"))
                case _:
                    return Ok(bytes(received))

    async def next_event(self, timeout_s: float) -> Result[object, HttpError]:
        try:
            while True:
                event = self.protocol.next_event()
                if isinstance(event, h11.InformationalResponse):
                    self.interim_responses += 1
                    if self.interim_responses > MAX_INTERIM_RESPONSES:
                        return Err(HttpError(HttpFault.SENT, "no final response"))
                    continue
                if event is not h11.NEED_DATA:
                    return Ok(event)
                async with asyncio.timeout(timeout_s):
                    data = await self.reader.read(READ_SIZE_BYTES)
                self.protocol.receive_data(data)
        except TimeoutError:
            return Err(HttpError(HttpFault.STALLED, f"no data for {timeout_s:g} s"))
        except (OSError, h11.RemoteProtocolError) as error:
            return Err(HttpError(HttpFault.SENT, str(error)))

    async def close(self) -> None:
        """Abort the connection, which also cancels an unfinished response."""
        self.writer.transport.abort()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


async def open_exchange(
    address: str, limits: ClientLimits | None = None
) -> Result[ClientExchange, HttpError]:
    """Connect to ``IP:PORT`` for one request."""
    limits = limits or ClientLimits()
    host, port = split_address(address)
    try:
        async with asyncio.timeout(limits.connect_timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        return Err(HttpError(HttpFault.NOT_SENT, f"no connection to {address}"))
    except OSError as error:
        return Err(HttpError(HttpFault.NOT_SENT, str(error)))
    return Ok(ClientExchange(reader, writer, limits))


@attrs.frozen
class FetchedResponse:
    """A complete response."""

    status: int
    headers: list[Header]
    body: bytes

    def header(self, name: str) -> str | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None


async def fetch(
    address: str,
    method: str,
    path: str,
    headers: Sequence[Header] = (),
    body: bytes = b"",
    limits: ClientLimits | None = None,
    may_send: Callable[[], bool] | None = None,
) -> Result[FetchedResponse, HttpError]:
    """Send one request and read its complete response.

    ``may_send`` is called once the connection is open; if it returns false, nothing is
    sent.
    """
    match await open_exchange(address, limits):
        case Err(error):
            return Err(error)
        case Ok(exchange):
            try:
                if may_send is not None and not may_send():
                    detail = "the right to send ended while connecting"
                    return Err(HttpError(HttpFault.NOT_SENT, detail))
                return await _fetch(exchange, address, method, path, headers, body)
            finally:
                await exchange.close()


async def _fetch(
    exchange: ClientExchange,
    address: str,
    method: str,
    path: str,
    headers: Sequence[Header],
    body: bytes,
) -> Result[FetchedResponse, HttpError]:
    fields = [("host", address), *headers, ("content-length", str(len(body)))]
    # A server may respond and close before it has read the complete request, so a
    # failed write is an error only if the response can't be read either.
    send_error = await exchange.send_request(method, path, fields, body)
    if send_error is not None and send_error.fault is HttpFault.STALLED:
        return Err(send_error)
    head_error = await exchange.read_head()
    if head_error is not None:
        return Err(send_error or head_error)
    match await exchange.read_all():
        case Err(error):
            return Err(error)
        case Ok(data):
            return Ok(FetchedResponse(exchange.status, exchange.headers, data))
