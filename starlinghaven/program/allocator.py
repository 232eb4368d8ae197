"""Settings of the C library's allocator, and of Python's collector, for a process with little memory."""

from __future__ import annotations

import ctypes
import gc

# mallopt(3), malloc.h
_TRIM_THRESHOLD, _MMAP_THRESHOLD = -1, -3

LARGE = 256 * 1024  # bytes of a piece that goes back to the system as soon as it is freed
TRIMMED = 128 * 1024  # bytes free at the heap's end that go back
COLLECT_EVERY = 20_000  # new objects between two collections, where there is memory for them
LEAST_COLLECT_EVERY = 2_000
OBJECT_BYTES = 256  # of an object that waits to be collected, about


def give_back_early() -> None:
    """Has freed memory returned to the system, so that one peak of large pieces is not held beside the next.

    By default the allocator takes the size of what was freed last as a hint to keep as much.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return  # another C library
    mallopt(_MMAP_THRESHOLD, LARGE)
    mallopt(_TRIM_THRESHOLD, TRIMMED)


def collect_often(room: int) -> None:
    """Sets how much garbage may wait for the collector where a budget has so many bytes: a part of it."""
    objects = room // 16 // OBJECT_BYTES
    gc.set_threshold(min(max(objects, LEAST_COLLECT_EVERY), COLLECT_EVERY), 20, 50)
