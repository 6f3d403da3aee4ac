"""The state that the log folds into, up to one offset."""

from __future__ import annotations

from typing import Literal

import attrs

from balsamlift.presets._preset import Preset

Verdict = Literal["accepted", "superseded", "invalid"]


@attrs.frozen
class PublishedPreset:
    """Hold the newest version published under one name."""

    version: int  # counts the publications of the name, from 1
    offset: int
    preset: Preset


@attrs.frozen
class PresetInForce:
    """Hold the preset in force.

    Publishing a new version does not change it; only a switch does.
    """

    generation: int  # counts the accepted switches, from 1
    name: str
    version: int
    offset: int  # of the switch
    preset: Preset


@attrs.frozen
class AcceptedSwitch:
    """Hold one accepted switch, for the history."""

    generation: int
    name: str
    version: int
    offset: int
    at_ms: int  # on the log's clock


@attrs.frozen
class Outcome:
    """Hold the outcome of one operation."""

    verdict: Verdict
    offset: int
    generation: int  # in force just after it; 0: none


@attrs.frozen
class LeaseInForce:
    """Hold the lease in force; its offset is the fencing token."""

    offset: int
    holder: str
    term_ms: int  # each host counts from when it read the record


@attrs.frozen
class CheckpointReference:
    """Refer to the checkpoint that covers the most records.

    It holds the state of all records before `covers_offset`.
    """

    offset: int
    covers_offset: int


@attrs.define
class FoldState:
    """Hold the state of the log before `offset`, the next one to fold.

    Offsets of the log start at 0. Claims are kept separately (see
    `ClaimWindow`), because they are too many for a checkpoint.
    """

    offset: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    time_ms: int = 0  # the latest time seen on the log's clock
    presets: dict[str, PublishedPreset] = attrs.field(factory=dict)
    in_force: PresetInForce | None = None
    history: list[AcceptedSwitch] = attrs.field(factory=list)  # newest last
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)  # by operation id
    lease: LeaseInForce | None = None
    checkpoint: CheckpointReference | None = None

    @property
    def generation(self) -> int:
        """Return the generation in force; 0 when there is none."""
        return self.in_force.generation if self.in_force else 0

    def copy(self) -> FoldState:
        """Return a copy that can be modified independently."""
        return attrs.evolve(
            self,
            presets=dict(self.presets),
            history=list(self.history),
            outcomes=dict(self.outcomes),
        )
