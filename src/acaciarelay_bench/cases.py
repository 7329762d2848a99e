"""Deployments, cases and variants of the measurements."""

import hashlib
from typing import Any

import attrs

from acaciarelay_bench.load import Caller, Retry, Shape

__all__ = ["CASES", "DEPLOYMENTS", "VARIANTS", "Case", "Deployment", "Phase"]

MODEL = "mender-1"
ENGINE_BATCH = 8
ENGINE_SLOWDOWN = 0.02
ENGINE_PREFILL_TOKENS_PER_S = 8_000.0
# Equals the number of the engine stand-in.
TOKENS_PER_IMAGE = 256

# Prompts of 100 to 10,440 tokens.
QUESTION = Shape(weight=0.80, text_tokens=100, answer_low=40, answer_high=160)
DESCRIPTION = Shape(weight=0.15, text_tokens=1_500, answer_low=40, answer_high=160)
ASSESSMENT = Shape(
    weight=0.05, text_tokens=200, images=40, answer_low=80, answer_high=200
)
MIXED = [QUESTION, DESCRIPTION, ASSESSMENT]
FLOOD_SHAPES = [Shape(weight=1.0, text_tokens=100, answer_low=80, answer_high=160)]
PLATE_SHAPES = [Shape(weight=1.0, text_tokens=60, images=1)]


@attrs.frozen(kw_only=True)
class Tier:
    """A tier; the request class that maps to it has the same name."""

    name: str
    rank: int
    timeout_s: float
    wait_budget_s: float
    share: float


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation and its share of the background load."""

    name: str
    size_class: str
    share: float


@attrs.frozen(kw_only=True)
class Deployment:
    """A scaled-down deployment.

    ``entries`` and ``services`` are the regions of one process each; ``engines`` are
    pairs of a region and the tokens/s of a single stream.
    """

    name: str
    entries: list[str]
    engines: list[tuple[str, float]]
    services: list[str]
    tiers: list[Tier]
    organisations: list[Organisation]

    def capacity(self, shapes: list[Shape]) -> float:
        """Return the requests/s at which all slots of all engines are in use."""
        total = 0.0
        for _, decode_tokens_per_s in self.engines:
            interval_s = (
                1 + ENGINE_SLOWDOWN * (ENGINE_BATCH - 1)
            ) / decode_tokens_per_s
            slot_s = 0.0
            for shape in shapes:
                prompt = shape.text_tokens + shape.images * TOKENS_PER_IMAGE
                answer = (shape.answer_low + shape.answer_high) / 2
                prefill_s = prompt / ENGINE_PREFILL_TOKENS_PER_S
                slot_s += shape.weight * (prefill_s + answer * interval_s)
            total += ENGINE_BATCH / slot_s
        return total

    def records(self, placement: str, retry_ratio: float) -> list[dict[str, Any]]:
        """Return the configuration records of the deployment."""
        tiers = {tier.name: tier.name for tier in self.tiers}
        tiers["default"] = self.tiers[1].name
        records = [
            record(
                "pool",
                "assistants",
                kind="chat",
                models=[MODEL],
                placement=placement,
                retry_ratio=retry_ratio,
            ),
            record("pool", "orders", kind="service", service="orders"),
            record("policy", "standard", tiers=tiers),
        ]
        for tier in self.tiers:
            body = {
                "rank": tier.rank,
                "timeout_ms": int(tier.timeout_s * 1000),
                "wait_budget_ms": int(tier.wait_budget_s * 1000),
            }
            records.append(record("tier", tier.name, **body))
        for organisation in self.organisations:
            key = f"{organisation.name}-key"
            identity: dict[str, Any] = {
                "key_hashes": [hashlib.sha256(key.encode()).hexdigest()],
                "policy": "standard",
                "size_class": organisation.size_class,
            }
            records.append(record("organisation", organisation.name, **identity))
        return records


def record(type_name: str, name: str, **body: Any) -> dict[str, Any]:
    """Return a record in the format of the administration API."""
    return {"type": type_name, "name": name, "body": body}


def tiers(top: str, middle: str) -> list[Tier]:
    """Return three tiers; the names of the upper two differ by deployment."""
    return [
        Tier(name=top, rank=0, timeout_s=10.0, wait_budget_s=1.5, share=0.25),
        Tier(name=middle, rank=1, timeout_s=15.0, wait_budget_s=3.0, share=0.45),
        Tier(name="batch", rank=2, timeout_s=20.0, wait_budget_s=3.0, share=0.30),
    ]


def organisations(*names: str) -> list[Organisation]:
    """Return two large and three small organisations."""
    shares = [0.35, 0.26, 0.13, 0.13, 0.13]
    return [
        Organisation(
            name=name, size_class="large" if index < 2 else "small", share=share
        )
        for index, (name, share) in enumerate(zip(names, shares, strict=True))
    ]


WANJIRU = Deployment(
    name="wanjiru",
    entries=["nairobi", "mombasa", "kisumu"],
    engines=[
        ("nairobi", 120.0),
        ("nairobi", 60.0),
        ("mombasa", 90.0),
        ("mombasa", 45.0),
        ("kisumu", 75.0),
        ("kisumu", 30.0),
    ],
    services=["nairobi", "mombasa", "kisumu"],
    tiers=tiers("urgent", "normal"),
    organisations=organisations("dealer", "chain", "home", "cafe", "school"),
)

HYLLYMESTARI = Deployment(
    name="hyllymestari",
    entries=["south", "west", "north"],
    engines=[
        ("south", 120.0),
        ("south", 90.0),
        ("west", 75.0),
        ("west", 45.0),
        ("north", 30.0),
    ],
    services=["south", "west", "north"],
    tiers=tiers("counter", "design"),
    organisations=organisations("retail", "joinery", "library", "studio", "hall"),
)

DEPLOYMENTS = {item.name: item for item in (WANJIRU, HYLLYMESTARI)}


@attrs.frozen(kw_only=True)
class Phase:
    """Length, load and disturbance of a phase.

    ``load`` is the background load as a share of the pool's capacity. ``slow_share``
    of the engines run ``slow_factor`` times slower. ``flood`` is the rate of the flood
    as a multiple of the pool's capacity, or of an organisation's equal share of it
    with ``flood_organisation``; ``flood_tier`` is an index of the deployment's tiers.
    ``lose_region`` kills the processes of the last region. ``bursts`` adds callers
    with bursts of requests; with ``regular`` the arrivals of the background load are
    evenly spaced.
    """

    name: str
    seconds: float
    load: float = 0.6
    flood: float = 0.0
    flood_tier: int | None = None
    flood_organisation: bool = False
    slow_share: float = 0.0
    slow_factor: float = 1.0
    lose_region: bool = False
    retry: Retry = Retry.NONE
    bursts: bool = False
    regular: bool = False


@attrs.frozen(kw_only=True)
class Case:
    """A sequence of phases; ``compared`` names the one that is compared with ``base``.

    With ``series`` the report has goodput over time and the recovery time.
    """

    name: str
    phases: list[Phase]
    compared: str = ""
    series: bool = False


WARM = Phase(name="warm", seconds=6.0)
BASE = Phase(name="base", seconds=12.0)
# Requests of the base phase finish here, before the disturbance starts.
SETTLE = Phase(name="settle", seconds=4.0)


def disturbed(name: str, **changes: Any) -> Case:
    """Return a case with a base phase and a disturbed one of equal length."""
    phase = attrs.evolve(BASE, name="disturbed", **changes)
    return Case(name=name, phases=[WARM, BASE, SETTLE, phase], compared="disturbed")


def retry_storm() -> Case:
    """Return the case of callers that retry immediately and without limit."""
    baseline = Phase(
        name="base", seconds=8.0, load=0.65, retry=Retry.AT_ONCE, regular=True
    )
    return Case(
        name="retry-storm",
        phases=[
            attrs.evolve(baseline, name="warm", seconds=6.0),
            baseline,
            attrs.evolve(
                baseline, name="trigger", seconds=6.0, slow_share=1.0, slow_factor=5.0
            ),
            attrs.evolve(baseline, name="after", seconds=18.0),
        ],
        compared="after",
        series=True,
    )


CASES = {
    case.name: case
    for case in (
        Case(
            name="normal",
            phases=[
                attrs.evolve(WARM, bursts=True),
                attrs.evolve(BASE, seconds=24.0, bursts=True),
            ],
        ),
        disturbed("flood-low-5", flood=5.0, flood_tier=2),
        disturbed("flood-low-20", flood=20.0, flood_tier=2),
        disturbed("flood-high", flood=5.0, flood_tier=0),
        disturbed("large-organisation", flood=20.0, flood_organisation=True),
        retry_storm(),
        disturbed("slow-half", slow_share=0.5, slow_factor=5.0),
        disturbed("region-lost", lose_region=True),
    )
}


@attrs.frozen(kw_only=True)
class Variant:
    """A variant of the design; ``agent`` names a change made by ``variant_agent``."""

    placement: str = "late_binding"
    retry_ratio: float = 0.1
    agent: str = ""


VARIANTS = {
    "design": Variant(),
    "round_robin": Variant(placement="round_robin"),
    "least_reported": Variant(placement="least_reported"),
    "no_tier_order": Variant(agent="no_tier_order"),
    "no_fair_queueing": Variant(agent="no_fair_queueing"),
    "no_retry_budget": Variant(retry_ratio=1_000.0),
}


def phase_callers(deployment: Deployment, phase: Phase) -> list[Caller]:
    """Return the callers of a phase, distributed over the entries."""
    callers: list[Caller] = []
    rate = deployment.capacity(MIXED) * phase.load
    entries = len(deployment.entries)
    for organisation in deployment.organisations:
        for tier in deployment.tiers:
            caller = Caller(
                name=f"{organisation.name}/{tier.name}",
                organisation=organisation.name,
                request_class=tier.name,
                rate=rate * organisation.share * tier.share,
                shapes=MIXED,
                timeout_s=tier.timeout_s,
                entry=len(callers) % entries,
                retry=phase.retry,
                regular=phase.regular,
            )
            callers.append(caller)
    callers.append(lookup_caller(deployment))
    if phase.bursts:
        callers += burst_callers(deployment)
    if phase.flood > 0:
        callers += flood_callers(deployment, phase)
    return callers


def lookup_caller(deployment: Deployment) -> Caller:
    """Return a caller that sends service lookups at a low rate."""
    tier = deployment.tiers[1]
    return Caller(
        name="lookups",
        organisation=deployment.organisations[2].name,
        request_class=tier.name,
        rate=5.0,
        shapes=[QUESTION],
        timeout_s=tier.timeout_s,
        entry=0,
        lookup=True,
    )


def burst_callers(deployment: Deployment) -> list[Caller]:
    """Return a caller with bursts of 40 plates and one with single plates."""
    tier = deployment.tiers[1]
    large, small = deployment.organisations[0], deployment.organisations[2]
    burst_caller = Caller(
        name="plates-40",
        organisation=large.name,
        request_class=tier.name,
        rate=1 / 8,
        shapes=PLATE_SHAPES,
        timeout_s=tier.timeout_s,
        entry=0,
        retry=Retry.RETRY_AFTER,
        burst=40,
        regular=True,
    )
    single = attrs.evolve(
        burst_caller, name="plate-1", organisation=small.name, rate=1.5, burst=1
    )
    return [burst_caller, single]


def flood_callers(deployment: Deployment, phase: Phase) -> list[Caller]:
    """Return the callers of a flood, one at each entry."""
    rate = deployment.capacity(FLOOD_SHAPES) * phase.flood
    organisation = deployment.organisations[1]
    tier = deployment.tiers[1]
    if phase.flood_organisation:
        rate /= len(deployment.organisations)
    if phase.flood_tier is not None:
        tier = deployment.tiers[phase.flood_tier]
    entries = len(deployment.entries)
    return [
        Caller(
            name=f"flood-{index}",
            organisation=organisation.name,
            request_class=tier.name,
            rate=rate / entries,
            shapes=FLOOD_SHAPES,
            timeout_s=tier.timeout_s,
            entry=index,
        )
        for index in range(entries)
    ]
