"""Learn how fast an engine is from the answers that it gave."""

import attrs

from acaciarelay.coordination.rounding import coarse

__all__ = ["EngineModel", "EngineSpeed"]

# Weight of the newest answer in the means.
WEIGHT = 0.1
# Prompt tokens that the start of any request counts as.
START_TOKENS = 300
# Ratio of two neighbouring speeds that are told.
STEP = 1.15


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Tell how fast an engine is now, with the load that it has.

    ``first_s`` are the seconds to the first event for each 1,000 tokens of the prompt,
    ``token_s`` those for each token made after it; both are 0 while unknown.
    """

    first_s: float = 0.0
    token_s: float = 0.0

    def first_event_s(self, prompt_tokens: int) -> float:
        """Predict the time to the first event of an answer in seconds."""
        return self.first_s * (prompt_tokens + START_TOKENS) / 1000

    def stream_s(self, output_tokens: int) -> float:
        """Predict the time from the first event to the last one in seconds."""
        return self.token_s * output_tokens


class EngineModel:
    """Average what entries saw of the answers of one engine."""

    def __init__(self) -> None:
        self._first_s = 0.0
        # The callers' estimates of single answers are far off, but their sum is not.
        self._stream_s = 0.0
        self._stream_tokens = 0.0

    def observe(
        self, prompt_tokens: int, output_tokens: int, first_s: float, stream_s: float
    ) -> None:
        """Take one answer: time to its first event, and from there to its end."""
        part = first_s * 1000 / (prompt_tokens + START_TOKENS)
        self._first_s = _mean(self._first_s, part)
        self._stream_s = _mean(self._stream_s, stream_s)
        self._stream_tokens = _mean(self._stream_tokens, output_tokens)

    def speed(self) -> EngineSpeed:
        """Return the speed in coarse steps, so that small changes need not be told."""
        token_s = self._stream_s / self._stream_tokens if self._stream_tokens else 0.0
        return EngineSpeed(
            first_s=coarse(self._first_s, STEP), token_s=coarse(token_s, STEP)
        )


def _mean(before: float, newest: float) -> float:
    if before == 0:
        return newest
    return before + WEIGHT * (newest - before)
