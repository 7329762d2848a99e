"""Requests and responses of the platform's table, object and VM services.

Paths of the HTTP interface:

- ``GET /tables/TABLE/KEY`` returns 200 with a row, or 404.
- ``GET /tables/TABLE?after=REVISION`` returns the rows changed after that revision.
- ``POST /transactions`` commits all writes if all checks hold, else returns 409.
- ``GET`` and ``PUT /objects/NAME`` read and write complete objects.
- ``GET /vms`` lists the VMs; the list may be out of date.

A service that returns from an older copy gives out revisions again. The header
``Store-Era`` of all its answers rises by one each time, and a read after a revision
that it does not have gets 410. A transaction with this header is refused with 412 in
another era. A service without eras omits the header.
"""

import enum
from typing import Any, Protocol

import attrs
from result import Result

from acaciarelay.state.store_era import NO_ERA

__all__ = [
    "ERA_HEADER",
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

ERA_HEADER = "store-era"


@attrs.frozen
class Row:
    """A row; ``revision`` is the table service's commit counter at its last write.

    ``era`` is the era of the answer that contained the row.
    """

    key: str
    value: Any
    revision: int
    deleted: bool = False
    era: int = NO_ERA


@attrs.frozen
class Changes:
    """Rows changed after a revision, oldest first, and the newest revision."""

    rows: list[Row]
    revision: int
    era: int = NO_ERA


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
    """Writes that are committed atomically if all checks hold.

    ``era`` is the era in which the revisions of the checks were read, if known.
    """

    checks: list[Check]
    writes: list[Write]
    era: int = NO_ERA


@attrs.frozen
class Committed:
    """The revision of a write: of all rows of a transaction, or of an object."""

    revision: int
    era: int = NO_ERA


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
    GONE = "gone"  # A read after a revision that the table does not have.


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
