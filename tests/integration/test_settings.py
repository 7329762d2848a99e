"""Guard against settings that are refused one by one, or found wrong too late."""

import asyncio
import os
import sys

import attrs
import pytest

from acaciarelay_standins.fleet import free_port

TIMEOUT_S = 20.0
ENTRY = "acaciarelay.programs.entry_main"
AGENT = "acaciarelay.programs.agent_main"


@attrs.frozen
class Ended:
    """Hold the end of a program."""

    code: int
    output: str
    errors: str


async def run(module: str, *words: str, **variables: str) -> Ended:
    """Run a program to its end."""
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
    return Ended(process.returncode or 0, output.decode(), errors.decode())


def place() -> list[str]:
    return [
        *("--id", "one", "--zone", "zone-a", "--region", "region-a"),
        *("--platform", f"127.0.0.1:{free_port()}"),
        *("--listen", f"127.0.0.1:{free_port()}"),
    ]


def valid(module: str) -> list[str]:
    if module == ENTRY:
        peer = f"127.0.0.1:{free_port()}"
        return [*place(), "--peer-listen", peer, "--operator-key", "k"]
    return [
        *place(),
        *("--http-listen", f"127.0.0.1:{free_port()}", "--pool", "shop"),
        *("--endpoint", f"127.0.0.1:{free_port()}", "--kind", "service"),
    ]


async def test_an_entry_reports_all_wrong_settings_at_once() -> None:
    """Guards against a start that stops at the first wrong setting."""
    ended = await run(
        ENTRY,
        *("--platform", "platform.example:80", "--listen", "127.0.0.1:70000"),
        *("--max-requests", "none", "--drain-delay-s=-1"),
        ACACIARELAY_CONFIG_POLL_S="0",
        ACACIARELAY_CONFIG_POL_S="2",
    )
    assert ended.code == 2
    for word in (
        *("id", "zone", "region", "platform", "listen", "peer-listen"),
        *("operator-key", "max-requests", "drain-delay-s", "config-poll-s"),
        "ACACIARELAY_CONFIG_POL_S",
    ):
        assert f"  {word}: " in ended.errors, (word, ended.errors)
    assert "11 wrong settings" in ended.errors


async def test_an_agent_reports_all_wrong_settings_at_once() -> None:
    """Guards against a start that stops at the first wrong setting."""
    ended = await run(
        AGENT,
        *valid(AGENT),
        *("--kind", "printer", "--token-limit", "0", "--stall-s", "nan"),
        *("--checks-fencing", "perhaps", "--advertise", "nowhere"),
    )
    assert ended.code == 2
    for word in ("kind", "token-limit", "stall-s", "checks-fencing", "advertise"):
        assert f"  {word}: " in ended.errors, (word, ended.errors)
    assert "5 wrong settings" in ended.errors


@pytest.mark.parametrize("module", [ENTRY, AGENT])
async def test_check_version_and_help(module: str) -> None:
    """Guards against a check that starts the program, and a help that hides flags."""
    checked, wrong, version, shown = await asyncio.gather(
        run(module, *valid(module), "--check"),
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
    """Guards against another exit code for a misspelt flag than for a wrong value."""
    unknown, missing = await asyncio.gather(
        run(module, *valid(module), "--zones", "zone-b"),
        run(module, *valid(module), "--zone"),
    )
    assert unknown.code == missing.code == 2
    assert "zones" in unknown.errors
    assert "zone" in missing.errors
