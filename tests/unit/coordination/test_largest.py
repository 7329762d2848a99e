"""Guard against evictions from the wrong organisation."""

from hypothesis import given, strategies as st

from acaciarelay.coordination.largest import LargestKey


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.integers(-1, 20))))
def test_the_largest_key_agrees_with_a_scan(steps: list[tuple[str, int]]) -> None:
    """Guards against stale heap entries, and against heap growth."""
    largest = LargestKey()
    model: dict[str, int] = {}
    for key, amount in steps * 20:
        largest.set(key, amount)
        model[key] = amount
        found = largest.largest()
        best = max(model.values())
        assert found is None if best <= 0 else model[found or ""] == best
    assert len(largest._heap) <= 2 * len(largest.amounts) + 65
