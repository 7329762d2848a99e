"""Guards against heads that two servers read differently, and heads without end."""

import pytest

from acaciarelay.protocol.request_head import find_head_problem

SOUND = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def test_a_sound_head_has_no_problem_however_much_of_it_has_arrived():
    """Guards against heads that are refused because their end is still missing."""
    for size in range(len(SOUND) + 1):
        part = SOUND[:size]
        assert find_head_problem(part, len(SOUND)) is None


@pytest.mark.parametrize(
    "head",
    [
        SOUND.replace(b"\r\n", b"\n"),
        SOUND.replace(b"Host", b"X: y\nHost"),
        SOUND.replace(b"a\r\n", b"a\r\n b\r\n"),
        SOUND.replace(b"a\r\n", b"a\r\n\tb\r\n"),
    ],
)
def test_bare_line_feeds_and_folded_fields_are_malformed(head):
    """Guards against requests smuggled past a lenient parser."""
    assert find_head_problem(head, 1000) == "malformed_http"


def test_a_head_beyond_the_limit_is_too_large_before_its_end():
    """Guards against a head that is collected without a bound."""
    assert find_head_problem(b"GET / HTTP/1.1\r\nX: " + b"y" * 100, 100) == (
        "head_too_large"
    )
