"""Stand-in of a plain HTTP service.

- ``GET /v1/services/NAME/lookups/ID`` gives the same answer for the same path.
- ``POST /v1/services/NAME/orders`` and ``/deposits`` have one effect for each call.
- ``GET /load`` reports the load.
- ``POST /faults`` replaces all faults; ``{}`` clears them. See ``Faults``.
- ``GET /record`` lists requests and effects.
"""

import argparse
import asyncio
import time

import attrs
import cattrs

from acaciarelay.transport.http_server import HttpExchange
from acaciarelay_standins.answers import lookup_answer
from acaciarelay_standins.common import (
    add_listen,
    read_body,
    read_json,
    serve_until_stopped,
)

__all__ = ["Faults", "ServiceStandin", "main", "parse_arguments"]

EFFECTS = frozenset({"orders", "deposits"})
JSON_HEADERS = [("content-type", "application/json")]


@attrs.define
class Faults:
    """Faults to inject; times in seconds.

    ``fail_before_effect`` is ``status`` (500) or ``close``. With
    ``close_after_effect`` the effect happens and the connection closes without an
    answer. ``count`` limits these two to that many calls. ``answer_bytes`` is the
    minimum size of the answer to a call with an effect.
    """

    slow_s: float = 0.0
    fail_before_effect: str = ""
    close_after_effect: bool = False
    count: int | None = None
    answer_bytes: int = 0

    def for_next_call(self) -> "Faults":
        """Return the faults for a new call; reduce ``count`` if it is set."""
        if self.count == 0:
            return Faults(slow_s=self.slow_s, answer_bytes=self.answer_bytes)
        if self.count is not None:
            self.count -= 1
        return attrs.evolve(self)


@attrs.frozen(kw_only=True)
class Effect:
    """Effect of a call; ``at`` is monotonic, in seconds."""

    number: int
    at: float
    service: str
    kind: str
    body: str
    idempotency_key: str
    request_id: str
    answer_lost: bool


@attrs.define(kw_only=True)
class RecordedRequest:
    """Request that was received; times are monotonic, in seconds."""

    request_id: str
    tier: str
    organisation: str
    method: str
    path: str
    start: float
    end: float | None = None


class ServiceStandin:
    """Answer service calls and inject faults."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.latency_s: float = arguments.latency_s
        self.slots = asyncio.Semaphore(arguments.capacity)
        self.running = 0
        self.waiting = 0
        self.faults = Faults()
        self.requests: list[RecordedRequest] = []
        self.effects: list[Effect] = []

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        request = exchange.request
        match request.method, request.path.split("/")[1:]:
            case "GET", ["v1", "services", name, "lookups", item]:
                await self.call(exchange, name, "lookups", item)
            case "POST", ["v1", "services", name, kind] if kind in EFFECTS:
                await self.call(exchange, name, kind, "")
            case "GET", ["load"]:
                load = {"running": self.running, "waiting": self.waiting}
                await exchange.respond_json(200, load)
            case "POST", ["faults"]:
                await self.set_faults(exchange)
            case "GET", ["record"]:
                await self.send_record(exchange)
            case _:
                await exchange.respond_json(404, {"error": "unknown path"})

    async def call(
        self, exchange: HttpExchange, service: str, kind: str, item: str
    ) -> None:
        header = exchange.request.header
        recorded = RecordedRequest(
            request_id=header("acaciarelay-request-id") or "",
            tier=header("acaciarelay-tier") or "",
            organisation=header("acaciarelay-organisation") or "",
            method=exchange.request.method,
            path=exchange.request.path,
            start=time.monotonic(),
        )
        self.requests.append(recorded)
        try:
            body = await read_body(exchange)
            if body is None:
                return
            self.waiting += 1
            try:
                await self.slots.acquire()
            finally:
                self.waiting -= 1
            self.running += 1
            try:
                await self.work(exchange, service, kind, item, body)
            finally:
                self.running -= 1
                self.slots.release()
        finally:
            recorded.end = time.monotonic()

    async def work(
        self, exchange: HttpExchange, service: str, kind: str, item: str, body: bytes
    ) -> None:
        faults = self.faults.for_next_call()
        # The effect happens halfway, so that an aborted call may or may not have it.
        half_s = (self.latency_s + faults.slow_s) / 2
        await asyncio.sleep(half_s)
        match faults.fail_before_effect:
            case "status":
                await exchange.respond_json(500, {"error": "failed before effect"})
                return
            case "close":
                exchange.abort()
                return
        if kind in EFFECTS:
            answer = self.apply(exchange, service, kind, body, faults)
        else:
            answer = lookup_answer(service, item)
        await asyncio.sleep(half_s)
        if faults.close_after_effect:
            exchange.abort()
            return
        await exchange.respond(200, JSON_HEADERS, answer)

    def apply(
        self,
        exchange: HttpExchange,
        service: str,
        kind: str,
        body: bytes,
        faults: Faults,
    ) -> bytes:
        header = exchange.request.header
        effect = Effect(
            number=len(self.effects) + 1,
            at=time.monotonic(),
            service=service,
            kind=kind,
            body=body.decode("latin-1"),
            idempotency_key=header("idempotency-key") or "",
            request_id=header("acaciarelay-request-id") or "",
            answer_lost=faults.close_after_effect,
        )
        self.effects.append(effect)
        answer = b'{"number":%d}' % effect.number
        return answer.ljust(faults.answer_bytes)

    async def set_faults(self, exchange: HttpExchange) -> None:
        body = await read_json(exchange)
        if body is None:
            return
        self.faults = cattrs.structure(body, Faults)
        await exchange.respond_json(200, attrs.asdict(self.faults))

    async def send_record(self, exchange: HttpExchange) -> None:
        record = {
            "now": time.monotonic(),
            "requests": [attrs.asdict(item) for item in self.requests],
            "effects": [attrs.asdict(item) for item in self.effects],
        }
        await exchange.respond_json(200, record)


def parse_arguments(words: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    add_listen(parser)
    parser.add_argument("--latency-s", type=float, default=0.02)
    parser.add_argument("--capacity", type=int, default=64)
    return parser.parse_args(words)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = parse_arguments()
    standin = ServiceStandin(arguments)
    asyncio.run(serve_until_stopped(standin.handle, arguments.listen))


if __name__ == "__main__":
    main()
