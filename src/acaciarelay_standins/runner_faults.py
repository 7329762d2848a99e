"""Faults of the stand-in of a runner, and endless parts of its answers."""

import itertools
import random
from collections.abc import Callable, Iterator

import attrs

__all__ = ["ENDLESS_PARTS", "GOOD_VERSION", "BadVersion", "RunnerFaults"]

_CHUNKED_HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
_UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRunner-Seal: s\r\n\r\n"


def _repeat(text: str) -> Iterator[str]:
    return itertools.repeat(text)


def _numbered_events() -> Iterator[str]:
    for first in itertools.count(1, 1_000):
        numbers = range(first, first + 1_000)
        yield "".join(f"id: {number}\ndata:\n\n" for number in numbers)


# Parts of an answer that can be sent without end: what comes first, and what follows.
ENDLESS_PARTS: dict[str, tuple[str, Callable[[], Iterator[str]]]] = {
    "head": (
        "HTTP/1.1 200 OK\r\nX-Filler: ",
        lambda: _repeat("x" * 65_536),
    ),
    "fields": ("HTTP/1.1 200 OK\r\n", lambda: _repeat("X-Filler: x\r\n" * 4_096)),
    "interim": ("", lambda: _repeat("HTTP/1.1 102 Processing\r\n\r\n" * 2_048)),
    "body": (_CHUNKED_HEAD, lambda: _repeat(f"10000\r\n{'x' * 65_536}\r\n")),
    "small_chunks": (_CHUNKED_HEAD, lambda: _repeat("1\r\nx\r\n" * 10_000)),
    "comments": (_CHUNKED_HEAD, lambda: _repeat("4\r\n: x\n\r\n" * 8_192)),
    "extension": (_CHUNKED_HEAD + "1;", lambda: _repeat("x" * 65_536)),
    "trailer": (_CHUNKED_HEAD + "0\r\nX-Filler: ", lambda: _repeat("x" * 65_536)),
    "trailer_fields": (_CHUNKED_HEAD + "0\r\n", lambda: _repeat("x:\r\n" * 16_384)),
    "blank_lines": (_UNFRAMED_HEAD, lambda: _repeat("\n" * 65_536)),
    "blank_crlf_lines": (_UNFRAMED_HEAD, lambda: _repeat("\r\n" * 32_768)),
    "empty_comments": (_UNFRAMED_HEAD, lambda: _repeat(":\n\n" * 21_845)),
    "events_without_data": (
        _UNFRAMED_HEAD,
        lambda: _repeat("event: a\n\n" * 6_553),
    ),
    "events_without_number": (
        _UNFRAMED_HEAD,
        lambda: _repeat("data:\n\n" * 9_362),
    ),
    "repeated_event": (_UNFRAMED_HEAD, lambda: _repeat("id: 1\ndata:\n\n" * 4_681)),
    "numbered_events": (_UNFRAMED_HEAD, _numbered_events),
}


@attrs.define
class RunnerFaults:
    """Faults to inject; each applies to every request while it is set.

    ``lose`` runs the request and resets the connection; ``cut_after`` resets it after
    that many events, with ``torn`` in the middle of an event. ``shed`` declines the
    request; ``error`` answers 500; ``foreign`` answers with another request's id;
    ``unsealed`` omits the seal; ``short`` ends a body early; ``garbage`` sends bytes
    that aren't HTTP; ``encoded`` declares a content encoding; ``silent`` never answers;
    ``extra`` sends bytes after a complete answer; ``wrong_endpoint`` answers as if
    another endpoint had the address. ``old_refusal`` runs the request but answers with
    a refusal that names no request. ``endless``, a name in ``ENDLESS_PARTS``, sends
    bytes of that part of an answer until the caller closes. ``drip_s`` sends one byte
    in that many seconds instead of an answer. ``lying`` answers health checks with 200
    despite the other faults, and with 503 when cleared. ``leaving`` says in each answer
    that the runner leaves; ``retry_after`` is the text of that header in a refusal.
    ``fatal_parts``, ids of parts of prompts, crash the runner when it begins to write
    an answer to a prompt with one of them.
    """

    lose: bool = False
    cut_after: int = 0
    torn: bool = False
    shed: bool = False
    error: bool = False
    foreign: bool = False
    unsealed: bool = False
    short: bool = False
    garbage: bool = False
    encoded: bool = False
    silent: bool = False
    extra: bool = False
    wrong_endpoint: bool = False
    old_refusal: bool = False
    endless: str = ""
    drip_s: float = 0.0
    lying: bool = True
    leaving: bool = False
    retry_after: str = ""
    fatal_parts: list[str] = attrs.Factory(list)


@attrs.define(kw_only=True)
class BadVersion:
    """Faults of a version of the software, which all runners of that version have.

    Of its answers the share ``failures`` are errors, and all take ``slowness`` times as
    long. With ``after_s`` this begins so many seconds after the runner's first request,
    with ``prefix`` it is limited to targets that begin with it, and with
    ``min_running`` to a runner with so many requests.
    """

    failures: float = 0.0
    slowness: float = 1.0
    after_s: float = 0.0
    prefix: str = ""
    min_running: int = 0
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    # Answers that have failed.
    failed: int = 0

    def applies(self, target: str, age_s: float, running: int) -> bool:
        """Return whether a request meets the faults."""
        if age_s < self.after_s or running < self.min_running:
            return False
        return target.startswith(self.prefix)

    def draw_failure(self) -> bool:
        """Return whether the next answer that meets the faults is an error."""
        fails = self.rng.random() < self.failures
        self.failed += fails
        return fails


GOOD_VERSION = BadVersion()
