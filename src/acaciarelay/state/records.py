"""Configuration records, their schemas, and the snapshot that holds them.

A stored record is an envelope with type, name, schema, revision and body. During an
upgrade a record can be stored in several schemas at once: each process uses the newest
schema that it supports.
"""

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
import orjson
from result import Err, Ok, Result

__all__ = [
    "RECORD_TYPES",
    "EndpointRecord",
    "EndpointState",
    "Envelope",
    "OrganisationRecord",
    "PolicyRecord",
    "PoolRecord",
    "Record",
    "RecordError",
    "RecordType",
    "RouteRule",
    "Snapshot",
    "TierRecord",
    "dangling_references",
    "decode_snapshot",
    "encode_snapshot",
    "parse_record",
    "read_envelope",
    "supported_schemas",
]

EndpointState = str  # "active" or "draining"


def _positive(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if value <= 0:
        raise ValueError(f"{attribute.name} must be above 0, not {value}")


def _not_negative(instance: object, attribute: attrs.Attribute, value: float) -> None:
    if value < 0:
        raise ValueError(f"{attribute.name} must be 0 or more, not {value}")


def _one_of(*allowed: str) -> Callable:
    def check(instance: object, attribute: attrs.Attribute, value: str) -> None:
        if value not in allowed:
            choices = ", ".join(allowed)
            raise ValueError(f"{attribute.name} must be one of {choices}, not {value}")

    return check


@attrs.frozen(kw_only=True)
class TierRecord:
    """A service tier; rank 0 is the most urgent.

    ``timeout_ms`` is the timeout of a call that states none, ``wait_budget_ms`` the
    time that a call may wait for an endpoint.
    """

    rank: int = attrs.field(validator=_not_negative)
    timeout_ms: int = attrs.field(default=60_000, validator=_positive)
    wait_budget_ms: int = attrs.field(default=20_000, validator=_positive)


@attrs.frozen(kw_only=True)
class OrganisationRecord:
    """An organisation; a limit of 0 tokens/s means no limit.

    ``key_hashes`` are hexadecimal SHA-256 hashes of bearer keys. ``weight`` is its
    weight in fair queueing. ``burst_tokens`` is 0 for the default burst. ``size_class``
    is its class in metrics.
    """

    key_hashes: list[str]
    policy: str
    weight: int = attrs.field(default=1, validator=_positive)
    tokens_per_second: int = attrs.field(default=0, validator=_not_negative)
    burst_tokens: int = attrs.field(default=0, validator=_not_negative)
    size_class: str = attrs.field(default="small", validator=_one_of("small", "large"))


@attrs.frozen(kw_only=True)
class RouteRule:
    """Whether calls of a service below a path prefix may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool


@attrs.frozen(kw_only=True)
class PoolRecord:
    """A pool of endpoints that serve the same models or one service.

    Calls of a service that match no route are repeatable for GET and HEAD only.
    ``subset`` is the number of the pool's agents that each entry connects to.
    ``reservations`` is the initial number of reservations of a call, and
    ``wan_wait_ms`` the wait that must be saved to choose another region; both apply to
    late binding only. ``retry_ratio`` is the number of retries per first attempt.
    """

    kind: str = attrs.field(validator=_one_of("chat", "service"))
    models: list[str] = attrs.field(factory=list)
    service: str = ""
    routes: list[RouteRule] = attrs.field(factory=list)
    placement: str = attrs.field(
        default="late_binding",
        validator=_one_of("late_binding", "least_reported", "round_robin"),
    )
    reservations: int = attrs.field(default=2, validator=_positive)
    subset: int = attrs.field(default=20, validator=_positive)
    retry_ratio: float = attrs.field(default=0.1, validator=_not_negative)
    wan_wait_ms: int = attrs.field(default=500, validator=_not_negative)


@attrs.frozen(kw_only=True)
class PolicyRecord:
    """Maps request classes to tiers; the class ``default`` is required.

    ``max_answer_tokens`` limits the answer length that is estimated for a call.
    """

    tiers: dict[str, str]
    max_body_bytes: int = attrs.field(default=33_554_432, validator=_positive)
    max_answer_tokens: int = attrs.field(default=4_096, validator=_positive)

    def __attrs_post_init__(self) -> None:
        if "default" not in self.tiers:
            raise ValueError("tiers must map the class default")


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """The state of one endpoint as configured by the operator.

    ``models`` are those that its engine must have loaded.
    """

    pool: str
    state: EndpointState = attrs.field(
        default="active", validator=_one_of("active", "draining")
    )
    models: list[str] = attrs.field(factory=list)


Record = TierRecord | OrganisationRecord | PoolRecord | PolicyRecord | EndpointRecord


def _upgrade_organisation_1(body: dict[str, Any]) -> dict[str, Any]:
    """Schema 1 has a single key hash, and requests/s in place of tokens/s."""
    tokens_per_request = 500
    upgraded = dict(body)
    upgraded["key_hashes"] = [upgraded.pop("key_hash", "")]
    rate = upgraded.pop("requests_per_second", 0)
    upgraded["tokens_per_second"] = rate * tokens_per_request
    return upgraded


def _same(body: dict[str, Any]) -> dict[str, Any]:
    return body


@attrs.frozen
class RecordType:
    """A record type: its class and a converter for each supported schema."""

    name: str
    record_class: type
    schemas: dict[int, Callable[[dict[str, Any]], dict[str, Any]]]

    @property
    def newest(self) -> int:
        return max(self.schemas)


RECORD_TYPES = {
    "tier": RecordType("tier", TierRecord, {1: _same}),
    "organisation": RecordType(
        "organisation", OrganisationRecord, {1: _upgrade_organisation_1, 2: _same}
    ),
    "pool": RecordType("pool", PoolRecord, {1: _same}),
    "policy": RecordType("policy", PolicyRecord, {1: _same}),
    "endpoint": RecordType("endpoint", EndpointRecord, {1: _same}),
}


def supported_schemas() -> dict[str, int]:
    """Return the newest schema that this process supports, by record type."""
    return {name: kind.newest for name, kind in RECORD_TYPES.items()}


@attrs.frozen
class Envelope:
    """A stored record; the format of ``body`` is given by ``schema``."""

    type: str
    name: str
    schema: int
    revision: int
    body: dict[str, Any]


@attrs.frozen
class RecordError:
    """Why a record can't be used.

    ``too_new`` is true when its schema is newer than this process supports.
    """

    type: str
    name: str
    reason: str
    too_new: bool = False


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def _read_int(value: Any, _: type) -> int:
    integral = isinstance(value, int) or (
        isinstance(value, float) and value.is_integer()
    )
    if not integral or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a whole number")
    return int(value)


def _read_float(value: Any, _: type) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _read_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a text")
    return value


def _read_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not true or false")
    return value


def _read_list(value: Any, list_type: Any) -> list:
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    (item_type,) = list_type.__args__
    return [_CONVERTER.structure(item, item_type) for item in value]


# By default cattrs coerces values: the string "abc" would become a list of three key
# hashes, and "false" would be true.
_CONVERTER.register_structure_hook(int, _read_int)
_CONVERTER.register_structure_hook(float, _read_float)
_CONVERTER.register_structure_hook(str, _read_str)
_CONVERTER.register_structure_hook(bool, _read_bool)
_CONVERTER.register_structure_hook_func(
    lambda target: getattr(target, "__origin__", None) is list, _read_list
)


def read_envelope(value: Any) -> Envelope:
    """Read a stored envelope; raises ``ValueError`` if the value is malformed."""
    try:
        envelope = Envelope(
            value["type"],
            value["name"],
            value["schema"],
            value["revision"],
            value["body"],
        )
    except (KeyError, TypeError) as error:
        raise ValueError("not a stored record") from error
    valid_names = isinstance(envelope.type, str) and isinstance(envelope.name, str)
    valid_versions = isinstance(envelope.schema, int) and isinstance(
        envelope.revision, int
    )
    if not valid_names or not valid_versions or not isinstance(envelope.body, dict):
        raise ValueError("not a stored record")
    return envelope


def parse_record(envelope: Envelope) -> Result[Record, RecordError]:
    """Parse the body of an envelope into the record class of its type."""
    kind = RECORD_TYPES.get(envelope.type)
    if kind is None:
        reason = f"unknown record type {envelope.type}"
        return Err(RecordError(envelope.type, envelope.name, reason))
    upgrade = kind.schemas.get(envelope.schema)
    if upgrade is None:
        reason = f"schema {envelope.schema} is not known; newest is {kind.newest}"
        too_new = envelope.schema > kind.newest
        return Err(RecordError(kind.name, envelope.name, reason, too_new))
    try:
        record: Record = _CONVERTER.structure(upgrade(envelope.body), kind.record_class)
    except Exception as error:
        reason = "; ".join(cattrs.transform_error(error, path="body"))
        return Err(RecordError(kind.name, envelope.name, reason))
    return Ok(record)


@attrs.frozen
class Snapshot:
    """All stored envelopes of one generation, and the records parsed from them."""

    generation: int = 0
    envelopes: list[Envelope] = attrs.field(factory=list)
    tiers: dict[str, TierRecord] = attrs.field(factory=dict)
    organisations: dict[str, OrganisationRecord] = attrs.field(factory=dict)
    pools: dict[str, PoolRecord] = attrs.field(factory=dict)
    policies: dict[str, PolicyRecord] = attrs.field(factory=dict)
    endpoints: dict[str, EndpointRecord] = attrs.field(factory=dict)
    errors: list[RecordError] = attrs.field(factory=list)

    def by_type(self, type_name: str) -> dict[str, Any]:
        """Return the records of a type by name; raises ``KeyError``."""
        groups: dict[str, dict[str, Any]] = {
            "tier": self.tiers,
            "organisation": self.organisations,
            "pool": self.pools,
            "policy": self.policies,
            "endpoint": self.endpoints,
        }
        return groups[type_name]


def build_snapshot(generation: int, envelopes: list[Envelope]) -> Snapshot:
    """Parse envelopes, using the newest supported schema of each record."""
    snapshot = Snapshot(generation=generation, envelopes=list(envelopes))
    for envelope in sorted(envelopes, key=lambda item: item.schema):
        match parse_record(envelope):
            case Ok(record):
                snapshot.by_type(envelope.type)[envelope.name] = record
            case Err(error):
                snapshot.errors.append(error)
    return snapshot


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode generation and envelopes as JSON."""
    # Recursion would copy every body, which would take most of the encoding time.
    envelopes = [attrs.asdict(item, recurse=False) for item in snapshot.envelopes]
    return orjson.dumps({"generation": snapshot.generation, "records": envelopes})


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raises ``ValueError`` if the data is malformed."""
    try:
        body = orjson.loads(data)
        envelopes = [read_envelope(value) for value in body["records"]]
        return build_snapshot(int(body["generation"]), envelopes)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError("not a configuration snapshot") from error


def dangling_references(snapshot: Snapshot) -> list[RecordError]:
    """Return an error for each reference to a tier, policy or pool that is missing."""
    errors = []
    for name, organisation in snapshot.organisations.items():
        if organisation.policy in snapshot.policies:
            continue
        reason = f"policy {organisation.policy} does not exist"
        errors.append(RecordError("organisation", name, reason))
    for name, policy in snapshot.policies.items():
        for tier in policy.tiers.values():
            if tier in snapshot.tiers:
                continue
            errors.append(RecordError("policy", name, f"tier {tier} does not exist"))
    for name, endpoint in snapshot.endpoints.items():
        if endpoint.pool in snapshot.pools:
            continue
        reason = f"pool {endpoint.pool} does not exist"
        errors.append(RecordError("endpoint", name, reason))
    return errors
