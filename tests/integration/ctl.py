"""Run acaciarelayctl as a separate process, as an operator does."""

import asyncio
import os
import sys
from collections.abc import Sequence


async def run_ctl(
    entries: Sequence[str], operator_key: str, *words: str, stdin: bytes = b""
) -> tuple[int, str, str]:
    """Run one command; returns its exit code, its output and its error output."""
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(sys.path),
        "ACACIARELAY_ENTRY": ",".join(entries),
        "ACACIARELAY_OPERATOR_KEY": operator_key,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "acaciarelay.programs.ctl_main",
        *words,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment,
    )
    async with asyncio.timeout(60):
        output, errors = await process.communicate(stdin)
    return process.returncode or 0, output.decode(), errors.decode()
