"""Guard against estimates that never adapt, diverge or use unbounded memory."""

import pytest

from acaciarelay.coordination.estimator import DEFAULT_ANSWER_TOKENS, TokenEstimator


def test_a_new_organisation_gets_defaults_and_the_answer_limit() -> None:
    """Guards against a first estimate of zero tokens."""
    estimate = TokenEstimator().estimate("a", "m", 4_000, 0, 0)
    assert estimate.total == 1_000 + DEFAULT_ANSWER_TOKENS
    estimate = TokenEstimator().estimate("a", "m", 0, 3, 16)
    assert estimate.prompt_tokens > 1_000 and estimate.answer_tokens == 16


def test_estimates_follow_the_actual_tokens_without_compounding() -> None:
    """Guards against defaults for ever, and divergence by concurrent corrections."""
    estimator = TokenEstimator()
    for _ in range(4):
        estimates = [estimator.estimate("a", "m", 4_000, 0, 0) for _ in range(100)]
        for estimate in estimates:
            estimator.observe("a", "m", estimate, 3_000, 20)
    adapted = estimator.estimate("a", "m", 8_000, 0, 0)
    assert adapted.prompt_tokens == pytest.approx(6_000, rel=0.05)
    assert adapted.answer_tokens == pytest.approx(20, rel=0.1)
    other = estimator.estimate("b", "m", 8_000, 0, 0)
    assert other.answer_tokens < DEFAULT_ANSWER_TOKENS


def test_the_least_recently_used_history_is_dropped() -> None:
    """Guards against memory that grows with the number of organisations."""
    estimator = TokenEstimator(max_histories=10)
    estimate = estimator.estimate("a", "m", 4, 0, 0)
    for index in range(1_000):
        estimator.observe("kept", "m", estimate, 1, 5)
        estimator.observe(f"o{index}", "m", estimate, 1, 500)
    assert len(estimator._pairs) == 10
    assert estimator.estimate("kept", "m", 4, 0, 0).answer_tokens < 20
