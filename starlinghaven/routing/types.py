"""What passes between the engine, its fronts and its cache side. No wire is named here."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Protocol

from starlinghaven import interface as i
from starlinghaven.decisions.execution import Location
from starlinghaven.routing.timers import Due


class Result(Enum):
    """How a request ended."""

    SERVED = auto()
    UNCHANGED = auto()  # served: the copy that the client holds is the one
    REFUSED = auto()  # not done; trying again is harmless
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer. `late` and `lacking` tell why nothing was served, for fronts that can say so."""

    result: Result
    body: bytes = b""
    wait_ms: float = 0.0
    late: bool = False  # the time ran out
    lacking: bool = False  # the last store asked does not have the object and can't get it
    tag: str = ""  # of the copy that was served


class Asker(Protocol):
    """Whose request it is, as far as its share of the memory goes."""

    @property
    def held(self) -> int:
        """Bytes that its other open requests hold."""

    @property
    def alone(self) -> bool:
        """Whether it asks for nothing else at this time, and has read what it was answered."""


class Ticket(Protocol):
    """A front's hold on one request. The engine calls `answer` once, unless the client leaves.

    After a call that raised, or that may have been the first, it calls again: a front passes over the second.
    """

    def answer(self, answer: Answer) -> None: ...

    @property
    def left(self) -> bool:
        """Whether the client has gone, also where `Left` is still on its way through the queue."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request as a front has taken it. Times are on the module's clock."""

    id: str
    cls: int
    taken_ms: float
    patience_ms: float
    key: str = ""
    part: int | None = None
    group: int = 0
    size_kb: float = 0.0
    idem: str = ""
    have: str = ""
    again: bool = False
    read_ms: float = 0.0  # when a front had read it; 0 where there is no reading
    purgeable: bool = False  # its group is known: a purge finds a copy of it
    body: bytes = b""


@dataclass(eq=False, slots=True)
class Attempt:
    """One request to one store, as the Router ordered it. Compared by identity."""

    ask: Ask
    request: int
    number: int
    store: str
    address: str
    timeout_ms: float
    sent_ms: float
    source: str = ""
    keep: int = 0
    age_ms: float = 0.0
    join: bool = False
    renew: bool = False
    location: Location = Location(-1, -1)  # of the store when the attempt was decided
    begin_by: float = math.inf  # ms of the clock from which it may not begin any more
    before: Sequence[Attempt] = ()  # the request's attempts, this one too
    link: object = None  # the connection on which it was written; its id is never used on it again
    put_off: bool = False  # its time-out was put off once, to read its answer
    timer: Due[Any] | None = None  # its time-out
    written: bool = False  # it has gone out, in whole or in part, and may run
    connected_ms: float | None = None  # by when its connection had come up, once it is written on one


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended, as the cache side saw it."""

    attempt: Attempt
    code: i.Code
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    since_ms: float = 0.0  # Unix time at which the origin gave the copy out; 0 is unknown
    note: int = 0
    waited_ms: float = 0.0
    report: Mapping[str, float] = field(default_factory=dict)
    held: int = field(
        default=0, compare=False
    )  # bytes of the budget that its body holds, until it is handled


class CacheSide(Protocol):
    """Carries attempts out. Neither call waits; ends come back as `Ended` through the queue."""

    def send(self, attempt: Attempt) -> None: ...

    def drop(self, attempt: Attempt) -> None:
        """Gives an attempt up; nothing is said of it any more."""

    def has_unread(self, attempt: Attempt) -> bool:
        """Whether something that its store said, perhaps of this attempt, lies unread."""

    def forget(self, store: str) -> None:
        """A store has left the list: nothing of it is kept."""


@dataclass(frozen=True, slots=True)
class Store:
    """One store of the fleet. The start is a Unix time; 0 is long ago."""

    id: str
    address: str
    phase: i.Phase
    zone: int
    kind: int
    cell: int
    weight: float
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class Taken:
    """A front has taken a request."""

    ask: Ask
    ticket: Ticket
    held: int = field(default=0, compare=False)  # bytes of the budget taken for it by `Engine.admit`
    alone: bool = field(default=False, compare=False)  # its client asks for nothing else at this time


@dataclass(frozen=True, slots=True)
class Left:
    """The client has left; nothing is owed any more."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class FleetNews:
    """The list of stores, or changes to it; of a long one a piece."""

    kind: i.ListKind
    stores: tuple[Store, ...]
    first: bool = True  # no piece of the same list came before
    last: bool = True  # ... and none follows


@dataclass(frozen=True, slots=True)
class PurgeNews:
    group: int
    key: str | None
    unix_ms: float


@dataclass(frozen=True, slots=True)
class NewsRequired:
    """There is a change log to follow: without news from it, copies are not served for long."""


@dataclass(frozen=True, slots=True)
class NewsCurrent:
    """All that the change log held at this moment (ms on the engine's clock) has been posted."""

    as_of_ms: float


@dataclass(frozen=True, slots=True)
class NewsMissed:
    """The change log lacks events: what they told, purges too, will never be heard."""


@dataclass(slots=True)
class Hand:
    """An operator takes a store out of use, or puts it back. `answer` hears whether there is such a store."""

    store: str
    out: bool
    unix_ms: float
    answer: Callable[[bool], None] | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class PeerNews:
    """What other proxies say of a store: how many that it is silent, how many that it serves."""

    store: str
    silent: int
    serving: int


@dataclass(frozen=True, slots=True)
class SpreadNews:
    """What all proxies together found: shares of caches in the hash, and hot objects with their homes."""

    shares: Mapping[str, float]
    hot: Mapping[int, int]


class Observer(Protocol):
    """Hears what goes to the caches of the own zone and what comes back. No call waits. Times in ms."""

    def asked(self, key: str) -> None: ...

    def sent(self, store: str, now: float) -> None: ...

    def ended(self, store: str, served: bool | None, now: float) -> None: ...


LogNews = FleetNews | PurgeNews | NewsRequired | NewsCurrent | NewsMissed
"""What comes from the change log. It is applied in order, ahead of whatever else waits."""

Event = Taken | Left | Ended | LogNews | Hand | PeerNews | SpreadNews


class Counters:
    """Plain counts by name. One object for the whole program."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, name: str, n: int = 1) -> None:
        self._counts[name] = self._counts.get(name, 0) + n

    def __getitem__(self, name: str) -> int:
        return self._counts.get(name, 0)

    def line(self) -> str:
        return " ".join(f"{name}={n}" for name, n in sorted(self._counts.items()))
