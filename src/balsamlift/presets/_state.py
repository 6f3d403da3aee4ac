"""What the fold of the log amounts to at one offset."""

from __future__ import annotations

from typing import Literal

import attrs

from balsamlift.presets._preset import Preset

Verdict = Literal["accepted", "superseded", "invalid"]


@attrs.frozen
class Published:
    """Hold the newest version published under one name."""

    version: int  # counts the publications of the name, from 1
    offset: int
    preset: Preset


@attrs.frozen
class InForce:
    """Hold the preset in force; it keeps its content until a switch."""

    generation: int  # counts the accepted switches, from 1
    name: str
    version: int
    offset: int  # of the switch
    preset: Preset


@attrs.frozen
class Change:
    """Remember one accepted switch."""

    generation: int
    name: str
    version: int
    offset: int
    at_ms: int  # by the log's clock


@attrs.frozen
class Outcome:
    """Tell what became of one operation."""

    verdict: Verdict
    offset: int
    generation: int  # in force just after it; 0: none yet


@attrs.frozen
class LeaseInForce:
    """Hold the lease in force; its offset is the fencing number."""

    offset: int
    holder: str
    term_ms: int  # counted by each host from when it read the record


@attrs.frozen
class CheckpointSeen:
    """Remember the checkpoint that covers the most.

    It holds the state of all records before `covers_offset`.
    """

    offset: int
    covers_offset: int


@attrs.define
class FoldState:
    """Hold all that the log says before `offset`, the next one to fold.

    Offsets of the log begin at 0. Claims are kept apart (see
    `ClaimWindow`), because they outgrow a checkpoint.
    """

    offset: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    time_ms: int = 0  # the latest time of the log's clock seen
    presets: dict[str, Published] = attrs.field(factory=dict)
    in_force: InForce | None = None
    history: list[Change] = attrs.field(factory=list)  # newest last
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)  # by operation
    lease: LeaseInForce | None = None
    checkpoint: CheckpointSeen | None = None

    @property
    def generation(self) -> int:
        """Return the generation in force; 0 when there is none."""
        return self.in_force.generation if self.in_force else 0

    def copy(self) -> FoldState:
        """Return a state that changes apart from this one."""
        return attrs.evolve(
            self,
            presets=dict(self.presets),
            history=list(self.history),
            outcomes=dict(self.outcomes),
        )
