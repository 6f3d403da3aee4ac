"""Decoding of the header that lists the parts of a prompt."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamlift.platform._prompt_parts import MAX_PARTS, decode_prompt_parts

PLAIN = decode_prompt_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")


def test_all_parts_but_the_last_are_returned_in_order() -> None:
    assert len(PLAIN) == 2
    assert decode_prompt_parts("5c1e07a2:800,91bd3f06:410") == PLAIN[:1]
    assert decode_prompt_parts("91bd3f06:410,5c1e07a2:800,x") == PLAIN[::-1]


@pytest.mark.parametrize(
    "text",
    [
        "5C1E07A2:800,91BD3F06:410,E4402B7D:250",
        " 5c1e07a2 : 800 ,\t91bd3f06:410 , e4402b7d:250 ",
        "0005c1e07a2:800,091bd3f06:410,e4402b7d:250",
        "5c1e07a2,91bd3f06,e4402b7d",
        "5c1e07a2:1,91bd3f06:x:y,e4402b7d",
        "5c1e07a2:8,91bd3f06:4,5c1e07a2:8,e4402b7d:2",
        ",,5c1e07a2:800,,91bd3f06:410,e4402b7d:250,",
    ],
)
def test_other_spellings_are_the_same_parts(text: str) -> None:
    assert decode_prompt_parts(text) == PLAIN


@pytest.mark.parametrize("text", ["", " ", ",", "5c1e07a2:800", ",a:1,"])
def test_a_prompt_of_one_part_shares_none(text: str) -> None:
    assert decode_prompt_parts(text) == ()


def test_the_number_and_the_size_of_parts_are_bounded() -> None:
    parts = decode_prompt_parts(",".join("f" * n for n in range(1, 1_000)))
    assert len(parts) == MAX_PARTS
    assert {len(part) for part in parts} == {16}


@given(st.text(max_size=200))
def test_any_value_is_read(text: str) -> None:
    assert len(decode_prompt_parts(text)) <= text.count(",")
