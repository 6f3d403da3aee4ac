"""The example of docs/EMBEDDING.md works as the page describes."""

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parent.parent / "examples" / "embed.py"


def test_the_example_keeps_tokens_once_and_finds_its_key():
    names = runpy.run_path(str(EXAMPLE))
    assert list(names["keep_an_answer"]().tokens_from(0)) == ["a", "b", "c"]
    assert names["remember_a_key"]()
