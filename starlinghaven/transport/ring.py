"""The ring buffer, one for each direction of a connection, and the memory that all rings share."""

from __future__ import annotations

import trio

SMALL = 4096  # bytes of a ring at rest
KEPT_FREE = 1 / 8  # of the memory, which output to slow readers leaves to input and to new connections


class NoMemory(Exception):
    """The shared memory for rings is used up."""


class Memory:
    """What all rings together may hold; the one place where their bytes are counted.

    Guards against many large messages at once: a ring that may not grow stops its connection's reading,
    so that the sender feels it, instead of the process being killed for memory.

    Two processes of an upgrade have a limit each. What a connection holds when it is handed over moves from
    the one limit to the other, so that their sum never grows: see `cede` and `borrow`.
    """

    def __init__(self, limit: int, most: int | None = None) -> None:
        """`most`: up to where the limit may rise by what another process cedes; none without it."""
        self.limit, self.used = limit, 0
        self._own_limit = limit  # without what was borrowed
        self._most = limit if most is None else most
        self._freed = trio.Event()

    @property
    def kept_free(self) -> int:
        """Bytes that output leaves free."""
        return int(self._own_limit * KEPT_FREE)

    def take(self, n: int, leave: int = 0) -> None:
        """Counts n bytes as used. Errors: NoMemory unless `leave` bytes are free after that."""
        if self.used + n + leave > self.limit:
            raise NoMemory(f"{n} bytes asked for, {self.limit - self.used - leave} left")
        self.used += n

    def give(self, n: int, borrowed: int = 0) -> None:
        """Counts n bytes as free again, of which so many were borrowed and are paid back."""
        self.used -= n
        self.repay(borrowed)
        self._wake()

    def borrow(self, n: int) -> None:
        """Allows n bytes more, which another process is about to cede. Errors: NoMemory beyond the most."""
        if self.limit + n > self._most:
            raise NoMemory(f"{n} bytes to be borrowed, {self._most - self.limit} may be")
        self.limit += n

    def repay(self, n: int) -> None:
        """Gives up n bytes that were borrowed and are not in use."""
        self.limit -= n

    def cede(self, n: int, borrowed: int = 0) -> None:
        """Gives up n bytes that are in use, of which so many were borrowed, for good: others have them."""
        self.used -= n
        self.limit -= n
        self._own_limit -= n - borrowed
        self._wake()

    def _wake(self) -> None:
        self._freed.set()
        self._freed = trio.Event()

    async def freed(self) -> None:
        """Waits until some ring has given memory back."""
        await self._freed.wait()


class Ring:
    """A circular buffer that grows to what is put in and shrinks again when it is empty."""

    __slots__ = ("_borrowed", "_buf", "_head", "_memory", "_spares", "size")

    def __init__(self, memory: Memory, spares: bool = False) -> None:
        """`spares`: what is put in leaves a part of the memory free for others. Errors: NoMemory."""
        memory.take(SMALL)
        self._memory, self._spares = memory, spares
        self._borrowed = 0  # bytes of its memory that are paid back when it gives them back
        self._buf = bytearray(SMALL)
        self._head = self.size = 0

    @property
    def capacity(self) -> int:
        """Bytes of memory that it holds."""
        return len(self._buf)

    @staticmethod
    def room(n: int) -> int:
        """The capacity that a ring has which grew to hold n bytes."""
        return max(SMALL, 1 << max(n - 1, 0).bit_length())

    def _resize(self, capacity: int, leave: int = 0) -> None:
        if capacity > self.capacity:
            self._memory.take(capacity - self.capacity, leave)
        else:
            self._give(self.capacity - capacity)
        buf = bytearray(capacity)
        buf[: self.size] = self.take(self.size, keep=True)
        self._buf, self._head = buf, 0

    def _give(self, n: int) -> None:
        """Gives n bytes of memory back, those that were borrowed first."""
        borrowed = min(n, self._borrowed)
        self._borrowed -= borrowed
        self._memory.give(n, borrowed)

    def borrow(self, most: int) -> int:
        """Counts memory that it holds as borrowed, up to so many bytes; returns how many they are."""
        self._borrowed = min(self.capacity, most)
        return self._borrowed

    def reserve(self, n: int, leave: int = 0) -> None:
        """Makes room for n bytes in all. Raises NoMemory and stays as it was if there is none."""
        if n > self.capacity:
            self._resize(self.room(n), leave)

    def space(self) -> memoryview:
        """The first free stretch; empty if the ring is full."""
        tail = (self._head + self.size) % self.capacity
        end = self._head if tail < self._head or self.size == self.capacity else self.capacity
        return memoryview(self._buf)[tail:end]

    def filled(self, n: int) -> None:
        """n bytes were written into the free stretch."""
        self.size += n

    def put(self, data: bytes) -> None:
        """Appends bytes. Raises NoMemory and stays as it was if there is no room for them."""
        self.reserve(self.size + len(data), self._memory.kept_free if self._spares else 0)
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
        data = self.peek(0, n)
        if not keep:
            self.skip(n)
        return data

    def peek(self, at: int, n: int) -> bytes:
        """n of the bytes held, from the one at `at` on; they stay."""
        start = self._head + at
        if start >= self.capacity:
            start -= self.capacity
        first = self._buf[start : min(start + n, self.capacity)]
        return bytes(first) if len(first) == n else bytes(first + self._buf[: n - len(first)])

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
        self._give(self.capacity)
        self._clear()

    def cede(self) -> None:
        """Gives its memory up to another process, which holds what was in it; the ring is not used again."""
        self._memory.cede(self.capacity, self._borrowed)
        self._borrowed = 0
        self._clear()

    def _clear(self) -> None:
        self._buf, self._head, self.size = bytearray(), 0, 0
