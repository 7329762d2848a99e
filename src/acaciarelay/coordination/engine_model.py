"""Estimate the speed of an engine from the timing of its answers."""

import math
from collections.abc import Iterable

import attrs

from acaciarelay.coordination.rounding import round_to_power

__all__ = ["SPEED_STEP_RATIO", "EngineModel", "EngineSpeed", "assumed_speed"]

# Weight of the newest answer in the moving averages. Answers within the window share
# it: those that a pause of the engine delayed arrive together.
SAMPLE_WEIGHT = 0.1
SAMPLE_WINDOW_S = 0.2
# The time to a first event counts as at most this multiple of the average.
MAX_SAMPLE_RATIO = 3.0
# Fixed cost of starting a request, in prompt tokens.
OVERHEAD_TOKENS = 300
# Ratio of neighbouring values to which the reported speeds are rounded.
SPEED_STEP_RATIO = 1.15


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed of an engine under its present load.

    ``first_s`` is the time in seconds to the first event per 1,000 tokens of prompt
    plus ``OVERHEAD_TOKENS``, ``token_s`` the time in seconds per token generated after
    it; both are 0 while unknown.
    """

    first_s: float = 0.0
    token_s: float = 0.0

    def first_event_s(self, prompt_tokens: int) -> float:
        """Predict the time in seconds to the first event of an answer."""
        return self.first_s * (prompt_tokens + OVERHEAD_TOKENS) / 1000

    def stream_s(self, output_tokens: int) -> float:
        """Predict the time in seconds from the first event to the last one."""
        return self.token_s * output_tokens


def assumed_speed(
    slowdown: float, known: Iterable[tuple[EngineSpeed, float]]
) -> EngineSpeed:
    """Return the speed to assume for an engine of which no answer was measured yet.

    It is the mean speed of the engines in ``known``, each with the slowdown of its VM,
    as it would be with the given slowdown.
    """
    first_s = []
    token_s = []
    for speed, other_slowdown in known:
        if speed.first_s:
            first_s.append(speed.first_s / other_slowdown)
        if speed.token_s:
            token_s.append(speed.token_s / other_slowdown)
    return EngineSpeed(
        first_s=slowdown * sum(first_s) / len(first_s) if first_s else 0.0,
        token_s=slowdown * sum(token_s) / len(token_s) if token_s else 0.0,
    )


class EngineModel:
    """Moving averages of the answer times that entries measured at one engine."""

    def __init__(self) -> None:
        self._first_s_per_1000_tokens = 0.0
        # Callers' token estimates are far off for single answers but right on average,
        # so times and tokens are averaged separately.
        self._stream_s = 0.0
        self._stream_tokens = 0.0
        self._observed_at = -math.inf

    def observe(
        self,
        prompt_tokens: int,
        output_tokens: int,
        first_s: float,
        stream_s: float,
        now: float,
    ) -> None:
        """Record the seconds to an answer's first event, and from there to its end."""
        age = min(1.0, max(0.0, now - self._observed_at) / SAMPLE_WINDOW_S)
        weight = SAMPLE_WEIGHT * age
        self._observed_at = now
        before = self._first_s_per_1000_tokens
        s_per_1000_tokens = first_s * 1000 / (prompt_tokens + OVERHEAD_TOKENS)
        if before:
            s_per_1000_tokens = min(s_per_1000_tokens, MAX_SAMPLE_RATIO * before)
        self._first_s_per_1000_tokens = _moving_average(
            before, s_per_1000_tokens, weight
        )
        self._stream_s = _moving_average(self._stream_s, stream_s, weight)
        self._stream_tokens = _moving_average(
            self._stream_tokens, output_tokens, weight
        )

    def speed(self) -> EngineSpeed:
        """Return the speed, rounded so that small changes are not sent to entries."""
        token_s = self._stream_s / self._stream_tokens if self._stream_tokens else 0.0
        return EngineSpeed(
            first_s=round_to_power(self._first_s_per_1000_tokens, SPEED_STEP_RATIO),
            token_s=round_to_power(token_s, SPEED_STEP_RATIO),
        )


def _moving_average(before: float, newest: float, weight: float) -> float:
    if before == 0:
        return newest
    return before + weight * (newest - before)
