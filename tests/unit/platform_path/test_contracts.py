"""Guards against settings of a deployment that turn on nothing, or too much."""

import attrs
import orjson
import pytest
from test_unexpected_errors import SETTINGS

from acaciarelay.platform.contracts import decode_contracts
from acaciarelay.programs.relay_settings import load_settings


@pytest.mark.parametrize(
    ("contracts", "names"),
    [
        (None, []),
        ("pressure", []),
        ({"pressure": 1}, []),
        ([], []),
        (["pressure", "unknown"], ["pressure", "unknown"]),
        ([1, None, ["pressure"], "a"], ["a"]),
    ],
)
def test_only_names_in_a_list_count(contracts, names):
    """Guards against a start that fails because of an unknown form of the list."""
    assert decode_contracts(contracts) == names


@pytest.mark.parametrize(
    ("fields", "slow_peers"),
    [
        ({}, False),
        ({"contracts": None}, False),
        ({"contracts": ["unknown"]}, False),
        ({"contracts": ["unknown", "pressure"]}, True),
        ({"contracts": ["pressure"], "slow_peers": False}, False),
        ({"slow_peers": True}, True),
    ],
)
def test_a_contract_turns_on_its_features(tmp_path, fields, slow_peers):
    """Guards against a contract that is read and not followed."""
    value = attrs.asdict(SETTINGS)
    del value["contracts"], value["slow_peers"]
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(value | fields))
    assert load_settings(str(path)).slow_peers is slow_peers
