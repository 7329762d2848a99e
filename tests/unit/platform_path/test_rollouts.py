"""Orders at the entries: which engines requests use, and what follows from answers."""

import asyncio

import pytest
from rollout_rig import RolloutRig, new_request, request

from acaciarelay.programs.relay_state_cache import StateCache
from acaciarelay.state.relayed_request import Broken, Delivered, ErrorResponse, NotRun
from acaciarelay.state.rollout import Phase

FAILED = ErrorResponse(500, [], b"")


async def test_without_an_order_all_engines_are_used_and_nothing_is_read():
    """Guards against new engines that nobody uses, or reads without need."""
    async with RolloutRig() as rig:
        rig.add_new()
        entry = rig.entries[0]
        assert entry.versions(new_request(entry)) == {"v1", "v2"}
        entry.send(new_request(entry))
        assert entry.rollouts.task is None
        await asyncio.sleep(0.3)
        assert sum(rig.store.calls.values()) == 0
        assert entry.peers.sent == []


async def test_an_entry_that_has_read_nothing_uses_the_usual_version():
    """Guards against an entry that starts in a rollout and ignores its share."""
    async with RolloutRig() as rig:
        rig.add_new()
        entry = rig.entries[0]
        routing = entry.cache.routing
        entry.cache.tables["op"] = StateCache().tables["op"]
        assert entry.versions(request(routing)) == {"v1"}


async def test_a_new_version_gets_its_share_after_a_permission():
    """Guards against traffic before a coordinator is there, and above the share."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.order()
        for entry in rig.entries:
            assert entry.versions(new_request(entry)) == {"v1"}
        await rig.until_shared()
        assert rig.status == {"state": "running", "to": "v2"}
        for entry in rig.entries:
            sent = [entry.send(new_request(entry)) for _ in range(200)]
            assert 15 <= sent.count("v2") <= 18
            assert "v2" not in sent[:10]


async def test_requests_that_wait_count_toward_the_share():
    """Guards against many requests that choose the new version on one credit."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        for _ in range(11):
            entry.send(new_request(entry))
        waiting = [new_request(entry) for _ in range(5)]
        chosen = [entry.versions(one) for one in waiting]
        assert chosen.count({"v2"}) == 1
        # One that waits on keeps its place, and one that leaves frees it.
        first = waiting[chosen.index({"v2"})]
        assert entry.versions(first) == {"v2"}
        entry.rollouts.release(first)
        assert entry.versions(waiting[-1]) == {"v2"}
        assert entry.rollouts.leave_trial(waiting[-1])
        assert entry.versions(waiting[-1]) == {"v1"}
        assert not entry.rollouts.leave_trial(waiting[-1])


async def test_a_repeat_goes_to_the_old_version():
    """Guards against a request that fails twice since both attempts were on trial."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        for _ in range(11):
            entry.send(new_request(entry))
        assert entry.versions(new_request(entry, tried={"i-4"})) == {"v1"}


async def test_what_may_be_sent_is_checked_again_after_a_wait():
    """Guards against a request to a version that was rolled back while it waited."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        for _ in range(11):
            entry.send(new_request(entry))
        relayed = new_request(entry)
        assert entry.versions(relayed) == {"v2"}
        new = entry.cache.endpoints.get("i-4")
        old = entry.cache.endpoints.get("i-1")
        assert entry.rollouts.permits(relayed, new)
        assert not entry.rollouts.permits(new_request(entry), new)
        for _ in range(6):
            entry.rollouts.runs["orders"].record_answer(True)
        assert not entry.rollouts.permits(relayed, new)
        assert entry.rollouts.permits(relayed, old)


async def test_several_failures_in_a_row_stop_this_entry():
    """Guards against an entry that sends on until the coordinator has decided."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        sent = []
        for _ in range(300):
            relayed = new_request(entry)
            (version,) = entry.versions(relayed)
            outcome = FAILED if version == "v2" else Delivered()
            sent.append(entry.send(relayed, outcome))
        assert sent.count("v2") == 6


async def test_an_answer_that_says_nothing_is_left_out():
    """Guards against declined requests and callers' mistakes that stop a version."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        run = entry.rollouts.runs["orders"]
        new = entry.cache.endpoints.get("i-4")
        for outcome in (NotRun("declined", True), ErrorResponse(404, [], b""), None):
            for _ in range(8):
                attempt = entry.rollouts.sent(new_request(entry), new)
                entry.rollouts.ended(attempt, outcome)
        assert not run.permission.tripped
        counts = run.counts.report(1, Phase.SHARE, 0.0).new["read"]
        assert (counts.requests, counts.failures) == (16, 8)
        attempt = entry.rollouts.sent(new_request(entry), new)
        entry.rollouts.ended(attempt, Broken("reset", disconnected=True))
        counts = run.counts.report(1, Phase.SHARE, 0.0).new["read"]
        assert (counts.requests, counts.failures) == (17, 9)


async def test_a_bad_version_is_rolled_back_everywhere():
    """Guards against counts that miss the coordinator, or an end the entries."""
    async with RolloutRig(entries=3) as rig:
        rig.add_new()
        rig.order(duration=14)
        await rig.until_shared()

        def send_and_look():
            for entry in rig.entries:
                for number in range(6):
                    relayed = new_request(entry)
                    (version,) = entry.versions(relayed)
                    fails = version == "v2" and number % 2
                    entry.send(relayed, FAILED if fails else Delivered())
            return rig.status["state"] == "rolled_back"

        await rig.until(send_and_look, limit_s=12.0)
        await rig.until(lambda: rig.phases() == {Phase.ENDED})
        for entry in rig.entries:
            assert entry.versions(new_request(entry)) == {"v1"}
        await rig.until(lambda: not any(run.open for run in rig.runs()))
        calls = sum(rig.store.calls.values())
        await asyncio.sleep(0.8)
        assert sum(rig.store.calls.values()) == calls


async def test_a_good_version_succeeds_once_the_old_one_is_idle():
    """Guards against old engines that are stopped while requests run there."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.order(duration=4)
        entry = rig.entries[0]
        old = entry.cache.endpoints.get("i-1")
        # It began before the order reached the entry's counts.
        running = entry.rollouts.attempts.begin(new_request(entry), old, 0.0)
        assert entry.rollouts.links.old_running(rig.runs()[0].order) == 1

        def send():
            for sender in rig.entries:
                for _ in range(5):
                    sender.send(new_request(sender))
            return rig.phases() == {Phase.FULL}

        await rig.until(send)
        assert entry.versions(new_request(entry)) == {"v2"}
        assert rig.status["state"] == "running"
        entry.rollouts.ended(running, Delivered())
        await rig.until(lambda: rig.status["state"] == "succeeded", limit_s=2.0)
        await rig.until(lambda: rig.phases() == {Phase.ENDED})
        for sender in rig.entries:
            assert sender.versions(new_request(sender)) == {"v2"}


async def test_requests_and_failures_are_counted_by_version():
    """Guards against an operator who can't see how a version does."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        for _ in range(30):
            relayed = new_request(entry)
            (version,) = entry.versions(relayed)
            entry.send(relayed, FAILED if version == "v2" else Delivered())
        await asyncio.sleep(0.2)
        text = entry.metrics.render()[0].decode()
        label = '{service="orders",version="%s"}'
        assert "rollout_requests_total" + label % "v1" + " 28" in text
        assert "rollout_requests_total" + label % "v2" + " 2" in text
        assert "rollout_failures_total" + label % "v2" + " 2" in text
        assert "rollout_state" + label % "v2" + " 1" in text
        assert "rollout_share" + label % "v2" + " 0.06" in text


async def test_the_work_of_a_request_is_relative_to_its_route():
    """Guards against long prompts that look like a slow version."""
    async with RolloutRig() as rig:
        entry = rig.entries[0]
        attempts = entry.rollouts.attempts
        endpoint = entry.cache.endpoints.get("i-1")
        unsized = attempts.begin(new_request(entry), endpoint, 0.0)
        assert unsized.work == 1.0
        for _ in range(50):
            relayed = new_request(entry, prompt_tokens=2100, output_tokens=10)
            attempt = attempts.begin(relayed, endpoint, 0.0)
            assert attempt.work == pytest.approx(1.0)
            attempts.end(attempt)
        long = new_request(entry, prompt_tokens=10 * 2100, output_tokens=100)
        assert 5.0 < attempts.begin(long, endpoint, 0.0).work <= 10.0
        assert attempts.others_of("orders", "v2") == 2
        assert attempts.others_of("orders", "v1") == 0
