"""Read an engine's reports of its load."""

import asyncio
import time
from collections.abc import Iterable

import h11
from result import Err, Ok

from acaciarelay.coordination.slowdown import SlowdownEstimate
from acaciarelay.platform.configuration import FormatError
from acaciarelay.platform.endpoints import EngineReport, decode_report
from acaciarelay.platform.headers import REPORT_PATH, decode_load
from acaciarelay.programs.logs import log_event
from acaciarelay.transport.endpoint_call import ConnectionFault, connect

__all__ = ["EngineReports"]

TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 65_536


class EngineReports:
    """Read the reports of the engine at ``IP:PORT``, and estimate its slowdown."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.slowdown = SlowdownEstimate()

    async def read(self) -> EngineReport | None:
        """Return the engine's report, or ``None`` after a logged failure."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await self._fetch()
        except TimeoutError:
            log_event("report_failed", detail="no report in time")
            return None

    async def _fetch(self) -> EngineReport | None:
        match await connect(self.address, TIMEOUT_S):
            case Err(fault):
                log_event("report_failed", detail=str(fault))
                return None
            case Ok(call):
                pass
        try:
            call.send("GET", REPORT_PATH, [("Host", self.address)], b"")
            received = bytearray()
            while True:
                match await call.next_event():
                    case h11.Response(headers=headers):
                        self._record_slowdown(headers)
                    case h11.Data(data=data):
                        received += data
                        if len(received) > MAX_REPORT_BYTES:
                            log_event("report_failed", detail="too large")
                            return None
                    case h11.EndOfMessage():
                        return decode_report(bytes(received))
                    case ConnectionFault() as fault:
                        log_event("report_failed", detail=str(fault))
                        return None
        except FormatError as error:
            log_event("report_failed", detail=str(error))
            return None
        finally:
            call.close()

    def _record_slowdown(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Record the slowdown that the engine reports in a header, if it does."""
        load = decode_load(
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
            ]
        )
        if load is not None and load.slowdown is not None:
            self.slowdown.record(load.slowdown, time.monotonic())
