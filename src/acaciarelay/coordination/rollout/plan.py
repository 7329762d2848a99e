"""Phases and end of an order, from its age, the verdict and the entries' reports."""

import attrs

from acaciarelay.coordination.rollout.comparison import VersionComparison
from acaciarelay.state.rollout import Phase, RolloutOrder, RolloutState, Verdict

__all__ = ["RolloutPlan"]

# Time before the end of an order from which all requests go to the new version: this
# share of the order's duration, but no longer than the maximum.
MAX_LEAD_S = 2.0
LEAD_SHARE = 0.15
# Time before the end at which the end state is written at the latest: a write and its
# repetition take a tenth of a second each with a store that answers.
END_MARGIN_S = 0.4
# Interval of the verdicts.
VERDICT_INTERVAL_S = 0.25


@attrs.define(eq=False)
class RolloutPlan:
    """What the coordinator of an order permits, and how it ends the order.

    ``began_at`` is when the order was first seen by any entry, on this entry's clock.
    ``reason`` explains the end.
    """

    order: RolloutOrder
    began_at: float
    comparison: VersionComparison
    phase: Phase = Phase.NONE
    end: RolloutState = RolloutState.RUNNING
    reason: str = ""
    verdict: Verdict = Verdict.UNDECIDED
    old_engines: int = 0
    new_engines: int = 0
    # No engine of another version was there at the start, so nothing is on trial.
    alone: bool | None = None
    entries: tuple[str, ...] = ()
    _full_since: float | None = None
    _judged_at: float = 0.0
    # A former coordinator has already permitted full traffic.
    inherited_full: bool = False

    @property
    def lead_s(self) -> float:
        """Time of full traffic before the end of the order."""
        return min(MAX_LEAD_S, LEAD_SHARE * self.order.duration_s)

    @property
    def margin_s(self) -> float:
        """Time before the end of the order at which the end state is written."""
        return min(END_MARGIN_S, self.lead_s / 2)

    def age_s(self, now: float) -> float:
        return now - self.began_at

    def set_engines(self, old: int, new: int) -> None:
        self.old_engines, self.new_engines = old, new
        if self.alone is None and old + new:
            self.alone = not old

    def finish(self, end: RolloutState, reason: str) -> None:
        """Decide the end state; a decision to roll back is not revised."""
        if self.end is RolloutState.ROLLED_BACK:
            return
        self.end, self.reason = end, reason
        if end is RolloutState.ROLLED_BACK:
            self.phase = Phase.NONE

    def begin(self) -> None:
        """Begin to coordinate; what was planned in an earlier term is judged anew."""
        if self.end is RolloutState.SUCCEEDED:
            self.end = RolloutState.RUNNING
        if self.end is RolloutState.RUNNING:
            self.phase = Phase.NONE
            self._full_since = None

    def advance(self, now: float, epoch: int) -> None:
        """Set the phase and the end state that are due now."""
        if self.end is RolloutState.ROLLED_BACK:
            return
        if not self.order.has_duration:
            self.finish(RolloutState.ROLLED_BACK, "the order has no usable duration")
            return
        age_s = self.age_s(now)
        lead_due = age_s >= self.order.duration_s - self.lead_s
        if lead_due:
            self.comparison.end_share()
        self._judge(now, lead_due and self._full_since is None)
        if self.verdict is Verdict.BAD:
            self.finish(RolloutState.ROLLED_BACK, self.comparison.found_bad)
            return
        if age_s >= self.order.duration_s - self.margin_s and not self.new_engines:
            self.finish(RolloutState.ROLLED_BACK, "no engine has the version")
            return
        if lead_due and self._full_since is None:
            self._begin_full(now)
        elif not lead_due:
            self.phase = Phase.FULL if self.alone else Phase.SHARE
        if self._full_since is not None and self._success_due(now, epoch):
            self.finish(RolloutState.SUCCEEDED, "the new version is not worse")

    def _judge(self, now: float, at_once: bool) -> None:
        if at_once or now - self._judged_at >= VERDICT_INTERVAL_S:
            self._judged_at = now
            self.verdict = self.comparison.verdict(now)

    def _begin_full(self, now: float) -> None:
        """Permit full traffic, unless there was no trial up to the end of the time."""
        if not self.new_engines:
            self.phase = Phase.SHARE
            return
        late = self.age_s(now) > self.order.duration_s - self.lead_s / 2
        tried = self.inherited_full or self.alone or self.verdict is Verdict.GOOD
        if late and not tried:
            reason = "the time is over without enough answers to judge"
            self.finish(RolloutState.ROLLED_BACK, reason)
            return
        self._full_since = now
        self.phase = Phase.FULL

    def _success_due(self, now: float, epoch: int) -> bool:
        assert self._full_since is not None
        end_at = self.began_at + self.order.duration_s - self.margin_s
        if self._full_since > end_at - self.lead_s / 2:
            # Entries need the lead also when full traffic begins late.
            end_at = self._full_since + self.lead_s - self.margin_s
        if now >= end_at:
            return True
        return self.verdict is Verdict.GOOD and self._old_are_idle(epoch)

    def _old_are_idle(self, epoch: int) -> bool:
        """Return whether all entries report that they use no old engine any more."""
        reports = self.comparison.log.last_reports
        for entry in self.entries:
            counts = reports.get(entry)
            if counts is None or counts.phase is not Phase.FULL:
                return False
            if counts.epoch != epoch or counts.old_running:
                return False
        return bool(self.entries)
