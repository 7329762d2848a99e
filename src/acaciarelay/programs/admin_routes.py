"""Serve the administration API below ``/admin/v1``."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable

import attrs
import orjson
from result import Err, Ok, Result

from acaciarelay.programs.admin_claims import get_claim, post_settlement
from acaciarelay.programs.config_sync import ConfigSync
from acaciarelay.programs.config_writer import ConfigWriter
from acaciarelay.protocol.admin_api import (
    ApplyAnswer,
    ApplyRequest,
    GenerationAnswer,
    HistoryAnswer,
    RecordChange,
    RecordRefusal,
    RecordsAnswer,
    StatusAnswer,
    StatusSource,
    read_apply,
    to_plain,
)
from acaciarelay.protocol.codes import Refusal, refuse
from acaciarelay.state.records import Envelope
from acaciarelay.transport.http_server import (
    HttpExchange,
    HttpRequest,
    refusal_headers,
    render_refusal,
)

__all__ = ["ADMIN_PREFIX", "AdminRoutes"]

ADMIN_PREFIX = "/admin/v1"
MAX_BODY_BYTES = 16_777_216
MAX_HISTORY_COMMITS = 500
DEFAULT_HISTORY_COMMITS = 20
# A change of state writes one field, so it is retried after a conflict.
SET_STATE_ATTEMPTS = 3

Answer = Result[object, Refusal]


@attrs.frozen
class _Call:
    """One call of the API; ``parts`` are the path segments after the prefix."""

    exchange: HttpExchange
    parts: list[str]

    @property
    def request(self) -> HttpRequest:
        return self.exchange.request


Route = Callable[[_Call], Awaitable[Answer]]

STATE_OF_ACTION = {"drain": "draining", "activate": "active"}


def _digest(key: str) -> bytes:
    # Digests have a fixed length, so comparing them takes the same time for every key.
    return hashlib.sha256(key.encode()).digest()


def _read_number(request: HttpRequest, name: str) -> Result[int | None, Refusal]:
    """Read a number of up to 18 digits from the query; ``None`` if it is absent."""
    value = request.query.get(name)
    if value is None:
        return Ok(None)
    if not value.isdecimal() or len(value) > 18:
        return Err(refuse("invalid_field", f"{name} must be a whole number"))
    return Ok(int(value))


class AdminRoutes:
    """Routes of the administration API; only ``operator_key`` gives access to them.

    An empty ``operator_key`` refuses all calls.
    """

    def __init__(
        self,
        writer: ConfigWriter,
        sync: ConfigSync,
        operator_key: str,
        status_source: StatusSource,
    ) -> None:
        self.writer = writer
        self.sync = sync
        self.operator_digest = _digest(operator_key) if operator_key else None
        self.status_source = status_source
        self.routes: dict[tuple[str, str], Route] = {
            ("GET", "records"): self.get_records,
            ("DELETE", "records"): self.delete_record,
            ("POST", "apply"): self.apply,
            ("GET", "history"): self.history,
            ("GET", "generation"): self.generation,
            ("GET", "status"): self.status,
            ("POST", "endpoints"): self.set_state,
            ("GET", "claims"): self.claim,
            ("POST", "claims"): self.settle,
        }

    async def handle(self, exchange: HttpExchange) -> bool:
        """Answer a request below ``ADMIN_PREFIX``; return false for any other path."""
        path = exchange.request.path
        if path != ADMIN_PREFIX and not path.startswith(ADMIN_PREFIX + "/"):
            return False
        parts = [part for part in path[len(ADMIN_PREFIX) :].split("/") if part]
        match await self.dispatch(_Call(exchange, parts)):
            case Ok(answer):
                await exchange.respond_json(200, to_plain(answer))
            case Err(refusal):
                await respond_refusal(exchange, refusal)
        return True

    async def dispatch(self, call: _Call) -> Answer:
        if not self.is_operator(call.request):
            return Err(refuse("operator_key_required"))
        if not call.parts:
            return Err(refuse("unknown_path"))
        route = self.routes.get((call.request.method, call.parts[0]))
        if route is None:
            path_exists = any(first == call.parts[0] for _, first in self.routes)
            return Err(refuse("method_not_allowed" if path_exists else "unknown_path"))
        return await route(call)

    def is_operator(self, request: HttpRequest) -> bool:
        scheme, _, key = (request.header("authorization") or "").partition(" ")
        if self.operator_digest is None or scheme.lower() != "bearer":
            return False
        return hmac.compare_digest(_digest(key.strip()), self.operator_digest)

    async def get_records(self, call: _Call) -> Answer:
        if not self.sync.ready:
            return Err(refuse("not_ready", retry_after_s=1.0))
        type_and_name = call.parts[1:]
        if len(type_and_name) > 2:
            return Err(refuse("unknown_path"))
        found: list[Envelope] = [
            item
            for item in self.sync.snapshot.envelopes
            if [item.type, item.name][: len(type_and_name)] == type_and_name
        ]
        if len(type_and_name) == 2 and not found:
            return Err(refuse("record_missing", " ".join(type_and_name)))
        return Ok(RecordsAnswer(self.sync.generation, found))

    async def apply(self, call: _Call) -> Answer:
        if len(call.parts) != 1:
            return Err(refuse("unknown_path"))
        body = await read_body(call.exchange)
        match body.and_then(read_apply):
            case Err(refusal):
                return Err(refusal)
            case Ok(request):
                return await self.commit(call, request)

    async def commit(
        self, call: _Call, request: ApplyRequest
    ) -> Result[ApplyAnswer, Refusal]:
        operator = call.request.header("acaciarelay-operator") or request.operator
        token = call.request.header("acaciarelay-token") or request.token
        attributed = attrs.evolve(request, operator=operator, token=token)
        return await self.writer.apply(attributed)

    async def delete_record(self, call: _Call) -> Answer:
        if len(call.parts) != 3:
            return Err(refuse("unknown_path"))
        match _read_number(call.request, "revision"):
            case Ok(int() as revision):
                pass
            case _:
                return Err(refuse("invalid_field", "revision is required"))
        match _read_number(call.request, "schema"):
            case Err(refusal):
                return Err(refusal)
            case Ok(schema):
                pass
        _, type_name, name = call.parts
        change = RecordChange(
            type=type_name, name=name, revision=revision, schema=schema, delete=True
        )
        return await self.commit(call, ApplyRequest(changes=[change]))

    async def history(self, call: _Call) -> Answer:
        match _read_number(call.request, "limit"):
            case Err(refusal):
                return Err(refusal)
            case Ok(limit):
                pass
        match _read_number(call.request, "before"):
            case Err(refusal):
                return Err(refusal)
            case Ok(before):
                pass
        count = (
            DEFAULT_HISTORY_COMMITS
            if limit is None
            else min(limit, MAX_HISTORY_COMMITS)
        )
        answer = await self.writer.history(count, before)
        return answer.map(HistoryAnswer)

    async def generation(self, call: _Call) -> Answer:
        if not self.sync.ready:
            return Err(refuse("not_ready", retry_after_s=1.0))
        return Ok(
            GenerationAnswer(
                self.sync.generation,
                self.sync.state.set_aside,
                self.status_source.processes(),
            )
        )

    async def status(self, call: _Call) -> Answer:
        processes = self.status_source.processes()
        return Ok(StatusAnswer(self.sync.generation, processes))

    async def claim(self, call: _Call) -> Answer:
        return await get_claim(self.sync.platform, call.parts)

    async def settle(self, call: _Call) -> Answer:
        match await read_body(call.exchange):
            case Err(refusal):
                return Err(refusal)
            case Ok(body):
                pass
        platform = self.sync.platform
        return await post_settlement(platform, call.parts, call.request, body)

    async def set_state(self, call: _Call) -> Answer:
        if len(call.parts) != 3 or call.parts[2] not in STATE_OF_ACTION:
            return Err(refuse("unknown_path"))
        _, name, action = call.parts
        result: Answer = Err(refuse("record_missing", f"endpoint {name}"))
        for _ in range(SET_STATE_ATTEMPTS):
            changes = self.state_changes(name, STATE_OF_ACTION[action])
            if not changes:
                return Err(refuse("record_missing", f"endpoint {name}"))
            result = await self.commit(call, ApplyRequest(changes=changes))
            match result:
                case Err(RecordRefusal(conflicts=[_, *_])):
                    continue
                case _:
                    return result
        return result

    def state_changes(self, name: str, state: str) -> list[RecordChange]:
        """Build the changes of an endpoint's state, one for every stored schema."""
        config = self.sync.state
        revision = config.revision_of("endpoint", name)
        changes = [
            RecordChange(
                type="endpoint",
                name=name,
                schema=envelope.schema,
                revision=revision,
                body={**envelope.body, "state": state},
            )
            for envelope in config.envelopes_of("endpoint", name)
        ]
        if changes:
            return changes
        # The pool of an endpoint without a record is known from its agent's status.
        for process in self.status_source.processes():
            if process.kind == "agent" and process.id == name:
                body = {"pool": process.pool, "state": state}
                return [RecordChange(type="endpoint", name=name, body=body)]
        return []


async def read_body(exchange: HttpExchange) -> Result[bytes, Refusal]:
    """Read a complete request body; refuse one above ``MAX_BODY_BYTES``."""
    pieces: list[bytes] = []
    size = 0
    async for piece in exchange.read_body():
        match piece:
            case Err(refusal):
                return Err(refusal)
            case Ok(data):
                size += len(data)
                if size > MAX_BODY_BYTES:
                    return Err(refuse("body_too_large"))
                pieces.append(data)
    return Ok(b"".join(pieces))


async def respond_refusal(exchange: HttpExchange, refusal: Refusal) -> None:
    """Send a refusal, with the problems and conflicts of a record refusal."""
    if not isinstance(refusal, RecordRefusal):
        await exchange.respond_refusal(refusal)
        return
    answer = orjson.loads(render_refusal(refusal))
    answer["error"]["problems"] = refusal.problems
    answer["error"]["conflicts"] = to_plain(refusal.conflicts)
    headers = refusal_headers(refusal)
    await exchange.respond_json(refusal.code.status, answer, headers)
