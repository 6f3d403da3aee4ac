"""Let what is not needed return to the system, soon and at little cost."""

from __future__ import annotations

import ctypes
import gc

# Parameters of `mallopt` in glibc; a fixed value ends their adaptation, by
# which large blocks come to lie on the heap and are not returned.
_M_TRIM_THRESHOLD, _M_MMAP_THRESHOLD = -1, -3
RETURNED_BLOCK_BYTES = 32_768


_libc = ctypes.CDLL(None)


def trim_heap() -> None:
    """Return free pages of the heap to the system; glibc only."""
    malloc_trim = getattr(_libc, "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)


def return_freed_memory() -> None:
    """Map large blocks by themselves, and trim the heap; glibc only."""
    mallopt = getattr(_libc, "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES)
        mallopt(_M_TRIM_THRESHOLD, RETURNED_BLOCK_BYTES)


def exempt_loaded_code() -> None:
    """Leave what is loaded by now out of later garbage collections."""
    gc.freeze()
