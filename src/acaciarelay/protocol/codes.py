"""Numbered result codes, and the refusals that report them to callers."""

import enum

import attrs

__all__ = ["CODES", "Outcome", "Refusal", "ResultCode", "code_by_number", "refuse"]


class Outcome(enum.StrEnum):
    """Whether a request ran."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "outcome_unknown"


@attrs.frozen
class ResultCode:
    """One result code; ``status`` is its HTTP status.

    ``retryable`` is true when the same request may succeed later unchanged.
    """

    number: int
    name: str
    status: int
    outcome: Outcome
    advice: str
    retryable: bool = False


@attrs.frozen
class Refusal:
    """Why a request was not answered completely.

    ``retry_after_s`` is the delay in seconds that ``Retry-After`` advises before a
    retry; the response has no such field when it is ``None``.
    """

    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def message(self) -> str:
        if not self.detail:
            return self.code.advice
        return f"{self.detail}. {self.code.advice}"


_N, _R, _U = Outcome.NOT_RUN, Outcome.RAN, Outcome.UNKNOWN

_TABLE = [
    # 1xx: invalid input.
    (100, "malformed_http", 400, _N, "Send a well-formed HTTP/1.1 request.", False),
    (101, "head_too_large", 431, _N, "Send fewer or shorter header fields.", False),
    (102, "body_too_large", 413, _N, "Send a smaller body.", False),
    (103, "body_too_slow", 408, _N, "Send the body without long pauses.", False),
    (104, "invalid_json", 400, _N, "Send a body that is valid JSON.", False),
    (105, "invalid_field", 400, _N, "Correct the named field.", False),
    (106, "unknown_path", 404, _N, "Use a path from the documentation.", False),
    (107, "method_not_allowed", 405, _N, "Use a method that the path allows.", False),
    (108, "length_required", 411, _N, "Send Content-Length.", False),
    (109, "head_too_slow", 408, _N, "Send the request head without pauses.", False),
    (
        110,
        "exceeds_engine_memory",
        503,
        _N,
        "Send a shorter prompt or ask for a shorter answer.",
        False,
    ),
    # 2xx: identity and policy.
    (200, "unknown_key", 401, _N, "Send the bearer key of an organisation.", False),
    (201, "unknown_model", 404, _N, "Name a model that a pool serves.", False),
    (202, "unknown_service", 404, _N, "Name a service that a pool serves.", False),
    (203, "tier_not_allowed", 403, _N, "Use a request class of your policy.", False),
    (204, "rate_limited", 429, _N, "Wait for Retry-After, then retry.", True),
    # 3xx: capacity.
    (300, "shed", 503, _N, "Wait for Retry-After, then retry.", True),
    (301, "deadline_exceeded", 504, _N, "Retry later or allow more time.", True),
    (302, "entry_overloaded", 503, _N, "Wait for Retry-After, then retry.", True),
    (303, "no_endpoint", 503, _N, "Wait for Retry-After, then retry.", True),
    (304, "entry_stopping", 503, _N, "Retry; another entry will answer.", True),
    (305, "not_ready", 503, _N, "Retry; this entry has no configuration yet.", True),
    (306, "retry_budget_spent", 503, _N, "Wait for Retry-After, then retry.", True),
    (
        307,
        "prompt_suspected",
        503,
        _N,
        "A part of this prompt ended several endpoints. Retry after Retry-After.",
        True,
    ),
    (
        308,
        "endpoints_deferred",
        503,
        _N,
        "All endpoints asked for a pause. Wait for Retry-After, then retry.",
        True,
    ),
    (
        309,
        "stream_origin_unknown",
        503,
        _N,
        "The version that began this stream is not known here. Start it anew.",
        True,
    ),
    (
        310,
        "stream_version_gone",
        503,
        _N,
        "No endpoint of the version that began this stream serves. Start it anew.",
        True,
    ),
    (
        311,
        "stream_foreign",
        503,
        _N,
        "Events of this stream were sent by a faulty endpoint. Start it anew.",
        True,
    ),
    # 4xx: idempotency.
    (400, "key_required", 400, _N, "Send an Idempotency-Key with this call.", False),
    (401, "key_conflict", 409, _N, "Use a new key for a different body.", False),
    (402, "key_in_progress", 409, _N, "Wait, then repeat with the same key.", True),
    (
        403,
        "key_unsettled",
        409,
        _U,
        "Repeat later; if it stays, ask the operator.",
        True,
    ),
    # 5xx: endpoint failures and unknown outcomes.
    (500, "outcome_unknown", 502, _U, "Check the effect before repeating.", False),
    (501, "endpoint_stalled", 504, _R, "The answer is incomplete; retry.", True),
    (502, "preempted", 503, _R, "Stopped for more urgent work; retry.", True),
    (503, "endpoint_failed", 502, _R, "The answer is incomplete; retry.", True),
    (504, "answer_cut", 502, _R, "The deadline passed during the answer.", True),
    (505, "caller_gone", 499, _R, "The caller closed the connection.", False),
    (507, "outcome_late", 504, _U, "Check the effect before repeating.", False),
    (
        508,
        "entry_stopped",
        502,
        _U,
        "The entry stopped during the request. Check the effect before repeating.",
        False,
    ),
    (506, "internal_error", 500, _U, "Check the effect; report the request id.", False),
    # 6xx: platform.
    (600, "platform_unavailable", 503, _N, "Retry later; nothing was run.", True),
    (601, "platform_unknown", 503, _U, "Read the record before repeating.", False),
    # 7xx: administration.
    (700, "operator_key_required", 401, _N, "Send the operator key.", False),
    (701, "record_invalid", 400, _N, "Correct the named fields.", False),
    (702, "record_conflict", 409, _N, "Read the current revision, then apply.", False),
    (703, "record_missing", 404, _N, "Name a record that exists.", False),
    (704, "schema_too_new", 409, _N, "Upgrade all processes first.", False),
    (705, "dangling_reference", 400, _N, "Create the named record first.", False),
    # 8xx: settings and command line.
    (800, "settings_invalid", 500, _N, "Correct all the settings listed.", False),
    (801, "connection_failed", 500, _N, "Check the address and the network.", True),
]

CODES = {row[1]: ResultCode(*row) for row in _TABLE}
_BY_NUMBER = {code.number: code for code in CODES.values()}


def code_by_number(number: int) -> ResultCode:
    """Return the code with this number; raises ``KeyError`` for an unknown one."""
    return _BY_NUMBER[number]


def refuse(name: str, detail: str = "", retry_after_s: float | None = None) -> Refusal:
    """Build a refusal with the code of this name.

    ``retry_after_s`` is in seconds. Raises ``KeyError`` for an unknown name.
    """
    return Refusal(CODES[name], detail, retry_after_s)
