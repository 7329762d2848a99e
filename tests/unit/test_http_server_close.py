"""Guard against a logged error when the server closes with a request in service."""

import asyncio

import pytest

from acaciarelay.transport.http_server import HttpExchange, HttpServer


async def test_closing_with_a_request_in_service_logs_no_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    entered = asyncio.Event()

    async def hang(exchange: HttpExchange) -> None:
        entered.set()
        await asyncio.Event().wait()

    server = HttpServer(hang)
    port = await server.listen("127.0.0.1", 0)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    async with asyncio.timeout(5.0):
        await entered.wait()
    await server.close(0.0)
    await asyncio.sleep(0.05)
    writer.close()
    assert caplog.records == []
