"""Reading the list of known failures, and passing over its tests."""

import pytest
from _known_red import KnownRedError, find_listed, parse_entries

TEST = "tests/test_known_red.py::test_a[8-0]"
OTHER = "tests/test_known_red.py::test_b"


def test_an_entry_is_a_test_or_a_command() -> None:
    text = f"# TEST | CAUSE | ISSUE\n\n{TEST} | loses | 26\n$ run 1 | slow | 2"
    entries = parse_entries(text)
    assert [entry.failing for entry in entries] == [TEST, "run 1"]
    assert [entry.is_command for entry in entries] == [False, True]


@pytest.mark.parametrize("line", ["a | b", "a | b | c | d", "a | | 3", "a"])
def test_a_line_without_three_fields_is_an_error(line: str) -> None:
    with pytest.raises(KnownRedError, match="not three fields"):
        parse_entries(line)


def test_only_listed_tests_are_passed_over() -> None:
    """A command reached pytest as the id of a test."""
    entries = parse_entries(f"{TEST} | loses | 26\n$ scripts/soak 1 | ? | 2")
    assert find_listed(entries, [TEST, OTHER]) == {TEST}


def test_an_entry_of_a_file_that_is_not_run_matches_nothing() -> None:
    entries = parse_entries(f"{TEST} | loses | 26")
    assert find_listed(entries, ["tests/test_cli.py::test_c"]) == set()


@pytest.mark.parametrize("test", [TEST, "tests/test_gone.py::test_a"])
def test_an_entry_that_matches_no_test_is_an_error(test: str) -> None:
    with pytest.raises(KnownRedError, match="no such test"):
        find_listed(parse_entries(f"{test} | loses | 26"), [OTHER])
