"""Command line of tests that run many seeds by hand."""

import argparse
import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["run_seeds"]


def run_seeds(
    parser: argparse.ArgumentParser,
    run_seed: Callable[[int, argparse.Namespace], Awaitable[bool]],
) -> int:
    """Run the seeds of the command line; return 1 if one of them has failed."""
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    options = parser.parse_args()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        if not asyncio.run(_run(run_seed, seed, options)):
            failed.append(seed)
    print(f"{options.seeds} seeds, failed: {failed}")
    return 1 if failed else 0


async def _run(
    run_seed: Callable[[int, argparse.Namespace], Awaitable[bool]],
    seed: int,
    options: argparse.Namespace,
) -> bool:
    return await run_seed(seed, options)
