"""The fold of the log: the same records give the same state anywhere."""

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
    Change,
    CheckpointSeen,
    FoldState,
    InForce,
    LeaseInForce,
    Outcome,
    Published,
    Verdict,
)

# Every reader must use the same bounds.
OUTCOMES_KEPT = 1_024
HISTORY_KEPT = 256
PRESETS_KEPT = 64


def fold(state: FoldState, entry: Entry) -> None:
    """Take the next entry into `state`; ignore one taken already.

    Raises `OffsetGapError` when an entry before it is missing.
    """
    if entry.offset < state.offset:
        return
    if entry.offset > state.offset:
        raise OffsetGapError(state.offset, entry.offset)
    state.offset = entry.offset + 1
    state.time_ms = max(state.time_ms, entry.at_ms)
    match entry.record:
        case Publish() as publish:
            _publish(state, entry.offset, publish)
        case Switch() as switch:
            _switch(state, entry.offset, switch)
        case Lease() as lease:
            _lease(state, entry.offset, lease)
        case Checkpoint() as checkpoint:
            _checkpoint(state, entry.offset, checkpoint)


def fits(checkpoint: Checkpoint, offset: int) -> bool:
    """Return whether a checkpoint found at `offset` agrees with itself."""
    covers = checkpoint.covers_offset
    return covers == checkpoint.state.offset and covers <= offset


def _publish(state: FoldState, offset: int, publish: Publish) -> None:
    if publish.op in state.outcomes:
        return
    if publish.name != publish.body.name:
        _conclude(state, offset, publish.op, "invalid")
        return
    before = state.presets.pop(publish.name, None)
    version = before.version + 1 if before else 1
    state.presets[publish.name] = Published(version, offset, publish.body)
    if len(state.presets) > PRESETS_KEPT:
        del state.presets[next(iter(state.presets))]
    _conclude(state, offset, publish.op, "accepted")


def _switch(state: FoldState, offset: int, switch: Switch) -> None:
    if switch.op in state.outcomes:
        return
    published = state.presets.get(switch.name)
    if switch.expected_generation != state.generation:
        _conclude(state, offset, switch.op, "superseded")
    elif published is None:
        _conclude(state, offset, switch.op, "invalid")
    else:
        _put_in_force(state, offset, published)
        _conclude(state, offset, switch.op, "accepted")


def _put_in_force(state: FoldState, offset: int, published: Published) -> None:
    name = published.preset.name
    generation = state.generation + 1
    version = published.version
    state.in_force = InForce(
        generation, name, version, offset, published.preset
    )
    change = Change(generation, name, version, offset, state.time_ms)
    state.history.append(change)
    del state.history[:-HISTORY_KEPT]


def _lease(state: FoldState, offset: int, lease: Lease) -> None:
    in_force = state.lease.offset if state.lease else 0
    if lease.previous_offset == in_force and offset > 0:
        state.lease = LeaseInForce(offset, lease.holder, lease.term_ms)


def _checkpoint(state: FoldState, offset: int, checkpoint: Checkpoint) -> None:
    """Remember it; the state is never set back to what it holds."""
    covers = checkpoint.covers_offset
    newest = state.checkpoint.covers_offset if state.checkpoint else 0
    if fits(checkpoint, offset) and covers > newest:
        state.checkpoint = CheckpointSeen(offset, covers)


def _conclude(
    state: FoldState, offset: int, op: str, verdict: Verdict
) -> None:
    state.outcomes[op] = Outcome(verdict, offset, state.generation)
    if len(state.outcomes) > OUTCOMES_KEPT:
        del state.outcomes[next(iter(state.outcomes))]
