"""Check record changes against the stored configuration and plan their commit."""

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
    """Hold a commit that is ready to be written.

    ``touched`` are the rows of all changed records, also those that stay as they are.
    """

    change: ChangeSet
    diffs: list[Diff]
    touched: list[RowKey]


@attrs.define
class _Findings:
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


def _write_problems(record: Record) -> list[str]:
    """List what a new record must not hold, though stored ones with it are used.

    A plain key in place of its hash would open nothing and be readable in the table.
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
        self.findings = _Findings()
        self.written: dict[RowKey, Envelope | None] = {}
        self.records: dict[tuple[str, str], int] = {}

    def add(self, change: RecordChange) -> None:
        where = f"{change.type} {change.name}"
        kind = RECORD_TYPES.get(change.type)
        if kind is None:
            self.findings.invalid.append(f"{where}: no such record type")
            return
        if NAME_PATTERN.fullmatch(change.name) is None:
            self.findings.invalid.append(f"{where}: the name has other characters")
            return
        expected = self.records.setdefault((change.type, change.name), change.revision)
        if expected != change.revision:
            self.findings.invalid.append(f"{where}: two different revisions expected")
        if change.delete:
            self.add_deletion(where, change)
            return
        schema = kind.newest if change.schema is None else change.schema
        key = RowKey(change.type, change.name, schema)
        body = change.body
        envelope = Envelope(key.type, key.name, schema, self.generation, body)
        match parse_record(envelope):
            case Err(error) if error.too_new:
                self.findings.too_new.append(f"{where}: {error.reason}")
            case Err(error):
                self.findings.invalid.append(f"{where}: {error.reason}")
            case Ok(record):
                problems = [f"{where}: {text}" for text in _write_problems(record)]
                self.findings.invalid.extend(problems)
        self.write(where, key, envelope)

    def add_deletion(self, where: str, change: RecordChange) -> None:
        forms = [
            form
            for form in self.state.envelopes_of(change.type, change.name)
            if change.schema is None or form.schema == change.schema
        ]
        if not forms:
            self.findings.missing.append(f"{where}: no such record is stored")
        for form in forms:
            self.write(where, RowKey(form.type, form.name, form.schema), None)

    def write(self, where: str, key: RowKey, envelope: Envelope | None) -> None:
        if key in self.written:
            problem = f"{where}: schema {key.schema} is changed twice"
            self.findings.invalid.append(problem)
        self.written[key] = envelope

    def check_record(self, type_name: str, name: str, expected: int) -> None:
        stored = self.state.revision_of(type_name, name)
        if stored != expected:
            conflict = VersionConflict(
                type_name,
                name,
                expected,
                stored,
                [
                    envelope
                    for key, envelope in self.written.items()
                    if envelope and (key.type, key.name) == (type_name, name)
                ],
                list(self.state.envelopes_of(type_name, name)),
            )
            self.findings.conflicts.append(conflict)
            return
        self.check_forms(type_name, name)

    def check_forms(self, type_name: str, name: str) -> None:
        """Require an update to reach the processes of every stored schema."""
        forms = self.state.envelopes_of(type_name, name)
        keys = {RowKey(type_name, name, form.schema) for form in forms}
        if not any(self.written.get(key) for key in keys):
            return
        newest = RECORD_TYPES[type_name].newest
        for key in sorted(keys - self.written.keys(), key=lambda key: key.schema):
            problem = (
                f"{type_name} {name}: also stored in schema {key.schema}, "
                "which the change must cover or delete"
            )
            if key.schema > newest:
                self.findings.too_new.append(problem)
            else:
                self.findings.invalid.append(problem)

    def change_set(self) -> ChangeSet:
        changed, deleted = [], []
        for key, envelope in self.written.items():
            if envelope is None:
                deleted.append(key)
            elif not self.is_same(envelope):
                changed.append(envelope)
        return ChangeSet(
            generation=self.generation,
            base=self.generation - 1,
            changed=changed,
            deleted=deleted,
        )

    def stored(self, type_name: str, name: str, schema: int) -> Envelope | None:
        for form in self.state.envelopes_of(type_name, name):
            if form.schema == schema:
                return form
        return None

    def is_same(self, envelope: Envelope) -> bool:
        stored = self.stored(envelope.type, envelope.name, envelope.schema)
        return stored is not None and stored.body == envelope.body

    def diffs(self, change: ChangeSet) -> list[Diff]:
        diffs = []
        for envelope in change.changed:
            before = self.stored(envelope.type, envelope.name, envelope.schema)
            diffs.append(Diff(before, envelope))
        for key in change.deleted:
            diffs.append(Diff(self.stored(key.type, key.name, key.schema), None))
        return diffs

    def check_references(self, change: ChangeSet) -> None:
        before = set(dangling_references(self.state.snapshot))
        for error in dangling_references(self.state.preview(change)):
            # Older dangling references must not block every other change.
            if error not in before:
                problem = f"{error.type} {error.name}: {error.reason}"
                self.findings.dangling.append(problem)

    def touched(self) -> list[RowKey]:
        keys = set(self.written)
        for type_name, name in self.records:
            for form in self.state.envelopes_of(type_name, name):
                keys.add(RowKey(type_name, name, form.schema))
        return sorted(keys, key=str)


def plan_changes(
    state: ConfigState, changes: list[RecordChange]
) -> Result[Plan, RecordRefusal]:
    """Check all changes at once and plan the generation after the one in force.

    A refusal holds every problem found. Its code is that of the first kind found out
    of invalid records, schemas too new, conflicts, missing records and dangling
    references.
    """
    planner = _Planner(state, state.generation + 1)
    for change in changes:
        planner.add(change)
    for (type_name, name), expected in planner.records.items():
        planner.check_record(type_name, name, expected)
    change_set = planner.change_set()
    planner.check_references(change_set)
    refusal = planner.findings.refusal()
    if refusal is not None:
        return Err(refusal)
    return Ok(Plan(change_set, planner.diffs(change_set), planner.touched()))
