import asyncio

import pytest
from _presets_harness import BOUNDS, make_preset
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from balsamlift.exceptions import OffsetGapError
from balsamlift.presets import (
    Batch,
    Checkpoint,
    Claim,
    Entry,
    FoldState,
    Lease,
    Publish,
    Switch,
    decode_record,
    encode_record,
    fold,
)
from balsamlift.presets._claims import ClaimWindow, created_ms
from balsamlift.presets._fold import MAX_OUTCOMES
from balsamlift.presets._reader import Reader

NAMES = ("ordinary", "peak", "maintenance")
START_MS = 1_000_000
FIXED = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


class MemoryLog:
    """Keep a log in memory, with the `read` method that `Reader` calls."""

    def __init__(self):
        self.entries = []
        self.earliest = 0
        self.at_ms = START_MS

    def append(self, record):
        text = encode_record(record) if record else b'{"type":"future"}'
        offset = len(self.entries)
        self.entries.append((offset, self.at_ms, text))
        return offset

    async def read(self, offset, wait_ms, limit):
        start = max(offset, self.earliest)
        found = self.entries[start : start + limit]
        entries = [Entry(o, at, decode_record(text)) for o, at, text in found]
        return Batch(self.earliest, start + len(found), entries)


def run_to_end(reader):
    """Poll to the end of the log, with polls to spare for a checkpoint."""

    async def run():
        for _ in range(4):
            await reader.poll(0)

    asyncio.run(run())


class FoldMachine(RuleBasedStateMachine):
    """Interleave operators, (stale) checkpoints, retention and readers."""

    def __init__(self):
        super().__init__()
        self.log = MemoryLog()
        self.continuous = Reader(self.log, BOUNDS)
        self.paused = Reader(self.log, BOUNDS)
        self.snapshots = []
        self.generations = [0]
        self.ops = 0

    def append(self, record):
        self.log.append(record)
        run_to_end(self.continuous)
        self.generations.append(self.continuous.state.generation)

    def next_op(self):
        self.ops += 1
        return f"op-{self.ops}"

    @rule(name=st.sampled_from(NAMES), matching=st.booleans())
    def publish(self, name, matching):
        body = make_preset(name if matching else "other")
        self.append(Publish(self.next_op(), name, body))

    @rule(name=st.sampled_from(NAMES), behind=st.integers(0, 2))
    def switch(self, name, behind):
        before = self.continuous.state.copy()
        op = self.next_op()
        expected = max(before.generation - behind, 0)
        self.append(Switch(op, name, expected))
        outcome = self.continuous.state.outcomes[op]
        wins = expected == before.generation and name in before.presets
        assert (outcome.verdict == "accepted") == wins
        assert self.continuous.state.generation == before.generation + wins

    @rule(name=st.sampled_from(NAMES))
    def switch_twice_with_one_op(self, name):
        record = Switch(self.next_op(), name, self.continuous.state.generation)
        self.append(record)
        after = self.continuous.state.generation
        outcome = self.continuous.state.outcomes[record.op]
        self.append(record)
        assert self.continuous.state.generation == after
        assert self.continuous.state.outcomes[record.op] == outcome

    @rule(current=st.booleans(), holder=st.sampled_from("ab"))
    def lease(self, current, holder):
        held = self.continuous.state.lease
        previous = held.offset if held and current else 0
        self.append(Lease(self.next_op(), holder, previous, 1_000))
        if held and not current:
            assert self.continuous.state.lease == held

    @rule(age_s=st.integers(-1, 70), host=st.sampled_from("ab"))
    def claim(self, age_s, host):
        key = f"{self.log.at_ms - age_s * 1_000}-abcdefgh"
        self.append(Claim(self.next_op(), key, host))

    @rule()
    def void(self):
        self.append(None)

    @rule()
    def take_snapshot(self):
        self.snapshots.append(self.continuous.state.copy())

    @precondition(lambda self: self.snapshots)
    @rule(data=st.data())
    def checkpoint(self, data):
        state = data.draw(st.sampled_from(self.snapshots))
        if state.offset > 0:
            record = Checkpoint(self.next_op(), state.offset, state.copy())
            before = self.continuous.state.copy()
            self.append(record)
            assert self.continuous.state.presets == before.presets
            assert self.continuous.state.in_force == before.in_force

    @rule(delta_s=st.integers(1, 40))
    def advance(self, delta_s):
        self.log.at_ms += delta_s * 1_000

    @rule(share=st.sampled_from((0.3, 0.7, 1.0)))
    def expire(self, share):
        span = len(self.log.entries) - self.log.earliest
        self.log.earliest += int(span * share)

    @rule()
    def wake_paused(self):
        before = self.paused.state.offset
        run_to_end(self.paused)
        assert self.paused.state.offset >= before
        self.check_agrees(self.paused)

    @rule()
    def start_newcomer(self):
        newcomer = Reader(self.log, BOUNDS)
        run_to_end(newcomer)
        self.check_agrees(newcomer)

    @rule()
    def newcomer_adopts(self):
        newcomer = Reader(self.log, BOUNDS)
        newcomer.adopt(self.continuous.state.copy())
        run_to_end(newcomer)
        assert newcomer.state == self.continuous.state
        self.check_claims(newcomer)

    def check_agrees(self, reader):
        if reader.scanning:
            assert self.log.earliest > reader.state.offset
        else:
            assert reader.state == self.continuous.state
        self.check_claims(reader)

    def check_claims(self, reader):
        for _, _, text in self.log.entries:
            record = decode_record(text)
            if not isinstance(record, Claim):
                continue
            key_ms = created_ms(record.key)
            if not reader.claims.is_complete_for(key_ms):
                continue
            if not reader.claims.is_too_old(key_ms):
                expected = self.continuous.claims.winner(record.key)
                assert reader.claims.winner(record.key) == expected

    @invariant()
    def generation_never_decreases(self):
        steps = zip(self.generations, self.generations[1:], strict=False)
        assert all(after - before in (0, 1) for before, after in steps)
        in_force = self.continuous.state.in_force
        assert (in_force is None) == (self.generations[-1] == 0)


def test_readers_agree_under_random_operations():
    run_state_machine_as_test(FoldMachine, settings=FIXED)


def entries(*records):
    return [Entry(i, START_MS, record) for i, record in enumerate(records)]


def fold_records(*records):
    state = FoldState()
    for entry in entries(*records):
        fold(state, entry)
    return state


def test_first_of_two_racing_switches_wins():
    state = fold_records(
        Publish("p1", "ordinary", make_preset("ordinary")),
        Publish("p2", "peak", make_preset("peak")),
        Switch("s1", "peak", 0),
        Switch("s2", "ordinary", 0),
    )
    assert state.in_force.name == "peak"
    assert state.outcomes["s1"].verdict == "accepted"
    assert state.outcomes["s2"].verdict == "superseded"
    assert [change.name for change in state.history] == ["peak"]


def test_publishing_a_new_version_leaves_the_preset_in_force_unchanged():
    body = make_preset("peak")
    changed = make_preset("peak")
    changed.kinds.clear()
    state = fold_records(
        Publish("p1", "peak", body),
        Switch("s1", "peak", 0),
        Publish("p2", "peak", changed),
    )
    assert state.in_force.preset == body
    assert state.presets["peak"].version == 2


def test_lease_must_name_the_offset_of_the_lease_in_force():
    state = fold_records(
        None,
        Lease("l1", "a", 0, 1_000),
        Lease("l2", "b", 0, 1_000),
        Lease("l3", "a", 1, 1_000),
        Lease("l4", "b", 1, 1_000),
    )
    assert (state.lease.holder, state.lease.offset) == ("a", 3)


def test_fold_rejects_a_gap_and_ignores_applied_entries():
    state = fold_records(None, None)
    before = state.copy()
    fold(state, Entry(0, START_MS, Switch("s", "peak", 0)))
    assert state == before
    with pytest.raises(OffsetGapError):
        fold(state, Entry(3, START_MS, None))


def test_outcomes_are_bounded():
    switches = [Switch(f"s{i}", "none", 0) for i in range(MAX_OUTCOMES + 10)]
    state = fold_records(*switches)
    assert len(state.outcomes) == MAX_OUTCOMES
    assert "s0" not in state.outcomes


def test_inconsistent_checkpoint_is_not_restored():
    log = MemoryLog()
    log.append(None)
    log.append(Checkpoint("c1", 1, FoldState(offset=5)))
    log.append(Checkpoint("c2", 9, FoldState(offset=9)))
    log.earliest = 1
    reader = Reader(log, BOUNDS)
    run_to_end(reader)
    assert reader.scanning


def test_checkpoint_round_trips_through_json():
    state = fold_records(
        Publish("p1", "peak", make_preset("peak")),
        Switch("s1", "peak", 0),
        Lease("l1", "a", 0, 1_000),
    )
    record = Checkpoint("c1", state.offset, state)
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"nonsense",
        b"[1, 2]",
        b'"text"',
        b"null",
        b"{}",
        b'{"type": "future"}',
        b'{"type": 5}',
        b'{"type": "switch", "op": "a", "name": "b"}',
        b'{"type":"switch","op":"a","name":"b","expected_generation":null}',
        b'{"type":"switch","op":"a","name":"b","expected_generation":-1}',
        b'{"type":"switch","op":"","name":"b","expected_generation":0}',
        b'{"type":"publish","op":"a","name":"b","body":{"name":"b"}}',
        b'{"type":"lease","op":"a","holder":"b","previous_offset":0,'
        b'"term_ms":0}',
        b'{"type":"checkpoint","op":"a","covers_offset":1,"state":7}',
        b"[" * 100_000,
    ],
)
def test_invalid_record_decodes_to_none(text):
    assert decode_record(text) is None


def test_claims_are_bounded_and_forgotten_keys_cannot_be_won_again():
    window = ClaimWindow(BOUNDS)
    keys = [f"{START_MS + i}-abcdefgh" for i in range(BOUNDS.max_keys + 50)]
    at_ms = START_MS + len(keys)
    for i, key in enumerate(keys):
        window.fold(Entry(i, at_ms, Claim(f"o{i}", key, "a")))
    assert len(window) == BOUNDS.max_keys
    again = len(keys)
    window.fold(Entry(again, at_ms, Claim("again", keys[0], "b")))
    assert window.winner(keys[0]) is None
    assert window.is_too_old(START_MS)


def key_at(time_ms):
    return f"{time_ms}-abcdefgh"


def test_reader_that_missed_claims_reports_them_incomplete():
    log = MemoryLog()
    reader = Reader(log, BOUNDS)
    log.append(None)
    run_to_end(reader)
    assert reader.claims.is_complete_for(START_MS)
    log.append(Claim("o1", key_at(START_MS), "a"))
    log.earliest = 2
    log.append(None)
    run_to_end(reader)
    assert not reader.claims.is_complete_for(START_MS)


def test_reader_reads_claims_again_after_adopting_a_state():
    log = MemoryLog()
    continuous = Reader(log, BOUNDS)
    reader = Reader(log, BOUNDS)
    log.append(None)
    run_to_end(reader)
    log.append(Claim("o1", key_at(START_MS), "a"))
    run_to_end(continuous)
    assert reader.adopt(continuous.state.copy())
    assert not reader.claims.is_complete_for(START_MS)
    run_to_end(reader)
    assert reader.claims.winner(key_at(START_MS)).host == "a"
    assert reader.claims.is_complete_for(START_MS)
    assert not reader.adopt(FoldState(offset=1))


@pytest.mark.parametrize(
    ("key_ms", "wins"),
    [
        (START_MS, True),
        (START_MS + BOUNDS.max_ahead_ms, True),
        (START_MS + BOUNDS.max_ahead_ms + 1, False),
        (START_MS - BOUNDS.max_age_ms, True),
        (START_MS - BOUNDS.max_age_ms - 1, False),
    ],
)
def test_claim_wins_only_while_its_key_is_in_the_window(key_ms, wins):
    window = ClaimWindow(BOUNDS)
    window.fold(Entry(0, START_MS, Claim("o", key_at(key_ms), "a")))
    assert (window.winner(key_at(key_ms)) is not None) == wins


def test_claims_of_a_new_host_are_complete_only_for_later_keys():
    window = ClaimWindow(BOUNDS)
    assert not window.is_complete_for(START_MS)
    window.fold(Entry(7, START_MS, None))
    assert not window.is_complete_for(START_MS + BOUNDS.max_ahead_ms)
    assert window.is_complete_for(START_MS + BOUNDS.max_ahead_ms + 1)
    window.mark_gap()
    assert not window.is_complete_for(10**12)
