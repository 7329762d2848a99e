"""Compare the prefill with and without hints from cache events, in one run.

Two fleets of real processes with one stand-in engine each get the same requests at the
same time: one organisation whose prompts share a few long prefixes.
"""

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

import attrs

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from integration.support import apply, chat, record, standard_records

from acaciarelay_bench.variant_agent import VARIANT_VARIABLE
from acaciarelay_standins.fleet import Fleet

PREFIX_BYTES = 8 * 1024
ANSWER_TOKENS = 10
TOKEN_LIMIT = "10000"
CALLERS = 24
# A Pareto shape below 1 gives a few prefixes most of the requests.
PARETO_SHAPE = 0.9


@attrs.frozen
class Outcome:
    """Hold token sums and first-byte times, in seconds, of one fleet."""

    prefill_tokens: int
    prompt_tokens: int
    whole: int
    median_s: float
    p99_s: float


def prompts(arguments: argparse.Namespace) -> list[str]:
    rng = random.Random(arguments.seed)
    prefixes = [
        "".join(rng.choices("abcdefgh ", k=PREFIX_BYTES))
        for _ in range(arguments.prefixes)
    ]
    found = []
    for index in range(arguments.requests):
        rank = int(rng.paretovariate(PARETO_SHAPE)) - 1
        found.append(f"{prefixes[rank % len(prefixes)]}request {index}")
    return found


async def start(fleet: Fleet, arguments: argparse.Namespace) -> str:
    await fleet.start_platform()
    engine = await fleet.start_engine(
        "engine",
        *("--cache-blocks", str(arguments.cache_blocks)),
        *("--event-lag-s", str(arguments.event_lag_s)),
        *("--prefill-tokens-per-s", "16000", "--decode-tokens-per-s", "100"),
        *("--seed", str(arguments.seed)),
    )
    await fleet.start_entry("entry-1")
    limits = ["--token-limit", "--token-limit-min", "--token-limit-max"]
    flags = [word for name in limits for word in (name, TOKEN_LIMIT)]
    place = ["zone-a", "region-a"]
    await fleet.start_agent("a1", "assistants", "chat", engine, *place, *flags)
    tier = record("tier", "normal", rank=1, timeout_ms=100_000, wait_budget_ms=90_000)
    others = [item for item in standard_records() if item["name"] != "normal"]
    await apply(fleet, [*others, tier])
    await fleet.wait_ready()
    return engine


async def measure(hints: bool, arguments: argparse.Namespace) -> Outcome:
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory))
        if not hints:
            fleet.agent_module = "acaciarelay_bench.variant_agent"
            fleet.environment[VARIANT_VARIABLE] = "no_cache_hints"
        async with fleet:
            engine = await start(fleet, arguments)
            texts = iter(prompts(arguments))
            waits: list[float] = []

            async def call() -> None:
                for text in texts:
                    answer = await chat(fleet, "entry-1", text, ANSWER_TOKENS)
                    if answer.whole and answer.first_byte_at is not None:
                        waits.append(answer.first_byte_at - answer.started_at)

            await asyncio.gather(*(call() for _ in range(CALLERS)))
            requests = (await fleet.record(engine))["requests"]
    waits.sort()
    return Outcome(
        sum(item["prefill_tokens"] for item in requests),
        sum(item["prompt_tokens"] for item in requests),
        len(waits),
        waits[len(waits) // 2],
        waits[len(waits) * 99 // 100],
    )


async def run(arguments: argparse.Namespace) -> None:
    plain, hinted = await asyncio.gather(
        measure(False, arguments), measure(True, arguments)
    )
    for name, outcome in (("without hints", plain), ("with hints", hinted)):
        print(
            f"{name}: prefill {outcome.prefill_tokens} of {outcome.prompt_tokens} "
            f"tokens, whole {outcome.whole}, first byte median "
            f"{outcome.median_s:.2f} s, p99 {outcome.p99_s:.2f} s"
        )
    print(f"prefill ratio {hinted.prefill_tokens / plain.prefill_tokens:.3f}")


def main() -> None:
    """Run one comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--prefixes", type=int, default=24)
    parser.add_argument("--cache-blocks", type=int, default=64)
    parser.add_argument("--event-lag-s", type=float, default=0.5)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
