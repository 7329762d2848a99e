"""Client of the administration API that tries several entries."""

import enum
from collections.abc import Sequence
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.admin_api import VersionConflict, read_as
from acaciarelay.protocol.codes import CODES, Outcome
from acaciarelay.transport.http_client import (
    ClientLimits,
    FetchedResponse,
    HttpError,
    HttpFault,
    fetch,
)

__all__ = ["AdminClient", "CtlFailure", "ExitCode"]

CONNECT_TIMEOUT_S = 2.0

_ADVICE_BY_NUMBER = {code.number: code.advice for code in CODES.values()}


class ExitCode(enum.IntEnum):
    """Exit codes of the command line program."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_CONNECTION = 3
    CONFLICT = 4
    WATCH_TIMEOUT = 5


@attrs.frozen
class CtlFailure:
    """A failed command, with what is printed about it.

    ``not_run`` is true when the entry reports that the request was not run.
    """

    exit_code: ExitCode
    message: str
    problems: list[str] = attrs.field(factory=list)
    conflicts: list[VersionConflict] = attrs.field(factory=list)
    not_run: bool = False


def _read_failure(answer: FetchedResponse) -> CtlFailure:
    try:
        error = orjson.loads(answer.body)["error"]
        number, message = int(error["code"]), str(error["message"])
        conflicts = read_as(list[VersionConflict], error.get("conflicts", []))
        problems = [str(problem) for problem in error.get("problems", [])]
        not_run = error["outcome"] == Outcome.NOT_RUN
    except (KeyError, TypeError, ValueError):
        message = f"the answer has status {answer.status} and no result code"
        return CtlFailure(ExitCode.REFUSED, message)
    is_conflict = number == CODES["record_conflict"].number
    exit_code = ExitCode.CONFLICT if is_conflict else ExitCode.REFUSED
    if problems and number in _ADVICE_BY_NUMBER:
        # The message repeats the problems, which are printed one per line.
        message = _ADVICE_BY_NUMBER[number]
    return CtlFailure(exit_code, f"{number}: {message}", problems, conflicts, not_run)


class AdminClient:
    """Client that tries the entries in order until one answers.

    ``timeout_s`` bounds the wait for each entry.
    """

    def __init__(
        self, entries: Sequence[str], operator_key: str, timeout_s: float, operator: str
    ) -> None:
        self.entries = entries
        self.headers = [
            ("authorization", f"Bearer {operator_key}"),
            ("acaciarelay-operator", operator),
        ]
        self.limits = ClientLimits(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            head_timeout_s=timeout_s,
            read_timeout_s=timeout_s,
        )

    async def call(
        self, method: str, path: str, body: bytes = b"", token: str = ""
    ) -> Result[Any, CtlFailure]:
        """Send a request and return the decoded JSON of the answer.

        Errors: the refusal of an entry, or no connection to any of them. ``token`` is
        an idempotency token: a change that is sent to a second entry after a lost
        answer takes effect only once.
        """
        headers = [*self.headers, ("acaciarelay-token", token)]
        refusal: CtlFailure | None = None
        errors: list[str] = []
        possibly_sent = False
        for entry in self.entries:
            match await fetch(
                entry, method, "/admin/v1" + path, headers, body, self.limits
            ):
                case Err(HttpError() as error):
                    errors.append(f"{entry}: {error.detail}")
                    possibly_sent = (
                        possibly_sent or error.fault is not HttpFault.NOT_SENT
                    )
                case Ok(answer) if answer.status == 200:
                    return _read_json(answer)
                case Ok(answer):
                    refusal = _read_failure(answer)
                    # Another entry may be ready or have access to the platform.
                    if answer.status != 503 or not refusal.not_run:
                        return Err(refusal)
        if refusal is not None and not possibly_sent:
            return Err(refusal)
        if possibly_sent and method != "GET":
            errors.append("the change may have taken effect; see the history")
        message = "no entry answers: " + "; ".join(errors)
        return Err(CtlFailure(ExitCode.NO_CONNECTION, message))


def _read_json(answer: FetchedResponse) -> Result[Any, CtlFailure]:
    try:
        return Ok(orjson.loads(answer.body))
    except orjson.JSONDecodeError:
        return Err(CtlFailure(ExitCode.REFUSED, "the answer is not JSON"))
