"""Commands of acaciarelayctl."""

import asyncio
import getpass
import os
import secrets
import sys
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option as CleoOption
from result import Err, Ok, Result

from acaciarelay.programs.ctl_client import AdminClient, CtlFailure, ExitCode
from acaciarelay.programs.ctl_output import (
    format_diffs,
    format_failure,
    format_history,
    format_json,
    format_schemas,
    format_status,
)
from acaciarelay.programs.options import OptionError, read_float, read_int, read_options
from acaciarelay.programs.settings import CTL_OPTIONS, KNOWN_VARIABLES
from acaciarelay.protocol.admin_api import (
    ApplyAnswer,
    GenerationAnswer,
    HistoryAnswer,
    RecordsAnswer,
    StatusAnswer,
    read_as,
)

__all__ = ["COMMANDS", "CommandResult", "CtlCommand", "quoted_path"]

WATCH_INTERVAL_S = 0.5

CommandResult = Result[str, CtlFailure]


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # A container's user may have no entry in the password database.
        return f"uid-{os.getuid()}"


def quoted_path(*parts: str) -> str:
    """Join path segments, percent-encoding each, since names may contain slashes."""
    return "".join("/" + quote(part, safe="") for part in parts)


class CtlCommand(Command):
    """Base of commands that call the administration API and print the result."""

    def __init__(self) -> None:
        super().__init__()
        self.problems: list[str] = []

    def handle(self) -> int:
        client = self.build_client()
        prepared = self.prepare()
        if self.problems or client is None:
            for problem in self.problems:
                print(problem, file=sys.stderr)
            return ExitCode.USAGE
        try:
            result = asyncio.run(self.perform(client, prepared))
        except ValueError as error:
            result = Err(CtlFailure(ExitCode.REFUSED, f"unexpected answer: {error}"))
        match result:
            case Ok(text):
                print(text)
                return ExitCode.OK
            case Err(failure):
                print(format_failure(failure), file=sys.stderr)
                return failure.exit_code

    def build_client(self) -> AdminClient | None:
        """Build a client from the settings; ``None`` if any is wrong.

        The problems of the settings are added to ``problems``.
        """
        flags: dict[str, str | None] = {}
        for declared in CTL_OPTIONS:
            given = self.option(declared.name)
            flags[declared.name] = ",".join(given) if isinstance(given, list) else given
            if given == []:
                flags[declared.name] = None
        values, problems = read_options(CTL_OPTIONS, flags, os.environ, KNOWN_VARIABLES)
        self.problems += [str(problem) for problem in problems]
        if problems:
            return None
        return AdminClient(
            values["entry"],
            values["operator_key"],
            values["request_timeout_s"],
            _user_name(),
        )

    def read_number(self, name: str, value: str | None, minimum: int = 0) -> int | None:
        """Parse a whole number; ``None`` if it is absent or invalid.

        An invalid one is added to ``problems``.
        """
        if value is None:
            return None
        try:
            return read_int(minimum, 10**15)(name, value)
        except OptionError as error:
            self.problems.append(str(error))
            return None

    def read_file(self) -> list[Any]:
        """Read records from the JSON file; add to ``problems`` if it can't be read."""
        path = self.argument("file")
        try:
            data = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
            records = orjson.loads(data)
        except (OSError, orjson.JSONDecodeError) as error:
            self.problems.append(f"{path}: {error}")
            return []
        if not isinstance(records, list):
            self.problems.append(f"{path}: the file must hold a JSON list of records")
            return []
        return records

    def prepare(self) -> Any:
        """Validate arguments and return them for ``perform``; add to ``problems``.

        No request is sent when there are problems.
        """

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        """Call the administration API and return the text to print."""
        raise NotImplementedError


class GetCommand(CtlCommand):
    name = "get"
    description = "Print a record, in the form that apply reads."
    arguments: ClassVar[list[Argument]] = [
        argument("type", "Record type."),
        argument("name", "Record name."),
    ]

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        path = quoted_path("records", self.argument("type"), self.argument("name"))
        answer = await client.call("GET", path)
        return answer.map(lambda body: format_json(body["records"]))


class ListCommand(CtlCommand):
    name = "list"
    description = "Print all records, or those of one type, in the form of apply."
    arguments: ClassVar[list[Argument]] = [argument("type", "Record type.", True)]

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        type_name = self.argument("type")
        path = quoted_path("records", type_name) if type_name else "/records"
        answer = await client.call("GET", path)
        return answer.map(lambda body: format_json(body["records"]))


class ApplyCommand(CtlCommand):
    name = "apply"
    description = "Commit the records of a file together, or none of them."
    arguments: ClassVar[list[Argument]] = [argument("file", "JSON file; - for stdin.")]
    dry_run = False

    def prepare(self) -> list[Any]:
        return self.read_file()

    async def perform(self, client: AdminClient, prepared: list[Any]) -> CommandResult:
        request = orjson.dumps({"changes": prepared, "dry_run": self.dry_run})
        answer = await client.call("POST", "/apply", request, secrets.token_hex(8))
        return answer.map(lambda body: self.describe(read_as(ApplyAnswer, body)))

    def describe(self, answer: ApplyAnswer) -> str:
        if self.dry_run or not answer.changes:
            return format_diffs(answer.changes)
        count = len(answer.changes)
        return f"generation {answer.generation}: {count} changes accepted"


class DiffCommand(ApplyCommand):
    name = "diff"
    description = "Print what apply would change, and all problems that it would meet."
    dry_run = True


class DeleteCommand(CtlCommand):
    name = "delete"
    description = "Delete a record, or one stored schema of it."
    arguments: ClassVar[list[Argument]] = [
        argument("type", "Record type."),
        argument("name", "Record name."),
        argument("revision", "Revision of the record, as printed by get."),
    ]
    options: ClassVar[list[CleoOption]] = [
        option("schema", None, "Delete only this stored schema.", flag=False)
    ]

    def prepare(self) -> str:
        revision = self.read_number("revision", self.argument("revision"))
        schema = self.read_number("schema", self.option("schema"), 1)
        query = f"revision={revision}"
        return query if schema is None else f"{query}&schema={schema}"

    async def perform(self, client: AdminClient, prepared: str) -> CommandResult:
        path = quoted_path("records", self.argument("type"), self.argument("name"))
        answer = await client.call(
            "DELETE", f"{path}?{prepared}", token=secrets.token_hex(8)
        )
        return answer.map(lambda body: f"generation {body['generation']}: deleted")


class HistoryCommand(CtlCommand):
    name = "history"
    description = "Print the latest commits, newest first."
    options: ClassVar[list[CleoOption]] = [
        option("limit", None, "Number of commits.", flag=False, default="20"),
        option("before", None, "Only commits below this generation.", flag=False),
        option("json", None, "Print JSON with the records before and after."),
    ]

    def prepare(self) -> str:
        limit = self.read_number("limit", self.option("limit"), 1)
        before = self.read_number("before", self.option("before"), 1)
        return f"limit={limit}" + ("" if before is None else f"&before={before}")

    async def perform(self, client: AdminClient, prepared: str) -> CommandResult:
        answer = await client.call("GET", f"/history?{prepared}")
        if self.option("json"):
            return answer.map(lambda body: format_json(body["entries"]))
        return answer.map(
            lambda body: format_history(read_as(HistoryAnswer, body).entries)
        )


class WatchCommand(CtlCommand):
    name = "watch"
    description = "Wait until a generation is in force in all known processes."
    arguments: ClassVar[list[Argument]] = [
        argument("generation", "Generation; the entry's own by default.", True)
    ]
    options: ClassVar[list[CleoOption]] = [
        option("timeout-s", None, "Longest wait in s.", flag=False, default="30")
    ]

    def prepare(self) -> tuple[int | None, float]:
        target = self.read_number("generation", self.argument("generation"))
        timeout_s = 0.0
        try:
            timeout_s = read_float(0, 86_400)("timeout-s", self.option("timeout-s"))
        except OptionError as error:
            self.problems.append(str(error))
        return target, timeout_s

    async def perform(
        self, client: AdminClient, prepared: tuple[int | None, float]
    ) -> CommandResult:
        target, timeout_s = prepared
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            failure = CtlFailure(ExitCode.WATCH_TIMEOUT, "timed out")
            match await client.call("GET", "/generation"):
                case Err(error):
                    if error.exit_code is not ExitCode.NO_CONNECTION:
                        return Err(error)
                    failure = error
                case Ok(body):
                    answer = read_as(GenerationAnswer, body)
                    target = answer.generation if target is None else target
                    lagging = _lagging_processes(answer, target)
                    if not lagging:
                        return Ok(f"generation {target} is in force everywhere")
                    message = (
                        f"timed out; below generation {target}: {' '.join(lagging)}"
                    )
                    failure = CtlFailure(ExitCode.WATCH_TIMEOUT, message)
            if loop.time() >= deadline:
                return Err(failure)
            await asyncio.sleep(min(WATCH_INTERVAL_S, deadline - loop.time()))


def _lagging_processes(answer: GenerationAnswer, target: int) -> list[str]:
    lagging = [
        item.id if item.connected else f"{item.id} (disconnected)"
        for item in answer.processes
        if item.generation < target
    ]
    return lagging if answer.generation >= target else ["this entry", *lagging]


class DrainCommand(CtlCommand):
    name = "drain"
    description = "Let an endpoint finish its work and take no more."
    arguments: ClassVar[list[Argument]] = [argument("endpoint", "Endpoint name.")]

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        path = quoted_path("endpoints", self.argument("endpoint"), self.name)
        answer = await client.call("POST", path, token=secrets.token_hex(8))
        return answer.map(
            lambda body: f"generation {body['generation']}: {self.name} accepted"
        )


class ActivateCommand(DrainCommand):
    name = "activate"
    description = "Let a draining endpoint take work again."


class StatusCommand(CtlCommand):
    name = "status"
    description = "Print the state of all entries and agents."
    options: ClassVar[list[CleoOption]] = [option("json", None, "Print JSON.")]

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        answer = await client.call("GET", "/status")
        if self.option("json"):
            return answer.map(format_json)
        return answer.map(
            lambda body: format_status(read_as(StatusAnswer, body).processes)
        )


class SchemaStatusCommand(CtlCommand):
    name = "schema-status"
    description = (
        "Print the schemas of stored records and who does not understand them."
    )

    async def perform(self, client: AdminClient, prepared: Any) -> CommandResult:
        records = await client.call("GET", "/records")
        status = await client.call("GET", "/status")
        return records.and_then(
            lambda records_body: status.map(
                lambda status_body: format_schemas(
                    read_as(RecordsAnswer, records_body).records,
                    read_as(StatusAnswer, status_body).processes,
                )
            )
        )


COMMANDS: list[type[CtlCommand]] = [
    GetCommand,
    ListCommand,
    DiffCommand,
    ApplyCommand,
    DeleteCommand,
    HistoryCommand,
    WatchCommand,
    DrainCommand,
    ActivateCommand,
    StatusCommand,
    SchemaStatusCommand,
]
