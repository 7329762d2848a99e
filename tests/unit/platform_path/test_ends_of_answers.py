"""Answers that end with their channel, or break off at any byte: what callers get."""

import asyncio
import contextlib
import socket
import struct

import pytest
from relay_rig import RelayRig, registration

HEAD = "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
PLAIN = "order 17 is under way"
EVENTS = [f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 6)]
STREAM = "".join(EVENTS)


class ScriptedRunner:
    """A runner that writes given bytes as its answer and then closes the connection.

    ``answers`` are used in turn; the last one is used again. With ``reset`` the end is
    a reset.
    """

    def __init__(self, *answers, reset=False):
        self.answers = list(answers)
        self.reset = reset
        self.count = 0
        self.writers = []

    async def listen(self, rig, number, service):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        rig.servers.append(server)
        rig.closers.append(self.close)
        register(rig, number, service, server)

    def close(self):
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        lines = head.lower().split("\r\n")
        attempt = next(line for line in lines if line.startswith("attempt-id"))
        answer = self.answers[min(self.count, len(self.answers) - 1)]
        self.count += 1
        text = answer.replace("{attempt}", attempt.partition(":")[2].strip())
        writer.write(text.encode("latin-1"))
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.reset:
            # Closing a socket without lingering resets its connection.
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


def register(rig, number, service, server):
    host, port = server.sockets[0].getsockname()
    rig.row("servers", f"i-{number}", registration(service, f"{host}:{port}"))


def unframed(body, status="200 OK"):
    """Return an answer with neither a length nor chunks."""
    return HEAD.replace("{status}", status) + "\r\n" + body


def chunked(*pieces, status="200 OK", end=True):
    head = HEAD.replace("{status}", status) + "Transfer-Encoding: chunked\r\n\r\n"
    body = "".join(f"{len(piece):x}\r\n{piece}\r\n" for piece in pieces)
    return head + body + ("0\r\n\r\n" if end else "")


async def call(rig, target, **runners):
    for number, (service, runner) in enumerate(runners.items(), 1):
        await runner.listen(rig, number, service)
    return await rig.call(target)


async def call_engines(*runners, target="/chat/a"):
    async with RelayRig() as rig:
        for number, runner in enumerate(runners, 1):
            await runner.listen(rig, number, "engine")
        return await rig.call(target)


def looks_complete(answer):
    return answer.status == 200 and answer.complete


async def test_a_plain_answer_may_end_with_its_channel():
    async with RelayRig() as rig:
        answer = await call(rig, "/read/a", orders=ScriptedRunner(unframed(PLAIN)))
        assert looks_complete(answer)
        assert answer.body == PLAIN.encode()


async def test_a_plain_answer_that_is_reset_is_not_complete():
    """Guards against a reset that passes for the end of an answer."""
    async with RelayRig() as rig:
        runner = ScriptedRunner(unframed(PLAIN), reset=True)
        answer = await call(rig, "/order/a", orders=runner)
        assert answer.status == 502


async def test_a_stream_may_end_with_its_channel():
    answer = await call_engines(ScriptedRunner(unframed(STREAM)))
    assert looks_complete(answer)
    assert answer.body == STREAM.encode()


@pytest.mark.parametrize("form", [unframed, chunked])
@pytest.mark.parametrize("cut", range(1, len(EVENTS[0])))
async def test_a_stream_that_ends_inside_an_event_is_broken_off(form, cut):
    """Guards against a torn event, or a stream that looks complete without its end."""
    torn = ScriptedRunner(form("".join(EVENTS[:2]) + EVENTS[2][:cut]))
    answer = await call_engines(torn, target="/quote/a")
    assert not looks_complete(answer)
    assert answer.body in (b"", "".join(EVENTS[:2]).encode())


@pytest.mark.parametrize("form", [unframed, chunked])
async def test_a_stream_that_ends_inside_an_event_is_resumed_elsewhere(form):
    torn = form("".join(EVENTS[:2]) + EVENTS[2][:9])
    rest = chunked("".join(EVENTS[2:]))
    answer = await call_engines(ScriptedRunner(torn, rest))
    assert looks_complete(answer)
    assert answer.body == STREAM.encode()


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("target", ["/order/a", "/quote/a"])
async def test_an_answer_that_ends_inside_its_head_is_none(target, reset):
    """Guards against an empty or short body that is framed as a whole answer."""
    answer = unframed(STREAM if target == "/quote/a" else PLAIN)
    body_at = answer.index("\r\n\r\n") + 4
    service = "engine" if target == "/quote/a" else "orders"
    async with RelayRig() as rig:
        runner = ScriptedRunner(*[answer[:cut] for cut in range(body_at)], reset=reset)
        await runner.listen(rig, 1, service)
        for cut in range(body_at):
            got = await rig.call(target, attempt=f"a-{cut}")
            assert got.status in (0, 502), (answer[:cut], got)
            assert not got.complete or b"order 17" not in got.body


@pytest.mark.parametrize("cut", [1, 10, 40, 70, 88])
async def test_an_answer_with_a_length_that_ends_early_is_none(cut):
    body = "x" * 90
    head = HEAD.replace("{status}", "200 OK") + "Content-Length: 90\r\n\r\n"
    async with RelayRig() as rig:
        runner = ScriptedRunner(head + body[:cut])
        answer = await call(rig, "/order/a", orders=runner)
        assert answer.status == 502


ERRORS = {
    "unframed": unframed("internal error", "500 Failed"),
    "chunked": chunked("internal error", status="500 Failed"),
    "refusal": HEAD.replace("{status}", "503 Full")
    + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
    "not found": HEAD.replace("{status}", "404 None") + "Content-Length: 4\r\n\r\nnone",
    "no stream": unframed("internal error"),
    "half a head": "HTTP/1.1 500 Fai",
    "no HTTP": "internal error\r\n\r\n",
}


@pytest.mark.parametrize("error", ERRORS)
async def test_an_error_after_a_broken_stream_is_not_part_of_it(error):
    """Guards against an error's text or head in a stream, and a stream without end."""
    torn = chunked("".join(EVENTS[:2]), end=False)
    runner = ScriptedRunner(torn, ERRORS[error])
    answer = await call_engines(runner)
    assert not answer.complete
    assert answer.body == "".join(EVENTS[:2]).encode()
    assert runner.count >= 2


async def test_a_stream_without_length_that_is_reset_is_not_complete():
    """Guards against a reset after a whole event that passes for the end."""
    runner = ScriptedRunner(unframed("".join(EVENTS[:2])), reset=True)
    answer = await call_engines(runner, target="/quote/a")
    assert not looks_complete(answer)
