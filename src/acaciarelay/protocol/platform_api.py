"""Requests and responses of the platform's table, object and VM services.

Paths of the HTTP interface:

- ``GET /tables/TABLE/KEY`` returns 200 with a row, or 404.
- ``GET /tables/TABLE?after=REVISION`` returns the rows changed after that revision.
- ``POST /transactions`` commits all writes if all checks hold, else returns 409.
- ``GET`` and ``PUT /objects/NAME`` read and write complete objects.
- ``GET /vms`` lists the VMs; the list may be out of date.
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
    """A row; ``revision`` is the table service's commit counter at its last write."""

    key: str
    value: Any
    revision: int
    deleted: bool = False


@attrs.frozen
class Changes:
    """Rows changed after a revision, oldest first, and the newest revision."""

    rows: list[Row]
    revision: int


@attrs.frozen
class Check:
    """Requires a row to have this revision; 0 requires that it does not exist."""

    table: str
    key: str
    revision: int


@attrs.frozen
class Write:
    """Replaces the value of a row; ``None`` deletes the row."""

    table: str
    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that are committed atomically if all checks hold."""

    checks: list[Check]
    writes: list[Write]


@attrs.frozen
class Committed:
    """The revision of a write: of all rows of a transaction, or of an object."""

    revision: int


@attrs.frozen
class Conflict:
    """The first check that failed, with the row's actual revision."""

    table: str
    key: str
    revision: int


class PlatformFault(enum.StrEnum):
    """Whether a failed call can have taken effect."""

    UNAVAILABLE = "unavailable"  # It had no effect.
    UNKNOWN = "unknown"  # It may have taken effect; a read shows whether it did.


@attrs.frozen
class PlatformError:
    """A failed call to the platform."""

    fault: PlatformFault
    detail: str


class VmState(enum.StrEnum):
    """State of a VM as intended by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One item of the VM list; ``address`` is an IP address."""

    name: str
    address: str
    state: VmState


class Platform(Protocol):
    """Client of the platform; every call is bounded by the client's timeout."""

    async def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row."""

    async def changes(self, table: str, after: int) -> Result[Changes, PlatformError]:
        """Read the rows changed after a revision; 0 reads all rows."""

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
