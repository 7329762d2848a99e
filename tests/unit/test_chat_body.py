"""Guard against misread chat bodies, and images that block the event loop."""

import orjson
import pytest
from hypothesis import given, strategies as st

from acaciarelay.protocol.chat_body import json_skeleton, read_chat
from acaciarelay.protocol.wire import BODY_CHUNK_BYTES


def pieces(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


def chat(content: object) -> dict:
    return {"model": "m", "messages": [{"role": "user", "content": content}]}


def test_image_data_is_not_parsed() -> None:
    """Guards against large images that are copied and parsed on the event loop."""
    image = {"type": "image_url", "image_url": {"url": "data:" + "A" * 1_000_000}}
    body = orjson.dumps(chat([{"type": "text", "text": "hello"}, image]))
    split = pieces(body, BODY_CHUNK_BYTES)
    assert len(json_skeleton(split)) < 3 * BODY_CHUNK_BYTES
    fields = read_chat(split).unwrap()
    assert (fields.images, fields.text_bytes, fields.prefix) == (1, 5, b"hello")


@given(st.text(max_size=60), st.integers(min_value=1, max_value=7))
def test_text_survives_any_split(text: str, size: int) -> None:
    """Guards against rejecting bodies split inside an escape or a character."""
    body = orjson.dumps(chat([{"type": "text", "text": text + "x"}]))
    assert read_chat(pieces(body, size)).is_ok()


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "invalid_json"),
        (b"{", "invalid_json"),
        (b"[]", "invalid_field"),
        (b"{}", "invalid_field"),
        (b'{"model":"m"}', "invalid_field"),
        (b'{"model":"m","messages":[]}', "invalid_field"),
        (b'{"model":"m","messages":[1]}', "invalid_field"),
        (b'{"model":"m","messages":[{}],"max_tokens":0}', "invalid_field"),
        (b'{"model":"m","messages":[{}],"stream":"yes"}', "invalid_field"),
    ],
)
def test_invalid_bodies_are_refused_with_a_code(body: bytes, code: str) -> None:
    assert read_chat([body]).unwrap_err().code.name == code
