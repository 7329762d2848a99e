"""The callers' HTTP interface: authentication and parsing of request heads."""

import hashlib

import attrs
from result import Err, Ok, Result

from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.protocol.http_message import (
    REQUEST_ID_HEADER,
    Header,
    HttpRequest,
)
from acaciarelay.state.records import (
    OrganisationRecord,
    PolicyRecord,
    PoolRecord,
    Snapshot,
    TierRecord,
)

__all__ = [
    "CLASS_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "CallHead",
    "Caller",
    "BearerKeyIndex",
    "PoolChoice",
    "request_hash",
    "find_chat_pool",
    "find_service_pool",
    "forwarded_headers",
    "is_repeatable",
    "read_head",
]

CHAT_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/v1/services/"
CLASS_HEADER = "acaciarelay-class"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "acaciarelay-timeout-ms"
TIER_HEADER = "acaciarelay-tier"
ORGANISATION_HEADER = "acaciarelay-organisation"
MAX_TIMEOUT_MS = 600_000
MAX_IDEMPOTENCY_KEY_LENGTH = 200
# Largest share of a call's timeout that it may wait for an endpoint; the rest is for
# the last-resort round before a refusal and for the run itself.
MAX_WAIT_SHARE = 0.8

# Caller headers that are not copied when a call is forwarded; some are set anew.
NOT_COPIED_HEADERS = frozenset(
    ["authorization", IDEMPOTENCY_KEY_HEADER, "content-length"]
)


@attrs.frozen
class Caller:
    """An authenticated caller: its organisation, with the record and the policy."""

    organisation: str
    record: OrganisationRecord
    policy: PolicyRecord


class BearerKeyIndex:
    """Index of organisations by bearer key hash, for one snapshot."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.names: dict[str, str] = {}
        for name, record in snapshot.organisations.items():
            for key_hash in record.key_hashes:
                self.names[key_hash] = name

    def find(self, request: HttpRequest) -> Result[Caller, Refusal]:
        """Authenticate the caller of a request by its bearer key."""
        scheme, _, key = (request.header("authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Err(refuse("unknown_key", "No bearer key was sent"))
        name = self.names.get(hashlib.sha256(key.strip().encode()).hexdigest())
        if name is None:
            return Err(refuse("unknown_key", "No organisation has this key"))
        record = self.snapshot.organisations[name]
        policy = self.snapshot.policies.get(record.policy)
        if policy is None:
            detail = f"Policy {record.policy} does not exist"
            return Err(refuse("tier_not_allowed", detail))
        return Ok(Caller(name, record, policy))


@attrs.frozen(kw_only=True)
class CallHead:
    """The parsed and checked head of a call; times are in seconds."""

    caller: Caller
    kind: str  # "chat" or "service"
    service: str
    tier_name: str
    tier: TierRecord
    timeout_s: float
    wait_budget_s: float
    body_length: int
    idempotency_key: str


def read_head(
    request: HttpRequest, caller: Caller, snapshot: Snapshot
) -> Result[CallHead, Refusal]:
    """Parse and check the head of a call."""
    kind, service = _read_path(request.path)
    if not kind:
        return Err(refuse("unknown_path"))
    if kind == "chat" and request.method != "POST":
        return Err(refuse("method_not_allowed"))
    tier = _read_tier(request, caller, snapshot)
    if isinstance(tier, Err):
        return tier
    tier_name, tier_record = tier.unwrap()
    timeout = _read_timeout_ms(request, tier_record)
    if isinstance(timeout, Err):
        return timeout
    length = _read_length(request, caller)
    if isinstance(length, Err):
        return length
    key = request.header(IDEMPOTENCY_KEY_HEADER) or ""
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        detail = (
            f"Idempotency-Key is longer than {MAX_IDEMPOTENCY_KEY_LENGTH}"
            " or not printable"
        )
        return Err(refuse("invalid_field", detail))
    timeout_s = timeout.unwrap() / 1000
    head = CallHead(
        caller=caller,
        kind=kind,
        service=service,
        tier_name=tier_name,
        tier=tier_record,
        timeout_s=timeout_s,
        wait_budget_s=min(
            tier_record.wait_budget_ms / 1000, MAX_WAIT_SHARE * timeout_s
        ),
        body_length=length.unwrap(),
        idempotency_key=key,
    )
    return Ok(head)


def _read_path(path: str) -> tuple[str, str]:
    if path == CHAT_PATH:
        return "chat", ""
    if not path.startswith(SERVICE_PREFIX):
        return "", ""
    service = path.removeprefix(SERVICE_PREFIX).partition("/")[0]
    return ("service", service) if service else ("", "")


def _read_tier(
    request: HttpRequest, caller: Caller, snapshot: Snapshot
) -> Result[tuple[str, TierRecord], Refusal]:
    request_class = request.header(CLASS_HEADER) or "default"
    name = caller.policy.tiers.get(request_class)
    if name is None:
        return Err(refuse("tier_not_allowed", f"Class {request_class[:64]} is unknown"))
    record = snapshot.tiers.get(name)
    if record is None:
        return Err(refuse("tier_not_allowed", f"Tier {name} does not exist"))
    return Ok((name, record))


def _read_timeout_ms(request: HttpRequest, tier: TierRecord) -> Result[int, Refusal]:
    text = request.header(TIMEOUT_HEADER)
    if text is None:
        return Ok(tier.timeout_ms)
    if not (text.isascii() and text.isdigit() and 0 < int(text) <= MAX_TIMEOUT_MS):
        detail = f"{TIMEOUT_HEADER} must be from 1 to {MAX_TIMEOUT_MS}"
        return Err(refuse("invalid_field", detail))
    return Ok(int(text))


def _read_length(request: HttpRequest, caller: Caller) -> Result[int, Refusal]:
    length = request.content_length
    if length is None and request.header("transfer-encoding") is not None:
        return Err(refuse("length_required"))
    length = length or 0
    if length > caller.policy.max_body_bytes:
        detail = f"The body may have {caller.policy.max_body_bytes} bytes"
        return Err(refuse("body_too_large", detail))
    return Ok(length)


@attrs.frozen
class PoolChoice:
    """The pool that serves a call."""

    name: str
    record: PoolRecord


def find_chat_pool(snapshot: Snapshot, model: str) -> Result[PoolChoice, Refusal]:
    """Return the pool that serves a model."""
    for name, record in snapshot.pools.items():
        if record.kind == "chat" and model in record.models:
            return Ok(PoolChoice(name, record))
    return Err(refuse("unknown_model", f"No pool serves model {model[:64]}"))


def find_service_pool(snapshot: Snapshot, service: str) -> Result[PoolChoice, Refusal]:
    """Return the pool that serves a service."""
    for name, record in snapshot.pools.items():
        if record.kind == "service" and record.service == service:
            return Ok(PoolChoice(name, record))
    return Err(refuse("unknown_service", f"No pool serves service {service[:64]}"))


def is_repeatable(pool: PoolRecord, method: str, path: str) -> bool:
    """Return whether a call may run twice, by the longest matching route."""
    if pool.kind == "chat":
        return True
    best: tuple[int, bool] = (-1, method in ("GET", "HEAD"))
    for route in pool.routes:
        if route.method != method or not path.startswith(route.path_prefix):
            continue
        if len(route.path_prefix) > best[0]:
            best = (len(route.path_prefix), route.repeatable)
    return best[1]


def request_hash(method: str, path: str, body: list[bytes]) -> str:
    """Return the SHA-256 hash of method, path and body in hexadecimal."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    for piece in body:
        digest.update(piece)
    return digest.hexdigest()


def forwarded_headers(
    headers: list[Header], request_id: str, head: CallHead
) -> list[Header]:
    """Build the headers for the endpoint, without the caller's bearer key."""
    kept = [(name, value) for name, value in headers if name not in NOT_COPIED_HEADERS]
    kept.append((REQUEST_ID_HEADER, request_id))
    kept.append((TIER_HEADER, str(head.tier.rank)))
    kept.append((ORGANISATION_HEADER, head.caller.organisation))
    if head.idempotency_key:
        kept.append((IDEMPOTENCY_KEY_HEADER, head.idempotency_key))
    return kept
