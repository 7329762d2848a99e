"""Run one HTTP call at an endpoint, streaming the body in and the answer out."""

import enum
import time
from collections.abc import AsyncIterator, Sequence
from typing import Protocol

import attrs
import cattrs
import orjson
from result import Err, Ok, Result

from acaciarelay.transport.endpoints.base import (
    AnswerSink,
    EndpointCall,
    EndpointLimits,
    EndpointLoad,
    Header,
)
from acaciarelay.transport.http_client import (
    ClientExchange,
    HttpError,
    HttpFault,
    fetch,
    open_exchange,
)

__all__ = ["AnswerObserver", "RunEnd", "RunStage", "fetch_load", "relay_answer"]

# Hop-by-hop fields (RFC 9110, section 7.6.1), plus Content-Length and Host, which are
# set again, and Expect, which was answered before the body arrived here.
REQUEST_FIELDS_DROPPED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
ANSWER_FIELDS_DROPPED = REQUEST_FIELDS_DROPPED - {"content-length"}


class RunStage(enum.StrEnum):
    """How far a run proceeded."""

    NOT_CONNECTED = "not_connected"
    SENT = "sent"  # Bytes were sent, but no answer head was received.
    ANSWERING = "answering"  # The head was received, but not the complete body.
    COMPLETE = "whole"


@attrs.frozen(kw_only=True)
class RunEnd:
    """Stage that a run reached; ``error`` is set unless it is ``COMPLETE``.

    ``body_sent_at`` is the monotonic time at which sending the request ended.
    ``sink_wait_s`` is the time spent waiting for the sink to accept pieces of the
    answer's body.
    """

    stage: RunStage
    error: HttpError | None = None
    body_sent_at: float = 0.0
    sink_wait_s: float = 0.0


class AnswerObserver(Protocol):
    """Observer of an answer that is relayed to the sink."""

    def head(self, status: int, headers: Sequence[Header]) -> None:
        """Observe the status and the headers."""

    def chunk(self, data: bytes, now: float) -> bool:
        """Observe a piece; return whether it counts as progress of the endpoint."""


async def relay_answer(
    address: str,
    limits: EndpointLimits,
    call: EndpointCall,
    body: AsyncIterator[bytes],
    sink: AnswerSink,
    observer: AnswerObserver,
) -> RunEnd:
    """Run a call on a new connection, which is always closed at the end."""
    match await open_exchange(address, limits.for_runs):
        case Err(error):
            return RunEnd(stage=RunStage.NOT_CONNECTED, error=error)
        case Ok(exchange):
            try:
                fields = _request_fields(address, call)
                send_error = await exchange.send_request(
                    call.method, call.path, fields, body
                )
                return await _relay(exchange, send_error, limits, sink, observer)
            finally:
                await exchange.close()


async def _relay(
    exchange: ClientExchange,
    send_error: HttpError | None,
    limits: EndpointLimits,
    sink: AnswerSink,
    observer: AnswerObserver,
) -> RunEnd:
    sent_at = time.monotonic()
    if send_error is not None and send_error.fault is HttpFault.STALLED:
        return RunEnd(stage=RunStage.SENT, error=send_error, body_sent_at=sent_at)
    # An endpoint may answer and close before it has read the complete body.
    head_error = await exchange.read_head()
    if head_error is not None:
        error = send_error or head_error
        return RunEnd(stage=RunStage.SENT, error=error, body_sent_at=sent_at)
    observer.head(exchange.status, exchange.headers)
    await sink.head(exchange.status, _answer_fields(exchange.headers))
    return await _relay_body(exchange, sent_at, limits, sink, observer)


async def _relay_body(
    exchange: ClientExchange,
    sent_at: float,
    limits: EndpointLimits,
    sink: AnswerSink,
    observer: AnswerObserver,
) -> RunEnd:
    idle_s = 0.0
    sink_wait_s = 0.0
    idle_limit_s = limits.first_answer_s
    while True:
        before = time.monotonic()
        piece = await exchange.read_piece()
        now = time.monotonic()
        # Time spent in the sink doesn't count as idle: backpressure from a full sink
        # also keeps the endpoint from sending.
        idle_s += now - before
        error: HttpError | None = None
        match piece:
            case Err(read_error):
                error = read_error
            case Ok(None):
                break
            case Ok(bytes() as data):
                # Keep-alive comments don't count as progress.
                if observer.chunk(data, now):
                    idle_s = 0.0
                    idle_limit_s = limits.stall_s
                    exchange.limits = attrs.evolve(
                        exchange.limits, read_timeout_s=limits.stall_s
                    )
                await sink.chunk(data)
                sink_wait_s += time.monotonic() - now
        if error is None and idle_s > idle_limit_s:
            detail = f"no progress for {idle_limit_s:g} s"
            error = HttpError(HttpFault.STALLED, detail)
        if error is not None:
            return RunEnd(
                stage=RunStage.ANSWERING,
                error=error,
                body_sent_at=sent_at,
                sink_wait_s=sink_wait_s,
            )
    return RunEnd(
        stage=RunStage.COMPLETE, body_sent_at=sent_at, sink_wait_s=sink_wait_s
    )


def _request_fields(address: str, call: EndpointCall) -> list[Header]:
    kept = _without(call.headers, REQUEST_FIELDS_DROPPED)
    return [("host", address), *kept, ("content-length", str(call.body_length))]


def _answer_fields(headers: Sequence[Header]) -> list[Header]:
    return _without(headers, ANSWER_FIELDS_DROPPED)


def _without(headers: Sequence[Header], dropped: frozenset[str]) -> list[Header]:
    named = {
        name.strip().lower()
        for field, value in headers
        if field.lower() == "connection"
        for name in value.split(",")
    }
    return [
        (field, value)
        for field, value in headers
        if field.lower() not in dropped and field.lower() not in named
    ]


async def fetch_load(
    address: str, limits: EndpointLimits
) -> Result[EndpointLoad, HttpError]:
    """Read ``GET /load`` of an endpoint, ignoring unknown fields."""
    match await fetch(address, "GET", "/load", limits=limits.for_probes):
        case Err(error):
            return Err(error)
        case Ok(answer):
            if answer.status != 200:
                detail = f"the endpoint answered with status {answer.status}"
                return Err(HttpError(HttpFault.SENT, detail))
            try:
                return Ok(cattrs.structure(orjson.loads(answer.body), EndpointLoad))
            except (orjson.JSONDecodeError, cattrs.BaseValidationError) as fault:
                return Err(HttpError(HttpFault.SENT, f"unreadable load: {fault}"))
