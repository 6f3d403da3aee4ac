"""Numbers that messages between hosts can carry."""

from __future__ import annotations

from typing import Annotated

import msgspec

# Sums over all hosts, and a successor, still fit into 64 bits.
MAX_INTEGER = 1 << 53
MAX_NUMBER = float(MAX_INTEGER)

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
