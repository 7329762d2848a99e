"""The fleet of one measured run and the counters that are read from it."""

import os
import time
from pathlib import Path

import attrs
from result import Ok

from acaciarelay.transport.http_client import fetch
from acaciarelay_bench import cases, report
from acaciarelay_bench.variant_agent import VARIANT_VARIABLE
from acaciarelay_standins.fleet import Fleet

__all__ = ["Rig", "Sample"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.define(kw_only=True)
class Sample:
    """Counters at the start of a phase or the end of the last one.

    ``at`` is monotonic, in seconds; ``cpu_s`` is by kind of process.
    """

    at: float
    cpu_s: dict[str, float]
    wan_bytes: float
    token_limits: list[int]
    preemptions: float
    session_losses: float
    drops: dict[str, float]


@attrs.define
class Rig:
    """Control of a fleet during one run of a case: start, disturbances and samples."""

    deployment: cases.Deployment
    fleet: Fleet
    engines: list[str] = attrs.field(factory=list)
    lost_engines: set[int] = attrs.field(factory=set)
    runs: list[report.EngineRun] = attrs.field(factory=list)

    async def start(self, variant: cases.Variant) -> None:
        """Start all processes and wait until each entry has its sessions."""
        fleet, deployment = self.fleet, self.deployment
        await fleet.start_platform()
        if variant.agent:
            fleet.agent_module = "acaciarelay_bench.variant_agent"
            fleet.environment[VARIANT_VARIABLE] = variant.agent
        for number, region in enumerate(deployment.entries):
            await fleet.start_entry(f"entry-{number}", f"{region}-a", region)
        for number, (region, decode_tokens_per_s) in enumerate(deployment.engines):
            await self.start_engine(number, region, decode_tokens_per_s)
        for number, region in enumerate(deployment.services):
            service = await fleet.start_service(f"service-{number}")
            name = f"agent-service-{number}"
            await fleet.start_agent(
                name, "orders", "service", service, f"{region}-a", region
            )
        records = deployment.records(variant.placement, variant.retry_ratio)
        changes = {"changes": records}
        await fleet.admin("entry-0", "POST", "/admin/v1/apply", changes)
        await fleet.wait_ready()

    async def start_engine(
        self, number: int, region: str, decode_tokens_per_s: float
    ) -> None:
        engine = await self.fleet.start_engine(
            f"engine-{number}",
            *("--decode-tokens-per-s", str(decode_tokens_per_s), "--load-lag-s", "1"),
            *("--prefill-tokens-per-s", str(cases.ENGINE_PREFILL_TOKENS_PER_S)),
            *("--max-batch", str(cases.ENGINE_BATCH), "--tokens-per-event", "4"),
            *("--slowdown", str(cases.ENGINE_SLOWDOWN)),
        )
        self.engines.append(engine)
        await self.fleet.start_agent(
            f"agent-{number}",
            "assistants",
            "chat",
            engine,
            f"{region}-a",
            region,
            *("--token-limit", "4000", "--token-limit-min", "1000"),
            *("--token-limit-max", "16000"),
        )

    async def start_phase(self, phase: cases.Phase) -> None:
        """Inject the disturbance of a phase."""
        slow = round(len(self.engines) * phase.slow_share)
        for number, engine in enumerate(self.engines):
            if number in self.lost_engines:
                continue
            # Every second engine is slowed first, so that the slow ones are spread over
            # the pool.
            order = number // 2 + (number % 2) * (len(self.engines) // 2)
            factor = phase.slow_factor if order < slow else 1.0
            await self.fleet.set_faults(engine, slow_factor=factor)
        if phase.lose_region:
            await self.lose_region()

    async def lose_region(self) -> None:
        """Kill every process of the last region."""
        region = self.deployment.entries[-1]
        names = set()
        for number, name in enumerate(self.deployment.entries):
            if name == region:
                names.add(f"entry-{number}")
        for number, (name, _) in enumerate(self.deployment.engines):
            if name == region:
                await self.read_runs(self.engines[number])
                self.lost_engines.add(number)
                names |= {f"engine-{number}", f"agent-{number}"}
        for number, name in enumerate(self.deployment.services):
            if name == region:
                names |= {f"service-{number}", f"agent-service-{number}"}
        for process in self.fleet.processes:
            if process.name in names:
                process.kill()

    async def read_runs(self, engine: str) -> None:
        for item in (await self.fleet.record(engine))["requests"]:
            run = report.EngineRun(
                request_id=item["request_id"],
                tier=item["tier"],
                start=item["start"],
                prefill_tokens=item["prefill_tokens"],
            )
            self.runs.append(run)

    async def finish(self) -> None:
        """Read the run records of the engines that are still up."""
        for number, engine in enumerate(self.engines):
            if number not in self.lost_engines:
                await self.read_runs(engine)

    async def sample(self) -> Sample:
        """Read the CPU time of all processes and the metrics of entries and agents."""
        cpu_s: dict[str, float] = {}
        for process in self.fleet.processes:
            kind = process.name.partition("-")[0]
            used = cpu_seconds(process.process.pid)
            cpu_s[kind] = cpu_s.get(kind, 0.0) + used
        sample = Sample(
            at=time.monotonic(),
            cpu_s=cpu_s,
            wan_bytes=0.0,
            token_limits=[],
            preemptions=0.0,
            session_losses=0.0,
            drops={},
        )
        for entry in self.fleet.entries.values():
            for line in await read_metrics(entry.http_address):
                if line.startswith("acaciarelay_link_bytes_total") and "wan" in line:
                    sample.wan_bytes += float(line.rpartition(" ")[2])
                if line.startswith("acaciarelay_session_losses_total"):
                    sample.session_losses += float(line.rpartition(" ")[2])
        for name, agent in self.fleet.agents.items():
            if not name.startswith("agent-service"):
                add_agent_metrics(sample, await read_metrics(agent.http_address))
        return sample


async def read_metrics(address: str) -> list[str]:
    """Return the lines of a process's metrics, or none if it does not answer."""
    match await fetch(address, "GET", "/metrics"):
        case Ok(answer):
            return answer.body.decode().splitlines()
        case _:
            return []


def add_agent_metrics(sample: Sample, lines: list[str]) -> None:
    """Add the metrics of one agent to a sample."""
    for line in lines:
        name, _, text = line.rpartition(" ")
        if name.startswith("acaciarelay_token_limit"):
            sample.token_limits.append(int(float(text)))
        elif name.startswith("acaciarelay_preemptions_total"):
            sample.preemptions += float(text)
        elif name.startswith("acaciarelay_drops_total"):
            reason = name.partition('reason="')[2].partition('"')[0]
            sample.drops[reason] = sample.drops.get(reason, 0.0) + float(text)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process of this run, or 0 if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
