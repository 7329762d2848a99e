"""Guard against a configuration that reverts, loses records or is fully reparsed."""

import pytest
from hypothesis import given, strategies as st

from acaciarelay.state import config_state
from acaciarelay.state.config_state import (
    ApplyOutcome,
    ChangeSet,
    ConfigState,
    RowKey,
    agent_snapshot,
    decode_change,
    encode_change,
    read_row_key,
    snapshot_change_set,
)
from acaciarelay.state.records import Envelope, decode_snapshot, encode_snapshot


def organisation(name: str, schema: int = 2, revision: int = 1, **body) -> Envelope:
    fields = {"key_hashes": ["aa"], "policy": "main", **body}
    return Envelope("organisation", name, schema, revision, fields)


def tier(name: str, rank: int, revision: int = 1) -> Envelope:
    return Envelope("tier", name, 1, revision, {"rank": rank})


def state_with(*envelopes: Envelope, generation: int = 1) -> ConfigState:
    state = ConfigState()
    change = ChangeSet(generation=generation, changed=list(envelopes), whole=True)
    assert state.apply(change) is ApplyOutcome.APPLIED
    return state


def test_one_change_parses_one_record(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a change that parses all records and blocks the event loop.

    There may be 18,000 organisations.
    """
    state = state_with(*(organisation(f"o{n}") for n in range(500)))
    parsed = []
    parse = config_state.parse_record
    monkeypatch.setattr(
        config_state, "parse_record", lambda item: parsed.append(item) or parse(item)
    )
    before = state.snapshot
    one = organisation("o7", revision=2, weight=5)
    state.apply(ChangeSet(generation=2, base=1, changed=[one]))
    whole = decode_change(encode_change(snapshot_change_set(state.snapshot)))
    ConfigState.apply(state, ChangeSet(generation=3, changed=whole.changed, whole=True))
    assert parsed == [one]
    assert state.snapshot.organisations["o7"].weight == 5
    assert before.organisations["o7"].weight == 1


@pytest.mark.parametrize("generation", [4, 5])
def test_an_old_generation_is_not_applied(generation: int) -> None:
    state = state_with(tier("a", 0), generation=5)
    late = ChangeSet(generation=generation, changed=[tier("a", 3)], whole=True)
    assert state.apply(late) is ApplyOutcome.STALE
    assert state.snapshot.tiers["a"].rank == 0


def test_a_change_after_a_gap_is_not_applied() -> None:
    """Guards against skipping the changes of the generations in between."""
    state = state_with(tier("a", 0))
    assert state.apply(ChangeSet(generation=4, base=3)) is ApplyOutcome.GAP
    assert ConfigState().apply(ChangeSet(generation=1)) is ApplyOutcome.GAP
    assert state.generation == 1


def test_the_last_supported_record_survives_a_newer_schema() -> None:
    """Guards against losing a record when only an unsupported schema of it is left."""
    state = state_with(organisation("o", weight=4))
    newer = organisation("o", schema=9, revision=2)
    old_key = RowKey("organisation", "o", 2)
    state.apply(ChangeSet(generation=2, base=1, changed=[newer], deleted=[old_key]))
    assert state.snapshot.organisations["o"].weight == 4
    assert state.set_aside == 1
    later = state_with(newer, generation=3).snapshot
    assert state.apply_snapshot(later) is ApplyOutcome.APPLIED
    assert state.snapshot.organisations["o"].weight == 4
    new_key = RowKey("organisation", "o", 9)
    state.apply(ChangeSet(generation=4, base=3, deleted=[new_key]))
    assert state.snapshot.organisations == {} and state.set_aside == 0


def test_the_newest_supported_schema_is_used() -> None:
    old = Envelope("organisation", "o", 1, 1, {"key_hash": "aa", "policy": "main"})
    forms = [organisation("o", schema=9), organisation("o", weight=7), old]
    state = state_with(*forms)
    assert state.snapshot.organisations["o"].weight == 7
    deleted = [RowKey("organisation", "o", 2)]
    state.apply(ChangeSet(generation=2, base=1, deleted=deleted))
    assert state.snapshot.organisations["o"].weight == 1


def test_an_invalid_or_unknown_record_does_not_stop_the_others() -> None:
    state = state_with(
        tier("a", 0), Envelope("tier", "b", 1, 1, {}), Envelope("quota", "c", 1, 1, {})
    )
    assert set(state.snapshot.tiers) == {"a"}
    assert [error.name for error in state.snapshot.errors] == ["b", "c"]


def test_an_agent_gets_only_its_part() -> None:
    pool = {"kind": "chat"}
    state = state_with(
        tier("a", 0),
        organisation("o"),
        Envelope("pool", "p", 1, 1, pool),
        Envelope("pool", "q", 1, 1, pool),
        Envelope("endpoint", "e", 1, 1, {"pool": "p"}),
        Envelope("endpoint", "f", 1, 1, {"pool": "q"}),
        generation=6,
    )
    part = decode_snapshot(encode_snapshot(agent_snapshot(state.snapshot, "e", "p")))
    assert part.generation == 6
    groups = [part.tiers, part.pools, part.endpoints, part.organisations]
    assert [list(group) for group in groups] == [["a"], ["p"], ["e"], []]


def test_malformed_changes_are_value_errors() -> None:
    for data in [b"", b"[]", b"{}", b'{"generation":"x","records":[]}']:
        with pytest.raises(ValueError):
            decode_change(data)
    for key in ["generation", "log/1", "record/tier/a", "record/tier/a/x"]:
        assert read_row_key(key) is None


LAST = 8
STORED = [
    [tier("t", number, number)] + [tier(f"odd{number}", 1, number)] * (number % 2)
    for number in range(LAST + 1)
]


def update(source: str, after: int, last: int) -> ChangeSet:
    """Build a peer's snapshot, or the change between two generations of the table."""
    if source == "peer":
        return ChangeSet(generation=last, changed=STORED[last], whole=True)
    deleted = [RowKey("tier", f"odd{number}", 1) for number in range(after, last)]
    return ChangeSet(generation=last, base=after, changed=STORED[last], deleted=deleted)


steps = st.tuples(st.integers(0, LAST), st.integers(0, LAST)).map(sorted)
updates = st.tuples(st.sampled_from(["peer", "push", "poll"]), steps)


@given(st.lists(updates, max_size=30))
def test_no_order_of_updates_reverts_the_configuration(order: list) -> None:
    """Guards against reverts when updates of several sources are out of order."""
    state = ConfigState()
    for source, (first, last) in [*order, ("peer", (LAST, LAST))]:
        before = state.generation
        after = last - 1 if source == "push" and last else first
        state.apply(update(source, after, last))
        assert state.generation >= before
        if state.loaded:
            names = {item.name: item for item in state.snapshot.envelopes}
            assert names == {item.name: item for item in STORED[state.generation]}
    assert state.generation == LAST
