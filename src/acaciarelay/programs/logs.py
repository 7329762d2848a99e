"""Structured logs: one JSON object per line on standard error."""

import contextlib
import sys
from collections.abc import Callable, Iterable, Iterator

import eliot

__all__ = ["configure_logs", "log_errors", "log_event", "run_steps"]


def configure_logs(program: str, process_id: str) -> None:
    """Send log lines to standard error, each with the program and ``process_id``.

    ``process_id`` is the id of the entry or agent, not that of the operating system.
    """
    eliot.add_global_fields(program=program, process_id=process_id)
    eliot.to_file(sys.stderr)


def log_event(event: str, **fields: object) -> None:
    """Log one event; events of a request have the field ``request_id``."""
    eliot.log_message(message_type=event, **fields)


@contextlib.contextmanager
def log_errors() -> Iterator[None]:
    """Log an unexpected error instead of raising it."""
    try:
        yield
    except Exception:
        eliot.write_traceback()


def run_steps(steps: Iterable[Callable[[], None]]) -> None:
    """Run each step; log an unexpected error and go on with the next step."""
    for step in steps:
        with log_errors():
            step()
