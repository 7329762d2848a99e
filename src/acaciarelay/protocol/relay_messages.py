"""Messages between the system's own processes, one JSON array a line.

An array holds the kind and then the fields in the order of the class, without their
names, since most of the traffic between processes is small messages.
"""

from typing import Any

import attrs
import cattrs
import orjson

__all__ = [
    "AskPlace",
    "EngineState",
    "EndPlace",
    "EntryList",
    "GrantPlace",
    "Heartbeat",
    "Hello",
    "MessageError",
    "PeerRow",
    "PeerRows",
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
class Heartbeat:
    """Show that the sender lives when it has nothing else to say."""


@attrs.frozen(kw_only=True)
class Ping:
    """Measure the round trip; answered with the same number."""

    number: int
    answer: bool = False


@attrs.frozen(kw_only=True)
class AskPlace:
    """Ask an agent for a place at its engine; times in seconds.

    ``wait_s`` is how long the request may wait for a place; ``late`` tells that it
    can't be on time any more. ``slots`` is the engine's capacity by the configuration,
    and ``asked`` is how many agents are asked for this request.
    """

    request: str
    organisation: str
    rank: int
    late: bool
    wait_s: float
    time_left_s: float
    prompt_tokens: int
    output_tokens: int
    slots: int
    asked: int


@attrs.frozen(kw_only=True)
class GrantPlace:
    """Give a place to a request."""

    request: str


@attrs.frozen(kw_only=True)
class RefusePlace:
    """Say that a request would most likely get no place here in time."""

    request: str


@attrs.frozen(kw_only=True)
class EndPlace:
    """Withdraw a request or give back its place.

    ``first_s`` is the time in seconds from sending the request to the first event of
    its answer, ``stream_s`` the time from there to the end; both are 0 where there was
    no whole answer.
    """

    request: str
    first_s: float = 0.0
    stream_s: float = 0.0


@attrs.frozen(kw_only=True)
class EngineState:
    """Tell entries how loaded and how fast an engine is.

    ``waits_s`` holds the wait for a place in seconds that a new request must expect,
    for each rank from 0; the last one also holds for all ranks after it. ``first_s``
    and ``token_s`` are those of ``EngineSpeed``.
    """

    waits_s: list[float]
    first_s: float = 0.0
    token_s: float = 0.0


@attrs.frozen(kw_only=True)
class EntryList:
    """Tell entries the addresses of all entries that have a link to this agent."""

    entries: list[str]


@attrs.frozen(kw_only=True)
class PeerRow:
    """Pass on a row of the store; ``value`` is base64, ``None`` when removed."""

    table: str
    key: str
    value: str | None
    version: int


@attrs.frozen(kw_only=True)
class PeerStatus:
    """Tell a peer what the sender knows, as far as it changed since the last status.

    ``versions`` holds the newest version by table and ``wanted`` the tables of which
    the peer may pass on newer rows. ``admitted`` holds the tokens by organisation that
    the sender admitted since its start, ``running_s`` ago, and ``demand`` the tokens a
    second that its callers ask; an organisation left out has the values told before.
    ``peers`` are addresses of entries, empty when they are as told before.
    """

    running_s: float
    versions: dict[str, int]
    wanted: list[str]
    peers: list[str]
    admitted: dict[str, float]
    demand: dict[str, float]


@attrs.frozen(kw_only=True)
class PeerRows:
    """Pass on rows that a peer lacks; ``versions`` holds the newest by table."""

    versions: dict[str, int]
    rows: list[PeerRow]


RelayMessage = (
    Hello
    | Heartbeat
    | Ping
    | AskPlace
    | GrantPlace
    | RefusePlace
    | EndPlace
    | EngineState
    | EntryList
    | PeerStatus
    | PeerRows
)

_KINDS: dict[str, Any] = {
    "hello": Hello,
    "beat": Heartbeat,
    "ping": Ping,
    "ask": AskPlace,
    "grant": GrantPlace,
    "refuse": RefusePlace,
    "end": EndPlace,
    "engine": EngineState,
    "entries": EntryList,
    "peer": PeerStatus,
    "rows": PeerRows,
}
_NAMES = {kind: name for name, kind in _KINDS.items()}
_FIELDS = {
    kind: [field.name for field in attrs.fields(kind)] for kind in _KINDS.values()
}
_CONVERTER = cattrs.Converter(detailed_validation=False)
# Several times faster than the library's own hooks, for the most frequent fields.
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, float],
    lambda value, _: {name: float(number) for name, number in value.items()},
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == list[float],
    lambda value, _: [float(number) for number in value],
)


def encode_message(message: RelayMessage) -> bytes:
    """Encode a message as a line."""
    kind = type(message)
    values = [getattr(message, name) for name in _FIELDS[kind]]
    return orjson.dumps([_NAMES[kind], *values], default=attrs.asdict) + b"\n"


def decode_message(line: bytes) -> RelayMessage:
    """Decode a line; raises ``MessageError``."""
    try:
        name, *values = orjson.loads(line)
        kind = _KINDS[name]
        body = dict(zip(_FIELDS[kind], values, strict=False))
        return _CONVERTER.structure(body, kind)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        cattrs.BaseValidationError,
    ) as error:
        raise MessageError(f"unreadable message: {error!r}") from error
