"""Checks of the soak test: which answers violate a guarantee."""

import attrs
from relay_rig import RawAnswer

__all__ = ["Call", "describe", "find_violation"]

# Bytes of an answer that the report of a violation shows.
ANSWER_EXCERPT_BYTES = 200
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
EVENTS = [f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 11)]
# The same as runners write them that send numbered events without end.
EVENTS_WITHOUT_TEXT = [f"id: {n}\ndata:\n\n".encode() for n in range(1, 11)]


@attrs.frozen
class Call:
    """One call and its answer, which is ``None`` if the connection failed."""

    attempt: str
    target: str
    answer: RawAnswer | None


def describe(call: Call, calls: list[Call]) -> str:
    """Return what the caller got, and the targets of the calls before it."""
    answer = call.answer
    caller = call.attempt.partition("-")[0] + "-"
    own = [other for other in calls if other.attempt.startswith(caller)]
    before = [
        (other.attempt, other.target, other.answer and other.answer.status)
        for other in own[max(0, own.index(call) - 2) : own.index(call)]
    ]
    if answer is None:
        return f"no answer, after {before}"
    body = answer.body[:ANSWER_EXCERPT_BYTES]
    return f"{answer.status} {answer.headers} {body!r}, after {before}"


def add_text(body: bytes) -> bytes:
    """Return a stream with the text of its events, where a runner wrote none."""
    for bare, event in zip(EVENTS_WITHOUT_TEXT, EVENTS, strict=True):
        body = body.replace(bare, event)
    return body


def find_violation(call: Call, runs: int, may_lack_text: bool = False) -> str:
    """Return how a call and its runs violate a guarantee, or an empty text.

    With ``may_lack_text`` a runner may have written events without text, which are
    those of its run by their numbers.
    """
    once = call.target.startswith(("/order/", "/extra/"))
    if once and runs > 1:
        return f"ran {runs} times"
    answer = call.answer
    if answer is None or answer.status == 0:
        return ""
    if once and answer.status in NOT_EXECUTED_STATUSES and runs:
        return f"refused with {answer.status} and ran"
    if not 200 <= answer.status < 300:
        return ""
    if "runner-seal" not in answer.headers:
        return "success without a seal"
    if not call.target.startswith("/chat/"):
        matches = answer.body.endswith(f" to {call.attempt}".encode())
        return "" if matches or not answer.complete else "the answer of another request"
    body = add_text(answer.body) if may_lack_text else answer.body
    if answer.complete and body != b"".join(EVENTS):
        return "a stream that is marked complete with missing or wrong events"
    if not b"".join(EVENTS).startswith(body):
        return "a gap, a repeated or an unexpected event"
    return ""
