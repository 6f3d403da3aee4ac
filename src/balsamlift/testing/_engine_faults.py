"""Faults that can be injected into an engine stand-in."""

from __future__ import annotations

import attrs

from balsamlift._validators import above


@attrs.frozen(kw_only=True)
class EngineFaults:
    """Hold the faults of an engine, as set by `POST /control/faults`."""

    # The streams that are open when this is set never send anything again.
    silent: bool = False
    refuse: bool = False  # refuse new requests with the reason "full"
    draining: bool = False
    reclaim_in_ms: int = -1  # drain, then end all streams; -1: never
    slow_factor: float = attrs.field(default=1.0, validator=above(0))
    drop_answers: bool = False  # run new requests but never answer them
    duplicate_frames: bool = False  # send every second token frame twice
    die_after_tokens: int = -1  # exit after this many tokens; -1: never
