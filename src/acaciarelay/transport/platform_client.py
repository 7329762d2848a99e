"""HTTP client of the platform's table, object and VM services."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

import attrs
import cattrs
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.http_message import Header
from acaciarelay.protocol.platform_api import (
    ERA_HEADER,
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
from acaciarelay.state.store_era import NO_ERA
from acaciarelay.transport.era_monitor import EraMonitor
from acaciarelay.transport.http_client import (
    ClientLimits,
    FetchedResponse,
    HttpFault,
    fetch,
)

__all__ = ["PlatformClient"]

JSON_HEADERS = [("content-type", "application/json")]
MAX_ERA_DIGITS = 12

Answer = TypeVar("Answer")
Versioned = TypeVar("Versioned", Row, Changes, Committed)


class PlatformClient(Platform):
    """Call the platform at ``IP:PORT``; each call ends within ``timeout_s`` seconds.

    A failed read is ``UNAVAILABLE``. A failed write is ``UNAVAILABLE`` only when it
    certainly took no effect: no connection, status 503 or 4xx. An answer of a former
    era counts as lost. ``on_failure`` is called for each call without a response or
    with status 5xx; its argument is ``METHOD COLLECTION``, such as ``GET tables``.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.eras = EraMonitor()
        self.on_failure: Callable[[str], None] = lambda call: None
        self.timeout_s = timeout_s
        # Connecting gets half of the time, so that a call that times out as a whole has
        # always reached the sending step.
        self.limits = ClientLimits(
            connect_timeout_s=timeout_s / 2,
            head_timeout_s=timeout_s,
            read_timeout_s=timeout_s,
            write_timeout_s=timeout_s,
        )

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row; ``None`` when it does not exist."""
        answer = await self.get(f"/tables/{_quote(table)}/{_quote(key)}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Ok(None)
        return _structure_with_era(answer.ok_value, Row, PlatformFault.UNAVAILABLE)

    async def changes(self, table: str, after: int) -> Result[Changes, PlatformError]:
        """Read the rows changed after a revision; 0 reads all rows."""
        answer = await self.get(f"/tables/{_quote(table)}?after={after}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Err(PlatformError(PlatformFault.UNAVAILABLE, "no such table"))
        return _structure_with_era(answer.ok_value, Changes, PlatformFault.UNAVAILABLE)

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | PlatformError]:
        """Commit a transaction; after ``UNKNOWN`` the caller must read back."""
        fields = {"checks": transaction.checks, "writes": transaction.writes}
        body = orjson.dumps(fields, default=attrs.asdict)
        headers = list(JSON_HEADERS)
        if transaction.era != NO_ERA:
            headers.append((ERA_HEADER, str(transaction.era)))
        answer = await self.write("POST", "/transactions", body, headers)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status != 409:
            return _committed(answer.ok_value)
        match _structure(answer.ok_value.body, Conflict, PlatformFault.UNAVAILABLE):
            case Ok(conflict):
                return Err(conflict)
            case Err(error):
                return Err(error)

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Read one object; ``None`` when it does not exist."""
        answer = await self.get(f"/objects/{_quote(name)}")
        return answer.map(lambda found: None if found is None else found.body)

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[Committed, PlatformError]:
        """Write one object."""
        answer = await self.write("PUT", f"/objects/{_quote(name)}", data)
        if isinstance(answer, Err):
            return answer
        return _committed(answer.ok_value)

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Read the list of VMs, which may be out of date."""
        answer = await self.get("/vms")
        if isinstance(answer, Err):
            return answer
        data = answer.ok_value.body if answer.ok_value is not None else b""
        return _structure(data, list[Vm], PlatformFault.UNAVAILABLE)

    async def get(self, path: str) -> Result[FetchedResponse | None, PlatformError]:
        """Read one path; ``None`` for status 404."""
        match await self.fetch("GET", path, b""):
            case Err(error):
                return Err(PlatformError(PlatformFault.UNAVAILABLE, error.detail))
            case Ok(answer):
                if answer.status == 404:
                    return Ok(None)
                if answer.status == 410:
                    return Err(_status_error(answer, PlatformFault.GONE))
                if answer.status != 200:
                    return Err(_status_error(answer, PlatformFault.UNAVAILABLE))
                return Ok(answer)

    async def write(
        self, method: str, path: str, body: bytes, headers: Sequence[Header] = ()
    ) -> Result[FetchedResponse, PlatformError]:
        """Send a write and return a response of status 200 or 409."""
        match await self.fetch(method, path, body, headers):
            case Err(error):
                return Err(error)
            case Ok(answer):
                if answer.status in (200, 409):
                    return Ok(answer)
                refused = answer.status == 503 or 400 <= answer.status < 500
                fault = PlatformFault.UNAVAILABLE if refused else PlatformFault.UNKNOWN
                return Err(_status_error(answer, fault))

    async def fetch(
        self, method: str, path: str, body: bytes, headers: Sequence[Header] = ()
    ) -> Result[FetchedResponse, PlatformError]:
        answer = await self.exchange(method, path, body, headers)
        if isinstance(answer, Err) or answer.ok_value.status >= 500:
            self.on_failure(f"{method} {path.split('/')[1].partition('?')[0]}")
        if isinstance(answer, Err):
            return answer
        era = _era_of(answer.ok_value)
        if self.eras.observe(era):
            return answer
        detail = f"an answer of era {era} in era {self.eras.current}"
        return Err(PlatformError(PlatformFault.UNKNOWN, detail))

    async def exchange(
        self, method: str, path: str, body: bytes, headers: Sequence[Header]
    ) -> Result[FetchedResponse, PlatformError]:
        try:
            async with asyncio.timeout(self.timeout_s):
                answer = await fetch(
                    self.address, method, path, headers, body, self.limits
                )
        except TimeoutError:
            detail = f"no answer within {self.timeout_s:g} s"
            return Err(PlatformError(PlatformFault.UNKNOWN, detail))
        if isinstance(answer, Ok):
            return answer
        error = answer.err_value
        not_sent = error.fault is HttpFault.NOT_SENT
        fault = PlatformFault.UNAVAILABLE if not_sent else PlatformFault.UNKNOWN
        return Err(PlatformError(fault, error.detail))


def _era_of(answer: FetchedResponse) -> int:
    text = answer.header(ERA_HEADER) or ""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else NO_ERA


def _quote(part: str) -> str:
    return quote(part, safe="")


def _status_error(answer: FetchedResponse, fault: PlatformFault) -> PlatformError:
    return PlatformError(fault, f"the platform answered with status {answer.status}")


def _committed(answer: FetchedResponse) -> Result[Committed, PlatformError]:
    # An unreadable response does not show whether the write took effect.
    return _structure_with_era(answer, Committed, PlatformFault.UNKNOWN)


def _structure_with_era(
    answer: FetchedResponse, kind: type[Versioned], fault: PlatformFault
) -> Result[Versioned, PlatformError]:
    match _structure(answer.body, kind, fault):
        case Err(error):
            return Err(error)
        case Ok(found):
            return Ok(attrs.evolve(found, era=_era_of(answer)))
    raise AssertionError("unexpected result")


def _structure(
    data: bytes, kind: type[Answer] | Any, fault: PlatformFault
) -> Result[Answer, PlatformError]:
    try:
        return Ok(cattrs.structure(orjson.loads(data), kind))
    except (orjson.JSONDecodeError, cattrs.BaseValidationError) as error:
        return Err(PlatformError(fault, f"unreadable answer: {error}"))
