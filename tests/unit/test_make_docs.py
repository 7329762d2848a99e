"""Guard against reference pages that are out of date with the code."""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SPEC = importlib.util.spec_from_file_location("make_docs", ROOT / "tools/make_docs.py")
assert SPEC is not None and SPEC.loader is not None
make_docs = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(make_docs)


@pytest.mark.parametrize("name", ["result-codes.md", "settings.md"])
def test_a_page_that_differs_fails_the_check(tmp_path: Path, name: str) -> None:
    arguments = ["--docs", str(tmp_path)]
    assert make_docs.main([*arguments, "--check"]) == 1
    assert make_docs.main(arguments) == 0
    assert make_docs.main([*arguments, "--check"]) == 0
    page = tmp_path / name
    page.write_text(page.read_text() + "x")
    assert make_docs.main([*arguments, "--check"]) == 1


def test_a_bar_in_a_cell_does_not_split_it() -> None:
    assert make_docs.table(["a"], [["b|c"]]).splitlines()[2] == "| b\\|c |"
