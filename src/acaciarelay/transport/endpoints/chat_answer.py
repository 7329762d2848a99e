"""Read token counts, times and completeness from a chat engine's answer."""

from collections.abc import Sequence
from typing import Any, Protocol

import attrs
import ijson
import orjson

from acaciarelay.transport.endpoints.base import Header

__all__ = ["ChatAnswer", "Usage"]

MAX_EVENT_BYTES = 1_048_576
DONE = b"[DONE]"


@attrs.frozen
class Usage:
    """Hold the token counts that an engine reports."""

    prompt_tokens: int = 0
    answer_tokens: int = 0


class BodyReader(Protocol):
    """Read the body of an answer piece by piece."""

    usage: Usage | None

    def feed(self, data: bytes, now: float) -> bool:
        """Read a piece; return whether it shows progress."""

    def whole(self) -> bool:
        """Return whether the body has reached its end."""


class EventStreamReader:
    """Read server-sent events without keeping more than one of them."""

    def __init__(self) -> None:
        self.usage: Usage | None = None
        self.done = False
        self.partial = b""
        self.token_events = 0
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None

    def feed(self, data: bytes, now: float) -> bool:
        # An event over the limit is read in parts, and its counts are lost.
        *lines, self.partial = (self.partial + data).split(b"\n")
        if len(self.partial) > MAX_EVENT_BYTES:
            self.partial = b""
        advanced = False
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            advanced = True
            self.event(line[len(b"data:") :].strip(), now)
        return advanced

    def event(self, payload: bytes, now: float) -> None:
        if payload == DONE:
            self.done = True
            return
        # Parsing each event would cost too much; most hold one token and no usage.
        if self.first_token_at is None or b'"usage"' in payload:
            value = _parse(payload)
            self.usage = _usage_of(value) or self.usage
            if not _has_tokens(value):
                return
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now
        self.token_events += 1

    def whole(self) -> bool:
        return self.done


class JsonReader:
    """Read ``usage`` from a JSON answer and check that the JSON is complete."""

    def __init__(self) -> None:
        self.usage: Usage | None = None
        self.found = ijson.sendable_list()
        self.parser = ijson.items_coro(self.found, "usage")
        self.broken = False

    def feed(self, data: bytes, now: float) -> bool:
        if self.broken:
            return True
        try:
            self.parser.send(data)
        except ijson.JSONError:
            self.broken = True
        for value in self.found:
            self.usage = _usage_of({"usage": value})
        del self.found[:]
        return True

    def whole(self) -> bool:
        if self.broken:
            return False
        try:
            self.parser.close()
        except ijson.JSONError:
            return False
        return True


class OpaqueReader:
    """Accept any body; its HTTP framing alone says whether it is whole."""

    usage: Usage | None = None

    def feed(self, data: bytes, now: float) -> bool:
        return True

    def whole(self) -> bool:
        return True


class ChatAnswer:
    """Observe an answer and choose a reader by its head."""

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
