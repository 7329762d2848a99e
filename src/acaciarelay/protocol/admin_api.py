"""Requests and responses of the administration API.

All paths are below ``/admin/v1`` and need the operator key as bearer token:

- ``GET /records[/TYPE[/NAME]]`` returns the stored envelopes.
- ``POST /apply`` commits a list of record changes; with ``dry_run`` it only returns the
  diff.
- ``DELETE /records/TYPE/NAME?revision=N[&schema=N]`` deletes a record, or its form in
  one schema.
- ``GET /history?limit=N&before=GENERATION`` returns commits, newest first.
- ``GET /generation`` returns the generations of this and all known processes.
- ``GET /status`` returns the state of the fleet.
- ``POST /endpoints/NAME/drain`` and ``/activate`` write the endpoint's record.
- ``GET /claims/ORGANISATION/KEY`` returns the claim of an idempotency key; both parts
  are percent-encoded.
- ``POST /claims/ORGANISATION/KEY/settle`` settles a started claim after its agent died.

A change carries the revision that its writer read, which is the generation that last
wrote the record. The header ``Acaciarelay-Token`` is the idempotency token of a commit:
a request repeated with the same token is not applied twice. The header
``Acaciarelay-Operator`` is the operator's name for the history.
"""

import re
from typing import Any, Protocol, TypeVar

import attrs
import cattrs
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.state.records import Envelope

__all__ = [
    "ApplyAnswer",
    "ApplyRequest",
    "ClaimAnswer",
    "Diff",
    "GenerationAnswer",
    "HistoryAnswer",
    "HistoryEntry",
    "ProcessStatus",
    "RecordChange",
    "RecordRefusal",
    "RecordsAnswer",
    "SettleRequest",
    "StatusAnswer",
    "StatusSource",
    "TierStatus",
    "VersionConflict",
    "read_apply",
    "read_as",
    "read_settle_request",
    "to_plain",
]

# Record names are used unescaped in row keys and paths.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

Typed = TypeVar("Typed")


@attrs.frozen(kw_only=True)
class RecordChange:
    """The replacement or deletion of one record.

    ``revision`` is the revision of the record that the writer read; 0 means that the
    record must not exist. Without ``schema`` a write uses the newest schema and a
    deletion removes the record in all stored schemas.
    """

    type: str
    name: str
    revision: int = 0
    schema: int | None = None
    body: dict[str, Any] = attrs.field(factory=dict)
    delete: bool = False


@attrs.frozen(kw_only=True)
class ApplyRequest:
    """Changes to commit atomically."""

    changes: list[RecordChange]
    dry_run: bool = False
    operator: str = ""
    token: str = ""


@attrs.frozen
class Diff:
    """A record in one schema before and after a commit; ``None`` where it is absent."""

    before: Envelope | None
    after: Envelope | None


@attrs.frozen(kw_only=True)
class ApplyAnswer:
    """The generation of the changes and their diff.

    ``committed`` is false for a dry run and for changes without a difference;
    ``generation`` is then the current one.
    """

    generation: int
    token: str
    committed: bool
    changes: list[Diff]


@attrs.frozen
class RecordsAnswer:
    """Stored envelopes and the generation in which they were read."""

    generation: int
    records: list[Envelope]


@attrs.frozen(kw_only=True)
class HistoryEntry:
    """One commit; ``time`` is in seconds since the epoch."""

    generation: int
    operator: str
    time: float
    token: str
    changes: list[Diff]


@attrs.frozen
class HistoryAnswer:
    """Commits, newest first."""

    entries: list[HistoryEntry]


@attrs.frozen
class TierStatus:
    """Number of requests of one tier in a process."""

    tier: int
    waiting: int
    running: int


@attrs.frozen(kw_only=True)
class ProcessStatus:
    """State of an entry or an agent, as last reported.

    ``kind`` is ``entry`` or ``agent``. ``schemas`` holds the newest supported schema by
    record type; it is empty when the process has not reported it. ``problem`` is the
    reason why a connected process can't be used.
    """

    kind: str
    id: str
    address: str = ""
    pool: str = ""
    zone: str = ""
    region: str = ""
    connected: bool = True
    draining: bool = False
    generation: int = 0
    token_limit: int = 0
    tiers: list[TierStatus] = attrs.field(factory=list)
    schemas: dict[str, int] = attrs.field(factory=dict)
    problem: str = ""


class StatusSource(Protocol):
    """Source of the fleet state that an entry has cached."""

    def processes(self) -> list[ProcessStatus]:
        """Return all known entries and agents, including this entry."""


@attrs.frozen
class GenerationAnswer:
    """The configuration generation of this entry and of each known process.

    ``set_aside`` is the number of stored envelopes whose schema is too new for this
    entry.
    """

    generation: int
    set_aside: int
    processes: list[ProcessStatus]


@attrs.frozen
class StatusAnswer:
    """State of the fleet."""

    generation: int
    processes: list[ProcessStatus]


@attrs.frozen(kw_only=True)
class ClaimAnswer:
    """The claim of an idempotency key.

    ``state`` is ``free``, ``claimed``, ``started`` or ``finished``. ``claimed_at`` is
    in seconds since the epoch. ``status`` is the stored result's HTTP status, or 0.
    """

    organisation: str
    key: str
    state: str
    revision: int = 0
    claimed_at: float = 0.0
    settled_by: str = ""
    status: int = 0


@attrs.frozen(kw_only=True)
class SettleRequest:
    """Whether a started call ran; ``revision`` is the one that ``GET`` returned."""

    ran: bool
    revision: int


@attrs.frozen
class VersionConflict:
    """The versions of a record that the writer expected and that are stored."""

    type: str
    name: str
    expected_revision: int
    stored_revision: int
    expected: list[Envelope]
    stored: list[Envelope]


@attrs.frozen
class RecordRefusal(Refusal):
    """Refusal of a change, with all problems found and all revision conflicts."""

    problems: list[str] = attrs.field(factory=list)
    conflicts: list[VersionConflict] = attrs.field(factory=list)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
# Responses of a newer process may contain fields unknown to this one.
_LENIENT = cattrs.Converter()


def to_plain(value: object) -> Any:
    """Convert a response object into plain data for JSON."""
    return _LENIENT.unstructure(value)


def read_as(type_read: type[Typed], value: Any) -> Typed:
    """Parse plain data as a response; raises ``ValueError`` if it is malformed."""
    try:
        return _LENIENT.structure(value, type_read)
    except (KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise ValueError(f"not a {type_read.__name__}") from error


def read_apply(data: bytes) -> Result[ApplyRequest, Refusal]:
    """Parse the body of ``POST /apply``: an object, or a bare list of changes."""
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return Err(refuse("invalid_json", str(error)))
    if isinstance(body, list):
        body = {"changes": body}
    try:
        return Ok(_CONVERTER.structure(body, ApplyRequest))
    except Exception as error:
        detail = "; ".join(cattrs.transform_error(error, path="request"))
        return Err(refuse("record_invalid", detail))


def read_settle_request(data: bytes) -> Result[SettleRequest, Refusal]:
    """Parse the body of a settlement; both fields are required."""
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return Err(refuse("invalid_json", str(error)))
    match body:
        case {"ran": bool() as ran, "revision": int() as revision, **rest}:
            # bool is a subclass of int.
            if not rest and not isinstance(revision, bool):
                return Ok(SettleRequest(ran=ran, revision=revision))
    detail = "send ran (true or false) and revision (a whole number), nothing else"
    return Err(refuse("invalid_field", detail))
