"""Rounding of estimates, so that small changes are not sent to other processes."""

import math

__all__ = ["round_to_power"]


def round_to_power(value: float, step: float) -> float:
    """Round to a power of ``step``; return 0 for values that are not positive."""
    if value <= 0:
        return 0.0
    return round(step ** round(math.log(value, step)), 5)
