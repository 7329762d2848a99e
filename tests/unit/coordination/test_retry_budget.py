"""Guard against retries that amplify an overload."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.retry_budget import MAX_SAVED_ATTEMPTS, RetryBudget


@given(
    st.floats(0, 1), st.floats(0, 20), st.lists(st.booleans(), min_size=1, max_size=400)
)
def test_retries_stay_within_the_share_of_first_attempts(
    ratio: float, reserve: float, attempts: list[bool]
) -> None:
    """Guards against more retries than the budget, and against a refused share."""
    budget = RetryBudget(ratio, reserve)
    first = retries = 0
    for is_first in attempts:
        if is_first:
            first += 1
            budget.first_attempt()
            continue
        earned = reserve + ratio * first - retries
        spent = budget.spend()
        retries += spent
        assert not spent or earned >= 1 - 1e-3
        assert spent or earned < 1 + 1e-3 or first > MAX_SAVED_ATTEMPTS


def test_ten_attempts_at_a_tenth_pay_for_one_retry() -> None:
    """Guards against rounding that loses a retry."""
    budget = RetryBudget(0.1, 0)
    for _ in range(10):
        assert not budget.spend()
        budget.first_attempt()
    assert budget.spend() and not budget.spend()


def test_a_calm_period_saves_a_bounded_number() -> None:
    """Guards against a retry burst saved up over hours."""
    budget = RetryBudget(0.1, 3)
    for _ in range(100_000):
        budget.first_attempt()
    spent = 0
    while budget.spend():
        spent += 1
    assert spent == 3 + MAX_SAVED_ATTEMPTS // 10
