"""Adapter to a plain HTTP service, whose calls may have side effects."""

from collections.abc import AsyncIterator, Callable, Sequence

from result import Err, Result

from acaciarelay.transport.endpoints.base import (
    AnswerSink,
    EndpointAdapter,
    EndpointCall,
    EndpointLoad,
    EngineCommand,
    Header,
    RunResult,
)
from acaciarelay.transport.endpoints.relay_answer import (
    RunEnd,
    RunStage,
    fetch_load,
    relay_answer,
)
from acaciarelay.transport.http_client import HttpError, HttpFault

__all__ = ["PlainService"]


class _OpaqueObserver:
    """Count every piece of an answer as progress."""

    def head(self, status: int, headers: Sequence[Header]) -> None:
        pass

    def chunk(self, data: bytes, now: float) -> bool:
        return True


class PlainService(EndpointAdapter):
    """Run calls at a plain service, where a call without an answer may have run."""

    kind = "service"

    async def run(
        self, call: EndpointCall, body: AsyncIterator[bytes], sink: AnswerSink
    ) -> RunResult:
        """Run one call.

        If it was sent but no answer head was received, its outcome is unknown.
        """
        observer = _OpaqueObserver()
        end = await relay_answer(self.address, self.limits, call, body, sink, observer)
        return _result(end)

    async def probe(self) -> Result[EndpointLoad, HttpError]:
        """Read the service's load report from ``GET /load``."""
        return await fetch_load(self.address, self.limits)

    async def command(
        self, command: EngineCommand, may_send: Callable[[], bool] | None = None
    ) -> Result[None, HttpError]:
        """Reject every command, since a plain service supports none."""
        detail = "a plain service takes no commands"
        return Err(HttpError(HttpFault.NOT_SENT, detail))


def _result(end: RunEnd) -> RunResult:
    if end.error is None:
        return RunResult.completed()
    detail = end.error.detail
    match end.stage, end.error.fault:
        case RunStage.NOT_CONNECTED, _:
            return RunResult.failed("no_endpoint", False, detail)
        case RunStage.SENT, _:
            return RunResult.failed("outcome_unknown", True, detail)
        case _, HttpFault.STALLED:
            return RunResult.failed("endpoint_stalled", True, detail)
        case _:
            return RunResult.failed("endpoint_failed", True, detail)
