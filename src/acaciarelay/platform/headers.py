"""Decode and encode the headers of requests and answers on the platform."""

import math

import attrs

from acaciarelay.coordination.prompt_chain import (
    MIN_KEPT_TOKENS,
    PromptChain,
    is_chain,
    link_chain,
)
from acaciarelay.coordination.prompt_parts import PromptParts
from acaciarelay.protocol.http_message import Header, end_to_end_headers

__all__ = [
    "READY_PATH",
    "REPORT_PATH",
    "AnswerTraits",
    "LoadReport",
    "RequestTraits",
    "answer_headers",
    "decode_answer",
    "decode_load",
    "decode_request",
    "decode_request_id",
    "decode_retry_after",
    "endpoint_headers",
    "retry_after_header",
    "shared_part_ids",
]

READY_PATH = "/ready"
REPORT_PATH = "/report"

_ATTEMPT = "attempt-id"
_TIME_LIMIT = "deadline-ms"
_KEY = "api-key"
_ORGANISATION = "tenant"
_EXPECTED_ENDPOINT = "expect-instance"
_TOKENS = "token-usage"
_LENGTH_HINT = "length-hint"
_LAST_EVENT = "last-event-id"
_RESUMES = "resumes"
_PROMPT_PARTS = "prompt-prefix"
_SEAL = "runner-seal"
_NOT_RUN = "not-executed"
_LOAD = "runner-load"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_ENCODING = "content-encoding"
# Digits of the whole numbers that are read. Sums and products of longer ones might not
# fit the calculations.
MAX_DIGITS = 12
# Digits of event numbers, which are only compared.
MAX_EVENT_DIGITS = 18
# Characters of a request id that a resumed stream may name.
MAX_REQUEST_ID = 128
# Parts of a prompt of which the beginning that it shares with others is named.
MAX_CHAINED_PARTS = 64
# An endpoint that asks for a longer pause gets this one.
MAX_RETRY_AFTER_S = 3600.0
# The slowdown of a VM on which work takes as long as usual.
_USUAL_SLOWDOWN = 100
# Reserved for the relay, or read or set by it: a caller's value is never forwarded to
# an endpoint.
_SYSTEM_HEADERS = frozenset(
    [
        _KEY,
        _ORGANISATION,
        _EXPECTED_ENDPOINT,
        _TIME_LIMIT,
        "expect-version",
        "kv-hold",
        "kv-fetch",
        "kv-from",
        "kv-backup",
        "pin-ms",
        "content-length",
    ]
)


@attrs.frozen(kw_only=True)
class RequestTraits:
    """Properties of a request, decoded from its head.

    ``key`` is the caller key. ``output_tokens`` is the most that may be generated;
    ``expected_output`` is the caller's estimate. ``last_event`` is the number of the
    last event that the caller has received. ``resumes_stream`` is true when the caller
    has a part of the stream, and ``first_request`` is the id of its request that
    brought the first event, empty if it names none or several. ``shared_parts`` holds
    the parts of the prompt that other prompts may share, and ``shared_chain`` names the
    beginning of the prompt that they make up if it is long. ``forwarded`` lists the
    header fields to forward to an endpoint.
    """

    request_id: str
    time_limit_s: float | None
    key: str | None
    prompt_tokens: int | None
    output_tokens: int | None
    expected_output: int | None
    last_event: int | None
    resumes_stream: bool = False
    first_request: str = ""
    shared_parts: PromptParts
    shared_chain: PromptChain
    forwarded: list[Header]


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of an endpoint as its answers report it.

    ``slowdown`` is how long work takes on the endpoint's VM at the moment, relative to
    the usual time; ``None`` if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None


@attrs.frozen(kw_only=True)
class AnswerTraits:
    """Properties of an endpoint's answer, decoded from its head.

    ``sealed`` is true when it has the runner's seal, without which no answer is passed
    on to the caller; ``not_run`` when the endpoint reports that it did not run the
    request; ``encoded`` when the body has a content encoding; ``leaving`` when the
    endpoint reports that it leaves. ``retry_after_s`` is how long a refusing endpoint
    wants nothing from this process. ``load_text`` is the load report as received, and
    ``load`` what it says, ``None`` if it is unreadable.
    """

    request_id: str | None
    sealed: bool
    not_run: bool
    encoded: bool
    leaving: bool
    retry_after_s: float | None
    load_text: str | None
    load: LoadReport | None


def decode_request_id(headers: list[Header]) -> str:
    """Return the id of a request, even if other fields are malformed."""
    return dict(headers).get(_ATTEMPT, "")


def decode_request(headers: list[Header]) -> RequestTraits:
    """Decode a request's head; raises ``ValueError`` for a malformed field."""
    fields = dict(headers)
    limit = fields.get(_TIME_LIMIT)
    prompt, output = _token_counts(fields.get(_TOKENS))
    hint = fields.get(_LENGTH_HINT)
    last_event = fields.get(_LAST_EVENT)
    parts = _prompt_parts(headers)
    forwarded = []
    for header in end_to_end_headers(headers):
        if header[0] in _SYSTEM_HEADERS:
            continue
        forwarded.append(header)
    return RequestTraits(
        request_id=fields.get(_ATTEMPT, ""),
        time_limit_s=_milliseconds(limit) / 1000 if limit else None,
        key=fields.get(_KEY),
        prompt_tokens=prompt,
        output_tokens=output,
        expected_output=_whole(hint, MAX_DIGITS),
        last_event=_whole(last_event, MAX_EVENT_DIGITS),
        resumes_stream=bool(last_event and last_event.strip()),
        first_request=_first_request(headers),
        shared_parts=PromptParts.of_ids(_shared_part_ids(parts)),
        shared_chain=_shared_chain(parts, prompt or 0),
        forwarded=forwarded,
    )


def _first_request(headers: list[Header]) -> str:
    """Return the request id that a resumed stream names, empty if it is unusable."""
    ids = {value.strip() for name, value in headers if name == _RESUMES}
    if len(ids) != 1:
        return ""
    request_id = ids.pop()
    return request_id if len(request_id) <= MAX_REQUEST_ID else ""


def _shared_part_ids(text: str) -> set[str]:
    """Return the ids of all parts but the last, which is the request's own."""
    *shared, _ = text.lower().split(",")
    ids = set()
    for part in shared:
        part_id, colon, _ = part.rpartition(":")
        ids.add((part_id if colon else part).strip())
    return ids - {""}


def _shared_chain(text: str, prompt_tokens: int) -> PromptChain:
    """Return the chain of all parts but the last; empty for a short prompt."""
    if prompt_tokens < MIN_KEPT_TOKENS or not text:
        return {}
    own = _whole(text.rpartition(":")[2], MAX_DIGITS) or 0
    if prompt_tokens - own < MIN_KEPT_TOKENS:
        return {}
    *shared, _ = text.lower().split(",")
    parts = []
    for part in shared[:MAX_CHAINED_PARTS]:
        part_id, _, tokens = part.rpartition(":")
        parts.append((part_id.strip(), _whole(tokens, MAX_DIGITS) or 0))
    if sum(tokens for _, tokens in parts) < MIN_KEPT_TOKENS:
        return {}
    chain = link_chain(parts)
    return chain if is_chain(chain, prompt_tokens) else {}


def _prompt_parts(headers: list[Header]) -> str:
    """Return the list of parts, which may be in several fields."""
    return ",".join(value for name, value in headers if name == _PROMPT_PARTS)


def shared_part_ids(traits: RequestTraits) -> set[str]:
    """Return the ids of a prompt's shared parts, as the caller named them."""
    return _shared_part_ids(_prompt_parts(traits.forwarded))


def _token_counts(text: str | None) -> tuple[int | None, int | None]:
    if text is None:
        return None, None
    prompt, _, output = text.partition(",")
    counts = _whole(prompt, MAX_DIGITS), _whole(output or "0", MAX_DIGITS)
    if None in counts:
        # A negative cost, for one, would add to what the organisation may use.
        raise ValueError("unusable numbers of tokens")
    return counts


def _whole(text: str | None, most_digits: int) -> int | None:
    """Return a whole number; ``None`` for other text and for too many digits."""
    text = (text or "").strip()
    if not (text.isascii() and text.isdigit() and len(text) <= most_digits):
        return None
    return int(text)


def _milliseconds(text: str) -> float:
    """Return a duration, at least 0; raises ``ValueError`` if it is not a number."""
    milliseconds = float(text)
    if math.isnan(milliseconds):
        raise ValueError("a duration that is not a number")
    return max(0.0, milliseconds)


def endpoint_headers(
    traits: RequestTraits,
    *,
    host: str,
    body_bytes: int | None,
    endpoint_id: str,
    organisation: str | None,
    time_left_s: float,
    after_event: int | None,
) -> list[Header]:
    """Build the head of a request to one endpoint.

    ``after_event`` is the number of the event after which a stream is resumed, ``None``
    for the whole stream.
    """
    headers: list[Header] = [("Host", host)]
    for name, value in traits.forwarded:
        if name == _LAST_EVENT and traits.last_event is not None:
            continue
        headers.append((name, value))
    if after_event is not None:
        headers.append((_LAST_EVENT, str(after_event)))
    headers.append((_TIME_LIMIT, str(max(1, int(time_left_s * 1000)))))
    headers.append((_EXPECTED_ENDPOINT, endpoint_id))
    if organisation is not None:
        headers.append((_ORGANISATION, organisation))
    if body_bytes is not None:
        headers.append(("content-length", str(body_bytes)))
    return headers


def decode_answer(headers: list[Header]) -> AnswerTraits:
    """Decode the head of an endpoint's answer."""
    fields = dict(headers)
    return AnswerTraits(
        request_id=fields.get(_ATTEMPT),
        sealed=_SEAL in fields,
        not_run=_NOT_RUN in fields,
        encoded=_ENCODING in fields,
        leaving=_LEAVING in fields,
        retry_after_s=decode_retry_after(headers),
        load_text=fields.get(_LOAD),
        load=decode_load(headers),
    )


def decode_load(headers: list[Header]) -> LoadReport | None:
    """Decode the load report of an answer; ``None`` if it is missing or unreadable.

    Figures beyond the known ones are ignored.
    """
    text = dict(headers).get(_LOAD)
    if text is None:
        return None
    figures = [_whole(part, MAX_DIGITS) for part in text.split(",")]
    if None in figures or len(figures) < 3:
        return None
    running, waiting, slots, *others = [figure or 0 for figure in figures]
    slowdown = others[0] / _USUAL_SLOWDOWN if others and others[0] > 0 else None
    return LoadReport(running=running, waiting=waiting, slots=slots, slowdown=slowdown)


def decode_retry_after(headers: list[Header]) -> float | None:
    """Decode a pause in seconds; ``None`` if there is none or it is unreadable."""
    text = dict(headers).get(_RETRY_AFTER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    # False for NaN, too.
    if not seconds >= 0:
        return None
    return min(seconds, MAX_RETRY_AFTER_S)


def answer_headers(headers: list[Header]) -> list[Header]:
    """Return the fields of an endpoint's answer to forward to the caller."""
    kept = []
    for header in end_to_end_headers(headers):
        if header[0] in ("content-length", _LOAD, _LEAVING):
            continue
        kept.append(header)
    return kept


def retry_after_header(seconds: float) -> Header:
    """Build ``Retry-After``; the platform allows fractions of a second."""
    return "Retry-After", f"{max(0.0, seconds):.2f}"
