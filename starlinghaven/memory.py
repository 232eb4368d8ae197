"""The memory that others can make this process hold: one budget, with an account for each kind of holder.

Whoever holds bytes for a peer takes them from an account first, and gives them back in one place. The
limits of the accounts add up to the budget's at most, so that no kind of holder can use up what another one
needs. Bytes stand for what the process really needs for a thing: its payload, and the objects round it.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

RESERVED_SHARE = 1 / 4  # of an account, left to those who hold nothing and ask for one thing at a time


class NoMemory(Exception):
    """The account asked has too little left."""


@dataclass(eq=False, slots=True)
class _Waiter:
    """One who waits for bytes of an account."""

    wanted: int
    leave: int
    granted: trio.Event = field(default_factory=trio.Event)


class Account:
    """What one kind of holder has taken from the budget. Bytes, everywhere."""

    __slots__ = ("_limit", "_memory", "_waiting", "held", "name", "peak", "refused")

    def __init__(self, memory: Memory, name: str, limit: int) -> None:
        """Made by `Memory.account`."""
        self._memory, self.name, self._limit = memory, name, limit
        self.held = self.peak = 0
        self.refused = 0  # times that too little was left
        self._waiting: deque[_Waiter] = deque()

    @property
    def memory(self) -> Memory:
        """The budget that it is a part of."""
        return self._memory

    @property
    def limit(self) -> int:
        """What it may hold at most: its part, and what another process has lent."""
        return self._limit + self._memory.borrowed

    @property
    def reserve(self) -> int:
        """What is left to those who hold nothing."""
        return int(self._limit * RESERVED_SHARE)

    @property
    def free(self) -> int:
        """What can be taken; below 0 where more is held than allowed."""
        return min(self.limit - self.held, self._memory.limit - self._memory.used)

    def allows(self, n: int, leave: int = 0) -> bool:
        """Whether n bytes can be taken so that `leave` bytes are left after that."""
        return n + leave <= self.free or not n

    def take(self, n: int, leave: int = 0) -> None:
        """Takes n bytes, if `leave` bytes are left after that. Errors: NoMemory."""
        if not self.allows(n, leave):
            self.refuse()
            raise NoMemory(f"{self.name}: {n} bytes asked for, {self.free - leave} left")
        self.take_always(n)

    def take_always(self, n: int) -> None:
        """Takes n bytes that can't be refused, be it beyond the limit."""
        self.held += n
        if self.held > self.peak:
            self.peak = self.held
        self._memory.taken(n)

    def refuse(self) -> None:
        """Counts a refusal for want of memory, also one that was foreseen by `allows`."""
        self.refused += 1

    async def wait_and_take(self, n: int, leave: int = 0) -> None:
        """Takes n bytes as soon as they are there. Those who need not leave anything go first."""
        if not self._waiting and self.allows(n, leave):
            self.take_always(n)
            return
        self.refuse()
        waiter = _Waiter(n, leave)
        self._memory.waiting += 1
        if leave:
            self._waiting.append(waiter)
        else:
            self._waiting.insert(sum(not other.leave for other in self._waiting), waiter)
        self.serve_waiting()
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            if waiter.granted.is_set():
                self.give(n)
            else:
                self._waiting.remove(waiter)
                self._memory.waiting -= 1
                self.serve_waiting()
            raise

    def give(self, n: int, borrowed: int = 0) -> None:
        """Gives n bytes back, of which so many were borrowed from another process and are paid back."""
        self.held -= n
        self._memory.gave(n, borrowed)

    def cede(self, n: int, borrowed: int = 0) -> None:
        """Gives n bytes that are held up to another process, for good: it holds them from now on."""
        self.held -= n
        self._memory.ceded(n, borrowed)

    def serve_waiting(self) -> None:
        """Gives those who wait what they asked for, in order, as far as it is there."""
        while self._waiting and self.allows(self._waiting[0].wanted, self._waiting[0].leave):
            waiter = self._waiting.popleft()
            self._memory.waiting -= 1
            self.take_always(waiter.wanted)
            waiter.granted.set()


class Memory:
    """The budget: the one place where all that is held for others is counted.

    Two processes of an upgrade have a budget each. What a connection holds when it is handed over moves from
    the one to the other, so that their sum never grows: see `cede` and `borrow`.
    """

    def __init__(self, limit: int, most: int | None = None) -> None:
        """`most`: up to where the limit may rise by what another process lends; not at all without it."""
        self.limit, self.used, self.peak = limit, 0, 0
        self.borrowed = 0
        self.waiting = 0  # takers that wait, at all accounts
        self._interruptible = True
        self._most = limit if most is None else most
        self._accounts: dict[str, Account] = {}

    def __iter__(self) -> Iterator[Account]:
        """All accounts."""
        return iter(self._accounts.values())

    def account(self, name: str, limit: int | None = None) -> Account:
        """The account of this name; a new one may hold `limit` bytes, or all that there is."""
        if name not in self._accounts:
            self._accounts[name] = Account(self, name, self.limit if limit is None else limit)
        return self._accounts[name]

    @property
    def refused(self) -> int:
        """Times that any account had too little left."""
        return sum(account.refused for account in self)

    @contextlib.contextmanager
    def uninterrupted(self) -> Iterator[None]:
        """What is given back within the block can be taken there again, ahead of those who wait."""
        self._interruptible = False
        try:
            yield
        finally:
            self._interruptible = True
            self._serve_waiting()

    def borrow(self, n: int) -> None:
        """Allows n bytes more, which another process is about to cede. Errors: NoMemory beyond the most."""
        if self.limit + n > self._most:
            raise NoMemory(f"{n} bytes to be borrowed, {self._most - self.limit} may be")
        self.limit += n
        self.borrowed += n

    def repay(self, n: int) -> None:
        """Gives up n bytes that were borrowed and are not in use."""
        self.limit -= n
        self.borrowed -= n

    # -- for accounts -----------------------------------------------------------------------------

    def taken(self, n: int) -> None:
        """An account has taken n bytes."""
        self.used += n
        if self.used > self.peak:
            self.peak = self.used

    def gave(self, n: int, borrowed: int) -> None:
        """An account has given n bytes back."""
        self.used -= n
        if borrowed:
            self.repay(borrowed)
        self._serve_waiting()

    def ceded(self, n: int, borrowed: int) -> None:
        """An account has given n bytes up to another process, of which so many were borrowed."""
        self.used -= n
        self.limit -= n
        self.borrowed -= borrowed
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        if not (self.waiting and self._interruptible):
            return
        for account in self._accounts.values():
            account.serve_waiting()


def own_account(limit: int) -> Account:
    """An account with a budget of its own, for what is bounded by itself."""
    return Memory(limit).account("own")
