"""Fold log entries into a state, deterministically on every reader."""

from __future__ import annotations

from balsamlift.exceptions import OffsetGapError
from balsamlift.presets._records import (
    Checkpoint,
    Entry,
    Lease,
    Publish,
    Switch,
)
from balsamlift.presets._state import (
    AcceptedSwitch,
    CheckpointReference,
    FoldState,
    LeaseInForce,
    Outcome,
    PresetInForce,
    PublishedPreset,
    Verdict,
)

# Every reader must use the same limits to arrive at the same state.
MAX_OUTCOMES = 1_024
MAX_HISTORY_ENTRIES = 256
MAX_PRESETS = 64


def fold(state: FoldState, entry: Entry) -> None:
    """Apply the next entry to `state`; ignore one that was applied before.

    Raises `OffsetGapError` when entries before this one are missing.
    """
    if entry.offset < state.offset:
        return
    if entry.offset > state.offset:
        raise OffsetGapError(state.offset, entry.offset)
    state.offset = entry.offset + 1
    state.time_ms = max(state.time_ms, entry.at_ms)
    match entry.record:
        case Publish() as publish:
            _apply_publish(state, entry.offset, publish)
        case Switch() as switch:
            _apply_switch(state, entry.offset, switch)
        case Lease() as lease:
            _apply_lease(state, entry.offset, lease)
        case Checkpoint() as checkpoint:
            _apply_checkpoint(state, entry.offset, checkpoint)


def is_consistent(checkpoint: Checkpoint, offset: int) -> bool:
    """Return whether the offsets of a checkpoint agree.

    Its state must end at `covers_offset`, and it cannot cover records that
    come after `offset`, at which it was found.
    """
    covers = checkpoint.covers_offset
    return covers == checkpoint.state.offset and covers <= offset


def _apply_publish(state: FoldState, offset: int, publish: Publish) -> None:
    if publish.op in state.outcomes:
        return
    if publish.name != publish.body.name:
        _record_outcome(state, offset, publish.op, "invalid")
        return
    previous = state.presets.pop(publish.name, None)
    version = previous.version + 1 if previous else 1
    state.presets[publish.name] = PublishedPreset(
        version, offset, publish.body
    )
    if len(state.presets) > MAX_PRESETS:
        del state.presets[next(iter(state.presets))]
    _record_outcome(state, offset, publish.op, "accepted")


def _apply_switch(state: FoldState, offset: int, switch: Switch) -> None:
    if switch.op in state.outcomes:
        return
    published = state.presets.get(switch.name)
    if switch.expected_generation != state.generation:
        _record_outcome(state, offset, switch.op, "superseded")
    elif published is None:
        _record_outcome(state, offset, switch.op, "invalid")
    else:
        _put_in_force(state, offset, published)
        _record_outcome(state, offset, switch.op, "accepted")


def _put_in_force(
    state: FoldState, offset: int, published: PublishedPreset
) -> None:
    name = published.preset.name
    generation = state.generation + 1
    version = published.version
    state.in_force = PresetInForce(
        generation, name, version, offset, published.preset
    )
    accepted = AcceptedSwitch(generation, name, version, offset, state.time_ms)
    state.history.append(accepted)
    del state.history[:-MAX_HISTORY_ENTRIES]


def _apply_lease(state: FoldState, offset: int, lease: Lease) -> None:
    in_force = state.lease.offset if state.lease else 0
    if lease.previous_offset == in_force and offset > 0:
        state.lease = LeaseInForce(offset, lease.holder, lease.term_ms)


def _apply_checkpoint(
    state: FoldState, offset: int, checkpoint: Checkpoint
) -> None:
    """Note a checkpoint; the state is never reset to its content."""
    covers = checkpoint.covers_offset
    newest = state.checkpoint.covers_offset if state.checkpoint else 0
    if is_consistent(checkpoint, offset) and covers > newest:
        state.checkpoint = CheckpointReference(offset, covers)


def _record_outcome(
    state: FoldState, offset: int, op: str, verdict: Verdict
) -> None:
    state.outcomes[op] = Outcome(verdict, offset, state.generation)
    if len(state.outcomes) > MAX_OUTCOMES:
        del state.outcomes[next(iter(state.outcomes))]
