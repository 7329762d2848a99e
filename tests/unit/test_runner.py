"""Guard against a wrong command line that ends like a failure at run time."""

import sys

import pytest

from acaciarelay.programs.runner import EXIT_SETTINGS, run_program
from acaciarelay.programs.settings import AGENT_OPTIONS


async def never(settings: object, stopper: object) -> int:
    raise AssertionError("a service must not start with wrong settings")


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["--operatorkey", "x"], "--operatorkey"),
        (["--id", "a", "--kind", "chatt"], "give one of chat, service"),
    ],
)
def test_wrong_settings_end_with_their_own_exit_code(
    arguments: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture,
) -> None:
    monkeypatch.setattr(sys, "argv", ["acaciarelay-agent", *arguments])
    code = run_program("acaciarelay-agent", "", AGENT_OPTIONS, never)
    assert code == EXIT_SETTINGS
    assert text in capsys.readouterr().err
