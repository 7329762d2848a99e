"""Guard against worked examples on the operations page with outdated output."""

import re
import shlex
from pathlib import Path

import pytest

from acaciarelay.programs.ctl_main import main

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
EXAMPLE_PATTERN = re.compile(
    r"```sh explain\n(.*?)\n```\n\n```text\n(.*?)\n```", re.DOTALL
)
EXAMPLES = EXAMPLE_PATTERN.findall(PAGE)


def test_page_has_three_examples():
    assert len(EXAMPLES) == 3


@pytest.mark.parametrize(("command", "output"), EXAMPLES)
def test_example_prints_the_output_on_the_page(command, output, capsys, monkeypatch):
    monkeypatch.chdir(ROOT)
    program, *arguments = shlex.split(command)
    assert program == "acaciarelayctl"
    assert main(arguments) == 0
    assert capsys.readouterr().out.rstrip() == output.rstrip()
