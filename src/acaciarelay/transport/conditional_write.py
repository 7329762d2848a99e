"""Conditional update of one row, with lost answers settled by reading back."""

import asyncio
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs
from result import Err, Ok, Result

from acaciarelay.protocol.platform_api import (
    Check,
    Committed,
    Conflict,
    Platform,
    PlatformError,
    PlatformFault,
    Row,
    Transaction,
    Write,
)

__all__ = ["KnownRow", "Replace", "Stop", "Written", "update_row"]

MAX_ATTEMPTS = 5
# A lost answer often comes with further ones, so the read back waits a little longer
# each time; the sum stays below one second.
RETRY_PAUSE_S = 0.05

Answer = TypeVar("Answer")


@attrs.frozen
class KnownRow:
    """Hold a row as remembered; a wrong memory only costs one failed check."""

    row: Row | None


@attrs.frozen
class Replace:
    """Ask to replace the value of the row; ``None`` deletes it."""

    value: Any


@attrs.frozen
class Stop(Generic[Answer]):
    """End the update without a write."""

    answer: Answer


@attrs.frozen
class Written:
    """Hold the row that the update wrote."""

    row: Row


async def update_row(
    platform: Platform,
    table: str,
    key: str,
    decide: Callable[[Row | None], Replace | Stop[Answer]],
    known: KnownRow | None = None,
) -> Result[Written | Stop[Answer], PlatformError]:
    """Write what ``decide`` makes of the current row, if the row is still current.

    ``decide`` is called again after a conflict and after a lost answer, and must then
    recognise its own write. A late write can't take effect twice, since each one checks
    the revision. The error is ``UNKNOWN`` once any write may have taken effect.
    """
    uncertain = False
    error = PlatformError(PlatformFault.UNAVAILABLE, "too many conflicting writes")
    for attempt in range(MAX_ATTEMPTS):
        if attempt > 0 and uncertain:
            await asyncio.sleep(RETRY_PAUSE_S * attempt)
        if known is None:
            match await platform.read(table, key):
                case Err(error):
                    if uncertain:
                        continue
                    return Err(error)
                case Ok(row):
                    known = KnownRow(row)
        assert known is not None
        row, known = known.row, None
        step = decide(row)
        if isinstance(step, Stop):
            return Ok(step)
        match await _commit(platform, table, key, row, step):
            case Ok(committed):
                return Ok(Written(Row(key, step.value, committed.revision)))
            case Err(PlatformError() as error):
                if error.fault is PlatformFault.UNKNOWN:
                    uncertain = True
                elif not uncertain:
                    return Err(error)
    fault = PlatformFault.UNKNOWN if uncertain else error.fault
    return Err(PlatformError(fault, error.detail))


async def _commit(
    platform: Platform, table: str, key: str, row: Row | None, step: Replace
) -> Result[Committed, Conflict | PlatformError]:
    revision = row.revision if row is not None else 0
    transaction = Transaction(
        [Check(table, key, revision)], [Write(table, key, step.value)]
    )
    return await platform.commit(transaction)
