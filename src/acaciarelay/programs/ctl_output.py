"""Format the answers of the administration API as text."""

import datetime
import difflib
from collections.abc import Sequence

import orjson

from acaciarelay.programs.ctl_client import CtlFailure
from acaciarelay.protocol.admin_api import Diff, LogEntry, ProcessStatus
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
    """Format plain data as indented JSON."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(value, option=options).decode()


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows in columns as wide as their widest cell."""
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*table, strict=True)]
    lines = []
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def _title(envelope: Envelope) -> str:
    return f"{envelope.type}/{envelope.name}/{envelope.schema}"


def _lines(envelope: Envelope | None) -> list[str]:
    return [] if envelope is None else format_json(envelope.body).splitlines()


def _compare(before: Envelope | None, after: Envelope | None) -> str:
    old = f"{_title(before)} revision {before.revision}" if before else "(none)"
    new = _title(after) if after else "(none)"
    lines = difflib.unified_diff(_lines(before), _lines(after), old, new, lineterm="")
    return "\n".join(lines)


def format_diffs(diffs: Sequence[Diff]) -> str:
    """Format changes as unified diffs of the bodies."""
    if not diffs:
        return "no difference"
    return "\n".join(_compare(diff.before, diff.after) for diff in diffs)


def format_failure(failure: CtlFailure) -> str:
    """Format a failure with all its problems and both versions of each conflict."""
    lines = [failure.message]
    lines += [f"  {problem}" for problem in failure.problems]
    for conflict in failure.conflicts:
        lines.append(
            f"{conflict.type} {conflict.name}: expected revision "
            f"{conflict.expected_revision}, stored revision {conflict.stored_revision}"
        )
        stored = {form.schema: form for form in conflict.stored}
        wanted = {form.schema: form for form in conflict.expected}
        for schema in sorted(stored | wanted):
            compared = _compare(stored.get(schema), wanted.get(schema))
            lines.append(compared or "  the stored body is the same")
    return "\n".join(lines)


def format_history(entries: Sequence[LogEntry]) -> str:
    """Format commits, one line for each changed form."""
    rows = []
    for entry in entries:
        moment = datetime.datetime.fromtimestamp(entry.time, datetime.UTC)
        for diff in entry.changes:
            form = diff.after or diff.before
            verb = "wrote" if diff.after else "deleted"
            title = _title(form) if form else ""
            when = moment.strftime("%Y-%m-%dT%H:%M:%SZ")
            rows.append((entry.generation, when, entry.operator, verb, title))
    return format_table(("GENERATION", "TIME", "OPERATOR", "CHANGE", "RECORD"), rows)


def _state(process: ProcessStatus) -> str:
    if not process.connected:
        return "disconnected"
    return "draining" if process.draining else "active"


def format_status(processes: Sequence[ProcessStatus]) -> str:
    """Format one line a process; tiers are given as TIER:WAITING/RUNNING."""
    header = ("KIND", "ID", "POOL", "REGION", "ZONE", "STATE", "GENERATION")
    rows = []
    for item in sorted(processes, key=lambda item: (item.kind, item.pool, item.id)):
        tiers = " ".join(
            f"{tier.tier}:{tier.waiting}/{tier.running}" for tier in item.tiers
        )
        place = (item.kind, item.id, item.pool or "-", item.region, item.zone)
        load = (_state(item), item.generation, item.token_limit or "-", tiers or "-")
        rows.append((*place, *load))
    text = format_table((*header, "TOKENS", "TIERS (WAITING/RUNNING)"), rows)
    problems = [f"{item.id}: {item.problem}" for item in processes if item.problem]
    return "\n".join([text, *problems])


def format_schemas(
    records: Sequence[Envelope], processes: Sequence[ProcessStatus]
) -> str:
    """Format how many records are stored in which schemas, and who lacks them all."""
    forms: dict[tuple[str, str], list[int]] = {}
    for record in records:
        forms.setdefault((record.type, record.name), []).append(record.schema)
    counts: dict[tuple[str, tuple[int, ...]], int] = {}
    for (type_name, _), schemas in forms.items():
        group = (type_name, tuple(sorted(schemas)))
        counts[group] = counts.get(group, 0) + 1
    rows = []
    for (type_name, stored), count in sorted(counts.items()):
        lacking = [
            item.id
            for item in processes
            if item.schemas and item.schemas.get(type_name, 0) < stored[0]
        ]
        schemas_text = ",".join(str(schema) for schema in stored)
        rows.append((type_name, schemas_text, count, " ".join(lacking) or "-"))
    text = format_table(("TYPE", "SCHEMAS", "RECORDS", "NOT UNDERSTOOD BY"), rows)
    silent = [item.id for item in processes if not item.schemas]
    if silent:
        text += "\nprocesses that report no schemas: " + " ".join(silent)
    return text
