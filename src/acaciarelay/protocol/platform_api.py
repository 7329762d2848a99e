"""Typed requests and answers of the platform's table, object and VM services.

Paths of the HTTP interface:

- ``GET /tables/TABLE/KEY`` answers 200 with a row, or 404.
- ``GET /tables/TABLE?after=REVISION`` answers the rows that changed after it.
- ``POST /transactions`` commits all writes if all checks hold, else answers 409.
- ``GET`` and ``PUT /objects/NAME`` read and write whole objects.
- ``GET /vms`` lists VMs; the list lags behind reality.
"""

import enum
from typing import Any, Protocol

import attrs
from result import Result

__all__ = [
    "Changes",
    "Check",
    "Committed",
    "Conflict",
    "Platform",
    "PlatformError",
    "PlatformFault",
    "Row",
    "Transaction",
    "Vm",
    "VmState",
    "Write",
]


@attrs.frozen
class Row:
    """Hold one row; ``revision`` is the table service's counter at its last write."""

    key: str
    value: Any
    revision: int
    deleted: bool = False


@attrs.frozen
class Changes:
    """Hold the rows changed after a revision, oldest first, and the newest revision."""

    rows: list[Row]
    revision: int


@attrs.frozen
class Check:
    """Require a row to be at this revision; 0 requires that it does not exist."""

    table: str
    key: str
    revision: int


@attrs.frozen
class Write:
    """Replace the value of a row; ``None`` deletes it."""

    table: str
    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Hold checks and writes that take effect together or not at all."""

    checks: list[Check]
    writes: list[Write]


@attrs.frozen
class Committed:
    """Hold the revision given to every row that the transaction wrote."""

    revision: int


@attrs.frozen
class Conflict:
    """Name the first check that failed and the revision found."""

    table: str
    key: str
    revision: int


class PlatformFault(enum.StrEnum):
    """Say whether a failed call can have taken effect."""

    UNAVAILABLE = "unavailable"  # It took no effect.
    UNKNOWN = "unknown"  # It may have taken effect; read back to find out.


@attrs.frozen
class PlatformError:
    """Describe a failed call to the platform."""

    fault: PlatformFault
    detail: str


class VmState(enum.StrEnum):
    """Say what the platform intends for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """Hold one entry of the VM list; ``address`` is an IP number."""

    name: str
    address: str
    state: VmState


class Platform(Protocol):
    """Give access to the platform; every call is bounded by the client's timeout."""

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row."""

    async def changes(self, table: str, after: int) -> Result[Changes, PlatformError]:
        """Read the rows changed after a revision; 0 reads the whole table."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | PlatformError]:
        """Commit a transaction."""

    async def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        """Read one object."""

    async def put_object(
        self, name: str, data: bytes
    ) -> Result[Committed, PlatformError]:
        """Write one object."""

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Read the VM list."""
