"""Command-line options of the tests, and the ports of each test worker."""

import gc
import os
from collections.abc import Iterator
from pathlib import Path

# Hypothesis imports this within a test, where parsing it fails on Python 3.11 if a
# finalizer runs meanwhile (SystemError of the AST constructor).
import hypothesis.internal.conjecture.optimiser  # noqa: F401
import pytest
from hypothesis import settings

from acaciarelay_standins.ports import PORTS_VARIABLE, worker_ports

# How long an example takes depends on the load of the machine.
settings.register_profile("no_deadline", deadline=None)
settings.load_profile("no_deadline")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

os.environ[PORTS_VARIABLE] = worker_ports(
    os.environ.get("PYTEST_XDIST_WORKER", ""),
    int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1")),
)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that regenerates the golden files."""
    parser.addoption(
        "--regenerate-golden",
        action="store_true",
        help="write the golden files from what the programs do now",
    )


@pytest.fixture(autouse=True)
def finalize_what_is_left() -> Iterator[None]:
    """Let a connection that a test leaves open fail that test and no later one.

    Its finalizer raises an error once its event loop is closed, and one that runs
    while Python parses source code makes that fail too.
    """
    yield
    gc.collect()


def known_red() -> dict[str, str]:
    """Return the reason by test id from KNOWN-RED.txt, the list of known failures."""
    if not KNOWN_RED.exists():
        return {}
    reasons = {}
    for line in KNOWN_RED.read_text().splitlines():
        name, separator, reason = line.partition(" | ")
        if separator and not line.startswith("#"):
            reasons[name.strip()] = reason
    return reasons


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect failures of the listed tests; CI prints them and accepts no others."""
    reasons = known_red()
    for item in items:
        reason = reasons.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
