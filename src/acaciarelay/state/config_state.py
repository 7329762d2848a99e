"""The configuration that one process applies; its generation never decreases."""

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
    "agent_snapshot",
    "decode_change",
    "encode_change",
    "read_row_key",
    "snapshot_change_set",
]

RECORD_PREFIX = "record"

EnvelopesByRecord = dict[tuple[str, str], tuple[Envelope, ...]]


@attrs.frozen
class RowKey:
    """Key of the stored envelope of a record in one schema."""

    type: str
    name: str
    schema: int

    def __str__(self) -> str:
        return f"{RECORD_PREFIX}/{self.type}/{self.name}/{self.schema}"


def read_row_key(text: str) -> RowKey | None:
    """Parse ``record/TYPE/NAME/SCHEMA``; ``None`` when the text has another form."""
    parts = text.split("/")
    if len(parts) != 4 or parts[0] != RECORD_PREFIX or not parts[3].isdecimal():
        return None
    return RowKey(parts[1], parts[2], int(parts[3]))


@attrs.frozen(kw_only=True)
class ChangeSet:
    """The difference between two generations, or a full snapshot.

    ``changed`` and ``deleted`` hold every difference between ``base`` and
    ``generation``. A ``whole`` change set holds all envelopes and needs no base.
    """

    generation: int
    base: int = 0
    changed: list[Envelope] = attrs.field(factory=list)
    deleted: list[RowKey] = attrs.field(factory=list)
    whole: bool = False


class ApplyOutcome(enum.StrEnum):
    """Result of applying a change set."""

    APPLIED = "applied"
    STALE = "stale"  # Its generation is not newer than the current one.
    GAP = "gap"  # Its base is newer, or no full change set was applied before.


def snapshot_change_set(snapshot: Snapshot) -> ChangeSet:
    """Build a full change set from a snapshot."""
    return ChangeSet(
        generation=snapshot.generation, changed=snapshot.envelopes, whole=True
    )


class _SnapshotBuilder:
    """Builds the next snapshot and copies only the record tables that change."""

    def __init__(
        self,
        snapshot: Snapshot,
        by_record: EnvelopesByRecord,
        errors: dict[tuple[str, str], list[RecordError]],
    ) -> None:
        self.by_record = dict(by_record)
        self.errors = dict(errors)
        self.tables = {name: snapshot.by_type(name) for name in RECORD_TYPES}
        self.copied: set[str] = set()

    def writable_table(self, type_name: str) -> dict[str, Any]:
        """Return a record table that is not shared with the previous snapshot."""
        if type_name not in self.copied:
            self.tables[type_name] = dict(self.tables[type_name])
            self.copied.add(type_name)
        return self.tables[type_name]

    def replace(self, key: tuple[str, str], envelopes: tuple[Envelope, ...]) -> None:
        if self.by_record.get(key, ()) == envelopes:
            return
        self.errors.pop(key, None)
        if not envelopes:
            self.by_record.pop(key, None)
            if key[0] in self.tables:
                self.writable_table(key[0]).pop(key[1], None)
            return
        self.by_record[key] = envelopes
        record = self.newest_supported(key, envelopes)
        # When no envelope can be parsed, the last parsed record remains in use.
        if record is not None:
            self.writable_table(key[0])[key[1]] = record

    def newest_supported(
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
            envelopes=[item for group in self.by_record.values() for item in group],
            tiers=self.tables["tier"],
            organisations=self.tables["organisation"],
            pools=self.tables["pool"],
            policies=self.tables["policy"],
            endpoints=self.tables["endpoint"],
            errors=[item for group in self.errors.values() for item in group],
        )


def _by_schema(envelopes: list[Envelope]) -> tuple[Envelope, ...]:
    return tuple(sorted(envelopes, key=lambda item: item.schema))


def _group_by_record(envelopes: list[Envelope]) -> EnvelopesByRecord:
    groups: dict[tuple[str, str], list[Envelope]] = {}
    for envelope in envelopes:
        groups.setdefault((envelope.type, envelope.name), []).append(envelope)
    return {key: _by_schema(group) for key, group in groups.items()}


class ConfigState:
    """The current snapshot, to which change sets are applied in order of generation.

    Snapshots are immutable: each one is a new object that shares the unchanged tables
    with its predecessor, so users of an older one are not affected. ``loaded`` is
    false until the first change set is applied.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.loaded = False
        self.by_record: EnvelopesByRecord = {}
        self.errors: dict[tuple[str, str], list[RecordError]] = {}

    @property
    def generation(self) -> int:
        return self.snapshot.generation

    @property
    def set_aside(self) -> int:
        """Number of stored envelopes whose schema is too new for this process.

        Envelopes that are unreadable for other reasons are not counted.
        """
        return sum(1 for error in self.snapshot.errors if error.too_new)

    def envelopes_of(self, type_name: str, name: str) -> tuple[Envelope, ...]:
        """Return the stored envelopes of a record, oldest schema first."""
        return self.by_record.get((type_name, name), ())

    def revision_of(self, type_name: str, name: str) -> int:
        """Return the generation that last wrote any envelope of a record, or 0."""
        envelopes = self.envelopes_of(type_name, name)
        return max((envelope.revision for envelope in envelopes), default=0)

    def apply(self, change: ChangeSet) -> ApplyOutcome:
        """Apply a change set unless it is stale or leaves a gap of generations."""
        if self.loaded and change.generation <= self.generation:
            return ApplyOutcome.STALE
        # The initial empty snapshot has no generation that a change set could be based
        # on, so the first change set must be a full one.
        if not change.whole and (not self.loaded or change.base > self.generation):
            return ApplyOutcome.GAP
        builder = self._build(change)
        self.by_record = builder.by_record
        self.errors = builder.errors
        self.snapshot = builder.snapshot(change.generation)
        self.loaded = True
        return ApplyOutcome.APPLIED

    def apply_snapshot(self, snapshot: Snapshot) -> ApplyOutcome:
        """Apply a full snapshot; unchanged records are not parsed again."""
        return self.apply(snapshot_change_set(snapshot))

    def preview(self, change: ChangeSet) -> Snapshot:
        """Return the snapshot that would result, without applying the change set."""
        return self._build(change).snapshot(change.generation)

    def _build(self, change: ChangeSet) -> _SnapshotBuilder:
        builder = _SnapshotBuilder(self.snapshot, self.by_record, self.errors)
        if change.whole:
            by_record = _group_by_record(change.changed)
            for key in self.by_record.keys() - by_record.keys():
                builder.replace(key, ())
            for key, envelopes in by_record.items():
                builder.replace(key, envelopes)
            return builder
        touched: dict[tuple[str, str], dict[int, Envelope]] = {}

        def touched_envelopes(type_name: str, name: str) -> dict[int, Envelope]:
            key = (type_name, name)
            if key not in touched:
                stored = self.by_record.get(key, ())
                touched[key] = {envelope.schema: envelope for envelope in stored}
            return touched[key]

        for row_key in change.deleted:
            touched_envelopes(row_key.type, row_key.name).pop(row_key.schema, None)
        for envelope in change.changed:
            touched_envelopes(envelope.type, envelope.name)[envelope.schema] = envelope
        for key, group in touched.items():
            builder.replace(key, _by_schema(list(group.values())))
        return builder


def agent_snapshot(snapshot: Snapshot, agent_id: str, pool: str) -> Snapshot:
    """Return the part for one agent: its endpoint record, its pool and all tiers.

    The endpoint record of an agent has the agent's id as its name.
    """

    def included(envelope: Envelope) -> bool:
        match envelope.type:
            case "tier":
                return True
            case "pool":
                return envelope.name == pool
            case "endpoint":
                return envelope.name == agent_id
            case _:
                return False

    pools, endpoints = snapshot.pools, snapshot.endpoints
    return Snapshot(
        generation=snapshot.generation,
        envelopes=[item for item in snapshot.envelopes if included(item)],
        tiers=snapshot.tiers,
        pools={pool: pools[pool]} if pool in pools else {},
        endpoints={agent_id: endpoints[agent_id]} if agent_id in endpoints else {},
    )


def encode_change(change: ChangeSet) -> bytes:
    """Encode a change set as JSON; a full one has the format of a snapshot."""
    body: dict[str, Any] = {
        "generation": change.generation,
        # Recursion would copy every body, which would take most of the encoding time.
        "records": [attrs.asdict(item, recurse=False) for item in change.changed],
    }
    if not change.whole:
        body["base"] = change.base
        body["deleted"] = [attrs.asdict(key) for key in change.deleted]
    return orjson.dumps(body)


def decode_change(data: bytes) -> ChangeSet:
    """Decode a change set or a snapshot; raises ``ValueError`` if it is malformed."""
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
