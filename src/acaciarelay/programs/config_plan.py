"""Validate record changes against the stored configuration and plan their commit."""

import re

import attrs
from result import Err, Ok, Result

from acaciarelay.protocol.admin_api import (
    NAME_PATTERN,
    Diff,
    RecordChange,
    RecordRefusal,
    VersionConflict,
)
from acaciarelay.protocol.codes import CODES
from acaciarelay.state.config_state import ChangeSet, ConfigState, RowKey
from acaciarelay.state.records import (
    RECORD_TYPES,
    Envelope,
    OrganisationRecord,
    Record,
    dangling_references,
    parse_record,
)

__all__ = ["Plan", "plan_changes"]

KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Plan:
    """A validated commit that is ready to be written.

    ``touched`` lists the rows of all changed records, including rows that stay as they
    are, so that the commit can check their revisions.
    """

    change: ChangeSet
    diffs: list[Diff]
    touched: list[RowKey]


@attrs.define
class _Problems:
    invalid: list[str] = attrs.field(factory=list)
    too_new: list[str] = attrs.field(factory=list)
    missing: list[str] = attrs.field(factory=list)
    dangling: list[str] = attrs.field(factory=list)
    conflicts: list[VersionConflict] = attrs.field(factory=list)

    def refusal(self) -> RecordRefusal | None:
        problems = [*self.invalid, *self.too_new, *self.missing, *self.dangling]
        for conflict in self.conflicts:
            problems.append(
                f"{conflict.type} {conflict.name} is at revision "
                f"{conflict.stored_revision}, not {conflict.expected_revision}"
            )
        if not problems:
            return None
        codes = [
            (self.invalid, "record_invalid"),
            (self.too_new, "schema_too_new"),
            (self.conflicts, "record_conflict"),
            (self.missing, "record_missing"),
            (self.dangling, "dangling_reference"),
        ]
        name = next(name for found, name in codes if found)
        detail = "; ".join(problems)
        return RecordRefusal(
            CODES[name], detail, problems=problems, conflicts=self.conflicts
        )


def _key_hash_problems(record: Record) -> list[str]:
    """Return the problems of the key hashes in a record that is to be written.

    A plain key in place of its hash would authenticate no caller and be readable in
    the table. Only writes are checked, so that stored records with malformed hashes
    stay in use.
    """
    if not isinstance(record, OrganisationRecord):
        return []
    return [
        f"key hash {number} is not a SHA-256 sum of 64 lower-case hexadecimal digits"
        for number, key_hash in enumerate(record.key_hashes, start=1)
        if KEY_HASH_PATTERN.fullmatch(key_hash) is None
    ]


class _Planner:
    def __init__(self, state: ConfigState, generation: int) -> None:
        self.state = state
        self.generation = generation
        self.problems = _Problems()
        # ``None`` stands for a deletion.
        self.staged: dict[RowKey, Envelope | None] = {}
        self.expected_revisions: dict[tuple[str, str], int] = {}

    def add(self, change: RecordChange) -> None:
        label = f"{change.type} {change.name}"
        record_type = RECORD_TYPES.get(change.type)
        if record_type is None:
            self.problems.invalid.append(f"{label}: no such record type")
            return
        if NAME_PATTERN.fullmatch(change.name) is None:
            self.problems.invalid.append(f"{label}: the name has other characters")
            return
        expected = self.expected_revisions.setdefault(
            (change.type, change.name), change.revision
        )
        if expected != change.revision:
            self.problems.invalid.append(f"{label}: two different revisions expected")
        if change.delete:
            self.add_deletion(label, change)
            return
        schema = record_type.newest if change.schema is None else change.schema
        key = RowKey(change.type, change.name, schema)
        body = change.body
        envelope = Envelope(key.type, key.name, schema, self.generation, body)
        match parse_record(envelope):
            case Err(error) if error.too_new:
                self.problems.too_new.append(f"{label}: {error.reason}")
            case Err(error):
                self.problems.invalid.append(f"{label}: {error.reason}")
            case Ok(record):
                problems = [f"{label}: {text}" for text in _key_hash_problems(record)]
                self.problems.invalid.extend(problems)
        self.stage(label, key, envelope)

    def add_deletion(self, label: str, change: RecordChange) -> None:
        stored = [
            envelope
            for envelope in self.state.envelopes_of(change.type, change.name)
            if change.schema is None or envelope.schema == change.schema
        ]
        if not stored:
            self.problems.missing.append(f"{label}: no such record is stored")
        for envelope in stored:
            self.stage(
                label, RowKey(envelope.type, envelope.name, envelope.schema), None
            )

    def stage(self, label: str, key: RowKey, envelope: Envelope | None) -> None:
        if key in self.staged:
            problem = f"{label}: schema {key.schema} is changed twice"
            self.problems.invalid.append(problem)
        self.staged[key] = envelope

    def check_record(self, type_name: str, name: str, expected: int) -> None:
        stored_revision = self.state.revision_of(type_name, name)
        if stored_revision != expected:
            conflict = VersionConflict(
                type_name,
                name,
                expected,
                stored_revision,
                [
                    envelope
                    for key, envelope in self.staged.items()
                    if envelope and (key.type, key.name) == (type_name, name)
                ],
                list(self.state.envelopes_of(type_name, name)),
            )
            self.problems.conflicts.append(conflict)
            return
        self.check_stored_schemas(type_name, name)

    def check_stored_schemas(self, type_name: str, name: str) -> None:
        """Require an update to cover every stored schema of the record.

        A process that uses a schema left out would not see the update.
        """
        stored = self.state.envelopes_of(type_name, name)
        keys = {RowKey(type_name, name, envelope.schema) for envelope in stored}
        if not any(self.staged.get(key) for key in keys):
            return
        newest = RECORD_TYPES[type_name].newest
        for key in sorted(keys - self.staged.keys(), key=lambda key: key.schema):
            problem = (
                f"{type_name} {name}: also stored in schema {key.schema}, "
                "which the change must cover or delete"
            )
            if key.schema > newest:
                self.problems.too_new.append(problem)
            else:
                self.problems.invalid.append(problem)

    def change_set(self) -> ChangeSet:
        changed, deleted = [], []
        for key, envelope in self.staged.items():
            if envelope is None:
                deleted.append(key)
            elif not self.is_unchanged(envelope):
                changed.append(envelope)
        return ChangeSet(
            generation=self.generation,
            base=self.state.generation,
            changed=changed,
            deleted=deleted,
        )

    def stored_envelope(
        self, type_name: str, name: str, schema: int
    ) -> Envelope | None:
        for envelope in self.state.envelopes_of(type_name, name):
            if envelope.schema == schema:
                return envelope
        return None

    def is_unchanged(self, envelope: Envelope) -> bool:
        stored = self.stored_envelope(envelope.type, envelope.name, envelope.schema)
        return stored is not None and stored.body == envelope.body

    def diffs(self, change: ChangeSet) -> list[Diff]:
        diffs = []
        for envelope in change.changed:
            before = self.stored_envelope(envelope.type, envelope.name, envelope.schema)
            diffs.append(Diff(before, envelope))
        for key in change.deleted:
            diffs.append(
                Diff(self.stored_envelope(key.type, key.name, key.schema), None)
            )
        return diffs

    def check_references(self, change: ChangeSet) -> None:
        before = set(dangling_references(self.state.snapshot))
        for error in dangling_references(self.state.preview(change)):
            # References that were dangling before must not block unrelated changes.
            if error not in before:
                problem = f"{error.type} {error.name}: {error.reason}"
                self.problems.dangling.append(problem)

    def touched_rows(self) -> list[RowKey]:
        keys = set(self.staged)
        for type_name, name in self.expected_revisions:
            for envelope in self.state.envelopes_of(type_name, name):
                keys.add(RowKey(type_name, name, envelope.schema))
        return sorted(keys, key=str)


def plan_changes(
    state: ConfigState, changes: list[RecordChange], generation: int
) -> Result[Plan, RecordRefusal]:
    """Validate all changes together and plan the generation that follows.

    A refusal lists every problem. Its code is that of the first kind present, in the
    order: invalid record, schema too new, conflict, missing record, dangling reference.
    """
    planner = _Planner(state, generation)
    for change in changes:
        planner.add(change)
    for (type_name, name), expected in planner.expected_revisions.items():
        planner.check_record(type_name, name, expected)
    change_set = planner.change_set()
    planner.check_references(change_set)
    refusal = planner.problems.refusal()
    if refusal is not None:
        return Err(refusal)
    return Ok(Plan(change_set, planner.diffs(change_set), planner.touched_rows()))
