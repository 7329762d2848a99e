"""Guard against programs that a signal ends while they start."""

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from integration.platform_fleet import PlatformFleet, Program

START_TIMEOUT_S = 15.0
# A library that a program loads early, long before it handles signals.
EARLY_LIBRARY = "orjson"


def entry_settings(fleet: PlatformFleet) -> dict:
    host, port = "127.0.1.1", fleet.first_port + 20
    return fleet.settings(
        "entry-1",
        host,
        caller_address=f"{host}:{port}",
        ready_address=f"{host}:{port + 1}",
    )


def agent_settings(fleet: PlatformFleet) -> dict:
    host, port = fleet.servers["i-1"].sockets[0].getsockname()
    return fleet.settings("agent-1", host, engine_address=f"{host}:{port}")


def is_loading(program: Program) -> bool:
    assert program.process is not None
    maps = Path(f"/proc/{program.process.pid}/maps")
    return EARLY_LIBRARY in maps.read_text()


async def until(
    condition: Callable[[Program], bool], program: Program, pause_s: float
) -> None:
    """Wait until a condition holds for a program that has not ended."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition(program):
        assert program.process is not None
        assert program.process.returncode is None, "the program ended"
        assert time.monotonic() < deadline, "the program does not start"
        await asyncio.sleep(pause_s)


def is_serving(program: Program) -> bool:
    return program.serving


@pytest.mark.parametrize("settings", [entry_settings, agent_settings])
async def test_a_reload_beside_the_start_does_not_end_a_program(tmp_path, settings):
    """Guards against a fresh process that a change of the settings file ends."""
    async with PlatformFleet(tmp_path) as fleet:
        await fleet.add_runner("engine", 1)
        values = settings(fleet)
        program = Program(values["name"], values, fleet.folder)
        fleet.programs[program.name] = program
        await program.start()
        await until(is_loading, program, 0.001)
        program.process.send_signal(signal.SIGHUP)
        await until(is_serving, program, 0.05)
        program.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert program.process.returncode is None
        assert await program.stop(signal.SIGTERM) == 0
