"""Guard against invalid settings reported with the exit code of a run-time failure."""

import sys

import pytest

from acaciarelay.programs.settings import AGENT_OPTIONS
from acaciarelay.programs.startup import EXIT_SETTINGS, run_program


async def unexpected_main(settings: object, stop_signal: object) -> int:
    raise AssertionError("a program must not start with invalid settings")


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["--operatorkey", "x"], "--operatorkey"),
        (["--id", "a", "--kind", "chatt"], "give one of chat, service"),
    ],
)
def test_invalid_settings_end_with_their_own_exit_code(
    arguments: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture,
) -> None:
    monkeypatch.setattr(sys, "argv", ["acaciarelay-agent", *arguments])
    code = run_program("acaciarelay-agent", "", AGENT_OPTIONS, unexpected_main)
    assert code == EXIT_SETTINGS
    assert text in capsys.readouterr().err
