"""Limits on the bytes of a response that are no data."""

from __future__ import annotations

from typing import Literal

import attrs

from balsamlift.exceptions import BalsamliftError

MAX_HEAD_BYTES = 65_536  # with the interim responses before it
MAX_INTERIM_RESPONSES = 8
# Responses to earlier requests that are read to their ends and dropped.
MAX_DROPPED_RESPONSES = 4
MAX_DROPPED_BYTES = 1_048_576
MAX_RESPONSE_BYTES = 4_194_304  # buffered in full; a lookup has 1 KB
MAX_CHUNK_LINE_BYTES = 1_024
MAX_TRAILER_BYTES = 8_192  # all lines
# Bytes that are no data: before the first data, for each byte of data, and at
# most at once.
FREE_OVERHEAD_BYTES, OVERHEAD_PER_BYTE, MAX_OVERHEAD_BYTES = 2_048, 2, 65_536

ResponseForm = Literal[
    "head",
    "interim responses",
    "dropped responses",
    "chunk line",
    "chunks",
    "trailers",
    "body",
    "comments",
    "event",
]


class ByteLimitError(BalsamliftError):
    """Raised when a response has too many bytes of one form."""

    def __init__(self, form: ResponseForm) -> None:
        """Store the form."""
        super().__init__(f"too many bytes: {form}")
        self.form: ResponseForm = form


@attrs.define
class ByteLimit:
    """Limit the bytes of one form."""

    form: ResponseForm
    left_bytes: int

    def spend(self, count: int) -> None:
        """Count bytes of the form; raise `ByteLimitError` beyond the limit."""
        self.left_bytes -= count
        if self.left_bytes < 0:
            raise ByteLimitError(self.form)

    def earn(self, count: int) -> None:
        """Allow more for bytes of data."""
        earned_bytes = count * OVERHEAD_PER_BYTE
        self.left_bytes = min(
            self.left_bytes + earned_bytes, MAX_OVERHEAD_BYTES
        )


def overhead_limit(form: ResponseForm) -> ByteLimit:
    """Return a limit that grows with the data."""
    return ByteLimit(form, FREE_OVERHEAD_BYTES)
