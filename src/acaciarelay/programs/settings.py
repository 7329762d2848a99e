"""Declare the settings of each program."""

from acaciarelay.programs.options import (
    Option,
    OptionError,
    read_addresses,
    read_float,
    read_text,
)

__all__ = ["AGENT_OPTIONS", "CTL_OPTIONS", "ENTRY_OPTIONS"]


def _read_entries(option: str, value: str) -> list[str]:
    entries = read_addresses(option, value)
    if not entries:
        raise OptionError(option, value, "give at least one IP:PORT")
    return entries


ENTRY_OPTIONS: list[Option] = []

AGENT_OPTIONS: list[Option] = []

CTL_OPTIONS: list[Option] = [
    Option(
        "entry",
        _read_entries,
        None,
        "Addresses of entries, separated by commas or given several times; "
        "they are tried in turn.",
    ),
    Option("operator-key", read_text, None, "Bearer key of the administration API."),
    Option(
        "request-timeout-s",
        read_float(0.1, 600),
        "30",
        "Longest wait for the answer of one entry.",
        "s",
    ),
]
