"""Messages between the system's own processes, one JSON object a line."""

from typing import Any

import attrs
import cattrs
import orjson

__all__ = [
    "AskPlace",
    "EngineState",
    "EndPlace",
    "GrantPlace",
    "Hello",
    "MessageError",
    "PeerRow",
    "PeerStatus",
    "Ping",
    "RefusePlace",
    "RelayMessage",
    "decode_message",
    "encode_message",
]


class MessageError(Exception):
    """Report a line that is no message."""


@attrs.frozen(kw_only=True)
class Hello:
    """Open a link; ``lifetime`` differs for each start of a process."""

    name: str
    lifetime: str
    address: str
    zone: str


@attrs.frozen(kw_only=True)
class Ping:
    """Show that the sender's end of the link works; answered with the same number."""

    number: int
    answer: bool = False


@attrs.frozen(kw_only=True)
class AskPlace:
    """Ask an agent for a place at its engine; times in seconds.

    ``slots`` and ``memory_tokens`` are the engine's capacity by the configuration;
    ``asked`` is how many agents are asked for this request.
    """

    request: str
    organisation: str
    rank: int
    objective_left_s: float
    time_left_s: float
    prompt_tokens: int
    output_tokens: int
    slots: int
    memory_tokens: int
    asked: int


@attrs.frozen(kw_only=True)
class GrantPlace:
    """Give a place to a request."""

    request: str


@attrs.frozen(kw_only=True)
class RefusePlace:
    """Say that a request can't get a place here."""

    request: str


@attrs.frozen(kw_only=True)
class EndPlace:
    """Withdraw a request or give back its place."""

    request: str


@attrs.frozen(kw_only=True)
class EngineState:
    """Tell entries how loaded an engine is.

    ``waits_s`` holds for each rank from 0 the wait that a new request must expect.
    """

    used: int
    limit: int
    waiting: int
    entries: list[str]
    waits_s: list[float]


@attrs.frozen(kw_only=True)
class PeerRow:
    """Pass on a row of the store; ``value`` is base64, ``None`` when removed."""

    table: str
    key: str
    value: str | None
    version: int


@attrs.frozen(kw_only=True)
class PeerStatus:
    """Tell a peer what the sender knows.

    ``versions`` holds the newest version by table; ``admitted`` the tokens by
    organisation that the sender admitted since its start, ``running_s`` ago;
    ``demand`` the tokens a second that its callers ask; ``rows`` what the peer lacks.
    """

    name: str
    lifetime: str
    running_s: float
    versions: dict[str, int]
    wanted: list[str]
    peers: list[str]
    admitted: dict[str, float]
    demand: dict[str, float]
    rows: list[PeerRow]
    answer: bool = False


RelayMessage = (
    Hello
    | Ping
    | AskPlace
    | GrantPlace
    | RefusePlace
    | EndPlace
    | EngineState
    | PeerStatus
)

_KINDS: dict[str, Any] = {
    "hello": Hello,
    "ping": Ping,
    "ask": AskPlace,
    "grant": GrantPlace,
    "refuse": RefusePlace,
    "end": EndPlace,
    "engine": EngineState,
    "peer": PeerStatus,
}
_NAMES = {kind: name for name, kind in _KINDS.items()}
_CONVERTER = cattrs.Converter()


def encode_message(message: RelayMessage) -> bytes:
    """Encode a message as a line."""
    kind = type(message)
    body: dict[str, Any] = {}
    for field in attrs.fields(kind):
        body[field.name] = getattr(message, field.name)
    if isinstance(message, PeerStatus):
        body["rows"] = [attrs.asdict(row) for row in message.rows]
    return orjson.dumps([_NAMES[kind], body]) + b"\n"


def decode_message(line: bytes) -> RelayMessage:
    """Decode a line; raises ``MessageError``."""
    try:
        name, body = orjson.loads(line)
        return _CONVERTER.structure(body, _KINDS[name])
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise MessageError(f"unreadable message: {error!r}") from error
