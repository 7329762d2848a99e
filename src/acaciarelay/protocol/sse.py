"""Server-sent events: detect event streams, and report an error as an event."""

import orjson

from acaciarelay.protocol.codes import Refusal

__all__ = ["is_event_stream", "render_error_event"]


def is_event_stream(headers: list[tuple[str, str]]) -> bool:
    """Return whether an answer with these headers is an event stream."""
    for name, value in headers:
        if name.lower() == "content-type":
            return value.lower().startswith("text/event-stream")
    return False


def render_error_event(refusal: Refusal) -> bytes:
    """Render the error event that ends an incomplete answer."""
    error = {
        "code": refusal.code.number,
        "type": refusal.code.name,
        "outcome": str(refusal.code.outcome),
        "message": refusal.message,
    }
    return b"event: error\ndata: " + orjson.dumps({"error": error}) + b"\n\n"
