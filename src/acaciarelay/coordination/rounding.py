"""Rounding of estimates, so that small changes are not sent to other processes."""

import math

__all__ = ["round_to_power"]


def round_to_power(value: float, ratio: float) -> float:
    """Round to the nearest power of ``ratio``, which is the ratio of adjacent results.

    The nearest power is that by logarithm. It is rounded to 5 decimals, so a small
    value may give 0. Values that are not positive give 0.
    """
    if value <= 0:
        return 0.0
    return round(ratio ** round(math.log(value, ratio)), 5)
