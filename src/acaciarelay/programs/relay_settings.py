"""Settings of the relay entry and the relay agent, read from a JSON file."""

import math
import os
from typing import Any

import attrs
import cattrs
import orjson

from acaciarelay.platform.contracts import decode_contracts, enabled_features

__all__ = ["RelaySettings", "SettingsError", "load_settings", "settings_path"]

PATH_VARIABLE = "ACACIARELAY_CONFIG"
# Settings that a deployment may leave out, or leave empty.
OPTIONAL_SETTINGS = ("rollout_share", "rollout_slack", "rollout_bound_ms")


class SettingsError(Exception):
    """Settings that can't be used; the message has one problem per line."""


@attrs.frozen(kw_only=True)
class RelaySettings:
    """The settings of an entry or agent; addresses are ``IP:PORT`` or empty.

    ``zones`` maps each availability zone to its region. ``host`` is the IP address for
    links between the system's own processes, and ``ports`` are the first and last port
    for them. ``seeds`` are the addresses of entries to which an entry connects first;
    their ports are replaced by ``peer_port``. ``retry_reserve`` is the number of
    retries in a window beyond ``retry_ratio`` of the requests, over all processes. All
    processes together may exceed a rate limit in a window by the fraction
    ``usage_excess`` of the tokens that the limit allows in it, plus ``usage_slack``
    tokens. ``store_silence_ms`` is how long a silent store may go unnoticed, in
    milliseconds. ``memory_mb`` is the memory that the process may use, in megabytes.
    ``registration_interval_ms`` is how often endpoints renew their registrations.
    ``first_start`` is true when the entire system starts for the first time.
    ``slow_peers`` is true where callers or endpoints may read slowly. ``contracts``
    names the deployment's contracts, which turn on the features that they need.

    ``rollout_share`` is the fraction of a service's requests that a version may get
    while it is on trial, together with ``rollout_slack`` requests; 0 stands for a
    deployment without monitored rollouts. ``rollout_bound_ms`` is the time in
    milliseconds within which all entries have to stop using a bad version.
    """

    name: str
    host: str
    zone: str
    zones: dict[str, str]
    caller_address: str
    ready_address: str
    metrics_address: str
    ports: list[int]
    seeds: list[str]
    store_address: str
    engine_address: str
    stop_grace_s: float
    retry_ratio: float
    retry_reserve: float
    retry_window_s: float
    usage_window_s: float
    usage_excess: float
    usage_slack: float
    store_silence_ms: float
    memory_mb: float
    first_start: bool
    registration_interval_ms: float = 1200.0
    rollout_share: float = 0.0
    rollout_slack: float = 0.0
    rollout_bound_ms: float = 0.0
    contracts: list[str] = attrs.Factory(list)
    slow_peers: bool = False

    @property
    def agent_port(self) -> int:
        return self.ports[0]

    @property
    def peer_port(self) -> int:
        return self.ports[0] + 1


def settings_path() -> str:
    """Return the path of the settings file; raises ``SettingsError``."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} must name the settings file")
    return path


def load_settings(path: str) -> RelaySettings:
    """Read the settings file; raises ``SettingsError`` with all problems found."""
    try:
        with open(path, "rb") as file:
            raw: Any = orjson.loads(file.read())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if isinstance(raw, dict):
        contracts = decode_contracts(raw.get("contracts"))
        raw = enabled_features(contracts) | raw | {"contracts": contracts}
    try:
        settings = cattrs.structure(_without_empty(raw), RelaySettings)
    except cattrs.BaseValidationError as error:
        problems = cattrs.transform_error(error)
        raise SettingsError("\n".join(problems)) from error
    except TypeError as error:
        raise SettingsError(f"{path}: {error}") from error
    if len(settings.ports) < 2 or settings.ports[1] - settings.ports[0] < 1:
        raise SettingsError(
            "ports: must hold the first and the last port of a range of two or more"
        )
    problems = []
    for name in OPTIONAL_SETTINGS:
        if not 0.0 <= getattr(settings, name) < math.inf:
            problems.append(f"{name}: must be a number of at least 0")
    if settings.rollout_share > 1.0:
        problems.append("rollout_share: must be at most 1")
    if problems:
        raise SettingsError("\n".join(problems))
    return settings


def _without_empty(raw: Any) -> Any:
    """Return the settings without optional ones that are empty."""
    if not isinstance(raw, dict):
        return raw
    return {
        name: value
        for name, value in raw.items()
        if name not in OPTIONAL_SETTINGS or value not in (None, "")
    }
