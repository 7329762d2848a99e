"""Command-line options of the tests."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the flag that writes the golden files anew."""
    parser.addoption(
        "--regenerate-golden",
        action="store_true",
        help="write the golden files from what the programs do now",
    )


def known_red() -> dict[str, str]:
    """Read the tests that may fail, with the reason, from KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        name, separator, reason = line.partition(" | ")
        if separator and not line.startswith("#"):
            entries[name.strip()] = reason
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let CI pass over the listed tests and print them; nothing else may fail."""
    entries = known_red()
    for item in items:
        reason = entries.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
