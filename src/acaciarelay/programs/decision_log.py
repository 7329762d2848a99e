"""Structured log on standard output: rate limited, buffered and non-blocking."""

import atexit
import os
import sys
import time
from typing import Any

import eliot
import orjson

__all__ = ["DecisionLog", "configure_decision_log"]

# Lines beyond this rate are counted and dropped.
MAX_LINES_PER_S = 60
MAX_BUFFER_BYTES = 262_144
# Fields that identify the time and the process of a line.
ORIGIN_FIELDS = ("timestamp", "program", "name", "pid")


class DecisionLog:
    """Write log messages as JSON lines to a non-blocking file descriptor.

    Messages with a true field ``always`` are exempt from the rate limit.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.second = 0
        self.lines = 0
        # Lines dropped since the last report: by the rate limit, and by a full buffer.
        self.over_rate = 0
        self.output_blocked = 0
        # The origin of the last line that was dropped.
        self.origin: dict[str, Any] = {}

    def write(self, message: dict[str, Any]) -> None:
        """Write one message; called by the logging library."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines = 0
            self.report_left_out(message)
        self.lines += 1
        if self.lines > MAX_LINES_PER_S and not message.get("always"):
            self.over_rate += 1
            self.origin = message
            return
        for field in ("task_uuid", "task_level", "always"):
            message.pop(field, None)
        self._append(message)
        self.flush()

    def report_left_out(self, message: dict[str, Any]) -> None:
        """Append a count of the lines left out, with the origin of ``message``."""
        if not self.over_rate and not self.output_blocked:
            return
        origin = {f: message[f] for f in ORIGIN_FIELDS if f in message}
        report = origin | {
            "message_type": "log_lines_left_out",
            "over_rate": self.over_rate,
            "output_blocked": self.output_blocked,
        }
        self.over_rate = self.output_blocked = 0
        self._append(report)

    def close(self) -> None:
        """Report the lines left out since the last report, and write the buffer."""
        self.report_left_out(self.origin)
        self.flush()

    def _append(self, message: dict[str, Any]) -> None:
        line = orjson.dumps(message, default=str) + b"\n"
        if len(self.buffer) + len(line) > MAX_BUFFER_BYTES:
            self.output_blocked += 1
            return
        self.buffer += line

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts without blocking."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, so there is nowhere left to report it.
                self.buffer.clear()
                return
            del self.buffer[:written]


def configure_decision_log(program: str, name: str) -> DecisionLog:
    """Send log lines to standard output with program, name and process id on each."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    log = DecisionLog(descriptor)
    eliot.add_global_fields(program=program, name=name, pid=os.getpid())
    eliot.add_destinations(log.write)
    atexit.register(log.close)
    return log
