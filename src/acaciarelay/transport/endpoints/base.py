"""Base class of endpoint adapters, with the types of their interface."""

import abc
import enum
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Protocol

import attrs
from result import Result

from acaciarelay.protocol.codes import CODES, Outcome
from acaciarelay.transport.http_client import ClientLimits, HttpError

__all__ = [
    "IDEMPOTENT_COMMANDS",
    "AnswerSink",
    "CommandKind",
    "EndpointAdapter",
    "EndpointCall",
    "EndpointLimits",
    "EndpointLoad",
    "EngineCommand",
    "Header",
    "RunResult",
]

Header = tuple[str, str]


@attrs.frozen(kw_only=True)
class EndpointLimits:
    """Time limits of runs, probes and commands, in seconds.

    ``first_answer_s`` limits two waits of a run: from the end of the request body to
    the head of the answer, which includes the endpoint's own queue, and from the head
    to the first progress. ``stall_s`` limits each later time without progress, and each
    wait for the endpoint to accept a piece of the request. Progress is a ``data`` line
    of a chat engine's event stream, but not a keep-alive comment; in any other answer
    it is any data. Time spent in the sink does not count. ``probe_timeout_s`` limits
    each wait of a probe to send or receive data, and those of a command except
    ``command_timeout_s``, the time to the head of its answer, which includes the load
    of a model.
    """

    connect_timeout_s: float = 2.0
    first_answer_s: float = 60.0
    stall_s: float = 10.0
    probe_timeout_s: float = 2.0
    command_timeout_s: float = 60.0

    @property
    def for_runs(self) -> ClientLimits:
        return ClientLimits(
            connect_timeout_s=self.connect_timeout_s,
            head_timeout_s=self.first_answer_s,
            read_timeout_s=self.first_answer_s,
            write_timeout_s=self.stall_s,
        )

    @property
    def for_probes(self) -> ClientLimits:
        return ClientLimits(
            connect_timeout_s=self.connect_timeout_s,
            head_timeout_s=self.probe_timeout_s,
            read_timeout_s=self.probe_timeout_s,
            write_timeout_s=self.probe_timeout_s,
        )

    @property
    def for_commands(self) -> ClientLimits:
        return ClientLimits(
            connect_timeout_s=self.connect_timeout_s,
            head_timeout_s=self.command_timeout_s,
            read_timeout_s=self.probe_timeout_s,
            write_timeout_s=self.probe_timeout_s,
        )


@attrs.frozen
class EndpointCall:
    """Head of a call; ``path`` includes the query, ``body_length`` is in bytes."""

    method: str
    path: str
    headers: list[Header]
    body_length: int


class AnswerSink(Protocol):
    """Receiver of an answer; each call returns once there is room for more."""

    async def head(self, status: int, headers: Sequence[Header]) -> None:
        """Receive the status and the headers."""

    async def chunk(self, data: bytes) -> None:
        """Receive a piece of the body."""


@attrs.frozen(kw_only=True)
class RunResult:
    """Result of a run.

    ``sent`` is false only when no byte reached the endpoint. ``code`` is 0 for a
    complete answer of any HTTP status, else a result code. Token counts are 0 when
    unknown. ``first_token_s`` counts from the end of the request body;
    ``inter_token_s`` is the mean time between tokens. Both are ``None`` when unknown,
    and ``inter_token_s`` also when waiting for a slow sink lengthened it.
    """

    sent: bool
    code: int
    outcome: Outcome
    detail: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    first_token_s: float | None = None
    inter_token_s: float | None = None

    @classmethod
    def completed(cls) -> "RunResult":
        return cls(sent=True, code=0, outcome=Outcome.RAN)

    @classmethod
    def failed(cls, code_name: str, sent: bool, detail: str) -> "RunResult":
        """Build a result from a code's name; raises ``KeyError`` for an unknown one."""
        code = CODES[code_name]
        return cls(sent=sent, code=code.number, outcome=code.outcome, detail=detail)


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """Load that an endpoint reports, possibly with a lag.

    ``running`` and ``waiting`` count requests, ``tokens`` the prompt and answer tokens
    of the running ones.
    """

    running: int = 0
    waiting: int = 0
    tokens: int = 0


class CommandKind(enum.StrEnum):
    """Kinds of engine commands, all of them idempotent."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


# Commands that may be sent to an engine that ignores fencing tokens; all kinds at
# present.
IDEMPOTENT_COMMANDS = frozenset(CommandKind)


@attrs.frozen
class EngineCommand:
    """Command to an engine.

    ``target`` names the model, adapter, version or role that the command sets.
    ``token`` is the fencing token of the endpoint's lease.
    """

    kind: CommandKind
    target: str
    token: int


class EndpointAdapter(abc.ABC):
    """Base class of the adapters to one endpoint; each kind has a subclass."""

    kind: str

    def __init__(self, address: str, limits: EndpointLimits | None = None) -> None:
        self.address = address
        self.limits = limits or EndpointLimits()

    @abc.abstractmethod
    async def run(
        self, call: EndpointCall, body: AsyncIterator[bytes], sink: AnswerSink
    ) -> RunResult:
        """Run one call and pass its answer on.

        Cancelling the task closes the connection to the endpoint. So does an exception
        from ``body`` or ``sink``, which is then raised again.
        """

    @abc.abstractmethod
    async def probe(self) -> Result[EndpointLoad, HttpError]:
        """Read the endpoint's load; success also shows that it is up."""

    @abc.abstractmethod
    async def command(
        self, command: EngineCommand, may_send: Callable[[], bool] | None = None
    ) -> Result[None, HttpError]:
        """Send a command; ``NOT_SENT`` and ``REFUSED`` mean that it had no effect.

        ``may_send`` is called immediately before the first byte is written; if it
        returns false, nothing is sent.
        """
