"""Coarse values, so that a small change of an estimate need not be told."""

import math

__all__ = ["coarse"]


def coarse(value: float, step: float) -> float:
    """Round to a power of ``step``; 0 for what is not positive."""
    if value <= 0:
        return 0.0
    return round(step ** round(math.log(value, step)), 5)
