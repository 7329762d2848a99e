"""Trace one request through the log lines of entries and agents."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument

from acaciarelay.programs.ctl_client import ExitCode

__all__ = ["ExplainCommand", "explain", "read_lines"]

# Events that change the state on which a process decides; shown as context.
CONTEXT_EVENTS = frozenset(
    [
        "configuration_applied",
        "endpoint_changed",
        "endpoint_removed",
        "endpoint_missing",
        "endpoint_leaves",
        "endpoint_drain_reported",
        "endpoint_defers",
        "prompt_suspected",
        "suspicion_ended",
        "store_lost",
        "store_regained",
        "store_history_gone",
        "store_answer_too_long",
        "store_restored",
        "row_held",
        "hold_ended",
        "agent_lost",
        "agent_regained",
        "peer_lost",
        "peer_regained",
        "log_lines_left_out",
        "started",
        "stopping",
    ]
)
# Context is shown from this long before the start of the request.
CONTEXT_LEAD_S = 3.0
HIDDEN_FIELDS = frozenset(["timestamp", "message_type", "program", "name", "pid"])


def read_lines(texts: Iterable[str]) -> list[dict[str, Any]]:
    """Decode JSON log lines and sort them by time.

    Text before the first brace of a line is dropped.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = orjson.loads(text[start:])
        except orjson.JSONDecodeError:
            # Output of other programs may share the file.
            continue
        if isinstance(line, dict) and "timestamp" in line:
            lines.append(line)
    lines.sort(key=lambda line: line["timestamp"])
    return lines


def explain(lines: list[dict[str, Any]], request_id: str) -> list[str]:
    """Format the request's log lines in time order, with context of its processes."""
    request_lines = [line for line in lines if line.get("request_id") == request_id]
    if not request_lines:
        return []
    processes = {line.get("name") for line in request_lines}
    # A line at a request's end may give the request's duration in ``whole_s``.
    started_at = request_lines[0]["timestamp"] - request_lines[0].get("whole_s", 0.0)
    ended_at = request_lines[-1]["timestamp"]
    shown = []
    for line in lines:
        offset_s = line["timestamp"] - started_at
        if line.get("request_id") == request_id:
            shown.append(_format(line, offset_s, "*"))
            continue
        is_context = (
            line.get("message_type") in CONTEXT_EVENTS and line.get("name") in processes
        )
        if is_context and -CONTEXT_LEAD_S <= offset_s <= ended_at - started_at:
            shown.append(_format(line, offset_s, " "))
    return shown


def _format(line: dict[str, Any], offset_s: float, mark: str) -> str:
    fields = [
        f"{name}={value}"
        for name, value in line.items()
        if name not in HIDDEN_FIELDS and value not in (None, [])
    ]
    head = f"{mark} {offset_s:+9.3f} s  {line.get('name', '')}  {line['message_type']}"
    return f"{head}  {' '.join(fields)}"


class ExplainCommand(Command):
    name = "explain"
    description = "Print a request's way from log files, or from standard input."
    arguments = [
        argument("id", "The request's id."),
        argument("files", "Log files.", optional=True, multiple=True),
    ]

    def handle(self) -> int:
        texts: list[str] = []
        for path in self.argument("files"):
            try:
                texts.extend(Path(path).read_text(errors="replace").splitlines())
            except OSError as error:
                print(f"can't read {path}: {error}", file=sys.stderr)
                return ExitCode.USAGE
        if not self.argument("files"):
            texts = sys.stdin.read().splitlines()
        shown = explain(read_lines(texts), self.argument("id"))
        if not shown:
            print("no log line names this request", file=sys.stderr)
            return ExitCode.REFUSED
        print("\n".join(shown))
        return ExitCode.OK
