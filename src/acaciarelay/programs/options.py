"""Declaration and typed parsing of settings from flags and environment variables."""

import ipaddress
from collections.abc import Callable, Collection, Mapping
from typing import Any

import attrs

__all__ = [
    "Option",
    "OptionError",
    "read_address",
    "read_addresses",
    "read_bool",
    "read_choice",
    "read_float",
    "read_int",
    "read_optional",
    "read_options",
    "read_text",
]

ENVIRONMENT_PREFIX = "ACACIARELAY_"


class OptionError(ValueError):
    """An option that is missing, or whose value breaks ``rule``."""

    def __init__(self, option: str, value: object, rule: str) -> None:
        problem = "is missing" if value is None else f"{value!r} is not valid"
        super().__init__(f"{option}: {problem}: {rule}")
        self.option = option
        self.value = value
        self.rule = rule


# Takes the name of an option and its text; raises ``OptionError`` if it is invalid.
Reader = Callable[[str, str], Any]


@attrs.frozen
class Option:
    """One setting; it is required when ``default`` is ``None``."""

    name: str
    reader: Reader
    default: str | None
    help: str
    unit: str = ""

    @property
    def flag(self) -> str:
        return "--" + self.name

    @property
    def variable(self) -> str:
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()

    @property
    def attribute(self) -> str:
        return self.name.replace("-", "_")


def read_text(option: str, value: str) -> str:
    """Read a text that is not blank."""
    if not value.strip():
        raise OptionError(option, value, "give a text that is not empty")
    return value


def read_int(minimum: int, maximum: int) -> Reader:
    """Return a reader for a whole number in a range, both ends included."""
    rule = f"give a whole number from {minimum} to {maximum}"
    return _number_reader(int, minimum, maximum, rule)


def read_float(minimum: float, maximum: float) -> Reader:
    """Return a reader for a number in a range, both ends included."""
    rule = f"give a number from {minimum:g} to {maximum:g}"
    return _number_reader(float, minimum, maximum, rule)


def _number_reader(
    convert: Callable[[str], float], minimum: float, maximum: float, rule: str
) -> Reader:
    def read(option: str, value: str) -> float:
        try:
            number = convert(value)
        except ValueError:
            raise OptionError(option, value, rule) from None
        if not minimum <= number <= maximum:
            raise OptionError(option, value, rule)
        return number

    return read


def read_bool(option: str, value: str) -> bool:
    """Read ``true`` or ``false``, in any case."""
    words = {"true": True, "false": False}
    if value.lower() not in words:
        raise OptionError(option, value, "give true or false")
    return words[value.lower()]


def read_choice(*choices: str) -> Reader:
    """Return a reader for one of the given words."""

    def read(option: str, value: str) -> str:
        if value not in choices:
            raise OptionError(option, value, "give one of " + ", ".join(choices))
        return value

    return read


def read_address(option: str, value: str) -> str:
    """Read an IP address and a port, as in ``127.0.0.1:8080`` or ``[::1]:8080``."""
    rule = "give IP:PORT with an IP number and a port from 1 to 65535"
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise OptionError(option, value, rule) from None
    if not 1 <= number <= 65535:
        raise OptionError(option, value, rule)
    return value


def read_addresses(option: str, value: str) -> list[str]:
    """Read addresses separated by commas; an empty text gives an empty list."""
    if not value.strip():
        return []
    return [read_address(option, part.strip()) for part in value.split(",")]


def read_optional(reader: Reader) -> Reader:
    """Return a reader that gives ``None`` for an empty text."""

    def read(option: str, value: str) -> object:
        return reader(option, value) if value else None

    return read


def read_options(
    options: list[Option],
    flags: Mapping[str, str | None],
    environment: Mapping,
    other_variables: Collection[str] = (),
) -> tuple[dict[str, Any], list[OptionError]]:
    """Read each option from its flag, else its variable, else its default.

    Returns the values by attribute name and all problems. An unknown variable with
    the prefix is a problem too, since it is most likely misspelt; ``other_variables``
    are those of other programs that may share the environment.
    """
    values: dict[str, Any] = {}
    problems: list[OptionError] = []
    for option in options:
        raw = flags.get(option.name)
        if raw is None:
            raw = environment.get(option.variable, option.default)
        if raw is None:
            rule = f"set {option.flag} or {option.variable}"
            problems.append(OptionError(option.name, raw, rule))
            continue
        try:
            values[option.attribute] = option.reader(option.name, raw)
        except OptionError as problem:
            problems.append(problem)
    known = {option.variable for option in options}.union(other_variables)
    for variable in sorted(environment):
        if not variable.startswith(ENVIRONMENT_PREFIX) or variable in known:
            continue
        rule = "no such setting; see --help"
        problems.append(OptionError(variable, environment[variable], rule))
    return values, problems
