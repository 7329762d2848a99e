"""Guard against retries that amplify an overload."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.retry_budget import MAX_SAVED_ATTEMPTS, RetryBudget


@given(st.floats(0, 1), st.floats(0, 20), st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_the_share_of_first_attempts(ratio, reserve, steps) -> None:
    """Guards against more retries than the budget, and against a refused share."""
    budget = RetryBudget(ratio, reserve)
    first = retries = 0
    for is_first in steps:
        if is_first:
            first += 1
            budget.record_first_attempt()
            continue
        earned = reserve + ratio * first - retries
        spent = budget.try_spend()
        retries += spent
        assert earned >= 1 - 1e-3 if spent else earned < 1 + 1e-3 or first > 200


def test_a_calm_period_saves_a_bounded_number_without_rounding_loss() -> None:
    """Guards against a retry burst saved up over hours, and against a lost retry."""
    budget = RetryBudget(0.1, 0)
    for _ in range(10):
        assert not budget.try_spend()
        budget.record_first_attempt()
    assert budget.try_spend() and not budget.try_spend()
    for _ in range(100_000):
        budget.record_first_attempt()
    assert [budget.try_spend() for _ in range(100)].count(
        True
    ) == MAX_SAVED_ATTEMPTS // 10
