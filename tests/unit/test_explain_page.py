"""Guard against walks on the operations page that don't hold."""

import re
import shlex
from pathlib import Path

import pytest

from acaciarelay.programs.ctl_main import main

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
WALK = re.compile(r"```sh explain\n(.*?)\n```\n\n```text\n(.*?)\n```", re.DOTALL)
WALKS = WALK.findall(PAGE)


def test_page_has_three_walks():
    assert len(WALKS) == 3


@pytest.mark.parametrize(("command", "output"), WALKS)
def test_walk_prints_what_the_page_shows(command, output, capsys, monkeypatch):
    monkeypatch.chdir(ROOT)
    program, *arguments = shlex.split(command)
    assert program == "acaciarelayctl"
    assert main(arguments) == 0
    assert capsys.readouterr().out.rstrip() == output.rstrip()
