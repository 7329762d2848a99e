"""Program start: read the settings, then run the program until it is stopped."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option as cleo_option

from acaciarelay.programs.options import Option, read_options
from acaciarelay.programs.settings import KNOWN_VARIABLES

__all__ = ["EXIT_SETTINGS", "Settings", "StopSignal", "run_program"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
VERSION = "0.1.0"


class Settings:
    """The values of a program's options, as attributes."""

    def __init__(self, values: dict[str, Any]) -> None:
        self.__dict__.update(values)

    def __getattr__(self, name: str) -> Any:
        raise AttributeError(f"no such setting: {name}")


class StopSignal:
    """Signals the program that SIGTERM or SIGINT was received."""

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.requested.set)

    async def wait(self) -> None:
        """Wait until a stop is requested."""
        await self.requested.wait()


ProgramMain = Callable[[Settings, StopSignal], Awaitable[int]]


class _SingleCommand(Application):
    """An application whose only command is not named on the command line."""

    def __init__(self, command: Command) -> None:
        super().__init__(command.name or "", VERSION)
        self.add(command)
        self._default_command = command.name or ""
        self._single_command = True


def run_program(
    name: str, description: str, options: list[Option], main: ProgramMain
) -> int:
    """Run a program with the given options; return its exit code."""
    command = build_command(name, description, options, main)
    application = _SingleCommand(command)
    application.auto_exits(False)
    application.catch_exceptions(False)
    try:
        return application.run()
    except CleoError as error:
        print(f"{name}: {error}; see --help", file=sys.stderr)
        return EXIT_SETTINGS


def build_command(
    program: str, text: str, options: list[Option], main: ProgramMain
) -> Command:
    """Build the command line of a program from its option table."""
    command_options = [
        cleo_option(option.name, None, describe_option(option), flag=False)
        for option in options
    ]
    command_options.append(cleo_option("check", None, "Check the settings and exit."))

    class ProgramCommand(Command):
        name = program
        description = text

        def handle(self) -> int:
            raw = {option.name: self.option(option.name) for option in options}
            values, problems = read_options(options, raw, os.environ, KNOWN_VARIABLES)
            if problems:
                count = len(problems)
                print(f"{program}: {count} wrong settings:", file=sys.stderr)
                for problem in problems:
                    print(f"  {problem}", file=sys.stderr)
                return EXIT_SETTINGS
            if self.option("check"):
                print(f"{program}: the settings are valid")
                return EXIT_OK
            return asyncio.run(run_main(main, Settings(values)))

    ProgramCommand.options = command_options
    return ProgramCommand()


def describe_option(option: Option) -> str:
    """Build the help text of an option with its variable, unit and default."""
    parts = [option.help, f"Variable {option.variable}."]
    if option.unit:
        parts.append(f"Unit: {option.unit}.")
    parts.append(f"Default: {option.default}." if option.default else "Required.")
    return " ".join(parts)


async def run_main(main: ProgramMain, settings: Settings) -> int:
    """Run the program; report an ``OSError`` that ends it, at its start or later."""
    try:
        return await main(settings, StopSignal())
    except OSError as error:
        print(f"can't start: {error}", file=sys.stderr)
        return EXIT_FAILED
