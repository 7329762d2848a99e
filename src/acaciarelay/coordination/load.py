"""Counts of waiting and running work by tier, as agents report them."""

import attrs

__all__ = ["TierCount"]


@attrs.define
class TierCount:
    """Numbers of requests and tokens of one tier."""

    waiting: int = 0
    waiting_tokens: int = 0
    running: int = 0
    running_tokens: int = 0
