"""Guard against wrong settings that are reported one by one or only after the start."""

import asyncio
import os
import sys

import attrs
import pytest

from acaciarelay_standins.ports import free_port

TIMEOUT_S = 20.0
ENTRY = "acaciarelay.programs.entry_main"
AGENT = "acaciarelay.programs.agent_main"


@attrs.frozen
class ProgramResult:
    """The exit code and the output of a program."""

    code: int
    output: str
    errors: str


async def run(module: str, *words: str, **variables: str) -> ProgramResult:
    """Run a program until it exits."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("ACACIARELAY_")
    }
    environment |= {"PYTHONPATH": os.pathsep.join(sys.path), **variables}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", module, *words),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            output, errors = await process.communicate()
    except TimeoutError:
        process.kill()
        raise
    return ProgramResult(process.returncode or 0, output.decode(), errors.decode())


def common_flags() -> list[str]:
    return [
        *("--id", "one", "--zone", "zone-a", "--region", "region-a"),
        *("--platform", f"127.0.0.1:{free_port()}"),
        *("--listen", f"127.0.0.1:{free_port()}"),
    ]


def valid_flags(module: str) -> list[str]:
    if module == ENTRY:
        peer = f"127.0.0.1:{free_port()}"
        return [*common_flags(), "--peer-listen", peer, "--operator-key", "k"]
    return [
        *common_flags(),
        *("--http-listen", f"127.0.0.1:{free_port()}", "--pool", "shop"),
        *("--endpoint", f"127.0.0.1:{free_port()}", "--kind", "service"),
    ]


async def test_an_entry_reports_all_wrong_settings_at_once() -> None:
    """Guards against a start that stops at the first wrong setting."""
    result = await run(
        ENTRY,
        *("--platform", "platform.example:80", "--listen", "127.0.0.1:70000"),
        *("--max-requests", "none", "--drain-delay-s=-1"),
        ACACIARELAY_CONFIG_POLL_S="0",
        ACACIARELAY_CONFIG_POL_S="2",
    )
    assert result.code == 2
    for word in (
        *("id", "zone", "region", "platform", "listen", "peer-listen"),
        *("operator-key", "max-requests", "drain-delay-s", "config-poll-s"),
        "ACACIARELAY_CONFIG_POL_S",
    ):
        assert f"  {word}: " in result.errors, (word, result.errors)
    assert "11 wrong settings" in result.errors


async def test_an_agent_reports_all_wrong_settings_at_once() -> None:
    """Guards against a start that stops at the first wrong setting."""
    result = await run(
        AGENT,
        *valid_flags(AGENT),
        *("--kind", "printer", "--token-limit", "0", "--stall-s", "nan"),
        *("--checks-fencing", "perhaps", "--advertise", "nowhere"),
    )
    assert result.code == 2
    for word in ("kind", "token-limit", "stall-s", "checks-fencing", "advertise"):
        assert f"  {word}: " in result.errors, (word, result.errors)
    assert "5 wrong settings" in result.errors


@pytest.mark.parametrize("module", [ENTRY, AGENT])
async def test_check_version_and_help(module: str) -> None:
    """Guards against --check that starts the program, and --help without its flags."""
    checked, wrong, version, shown = await asyncio.gather(
        run(module, *valid_flags(module), "--check"),
        run(module, "--check"),
        run(module, "--version"),
        run(module, "--help"),
    )
    assert checked.code == 0
    assert "valid" in checked.output
    assert wrong.code == 2
    assert "--platform" in wrong.errors
    assert version.code == 0
    assert "0.1.0" in version.output
    assert shown.code == 0
    for word in ("--platform", "--listen", "--check", "ACACIARELAY_ZONE"):
        assert word in shown.output


@pytest.mark.parametrize("module", [ENTRY, AGENT])
async def test_an_unknown_flag_is_a_wrong_setting(module: str) -> None:
    """Guards against different exit codes for a misspelt flag and a wrong value."""
    unknown, missing = await asyncio.gather(
        run(module, *valid_flags(module), "--zones", "zone-b"),
        run(module, *valid_flags(module), "--zone"),
    )
    assert unknown.code == missing.code == 2
    assert "zones" in unknown.errors
    assert "zone" in missing.errors
