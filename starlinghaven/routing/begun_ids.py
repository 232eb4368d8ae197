"""The ids of requests for which an attempt has begun: none of them begins a second time.

A bounded table in one buffer, which two processes may share. It has two generations: when the newer one is
full, the older one is cleared, once all that is in it is old enough, and becomes the newer one. An id is
kept as 32 bits of a keyed hash, at a place that other bits of it give. Of two ids that fall together by
chance, the second does not begin.
"""

from __future__ import annotations

import math
import struct
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from enum import Enum, auto
from hashlib import blake2b

GENERATIONS = 2
LEAST_SLOTS = 1024  # of a generation
ADMITTED_LOAD, MOST_LOAD = 0.65, 0.8  # of a generation: up to which requests are admitted, and begin
_HEAD = struct.Struct("<8sQ16sQ")  # magic and form, slots of a generation, key of the hash, newer generation
_GENERATION = struct.Struct("<Qd")  # ids in it, and when the last of them came (ms)
_SLOT = 4  # bytes
_MAGIC = b"begunid1"
_HEAD_BYTES = _HEAD.size + GENERATIONS * _GENERATION.size


class TableError(ValueError):
    """The buffer holds no table of this form."""


class Claim(Enum):
    """What became of the wish to begin."""

    BEGINS = auto()  # it is noted: nobody else begins for this id
    BEGUN = auto()  # something has begun for it before
    FULL = auto()  # there is no room to note it


Lock = Callable[[], AbstractContextManager[object]]
"""Keeps the other process out for the length of a block. Errors: TimeoutError."""


def size_for(size: int) -> int:
    """Bytes of the largest table that fits into so many, or of the smallest one."""
    slots = max((size - _HEAD_BYTES) // (GENERATIONS * _SLOT), LEAST_SLOTS)
    return _HEAD_BYTES + GENERATIONS * _SLOT * slots


class BegunIds:
    """The table in a buffer."""

    def __init__(
        self,
        buffer: memoryview,
        binds_ms: float,
        lock: Lock = nullcontext,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """`binds_ms`: how long an id is kept at the least. `now`: seconds, alike for all who share it.

        Errors: TableError.
        """
        self._buffer, self._binds_ms, self._lock, self._now = buffer, binds_ms, lock, now
        magic, slots, key, _ = _HEAD.unpack_from(buffer)
        self._slots, self._key = int(slots), bytes(key)
        if magic != _MAGIC or len(buffer) != _HEAD_BYTES + GENERATIONS * _SLOT * self._slots:
            raise TableError("no table of ids")
        self._generations = [
            buffer[_HEAD_BYTES + n * _SLOT * self._slots :][: _SLOT * self._slots].cast("I")
            for n in range(GENERATIONS)
        ]

    @classmethod
    def make(cls, size: int, key: bytes, binds_ms: float) -> BegunIds:
        """A table of this process alone, in about so many bytes."""
        buffer = memoryview(bytearray(size_for(size)))
        cls.format(buffer, key)
        return cls(buffer, binds_ms)

    @staticmethod
    def format(buffer: memoryview, key: bytes) -> None:
        """Makes an empty table of a buffer full of zeros. `key`: 16 bytes that clients can't guess."""
        slots = (len(buffer) - _HEAD_BYTES) // (GENERATIONS * _SLOT)
        for generation in range(GENERATIONS):
            _GENERATION.pack_into(buffer, _HEAD.size + generation * _GENERATION.size, 0, -math.inf)
        _HEAD.pack_into(buffer, 0, _MAGIC, slots, key, 0)

    @property
    def size(self) -> int:
        """Bytes of the table."""
        return len(self._buffer)

    def holds(self, id: str) -> bool:
        """Whether something has begun for an id."""
        return self._is_in_either(*self._hashed(id))

    def has_room(self) -> bool:
        """Whether further requests may be admitted: those that are open find room in any case."""
        return not self._filled(ADMITTED_LOAD) or self._may_turn_over()

    def claim(self, id: str) -> Claim:
        """Notes that something begins for an id, unless something has. Errors: TimeoutError of the lock."""
        start, print_ = self._hashed(id)
        with self._lock():
            if self._is_in_either(start, print_):
                return Claim.BEGUN
            if self._filled(ADMITTED_LOAD) and self._may_turn_over():
                self._turn_over()
            if self._filled(MOST_LOAD):
                return Claim.FULL
            newer = self._newer
            slot, _ = self._find(newer, start, print_)
            self._generations[newer][slot] = print_
            self._note(newer, self._count(newer) + 1, 1000.0 * self._now())
            return Claim.BEGINS

    # -- the buffer -------------------------------------------------------------------------------

    def _hashed(self, id: str) -> tuple[int, int]:
        """The slot at which the search for an id begins, and what stands for it there; never 0."""
        digest = blake2b(id.encode("utf-8", "replace"), digest_size=8, key=self._key).digest()
        high, low = struct.unpack("<II", digest)
        return high % self._slots, low or 1

    def _find(self, generation: int, start: int, print_: int) -> tuple[int, bool]:
        """Where an id is, or would be put, and whether it is there."""
        slots, at = self._generations[generation], start
        for _ in range(self._slots):
            held = slots[at]
            if not held or held == print_:
                return at, bool(held)
            at = at + 1 if at + 1 < self._slots else 0
        return at, False

    def _is_in_either(self, start: int, print_: int) -> bool:
        return any(self._find(generation, start, print_)[1] for generation in range(GENERATIONS))

    @property
    def _newer(self) -> int:
        return int(_HEAD.unpack_from(self._buffer)[3]) % GENERATIONS

    def _told(self, generation: int) -> tuple[int, float]:
        """How many ids are in a generation, and when the last of them came."""
        at = _HEAD.size + generation * _GENERATION.size
        count, last_ms = _GENERATION.unpack_from(self._buffer, at)
        return int(count), float(last_ms)

    def _note(self, generation: int, count: int, last_ms: float) -> None:
        _GENERATION.pack_into(self._buffer, _HEAD.size + generation * _GENERATION.size, count, last_ms)

    def _count(self, generation: int) -> int:
        return self._told(generation)[0]

    def _filled(self, load: float) -> bool:
        """Whether the newer generation has come to such a part of its slots."""
        return self._count(self._newer) >= load * self._slots

    def _may_turn_over(self) -> bool:
        """Whether no id of the older generation binds any more."""
        _, last_ms = self._told(1 - self._newer)
        return bool(1000.0 * self._now() - last_ms >= self._binds_ms)

    def _turn_over(self) -> None:
        """Clears the older generation and makes it the newer one."""
        newer = 1 - self._newer
        begin = _HEAD_BYTES + newer * _SLOT * self._slots
        self._buffer[begin : begin + _SLOT * self._slots] = bytes(_SLOT * self._slots)
        self._note(newer, 0, -math.inf)
        _HEAD.pack_into(self._buffer, 0, _MAGIC, self._slots, self._key, newer)
