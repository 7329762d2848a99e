"""Conditional update of one row; after a lost response the row is read back."""

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
from acaciarelay.state.store_era import NO_ERA

__all__ = ["AssumedRow", "Replace", "Stop", "Written", "update_row"]

MAX_ATTEMPTS = 5
# A lost response is often followed by others, so the pause before reading back grows
# with each attempt; the sum stays below one second.
RETRY_PAUSE_S = 0.05

Answer = TypeVar("Answer")


@attrs.frozen
class AssumedRow:
    """The row as the caller assumes it to be; ``row`` is ``None`` if it is missing.

    A wrong assumption costs one failed check.
    """

    row: Row | None


@attrs.frozen
class Replace:
    """Replace the value of the row; ``None`` deletes the row."""

    value: Any


@attrs.frozen
class Stop(Generic[Answer]):
    """End the update without a write, with ``answer`` as its result."""

    answer: Answer


@attrs.frozen
class Written:
    """The row that the update wrote."""

    row: Row


async def update_row(
    platform: Platform,
    table: str,
    key: str,
    decide: Callable[[Row | None], Replace | Stop[Answer]],
    assumed: AssumedRow | None = None,
) -> Result[Written | Stop[Answer], PlatformError]:
    """Read a row and write what ``decide`` returns for it, if the row is unchanged.

    The first attempt uses ``assumed``, if given, in place of a read. After a conflict
    or a lost response the row is read and ``decide`` called again, which must then
    recognise its own write. After ``MAX_ATTEMPTS`` attempts the update fails. A write
    that the platform applies late can't overwrite a newer one, since each write checks
    the revision. The error is ``UNKNOWN`` once any write may have taken effect.
    """
    in_doubt = False
    error = PlatformError(PlatformFault.UNAVAILABLE, "too many conflicting writes")
    for attempt in range(MAX_ATTEMPTS):
        if attempt > 0 and in_doubt:
            await asyncio.sleep(RETRY_PAUSE_S * attempt)
        if assumed is None:
            match await platform.read(table, key):
                case Err(error):
                    if in_doubt:
                        continue
                    return Err(error)
                case Ok(row):
                    assumed = AssumedRow(row)
        assert assumed is not None
        row, assumed = assumed.row, None
        step = decide(row)
        if isinstance(step, Stop):
            return Ok(step)
        match await _commit(platform, table, key, row, step):
            case Ok(committed):
                written = Row(key, step.value, committed.revision, era=committed.era)
                return Ok(Written(written))
            case Err(PlatformError() as error):
                if error.fault is PlatformFault.UNKNOWN:
                    in_doubt = True
                elif not in_doubt:
                    return Err(error)
    fault = PlatformFault.UNKNOWN if in_doubt else error.fault
    return Err(PlatformError(fault, error.detail))


async def _commit(
    platform: Platform, table: str, key: str, row: Row | None, step: Replace
) -> Result[Committed, Conflict | PlatformError]:
    revision = row.revision if row is not None else 0
    era = row.era if row is not None else NO_ERA
    transaction = Transaction(
        [Check(table, key, revision)], [Write(table, key, step.value)], era
    )
    return await platform.commit(transaction)
