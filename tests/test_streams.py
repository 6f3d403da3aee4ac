"""Answers hold each token once and in order; events parse at any cut."""

import hashlib

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamlift.streams import (
    Answer,
    EventParser,
    GenerationMismatchError,
    TokenGapError,
    TokenMismatchError,
    Tokens,
    encode_event,
)

SOURCE = [f"t{n}" for n in range(400)]


class AnswerMachine(RuleBasedStateMachine):
    """Feed duplicate, out-of-order, overlapping and mismatched frames."""

    def __init__(self):
        super().__init__()
        self.answer = Answer()
        self.answer.begin("g")

    @rule(index=st.integers(0, 390), count=st.integers(0, 10))
    def frame(self, index, count):
        before = self.answer.next_index
        frame = Tokens(
            generation="g", index=index, tokens=SOURCE[index : index + count]
        )
        if index > before:
            with pytest.raises(TokenGapError):
                self.answer.append(frame)
        else:
            self.answer.append(frame)
            assert self.answer.next_index == max(before, index + count)

    @rule(count=st.integers(1, 10))
    def next_frame(self, count):
        index = self.answer.next_index
        self.frame(index, min(count, len(SOURCE) - index))

    @rule()
    def compact(self):
        self.answer.compact()

    @rule()
    def other_generation(self):
        frame = Tokens(
            generation="other", index=self.answer.next_index, tokens=["x"]
        )
        with pytest.raises(GenerationMismatchError):
            self.answer.append(frame)

    @rule(start=st.integers(0, 400))
    def read_from(self, start):
        got = []
        for after, data in self.answer.frames_from(start):
            frame = msgspec.json.decode(data, type=Tokens)
            assert frame.index == start + len(got)
            got += frame.tokens
            assert after == start + len(got)
        assert got == SOURCE[start : self.answer.next_index]

    @invariant()
    def holds_the_source_tokens(self):
        end = self.answer.next_index
        assert list(self.answer.tokens_from(0)) == SOURCE[:end]
        joined = "".join(token + "\0" for token in SOURCE[:end])
        digest = hashlib.sha256(joined.encode()).hexdigest()
        assert self.answer.digest == digest


TestAnswer = AnswerMachine.TestCase
TestAnswer.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)


def test_a_repeated_generation_that_differs_raises():
    answer = Answer()
    answer.begin("g")
    answer.append(Tokens(generation="g", index=0, tokens=["a", "b", "c"]))
    answer.verify(Tokens(generation="h", index=1, tokens=["b", "c", "d"]))
    with pytest.raises(TokenMismatchError):
        answer.verify(Tokens(generation="h", index=1, tokens=["b", "x"]))


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, 50, 10_000])
def test_events_are_parsed_from_chunks_of_any_size(chunk_size):
    frames = [
        Tokens(generation="g", index=n, tokens=[f"line\n{n}", "ü"])
        for n in range(20)
    ]
    data = b"".join(encode_event("token", f) for f in frames)
    parser = EventParser()
    found = []
    for offset in range(0, len(data), chunk_size):
        found += list(parser.feed(data[offset : offset + chunk_size]))
    assert [e.decode(Tokens) for e in found] == frames
