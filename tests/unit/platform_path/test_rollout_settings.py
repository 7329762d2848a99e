"""Settings of monitored rollouts, and what the template gives without them."""

import re
from pathlib import Path

import orjson
import pytest
from rollout_rig import settings

from acaciarelay.programs.relay_settings import SettingsError, load_settings

TEMPLATE = Path(__file__).resolve().parents[3] / "deploy" / "settings.template"
NAMES = ("rollout_share", "rollout_slack", "rollout_bound_ms")


def load(tmp_path, raw):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(raw))
    return load_settings(str(path))


def raw_settings(**fields):
    import attrs

    values = attrs.asdict(settings("127.0.0.1:1"))
    for name in NAMES:
        del values[name]
    return values | fields


@pytest.mark.parametrize("value", ["absent", None, "", 0, "0"])
def test_a_deployment_without_rollouts_has_none(tmp_path, value):
    """Guards against a process that does not start where nothing is configured."""
    fields = {} if value == "absent" else dict.fromkeys(NAMES, value)
    loaded = load(tmp_path, raw_settings(**fields))
    assert [getattr(loaded, name) for name in NAMES] == [0.0, 0.0, 0.0]


@pytest.mark.parametrize("value", [0.1, "0.1"])
def test_a_share_may_be_a_number_or_its_text(tmp_path, value):
    """Guards against a template whose text counts as no share."""
    loaded = load(tmp_path, raw_settings(rollout_share=value, rollout_slack="50"))
    assert (loaded.rollout_share, loaded.rollout_slack) == (0.1, 50.0)


@pytest.mark.parametrize("value", [-0.1, 1.5, "nan", "inf", "many", [], {}])
def test_a_share_out_of_bounds_is_an_error(tmp_path, value):
    """Guards against a share that lets a version on trial get everything."""
    with pytest.raises(SettingsError):
        load(tmp_path, raw_settings(rollout_share=value))


def render(values):
    """Fill the template; a name without a value gives nothing."""

    def fill(match):
        name, _, form = match[1].partition("|")
        value = values.get(name)
        if form == "json":
            return orjson.dumps(value).decode() if value is not None else ""
        return str(value) if value is not None else ""

    return re.sub(r"{{([^}]*)}}", fill, TEMPLATE.read_text())


def template_values():
    """Return a value for each name of the template but those of rollouts."""
    values = {}
    for name in re.findall(r"{{([^}|]*)", TEMPLATE.read_text()):
        values[name] = 1
    strings = ("nodeName", "ip", "zone", "listen.front", "listen.ready", "app")
    values |= dict.fromkeys((*strings, "platform.address"), "10.0.0.1:1")
    values |= {"zones": {"a": "b"}, "portRange": [1, 9], "seeds": [], "bootstrap": True}
    for name in ("exposeShare", "exposeSlack", "rollbackMs"):
        del values[f"bounds.{name}"]
    return values


@pytest.mark.parametrize(
    "bounds,share",
    [
        ({}, 0.0),
        ({"bounds.exposeShare": 0}, 0.0),
        ({"bounds.exposeShare": 0.1, "bounds.exposeSlack": 50}, 0.1),
    ],
)
def test_the_template_is_valid_with_and_without_rollouts(tmp_path, bounds, share):
    """Guards against settings that are no JSON where a deployment lacks the bounds."""
    text = render(template_values() | bounds)
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert load_settings(str(path)).rollout_share == share
