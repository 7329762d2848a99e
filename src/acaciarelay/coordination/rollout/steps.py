"""Events that a rollout's coordinator takes, and the actions that it returns."""

import enum

import attrs

from acaciarelay.state.rollout import (
    CoordinatorRow,
    EntryCounts,
    Phase,
    RolloutState,
    RolloutStatus,
)

__all__ = [
    "Action",
    "CountsReceived",
    "EndConfirmed",
    "EnginesSeen",
    "EntriesSeen",
    "EpochHeard",
    "Event",
    "OrderReplaced",
    "ReadRows",
    "Remark",
    "RowsRead",
    "SendPermission",
    "Stopping",
    "Tick",
    "WriteEnded",
    "WriteOutcome",
    "WriteRows",
]


class WriteOutcome(enum.Enum):
    """Outcome of a conditional write.

    ``REFUSED``: a condition did not hold. ``NOT_DONE``: the store refused the call for
    another reason. ``UNKNOWN``: the call may have been performed, or still be.
    """

    PERFORMED = enum.auto()
    REFUSED = enum.auto()
    NOT_DONE = enum.auto()
    UNKNOWN = enum.auto()


# Events.


@attrs.frozen
class Tick:
    """Time has passed; to be given at least every 0.1 s."""


@attrs.frozen(kw_only=True)
class RowsRead:
    """Both rows as the store held them at one moment after ``read_at``.

    ``read_at`` is the monotonic time at which the read began, ``now_ms`` the store's
    time in the answer, in Unix milliseconds. The versions are 0 for rows that don't
    exist; a row that can't be read has its version, and ``None`` as content.
    """

    read_at: float
    now_ms: int
    era: int
    coordinator_version: int = 0
    coordinator: CoordinatorRow | None = None
    status_version: int = 0
    status: RolloutStatus | None = None


@attrs.frozen(kw_only=True)
class WriteEnded:
    """A write has ended; ``version`` is that of the written rows if performed."""

    number: int
    outcome: WriteOutcome
    version: int = 0


@attrs.frozen
class CountsReceived:
    """Counts of an entry, this one included, have arrived."""

    counts: EntryCounts


@attrs.frozen(kw_only=True)
class EnginesSeen:
    """Engines of the service that may get requests: of other versions, and of the new.

    To be given before the first ``Tick``, and when the numbers change.
    """

    old: int
    new: int


@attrs.frozen
class EntriesSeen:
    """Addresses of the entries that live, this one included."""

    entries: tuple[str, ...]


@attrs.frozen
class EpochHeard:
    """Epoch of a permission that this entry has received."""

    epoch: int


@attrs.frozen
class Stopping:
    """This entry is about to stop, and hands over what it coordinates."""


Event = (
    Tick
    | RowsRead
    | WriteEnded
    | CountsReceived
    | EnginesSeen
    | EntriesSeen
    | EpochHeard
    | Stopping
)


# Actions.


@attrs.frozen
class ReadRows:
    """Read both rows, unless a read is under way.

    Answered by ``RowsRead``, or by nothing if that fails.
    """


@attrs.frozen(kw_only=True)
class WriteRows:
    """Write both rows in one transaction if both have the stated versions.

    ``status`` is ``None`` where the status row is a condition only. Answered by
    ``WriteEnded`` with the same ``number``, always.
    """

    number: int
    coordinator_version: int
    coordinator: CoordinatorRow
    status_version: int
    status: RolloutStatus | None


@attrs.frozen(kw_only=True)
class SendPermission:
    """Send a permission to all entries, this one included.

    ``age_s`` is the time since the order was first seen.
    """

    epoch: int
    phase: Phase
    state: RolloutState
    age_s: float


@attrs.frozen
class EndConfirmed:
    """The rows hold the end state of the order; given once."""

    state: RolloutState


@attrs.frozen
class OrderReplaced:
    """The coordinator's row is of a later order; this one is no longer in force."""


@attrs.frozen
class Remark:
    """A step to be logged, as the name of an event and a short explanation."""

    event: str
    detail: str


Action = ReadRows | WriteRows | SendPermission | EndConfirmed | OrderReplaced | Remark
