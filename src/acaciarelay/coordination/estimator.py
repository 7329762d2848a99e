"""Estimates of a request's tokens from its size and from earlier requests."""

from collections import OrderedDict

import attrs

__all__ = ["Estimate", "TokenEstimator"]

BYTES_PER_TOKEN = 4
TOKENS_PER_IMAGE = 800
DEFAULT_ANSWER_TOKENS = 256
# Weight of one request in the exponential averages.
SAMPLE_WEIGHT = 0.1
# Requests after which an organisation's average counts as much as its model's.
MODEL_PRIOR_REQUESTS = 4
# Bounds of the ratio of actual to estimated prompt tokens.
MIN_PROMPT_FACTOR = 0.1
MAX_PROMPT_FACTOR = 10.0
# One history for each of the 18,000 organisations at the design scale.
MAX_HISTORIES = 18_000


@attrs.frozen
class Estimate:
    """Estimated tokens; ``raw_prompt_tokens`` is without correction by history."""

    prompt_tokens: int
    answer_tokens: int
    raw_prompt_tokens: int = 0

    @property
    def total(self) -> int:
        return self.prompt_tokens + self.answer_tokens


@attrs.define(eq=False)
class _History:
    """Exponential averages; ``factor`` is the ratio of actual to raw prompt tokens."""

    factor: float = 1.0
    answer: float = float(DEFAULT_ANSWER_TOKENS)
    requests: int = 0

    def observe(self, factor: float, answer_tokens: int) -> None:
        # The first requests are averaged evenly, so the initial value has no weight.
        self.requests += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.requests)
        self.factor += weight * (factor - self.factor)
        self.answer += weight * (answer_tokens - self.answer)


class TokenEstimator:
    """Estimate tokens by organisation and model.

    The least recently used histories are dropped.
    """

    def __init__(self, max_histories: int = MAX_HISTORIES) -> None:
        self.max_histories = max_histories
        self._models: OrderedDict[str, _History] = OrderedDict()
        self._pairs: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def estimate(
        self,
        organisation: str,
        model: str,
        prompt_bytes: int,
        images: int,
        max_answer: int,
    ) -> Estimate:
        """Estimate a request; ``max_answer`` of 0 means that it sets no limit."""
        raw = max(1, prompt_bytes // BYTES_PER_TOKEN + images * TOKENS_PER_IMAGE)
        model_history = self._models.get(model) or _History()
        own = self._pairs.get((organisation, model)) or model_history
        own_weight = own.requests / (own.requests + MODEL_PRIOR_REQUESTS)
        factor = own_weight * own.factor + (1 - own_weight) * model_history.factor
        answer = own_weight * own.answer + (1 - own_weight) * model_history.answer
        if max_answer > 0:
            answer = min(answer, max_answer)
        return Estimate(max(1, round(raw * factor)), max(1, round(answer)), raw)

    def observe(
        self,
        organisation: str,
        model: str,
        estimate: Estimate,
        prompt_tokens: int,
        answer_tokens: int,
    ) -> None:
        """Update the histories with the actual tokens of a finished request."""
        # The actual tokens are compared with the raw estimate: with a corrected one,
        # requests that were estimated at the same time would compound the correction.
        raw = max(1, estimate.raw_prompt_tokens or estimate.prompt_tokens)
        factor = min(MAX_PROMPT_FACTOR, max(MIN_PROMPT_FACTOR, prompt_tokens / raw))
        histories = (
            self._recent(self._models, model),
            self._recent(self._pairs, (organisation, model)),
        )
        for history in histories:
            history.observe(factor, answer_tokens)

    def _recent(self, histories: OrderedDict, key: object) -> _History:
        history: _History | None = histories.get(key)
        if history is None:
            history = histories[key] = _History()
        histories.move_to_end(key)
        if len(histories) > self.max_histories:
            histories.popitem(last=False)
        return history
