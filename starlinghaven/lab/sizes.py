"""The sizes of large objects and writes in the lab, as the protocol page allows them at most."""

from __future__ import annotations

OBJECT_BYTES = 240_000  # of an object, at most
WRITE_BYTES = 48_000  # that one write brings, at most
LARGE_KEY = 1 << 63  # bit of a key whose object is as large as may be


def large_key(number: int) -> str:
    """The key of a large object."""
    return f"{LARGE_KEY | number:016x}"


def is_large(key: str) -> bool:
    """Whether a key is that of a large object."""
    return bool(int(key or "0", 16) & LARGE_KEY)
