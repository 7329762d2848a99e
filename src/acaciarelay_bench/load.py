"""Seeded open-loop load generator; one process for the callers of one entry.

Reads a ``Job`` as JSON on standard input and writes a ``LoadResult`` as JSON.
"""

import asyncio
import contextlib
import enum
import random
import sys
import time
from collections.abc import Iterator

import attrs
import cattrs
import orjson
from result import Err, Ok

from acaciarelay.transport.http_client import (
    ClientExchange,
    ClientLimits,
    HttpFault,
    open_exchange,
)

__all__ = ["Caller", "Job", "LoadResult", "Outcome", "Retry", "Shape", "Window"]

BYTES_PER_TOKEN = 4
# Round trips of 6 ms to connect and to send, plus processing time of the caller.
RETRY_AT_ONCE_S = 0.05
RECONNECT_S = 0.1
# Time after its deadline when an attempt without an answer is abandoned.
ATTEMPT_GRACE_S = 2.0
DRAIN_TIMEOUT_S = 8.0
TAIL_BYTES = 1_024
# Codes of attempts without a result code.
CONNECTION_FAILED = -1
TIMED_OUT = -2


class Retry(enum.StrEnum):
    """What a caller does after a refusal."""

    NONE = "none"
    RETRY_AFTER = "honest"  # Waits for Retry-After if the deadline allows it.
    AT_ONCE = "at_once"  # Retries immediately and without limit.


@attrs.frozen(kw_only=True)
class Shape:
    """A kind of request: tokens of text, number of photographs, range of answer tokens.

    ``weight`` is its probability relative to the caller's other shapes.
    """

    weight: float
    text_tokens: int
    images: int = 0
    answer_low: int = 40
    answer_high: int = 160


@attrs.frozen(kw_only=True)
class Caller:
    """A source of requests; each arrival consists of ``burst`` requests.

    ``rate`` is arrivals/s. With ``regular`` the arrivals are evenly spaced. ``entry``
    is the index of the entry that is tried first. With ``lookup`` the requests are
    lookups at a service, which have no body.
    """

    name: str
    organisation: str
    request_class: str
    rate: float
    shapes: list[Shape]
    timeout_s: float
    entry: int
    retry: Retry = Retry.NONE
    burst: int = 1
    regular: bool = False
    lookup: bool = False


@attrs.frozen(kw_only=True)
class Window:
    """A phase of the load; ``start`` is a monotonic time in seconds."""

    phase: str
    start: float
    seconds: float
    callers: list[Caller]


@attrs.frozen(kw_only=True)
class Job:
    """The work of one load process; ``entries`` are addresses, IP:PORT."""

    seed: int
    model: str
    entries: list[str]
    windows: list[Window]


@attrs.define(kw_only=True)
class Outcome:
    """Outcome of one request with all its attempts; times are monotonic seconds.

    ``late_s`` is the delay of its start after ``due_at``, caused by the load process.
    ``whole`` is set if an attempt got a complete answer, and ``in_time`` if that took
    at most ``timeout_s`` from the start of the attempt.
    """

    phase: str
    caller: str
    organisation: str
    request_class: str
    due_at: float
    answer_tokens: int
    timeout_s: float
    lookup: bool = False
    late_s: float = 0.0
    attempts: int = 0
    codes: list[int] = attrs.field(factory=list)
    request_ids: list[str] = attrs.field(factory=list)
    first_token_at: float | None = None
    ended_at: float | None = None
    whole: bool = False
    in_time: bool = False


@attrs.define(kw_only=True)
class LoadResult:
    """The outcomes, and the CPU time and the duration of the load process."""

    outcomes: list[Outcome]
    cpu_s: float
    elapsed_s: float


@attrs.define
class Attempt:
    """Result of one attempt; ``code`` is 0 for a complete answer."""

    code: int = CONNECTION_FAILED
    status: int = 0
    request_id: str = ""
    retry_after_s: float = 1.0
    first_token_at: float | None = None
    tail: bytes = b""


def arrivals(caller: Caller, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the arrival times in a window, in seconds from its start."""
    at = rng.random() / caller.rate if caller.regular else rng.expovariate(caller.rate)
    while at < seconds:
        yield at
        at += 1 / caller.rate if caller.regular else rng.expovariate(caller.rate)


class LoadGenerator:
    """Send the requests of a job when they are due, regardless of earlier outcomes."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.outcomes: list[Outcome] = []
        self.tasks: set[asyncio.Task[None]] = set()
        # Monotonic times until which an entry is skipped, by the index of the entry.
        self.down_until: dict[int, float] = {}

    async def run(self) -> None:
        """Send all requests and wait up to ``DRAIN_TIMEOUT_S`` for the last answers."""
        sources = []
        for window in self.job.windows:
            for caller in window.callers:
                sources.append(self.run_caller(window, caller))
        await asyncio.gather(*sources)
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=DRAIN_TIMEOUT_S)
        for task in list(self.tasks):
            task.cancel()

    async def run_caller(self, window: Window, caller: Caller) -> None:
        # Each phase has the same seed, hence the same arrivals and requests, so that
        # phases of equal length differ only by the disturbance.
        rng = random.Random(f"{self.job.seed}/{caller.name}")
        number = 0
        for at in arrivals(caller, window.seconds, rng):
            due_at = window.start + at
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            for _ in range(caller.burst):
                number += 1
                self.start_request(window, caller, rng, due_at, number)

    def start_request(
        self,
        window: Window,
        caller: Caller,
        rng: random.Random,
        due_at: float,
        number: int,
    ) -> None:
        weights = [shape.weight for shape in caller.shapes]
        shape = rng.choices(caller.shapes, weights)[0]
        answer_tokens = rng.randint(shape.answer_low, shape.answer_high)
        outcome = Outcome(
            phase=window.phase,
            caller=caller.name,
            organisation=caller.organisation,
            request_class=caller.request_class,
            due_at=due_at,
            answer_tokens=answer_tokens,
            timeout_s=caller.timeout_s,
            lookup=caller.lookup,
            late_s=time.monotonic() - due_at,
        )
        self.outcomes.append(outcome)
        body = b""
        if not caller.lookup:
            # Distinct texts, so that the engines' prefix cache does not affect the
            # comparison.
            label = f"{window.phase} {caller.name} {number} "
            body = chat_body(self.job.model, label, shape, answer_tokens)
        task = asyncio.create_task(self.run_request(caller, outcome, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_request(self, caller: Caller, outcome: Outcome, body: bytes) -> None:
        """Make attempts until an answer is complete or the caller's retries end."""
        while True:
            started_at = time.monotonic()
            attempt = await self.attempt(caller, body)
            now = time.monotonic()
            outcome.attempts += 1
            if attempt.request_id:
                outcome.request_ids.append(attempt.request_id)
            if attempt.code == 0:
                outcome.whole = True
                outcome.in_time = now - started_at <= caller.timeout_s
                outcome.first_token_at = attempt.first_token_at
                outcome.ended_at = now
                return
            outcome.codes.append(attempt.code)
            match caller.retry:
                case Retry.NONE:
                    return
                case Retry.RETRY_AFTER:
                    wait_s = attempt.retry_after_s
                    if now + wait_s >= outcome.due_at + caller.timeout_s:
                        return
                    await asyncio.sleep(wait_s)
                case Retry.AT_ONCE:
                    await asyncio.sleep(RETRY_AT_ONCE_S)

    async def attempt(self, caller: Caller, body: bytes) -> Attempt:
        attempt = Attempt()
        try:
            async with asyncio.timeout(caller.timeout_s + ATTEMPT_GRACE_S):
                await self.exchange(caller, body, attempt)
        except TimeoutError:
            attempt.code = TIMED_OUT
        return attempt

    def pick_entry(self, preferred: int) -> int:
        """Return the index of the preferred entry, or of the next reachable one."""
        now = time.monotonic()
        count = len(self.job.entries)
        for step in range(count):
            index = (preferred + step) % count
            if self.down_until.get(index, 0.0) <= now:
                return index
        return preferred % count

    async def exchange(self, caller: Caller, body: bytes, attempt: Attempt) -> None:
        limits = ClientLimits(head_timeout_s=120.0, read_timeout_s=120.0)
        # Try the next entry if one can't be reached, as a load balancer does.
        for _ in self.job.entries:
            index = self.pick_entry(caller.entry)
            address = self.job.entries[index]
            match await open_exchange(address, limits):
                case Ok(exchange):
                    break
                case Err(error):
                    if error.fault is HttpFault.NOT_SENT:
                        self.down_until[index] = time.monotonic() + 5.0
                    await asyncio.sleep(RECONNECT_S)
        else:
            return
        headers = [
            ("host", address),
            ("authorization", f"Bearer {caller.organisation}-key"),
            ("acaciarelay-class", caller.request_class),
            ("acaciarelay-timeout-ms", str(int(caller.timeout_s * 1000))),
            ("content-length", str(len(body))),
        ]
        method, path = "POST", "/v1/chat/completions"
        if caller.lookup:
            method, path = "GET", "/v1/services/orders/lookups/7"
        try:
            await exchange.send_request(method, path, headers, body)
            await read_answer(exchange, attempt, caller.lookup)
        finally:
            with contextlib.suppress(OSError):
                await exchange.close()


async def read_answer(exchange: ClientExchange, attempt: Attempt, lookup: bool) -> None:
    """Read one answer and store its result code in ``attempt``."""
    if await exchange.read_head() is not None:
        return
    headers = dict(exchange.headers)
    attempt.status = exchange.status
    attempt.request_id = headers.get("acaciarelay-request-id", "")
    attempt.retry_after_s = float(headers.get("retry-after", "1"))
    attempt.code = int(headers.get("acaciarelay-code", "-1"))
    complete = False
    while True:
        match await exchange.read_piece():
            case Ok(bytes() as piece):
                attempt.first_token_at = attempt.first_token_at or time.monotonic()
                attempt.tail = (attempt.tail + piece)[-TAIL_BYTES:]
            case Ok(None):
                complete = True
                break
            case _:
                break
    if exchange.status != 200:
        return
    _, found, event = attempt.tail.rpartition(b"event: error\ndata: ")
    if found:
        attempt.code = orjson.loads(event)["error"]["code"]
    elif complete and (lookup or attempt.tail.endswith(b"data: [DONE]\n\n")):
        attempt.code = 0


def chat_body(model: str, label: str, shape: Shape, answer_tokens: int) -> bytes:
    """Build a streamed chat request; photographs have 2 KiB only, to save CPU time."""
    text = (label * (1 + shape.text_tokens * BYTES_PER_TOKEN // len(label)))[
        : shape.text_tokens * BYTES_PER_TOKEN
    ]
    content: list[dict[str, object]] = [{"type": "text", "text": text}]
    picture = {"url": "data:image/jpeg;base64," + "A" * 2_048}
    content += [{"type": "image_url", "image_url": picture}] * shape.images
    return orjson.dumps(
        {
            "model": model,
            "stream": True,
            "max_tokens": answer_tokens,
            "messages": [{"role": "user", "content": content}],
        }
    )


async def run_job(job: Job) -> LoadResult:
    """Run a job in this process and return its result."""
    generator = LoadGenerator(job)
    started_at = time.monotonic()
    await generator.run()
    return LoadResult(
        outcomes=generator.outcomes,
        cpu_s=time.process_time(),
        elapsed_s=time.monotonic() - started_at,
    )


def main() -> None:
    """Run the job from standard input and write its result to standard output."""
    job = cattrs.structure(orjson.loads(sys.stdin.buffer.read()), Job)
    result = asyncio.run(run_job(job))
    sys.stdout.buffer.write(orjson.dumps(cattrs.unstructure(result)))


if __name__ == "__main__":
    main()
