"""Evidence that one version fails more often than another, as e-values.

An e-value is a statistic whose mean is at most 1 while both versions answer alike. The
product of those of successive seconds exceeds 1 / error at any time with at most the
probability ``error`` (Ville's inequality), so it may be looked at as often as wanted.

All are conditional on what both versions together have answered: given that, each split
of these answers between the versions is equally likely while they answer alike. A rise
of failures at both is thus no evidence, however large it is.
"""

import math

__all__ = ["ChangeMixture", "log_failure_evidence"]

# Bound of the product, against an overflow.
MAX_VALUE = 1e15


def _log_choose(total: int, chosen: int) -> float:
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def log_failure_evidence(
    old_requests: int,
    old_failures: int,
    new_requests: int,
    new_failures: int,
    odds: float,
) -> float:
    """Return the logarithm of the evidence that failures are ``odds`` times as likely.

    It is the likelihood ratio of the number of failures at the new version, given the
    number at both.
    """
    failures = old_failures + new_failures
    if not failures or not old_requests or not new_requests:
        return 0.0
    others = old_requests + new_requests - failures
    most = min(failures, new_requests)
    log_odds = math.log(odds)
    terms = []
    for at_new in range(max(0, new_requests - others), most + 1):
        terms.append(
            _log_choose(failures, at_new)
            + _log_choose(others, new_requests - at_new)
            + at_new * log_odds
        )
    highest = max(terms)
    log_sum = highest + math.log(sum(math.exp(term - highest) for term in terms))
    total = _log_choose(old_requests + new_requests, new_requests)
    return new_failures * log_odds - (log_sum - total)


class ChangeMixture:
    """Evidence that a version has turned bad at one of several seconds.

    Half of the weight is on the first second, the rest is spread over the others. The
    mean stays at most 1, so no further correction for the number of seconds is due.
    """

    def __init__(self, steps: int) -> None:
        self.step_weight = 0.5 / max(1, steps)
        self.begun = 0.5
        self.to_come = 0.5

    @property
    def value(self) -> float:
        return self.begun + self.to_come

    def skip(self, steps: int) -> None:
        """Take seconds that hold no evidence."""
        begun = min(self.step_weight * steps, self.to_come)
        self.to_come -= begun
        self.begun += begun

    def multiply(self, evidence: float) -> None:
        """Take the evidence of the next second."""
        begins = min(self.step_weight, self.to_come)
        self.to_come -= begins
        self.begun = min(MAX_VALUE, (self.begun + begins) * evidence)
