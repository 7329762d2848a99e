"""Choice of granters: order, agreement, and when an engine needs one."""

import collections

from hypothesis import given, strategies as st

from acaciarelay.coordination.granter_choice import (
    FIRST_LINK_S,
    MAX_GRANTERS,
    RELINK_ALONE_S,
    RELINK_S,
    AgentAbsences,
    LiveEntry,
    granter_order,
)

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def entries(*zones):
    return [LiveEntry(f"10.0.0.{number}:1", zone) for number, zone in enumerate(zones)]


def test_entries_of_the_zone_come_first_then_those_of_the_region():
    """Guards against slots that are granted from the other end of the network."""
    live = entries("b1", "a2", "a1", "b1", "b1")
    for number in range(20):
        order = granter_order(f"10.1.0.{number}", "a1", live, REGIONS)
        assert order[:2] == ["10.0.0.2:1", "10.0.0.1:1"]
        assert len(order) == MAX_GRANTERS


def test_a_zone_without_a_region_is_near_to_itself_only():
    """Guards against zones that are taken for one region since both have none."""
    live = entries("x", "y", "a1")
    assert granter_order("10.1.0.1", "x", live, {})[0] == "10.0.0.0:1"


def test_engines_are_spread_over_the_entries():
    """Guards against one entry that grants for most engines of its zone."""
    live = entries(*["a1"] * 8)
    hosts = [f"10.1.{number}.1" for number in range(200)]
    first = [granter_order(host, "a1", live, REGIONS)[0] for host in hosts]
    assert max(collections.Counter(first).values()) < 50


@given(st.sets(st.integers(0, 30), min_size=2, max_size=30), st.integers(0, 255))
def test_a_lost_granter_is_replaced_by_its_deputy(numbers, engine):
    """Guards against entries that agree on no successor, or move other engines."""
    live = [LiveEntry(f"10.0.0.{n}:1", ["a1", "a2", "b1"][n % 3]) for n in numbers]
    host = f"10.1.0.{engine}"
    order = granter_order(host, "a1", live, REGIONS)
    assert order == granter_order(host, "a1", reversed(live), REGIONS)
    without = [entry for entry in live if entry.address != order[0]]
    assert granter_order(host, "a1", without, REGIONS)[0] == order[1]
    for entry in live:
        if entry.address in order[:1]:
            continue
        others = [other for other in live if other is not entry]
        assert granter_order(host, "a1", others, REGIONS)[0] == order[0]


def test_an_engine_seen_first_leaves_its_agent_time_to_be_reached():
    """Guards against granters that come and go whenever processes start."""
    absences = AgentAbsences()
    absences.add("e", 10.0)
    assert not absences.needs_granter("e", 10.0 + FIRST_LINK_S / 2)
    assert absences.next_due_s(10.0) == FIRST_LINK_S
    assert absences.needs_granter("e", 10.0 + FIRST_LINK_S)
    assert not absences.is_just_lost("e", 10.0)
    absences.record_link("e")
    assert not absences


def test_a_short_loss_of_one_link_moves_no_grants():
    """Guards against granters for a link that is dialled again at once."""
    absences = AgentAbsences()
    for host in ("e", "f"):
        absences.add(host, 0.0)
        absences.record_link(host)
    absences.record_loss("e", 10.0)
    assert not absences.needs_granter("e", 10.0 + RELINK_S / 2)
    absences.record_link("e")
    absences.record_loss("e", 20.0)
    assert absences.needs_granter("e", 20.0 + RELINK_S)


def test_the_loss_of_all_agents_is_acted_on_at_once():
    """Guards against a burst that is sent to engines without order."""
    absences = AgentAbsences()
    for host in ("e", "f"):
        absences.add(host, 0.0)
        absences.record_link(host)
    absences.record_loss("e", 10.0)
    absences.record_loss("f", 10.1)
    assert absences.needs_granter("e", 10.1)
    assert absences.is_just_lost("f", 10.1)
    assert absences.needs_granter("f", 10.1 + RELINK_ALONE_S)


def test_an_engine_that_is_removed_is_forgotten():
    """Guards against granters of engines that no longer exist."""
    absences = AgentAbsences()
    absences.add("e", 0.0)
    absences.record_link("e")
    absences.remove("e")
    absences.record_loss("e", 1.0)
    assert not absences
    assert absences.next_due_s(1.0) is None
