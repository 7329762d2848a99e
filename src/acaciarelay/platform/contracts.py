"""Contracts that a deployment names, and the features that they turn on."""

__all__ = ["decode_contracts", "enabled_features"]

# Contracts, each with the fields of the settings that it sets to true.
_FEATURES = {"pressure": ("slow_peers",)}


def decode_contracts(value: object) -> list[str]:
    """Return the names in a list of contracts; other values name none."""
    if not isinstance(value, list):
        return []
    return [name for name in value if isinstance(name, str)]


def enabled_features(contracts: list[str]) -> dict[str, bool]:
    """Return the settings that the contracts turn on; unknown ones turn on none."""
    features = {}
    for contract in contracts:
        for feature in _FEATURES.get(contract, ()):
            features[feature] = True
    return features
