"""Read token counts, times and completeness from a chat engine's answer."""

from collections.abc import Sequence
from typing import Any, Protocol

import attrs
import ijson
import orjson

from acaciarelay.transport.endpoints.base import Header

__all__ = ["ChatAnswerObserver", "Usage"]

MAX_EVENT_BYTES = 1_048_576
DONE = b"[DONE]"


@attrs.frozen
class Usage:
    """Token counts as the engine reports them."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


class BodyReader(Protocol):
    """Parser of an answer body that is fed piece by piece."""

    usage: Usage | None

    def feed(self, data: bytes, now: float) -> bool:
        """Parse a piece; return whether it counts as progress."""

    def is_complete(self) -> bool:
        """Return whether the body was received up to its end."""


class EventStreamReader:
    """Parse server-sent events; each ``data`` line counts as one event.

    Only an incomplete line is buffered, up to ``MAX_EVENT_BYTES``.
    """

    def __init__(self) -> None:
        self.usage: Usage | None = None
        self.done = False
        self.partial = b""
        self.token_events = 0
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None

    def feed(self, data: bytes, now: float) -> bool:
        # An incomplete line over the limit is discarded; its tokens and usage are not
        # counted.
        *lines, self.partial = (self.partial + data).split(b"\n")
        if len(self.partial) > MAX_EVENT_BYTES:
            self.partial = b""
        advanced = False
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            advanced = True
            self.read_event(line[len(b"data:") :].strip(), now)
        return advanced

    def read_event(self, payload: bytes, now: float) -> None:
        if payload == DONE:
            self.done = True
            return
        # After the first token an event without ``usage`` counts as one with tokens and
        # is not parsed. Most events hold one token and no usage, and parsing each of
        # them would take too much CPU time.
        if self.first_token_at is None or b'"usage"' in payload:
            value = _parse(payload)
            self.usage = _usage_of(value) or self.usage
            if not _has_tokens(value):
                return
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now
        self.token_events += 1

    def is_complete(self) -> bool:
        return self.done


class JsonReader:
    """Extract ``usage`` from a JSON answer and check that the JSON is complete."""

    def __init__(self) -> None:
        self.usage: Usage | None = None
        self.usage_values = ijson.sendable_list()
        self.parser = ijson.items_coro(self.usage_values, "usage")
        self.malformed = False

    def feed(self, data: bytes, now: float) -> bool:
        if self.malformed:
            return True
        try:
            self.parser.send(data)
        except ijson.JSONError:
            self.malformed = True
        for value in self.usage_values:
            self.usage = _usage_of({"usage": value})
        del self.usage_values[:]
        return True

    def is_complete(self) -> bool:
        if self.malformed:
            return False
        try:
            self.parser.close()
        except ijson.JSONError:
            return False
        return True


class OpaqueReader:
    """Accept any body; only its HTTP framing tells whether it is complete."""

    usage: Usage | None = None

    def feed(self, data: bytes, now: float) -> bool:
        return True

    def is_complete(self) -> bool:
        return True


class ChatAnswerObserver:
    """Observe an answer with a reader for its content type."""

    def __init__(self) -> None:
        self.reader: BodyReader = OpaqueReader()

    def head(self, status: int, headers: Sequence[Header]) -> None:
        if status != 200:
            return
        content_type = ""
        for name, value in headers:
            if name.lower() == "content-type":
                content_type = value.partition(";")[0].strip().lower()
        match content_type:
            case "text/event-stream":
                self.reader = EventStreamReader()
            case "application/json":
                self.reader = JsonReader()

    def chunk(self, data: bytes, now: float) -> bool:
        """Parse a piece of the body; return whether it counts as progress."""
        return self.reader.feed(data, now)


def _parse(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except orjson.JSONDecodeError:
        return None


def _usage_of(value: Any) -> Usage | None:
    match value:
        case {"usage": {"prompt_tokens": prompt, "completion_tokens": answer}}:
            return Usage(int(prompt), int(answer))
    return None


def _has_tokens(value: Any) -> bool:
    match value:
        case {"choices": [{"delta": dict(delta)}, *_]}:
            return any(part for name, part in delta.items() if name != "role")
    return False
