"""Removed endpoints after lost calls to the store, and after outages of it."""

import pytest
from relay_rig import configuration, registration
from store_fleet_model import SILENCE_LIMIT_S, StoreFleet

from acaciarelay.state.endpoints import REREGISTRATION_TIMEOUT_S
from acaciarelay_standins.platform_store import PlatformStore

RUNNERS = ("i-1", "i-2")
# Time from the start of a call that is lost until the next one is answered, at most.
NOTICE_S = SILENCE_LIMIT_S + 0.1


class Play:
    """An entry, the store and two runners; ``last_change`` is the last table written.

    The call for that table begins last, so the other one is lost first.
    """

    def __init__(self, last_change: str) -> None:
        self.store = PlatformStore()
        self.fleet = StoreFleet(self.store, 1)
        self.entry = self.fleet.entries[1]
        self.run(self.configure, 0.0)
        for key in RUNNERS:
            self.run(lambda key=key: self.register(key), 0.0)
        self.run(self.entry.start, 3.0)
        changes = [("op", self.configure), ("servers", lambda: self.register("i-3"))]
        changes.sort(key=lambda change: change[0] == last_change)
        for _, change in changes:
            self.run(change, 0.2)

    def run(self, action, wait_s: float) -> None:
        self.fleet.run(action, wait_s)

    def configure(self) -> None:
        version = self.store.version + 1
        self.store.put("op", "config", configuration(version))

    def register(self, key: str) -> None:
        address = f"127.0.0.{key[-1]}:9"
        self.store.put("servers", key, registration("orders", address))

    def remove(self, key: str) -> None:
        self.store.put("servers", key, None)

    def usable(self) -> list[str]:
        endpoints = self.entry.cache.endpoints.of_service("orders")
        return sorted(endpoint.endpoint_id for endpoint in endpoints)


@pytest.mark.parametrize("last_change", ["op", "servers"])
@pytest.mark.parametrize("removed_after_s", [0.0, 0.2, 1.0, 2.0])
def test_a_removal_behind_lost_calls_is_certain(last_change, removed_after_s):
    """Guards against requests to a runner that left while connections were silent.

    All open connections to the store fall silent, and new ones work: the store was
    never away, whichever feed notices it first.
    """
    play = Play(last_change)
    play.run(play.entry.silence_connections, removed_after_s)
    play.run(lambda: play.remove("i-1"), NOTICE_S - removed_after_s)
    assert play.usable() == ["i-2", "i-3"]


def test_a_removal_behind_two_lost_calls_in_a_row_is_certain():
    """Guards against losses of connections that add up to an outage."""
    play = Play("op")
    play.run(play.entry.silence_connections, NOTICE_S)
    play.run(play.entry.silence_connections, 0.2)
    play.run(lambda: play.remove("i-1"), NOTICE_S - 0.2)
    assert play.usable() == ["i-2", "i-3"]


def test_a_removal_behind_a_pause_of_the_entry_is_certain():
    """Guards against the entry's own pause that is taken for the store's outage."""
    play = Play("op")
    play.run(play.entry.freeze, 0.2)
    play.run(lambda: play.remove("i-1"), 5.0)
    play.run(play.entry.thaw, 0.5)
    assert play.usable() == ["i-2", "i-3"]


def set_away(play: Play, form: str, away: bool) -> None:
    if form == "refuses connections":
        play.store.away = away
    elif form == "answers that it is unavailable":
        play.entry.store_refuses = away
    else:
        play.entry.store_silent = away


@pytest.mark.parametrize("last_change", ["op", "servers"])
@pytest.mark.parametrize(
    "form", ["refuses connections", "answers that it is unavailable", "is silent"]
)
def test_runners_that_lapse_in_an_outage_stay_in_use_until_they_are_back(
    last_change, form
):
    """Guards against live runners that are left out after an outage of the store."""
    play = Play(last_change)
    play.run(lambda: set_away(play, form, True), 5.0)
    for key in ("i-1", "i-2", "i-3"):
        play.run(lambda key=key: play.remove(key), 0.0)
    play.run(lambda: set_away(play, form, False), 1.5)
    assert play.usable() == ["i-1", "i-2", "i-3"]
    for key in ("i-1", "i-2"):
        play.run(lambda key=key: play.register(key), 0.0)
    play.run(None, REREGISTRATION_TIMEOUT_S + 1.0)
    assert play.usable() == ["i-1", "i-2"]
