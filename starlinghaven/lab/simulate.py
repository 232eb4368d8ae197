"""A deterministic network of cores in one process: the same core that sockets drive, from a seed.

Time is virtual (ms). Datagrams are lost, delayed, doubled and so reordered by chance, and cut by a
predicate; members are killed, restarted with nothing and stalled. The same seed gives the same run.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from starlinghaven.fleet.members import Change
from starlinghaven.fleet.settings import Limits
from starlinghaven.fleet.swim import Membership
from starlinghaven.fleet.universe import Address, Universe
from starlinghaven.lab.timeline import Timeline

UNIX_MS = 1_796_000_000_000.0  # Unix time at the start of every simulation
INBOX = 256  # datagrams that wait for a stalled process; the kernel drops the rest


class Core(Protocol):
    """What the simulator and the socket task drive alike."""

    def next_due(self) -> float: ...
    def advance(self, now: float) -> None: ...
    def receive(self, data: bytes, source: Address, now: float) -> None: ...
    def take_out(self) -> list[tuple[Address, bytes]]: ...
    def take_changes(self) -> list[Change]: ...


Make = Callable[[Universe, Random, float, float], Core]


def addresses(n: int) -> list[Address]:
    return [(f"10.3.{k // 250}.{k % 250 + 1}", 7946) for k in range(n)]


def membership(limits: Limits) -> Make:
    """Makes the product's core."""
    return lambda universe, random, now, unix: Membership(universe, limits, random, now, unix)


@dataclass(slots=True)
class Host:
    """One member's machine."""

    core: Any
    up: bool = True
    stalled: bool = False
    inbox: list[tuple[bytes, int]] = field(default_factory=list)
    wake: float = math.inf  # the wake-up that is in the heap
    delivered: int = 0
    delivered_bytes: int = 0


class Network(Timeline):
    """N members and what lies between them."""

    def __init__(
        self, n: int, make: Make, seed: int, *, loss: float = 0.0, double: float = 0.0,
        delay_ms: tuple[float, float] = (0.5, 5.0), start_over_ms: float = 1_000.0,
        lists: Callable[[int], list[Address]] | None = None,
    ) -> None:  # fmt: skip
        """`lists` gives the peers that a member is told, where they differ; `delay_ms` is its range."""
        super().__init__()
        self.n, self.random = n, Random(seed)
        self.loss, self.double, self.delay = loss, double, delay_ms
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.spoil: Callable[[int, int, bytes], bytes | None] = lambda a, b, data: data
        self.changes: list[tuple[int, Change]] = []  # (observer, change)
        self._addresses = addresses(n)
        self._number = {a: k for k, a in enumerate(self._addresses)}
        self._make, self._lists = make, lists or (lambda k: self._addresses)
        self.hosts: dict[int, Host] = {}
        for k in range(n):
            self.at(self.random.random() * start_over_ms, lambda k=k: self.start(k))  # type: ignore[misc]

    # -- faults -----------------------------------------------------------------------------------

    def start(self, k: int) -> None:
        """Starts a member, or starts it again with nothing."""
        universe = Universe(self._lists(k), k)
        core = self._make(universe, Random(self.random.randrange(1 << 60)), self.now, UNIX_MS + self.now)
        old = self.hosts.get(k)
        self.hosts[k] = host = Host(core)
        if old:
            host.delivered, host.delivered_bytes = old.delivered, old.delivered_bytes
        self._after(k)

    def kill(self, members: Iterable[int]) -> None:
        for k in members:
            self.hosts[k].up = False

    def stall(self, k: int, ms: float) -> None:
        """SIGSTOP for so long, then SIGCONT."""
        self.hosts[k].stalled = True
        self.at(self.now + ms, lambda: self._resume(k))

    def _resume(self, k: int) -> None:
        host = self.hosts[k]
        host.stalled = False
        waiting, host.inbox = host.inbox, []
        for data, source in waiting:
            self._take(k, data, source)
        self._wake(k, host)

    # -- inside -----------------------------------------------------------------------------------

    def _after(self, k: int) -> None:
        """What a core wants done after it was called."""
        host = self.hosts[k]
        self.changes += [(k, change) for change in host.core.take_changes()]
        for address, data in host.core.take_out():
            self._send(k, address, data)
        due = max(host.core.next_due(), self.now)
        if due < host.wake:
            host.wake = due
            self.at(due, lambda: self._wake(k, host))

    def _wake(self, k: int, host: Host) -> None:
        if self.hosts[k] is not host or not host.up or host.stalled:
            return
        host.wake = math.inf
        if host.core.next_due() <= self.now:
            host.core.advance(self.now)
        self._after(k)

    def _send(self, k: int, address: Address, data: bytes) -> None:
        to = self._number.get(address)
        if to is None:
            return
        for _ in range(1 + (self.random.random() < self.double)):
            if self.random.random() >= self.loss:
                self.at(self.now + self.random.uniform(*self.delay), lambda: self._arrive(k, to, data))

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        host = self.hosts.get(to)
        if host is None or not host.up or self.cut(source, to):
            return
        spoilt = self.spoil(source, to, data)
        if spoilt is None:
            return
        host.delivered += 1
        host.delivered_bytes += len(spoilt)
        if not host.stalled:
            self._take(to, spoilt, source)
        elif len(host.inbox) < INBOX:
            host.inbox.append((spoilt, source))

    def _take(self, k: int, data: bytes, source: int) -> None:
        self.hosts[k].core.receive(data, self._addresses[source], self.now)
        self._after(k)

    # -- looking ----------------------------------------------------------------------------------

    def living(self) -> list[int]:
        return [k for k, h in self.hosts.items() if h.up]

    def bytes(self) -> int:
        """Bytes delivered so far, over the whole fleet."""
        return sum(h.delivered_bytes for h in self.hosts.values())
