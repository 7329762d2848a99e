"""Run a case with real processes on loopback and print its tables."""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs
import cattrs
import orjson

from acaciarelay_bench import cases, report
from acaciarelay_bench.load import Job, LoadResult, Outcome, Window
from acaciarelay_bench.rig import Rig, Sample
from acaciarelay_standins.fleet import Fleet

START_DELAY_S = 2.0


async def run_load(job: Job) -> LoadResult:
    """Run a job in a separate process, so that it doesn't share this one's CPU time."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "acaciarelay_bench.load"),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env=environment,
    )
    try:
        data, _ = await child.communicate(orjson.dumps(cattrs.unstructure(job)))
    finally:
        if child.returncode is None:
            child.kill()
    return cattrs.structure(orjson.loads(data), LoadResult)


def build_jobs(
    deployment: cases.Deployment, case: cases.Case, entries: list[str], seed: int
) -> list[Job]:
    """Build one job for the callers of each entry; all start at the same time."""
    jobs = []
    begin = time.monotonic() + START_DELAY_S
    for index in range(len(entries)):
        windows = []
        start = begin
        for phase in case.phases:
            callers = [
                caller
                for caller in cases.phase_callers(deployment, phase)
                if caller.entry == index
            ]
            window = Window(
                phase=phase.name, start=start, seconds=phase.seconds, callers=callers
            )
            windows.append(window)
            start += phase.seconds
        jobs.append(Job(seed=seed, model=cases.MODEL, entries=entries, windows=windows))
    return jobs


@attrs.define(kw_only=True)
class Measurement:
    """Outcomes, samples and engine runs of one run of a case."""

    case: cases.Case
    deployment: cases.Deployment
    windows: list[Window]
    outcomes: list[Outcome]
    samples: list[Sample]
    runs: list[report.EngineRun]
    load_cores: float


async def measure(
    deployment: cases.Deployment, case: cases.Case, variant: cases.Variant, seed: int
) -> Measurement:
    """Run a case with a new fleet."""
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(Path(directory)) as fleet:
            rig = Rig(deployment, fleet)
            await rig.start(variant)
            addresses = [member.http_address for member in fleet.entries.values()]
            jobs = build_jobs(deployment, case, addresses, seed)
            loads = [asyncio.create_task(run_load(job)) for job in jobs]
            samples = []
            for phase, window in zip(case.phases, jobs[0].windows, strict=True):
                await asyncio.sleep(max(0.0, window.start - time.monotonic()))
                await rig.start_phase(phase)
                samples.append(await rig.sample())
            last = jobs[0].windows[-1]
            end = last.start + last.seconds
            await asyncio.sleep(max(0.0, end - time.monotonic()))
            samples.append(await rig.sample())
            results = await asyncio.gather(*loads)
            await rig.finish()
    outcomes = [item for result in results for item in result.outcomes]
    return Measurement(
        case=case,
        deployment=deployment,
        windows=jobs[0].windows,
        outcomes=outcomes,
        samples=samples,
        runs=rig.runs,
        load_cores=max(result.cpu_s / result.elapsed_s for result in results),
    )


def is_flood(outcome: Outcome) -> bool:
    return outcome.caller.startswith("flood")


def group_outcomes(measurement: Measurement) -> dict[str, list[Outcome]]:
    """Return the outcomes of each group of the report, in its order."""
    groups: dict[str, list[Outcome]] = {}
    background = [o for o in measurement.outcomes if not is_flood(o) and not o.lookup]
    mixed = [o for o in background if not o.caller.startswith("plate")]
    for tier in measurement.deployment.tiers:
        groups[f"tier {tier.name}"] = [o for o in mixed if o.request_class == tier.name]
    for organisation in measurement.deployment.organisations:
        name = f"{organisation.size_class} {organisation.name}"
        groups[name] = [o for o in mixed if o.organisation == organisation.name]
    small = {
        o.name for o in measurement.deployment.organisations if o.size_class == "small"
    }
    groups["all small"] = [o for o in mixed if o.organisation in small]
    groups["all large"] = [o for o in mixed if o.organisation not in small]
    for tier in measurement.deployment.tiers:
        groups[f"small {tier.name}"] = [
            o for o in groups["all small"] if o.request_class == tier.name
        ]
    groups["plates-40"] = [o for o in background if o.caller == "plates-40"]
    groups["plate-1"] = [o for o in background if o.caller == "plate-1"]
    groups["lookups"] = [o for o in measurement.outcomes if o.lookup]
    groups["flood"] = [o for o in measurement.outcomes if is_flood(o)]
    return groups


def build_tables(measurement: Measurement) -> dict[str, Any]:
    """Compute the rows of all tables of the report."""
    base: dict[str, report.GroupRow] = {}
    rows: list[dict[str, Any]] = []
    groups = group_outcomes(measurement)
    for window in measurement.windows:
        if window.phase in ("warm", "settle"):
            continue
        for name, outcomes in groups.items():
            due = [o for o in outcomes if o.phase == window.phase]
            if not due:
                continue
            row = report.group_row(name, due, window.seconds)
            if window.phase == "base":
                base[name] = row
            retained = report.retained_share(base[name], row) if name in base else None
            rows.append({"phase": window.phase, "kept": retained, **attrs.asdict(row)})
    return {
        "rows": rows,
        "prefill": prefill_rows(measurement),
        "resources": resource_rows(measurement),
        "series": goodput_series(measurement),
        "late_start_p99_s": report.percentile(
            [o.late_s for o in measurement.outcomes], 0.99
        ),
        "load_cores_max": measurement.load_cores,
    }


def prefill_rows(measurement: Measurement) -> list[list[object]]:
    rows: list[list[object]] = []
    completed_ids = set()
    for outcome in measurement.outcomes:
        if outcome.whole:
            completed_ids.add(outcome.request_ids[-1])
    for window in measurement.windows:
        end = window.start + window.seconds
        totals = report.wasted_prefill(
            measurement.runs, completed_ids, window.start, end
        )
        for tier, (wasted, total) in sorted(totals.items()):
            if tier:
                rows.append(
                    [window.phase, tier, wasted, total, report.ratio(wasted, total)]
                )
    return rows


def resource_rows(measurement: Measurement) -> list[list[object]]:
    rows: list[list[object]] = []
    for index, window in enumerate(measurement.windows):
        before, after = measurement.samples[index : index + 2]
        elapsed = after.at - before.at
        cores = {
            kind: round((used - before.cpu_s.get(kind, 0.0)) / elapsed, 2)
            for kind, used in after.cpu_s.items()
        }
        drops = {
            reason: round(count - before.drops.get(reason, 0.0))
            for reason, count in after.drops.items()
        }
        row = [window.phase, round(after.wan_bytes - before.wan_bytes), cores]
        limits = " ".join(str(limit) for limit in after.token_limits)
        row += [limits, after.preemptions - before.preemptions, drops]
        rows.append([*row, after.session_losses - before.session_losses])
    return rows


def goodput_series(measurement: Measurement) -> dict[str, Any] | None:
    if not measurement.case.series:
        return None
    # Lookups run in another pool, which the trigger does not affect.
    outcomes = [o for o in measurement.outcomes if not o.lookup]
    steps = {}
    for window in measurement.windows:
        steps[window.phase] = report.goodput_steps(
            outcomes, window.start, window.seconds
        )
    base = steps["base"]
    before = sum(base) / len(base)
    return {
        "steps": steps,
        "recovery_s": report.recovery_s(before, steps["after"]),
    }


def print_report(tables: dict[str, Any]) -> None:
    """Print the tables as text."""
    headings = ["phase", "group", "offered", "good", "share", "kept", "tokens/s"]
    headings += ["p50 s", "p95 s", "attempts", "refusals by code"]
    rows = []
    for row in tables["rows"]:
        cells = [row["phase"], row["name"], row["offered"], row["good"]]
        cells += [row["good_share"], row["kept"], row["good_tokens_per_s"]]
        cells += [row["first_token_p50_s"], row["first_token_p95_s"]]
        rows.append([*cells, row["attempts"], row["refusals"]])
    print(report.render_table(headings, rows), end="\n\n")
    headings = ["phase", "tier", "wasted prefill", "prefill", "share"]
    print(report.render_table(headings, tables["prefill"]), end="\n\n")
    headings = ["phase", "bytes between regions", "cores by kind of process"]
    headings += ["token limits at the end", "preemptions", "drops by reason"]
    headings += ["session losses"]
    print(report.render_table(headings, tables["resources"]), end="\n\n")
    if tables["series"] is not None:
        for phase, steps in tables["series"]["steps"].items():
            print(f"answers in time by 2 s steps, {phase}: {steps}")
        print(f"recovery_s: {tables['series']['recovery_s']}")
    late = report.render_cell(tables["late_start_p99_s"])
    cores = report.render_cell(tables["load_cores_max"])
    print(f"load: p99 start delay {late} s, busiest process {cores} cores")


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="acaciarelay_bench", description=__doc__)
    parser.add_argument("case", choices=list(cases.CASES))
    parser.add_argument(
        "--deployment", choices=list(cases.DEPLOYMENTS), default="wanjiru"
    )
    parser.add_argument("--variant", choices=list(cases.VARIANTS), default="design")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, help="length of the base and the disturbed phase"
    )
    parser.add_argument("--json", type=Path, help="also write the results to a file")
    return parser.parse_args()


def main() -> None:
    """Run the case that the command line names and print its report."""
    arguments = parse_arguments()
    case = cases.CASES[arguments.case]
    if arguments.seconds is not None:
        phases = []
        for phase in case.phases:
            if phase.name in ("base", case.compared):
                phase = attrs.evolve(phase, seconds=arguments.seconds)
            phases.append(phase)
        case = attrs.evolve(case, phases=phases)
    deployment = cases.DEPLOYMENTS[arguments.deployment]
    variant = cases.VARIANTS[arguments.variant]
    measurement = asyncio.run(measure(deployment, case, variant, arguments.seed))
    tables = build_tables(measurement)
    print(
        f"{case.name} {deployment.name} {arguments.variant} seed {arguments.seed}, "
        f"capacity {deployment.capacity(cases.MIXED):.1f} requests/s",
        end="\n\n",
    )
    print_report(tables)
    if arguments.json is not None:
        arguments.json.write_bytes(orjson.dumps(tables, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
