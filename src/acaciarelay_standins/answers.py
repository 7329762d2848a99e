"""Answers of the stand-ins, each a deterministic function of its request.

Tests compute the expected answer with the same functions and compare every byte.
"""

from collections.abc import Iterator
from typing import Any

import attrs
import orjson
import xxhash

__all__ = [
    "ChatRequest",
    "expected_chat_answer",
    "json_answer",
    "lookup_answer",
    "parse_chat_request",
    "stream_events",
]

BYTES_PER_TOKEN = 4
# Prompt tokens of an image at the engine stand-in; the entry estimates another number.
TOKENS_PER_IMAGE = 256
DEFAULT_MAX_TOKENS = 64


@attrs.frozen
class ChatRequest:
    """Request fields used by the engine stand-in.

    The answer always has exactly ``max_tokens`` tokens. ``digest`` is a hash of the
    body.
    """

    model: str
    text: bytes
    image_count: int
    max_tokens: int
    stream: bool
    digest: int

    @property
    def prompt_tokens(self) -> int:
        return (
            max(1, len(self.text) // BYTES_PER_TOKEN)
            + self.image_count * TOKENS_PER_IMAGE
        )


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse a request; raises ``ValueError`` for a malformed one."""
    try:
        fields = orjson.loads(body)
        texts, image_count = _content(fields["messages"])
        return ChatRequest(
            str(fields["model"]),
            "".join(texts).encode(),
            image_count,
            max(1, int(fields.get("max_tokens", DEFAULT_MAX_TOKENS))),
            bool(fields.get("stream", False)),
            xxhash.xxh64_intdigest(body),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a chat request: {error!r}") from error


def _content(messages: list[Any]) -> tuple[list[str], int]:
    texts: list[str] = []
    image_count = 0
    for message in messages:
        content = message["content"]
        if isinstance(content, str):
            texts.append(content)
            continue
        for part in content:
            if part["type"] == "text":
                texts.append(part["text"])
            else:
                image_count += 1
    return texts, image_count


def _words(request: ChatRequest, start: int, stop: int) -> str:
    """Return the text of the answer's tokens in a range, one word for each token."""
    seed = request.digest
    return "".join(
        f"{xxhash.xxh32_intdigest(seed.to_bytes(8, 'big'), index):08x} "
        for index in range(start, stop)
    )


def _usage(request: ChatRequest) -> dict[str, int]:
    return {
        "prompt_tokens": request.prompt_tokens,
        "completion_tokens": request.max_tokens,
        "total_tokens": request.prompt_tokens + request.max_tokens,
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(value) + b"\n\n"


def stream_events(request: ChatRequest, tokens_per_event: int) -> Iterator[bytes]:
    """Render the answer as server-sent events.

    The last item holds two events: the one with ``usage``, and ``[DONE]``.
    """
    head = {
        "id": f"chatcmpl-{request.digest:016x}",
        "object": "chat.completion.chunk",
        "model": request.model,
    }
    for start in range(0, request.max_tokens, tokens_per_event):
        stop = min(start + tokens_per_event, request.max_tokens)
        delta = {"content": _words(request, start, stop)}
        yield _event({**head, "choices": [{"index": 0, "delta": delta}]})
    choice = {"index": 0, "delta": {}, "finish_reason": "length"}
    last = {**head, "choices": [choice], "usage": _usage(request)}
    yield _event(last) + b"data: [DONE]\n\n"


def json_answer(request: ChatRequest) -> bytes:
    """Render the answer as one JSON body."""
    message = {"role": "assistant", "content": _words(request, 0, request.max_tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "length"}
    return orjson.dumps(
        {
            "id": f"chatcmpl-{request.digest:016x}",
            "object": "chat.completion",
            "model": request.model,
            "choices": [choice],
            "usage": _usage(request),
        }
    )


def expected_chat_answer(body: bytes, tokens_per_event: int = 1) -> bytes:
    """Return the complete answer body for a request body."""
    request = parse_chat_request(body)
    if request.stream:
        return b"".join(stream_events(request, tokens_per_event))
    return json_answer(request)


def lookup_answer(service: str, item: str) -> bytes:
    """Return the body of the service stand-in's answer to a lookup."""
    value = f"{xxhash.xxh64_intdigest(f'{service}/{item}'.encode()):016x}"
    return orjson.dumps({"service": service, "id": item, "value": value})
