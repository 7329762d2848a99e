"""Measure the errors of the comparison of versions, in simulated orders.

Each case is a kind of version and traffic; printed are the shares of orders that were
rolled back in time, and what they cost, as rows of a Markdown table.
"""

import argparse
import random
from collections.abc import Iterable

from acaciarelay.state.rollout import RolloutState
from acaciarelay_bench.rollout_trials import Fault, Trial, TrialResult, run_trial

ALIKE = (1.0,)
MILD = (0.8, 1.0, 1.25)
APART = (0.6, 1.0, 1.7)
GREY = Fault(failures=0.2, slowdown=2.0, begins_s=4.0, ends_s=7.0)
LATE_GREY = Fault(failures=0.2, slowdown=2.0, begins_s=9.0, ends_s=30.0)
PLAIN_ROUTES = ((0.81, 0.02), (0.19, 0.03))


def plain(**options: Fault | float) -> Trial:
    """Return a trial of a plain service of 6 endpoints."""
    return Trial(
        rate=58.0, routes=PLAIN_ROUTES, engines=6, on_trial=1, speeds=ALIKE, **options
    )


GOOD = {
    "engines apart": Trial(speeds=APART),
    "engines alike": Trial(speeds=ALIKE),
    "engines apart, times vary more": Trial(speeds=APART, spread=0.8),
    "0.2% fail at both": Trial(speeds=MILD, background=0.002),
    "1% fail at both": Trial(speeds=MILD, background=0.01),
    "both fail and are slow from 4 to 7 s": Trial(speeds=MILD, both=GREY),
    "both fail and are slow from 9 s on": Trial(speeds=MILD, both=LATE_GREY),
    "plain service": plain(),
    "plain service, 1% fail": plain(background=0.01),
}
BAD = {
    "1 in 20 fails": Trial(speeds=MILD, new=Fault(failures=0.05)),
    "1 in 10 fails": Trial(speeds=MILD, new=Fault(failures=0.1)),
    "all fail": Trial(speeds=MILD, new=Fault(failures=1.0)),
    "1 in 20 fails, 1% at both": Trial(
        speeds=MILD, new=Fault(failures=0.05), background=0.01
    ),
    "1 in 3 fails from 7 s on": Trial(
        speeds=MILD, new=Fault(failures=0.33, begins_s=7.0)
    ),
    "half of one route fails": Trial(speeds=MILD, new=Fault(failures=0.5, route=1)),
    "2 times as slow, engines alike": Trial(speeds=ALIKE, new=Fault(slowdown=2.0)),
    "2 times as slow, engines mild": Trial(speeds=MILD, new=Fault(slowdown=2.0)),
    "2 times as slow, engines apart": Trial(speeds=APART, new=Fault(slowdown=2.0)),
    "3 times as slow, engines apart": Trial(speeds=APART, new=Fault(slowdown=3.0)),
    "3 times as slow on one route": Trial(
        speeds=MILD, new=Fault(slowdown=3.0, route=1)
    ),
    "no answer at all": Trial(speeds=MILD, new=Fault(slowdown=1000.0)),
    "plain service, 1 in 20 fails": plain(new=Fault(failures=0.05)),
    "plain service, 1 in 5 fails": plain(new=Fault(failures=0.2)),
    "plain service, 2 times as slow": plain(new=Fault(slowdown=2.0)),
}
CURVE = {
    f"{rate:g} requests/s, {kind}": Trial(rate=rate, speeds=MILD, new=fault)
    for rate in (10.0, 30.0, 60.0, 130.0, 300.0)
    for kind, fault in (
        ("1 in 20 fails", Fault(failures=0.05)),
        ("1 in 5 fails", Fault(failures=0.2)),
        ("2 times as slow", Fault(slowdown=2.0)),
    )
}
SETS = {"good": GOOD, "bad": BAD, "curve": CURVE}


def row(name: str, results: Iterable[TrialResult]) -> str:
    """Return the row of a case."""
    results = list(results)
    rolled_back = [one for one in results if one.state is RolloutState.ROLLED_BACK]
    count = len(results)
    bad = sorted(one.bad for one in results)
    in_share = sum(1 for one in rolled_back if not one.full)
    cells = (
        name,
        count,
        f"{len(rolled_back)} ({len(rolled_back) / count:.2%})",
        in_share,
        f"{sum(one.ended_s for one in results) / count:.1f}",
        f"{sum(one.sent_new for one in results) / count:.0f}",
        bad[int(0.98 * (count - 1))],
    )
    return "| " + " | ".join(map(str, cells)) + " |"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("set", choices=sorted(SETS))
    parser.add_argument("--orders", type=int, default=200)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    print(
        "| version | orders | rolled back | of these within the share | end, s "
        "| requests of the new version | failures, 98% of orders |"
    )
    print("|" + "---|" * 7)
    for name, trial in SETS[options.set].items():
        seeds = range(options.seed, options.seed + options.orders)
        results = [run_trial(trial, random.Random(seed)) for seed in seeds]
        print(row(name, results), flush=True)


if __name__ == "__main__":
    main()
