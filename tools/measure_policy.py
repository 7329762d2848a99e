"""Print time per operation and memory of the scheduling modules, for a seed.

Other load on the machine affects the figures: compare the rows of one run with each
other, not with those of another run.
"""

import argparse
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from acaciarelay.coordination.estimator import TokenEstimator
from acaciarelay.coordination.fair_queue import FairQueue, Reservation
from acaciarelay.coordination.load import TierCount
from acaciarelay.coordination.placement import (
    PLACEMENT_POLICIES,
    AgentState,
    PlacementRequest,
    choose_subset,
)
from acaciarelay.coordination.rate_limit import OrganisationLimits

AGENT_NUMBERS = (10, 50, 100, 200, 600)
ORGANISATION_NUMBERS = (5, 100, 1_000, 5_000, 18_000)
SUBSET_SIZE = 20
QUEUE_OPERATIONS = 20_000
PLACEMENT_OPERATIONS = 300
MAX_WAITING = 20_000
QUANTUM_TOKENS = 1_000
REPEATS = 3
US_PER_S = 1e6


def per_operation_us(run: Callable[[], int]) -> float:
    """Return the shortest of several runs, in microseconds per operation."""
    best = float("inf")
    for _ in range(REPEATS):
        start = time.perf_counter()
        operations = run()
        best = min(best, (time.perf_counter() - start) / operations)
    return best * US_PER_S


def bytes_per_item(build: Callable[[int], object], number: int) -> float:
    """Return the traced bytes of what ``build(number)`` returns, per item."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build(number)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / number


def make_reservation(index: int, organisations: int, random: Random) -> Reservation:
    """Build a reservation of 100 to 10,000 tokens."""
    return Reservation(
        request_id=f"request-{index}",
        entry_id=f"entry-{index % 320}",
        pool="chat",
        tier=random.randrange(4),
        organisation=f"organisation-{random.randrange(organisations)}",
        weight=1,
        tokens=int(100 * 100 ** random.random()),
        prompt_tokens=100,
        prefix_hash=random.getrandbits(64),
        repeatable=True,
        last_resort=False,
        queued_at=0.0,
        deadline=60.0 + random.random(),
        wait_budget_s=20.0,
        waited_s=0.0,
    )


def make_agents(number: int, random: Random) -> list[AgentState]:
    """Build agents in 2 regions with 5 availability zones, with random load."""
    agents = []
    for index in range(number):
        zone = index % 5
        tiers = {
            tier: TierCount(5, random.randrange(3_000), 5, random.randrange(10_000))
            for tier in range(4)
        }
        agent_state = AgentState(
            agent_id=f"agent-{index}",
            pool="chat",
            zone=f"zone-{zone}",
            region="south" if zone < 3 else "north",
            connected=True,
            draining=False,
            endpoint_up=True,
            token_limit=32_000,
            tokens_per_second=1_300.0,
            tiers=tiers,
            tier_floor=None,
            updated_at=0.0,
        )
        agents.append(agent_state)
    return agents


def measure_queue(organisations: int, seed: int) -> tuple[float, float, float]:
    """Return the microseconds per add, dequeue with charge, and add with eviction."""
    random = Random(seed)
    items = [
        make_reservation(index, organisations, random)
        for index in range(QUEUE_OPERATIONS)
    ]
    filled: list[FairQueue] = []

    def add() -> int:
        queue = FairQueue(MAX_WAITING, QUANTUM_TOKENS)
        for item in items:
            queue.add(item)
        filled.append(queue)
        return len(items)

    def dequeue() -> int:
        queue = filled.pop()
        while (item := queue.dequeue(10**9, None)) is not None:
            queue.correct_charge(
                item.organisation, item.tier, item.tokens, item.tokens + 50
            )
        return len(items)

    def evict() -> int:
        queue = FairQueue(MAX_WAITING // 10, QUANTUM_TOKENS)
        for item in items:
            queue.add(item)
        return len(items)

    return per_operation_us(add), per_operation_us(dequeue), per_operation_us(evict)


def measure_placement(agents: list[AgentState], seed: int) -> list[float]:
    """Return microseconds per choice for each policy, and for ``choose_subset``."""
    random = Random(seed)
    names = [agent.agent_id for agent in agents]
    requests = [
        PlacementRequest(
            tier=random.randrange(4),
            tokens=1_000,
            prefix_hash=random.getrandbits(64),
            zone="zone-0",
            region="south",
            waited_s=0.0,
            wait_budget_s=20.0,
            reservations=2,
            wan_wait_s=0.5,
        )
        for _ in range(PLACEMENT_OPERATIONS)
    ]
    results = []
    for policy_name in sorted(PLACEMENT_POLICIES):
        policy = PLACEMENT_POLICIES[policy_name]()

        def choose(policy=policy) -> int:
            for request in requests:
                policy.choose(request, agents, set(), random)
            return len(requests)

        results.append(per_operation_us(choose))

    def subset() -> int:
        for index in range(PLACEMENT_OPERATIONS):
            choose_subset(f"entry-{index}", names, SUBSET_SIZE)
        return PLACEMENT_OPERATIONS

    results.append(per_operation_us(subset))
    return results


def build_limits(organisations: int) -> OrganisationLimits:
    limits = OrganisationLimits()
    for index in range(organisations):
        limits.configure(f"organisation-{index}", 1_000.0, 10_000.0, 0.1)
    return limits


def build_estimator(organisations: int) -> TokenEstimator:
    estimator = TokenEstimator()
    for index in range(organisations):
        name = f"organisation-{index}"
        estimate = estimator.estimate(name, "model", 4_000, 0, 256)
        estimator.observe(name, "model", estimate, 900, 200 + index % 100)
    return estimator


def build_queue(organisations: int) -> FairQueue:
    """Build a queue with one waiting reservation of each organisation."""
    random = Random(0)
    queue = FairQueue(organisations, QUANTUM_TOKENS)
    for index in range(organisations):
        item = make_reservation(index, organisations, random)
        item.organisation = f"organisation-{index}"
        queue.add(item)
    return queue


def build_agents(number: int) -> list[AgentState]:
    return make_agents(number, Random(0))


def print_organisations(seed: int) -> None:
    print("\norganisations | queue add us | take+charge us | add+evict us", end="")
    print(" | limits B | estimator B | queued B (each, per organisation)")
    for number in ORGANISATION_NUMBERS:
        add, dequeue, evict = measure_queue(number, seed)
        sizes = [
            bytes_per_item(build, number)
            for build in (build_limits, build_estimator, build_queue)
        ]
        print(f"{number:13} | {add:12.2f} | {dequeue:14.2f} | {evict:12.2f}", end="")
        print(f" | {sizes[0]:8.0f} | {sizes[1]:11.0f} | {sizes[2]:8.0f}")


def print_agents(seed: int) -> None:
    policies = " | ".join(f"{name} us" for name in sorted(PLACEMENT_POLICIES))
    print(f"\nagents | {policies} | choose_subset us | view B (per agent)")
    for number in AGENT_NUMBERS:
        agents = make_agents(number, Random(seed))
        times = measure_placement(agents, seed)
        size = bytes_per_item(build_agents, number)
        cells = " | ".join(f"{value:8.1f}" for value in times)
        print(f"{number:6} | {cells} | {size:6.0f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print(f"seed {seed}, {REPEATS} runs each, the shortest shown")
    print_organisations(seed)
    print_agents(seed)


if __name__ == "__main__":
    main()
