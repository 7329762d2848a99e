"""Compute docs/CAPACITY.md from the measured slopes in docs/slopes.json.

``--check`` exits with 1 when the page differs from what would be written.
"""

import argparse
import sys
from pathlib import Path
from typing import Any

import attrs
import orjson

SLOPES_PATH = Path("docs/slopes.json")
PAGE_PATH = Path("docs/CAPACITY.md")
NOTES_PATH = Path("docs/capacity-notes.md")

# Size of the deployment that the system is designed for.
ENTRIES = 320
RUNNERS = 600
ACCELERATORS = 4_800
REQUESTS_PER_S = 1_700
TOKENS_PER_S = 770_000
ORGANISATIONS = 18_000
MODELS = 24
CHANGES_PER_DAY = 530
INTER_TOKEN_S = 0.053
REPLACED_VMS_PER_DAY = 87

# Limits for the control work of one node, and for calls of the platform.
LIMIT_CORE_PERCENT = 3.9
LIMIT_MB = 64
LIMIT_BYTES_PER_S = 11_000
PLATFORM_WRITES_PER_S = 300
PLATFORM_READS_PER_S = 2_000

# Settings and constants of the programs that the page is computed from.
SUBSET_SIZE = 4
IDLE_MESSAGES_PER_S = 0.4
ACTIVE_LOADS_PER_S = 0.5
CONFIG_POLL_S = 2.0
MEMBERS_POLL_S = 5.0
VM_POLL_S = 10.0
VM_ROW_BYTES = 70
POLL_BYTES = 350
CHANGE_BYTES = 1_200

Point = dict[str, Any]


@attrs.frozen
class Line:
    """A line fitted to measured points."""

    intercept: float
    slope: float

    def at(self, value: float) -> float:
        return self.intercept + self.slope * value


def fit(points: list[Point], x_name: str, y_name: str) -> Line:
    """Fit a line to measured points by least squares."""
    xs = [float(point[x_name]) for point in points]
    ys = [float(point[y_name]) for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope /= spread
    return Line(mean_y - slope * mean_x, slope)


def verdict(value: float, limit: float) -> str:
    """Return the table cell for a value and its upper limit."""
    return "within" if value <= limit else "**over**"


@attrs.frozen
class Model:
    """Costs and session counts derived from the slopes.

    The lines are by number of peers, organisations or answer tokens. Their values are
    percent of a core (``core``), MB (``mb``), bytes/s (``entry_bytes``), seconds of CPU
    time (``change_cpu``) or milliseconds of CPU time (``request_ms``).
    """

    sessions: int
    entries_per_agent: float
    entry_core: Line
    entry_mb: Line
    entry_bytes: Line
    agent_core: Line
    agent_mb: Line
    organisation_mb: Line
    change_cpu: Line
    entry_request_ms: Line
    agent_request_ms: Line

    @property
    def entry_message_ms(self) -> float:
        """CPU time of one control message at an entry, in ms."""
        return self.entry_core.slope / 100 * 1_000 / IDLE_MESSAGES_PER_S

    @property
    def agent_message_ms(self) -> float:
        """CPU time of one control message at an agent, in ms."""
        return self.agent_core.slope / 100 * 1_000 / IDLE_MESSAGES_PER_S

    @property
    def message_bytes(self) -> float:
        """Bytes of one control message, without the framing of the transport."""
        return self.entry_bytes.slope / IDLE_MESSAGES_PER_S


def build_model(slopes: dict[str, list[Point]]) -> Model:
    """Derive costs and session counts at the design size."""
    sessions = SUBSET_SIZE * MODELS
    agents, entries = slopes["entry-agents"], slopes["agent-entries"]
    organisations, path = slopes["organisations"], slopes["data-path"]
    return Model(
        sessions=sessions,
        entries_per_agent=ENTRIES * sessions / RUNNERS,
        entry_core=fit(agents, "agents", "core_percent"),
        entry_mb=fit(agents, "agents", "resident_mb"),
        entry_bytes=fit(agents, "agents", "message_bytes_per_s"),
        agent_core=fit(entries, "entries", "core_percent"),
        agent_mb=fit(entries, "entries", "resident_mb"),
        organisation_mb=fit(organisations, "organisations", "resident_mb"),
        change_cpu=fit(organisations, "organisations", "change_cpu_s"),
        entry_request_ms=fit(path, "answer_tokens", "entry_ms_per_request"),
        agent_request_ms=fit(path, "answer_tokens", "agent_ms_per_request"),
    )


def control_rows(model: Model) -> list[str]:
    """Render the cost of control for each role, compared with the limits."""
    loads = model.sessions * ACTIVE_LOADS_PER_S
    entry_core = model.entry_core.intercept + loads * model.entry_message_ms / 10
    organisations_mb = model.organisation_mb.slope * ORGANISATIONS
    entry_mb = model.entry_mb.at(model.sessions) + organisations_mb
    polls = POLL_BYTES / CONFIG_POLL_S + POLL_BYTES / MEMBERS_POLL_S
    entry_bytes = loads * model.message_bytes + polls
    agent_loads = model.entries_per_agent * ACTIVE_LOADS_PER_S
    agent_core = model.agent_core.intercept + agent_loads * model.agent_message_ms / 10
    agent_mb = model.agent_mb.at(model.entries_per_agent)
    vm_bytes = (ENTRIES + RUNNERS) * VM_ROW_BYTES / VM_POLL_S
    agent_bytes = agent_loads * model.message_bytes + vm_bytes
    rows = [
        (f"entry, {model.sessions} sessions", entry_core, entry_mb, entry_bytes),
        (
            f"agent, {model.entries_per_agent:.0f} entries",
            agent_core,
            agent_mb,
            agent_bytes,
        ),
    ]
    lines = [
        "| role | core % | limit 3.9 | resident MB | limit 64 | bytes/s "
        "| limit 11,000 |",
        "|---|---|---|---|---|---|---|",
    ]
    for role, core, memory, rate in rows:
        lines.append(
            f"| {role} | {core:.2f} | {verdict(core, LIMIT_CORE_PERCENT)} "
            f"| {memory:.0f} | {verdict(memory, LIMIT_MB)} "
            f"| {rate:,.0f} | {verdict(rate, LIMIT_BYTES_PER_S)} |"
        )
    return lines


def data_rows(model: Model) -> list[str]:
    """Render the cost of requests and tokens, which control does not include."""
    tokens = TOKENS_PER_S / REQUESTS_PER_S
    lines = [
        "| role | requests/s | tokens/s | in flight | ms a request | ms a token "
        "| cores |",
        "|---|---|---|---|---|---|---|",
    ]
    for role, count, line in (
        ("entry", ENTRIES, model.entry_request_ms),
        ("agent", RUNNERS, model.agent_request_ms),
    ):
        requests = REQUESTS_PER_S / count
        cores = requests * line.at(tokens) / 1_000
        in_flight = requests * tokens * INTER_TOKEN_S
        lines.append(
            f"| {role} | {requests:.1f} | {requests * tokens:,.0f} | {in_flight:.0f} "
            f"| {line.intercept:.2f} | {line.slope:.3f} | {cores:.2f} |"
        )
    return lines


def platform_rows(model: Model) -> list[str]:
    """Render the load on the platform's table service."""
    config_reads = ENTRIES / CONFIG_POLL_S
    member_reads = ENTRIES / MEMBERS_POLL_S
    vm_reads = RUNNERS / VM_POLL_S
    reads = config_reads + member_reads + vm_reads
    calls = (PLATFORM_WRITES_PER_S - 1) / 3
    return [
        "| use | reads/s | writes/s | mechanism |",
        "|---|---|---|---|",
        f"| configuration | {config_reads:.0f} | {CHANGES_PER_DAY / 86_400:.3f} "
        "| change feed by revision, polled every 2 s; built |",
        f"| members | {member_reads:.0f} | {REPLACED_VMS_PER_DAY / 86_400:.4f} "
        "| rows written at start only, change feed every 5 s; built |",
        f"| VM list | {vm_reads:.0f} | 0 | whole list at each agent; built, a filter "
        "by VM is planned |",
        "| one non-idempotent call | 2 | 3 | claim, start, finish, each conditional; "
        "built |",
        f"| all but calls, together | {reads:.0f} | below 1 | limit 2,000 reads/s, "
        f"{verdict(reads, PLATFORM_READS_PER_S)} |",
        f"| room for calls | | {calls:.0f} calls/s | at {PLATFORM_WRITES_PER_S} "
        "writes/s; calls above it are refused as `not_run` |",
    ]


def configuration_rows(slopes: dict[str, list[Point]], model: Model) -> list[str]:
    """Render the time until a change is in force."""
    points = slopes["configuration"]
    slowest = max(point["in_force_s"] for point in points)
    accepted = max(point["accepted_s"] for point in points)
    processes = points[0]["processes"]
    per_change = model.change_cpu.at(ORGANISATIONS)
    return [
        f"- Slowest of {len(points)} changes on {processes} processes: accepted after "
        f"{accepted:.2f} s, in force everywhere after {slowest:.2f} s (limit 10 s).",
        f"- One change costs the entry that commits it {per_change:.2f} s of processor "
        f"time with {ORGANISATIONS:,} organisations, {CHANGES_PER_DAY} times a day.",
        f"- Pushes of one change to {ENTRIES} entries carry about "
        f"{ENTRIES * CHANGE_BYTES / 1_000:.0f} KB; entries that miss it poll within "
        "2.4 s.",
    ]


def measured_tables(slopes: dict[str, list[Point]]) -> list[str]:
    """Render the measured points."""
    lines = []
    for part, points in slopes.items():
        names = list(points[0])
        lines += [f"### {part}", "", f"`python -m acaciarelay_bench.scale {part}`", ""]
        lines.append("| " + " | ".join(name.replace("_", " ") for name in names) + " |")
        lines.append("|" + "---|" * len(names))
        for point in points:
            lines.append("| " + " | ".join(str(point[name]) for name in names) + " |")
        lines.append("")
    return lines


def render(slopes: dict[str, list[Point]]) -> str:
    """Render the whole page."""
    model = build_model(slopes)
    notes = NOTES_PATH.read_text()
    sections = {
        "CONTROL": control_rows(model),
        "DATA": data_rows(model),
        "PLATFORM": platform_rows(model),
        "CONFIGURATION": configuration_rows(slopes, model),
        "MEASURED": measured_tables(slopes),
    }
    for name, lines in sections.items():
        notes = notes.replace(f"<!-- {name} -->", "\n".join(lines).rstrip())
    return notes


def main() -> int:
    """Write or check the page; the exit code is 1 if a checked page differs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    page = render(orjson.loads(SLOPES_PATH.read_bytes()))
    if not arguments.check:
        PAGE_PATH.write_text(page)
        return 0
    if PAGE_PATH.exists() and PAGE_PATH.read_text() == page:
        return 0
    print(f"{PAGE_PATH} differs from its slopes; run tools/make_capacity.py")
    return 1


if __name__ == "__main__":
    sys.exit(main())
