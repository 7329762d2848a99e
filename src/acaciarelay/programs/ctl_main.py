"""Run acaciarelayctl, the operator's command line."""

import importlib.metadata
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from acaciarelay.programs.ctl_claims import CLAIM_COMMANDS
from acaciarelay.programs.ctl_client import ExitCode
from acaciarelay.programs.ctl_commands import COMMANDS
from acaciarelay.programs.ctl_explain import ExplainCommand
from acaciarelay.programs.ctl_output import format_table
from acaciarelay.programs.settings import CTL_OPTIONS

__all__ = ["main", "overview"]

PROGRAM = "acaciarelayctl"
ALL_COMMANDS: list[type[Command]] = [*COMMANDS, *CLAIM_COMMANDS, ExplainCommand]

EXIT_CODES = [
    (ExitCode.OK, "done"),
    (ExitCode.REFUSED, "refused by the server"),
    (ExitCode.USAGE, "wrong usage or settings"),
    (ExitCode.NO_CONNECTION, "no connection to any entry"),
    (ExitCode.CONFLICT, "another change came first"),
    (ExitCode.WATCH_TIMEOUT, "watch timed out"),
]


def overview() -> str:
    """Return the help text: all commands, settings and exit codes."""
    commands = [(f"  {item.name}", item.description) for item in ALL_COMMANDS]
    settings = [
        (
            f"  {item.flag}",
            item.variable,
            item.help,
            _format_default(item.default, item.unit),
        )
        for item in CTL_OPTIONS
    ]
    exits = [(f"  {code.value}", meaning) for code, meaning in EXIT_CODES]
    return "\n\n".join(
        [
            f"Usage: {PROGRAM} [SETTINGS] COMMAND [ARGUMENTS]\n"
            f"       {PROGRAM} COMMAND --help\n"
            f"       {PROGRAM} --version",
            format_table(("Commands:", ""), commands),
            format_table(("Settings:", "Variable", "Meaning", "Default"), settings),
            format_table(("Exit codes:", ""), exits),
        ]
    )


def _format_default(default: str | None, unit: str) -> str:
    return "(required)" if default is None else f"{default} {unit}".strip()


def _build_application() -> Application:
    application = Application(PROGRAM, importlib.metadata.version("acaciarelay"))
    application.auto_exits(False)
    application.catch_exceptions(False)
    for declared in CTL_OPTIONS:
        application.definition.add_option(
            option(
                declared.name,
                None,
                f"{declared.help} Variable: {declared.variable}.",
                flag=False,
                multiple=declared.name == "entry",
            )
        )
    for command in ALL_COMMANDS:
        application.add(command())
    return application


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = sys.argv[1:] if arguments is None else arguments
    if given in (["--help"], ["-h"], ["help"]):
        print(overview())
        return ExitCode.OK
    if not given:
        print(overview(), file=sys.stderr)
        return ExitCode.USAGE
    try:
        return _build_application().run(ArgvInput([PROGRAM, *given]))
    except CleoError as error:
        print(f"{error}\nSee {PROGRAM} --help.", file=sys.stderr)
        return ExitCode.USAGE


if __name__ == "__main__":
    sys.exit(main())
