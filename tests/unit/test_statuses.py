"""Statuses that no answer can have: callers never get them."""

import asyncio

import pytest
from relay_rig import RelayRig
from result import Err, Ok
from unit.platform_path.test_ends_of_answers import (
    HEAD,
    PLAIN,
    STREAM,
    ScriptedRunner,
    chunked,
)

from acaciarelay.transport.http_client import ClientLimits, fetch

# Beyond the five classes of statuses, and what isn't three digits.
INVALID = ["600", "999", "000", "001", "099", "0", "20", "2000", "-20", "2x0"]
LIMITS = ClientLimits(head_timeout_s=5.0, read_timeout_s=5.0)
TARGETS = {"/read/a": "orders", "/order/a": "orders", "/quote/a": "engine"}


def with_length(body, status):
    head = HEAD.replace("{status}", f"{status} Odd")
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}"


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("status", INVALID)
async def test_an_answer_with_an_invalid_status_is_none(status, target, framing):
    """Guards against bytes that are no answer of HTTP, with the runner's seal."""
    body = STREAM if target == "/quote/a" else PLAIN
    answer = with_length(body, status)
    if framing == "chunks":
        answer = chunked(body, status=f"{status} Odd")
    async with RelayRig() as rig:
        runner = ScriptedRunner(answer)
        await runner.listen(rig, 1, TARGETS[target])
        got = await rig.call(target)
        assert got.status in (502, 503)
        assert "runner-seal" not in got.headers
        # What may have run is not told to be unrun.
        assert got.status == 502 or target == "/read/a"


async def test_what_may_run_again_goes_elsewhere_after_an_invalid_status():
    """Guards against a repeatable request that is lost with one runner's bytes."""
    async with RelayRig() as rig:
        runner = ScriptedRunner(with_length("odd", "600"), with_length(PLAIN, "200"))
        await runner.listen(rig, 1, "orders")
        got = await rig.call("/read/a")
        assert (got.status, got.body) == (200, PLAIN.encode())
        assert runner.count == 2


async def test_a_status_of_each_class_is_passed_on():
    """Guards against a bound that rejects the runner's own failures."""
    async with RelayRig() as rig:
        for number, status in enumerate(["404", "500", "599"], 1):
            runner = ScriptedRunner(with_length("no", status))
            await runner.listen(rig, number, "orders")
            got = await rig.call("/order/a", attempt=f"a-{number}")
            rig.row("servers", f"i-{number}", None)
            assert (got.status, got.body) == (int(status), b"no")


@pytest.mark.parametrize("status", ["600", "999", "000"])
async def test_a_process_of_the_own_interface_gets_no_invalid_status(status):
    """Guards against an invalid status of an endpoint that a caller gets there."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        match await fetch(f"{host}:{port}", "GET", "/", limits=LIMITS):
            case Ok(answer):
                raise AssertionError(answer)
            case Err(error):
                assert error
