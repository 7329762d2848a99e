"""Detect crashes of engines from the runs that they broke off."""

import asyncio
import collections
import time
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok

from acaciarelay.coordination.crash_memory import bounded_prompts
from acaciarelay.coordination.crash_suspicion import Crash
from acaciarelay.coordination.prompt_parts import PromptParts, part_name
from acaciarelay.programs.logs import log_event
from acaciarelay.protocol.link_messages import BrokenRun, CrashRecord
from acaciarelay.transport.endpoint_call import FaultKind, connect

__all__ = ["CrashDetector", "crash_record"]

# Time to collect the broken runs of one crash before the engine is called.
COLLECT_S = 0.05
CONNECT_TIMEOUT_S = 0.3
# Bounds of what is remembered.
MAX_CRASHES = 8
MAX_OPEN_CHECKS = 32
MAX_PROMPTS = 32
MAX_LOGGED_PROMPTS = 8
MAX_LOGGED_PARTS = 8


@attrs.define(eq=False)
class _BrokenEngine:
    """Runs that an incarnation of an engine broke off before their answers began."""

    address: str
    broken_at: float
    prompts: set[PromptParts] = attrs.Factory(set)


class CrashDetector:
    """Report an engine as crashed that broke off runs and refuses connections.

    ``report`` is called for each crash, and again when further broken runs of it become
    known.
    """

    def __init__(self, report: Callable[[Crash], None]) -> None:
        self.report = report
        self.crashes: collections.OrderedDict[str, Crash] = collections.OrderedDict()
        self._open: dict[str, _BrokenEngine] = {}
        self._tasks: set[asyncio.Task] = set()

    def record(self, run: BrokenRun, address: str) -> None:
        """Record a broken run of the engine at ``IP:PORT``."""
        broken = self._open.get(run.engine)
        if broken is None:
            if len(self._open) >= MAX_OPEN_CHECKS:
                log_event("broken_run_ignored", engine=run.engine)
                return
            broken = _BrokenEngine(address, time.monotonic())
            self._open[run.engine] = broken
            task = asyncio.get_running_loop().create_task(self._check(run.engine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(broken.prompts) < MAX_PROMPTS:
            broken.prompts.add(run.parts)

    async def _check(self, engine: str) -> None:
        await asyncio.sleep(COLLECT_S)
        broken = self._open[engine]
        try:
            if engine not in self.crashes and not await _is_down(broken.address):
                return
        finally:
            del self._open[engine]
        known = self.crashes.get(engine)
        crash = Crash(
            key=engine,
            at=known.at if known is not None else broken.broken_at,
            prompts=bounded_prompts(
                engine, broken.prompts | (known.prompts if known is not None else set())
            ),
        )
        self.crashes[engine] = crash
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        log_event(
            "engine_crashed",
            engine=engine,
            prompts=_names(crash.prompts),
            sizes=sorted(len(prompt) for prompt in crash.prompts),
            always=True,
        )
        self.report(crash)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()


def _names(prompts: Iterable[PromptParts]) -> list[list[str]]:
    """Return the names of some parts of some prompts for the log."""
    names = []
    for prompt in sorted(prompts)[:MAX_LOGGED_PROMPTS]:
        names.append([part_name(each) for each in prompt.digests[:MAX_LOGGED_PARTS]])
    return names


async def _is_down(address: str) -> bool:
    match await connect(address, CONNECT_TIMEOUT_S):
        case Ok(connection):
            connection.close()
            return False
        case Err(fault):
            # A silent VM may be frozen or partitioned, and its engine alive.
            return fault.kind is FaultKind.CONNECT


def crash_record(crash: Crash, now: float) -> CrashRecord:
    """Build the message part that tells of a crash."""
    return CrashRecord(
        engine=crash.key,
        age_s=round(now - crash.at, 3),
        prompts=crash.prompts,
    )
