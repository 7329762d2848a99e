"""Stand-in of a model engine with continuous batching.

- ``POST /v1/chat/completions`` answers as events or as one JSON body.
- ``GET /load`` reports the load with a lag.
- ``GET /events?after=N`` lists the cache events with a sequence number above N.
- ``POST /commands`` takes engine commands with a fencing token.
- ``POST /faults`` replaces all faults; ``{}`` clears them. See ``Faults``.
- ``GET /record`` lists requests and commands; ``?after=N`` omits the first N requests.
"""

import argparse
import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

import attrs
import cattrs

from acaciarelay.transport.endpoints.base import EngineCommand
from acaciarelay.transport.http_server import CallerDisconnectedError, HttpExchange
from acaciarelay_standins.answers import (
    ChatRequest,
    json_answer,
    parse_chat_request,
    stream_events,
)
from acaciarelay_standins.common import (
    add_listen,
    read_body,
    read_json,
    serve_until_stopped,
)
from acaciarelay_standins.engine_model import (
    Batch,
    EngineSpeed,
    EventLog,
    LaggedLoad,
    LoadReport,
    PrefixCache,
    block_hashes,
)

__all__ = ["EngineStandin", "Faults", "main", "parse_arguments"]

PREFILL_CHUNK_TOKENS = 512


@attrs.define
class Faults:
    """Faults to inject.

    ``stall_after`` stalls an answer after this many tokens; ``die_after`` aborts its
    connection after this many. ``refuse`` refuses requests with ``status`` (503) or
    ``close``. ``count`` limits these three to that many requests. ``slow_factor``
    multiplies the prefill time and the token intervals, also of requests that are
    already running when it is set or cleared.
    """

    stall_after: int | None = None
    die_after: int | None = None
    refuse: str = ""
    count: int | None = None
    slow_factor: float = 1.0

    def for_next_request(self) -> "Faults":
        """Return the faults for a new request.

        Reduces ``count`` if one of the faults that it limits is set.
        """
        if self.count == 0:
            return Faults(slow_factor=self.slow_factor)
        breaks = self.stall_after is not None or self.die_after is not None
        if self.count is not None and (breaks or self.refuse):
            self.count -= 1
        return attrs.evolve(self)


@attrs.define(kw_only=True)
class RecordedRequest:
    """Request that was received; times are monotonic, in seconds."""

    request_id: str
    tier: str
    organisation: str
    model: str = ""
    start: float
    end: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    prefill_tokens: int = 0
    answer_tokens: int = 0
    state: str = "running"


@attrs.frozen
class RecordedCommand:
    """Command that was received; ``at`` is monotonic, in seconds."""

    at: float
    command: EngineCommand
    accepted: bool


class EngineStandin:
    """Answer engine calls and inject faults."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.speed = EngineSpeed(
            prefill_tokens_per_s=arguments.prefill_tokens_per_s,
            decode_tokens_per_s=arguments.decode_tokens_per_s,
            slowdown=arguments.slowdown,
        )
        self.tokens_per_event: int = arguments.tokens_per_event
        self.check_token: bool = arguments.check_token
        self.command_duration_s: float = arguments.command_s
        self.models = set(filter(None, arguments.models.split(",")))
        self.batch = Batch(arguments.max_batch, self.update_load_report)
        self.events = EventLog(
            arguments.event_lag_s, arguments.event_gap_probability, arguments.seed
        )
        self.cache = PrefixCache(arguments.cache_blocks, self.events)
        self.load = LaggedLoad(arguments.load_lag_s)
        self.tokens_held = 0
        self.faults = Faults()
        self.requests: list[RecordedRequest] = []
        self.commands: list[RecordedCommand] = []
        self.newest_token = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        match exchange.request.method, exchange.request.path:
            case "POST", "/v1/chat/completions":
                await self.chat(exchange)
            case "GET", "/load":
                await exchange.respond_json(200, attrs.asdict(self.load.current()))
            case "GET", "/events":
                events = self.events.after(_after(exchange))
                await exchange.respond_json(
                    200, {"events": [attrs.asdict(event) for event in events]}
                )
            case "POST", "/commands":
                await self.run_command(exchange)
            case "POST", "/faults":
                await self.set_faults(exchange)
            case "GET", "/record":
                await exchange.respond_json(200, self.build_record(_after(exchange)))
            case _:
                await exchange.respond_json(404, {"error": "unknown path"})

    async def chat(self, exchange: HttpExchange) -> None:
        header = exchange.request.header
        recorded = RecordedRequest(
            request_id=header("acaciarelay-request-id") or "",
            tier=header("acaciarelay-tier") or "",
            organisation=header("acaciarelay-organisation") or "",
            start=time.monotonic(),
        )
        self.requests.append(recorded)
        faults = self.faults.for_next_request()
        try:
            body = await read_body(exchange)
            if body is None:
                recorded.state = "cancelled"
                return
            recorded.state = await self.answer(exchange, body, recorded, faults)
        except CallerDisconnectedError:
            recorded.state = "cancelled"
        finally:
            recorded.end = time.monotonic()

    async def answer(
        self,
        exchange: HttpExchange,
        body: bytes,
        recorded: RecordedRequest,
        faults: Faults,
    ) -> str:
        """Answer a request and return its final state."""
        if faults.refuse == "close":
            exchange.abort()
            return "refused"
        if faults.refuse:
            await exchange.respond_json(503, {"error": "refused"})
            return "refused"
        try:
            request = parse_chat_request(body)
        except ValueError as error:
            await exchange.respond_json(400, {"error": str(error)})
            return "refused"
        recorded.model = request.model
        if self.models and request.model not in self.models:
            await exchange.respond_json(404, {"error": "model is not loaded"})
            return "refused"
        run = asyncio.create_task(self.run(exchange, request, recorded, faults))
        closed = asyncio.create_task(exchange.wait_closed())
        try:
            await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                return await run
            # A caller may close as soon as it has received the last byte.
            sent_all = recorded.answer_tokens >= request.max_tokens
            return "finished" if sent_all else "cancelled"
        finally:
            run.cancel()
            closed.cancel()
            await asyncio.wait({run, closed})

    async def run(
        self,
        exchange: HttpExchange,
        request: ChatRequest,
        recorded: RecordedRequest,
        faults: Faults,
    ) -> str:
        async with self.batch_slot(request):
            await self.prefill(request, recorded)
            if request.stream:
                await exchange.start(200, [("content-type", "text/event-stream")])
            events = stream_events(request, self.tokens_per_event)
            due_at = time.monotonic()
            while recorded.answer_tokens < request.max_tokens:
                if await self.inject_fault(exchange, recorded, faults):
                    return "died"
                step = min(
                    self.tokens_per_event, request.max_tokens - recorded.answer_tokens
                )
                interval_s = self.speed.token_interval_s(self.batch.running)
                # Absolute times keep the mean rate even if the task wakes up late.
                due_at += interval_s * step * self.faults.slow_factor
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                if request.stream:
                    await exchange.write(next(events))
                recorded.answer_tokens += step
            await self.finish(exchange, request, events)
        return "finished"

    async def finish(
        self, exchange: HttpExchange, request: ChatRequest, events: Iterator[bytes]
    ) -> None:
        if not request.stream:
            headers = [("content-type", "application/json")]
            await exchange.respond(200, headers, json_answer(request))
            return
        await exchange.write(next(events))
        await exchange.finish()

    @contextlib.asynccontextmanager
    async def batch_slot(self, request: ChatRequest) -> AsyncIterator[None]:
        """Occupy a slot of the batch and count the request's tokens."""
        tokens = request.prompt_tokens + request.max_tokens
        await self.batch.enter()
        self.tokens_held += tokens
        self.update_load_report()
        try:
            yield
        finally:
            self.tokens_held -= tokens
            self.batch.leave()

    def update_load_report(self) -> None:
        report = LoadReport(self.batch.running, self.batch.waiting, self.tokens_held)
        self.load.record(report)

    async def prefill(self, request: ChatRequest, recorded: RecordedRequest) -> None:
        hashes = block_hashes(request.model, request.text)
        cached = min(self.cache.cached_tokens(hashes), request.prompt_tokens)
        recorded.prompt_tokens = request.prompt_tokens
        recorded.cached_tokens = cached
        remaining = request.prompt_tokens - cached
        while remaining > 0:
            step = min(remaining, PREFILL_CHUNK_TOKENS)
            # The lock is fair, so chunks of several prompts are interleaved.
            async with self.batch.prefill:
                rate = self.speed.prefill_tokens_per_s
                await asyncio.sleep(step / rate * self.faults.slow_factor)
            remaining -= step
            recorded.prefill_tokens += step
        self.cache.store(hashes)

    async def inject_fault(
        self, exchange: HttpExchange, recorded: RecordedRequest, faults: Faults
    ) -> bool:
        """Apply the faults due at this token; return whether one aborted the stream."""
        sent = recorded.answer_tokens
        if faults.die_after is not None and sent >= faults.die_after:
            exchange.abort()
            return True
        if faults.stall_after is not None and sent >= faults.stall_after:
            await asyncio.Event().wait()
        return False

    async def run_command(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        command = cattrs.structure(body, EngineCommand)
        accepted = command.token >= self.newest_token or not self.check_token
        self.newest_token = max(self.newest_token, command.token)
        self.commands.append(RecordedCommand(time.monotonic(), command, accepted))
        if not accepted:
            await exchange.respond_json(409, {"newest_token": self.newest_token})
            return
        await asyncio.sleep(self.command_duration_s)
        if command.kind == "load_model" and self.models:
            self.models.add(command.target)
        await exchange.respond_json(200, {})

    async def set_faults(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        self.faults = cattrs.structure(body, Faults)
        await exchange.respond_json(200, attrs.asdict(self.faults))

    def build_record(self, after: int) -> dict[str, Any]:
        """Return the requests after the first ``after``, and all commands."""
        return {
            "now": time.monotonic(),
            "requests": [attrs.asdict(item) for item in self.requests[after:]],
            "commands": [attrs.asdict(item) for item in self.commands],
        }


def _after(exchange: HttpExchange) -> int:
    return int(exchange.request.query.get("after", "0"))


def parse_arguments(words: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=8_000.0)
    parser.add_argument("--decode-tokens-per-s", type=float, default=50.0)
    parser.add_argument("--slowdown", type=float, default=0.02)
    parser.add_argument("--max-batch", type=int, default=16)
    parser.add_argument("--tokens-per-event", type=int, default=1)
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--load-lag-s", type=float, default=0.5)
    parser.add_argument("--event-lag-s", type=float, default=0.5)
    parser.add_argument("--event-gap-probability", type=float, default=0.02)
    parser.add_argument("--models", default="", help="names; empty takes any model")
    parser.add_argument("--command-s", type=float, default=0.1)
    parser.add_argument(
        "--check-token", action=argparse.BooleanOptionalAction, default=True
    )
    parser.add_argument("--seed", type=int, default=0)
    return parser.parse_args(words)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = parse_arguments()
    asyncio.run(serve_until_stopped(EngineStandin(arguments).handle, arguments.listen))


if __name__ == "__main__":
    main()
