"""Guard against settings that are misread or reported one at a time."""

import pytest

from acaciarelay.programs.options import (
    Option,
    OptionError,
    read_address,
    read_int,
    read_options,
)

OPTIONS = [
    Option("listen", read_address, None, "Address to listen on."),
    Option("limit", read_int(1, 10), "3", "A limit."),
]


def test_a_flag_takes_precedence_over_the_variable() -> None:
    values, problems = read_options(
        OPTIONS,
        {"listen": "127.0.0.1:80", "limit": "4"},
        {"ACACIARELAY_LIMIT": "5"},
    )
    assert problems == []
    assert values == {"listen": "127.0.0.1:80", "limit": 4}


def test_all_problems_are_reported_at_once() -> None:
    _, problems = read_options(
        OPTIONS, {}, {"ACACIARELAY_LIMIT": "11", "ACACIARELAY_LIMITS": "1"}
    )
    assert [problem.option for problem in problems] == [
        "listen",
        "limit",
        "ACACIARELAY_LIMITS",
    ]


@pytest.mark.parametrize("value", ["localhost:80", "127.0.0.1", "127.0.0.1:0"])
def test_an_address_must_be_an_ip_number_and_a_port(value: str) -> None:
    with pytest.raises(OptionError):
        read_address("listen", value)


def test_variables_of_other_programs_are_accepted() -> None:
    """Guards against an entry that refuses the variables of other programs.

    One started from an operator's shell inherits ACACIARELAY_ENTRY.
    """
    environment = {"ACACIARELAY_LISTEN": "127.0.0.1:80", "ACACIARELAY_ENTRY": "x"}
    _, problems = read_options(OPTIONS, {}, environment, {"ACACIARELAY_ENTRY"})
    assert problems == []
    _, problems = read_options(OPTIONS, {}, environment)
    assert [problem.option for problem in problems] == ["ACACIARELAY_ENTRY"]


def test_a_missing_setting_is_reported_as_missing() -> None:
    _, problems = read_options(OPTIONS, {}, {})
    assert str(problems[0]) == (
        "listen: is missing: set --listen or ACACIARELAY_LISTEN"
    )
