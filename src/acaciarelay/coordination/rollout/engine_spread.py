"""How much the answer times of engines of one version differ."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["EngineSum", "EngineSpread", "unequal_share"]

# An estimate of the spread from few engines is uncertain, so this many degrees of
# freedom are added, with the variance of speeds of 0.6, 1 and 1.7 in squared buckets.
PRIOR_ENGINES = 4
PRIOR_VARIANCE = 6.0


@attrs.define
class EngineSum:
    """Requests sent to an engine, its answers, and how long these took.

    ``excess`` is the sum of their differences from the mean buckets of their routes.
    """

    requests: int = 0
    answers: int = 0
    excess: float = 0.0


@attrs.frozen(kw_only=True)
class EngineSpread:
    """Variance of the engines' mean times, in squared buckets.

    ``freedom`` is the number of degrees of freedom of its estimate.
    """

    variance: float
    freedom: int

    @classmethod
    def estimate(
        cls, groups: Iterable[Mapping[str, EngineSum]], answer_variance: float
    ) -> "EngineSpread":
        """Return the variance within groups of engines that have the same version.

        ``answer_variance`` is that of single answers over all engines, in squared
        buckets.
        """
        between = 0.0
        weight = 0.0
        freedom = 0
        for group in groups:
            sums = [engine for engine in group.values() if engine.answers]
            total = sum(engine.answers for engine in sums)
            if len(sums) < 2:
                continue
            mean = sum(engine.excess for engine in sums) / total
            for engine in sums:
                between += (engine.excess - mean * engine.answers) ** 2 / engine.answers
            between -= (len(sums) - 1) * answer_variance
            squares = sum(engine.answers**2 for engine in sums)
            weight += total - squares / total - (len(sums) - 1)
            freedom += len(sums) - 1
        measured = max(0.0, between / weight) if weight > 0 else PRIOR_VARIANCE
        known = PRIOR_ENGINES * PRIOR_VARIANCE + freedom * measured
        return cls(
            variance=known / (PRIOR_ENGINES + freedom), freedom=PRIOR_ENGINES + freedom
        )


def unequal_share(requests: Mapping[str, int]) -> float:
    """Return the part of an engine's variance that a mean over all requests keeps.

    It is 1 / n for n engines with equally many requests.
    """
    total = sum(requests.values())
    if not total:
        return 1.0
    return sum(count * count for count in requests.values()) / (total * total)
