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


def test_a_flag_goes_before_the_variable() -> None:
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
