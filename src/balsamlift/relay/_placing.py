"""What decides which engine a generation gets: named settings."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class PlacingPolicy:
    """Weigh what is known of an engine, as parts of its memory."""

    # Memory that is given out, by what generations are expected to have at
    # their ends: they do not all end at once.
    filled_part: float = 1.0
    # Prompts that wait to be read weigh this much more than memory in use:
    # they hold up the first token of whatever comes after them.
    prefill_weight: float = 1.5
    # How much more memory in use elsewhere outweighs the bytes between
    # failure domains.
    other_domain_part: float = 0.05
    # The same for what leaves an engine: copies between failure domains take
    # twice as long, of the little time that there is.
    copy_part: float = 1.0
    # Hosts that do not know what the others have placed all see the same
    # engine as the emptiest. The better of so many at random spreads their
    # work.
    drawn_blindly: int = 2


STANDARD = PlacingPolicy()
