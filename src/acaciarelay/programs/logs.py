"""Structured logs: one JSON object a line on standard error."""

import sys

import eliot

__all__ = ["configure_logs", "log_event"]


def configure_logs(program: str, process_id: str) -> None:
    """Send log lines to standard error with the program and its id on each."""
    eliot.add_global_fields(program=program, process_id=process_id)
    eliot.to_file(sys.stderr)


def log_event(event: str, **fields: object) -> None:
    """Log one event; lines on a request carry ``request_id``."""
    eliot.log_message(message_type=event, **fields)
