"""Command-line options of the tests."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the flag that writes the golden files anew."""
    parser.addoption(
        "--regenerate-golden",
        action="store_true",
        help="write the golden files from what the programs do now",
    )
