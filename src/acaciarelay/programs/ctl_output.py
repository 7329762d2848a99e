"""Format the answers of the administration API as text."""

import datetime
import difflib
from collections.abc import Sequence

import orjson

from acaciarelay.programs.ctl_client import CtlFailure
from acaciarelay.protocol.admin_api import Diff, HistoryEntry, ProcessStatus
from acaciarelay.state.records import Envelope

__all__ = [
    "format_diffs",
    "format_failure",
    "format_history",
    "format_json",
    "format_schemas",
    "format_status",
    "format_table",
]


def format_json(value: object) -> str:
    """Format JSON data with indentation and sorted keys."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(value, option=options).decode()


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows as left-aligned columns."""
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*table, strict=True)]
    lines = []
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _row_name(envelope: Envelope) -> str:
    return f"{envelope.type}/{envelope.name}/{envelope.schema}"


def _body_lines(envelope: Envelope | None) -> list[str]:
    return [] if envelope is None else format_json(envelope.body).splitlines()


def _unified_diff(before: Envelope | None, after: Envelope | None) -> str:
    old = f"{_row_name(before)} revision {before.revision}" if before else "(none)"
    new = _row_name(after) if after else "(none)"
    lines = difflib.unified_diff(
        _body_lines(before), _body_lines(after), old, new, lineterm=""
    )
    return "\n".join(lines)


def format_diffs(diffs: Sequence[Diff]) -> str:
    """Format changes as unified diffs of the record bodies."""
    if not diffs:
        return "no difference"
    return "\n".join(_unified_diff(diff.before, diff.after) for diff in diffs)


def format_failure(failure: CtlFailure) -> str:
    """Format a failure with all its problems and both versions of each conflict."""
    lines = [failure.message]
    lines += [f"  {problem}" for problem in failure.problems]
    for conflict in failure.conflicts:
        lines.append(
            f"{conflict.type} {conflict.name}: expected revision "
            f"{conflict.expected_revision}, stored revision {conflict.stored_revision}"
        )
        stored = {envelope.schema: envelope for envelope in conflict.stored}
        expected = {envelope.schema: envelope for envelope in conflict.expected}
        for schema in sorted(stored | expected):
            diff = _unified_diff(stored.get(schema), expected.get(schema))
            lines.append(diff or "  the stored body is the same")
    return "\n".join(lines)


def format_history(commits: Sequence[HistoryEntry]) -> str:
    """Format commits, one line per changed row."""
    rows = []
    for commit in commits:
        committed_at = datetime.datetime.fromtimestamp(commit.time, datetime.UTC)
        for diff in commit.changes:
            envelope = diff.after or diff.before
            verb = "wrote" if diff.after else "deleted"
            row_name = _row_name(envelope) if envelope else ""
            timestamp = committed_at.strftime("%Y-%m-%dT%H:%M:%SZ")
            rows.append((commit.generation, timestamp, commit.operator, verb, row_name))
    return format_table(("GENERATION", "TIME", "OPERATOR", "CHANGE", "RECORD"), rows)


def _state(process: ProcessStatus) -> str:
    if not process.connected:
        return "disconnected"
    return "draining" if process.draining else "active"


def format_status(processes: Sequence[ProcessStatus]) -> str:
    """Format one line per process; tiers are given as TIER:WAITING/RUNNING."""
    header = ("KIND", "ID", "POOL", "REGION", "ZONE", "STATE", "GENERATION")
    rows = []
    for item in sorted(processes, key=lambda item: (item.kind, item.pool, item.id)):
        tiers = " ".join(
            f"{tier.tier}:{tier.waiting}/{tier.running}" for tier in item.tiers
        )
        location = (item.kind, item.id, item.pool or "-", item.region, item.zone)
        load = (_state(item), item.generation, item.token_limit or "-", tiers or "-")
        rows.append((*location, *load))
    text = format_table((*header, "TOKENS", "TIERS (WAITING/RUNNING)"), rows)
    problems = [f"{item.id}: {item.problem}" for item in processes if item.problem]
    return "\n".join([text, *problems])


def format_schemas(
    records: Sequence[Envelope], processes: Sequence[ProcessStatus]
) -> str:
    """Format the number of records per type and set of schemas they are stored in.

    Each line lists the processes that understand none of these schemas. Processes
    that report no schemas are listed at the end.
    """
    schemas_of: dict[tuple[str, str], list[int]] = {}
    for record in records:
        schemas_of.setdefault((record.type, record.name), []).append(record.schema)
    counts: dict[tuple[str, tuple[int, ...]], int] = {}
    for (type_name, _), schemas in schemas_of.items():
        group = (type_name, tuple(sorted(schemas)))
        counts[group] = counts.get(group, 0) + 1
    rows = []
    for (type_name, stored), count in sorted(counts.items()):
        incompatible_ids = [
            item.id
            for item in processes
            if item.schemas and item.schemas.get(type_name, 0) < stored[0]
        ]
        schemas_text = ",".join(str(schema) for schema in stored)
        rows.append((type_name, schemas_text, count, " ".join(incompatible_ids) or "-"))
    text = format_table(("TYPE", "SCHEMAS", "RECORDS", "NOT UNDERSTOOD BY"), rows)
    unreported = [item.id for item in processes if not item.schemas]
    if unreported:
        text += "\nprocesses that report no schemas: " + " ".join(unreported)
    return text
