"""Messages on the links between processes (entries and agents), one JSON array a line.

The array holds the message kind and then the field values in the order in which the
class defines them. Field names are not sent, since they would make up most of the bytes
of the many small messages. The order of the fields is therefore part of the protocol.

``relay_entry`` and ``relay_agent`` use these links; ``entry_main`` and ``agent_main``
exchange the messages of ``relay.proto``.
"""

from typing import Any

import attrs
import cattrs
import orjson

from acaciarelay.coordination.prompt_chain import PromptChain
from acaciarelay.coordination.prompt_parts import PromptParts
from acaciarelay.protocol.crash_messages import (
    BrokenRun,
    CrashRecord,
    CrashReport,
    decode_crash,
    encode_benign,
    encode_crash,
)
from acaciarelay.protocol.prompt_codec import (
    decode_chain,
    decode_parts,
    encode_chain,
    encode_parts,
)
from acaciarelay.protocol.rollout_messages import RolloutCounts, RolloutPermission
from acaciarelay.protocol.slot_messages import (
    EngineState,
    SlotGrant,
    SlotMessage,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
)
from acaciarelay.protocol.stream_messages import (
    StreamFound,
    StreamLookup,
    StreamMessage,
    StreamStarted,
)

__all__ = [
    "BrokenRun",
    "CrashRecord",
    "CrashReport",
    "EngineState",
    "EntryList",
    "EntryUsage",
    "Heartbeat",
    "Hello",
    "LinkMessage",
    "MessageError",
    "PeerRow",
    "PeerRows",
    "PeerStatus",
    "Ping",
    "RolloutCounts",
    "RolloutPermission",
    "SlotGrant",
    "SlotMessage",
    "SlotRefusal",
    "SlotRelease",
    "SlotRequest",
    "StreamFound",
    "StreamLookup",
    "StreamMessage",
    "StreamStarted",
    "TableVersions",
    "ZoneUsage",
    "decode_message",
    "encode_message",
]


class MessageError(Exception):
    """Raised for a line that can't be decoded as a message."""


@attrs.frozen(kw_only=True)
class Hello:
    """Opens a link; ``lifetime`` identifies the incarnation of the sender.

    ``gathers_usage`` is true when the sender understands ``ZoneUsage`` and
    ``TableVersions``, ``orders_eras`` when it understands the store's eras, and
    ``digests_parts`` when it understands ``BrokenRun`` and ``CrashReport``.
    ``reports_crashes`` is true when it understands an earlier form of these, which no
    current process sends. ``rolls_out`` is true when it takes part in monitored
    rollouts and understands ``RolloutCounts`` and ``RolloutPermission``.
    ``finds_streams`` is true when it understands ``StreamMessage``.
    ``grants_slots`` is true for an entry that grants the slots of engines without an
    agent and names the engine in messages, and for an agent that counts the slots which
    entries hold when they reach it.
    """

    name: str
    lifetime: str
    address: str
    zone: str
    gathers_usage: bool = False
    reports_crashes: bool = False
    orders_eras: bool = False
    digests_parts: bool = False
    grants_slots: bool = False
    rolls_out: bool = False
    finds_streams: bool = False


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Keeps a link alive while there is no other message to send.

    ``silence_s`` is how long the sender may be silent from now on, in seconds; 0 stands
    for the usual limit.
    """

    silence_s: float = 0.0


@attrs.frozen(kw_only=True)
class Ping:
    """Measures the round-trip time; answered by a ``Ping`` with the same number."""

    number: int
    answer: bool = False


@attrs.frozen(kw_only=True)
class EntryList:
    """Sends the addresses of all entries that have a link to this agent."""

    entries: list[str]


@attrs.frozen(kw_only=True)
class PeerRow:
    """A store row; ``value`` is base64, or ``None`` when the row was removed.

    ``era`` is the store's era that ``version`` belongs to, or ``None`` from a sender
    that knows no eras. ``removed_value`` is the last value of a removed row, in base64,
    and ``lapsed`` whether its writer may be alive.
    """

    table: str
    key: str
    value: str | None
    version: int
    era: int | None = None
    removed_value: str | None = None
    lapsed: bool = False


@attrs.frozen(kw_only=True)
class PeerStatus:
    """Sends the state of an entry to its peers; unchanged values are left out.

    ``versions`` holds the version of each table that the sender has cached, and
    ``wanted`` the tables of which it accepts newer rows. ``admitted`` holds by
    organisation the tokens admitted since the sender started, ``running_s`` ago, and
    ``demand`` the tokens per second that its callers ask for; both count requests where
    the organisation's rate limit does. The values of an organisation that is left out
    are unchanged. ``peers`` holds the addresses of entries and is empty when it is
    unchanged. ``era``, ``eras`` and ``held`` are those of ``TableVersions``.
    ``leaving`` is true while the sender drains before its end.
    """

    running_s: float
    versions: dict[str, int]
    wanted: list[str]
    peers: list[str]
    admitted: dict[str, float]
    demand: dict[str, float]
    era: int = 0
    eras: dict[str, int] = attrs.Factory(dict)
    held: dict[str, int] = attrs.Factory(dict)
    leaving: bool = False


@attrs.frozen(kw_only=True)
class TableVersions:
    """Sends the part of a ``PeerStatus`` that is not about usage.

    ``era`` is the era of the tables' versions, and ``eras`` holds those of tables in
    another one. ``held`` holds a digest of the rows of former eras that the sender
    holds in force, by table.
    """

    versions: dict[str, int]
    wanted: list[str]
    peers: list[str]
    era: int = 0
    eras: dict[str, int] = attrs.Factory(dict)
    held: dict[str, int] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class EntryUsage:
    """What one entry admitted and what its callers ask for, as in ``PeerStatus``."""

    address: str
    lifetime: str
    running_s: float
    admitted: dict[str, float]
    demand: dict[str, float]


@attrs.frozen(kw_only=True)
class ZoneUsage:
    """Sends the usage of all entries of a zone to the entries of another zone.

    An entry without changed values is listed too, since its place in the list says that
    it is alive. ``complete`` is true when unchanged values are not left out.
    ``forwarded`` is true once an entry of the receiving zone passes the message on to
    the others there.
    """

    zone: str
    complete: bool
    forwarded: bool
    entries: list[EntryUsage]


@attrs.frozen(kw_only=True)
class PeerRows:
    """Sends rows that a peer lacks.

    ``versions`` holds the sender's versions of the tables of which all these rows are
    sent. ``era``, ``eras`` and ``held`` are those of ``TableVersions``.
    """

    versions: dict[str, int]
    rows: list[PeerRow]
    era: int = 0
    eras: dict[str, int] = attrs.Factory(dict)
    held: dict[str, int] = attrs.Factory(dict)


LinkMessage = (
    Hello
    | Heartbeat
    | Ping
    | SlotMessage
    | EntryList
    | PeerStatus
    | PeerRows
    | TableVersions
    | ZoneUsage
    | BrokenRun
    | CrashReport
    | RolloutCounts
    | RolloutPermission
    | StreamMessage
)

_KINDS: dict[str, Any] = {
    "hello": Hello,
    "beat": Heartbeat,
    "ping": Ping,
    "ask": SlotRequest,
    "grant": SlotGrant,
    "refuse": SlotRefusal,
    "end": SlotRelease,
    "engine": EngineState,
    "entries": EntryList,
    "peer": PeerStatus,
    "rows": PeerRows,
    "tables": TableVersions,
    "zone": ZoneUsage,
    "broken": BrokenRun,
    "crash": CrashReport,
    "counts": RolloutCounts,
    "permission": RolloutPermission,
    "stream": StreamStarted,
    "lookup": StreamLookup,
    "found": StreamFound,
}
_NAMES = {kind: name for name, kind in _KINDS.items()}
_FIELDS = {
    kind: [field.name for field in attrs.fields(kind)] for kind in _KINDS.values()
}
_CONVERTER = cattrs.Converter(detailed_validation=False)
# For the most frequent fields, these hooks are several times faster than the hooks that
# cattrs generates.
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[str, float],
    lambda value, _: {name: float(number) for name, number in value.items()},
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == list[float],
    lambda value, _: [float(number) for number in value],
)
# JSON objects have names of text.
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == dict[int, float],
    lambda value, _: {int(name, 16): float(number) for name, number in value.items()},
)
_CONVERTER.register_structure_hook_func(
    lambda kind: kind == PromptChain,
    lambda values, _: decode_chain(values),
)
_CONVERTER.register_structure_hook(PromptParts, lambda text, _: decode_parts(text))
_CONVERTER.register_structure_hook(CrashRecord, lambda values, _: decode_crash(values))
_USAGE_FIELDS = [field.name for field in attrs.fields(EntryUsage)]
_CONVERTER.register_structure_hook(
    EntryUsage,
    lambda values, _: EntryUsage(**dict(zip(_USAGE_FIELDS, values, strict=False))),
)


def _encode_part(part: object) -> object:
    """Encode an object within a message: the usage of an entry without field names."""
    if isinstance(part, EntryUsage):
        return [getattr(part, name) for name in _USAGE_FIELDS]
    if isinstance(part, PromptParts):
        return encode_parts(part)
    if isinstance(part, CrashRecord):
        return encode_crash(part)
    assert isinstance(part, PeerRow)
    return attrs.asdict(part)


def encode_message(message: LinkMessage) -> bytes:
    """Encode a message as a line, with its line feed."""
    kind = type(message)
    values = [getattr(message, name) for name in _FIELDS[kind]]
    if isinstance(message, CrashReport):
        values = [message.crashes, encode_benign(message.benign_s)]
    elif isinstance(message, SlotRequest | EngineState):
        # The last field, which most messages do without.
        links = values.pop()
        if links:
            values.append(encode_chain(links))
    return orjson.dumps([_NAMES[kind], *values], default=_encode_part) + b"\n"


def decode_message(line: bytes) -> LinkMessage:
    """Decode a line; raises ``MessageError`` if it is malformed.

    Surplus values are ignored, so that a newer process can add fields at the end.
    """
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
