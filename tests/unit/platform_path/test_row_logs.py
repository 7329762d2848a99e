"""Log lines about rows: who told them, when they came into force, and why not."""

import eliot
import pytest
from relay_rig import configuration, registration
from unit.platform_path.test_relay_state_cache import at, row

from acaciarelay.platform.store import RowPage
from acaciarelay.programs.peer_rows import encode_row
from acaciarelay.programs.relay_state_cache import StateCache


@pytest.fixture
def log():
    messages = []
    eliot.add_destinations(messages.append)
    # The first destination gets what was logged before, too.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def lines(log, event):
    return [message for message in log if message["message_type"] == event]


def test_a_configuration_is_logged_with_its_source(log):
    """Guards against a change of which nobody can tell how it reached an entry."""
    cache = StateCache()
    page = RowPage(rows=[row("config", 1, configuration(1))], version=at(1))
    cache.apply_snapshot("op", page, False)
    cache.apply_changes("op", [row("config", 2, configuration(4))], at(2), False)
    told = encode_row("op", row("config", 3, configuration(6)))
    cache.apply_peer_rows("entry-2", [told], {"op": at(3)})
    applied = lines(log, "configuration_applied")
    assert [line["source"] for line in applied] == ["complete read", "feed", "entry-2"]


def test_a_held_row_is_logged_with_both_orders(log):
    """Guards against a hold of which the log does not say why."""
    cache = StateCache()
    address = "127.0.0.1:1"
    first = registration("orders", address, born=20, seq=3)
    cache.apply_changes("servers", [row("i-1", 1, first)], at(1), False)
    late = registration("orders", address, born=10, seq=7, state="draining")
    cache.apply_changes("servers", [row("i-1", 2, late)], at(2), False)
    (held,) = lines(log, "row_held")
    assert (held["order"], held["held_order"]) == ([10, 1, 7], [20, 0, 3])
    assert (held["source"], held["held_removed"]) == ("feed", False)
