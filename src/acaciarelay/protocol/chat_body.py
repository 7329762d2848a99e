"""Reads the fields of a chat request's body that scheduling needs."""

import re
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from acaciarelay.protocol.codes import Refusal, refuse

__all__ = ["ChatFields", "json_skeleton", "read_chat"]

PREFIX_BYTES = 1_024
# More are refused, so that one request can't block the event loop for long.
MAX_MESSAGES = 10_000
# A shorter piece may belong to a field name or to message text, which must be kept.
MIN_SKIPPED_BYTES = 8_192
QUOTE_OR_ESCAPE = re.compile(rb'\\.|"', re.DOTALL)


@attrs.define
class ChatFields:
    """Fields of a chat request.

    ``text_bytes`` is the length of the text of all its messages in UTF-8 and ``prefix``
    the start of that text, up to ``PREFIX_BYTES``. ``images`` is the number of images.
    """

    model: str = ""
    stream: bool = False
    max_tokens: int | None = None
    text_bytes: int = 0
    images: int = 0
    prefix: bytes = b""


def json_skeleton(pieces: list[bytes]) -> bytes:
    """Join the pieces of a JSON text, omitting long ones that lie inside a string.

    Pieces of at least ``MIN_SKIPPED_BYTES`` in ASCII without a quote or an escape are
    taken for image data. They are neither copied nor parsed, since parsing 5 MB would
    block the event loop for 190 ms.
    """
    kept = []
    in_string = False
    escaped = False
    for piece in pieces:
        plain = b'"' not in piece and b"\\" not in piece
        long = len(piece) >= MIN_SKIPPED_BYTES
        if long and in_string and plain and not escaped and piece.isascii():
            continue
        kept.append(piece)
        scanned = piece[1:] if escaped else piece
        escaped = False
        position = 0
        for match in QUOTE_OR_ESCAPE.finditer(scanned):
            position = match.end()
            if match.group() == b'"':
                in_string = not in_string
        escaped = scanned.endswith(b"\\") and position < len(scanned)
    return b"".join(kept)


def read_chat(body: list[bytes]) -> Result[ChatFields, Refusal]:
    """Read the fields of a chat request."""
    try:
        request = orjson.loads(json_skeleton(body))
    except orjson.JSONDecodeError as error:
        return Err(refuse("invalid_json", str(error)))
    if not isinstance(request, dict):
        return Err(refuse("invalid_field", "The body must be an object"))
    fields = ChatFields()
    problem = _read_scalars(fields, request) or _read_messages(fields, request)
    if problem:
        return Err(refuse("invalid_field", problem))
    return Ok(fields)


def _read_scalars(fields: ChatFields, request: dict[str, Any]) -> str | None:
    model = request.get("model")
    if not isinstance(model, str) or not model:
        return "model must be a text that is not empty"
    fields.model = model
    stream = request.get("stream") or False
    if not isinstance(stream, bool):
        return "stream must be true or false"
    fields.stream = stream
    for name in ("max_tokens", "max_completion_tokens"):
        value = request.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            return f"{name} must be a whole number above 0"
        fields.max_tokens = value
    return None


def _read_messages(fields: ChatFields, request: dict[str, Any]) -> str | None:
    messages = request.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages must be a list that is not empty"
    if len(messages) > MAX_MESSAGES:
        return f"messages may have {MAX_MESSAGES} items"
    for message in messages:
        if not isinstance(message, dict):
            return "each of messages must be an object"
        _read_content(fields, message.get("content"))
    return None


def _read_content(fields: ChatFields, content: object) -> None:
    if isinstance(content, str):
        _read_text(fields, content)
        return
    if not isinstance(content, list):
        return
    for part in content:
        if not isinstance(part, dict):
            continue
        if part.get("type") == "image_url":
            fields.images += 1
        text = part.get("text")
        if isinstance(text, str):
            _read_text(fields, text)


def _read_text(fields: ChatFields, text: str) -> None:
    data = text.encode("utf-8", "replace")
    fields.text_bytes += len(data)
    if len(fields.prefix) < PREFIX_BYTES:
        fields.prefix += data[: PREFIX_BYTES - len(fields.prefix)]
