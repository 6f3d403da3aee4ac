"""Positions in a topic of the platform's store.

A store that is restored from an older copy increments its era and assigns
some offsets a second time. Offsets are comparable only within one era.
"""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """Hold an offset and the era of the store that assigned it.

    Positions are ordered by era, then by offset.
    """

    era: int
    offset: int
