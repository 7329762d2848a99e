"""Guard against a truncated, stalled or cancelled answer reported as complete."""

import asyncio
from collections.abc import AsyncIterator

import orjson
import pytest
from result import Err, Ok
from unit.standin_serving import Collector, call, pieces, serving, until

from acaciarelay.protocol.codes import CODES, Outcome
from acaciarelay.transport.endpoints import ENDPOINT_KINDS
from acaciarelay.transport.endpoints.base import (
    CommandKind,
    EndpointLimits,
    EndpointLoad,
    EngineCommand,
    RunResult,
)
from acaciarelay.transport.endpoints.chat_engine import ChatEngine
from acaciarelay.transport.http_client import HttpFault
from acaciarelay.transport.http_server import HttpExchange
from acaciarelay_standins.answers import expected_chat_answer
from acaciarelay_standins.engine import EngineStandin, Faults, parse_arguments

PATH = "/v1/chat/completions"
FAST = ["--prefill-tokens-per-s=1e6", "--decode-tokens-per-s=2000", "--load-lag-s=0"]
LIMITS = EndpointLimits(first_answer_s=2.0, stall_s=0.3)


def chat_body(stream: bool, max_tokens: int = 20, text: str = "hello " * 500) -> bytes:
    message = {"role": "user", "content": text}
    return orjson.dumps(
        {
            "model": "m",
            "messages": [message],
            "stream": stream,
            "max_tokens": max_tokens,
        }
    )


async def run(
    address: str, body: bytes, sink: Collector, limits: EndpointLimits = LIMITS
) -> RunResult:
    engine = ChatEngine(address, limits)
    return await engine.run(call("POST", PATH, body), pieces(body), sink)


@pytest.mark.parametrize("stream", [True, False])
async def test_a_complete_answer_is_unchanged_and_has_its_token_counts(
    stream: bool,
) -> None:
    standin = EngineStandin(parse_arguments(FAST))
    body, sink = chat_body(stream), Collector()
    async with serving(standin.handle) as address:
        result = await run(address, body, sink)
        await until(lambda: standin.requests[0].state == "finished")
    assert (result.code, result.outcome, result.sent) == (0, Outcome.RAN, True)
    assert sink.body == expected_chat_answer(body)
    assert (result.prompt_tokens, result.answer_tokens) == (750, 20)
    assert (result.first_token_s is not None) == stream
    assert "transfer-encoding" not in sink.headers


async def test_a_failed_connect_is_not_run() -> None:
    async with serving(EngineStandin(parse_arguments(FAST)).handle) as address:
        pass
    result = await run(address, chat_body(True), Collector())
    assert (result.sent, result.outcome) == (False, Outcome.NOT_RUN)
    assert result.code == CODES["no_endpoint"].number


@pytest.mark.parametrize("stream", [True, False])
async def test_a_stalled_engine_ends_as_stalled(stream: bool) -> None:
    standin = EngineStandin(parse_arguments(FAST))
    standin.faults = Faults(stall_after=5)
    limits = EndpointLimits(first_answer_s=0.5, stall_s=0.3)
    async with serving(standin.handle) as address:
        result = await run(address, chat_body(stream), Collector(), limits)
        await until(lambda: standin.requests[0].state == "cancelled")
    assert result.code == 501 and result.outcome is Outcome.RAN
    assert result.answer_tokens == (5 if stream else 0)


async def test_keep_alive_comments_are_no_progress() -> None:
    """Guards against a stall limit that is never reached during keep-alive comments."""

    async def comments(exchange: HttpExchange) -> None:
        await exchange.start(200, [("content-type", "text/event-stream")])
        await exchange.write(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
        while True:
            await exchange.write(b": still here\n\n")
            await asyncio.sleep(0.02)

    async with serving(comments) as address:
        async with asyncio.timeout(10.0):
            result = await run(address, chat_body(True), Collector())
    assert result.code == 501


@pytest.mark.parametrize(
    "faults", [Faults(die_after=5), Faults(refuse="close"), Faults(die_after=0)]
)
@pytest.mark.parametrize("stream", [True, False])
async def test_an_aborted_connection_ends_as_failed(
    faults: Faults, stream: bool
) -> None:
    standin = EngineStandin(parse_arguments(FAST))
    standin.faults = faults
    async with serving(standin.handle) as address:
        result = await run(address, chat_body(stream), Collector())
    assert (result.code, result.sent) == (CODES["endpoint_failed"].number, True)


@pytest.mark.parametrize(
    ("content_type", "data"),
    [
        ("text/event-stream", b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'),
        ("application/json", b'{"choices":[{"message":{"content":"a'),
    ],
)
async def test_a_truncated_answer_with_valid_framing_is_not_complete(
    content_type: str, data: bytes
) -> None:
    """Guards against valid HTTP framing that hides an engine which stopped early."""

    async def cut(exchange: HttpExchange) -> None:
        await exchange.respond(200, [("content-type", content_type)], data)

    async with serving(cut) as address:
        result = await run(address, chat_body(True), Collector())
    assert result.code == CODES["endpoint_failed"].number


async def test_an_engine_refusal_is_forwarded() -> None:
    standin = EngineStandin(parse_arguments(FAST))
    standin.faults = Faults(refuse="status", count=1)
    sink = Collector()
    async with serving(standin.handle) as address:
        result = await run(address, chat_body(True), sink)
        assert (result.code, sink.status) == (0, 503)
        again = await run(address, chat_body(True), Collector())
    assert again.code == 0


async def test_cancelling_the_task_cancels_at_the_engine() -> None:
    standin = EngineStandin(parse_arguments(["--decode-tokens-per-s=100"]))
    sink = Collector()
    async with serving(standin.handle) as address:
        task = asyncio.create_task(run(address, chat_body(True, 10_000), sink))
        await until(lambda: sink.body != b"")
        task.cancel()
        await asyncio.wait({task})
        await until(lambda: standin.requests[0].state == "cancelled")
        await until(lambda: standin.batch.running == 0)
    assert standin.requests[0].answer_tokens < 10_000


async def test_a_slow_reader_is_not_a_stalled_engine() -> None:
    standin = EngineStandin(parse_arguments(FAST))
    body, sink = chat_body(True), Collector()
    sink.gate.clear()
    async with serving(standin.handle) as address:
        task = asyncio.create_task(run(address, body, sink))
        await asyncio.sleep(3 * LIMITS.stall_s)
        assert not task.done()
        sink.gate.set()
        result = await task
    assert result.code == 0 and sink.body == expected_chat_answer(body)
    assert result.inter_token_s is None


async def test_the_request_body_is_streamed() -> None:
    """Guards against buffering bodies, which can hold photographs, in memory."""
    received = 0
    body = chat_body(False)

    async def count(exchange: HttpExchange) -> None:
        nonlocal received
        async for piece in exchange.read_body():
            received += len(piece.unwrap())
        assert exchange.request.header("x-hop") is None
        assert exchange.request.header("x-kept") == "1"
        await exchange.respond(200, [], b"")

    async def gated() -> AsyncIterator[bytes]:
        yield body[:1_000]
        await until(lambda: received == 1_000)
        yield body[1_000:]

    async with serving(count) as address:
        engine = ChatEngine(address, LIMITS)
        result = await engine.run(call("POST", PATH, body), gated(), Collector())
    assert (result.code, received) == (0, len(body))


async def test_load_and_commands() -> None:
    standin = EngineStandin(parse_arguments([*FAST, "--command-s=0"]))
    async with serving(standin.handle) as address:
        engine = ENDPOINT_KINDS["chat"](address, LIMITS)
        assert await engine.probe() == Ok(EndpointLoad())
        newer = EngineCommand(CommandKind.LOAD_MODEL, "m", 7)
        older = EngineCommand(CommandKind.LOAD_MODEL, "m", 6)
        assert await engine.command(newer) == Ok(None)
        assert isinstance(await engine.command(older), Err)
        standin.check_token = False
        assert await engine.command(older) == Ok(None)
    assert [item.accepted for item in standin.commands] == [True, False, True]


async def test_no_command_is_written_after_the_lease_has_ended() -> None:
    """Guards against a command whose lease ends while the connection is opened."""
    standin = EngineStandin(parse_arguments([*FAST, "--command-s=0"]))
    async with serving(standin.handle) as address:
        command = EngineCommand(CommandKind.LOAD_MODEL, "mender-2", 5)
        answer = await ChatEngine(address).command(command, lambda: False)
    assert answer.unwrap_err().fault is HttpFault.NOT_SENT
    assert standin.commands == []
