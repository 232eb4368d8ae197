"""The ring buffer, one for each direction of a connection, and the memory that all rings share."""

from __future__ import annotations

import trio

SMALL = 4096  # bytes of a ring at rest


class NoMemory(Exception):
    """The shared memory for rings is used up."""


class Memory:
    """What all rings together may hold; the one place where their bytes are counted.

    Guards against many large messages at once: a ring that may not grow stops its connection's reading,
    so that the sender feels it, instead of the process being killed for memory.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self._freed = trio.Event()

    def take(self, n: int) -> None:
        if self.used + n > self.limit:
            raise NoMemory(f"{n} bytes asked for, {self.limit - self.used} left")
        self.used += n

    def give(self, n: int) -> None:
        self.used -= n
        self._freed.set()
        self._freed = trio.Event()

    async def freed(self) -> None:
        """Waits until some ring has given memory back."""
        await self._freed.wait()


class Ring:
    """A circular buffer that grows to what is put in and shrinks again when it is empty."""

    __slots__ = ("_buf", "_head", "_memory", "size")

    def __init__(self, memory: Memory) -> None:
        memory.take(SMALL)
        self._memory = memory
        self._buf = bytearray(SMALL)
        self._head = self.size = 0

    @property
    def capacity(self) -> int:
        return len(self._buf)

    def _resize(self, capacity: int) -> None:
        if capacity > self.capacity:
            self._memory.take(capacity - self.capacity)
        else:
            self._memory.give(self.capacity - capacity)
        buf = bytearray(capacity)
        buf[: self.size] = self.take(self.size, keep=True)
        self._buf, self._head = buf, 0

    def reserve(self, n: int) -> None:
        """Makes room for n bytes in all. Raises NoMemory and stays as it was if there is none."""
        capacity = self.capacity
        while capacity < n:
            capacity *= 2
        if capacity > self.capacity:
            self._resize(capacity)

    def space(self) -> memoryview:
        """The first free stretch; empty if the ring is full."""
        tail = (self._head + self.size) % self.capacity
        end = self._head if tail < self._head or self.size == self.capacity else self.capacity
        return memoryview(self._buf)[tail:end]

    def filled(self, n: int) -> None:
        """n bytes were written into the free stretch."""
        self.size += n

    def put(self, data: bytes) -> None:
        self.reserve(self.size + len(data))
        rest = memoryview(data)
        while rest:
            gap = self.space()
            n = min(len(gap), len(rest))
            gap[:n] = rest[:n]
            self.size += n
            rest = rest[n:]

    def head(self) -> memoryview:
        """The first stretch of bytes held."""
        return memoryview(self._buf)[self._head : min(self._head + self.size, self.capacity)]

    def skip(self, n: int) -> None:
        self._head = (self._head + n) % self.capacity
        self.size -= n
        if not self.size:
            self._head = 0
            if self.capacity > SMALL:
                self._resize(SMALL)

    def take(self, n: int, keep: bool = False) -> bytes:
        """The first n bytes, which leave the ring unless they are kept."""
        first = self._buf[self._head : min(self._head + n, self.capacity)]
        data = bytes(first) if len(first) == n else bytes(first + self._buf[: n - len(first)])
        if not keep:
            self.skip(n)
        return data

    def line(self, limit: int) -> bytes | None:
        """The first line without its end, which leaves the ring; None if no end is among `limit` bytes."""
        start = self.take(min(self.size, limit), keep=True)
        end = start.find(b"\r\n")
        if end < 0:
            return None
        self.skip(end + 2)
        return start[:end]

    def close(self) -> None:
        """Gives all memory back; the ring is not used again."""
        self._memory.give(self.capacity)
        self._buf, self._head, self.size = bytearray(), 0, 0
