"""What the models of states share: a clock, a cache side, tickets and connections that only record."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from starlinghaven import interface as i
from starlinghaven.memory import own_account
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.request_memory import Admission, EngineAccounts, admitted
from starlinghaven.routing.types import (
    Answer,
    Ask,
    Asker,
    Attempt,
    Counters,
    Event,
    FleetNews,
    Store,
    Taken,
)
from starlinghaven.transport.connection import ConnectionAccounts
from tests.helpers import CACHE, HUB, OFFICE, ORIGIN, PARENT, SETTINGS

KINDS = ((OFFICE, CACHE), (OFFICE, CACHE), (HUB, PARENT), (HUB, ORIGIN))
STORES = tuple(
    Store(f"s-{n}", f"127.0.0.1:{n + 1}", i.Phase.UP, zone, kind, 0, 6.0, 0.0)
    for n, (zone, kind) in enumerate(KINDS)
)


def drive(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine that never has to wait."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waits")


def accounts(limit: int) -> ConnectionAccounts:
    """All that connections hold, from one account with so many bytes."""
    return ConnectionAccounts.shared(own_account(limit))


class Time:
    """A clock that the steps move."""

    def __init__(self) -> None:
        self.s = 1_000_000.0

    def clock(self) -> Clock:
        return Clock(lambda: self.s, lambda: self.s)


class Recorder:
    """A ticket that keeps its answers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.left = False

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)


class Stores:
    """A cache side on which attempts stay out until a step ends them."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []
        self.given_up: list[Attempt] = []
        self.sent: list[Attempt] = []
        self.forgotten: list[str] = []
        self.unread: list[Attempt] = []  # whose stores have said something that was not read

    def send(self, attempt: Attempt) -> None:
        assert all(a.request != attempt.request for a in self.out), "two attempts at once"
        attempt.written = True
        self.out.append(attempt)
        self.sent.append(attempt)

    def drop(self, attempt: Attempt) -> None:
        self.out.remove(attempt)
        self.given_up.append(attempt)

    def has_unread(self, attempt: Attempt) -> bool:
        return attempt in self.unread

    def forget(self, store: str) -> None:
        self.forgotten.append(store)


class Wire:
    """A connection that keeps what is written to it."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.closed = self.hung_up = self.pending = False
        self.heard_at = 0.0
        self.handed_over = False
        self.takes = True  # whether the system takes what is written
        self.queued = self.sent = self.unsent = 0
        self.received = self.unread = 0

    def has_room(self, size: int, leave: int = 0) -> bool:
        return True

    def write(self, *pieces: bytes, instead: bytes = b"", leave: int = 0) -> bool:
        if self.closed:
            return False
        data = b"".join(pieces)
        self.written.append(data)
        self.queued += len(data)
        if self.takes:
            self.sent += len(data)
        return True

    def abort(self) -> None:
        self.closed = True

    finish = abort

    def shun(self, seconds: float) -> None:
        self.abort()

    def unread_for_s(self) -> float:
        return 0.0

    def unread_input(self) -> bytes:
        return b""


class Posts:
    """An engine's queue that only keeps what is posted."""

    def __init__(self) -> None:
        self.time = Time()
        self.clock, self.events, self.counters = self.time.clock(), list[Event](), Counters()
        self.begins = True
        self.accounts = EngineAccounts()

    def may_begin(self, attempt: Attempt) -> bool:
        return self.begins

    def admit(self, ask: Ask, asker: Asker) -> Admission | None:
        return admitted(self.accounts.requests, ask, asker, asker.alone)

    def withdraw(self, taken: Taken) -> None:
        self.accounts.requests.give(taken.held)

    async def post(self, event: Event) -> None:
        self.events.append(event)


def engine(time: Time, stores: Stores, **settings: Any) -> Engine:
    """An engine that is stepped by hand, with a small fleet."""
    made = Engine(replace(SETTINGS, second_copies=False, **settings), 7, time.clock(), Counters())
    made.caches = stores
    made.handle(FleetNews(i.ListKind.COMPLETE, STORES))
    return made
