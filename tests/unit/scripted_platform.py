"""An in-memory platform whose calls fail according to a script."""

import asyncio
import enum
from collections.abc import Iterable

from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import (
    Changes,
    Committed,
    Conflict,
    Platform,
    PlatformError,
    PlatformFault,
    Row,
    Transaction,
    Vm,
)
from acaciarelay_standins.platform import Tables

__all__ = ["ScriptedPlatform", "Step"]


class Step(enum.Enum):
    """What happens to one call."""

    OK = 0
    LOST = 1  # A write takes effect; its response is lost.
    DROPPED = 2  # A write takes no effect; the writer gets no response.
    LATE = 3  # A write without a response takes effect after a later call.
    TWICE = 4  # The network delivers a write twice.
    REFUSED = 5  # The platform is unavailable.


class ScriptedPlatform(Platform):
    """Apply one step of the script to each call; further calls succeed."""

    def __init__(self, steps: Iterable[Step] = ()) -> None:
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.steps = iter(steps)
        self.late: list[Transaction] = []

    async def next_step(self) -> Step:
        await asyncio.sleep(0)
        return next(self.steps, Step.OK)

    def error(self, step: Step) -> Err[PlatformError]:
        refused = step is Step.REFUSED
        fault = PlatformFault.UNAVAILABLE if refused else PlatformFault.UNKNOWN
        return Err(PlatformError(fault, step.name))

    def deliver_late(self) -> None:
        while self.late:
            self.tables.commit(self.late.pop())

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        if await self.next_step() is Step.REFUSED:
            return self.error(Step.REFUSED)
        row = self.tables.read(table, key)
        self.deliver_late()
        return Ok(row)

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | PlatformError]:
        step = await self.next_step()
        if step is Step.LATE:
            self.late.append(transaction)
        if step in (Step.REFUSED, Step.DROPPED, Step.LATE):
            return self.error(step)
        answer = self.tables.commit(transaction)
        if step is Step.TWICE:
            self.tables.commit(transaction)
        if step is Step.LOST:
            return self.error(step)
        if isinstance(answer, Conflict):
            return Err(answer)
        return Ok(answer)

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        if await self.next_step() is Step.REFUSED:
            return self.error(Step.REFUSED)
        return Ok(self.objects.get(name))

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[Committed, PlatformError]:
        step = await self.next_step()
        if step in (Step.REFUSED, Step.DROPPED):
            return self.error(step)
        self.objects[name] = data
        return self.error(step) if step is Step.LOST else Ok(Committed(0))

    async def changes(self, table: str, after: int) -> Result[Changes, PlatformError]:
        return Ok(self.tables.changes(table, after))

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        return Ok([])
