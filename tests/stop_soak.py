"""Randomized load around stops of entries: judge what callers and engines saw.

``python tests/stop_soak.py --seeds 10 --first 1`` runs seeds by hand; the test suite
has a short run. All random choices follow from the seed; the order in which the kernel
schedules processes does not.
"""

import argparse
import asyncio
import collections
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import attrs
from integration.platform_fleet import PlatformFleet, Program, request_head
from relay_rig import RawAnswer, configuration, read_raw_answer, route
from seeded_runs import run_seeds
from stop_soak_checks import LOSSES, Request, Stop, Verdict, describe, judge
from stop_soak_runner import PacedRunner, Work

__all__ = ["StopSoak", "main"]

ENTRIES = (1, 2, 3)
ENGINES = (1, 2, 3)
SERVICE = 4
CALLERS = 54
ENGINE_SLOTS = 16
GRACE_S = 8.0
# Until then after SIGTERM, callers may open connections to an entry.
NOTICED_S = 2.6
# Between SIGTERM to one entry and to the next, and from a start to the next SIGTERM.
SECOND_STOP_S = 0.3
FRESH_S = 3.0
TIME_LIMITS_MS = (4_000, 6_000, 15_000, 15_000, 15_000)
STREAM_S = ((1.0, 5.0), (1.0, 14.0))
ORDER_S = (0.02, 3.0)
TOKENS_PER_S = 10
# Ratios of the announced to the true token counts.
TOKEN_RATIOS = (1.0, 1.0, 1.0, 0.2, 3.0)
EVENTS = 40
EVENT_BYTES = (20, 20, 20, 20_000)
REQUESTS_PER_CONNECTION = 3
RECEIVE_BUFFER_BYTES = 16_384
READ_PAUSE_S = (1.0, 2.0)
SILENCE_S = 1.5
# Pauses between faults: few in some rounds, many in others.
FAULT_PAUSES_S = ((6.0, 12.0), (2.0, 5.0), (0.5, 2.5))
SLOWDOWNS = (2.0, 3.0, 10.0, 100.0)
SLOW_S = 6.0
DRAINED_S = 4.0
CONNECT_LIMIT_S = 1.0
CONNECT_PAUSE_S = 0.1
# Pause of a caller between an answer and its next request, if there is one.
CALLER_PAUSE_S = (0.0, 0.6)
# Beyond a request's own time limit.
ANSWER_MARGIN_S = 3.0
# Routes by prefix, with the weights of their requests.
TARGETS = {"/chat/a": 4, "/quote/a": 2, "/order/a": 2, "/read/a": 1}


@attrs.define
class CallerConnection:
    """An open connection of a caller to an entry's process."""

    entry: str
    pid: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: int = 0

    @property
    def closed(self) -> bool:
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def pause_reading(self, seconds: float) -> None:
        """Read nothing for some time, and then go on."""
        transport = self.writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        if transport.is_closing():
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_later(seconds, self.resume_reading)

    def resume_reading(self) -> None:
        transport = self.writer.transport
        assert isinstance(transport, asyncio.ReadTransport)
        if not transport.is_closing():
            transport.resume_reading()


class StopSoak:
    """Run one seed, with ``rounds`` of overlapping stops, and collect the losses.

    ``slack_s`` is added to the times of the users' rule, for a busy machine.
    """

    def __init__(
        self, seed: int, rounds: int, directory: Path, slack_s: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.rounds = rounds
        self.slack_s = slack_s
        self.fleet = PlatformFleet(directory)
        self.fleet.stop_grace_s = GRACE_S
        self.work: dict[str, Work] = {}
        self.connections: list[CallerConnection] = []
        self.requests: list[Request] = []
        self.stops: list[Stop] = []
        self.stopping: dict[str, Stop] = {}
        self.history: list[str] = []
        self.verdicts: collections.Counter[Verdict] = collections.Counter()
        self.losses: list[str] = []
        self.version = 1
        self.started_at = 0.0

    def log(self, text: str) -> None:
        self.history.append(f"{time.monotonic() - self.started_at:7.3f} s  {text}")

    async def run(self) -> list[str]:
        """Run the soak and return descriptions of the requests that were lost."""
        async with self.fleet:
            await self.start()
            self.started_at = time.monotonic()
            callers = [
                asyncio.create_task(self.run_caller(number))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(3.0)
            for _ in range(self.rounds):
                await self.run_round()
            # What is left then is with processes that don't stop.
            await asyncio.sleep(max(READ_PAUSE_S))
            await self.end_callers(callers)
            self.judge()
        return self.losses

    async def end_callers(self, callers: list[asyncio.Task[None]]) -> None:
        """End the callers; raises what one of them has failed with."""
        for caller in callers:
            if caller.done():
                caller.result()
            caller.cancel()
        await asyncio.wait(callers)
        for connection in self.connections:
            connection.writer.transport.abort()

    async def start(self) -> None:
        fleet = self.fleet
        fleet.configure(self.build_configuration())
        for number in (*ENGINES, SERVICE):
            service = "engine" if number in ENGINES else "orders"
            await fleet.add_runner(
                service, number, runner_type=PacedRunner, slots=ENGINE_SLOTS
            )
        for runner in fleet.runners.values():
            assert isinstance(runner, PacedRunner)
            runner.work_of = self.work
        for number in ENGINES:
            await fleet.add_agent(number)
        for number in ENTRIES:
            await fleet.add_entry(number)
        await asyncio.sleep(1.0)

    def build_configuration(self) -> dict:
        limits = {"timeoutMs": max(TIME_LIMITS_MS), "sloMs": 400}
        routes = [
            route("/read/", "idempotent", **limits),
            route("/order/", "non_idempotent", **limits),
            route("/chat/", "streaming", service="engine", resumable=True, **limits),
            route("/quote/", "streaming", service="engine", **limits),
        ]
        value = configuration(self.version, routes=routes)
        value["limits"]["headerTimeoutMs"] = 1500
        value["services"][1]["engine"] = {"slots": ENGINE_SLOTS, "kvTokens": 100_000}
        return value

    # Load

    async def run_caller(self, number: int) -> None:
        rng = random.Random(self.rng.random())
        connection: CallerConnection | None = None
        keeps_connection = number % 2 == 0
        count = 0
        while True:
            await asyncio.sleep(rng.choice((0.0, 0.0, rng.uniform(*CALLER_PAUSE_S))))
            if connection is not None and connection.closed:
                connection.writer.transport.abort()
                connection = None
            if connection is None:
                connection = await self.connect(rng)
            if connection is None:
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            count += 1
            answer = await self.send(rng, connection, f"c{number}-{count}")
            connection.requests += 1
            usable = answer.complete and answer.headers.get("connection") != "close"
            full = connection.requests == REQUESTS_PER_CONNECTION
            if keeps_connection and usable and not full:
                continue
            connection.writer.transport.abort()
            connection = None

    async def connect(self, rng: random.Random) -> CallerConnection | None:
        """Connect to an entry that the platform still counts as ready."""
        now = time.monotonic()
        names = []
        for name in sorted(self.fleet.programs):
            stop = self.stopping.get(name)
            if name.startswith("entry-") and (
                stop is None or now - stop.at < NOTICED_S
            ):
                names.append(name)
        entry = rng.choice(names)
        program = self.fleet.programs[entry]
        assert program.process is not None
        host, _, port = program.settings["caller_address"].rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=RECEIVE_BUFFER_BYTES
                )
        except (OSError, TimeoutError):
            return None
        connection = CallerConnection(entry, program.process.pid, reader, writer)
        self.connections.append(connection)
        return connection

    async def send(
        self, rng: random.Random, connection: CallerConnection, attempt: str
    ) -> RawAnswer:
        target = rng.choices(list(TARGETS), list(TARGETS.values()))[0]
        streaming = target.startswith(("/chat/", "/quote/"))
        work = Work(
            seconds=rng.uniform(*(rng.choice(STREAM_S) if streaming else ORDER_S)),
            events=EVENTS if streaming else 0,
            event_bytes=rng.choice(EVENT_BYTES),
        )
        limit_ms = rng.choice(TIME_LIMITS_MS)
        tokens = int(work.seconds * TOKENS_PER_S * rng.choice(TOKEN_RATIOS)) + 1
        self.work[attempt] = work
        body = b"x" * rng.choice((0, 100))
        method = "GET" if target.startswith("/read/") else "POST"
        head = request_head(
            target, attempt, method, limit_ms=limit_ms, body_bytes=len(body)
        )
        usage = f"Token-Usage: 100,{tokens}\r\n" if streaming else ""
        head = head.replace(b"Token-Usage: 100,30\r\n", b"")
        head = head.replace(b"Content-Length", usage.encode() + b"Content-Length")
        request = Request(attempt, target, limit_ms / 1000, connection.entry)
        request.pid = connection.pid
        request.number = connection.requests + 1
        request.work_s = work.seconds
        self.requests.append(request)
        reads_slowly = rng.random() < 0.25
        request.began_at = time.monotonic()
        connection.writer.write(head)
        if body:
            await asyncio.sleep(rng.choice((0.0, 0.1, 1.0)))
            connection.writer.write(body)
        request.sent_at = time.monotonic()
        pause = asyncio.create_task(
            self.pause_reading(rng, connection, request, reads_slowly)
        )
        answer = RawAnswer(0, {}, b"", False)
        try:
            async with asyncio.timeout(request.limit_s + ANSWER_MARGIN_S):
                answer = await read_raw_answer(connection.reader)
        except TimeoutError:
            request.gave_up = True
        finally:
            pause.cancel()
        request.ended_at = time.monotonic()
        request.answer = answer
        return answer

    async def pause_reading(
        self,
        rng: random.Random,
        connection: CallerConnection,
        request: Request,
        reads_slowly: bool,
    ) -> None:
        while reads_slowly:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            seconds = rng.uniform(*READ_PAUSE_S)
            request.reads_again_at = time.monotonic() + seconds
            connection.pause_reading(seconds)
            await asyncio.sleep(seconds)

    # Stops and faults

    async def run_round(self) -> None:
        """Stop two entries, then the first while it is fresh, beside the third."""
        first, second, third = self.rng.sample(ENTRIES, 3)
        faults = asyncio.create_task(self.inject_faults())
        await asyncio.gather(
            self.stop_twice(f"entry-{first}", f"entry-{third}"),
            self.stop_once(f"entry-{second}", SECOND_STOP_S),
        )
        faults.cancel()

    async def stop_twice(self, name: str, other: str) -> None:
        await self.stop_once(name, 0.0)
        await asyncio.sleep(FRESH_S)
        await asyncio.gather(
            self.stop_once(name, 0.0), self.stop_once(other, SECOND_STOP_S)
        )

    async def stop_once(self, name: str, after_s: float) -> None:
        """Stop an entry and start it again; other signals may come meanwhile."""
        await asyncio.sleep(after_s)
        program = self.fleet.programs[name]
        assert program.process is not None
        stop = Stop(name, program.process.pid, time.monotonic())
        self.stops.append(stop)
        self.stopping[name] = stop
        self.log(f"SIGTERM to {name}")
        signals = asyncio.create_task(self.send_signals(program))
        stop.exit_code = await program.stop(signal.SIGTERM)
        stop.exited_at = time.monotonic()
        signals.cancel()
        self.log(f"{name} exited with {stop.exit_code}")
        program.settings["first_start"] = False
        await program.start()
        await self.fleet.until_ready(name)
        del self.stopping[name]

    async def send_signals(self, program: Program) -> None:
        for number in (signal.SIGHUP, signal.SIGTERM):
            if self.rng.random() < 0.5:
                continue
            await asyncio.sleep(self.rng.uniform(0.1, 3.5))
            assert program.process is not None
            self.log(f"{number.name} to {program.name} during its stop")
            program.process.send_signal(number)

    async def inject_faults(self) -> None:
        """Slow engines down, silence them, drain one and change the configuration."""
        pause_s = self.rng.choice(FAULT_PAUSES_S)
        while True:
            await asyncio.sleep(self.rng.uniform(*pause_s))
            name = f"i-{self.rng.choice(ENGINES)}"
            runner = self.fleet.runners[name]
            assert isinstance(runner, PacedRunner)
            match self.rng.choice(("slow", "slow", "silent", "drain", "configure")):
                case "slow":
                    runner.factor = self.rng.choice(SLOWDOWNS)
                    self.log(f"{name} is {runner.factor} times as slow")
                    asyncio.get_running_loop().call_later(SLOW_S, runner.recover)
                case "silent":
                    self.log(f"{name} falls silent")
                    runner.fall_silent(SILENCE_S)
                case "drain":
                    self.log(f"{name} drains")
                    self.fleet.states[name] = "draining"
                    asyncio.get_running_loop().call_later(
                        DRAINED_S, self.fleet.states.__setitem__, name, "ready"
                    )
                case "configure":
                    self.version += 1
                    self.log(f"configuration {self.version}")
                    self.fleet.configure(self.build_configuration())

    # Judgement

    def judge(self) -> None:
        for stop in self.stops:
            if stop.exit_code not in (0, -signal.SIGTERM):
                self.losses.append(f"{stop.entry} exited with {stop.exit_code}")
        runs = collections.defaultdict(list)
        for runner in self.fleet.runners.values():
            assert isinstance(runner, PacedRunner)
            for attempt, spans in runner.spans.items():
                runs[attempt] += spans
        for request in self.requests:
            if request.answer is None:
                continue
            spans = runs[request.attempt]
            verdict = judge(request, spans, self.stops, GRACE_S, self.slack_s)
            self.verdicts[verdict] += 1
            if verdict not in LOSSES:
                continue
            lines = self.lines_of(request)
            text = describe(request, spans, self.stops, lines)
            self.losses.append(f"{verdict}: {text}")

    def lines_of(self, request: Request) -> list[dict]:
        log = self.fleet.programs[request.entry].log()
        return [line for line in log if line.get("request_id") == request.attempt]


async def run_seed(seed: int, rounds: int) -> bool:
    """Run one seed and print the losses; ``True`` if there are none."""
    with tempfile.TemporaryDirectory() as directory:
        soak = StopSoak(seed, rounds, Path(directory))
        losses = await soak.run()
        counts = ", ".join(f"{name} {n}" for name, n in sorted(soak.verdicts.items()))
        print(f"seed {seed}: {counts}", flush=True)
        for text in losses:
            print(f"  {text}", flush=True)
        if losses:
            for text in soak.history:
                print(f"    {text}", flush=True)
        return not losses


def main() -> int:
    """Run the seeds; the exit code is 1 if one of them has losses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=1)
    return run_seeds(parser, lambda seed, options: run_seed(seed, options.rounds))


if __name__ == "__main__":
    sys.exit(main())
