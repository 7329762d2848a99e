"""The configuration in force of one process; its generation never goes down."""

import enum
from typing import Any

import attrs
import orjson
from result import Err, Ok

from acaciarelay.state.records import (
    RECORD_TYPES,
    Envelope,
    Record,
    RecordError,
    Snapshot,
    parse_record,
    read_envelope,
)

__all__ = [
    "ApplyOutcome",
    "ChangeSet",
    "ConfigState",
    "RowKey",
    "agent_view",
    "decode_change",
    "encode_change",
    "read_row_key",
    "whole_change",
]

RECORD_PREFIX = "record"

Rows = dict[tuple[str, str], tuple[Envelope, ...]]


@attrs.frozen
class RowKey:
    """Identify the stored form of a record in one schema."""

    type: str
    name: str
    schema: int

    def __str__(self) -> str:
        return f"{RECORD_PREFIX}/{self.type}/{self.name}/{self.schema}"


def read_row_key(text: str) -> RowKey | None:
    """Read ``record/TYPE/NAME/SCHEMA``; ``None`` when the text has another form."""
    parts = text.split("/")
    if len(parts) != 4 or parts[0] != RECORD_PREFIX or not parts[3].isdecimal():
        return None
    return RowKey(parts[1], parts[2], int(parts[3]))


@attrs.frozen(kw_only=True)
class ChangeSet:
    """Hold what changed between two generations.

    ``changed`` and ``deleted`` describe every difference between ``base`` and
    ``generation``. A ``whole`` change set holds all envelopes and needs no base.
    """

    generation: int
    base: int = 0
    changed: list[Envelope] = attrs.field(factory=list)
    deleted: list[RowKey] = attrs.field(factory=list)
    whole: bool = False


class ApplyOutcome(enum.StrEnum):
    """Say what became of a change set."""

    APPLIED = "applied"
    STALE = "stale"  # Its generation is not above the one in force.
    GAP = "gap"  # It starts at a generation above the one in force.


def whole_change(snapshot: Snapshot) -> ChangeSet:
    """Build the change set that holds all envelopes of a snapshot."""
    return ChangeSet(
        generation=snapshot.generation, changed=snapshot.envelopes, whole=True
    )


class _Draft:
    """Collect the next snapshot; copies only the tables that change."""

    def __init__(
        self,
        snapshot: Snapshot,
        rows: Rows,
        errors: dict[tuple[str, str], list[RecordError]],
    ) -> None:
        self.rows = dict(rows)
        self.errors = dict(errors)
        self.groups = {name: snapshot.by_type(name) for name in RECORD_TYPES}
        self.copied: set[str] = set()

    def group(self, type_name: str) -> dict[str, Any]:
        if type_name not in self.copied:
            self.groups[type_name] = dict(self.groups[type_name])
            self.copied.add(type_name)
        return self.groups[type_name]

    def replace(self, key: tuple[str, str], envelopes: tuple[Envelope, ...]) -> None:
        if self.rows.get(key, ()) == envelopes:
            return
        self.errors.pop(key, None)
        if not envelopes:
            self.rows.pop(key, None)
            if key[0] in self.groups:
                self.group(key[0]).pop(key[1], None)
            return
        self.rows[key] = envelopes
        record = self.newest_understood(key, envelopes)
        # Without a readable form the last understood record stays in force.
        if record is not None:
            self.group(key[0])[key[1]] = record

    def newest_understood(
        self, key: tuple[str, str], envelopes: tuple[Envelope, ...]
    ) -> Record | None:
        newest: Record | None = None
        for envelope in envelopes:
            match parse_record(envelope):
                case Ok(record):
                    newest = record
                case Err(error):
                    self.errors.setdefault(key, []).append(error)
        return newest

    def snapshot(self, generation: int) -> Snapshot:
        return Snapshot(
            generation=generation,
            envelopes=[item for group in self.rows.values() for item in group],
            tiers=self.groups["tier"],
            organisations=self.groups["organisation"],
            pools=self.groups["pool"],
            policies=self.groups["policy"],
            endpoints=self.groups["endpoint"],
            errors=[item for group in self.errors.values() for item in group],
        )


def _by_schema(envelopes: list[Envelope]) -> tuple[Envelope, ...]:
    return tuple(sorted(envelopes, key=lambda item: item.schema))


def _grouped(envelopes: list[Envelope]) -> Rows:
    groups: dict[tuple[str, str], list[Envelope]] = {}
    for envelope in envelopes:
        groups.setdefault((envelope.type, envelope.name), []).append(envelope)
    return {key: _by_schema(group) for key, group in groups.items()}


class ConfigState:
    """Hold the snapshot in force and apply changes in order of generation.

    Each snapshot is a new object that shares unchanged tables with the one before,
    so a holder of an older snapshot is not affected.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.in_force = False
        self.rows: Rows = {}
        self.errors: dict[tuple[str, str], list[RecordError]] = {}

    @property
    def generation(self) -> int:
        return self.snapshot.generation

    @property
    def set_aside(self) -> int:
        """Count the stored records whose schema is too new."""
        return sum(1 for error in self.snapshot.errors if error.too_new)

    def envelopes_of(self, type_name: str, name: str) -> tuple[Envelope, ...]:
        """Return the stored forms of a record, oldest schema first."""
        return self.rows.get((type_name, name), ())

    def revision_of(self, type_name: str, name: str) -> int:
        """Return the generation that last wrote any form of a record, or 0."""
        forms = self.envelopes_of(type_name, name)
        return max((form.revision for form in forms), default=0)

    def apply(self, change: ChangeSet) -> ApplyOutcome:
        """Put a change set in force unless it is stale or starts after a gap."""
        if self.in_force and change.generation <= self.generation:
            return ApplyOutcome.STALE
        # Before the first generation the empty tables stand for no known generation,
        # so only a whole change set can be the first.
        if not change.whole and (not self.in_force or change.base > self.generation):
            return ApplyOutcome.GAP
        draft = self._draft(change)
        self.rows = draft.rows
        self.errors = draft.errors
        self.snapshot = draft.snapshot(change.generation)
        self.in_force = True
        return ApplyOutcome.APPLIED

    def apply_snapshot(self, snapshot: Snapshot) -> ApplyOutcome:
        """Put a whole snapshot in force; records that did not change are kept."""
        return self.apply(whole_change(snapshot))

    def preview(self, change: ChangeSet) -> Snapshot:
        """Return the snapshot that a change set would give, without applying it."""
        return self._draft(change).snapshot(change.generation)

    def _draft(self, change: ChangeSet) -> _Draft:
        draft = _Draft(self.snapshot, self.rows, self.errors)
        if change.whole:
            groups = _grouped(change.changed)
            for key in self.rows.keys() - groups.keys():
                draft.replace(key, ())
            for key, envelopes in groups.items():
                draft.replace(key, envelopes)
            return draft
        touched: dict[tuple[str, str], dict[int, Envelope]] = {}

        def forms(type_name: str, name: str) -> dict[int, Envelope]:
            key = (type_name, name)
            if key not in touched:
                stored = self.rows.get(key, ())
                touched[key] = {envelope.schema: envelope for envelope in stored}
            return touched[key]

        for row_key in change.deleted:
            forms(row_key.type, row_key.name).pop(row_key.schema, None)
        for envelope in change.changed:
            forms(envelope.type, envelope.name)[envelope.schema] = envelope
        for key, group in touched.items():
            draft.replace(key, _by_schema(list(group.values())))
        return draft


def agent_view(snapshot: Snapshot, endpoint_name: str, pool: str) -> Snapshot:
    """Return what one agent needs: its endpoint record, its pool and all tiers."""

    def wanted(envelope: Envelope) -> bool:
        match envelope.type:
            case "tier":
                return True
            case "pool":
                return envelope.name == pool
            case "endpoint":
                return envelope.name == endpoint_name
            case _:
                return False

    pools, endpoints = snapshot.pools, snapshot.endpoints
    return Snapshot(
        generation=snapshot.generation,
        envelopes=[item for item in snapshot.envelopes if wanted(item)],
        tiers=snapshot.tiers,
        pools={pool: pools[pool]} if pool in pools else {},
        endpoints=(
            {endpoint_name: endpoints[endpoint_name]}
            if endpoint_name in endpoints
            else {}
        ),
    )


def encode_change(change: ChangeSet) -> bytes:
    """Encode a change set as JSON; a whole one has the form of a snapshot."""
    body: dict[str, Any] = {
        "generation": change.generation,
        # Recursion would copy every body, which takes most of the time of encoding.
        "records": [attrs.asdict(item, recurse=False) for item in change.changed],
    }
    if not change.whole:
        body["base"] = change.base
        body["deleted"] = [attrs.asdict(key) for key in change.deleted]
    return orjson.dumps(body)


def decode_change(data: bytes) -> ChangeSet:
    """Decode a change set or a snapshot; raises ``ValueError`` for another form."""
    try:
        body = orjson.loads(data)
        base = body.get("base")
        return ChangeSet(
            generation=int(body["generation"]),
            base=0 if base is None else int(base),
            changed=[read_envelope(value) for value in body["records"]],
            deleted=[RowKey(**value) for value in body.get("deleted", [])],
            whole=base is None,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ValueError("not a configuration change") from error
