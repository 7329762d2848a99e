"""Estimates of a request's tokens from its size and from earlier requests."""

from collections import OrderedDict

import attrs

__all__ = ["Estimate", "TokenEstimator"]

BYTES_PER_TOKEN = 4
TOKENS_PER_IMAGE = 800
DEFAULT_ANSWER_TOKENS = 256
# Weight of one request in the exponential averages.
WEIGHT = 0.1
# An organisation's average counts as much as its model's after this many requests.
TRUSTED_REQUESTS = 4
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
# One history of each of the 18,000 organisations of the design scale.
MAX_HISTORIES = 18_000


@attrs.frozen
class Estimate:
    """Hold estimated tokens; ``raw_prompt_tokens`` is before correction by history."""

    prompt_tokens: int
    answer_tokens: int
    raw_prompt_tokens: int = 0

    @property
    def total(self) -> int:
        return self.prompt_tokens + self.answer_tokens


@attrs.define(eq=False)
class _History:
    """Hold exponential averages; ``factor`` is actual over raw prompt tokens."""

    factor: float = 1.0
    answer: float = float(DEFAULT_ANSWER_TOKENS)
    requests: int = 0

    def observe(self, factor: float, answer_tokens: int) -> None:
        # The first requests are averaged evenly, so the start value has no weight.
        self.requests += 1
        weight = max(WEIGHT, 1 / self.requests)
        self.factor += weight * (factor - self.factor)
        self.answer += weight * (answer_tokens - self.answer)


class TokenEstimator:
    """Estimate tokens by organisation and model; rarely used histories are dropped."""

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
        general = self._models.get(model) or _History()
        own = self._pairs.get((organisation, model)) or general
        trust = own.requests / (own.requests + TRUSTED_REQUESTS)
        factor = trust * own.factor + (1 - trust) * general.factor
        answer = trust * own.answer + (1 - trust) * general.answer
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
        """Learn from a finished request."""
        # The raw estimate is compared, since a corrected one would compound the
        # correction over requests that were estimated at the same time.
        raw = max(1, estimate.raw_prompt_tokens or estimate.prompt_tokens)
        factor = min(MAX_FACTOR, max(MIN_FACTOR, prompt_tokens / raw))
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
