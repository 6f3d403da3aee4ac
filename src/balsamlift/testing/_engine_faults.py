"""What can be made to go wrong at an engine."""

from __future__ import annotations

import attrs

from balsamlift._validators import above


@attrs.frozen(kw_only=True)
class EngineFaults:
    """Choose what goes wrong at an engine."""

    # Setting it makes the streams then open silent for good.
    silent: bool = False
    refuse: bool = False  # keep new requests out as "full"
    draining: bool = False
    reclaim_in_ms: int = -1  # drain, then end all streams; -1: not
    slow_factor: float = attrs.field(default=1.0, validator=above(0))
    drop_answers: bool = False  # run new requests without any answer
    duplicate_frames: bool = False  # send every second token frame twice
    die_after_tokens: int = -1  # exit after so many more tokens; -1: not
