"""Answers of both versions as counted by one entry."""

from acaciarelay.state.rollout import EntryCounts, Phase, RolloutOrder

__all__ = ["AnswerCounts"]


class AnswerCounts:
    """Count this entry's requests and answers since it learned of an order."""

    def __init__(self, order: RolloutOrder, entry: str, lifetime: str) -> None:
        raise NotImplementedError

    def begin(self, key: int, route: str, new: bool, now: float) -> None:
        """Record that a request was sent to an engine; ``key`` names the attempt."""
        raise NotImplementedError

    def end(self, key: int, failed: bool, now: float, work: float = 1.0) -> None:
        """Record the end of an answer.

        Its time is divided by ``work``, the expected time of such a request relative to
        others of its route. Answers that vary less are told apart sooner.
        """
        raise NotImplementedError

    def forget(self, key: int) -> None:
        """Leave out an attempt that says nothing, as when its caller has left."""
        raise NotImplementedError

    def report(self, epoch: int, phase: Phase, now: float) -> EntryCounts:
        """Return the counts so far."""
        raise NotImplementedError
