"""The ring buffer, one for each direction of a connection. It holds memory only while it holds bytes."""

from __future__ import annotations

from starlinghaven.memory import Account

LEAST = 256  # bytes of a ring that holds anything
READ = 4096  # bytes that one reading makes room for, where there is memory for them


class Ring:
    """A circular buffer that grows to what is put in, and gives its memory back as it is emptied."""

    __slots__ = ("_account", "_borrowed", "_buf", "_head", "_prepaid", "size")

    def __init__(self, account: Account, prepaid: int = 0) -> None:
        """`prepaid`: bytes of its capacity that its owner has taken from the budget already."""
        self._account, self._prepaid = account, prepaid
        self._borrowed = 0  # bytes of its memory that are paid back when it gives them back
        self._buf = bytearray()
        self._head = self.size = 0

    @property
    def capacity(self) -> int:
        """Bytes that it can hold without growing."""
        return len(self._buf)

    @property
    def counted(self) -> int:
        """Bytes of the account that it holds."""
        return max(self.capacity - self._prepaid, 0)

    @staticmethod
    def room(n: int) -> int:
        """The capacity of a ring that grew to hold n bytes."""
        return max(LEAST, 1 << max(n - 1, 0).bit_length())

    def cost(self, n: int) -> int:
        """Bytes that the account must have for it to hold n bytes, beside those that it has taken."""
        return max(self.room(n) - max(self.capacity, self._prepaid), 0) if n > self.capacity else 0

    def _resize(self, capacity: int) -> None:
        """Moves what it holds into a buffer of this capacity; its memory is counted already."""
        buf = bytearray(capacity)
        buf[: self.size] = self.peek(0, self.size)
        self._buf, self._head = buf, 0

    def _give(self, n: int) -> None:
        """Gives n bytes of memory back, those that were borrowed first."""
        borrowed = min(n, self._borrowed)
        self._borrowed -= borrowed
        self._account.give(n, borrowed)

    def borrow(self, most: int) -> int:
        """Counts memory that it holds as borrowed, up to so many bytes; returns how many they are."""
        self._borrowed = min(self.counted, most)
        return self._borrowed

    def reserve(self, n: int, leave: int = 0, always: bool = False) -> None:
        """Makes room for n bytes in all. Raises NoMemory and stays as it was if there is none.

        `always`: it must be had, be it beyond the limit.
        """
        if n <= self.capacity:
            return
        cost = self.cost(n)
        if always:
            self._account.take_always(cost)
        else:
            self._account.take(cost, leave)
        self._resize(self.room(n))

    def reserve_taken(self, n: int) -> None:
        """Makes room for n bytes in all; the caller has taken their `cost` from the account."""
        if n > self.capacity:
            self._resize(self.room(n))

    def fit(self) -> None:
        """Gives back the memory that what it holds does not need."""
        capacity = self.room(self.size) if self.size else 0
        if capacity < self.capacity:
            before = self.counted
            self._resize(capacity)
            if before > self.counted:
                self._give(before - self.counted)

    def space(self) -> memoryview:
        """The first free stretch; empty if the ring is full."""
        if not self._buf:
            return memoryview(self._buf)
        tail = (self._head + self.size) % self.capacity
        end = self._head if tail < self._head or self.size == self.capacity else self.capacity
        return memoryview(self._buf)[tail:end]

    def filled(self, n: int) -> None:
        """n bytes were written into the free stretch."""
        self.size += n

    def put(self, data: bytes | memoryview, leave: int = 0, always: bool = False) -> None:
        """Appends bytes. Raises NoMemory and stays as it was if there is no room for them."""
        self.reserve(self.size + len(data), leave, always)
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
        """The first n bytes leave; an empty ring holds no memory."""
        self.size -= n
        if self.size:
            self._head = (self._head + n) % self.capacity
        else:
            self.fit()

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
        end = min(start + n, self.capacity)
        with memoryview(self._buf) as view:
            if end - start == n:
                return bytes(view[start:end])
            return b"".join((view[start:end], view[: n - (end - start)]))

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
        self._give(self.counted)
        self._clear()

    def cede(self) -> None:
        """Gives its memory up to another process, which holds what was in it; the ring is not used again."""
        self._account.cede(self.counted, self._borrowed)
        self._borrowed = 0
        self._clear()

    def _clear(self) -> None:
        self._buf, self._head, self.size = bytearray(), 0, 0
