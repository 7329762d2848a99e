"""Orders at the entries: replaced, removed, restored, and with a store in trouble."""

import attrs
from rollout_rig import RolloutRig, new_request

from acaciarelay.state.relayed_request import ErrorResponse
from acaciarelay.state.rollout import Phase
from acaciarelay.state.store_era import StoreVersion
from acaciarelay_standins.platform_store import RestorePoint

FAILED = ErrorResponse(500, [], b"")


async def test_permissions_come_from_the_store_when_all_links_are_cut():
    """Guards against a rollout that needs the links."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.links_cut = True
        rig.order()
        await rig.until(lambda: rig.phases() == {Phase.SHARE}, limit_s=4.0)


async def test_a_silent_store_ends_the_permissions():
    """Guards against entries that use a version on trial without a coordinator."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.order(duration=30)
        await rig.until_shared()
        rig.store.faults.silent = True
        await rig.until(lambda: rig.phases() == {Phase.NONE}, limit_s=6.5)
        rig.store.faults.silent = False
        await rig.until(lambda: rig.phases() == {Phase.SHARE}, limit_s=9.0)


async def test_lost_answers_of_the_store_do_not_stop_a_rollout():
    """Guards against a coordinator that takes its own write for another one's."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.store.faults.lose_answers = 3
        rig.order()
        await rig.until_shared()
        row = rig.stored("rollouts", "orders")
        assert row["epoch"] == 1


async def test_a_coordinator_that_stops_hands_over():
    """Guards against a rollout that pauses for the whole lease."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.order(duration=30)
        await rig.until_shared()
        (first,) = [run for run in rig.runs() if run.coordinator.is_coordinator]
        first.stop()
        await rig.until(lambda: rig.stored("rollouts", "orders")["epoch"] == 2, 2.0)
        assert not first.coordinator.is_coordinator


async def test_an_order_that_is_unreadable_changes_nothing():
    """Guards against an odd row that ends or begins a rollout."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        order = entry.rollouts.runs["orders"].order
        for key in ("rollout/orders", "rollout/engine", "rollout/", "other"):
            entry.row("op", key, {"service": 7}, StoreVersion(1, 1000))
        assert entry.rollouts.runs["orders"].order is order
        assert list(entry.rollouts.runs) == ["orders"]


async def test_a_later_order_replaces_the_one_before():
    """Guards against two versions on trial, or the share of the former one."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        former = entry.rollouts.runs["orders"]
        for engine in (6, 7):
            entry.endpoint(engine, "v3")
        rig.order("v3")
        assert not former.open
        await rig.until_shared()
        assert rig.status == {"state": "running", "to": "v3"}
        for _ in range(11):
            entry.send(new_request(entry))
        assert entry.versions(new_request(entry)) == {"v3"}


async def test_a_removed_order_stops_the_version():
    """Guards against a version that gets all traffic once its order is withdrawn."""
    async with RolloutRig() as rig:
        rig.add_new()
        number = rig.order()
        entry = rig.entries[0]
        await rig.until_shared()
        entry.row("op", "rollout/orders", None, StoreVersion(1, number + 1))
        assert entry.versions(new_request(entry)) == {"v1"}
        assert not entry.rollouts.runs["orders"].open


async def test_a_restored_store_brings_no_former_order_back():
    """Guards against a replaced order that moves a service once more."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order("v2", 9)
        copy = rig.store.version
        rig.order("v3", 10)
        entry = rig.entries[0]
        rig.store.restore(RestorePoint(version=copy))
        value = {"service": "orders", "to": "v2", "durationS": 9}
        entry.row("op", "rollout/orders", value, StoreVersion(2, copy))
        assert entry.rollouts.runs["orders"].order.version == "v3"
        # What the operator writes then is in force.
        rig.order("v3", 10, era=2)
        run = entry.rollouts.runs["orders"]
        assert (run.order.version, run.order.revision.era) == ("v3", 2)
        rig.order("v2", 12, era=2)
        assert entry.rollouts.runs["orders"].order.version == "v2"


async def test_an_end_outlives_the_restored_store():
    """Guards against a version that gets requests again though it was rolled back."""
    async with RolloutRig() as rig:
        rig.add_new()
        rig.order(duration=0)
        entry = rig.entries[0]
        await rig.until(lambda: rig.ended_as("rolled_back"))
        await rig.until(lambda: not entry.rollouts.runs["orders"].open)
        rig.store.restore(RestorePoint(version=1))
        rig.order(duration=0, era=2)
        assert rig.phases() == {Phase.ENDED}
        assert entry.versions(new_request(entry)) == {"v1"}
        await rig.until(lambda: rig.ended_as("rolled_back"))
        assert max(entry.eras) == 2


async def test_two_services_are_moved_at_once():
    """Guards against an order that takes the place of another service's."""
    async with RolloutRig() as rig:
        rig.add_new()
        entry = rig.entries[0]
        entry.endpoint(8, "v1", service="engine")
        entry.endpoint(9, "v2", service="engine")
        rig.order()
        value = {"service": "engine", "to": "v2", "durationS": 10}
        number = rig.store.put("op", "rollout/engine", value)
        entry.row("op", "rollout/engine", value, StoreVersion(1, number))
        await rig.until_shared()
        await rig.until(lambda: rig.stored("status", "rollout/engine") is not None)
        assert rig.status == rig.stored("status", "rollout/engine")


async def test_messages_about_other_orders_are_left_out():
    """Guards against a permission for a former order that counts for this one."""
    async with RolloutRig(entries=2) as rig:
        rig.add_new()
        rig.order()
        await rig.until_shared()
        sender = next(e for e in rig.entries if e.peers.sent)
        message = sender.peers.sent[-1]
        other = next(e for e in rig.entries if e is not sender)
        run = other.rollouts.runs["orders"]
        ended = {"phase": int(Phase.ENDED), "state": "rolled_back", "age_s": 1.0}
        permissions = [m for m in sender.peers.sent if hasattr(m, "state")]
        message = attrs.evolve(permissions[-1], **ended)
        for fields in (
            {"order": 999},
            {"era": 9},
            {"service": "engine"},
            {"state": "?"},
        ):
            other.peers.on_rollout(sender.hello, attrs.evolve(message, **fields))
            assert not run.permission.state.is_end
        other.peers.on_rollout(sender.hello, message)
        assert run.permission.state.is_end
