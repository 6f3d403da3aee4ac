"""Estimates of the memory that a generation will use."""

import pytest
from tornado.httputil import HTTPHeaders

from balsamlift.relay.generations._token_estimate import read_token_estimate
from balsamlift.testing.relay import HEADER_NAMES

# Length hints and actual lengths of answers limited to 2,224 tokens.
MAX_OUTPUT_TOKENS = 2_224
HINTED = [
    (124, 412),
    (12, 268),
    (1_036, 740),
    (273, 536),
    (134, 372),
    (4_102, 928),
    (597, 572),
    (1_546, 500),
    (113, 232),
    (361, 816),
    (444, 728),
    (1_159, 460),
    (241, 204),
    (541, 1_420),
    (703, 800),
    (4_615, 1_240),
    (1_182, 632),
    (399, 788),
    (5_759, 1_316),
    (264, 1_524),
    (16_042, 1_152),
]


def headers(usage: str = "", hint: str = "") -> HTTPHeaders:
    fields = {HEADER_NAMES.token_usage: usage, HEADER_NAMES.length_hint: hint}
    return HTTPHeaders({name: text for name, text in fields.items() if text})


@pytest.mark.parametrize(
    ("usage", "hint", "expected"),
    [
        ("", "", (0, 0)),
        ("", "100", (0, 130)),
        ("1000", "100", (1_000, 130)),
        ("1000,300", "", (1_000, 112)),
        ("1000,300", "100", (1_000, 112)),
        ("1000,300", "100000", (1_000, 300)),
        ("odd", "-4", (0, 0)),
    ],
)
def test_reads_the_estimate_from_headers(usage, hint, expected) -> None:
    estimate = read_token_estimate(headers(usage, hint), HEADER_NAMES)
    assert (estimate.prompt_tokens, estimate.output_tokens) == expected


def test_estimates_are_closer_than_the_hints_of_callers() -> None:
    def error(expected: float, length: int) -> float:
        return abs(expected - length)

    ours = [
        error(
            read_token_estimate(
                headers(f"1,{MAX_OUTPUT_TOKENS}", str(h)), HEADER_NAMES
            ).output_tokens,
            n,
        )
        for h, n in HINTED
    ]
    callers = [error(min(h * 1.3, MAX_OUTPUT_TOKENS), n) for h, n in HINTED]
    # The mean error is 257 tokens instead of 590.
    assert sum(ours) < sum(callers) / 2


def test_the_sum_of_estimates_is_close_to_the_actual_sum() -> None:
    expected = sum(
        read_token_estimate(
            headers(f"1,{MAX_OUTPUT_TOKENS}", str(h)), HEADER_NAMES
        ).output_tokens
        for h, _ in HINTED
    )
    actual = sum(n for _, n in HINTED)
    assert actual * 0.9 < expected < actual * 1.25
