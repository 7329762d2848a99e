"""Ask endpoints that are listed again after their removal whether they serve."""

import asyncio
import enum
import time

import attrs
import eliot
import h11
from result import Err, Ok

from acaciarelay.platform.headers import (
    INQUIRY_PATH,
    AnswerTraits,
    decode_answer,
    inquiry_headers,
)
from acaciarelay.programs.logs import log_event
from acaciarelay.programs.metrics import Metrics
from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state.endpoints import Endpoint
from acaciarelay.transport.endpoint_call import ConnectionFault, connect

__all__ = ["EndpointInquiries", "InquiryOutcome", "inquire"]

TIMEOUT_S = 0.5
# Time between two inquiries of an endpoint that did not answer.
REPEAT_S = 1.0
# Inquiries on their way; others follow with a later tick.
MAX_OPEN = 16


class InquiryOutcome(enum.StrEnum):
    """What an endpoint says of itself; the values are labels of the metric."""

    SERVES = "serves"
    LEAVES = "leaves"
    UNKNOWN = "unknown"


async def inquire(endpoint: Endpoint) -> InquiryOutcome:
    """Ask an endpoint whether it leaves, by a request that it does not run."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            traits = await _answer_traits(endpoint.address)
    except TimeoutError:
        return InquiryOutcome.UNKNOWN
    if traits is None or traits.endpoint_id not in (None, endpoint.endpoint_id):
        return InquiryOutcome.UNKNOWN
    return InquiryOutcome.LEAVES if traits.leaving else InquiryOutcome.SERVES


async def _answer_traits(address: str) -> AnswerTraits | None:
    match await connect(address, TIMEOUT_S):
        case Err(_):
            return None
        case Ok(connection):
            pass
    try:
        connection.send("GET", INQUIRY_PATH, inquiry_headers(address), b"")
        match await connection.next_event():
            case h11.Response(headers=headers):
                decoded = []
                for name, value in headers:
                    decoded.append((name.decode("latin-1"), value.decode("latin-1")))
                return decode_answer(decoded)
            case ConnectionFault():
                return None
        return None
    finally:
        connection.close()


@attrs.define(eq=False)
class _Inquiry:
    """The last inquiry of an endpoint; ``task`` is ``None`` once it has ended."""

    began_at: float
    task: asyncio.Task | None = None


class EndpointInquiries:
    """Ask each endpoint whose return may be a late write, until it is settled."""

    def __init__(self, cache: StateCache, metrics: Metrics) -> None:
        self.cache = cache
        self.metrics = metrics
        self.inquiries: dict[str, _Inquiry] = {}

    def tick(self) -> None:
        """Begin the inquiries that are due."""
        returned = self.cache.returned_endpoints()
        if not returned and not self.inquiries:
            return
        now = time.monotonic()
        present = {endpoint.endpoint_id for endpoint in returned}
        for endpoint_id in self.inquiries.keys() - present:
            self._cancel(self.inquiries.pop(endpoint_id))
        for endpoint in returned:
            inquiry = self.inquiries.get(endpoint.endpoint_id)
            if inquiry is not None and now - inquiry.began_at < REPEAT_S:
                continue
            if self._open_count() >= MAX_OPEN:
                return
            task = asyncio.get_running_loop().create_task(self._settle(endpoint))
            self.inquiries[endpoint.endpoint_id] = _Inquiry(now, task)

    async def _settle(self, endpoint: Endpoint) -> None:
        """Ask an endpoint, and use it or not by what it says."""
        try:
            outcome = await inquire(endpoint)
            self.metrics.count("inquiries_total", outcome=outcome)
            log_event(
                "endpoint_asked", endpoint=endpoint.endpoint_id, outcome=str(outcome)
            )
            match outcome:
                case InquiryOutcome.SERVES:
                    self.cache.confirm_returned(endpoint)
                case InquiryOutcome.LEAVES:
                    self.cache.endpoints.mark_leaving(endpoint)
        except Exception:
            eliot.write_traceback()
        finally:
            inquiry = self.inquiries.get(endpoint.endpoint_id)
            if inquiry is not None:
                inquiry.task = None

    def _open_count(self) -> int:
        return sum(1 for each in self.inquiries.values() if each.task is not None)

    def _cancel(self, inquiry: _Inquiry) -> None:
        if inquiry.task is not None:
            inquiry.task.cancel()

    def close(self) -> None:
        """Give up the inquiries on their way."""
        for inquiry in self.inquiries.values():
            self._cancel(inquiry)
        self.inquiries.clear()
