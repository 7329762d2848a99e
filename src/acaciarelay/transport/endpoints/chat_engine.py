"""Adapter to a model engine with the chat completions interface."""

from collections.abc import AsyncIterator, Callable

import attrs
import orjson
from result import Err, Ok, Result

from acaciarelay.transport.endpoints.base import (
    AnswerSink,
    EndpointAdapter,
    EndpointCall,
    EndpointLoad,
    EngineCommand,
    RunResult,
)
from acaciarelay.transport.endpoints.chat_answer import (
    ChatAnswerObserver,
    EventStreamReader,
    Usage,
)
from acaciarelay.transport.endpoints.relay_answer import (
    RunEnd,
    RunStage,
    fetch_load,
    relay_answer,
)
from acaciarelay.transport.http_client import HttpError, HttpFault, fetch

__all__ = ["ChatEngine"]

# If the sink took more than this share of the stream's time, the token interval
# measures the sink and not the engine.
MAX_SINK_WAIT_SHARE = 0.1


class ChatEngine(EndpointAdapter):
    """Run chat completions; closing the connection cancels the run at the engine."""

    kind = "chat"

    async def run(
        self, call: EndpointCall, body: AsyncIterator[bytes], sink: AnswerSink
    ) -> RunResult:
        """Run one completion; a stream is complete only with its ``[DONE]`` event."""
        # Token counts can't be read from a compressed answer.
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() != "accept-encoding"
        ]
        call = attrs.evolve(call, headers=headers)
        answer = ChatAnswerObserver()
        end = await relay_answer(self.address, self.limits, call, body, sink, answer)
        return _with_counts(_result(end, answer), end, answer)

    async def probe(self) -> Result[EndpointLoad, HttpError]:
        """Read the engine's load report from ``GET /load``."""
        return await fetch_load(self.address, self.limits)

    async def command(
        self, command: EngineCommand, may_send: Callable[[], bool] | None = None
    ) -> Result[None, HttpError]:
        """Send a command with its fencing token."""
        body = orjson.dumps(attrs.asdict(command))
        headers = [("content-type", "application/json")]
        limits = self.limits.for_commands
        match await fetch(
            self.address, "POST", "/commands", headers, body, limits, may_send
        ):
            case Err(error):
                return Err(error)
            case Ok(answer):
                if answer.status == 200:
                    return Ok(None)
                detail = f"the engine answered with status {answer.status}"
                # Only a client error guarantees that the command had no effect.
                refused = 400 <= answer.status < 500
                fault = HttpFault.REFUSED if refused else HttpFault.SENT
                return Err(HttpError(fault, detail))


def _result(end: RunEnd, answer: ChatAnswerObserver) -> RunResult:
    if end.error is None:
        if answer.reader.is_complete():
            return RunResult.completed()
        detail = "the answer ended before its last event"
        return RunResult.failed("endpoint_failed", True, detail)
    if end.stage is RunStage.NOT_CONNECTED:
        return RunResult.failed("no_endpoint", False, end.error.detail)
    if end.error.fault is HttpFault.STALLED:
        return RunResult.failed("endpoint_stalled", True, end.error.detail)
    return RunResult.failed("endpoint_failed", True, end.error.detail)


def _with_counts(
    result: RunResult, end: RunEnd, answer: ChatAnswerObserver
) -> RunResult:
    reader = answer.reader
    usage = reader.usage or Usage()
    result = attrs.evolve(
        result,
        prompt_tokens=usage.prompt_tokens,
        answer_tokens=usage.answer_tokens,
    )
    if not isinstance(reader, EventStreamReader) or reader.first_token_at is None:
        return result
    # Without a usage report, as in a truncated answer, each event counts as a token.
    tokens = usage.answer_tokens or reader.token_events
    return attrs.evolve(
        result,
        answer_tokens=tokens,
        first_token_s=reader.first_token_at - end.body_sent_at,
        inter_token_s=_inter_token_s(reader, tokens, end.sink_wait_s),
    )


def _inter_token_s(
    reader: EventStreamReader, tokens: int, sink_wait_s: float
) -> float | None:
    assert reader.first_token_at is not None and reader.last_token_at is not None
    span_s = reader.last_token_at - reader.first_token_at
    if tokens < 2 or span_s <= 0 or sink_wait_s > MAX_SINK_WAIT_SHARE * span_s:
        return None
    return span_s / (tokens - 1)
