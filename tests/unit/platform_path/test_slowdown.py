"""Load reports with the slowdown of the endpoint's VM, and their use in placement."""

import asyncio
import random
import time

import pytest
from relay_rig import RelayRig
from test_relay_placement import client_with, endpoint, ranked_hosts

from acaciarelay.coordination.endpoint_health import EndpointHealth
from acaciarelay.coordination.slowdown import SlowdownEstimate
from acaciarelay.platform.headers import LoadReport, decode_load
from acaciarelay.protocol.link_messages import EngineState

# Time for which other work on a VM comes or goes.
SPELL_S = 0.2


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,1,8", LoadReport(running=3, waiting=1, slots=8, slowdown=None)),
        ("3,1,8,250", LoadReport(running=3, waiting=1, slots=8, slowdown=2.5)),
        ("3,1,8,68,9,9", LoadReport(running=3, waiting=1, slots=8, slowdown=0.68)),
        ("3,1,8,0", LoadReport(running=3, waiting=1, slots=8, slowdown=None)),
        ("3,1", None),
        ("3,1,8,fast", None),
        ("", None),
    ],
)
def test_load_reports_are_decoded_with_any_number_of_figures(text, expected):
    """Guards against load reports that are lost because a figure was added."""
    assert decode_load([("runner-load", text)]) == expected


def test_estimate_follows_the_newest_report_and_returns_to_the_mean():
    """Guards against a short spell of other work that marks a VM as slow for long."""
    estimate = SlowdownEstimate()
    for number in range(100):
        estimate.record(1.0, number * 0.1)
    estimate.record(2.5, 10.0)
    assert estimate.at(10.0) == 2.5
    assert estimate.at(11.0) < 1.2


def spells(base, seed):
    """Return a slowdown that is ``base``, and 2.5 times that in one spell of eight."""

    def slowdown(now):
        busy = random.Random(f"{seed} {int(now / SPELL_S)}").random() < 1 / 8
        return base * (2.5 if busy else 1.0)

    return slowdown


async def test_few_orders_are_sent_to_slow_vms():
    """Guards against a placement that ignores how slow the endpoints' VMs are."""
    async with RelayRig() as rig:
        bases = (0.68, 1.0, 3.0)
        for seed, base in enumerate(bases):
            await rig.add_runner(
                "orders", work_s=0.09, slots=6, slowdown=spells(base, seed)
            )
        calls = []
        for number in range(120):
            calls.append(asyncio.create_task(rig.call("/order/a", attempt=f"{number}")))
            await asyncio.sleep(0.015)
        answers = await asyncio.gather(*calls)
        assert all(answer.status == 200 for answer in answers)
        counts = [len(runner.runs) for runner in rig.runners]
        # A third of the speed at most, so less than a third of the fastest one's share.
        now = time.monotonic()
        failures = [rig.health.failures(f"i-{n}", now) for n in (1, 2, 3)]
        assert counts[2] < counts[0] / 3, (counts, failures)


async def test_new_engine_on_a_slow_vm_is_not_taken_for_a_fast_one():
    """Guards against the first requests of an engine that all come late."""
    known = EngineState(waits_s=[0.0], first_s=0.05, token_s=0.01, slowdown=0.68)
    slow = EngineState(waits_s=[0.0], slowdown=3.0)
    slot_client = client_with(new=slow, known=known)
    endpoints = [endpoint("new"), endpoint("known")]
    assert ranked_hosts(slot_client, endpoints)[0] == "known"


def test_busy_vm_costs_more_than_a_free_slot_elsewhere():
    """Guards against an idle slow endpoint that is preferred to a busy fast one."""
    health = EndpointHealth("zone-a", {"zone-a": "region-a"}, random.Random(1))
    for name, load, slowdown in (("i-slow", 0, 3.0), ("i-fast", 3, 0.68)):
        health.record_load(name, load, slowdown, 10.0)
    endpoints = [endpoint("slow"), endpoint("fast")]
    chosen = health.choose(endpoints, set(), 1, 10.0)
    assert chosen is not None and chosen.endpoint_id == "i-fast"
