"""Runs, answers and refusals by the kind of the request and the runner's fault."""

import asyncio
import time

import pytest
from relay_rig import HOST, RelayRig, configuration, route

from acaciarelay.programs.relay_request import FIRST_CONFIGURATION_WAIT_S, STARTUP_S
from acaciarelay_standins.runner_faults import RunnerFaults

EVENTS = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 11))
PROMISES = (408, 421, 429, 503)

LOST_ANSWER_FAULTS = [
    RunnerFaults(lose=True),
    RunnerFaults(garbage=True),
    RunnerFaults(foreign=True),
    RunnerFaults(unsealed=True),
    RunnerFaults(short=True),
    RunnerFaults(encoded=True),
]


def fault_name(faults: RunnerFaults) -> str:
    return next(name for name in RunnerFaults.__slots__ if getattr(faults, name, False))


async def test_answer_is_forwarded_unchanged_with_its_seal():
    """Guards against an answer that is forwarded without its seal or some bytes."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        answer = await rig.call("/order/a?b=c", body=b"two shelves")
        assert answer.status == 200 and answer.complete
        assert answer.headers["runner-seal"] == "seal-of-i-1"
        assert answer.body == b"answer of i-1 to a-1"
        run = runner.runs[0]
        assert (run.target, run.body) == ("POST /order/a?b=c", b"two shelves")
        assert run.organisation == "workshop"
        assert 1500 < run.time_limit_ms <= 2000
        assert "api-key" not in runner.headers_seen[0]


@pytest.mark.parametrize("faults", LOST_ANSWER_FAULTS, ids=fault_name)
async def test_order_with_a_lost_answer_is_not_retried(faults):
    """Guards against a second run, and a refusal of an order that may have run."""
    async with RelayRig() as rig:
        for _ in range(2):
            runner = await rig.add_runner("orders")
            runner.faults = faults
        answer = await rig.call("/order/a")
        assert rig.arrivals == 1
        assert answer.status == 502
        assert "runner-seal" not in answer.headers


@pytest.mark.parametrize("faults", LOST_ANSWER_FAULTS, ids=fault_name)
async def test_read_with_a_lost_answer_is_retried_elsewhere(faults):
    """Guards against a failed lookup when another runner could have answered it."""
    async with RelayRig() as rig:
        bad = await rig.add_runner("orders")
        bad.faults = faults
        await rig.add_runner("orders")
        for number in range(6):
            answer = await rig.call("/read/a", "GET", attempt=f"a-{number}")
            assert answer.status == 200 and answer.complete
            assert answer.headers["runner-seal"] == "seal-of-i-2"


@pytest.mark.parametrize(
    "faults",
    [RunnerFaults(shed=True), RunnerFaults(wrong_endpoint=True)],
    ids=fault_name,
)
async def test_declined_order_is_sent_to_another_runner(faults):
    """Guards against a refusal when another runner would have accepted the order."""
    async with RelayRig() as rig:
        first = await rig.add_runner("orders")
        first.faults = faults
        await rig.add_runner("orders")
        for number in range(4):
            answer = await rig.call("/order/a", attempt=f"a-{number}")
            assert answer.status == 200
        assert len(first.runs) == 0


async def test_order_declined_everywhere_is_refused_with_retry_after():
    """Guards against status 502 for an order that certainly did not run."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        runner.faults = RunnerFaults(shed=True)
        answer = await rig.call("/order/a")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert rig.arrivals == 0


async def test_failure_of_the_runner_is_forwarded_with_its_seal():
    """Guards against a sealed failure that is replaced by one of the entry."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        runner.faults = RunnerFaults(error=True)
        answer = await rig.call("/order/a")
        assert (answer.status, answer.headers["runner-seal"]) == (500, "seal-of-i-1")
        assert rig.arrivals == 1


async def test_order_at_a_silent_runner_gets_504_at_the_time_limit():
    """Guards against an order held past its time limit, or answered with 503."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        runner.faults = RunnerFaults(silent=True)
        began = asyncio.get_running_loop().time()
        answer = await rig.call("/order/a", limit_ms=400)
        took = asyncio.get_running_loop().time() - began
        assert answer.status == 504
        assert 0.35 < took < 0.9


@pytest.mark.parametrize(
    ("target", "service"), [("/read/a", "orders"), ("/chat/a", "engine")]
)
async def test_retryable_request_abandons_a_silent_runner(target, service):
    """Guards against a lookup or stream that waits for a silent runner to the end."""
    async with RelayRig() as rig:
        silent = await rig.add_runner(service)
        silent.faults = RunnerFaults(silent=True)
        await rig.add_runner(service)
        for number in range(3):
            answer = await rig.call(target, attempt=f"a-{number}", limit_ms=1900)
            assert answer.status == 200 and answer.complete
        await asyncio.sleep(0.1)
        assert len(silent.cancelled) == len(silent.runs) > 0


async def test_silent_runner_is_not_abandoned_without_an_alternative():
    """Guards against a lookup that is abandoned while its only runner works on it."""
    async with RelayRig() as rig:
        await rig.add_runner("orders", work_s=1.4)
        assert (await rig.call("/read/a")).status == 200


async def test_failed_connect_does_not_count_as_a_run():
    """Guards against an order that is not retried after a failed connect."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        rig.servers[-1].close()
        rig.runners.clear()
        await rig.add_runner("orders")
        for number in range(4):
            answer = await rig.call("/order/a", attempt=f"a-{number}")
            assert answer.status == 200


async def test_stream_is_forwarded_completely():
    """Guards against lost or merged events."""
    async with RelayRig() as rig:
        await rig.add_runner("engine")
        answer = await rig.call("/chat/a")
        assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)


@pytest.mark.parametrize("torn", [False, True])
async def test_broken_stream_resumes_without_gap_or_duplicate(torn):
    """Guards against a missing, repeated or partial event where a stream resumes."""
    async with RelayRig() as rig:
        first = await rig.add_runner("engine")
        first.faults = RunnerFaults(cut_after=4, torn=torn)
        second = await rig.add_runner("engine")
        for number in range(4):
            answer = await rig.call("/chat/a", attempt=f"a-{number}")
            assert (answer.status, answer.body, answer.complete) == (200, EVENTS, True)
        assert first.runs and second.runs


async def test_cut_stream_that_may_not_resume_does_not_look_complete():
    """Guards against a cut stream that the caller takes for a complete one."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine")
        runner.faults = RunnerFaults(cut_after=4)
        await rig.add_runner("engine", events=10)
        rig.runners[1].faults = RunnerFaults(cut_after=4)
        answer = await rig.call("/quote/a")
        assert answer.status == 200 and not answer.complete
        assert rig.arrivals == 1


async def test_last_event_id_of_the_caller_is_forwarded():
    """Guards against a resumed stream that starts again from its first event."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine")
        await rig.call("/chat/a", attempt="a-0")
        answer = await rig.call("/chat/a", Last_Event_Id="7", Resumes="a-0")
        assert answer.body.startswith(b"id: 8\n")
        assert runner.headers_seen[1]["last-event-id"] == "7"


async def test_run_is_cancelled_when_the_caller_leaves():
    """Guards against a run that continues after its caller has disconnected."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine", events=1000, step_s=0.02)
        task = asyncio.create_task(rig.call("/chat/a"))
        await asyncio.sleep(0.3)
        assert runner.runs
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.3)
        assert runner.cancelled == ["a-1"]


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        ("/unknown/a", {}, 404),
        ("/order/a", {"Api_Key": "nobody"}, 401),
        ("/order/a", {"Token_Usage": "many"}, 400),
        ("/order/a", {"Token_Usage": "-100000,5"}, 400),
        ("/order/a", {"Token_Usage": "5,-100000"}, 400),
        ("/order/a", {"Host": "elsewhere.example"}, 404),
    ],
)
async def test_wrong_requests_reach_no_runner(target, headers, status):
    """Guards against an invalid request that is sent to a runner."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        answer = await rig.call(target, **headers)
        assert answer.status == status
        assert rig.arrivals == 0


async def test_system_headers_of_a_caller_are_dropped():
    """Guards against forged headers that only the system may set."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        forged = {
            "Tenant": "other",
            "Expect_Instance": "i-9",
            "Kv_Hold": "h",
            "Kv_From": "x",
            "Kv_Backup": "y",
            "Pin_Ms": "5",
        }
        answer = await rig.call("/order/a", **forged)
        assert answer.status == 200
        seen = runner.headers_seen[0]
        assert (seen["tenant"], seen["expect-instance"]) == ("workshop", "i-1")
        assert not {"kv-hold", "kv-from", "kv-backup", "pin-ms"} & seen.keys()


async def test_headers_named_by_connection_are_not_forwarded():
    """Guards against a hop-by-hop header that reaches the runner."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("orders")
        await rig.call("/order/a", Connection="X-Hop", X_Hop="1")
        assert "x-hop" not in runner.headers_seen[0]


async def test_no_configuration_is_503_and_not_404():
    """Guards against an entry without configuration that denies routes and keys."""
    async with RelayRig() as rig:
        rig.cache.routing = None
        answer = await rig.call("/order/a")
        assert answer.status == 503


async def test_longest_prefix_and_host_choose_the_route():
    """Guards against the choice of a shorter prefix or of another host's route."""
    async with RelayRig() as rig:
        routes = [
            route("/a/", "non_idempotent"),
            route("/a/b/", "non_idempotent", service="deep"),
            route("/a/", "non_idempotent", host="other.example", service="deep"),
        ]
        rig.configure(configuration(2, routes=routes))
        await rig.add_runner("orders")
        deep = await rig.add_runner("deep")
        await rig.call("/a/x", attempt="one")
        await rig.call("/a/b/x", attempt="two")
        await rig.call("/a/x", attempt="three", Host="other.example:80")
        assert [run.attempt for run in deep.runs] == ["two", "three"]
        assert HOST != "other.example"


async def test_key_revoked_while_a_request_waits_denies_it():
    """Guards against a run for a key that was revoked while the request waited."""
    async with RelayRig() as rig:
        task = asyncio.create_task(rig.call("/order/a"))
        await asyncio.sleep(0.05)
        rig.configure(configuration(2, tenants=[]))
        await rig.add_runner("orders")
        answer = await task
        assert answer.status == 401
        assert rig.arrivals == 0


async def test_rate_limit_refuses_with_429_and_retry_after():
    """Guards against requests beyond an organisation's rate limit."""
    async with RelayRig() as rig:
        value = configuration(2)
        value["tenants"][0] |= {"ratePerS": 100, "burst": 150}
        rig.configure(value)
        await rig.add_runner("engine")
        first = await rig.call("/chat/a", attempt="one")
        second = await rig.call("/chat/a", attempt="two")
        assert (first.status, second.status) == (200, 429)
        assert 0 < float(second.headers["retry-after"]) <= 2


async def test_request_waits_for_the_first_configuration():
    """Guards against refusals between a start and the store's first answer."""
    async with RelayRig() as rig:
        await rig.add_runner("orders")
        rig.cache.routing = None
        rig.relay.configured.clear()
        call = asyncio.create_task(rig.call("/order/a"))
        await asyncio.sleep(0.05)
        rig.configure(configuration())
        answer = await call
        assert answer.status == 200


async def test_request_without_configuration_is_refused_at_once_after_startup():
    """Guards against requests that wait at an entry that can't reach the store."""
    async with RelayRig() as rig:
        rig.cache.routing = None
        rig.relay.configured.clear()
        rig.relay.started_at -= STARTUP_S
        began = time.monotonic()
        answer = await rig.call("/order/a")
        assert answer.status == 503
        assert time.monotonic() - began < FIRST_CONFIGURATION_WAIT_S


class SilentAgentLink:
    """Link to an agent that has sent nothing for ``silent_s`` seconds."""

    def __init__(self, silent_s):
        self.last_received_at = asyncio.get_running_loop().time() - silent_s


@pytest.mark.parametrize("target", ["/quote/a", "/order/a"])
async def test_request_at_a_frozen_vm_fails_before_its_time_limit(target):
    """Guards against a caller that gives up unaware that its request may still run.

    The runner of a frozen VM may start the request when the VM resumes. The VM's agent
    is unresponsive too, so the entry abandons the attempt before the time limit and
    answers 502, which says that the request may have run.
    """
    async with RelayRig() as rig:
        for service in ("engine", "orders"):
            runner = await rig.add_runner(service)
            runner.faults = RunnerFaults(silent=True)
        link = SilentAgentLink(2.0)
        rig.slot_client.link_opened("127.0.0.1", link)
        rig.slot_client.link_closed("127.0.0.1", link)
        began = time.monotonic()
        answer = await rig.call(target, limit_ms=4000)
        assert answer.status == 502
        assert time.monotonic() - began < 1.6
        assert rig.arrivals == 1


async def test_silent_runner_is_not_abandoned_when_its_agent_was_restarted():
    """Guards against an attempt that is abandoned because an agent was restarted."""
    async with RelayRig() as rig:
        runner = await rig.add_runner("engine")
        runner.faults = RunnerFaults(silent=True)
        link = SilentAgentLink(0.1)
        rig.slot_client.link_opened("127.0.0.1", link)
        rig.slot_client.link_closed("127.0.0.1", link)
        began = time.monotonic()
        answer = await rig.call("/quote/a", limit_ms=1900)
        assert answer.status == 504
        assert time.monotonic() - began > 1.7
