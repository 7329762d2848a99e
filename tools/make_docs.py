"""Write the reference pages in docs/ from the tables in the code.

With ``--check`` nothing is written and the exit code is 1 when a page differs.
"""

import argparse
import importlib
import importlib.util
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from acaciarelay.programs import settings
from acaciarelay.programs.options import Option
from acaciarelay.protocol.codes import CODES

DOCS = Path(__file__).resolve().parent.parent / "docs"
METRICS_MODULE = "acaciarelay.programs.metrics"
NOTICE = "This page is written by `tools/make_docs.py`; change the code instead."

PROGRAMS = [
    ("acaciarelay-entry", settings.ENTRY_OPTIONS),
    ("acaciarelay-agent", settings.AGENT_OPTIONS),
    ("acaciarelayctl", settings.CTL_OPTIONS),
]


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table; bars in cells are escaped."""
    lines = [header, ["---"] * len(header), *rows]
    cells = [[str(cell).replace("|", "\\|") for cell in line] for line in lines]
    return "\n".join("| " + " | ".join(line) + " |" for line in cells)


def page(title: str, *parts: str) -> str:
    return "\n\n".join([f"# {title}", NOTICE, *parts]) + "\n"


def result_codes_page() -> str:
    rows = [
        (
            code.number,
            f"`{code.name}`",
            code.status,
            f"`{code.outcome}`",
            "yes" if code.retryable else "no",
            code.advice,
        )
        for code in sorted(CODES.values(), key=lambda code: code.number)
    ]
    header = ("Code", "Name", "HTTP status", "Outcome", "Retry-After", "What to do")
    return page("Result codes", table(header, rows))


def option_row(option: Option) -> list[str]:
    default = "required" if option.default is None else f"`{option.default}`"
    return [
        f"`{option.flag}`",
        f"`{option.variable}`",
        default if option.default != "" else "empty",
        option.unit,
        option.help,
    ]


def settings_page() -> str:
    header = ("Flag", "Variable", "Default", "Unit", "Meaning")
    parts = []
    for program, options in PROGRAMS:
        parts.append(f"## {program}")
        rows = [option_row(option) for option in options]
        parts.append(table(header, rows) if rows else "No settings are declared.")
    return page("Settings", *parts)


def metrics_page() -> str:
    declared = importlib.import_module(METRICS_MODULE).METRICS
    rows = [
        (
            f"`{metric.name}`",
            metric.kind,
            ", ".join(f"`{label}`" for label in metric.labels),
            metric.help,
        )
        for metric in declared
    ]
    return page("Metrics", table(("Name", "Kind", "Labels", "Meaning"), rows))


def has_metrics() -> bool:
    if importlib.util.find_spec(METRICS_MODULE) is None:
        return False
    return hasattr(importlib.import_module(METRICS_MODULE), "METRICS")


def pages() -> dict[str, Callable[[], str]]:
    """Return the function that renders each page, by file name."""
    writers = {"result-codes.md": result_codes_page, "settings.md": settings_page}
    if has_metrics():
        writers["metrics.md"] = metrics_page
    return writers


def outdated_pages(docs: Path) -> list[str]:
    """Return the names of the pages that are missing or differ from the code."""
    return [
        name
        for name, write in pages().items()
        if not (docs / name).is_file()
        or (docs / name).read_text(encoding="utf-8") != write()
    ]


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare the pages")
    parser.add_argument(
        "--docs", type=Path, default=DOCS, help="directory of the pages"
    )
    options = parser.parse_args(arguments)
    if not options.check:
        for name, write in pages().items():
            (options.docs / name).write_text(write(), encoding="utf-8")
        return 0
    outdated = outdated_pages(options.docs)
    for name in outdated:
        print(f"docs/{name} differs; run tools/make_docs.py", file=sys.stderr)
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
