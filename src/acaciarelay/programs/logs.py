"""Structured logs: one JSON object per line on standard error."""

import sys

import eliot

__all__ = ["configure_logs", "log_event"]


def configure_logs(program: str, process_id: str) -> None:
    """Send log lines to standard error, each with the program and ``process_id``.

    ``process_id`` is the id of the entry or agent, not that of the operating system.
    """
    eliot.add_global_fields(program=program, process_id=process_id)
    eliot.to_file(sys.stderr)


def log_event(event: str, **fields: object) -> None:
    """Log one event; events of a request have the field ``request_id``."""
    eliot.log_message(message_type=event, **fields)
