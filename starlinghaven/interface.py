"""Types of the decision module: settings, events and actions. No decision is taken here.

All times are milliseconds. Classes, zones, kinds and tenants are indices into the settings.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = auto()
    KEYED = auto()
    UNSAFE = auto()


class Scope(Enum):
    """The group of stores that drops repeats of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Notes(Enum):
    """Which notes the answers carry."""

    ALL = auto()
    HIT = auto()
    NONE = auto()


class Weights(Enum):
    """What the listed weight of a store tells."""

    NONE = auto()
    NOMINAL = auto()
    ROUGH = auto()
    LIVE = auto()


class Phase(Enum):
    """State of a store as listed."""

    UP = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    """Form of a list event."""

    PARTIAL = auto()
    COMPLETE = auto()
    PERSISTED = auto()
    ERROR = auto()


class Code(Enum):
    """How an attempt ended."""

    OK = auto()
    ERROR = auto()
    FULL = auto()
    TIMEOUT = auto()
    NO_CONNECTION = auto()
    RESET = auto()
    CANCELLED = auto()
    MOOT = auto()
    MISS = auto()


ANSWERED = frozenset({Code.OK, Code.MISS, Code.FULL, Code.ERROR})  # ends in which a store said something


class Note(Enum):
    """What an answer says about its copy or its fill."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHED = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    target_ms: float
    give_up_ms: float
    stretch: float = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    fresh_ms: float = 0.0
    grace_ms: float = 0.0
    parts: bool = False
    uncached: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment tells a proxy at start."""

    zone: int
    zone_proxies: tuple[int, ...]
    proxies: int
    classes: tuple[RequestClass, ...]
    origin_kind: int
    parent_kind: int = -1
    weights: Weights = Weights.NONE
    notes: Notes = Notes.NONE
    pace_kb_per_s: float = 0.0
    joins: bool = False
    direct: bool = False
    asks_for_list: bool = False
    cancels: bool = False
    second_copies: bool = False
    most_attempts: int = 1
    most_wait_ms: float = 0.0
    advises_wait: bool = False
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1.0
    dial_ms: float = 0.0  # that a connection to a store may take to come up
    parent_cold_from: float = 1.0
    parent_cold_ms: float = 0.0
    parent_fall_multiple: float = 1.0
    purge_done_ms: float = 0.0
    purge_grace_ms: float = math.inf  # from so long after it was told, a purge binds what is sent
    tells: bool = False  # other proxies hear what this one tells

    @property
    def pushback_ms(self) -> float:
        """How long a refused client is told to stay away: nothing where the settings allow no advice."""
        return self.most_wait_ms if self.advises_wait else 0.0


def validate(s: Settings) -> None:
    """Names impossible settings at once rather than at night. Errors: ValueError."""
    above = ["fall_ms", "fall_multiple", "parent_fall_multiple", "proxies", "most_attempts"]
    shares = ["cold_from", "parent_cold_from"]
    least = ["cold_ms", "parent_cold_ms", "dial_ms", "most_wait_ms", "zone"]
    least += ["purge_done_ms", "purge_grace_ms"]
    checks: list[tuple[object, str, bool]] = [(s, name, getattr(s, name) > 0) for name in above]
    checks += [(s, name, 0 < getattr(s, name) <= 1) for name in shares]
    checks += [(s, name, getattr(s, name) >= 0) for name in least]
    checks += [(s, "classes", bool(s.classes)), (s, "zone_proxies", min(s.zone_proxies, default=0) >= 0)]
    for c in s.classes:
        checks += [(c, name, getattr(c, name) > 0) for name in ("target_ms", "give_up_ms")]
        least = ["stretch", "window_ms", "fresh_ms", "grace_ms"]
        checks += [(c, name, getattr(c, name) >= 0) for name in least]
    for owner, name, fine in checks:
        if not fine:
            where = f"classes[{s.classes.index(owner)}]." if isinstance(owner, RequestClass) else ""
            raise ValueError(f"{where}{name}: {getattr(owner, name)} is not possible")


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list of stores."""

    store: str
    zone: int
    kind: int
    cell: int = 0
    phase: Phase = Phase.UP
    weight: float = 1.0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    """The list of stores, or changes to it."""

    kind: ListKind
    entries: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Own:
    """A copy of the proxy's own: its age, and how long sending it would take now."""

    age_ms: float
    ready_ms: float


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request."""

    id: int
    cls: int
    patience_ms: float
    key: str
    group: int = 0
    part: int = 0
    size_kb: float = 0.0
    again: bool = False
    own: Own | None = None
    load_share: float = 1.0  # of the limit of load: less for clients that ask for much at once, in a crowd


@dataclass(frozen=True, slots=True)
class Streaming:
    """The answer of an attempt has begun to reach the client."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one attempt."""

    request: int
    attempt: int
    store: str
    code: Code
    took_ms: float
    final: bool = False
    note: Note = Note.NONE
    waited_ms: float = 0.0
    link_age_ms: float | None = None  # since the connection on which it was answered came up, where known
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Probed:
    """The end of a probe."""

    store: str
    code: Code
    took_ms: float
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Gone:
    """The client has left; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or with no key a whole group, was purged so long ago."""

    group: int
    age_ms: float
    key: str | None = None


@dataclass(frozen=True, slots=True)
class NewsCurrent:
    """Every purge that could be heard so long ago has been told."""

    age_ms: float


@dataclass(frozen=True, slots=True)
class NewsMissed:
    """Purges and starts up to now may have been missed for good, of any object and store."""


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set earlier is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Heard:
    """How many other proxies now say that a store answers nobody, and how many that it serves."""

    store: str
    silent: int
    serving: int


@dataclass(frozen=True, slots=True)
class Spread:
    """What all proxies together counted, where enough of it is known; empty tables where it is not."""

    shares: Mapping[str, float] = field(default_factory=dict)  # weight of a cache in the hash, above 0 to 1
    hot: Mapping[int, int] = field(default_factory=dict)  # CRC-32 of an object -> number of its homes


Event = (
    Members
    | Request
    | Streaming
    | Outcome
    | Probed
    | Gone
    | Purge
    | NewsCurrent
    | NewsMissed
    | Timer
    | Heard
    | Spread
)


@dataclass(frozen=True, slots=True)
class Send:
    """Ask a store for what it holds; the origin holds everything."""

    request: int
    store: str
    timeout_ms: float
    begin_ms: float = math.inf  # it must begin within so long: a repeat's window ends then


@dataclass(frozen=True, slots=True)
class Get:
    """Ask a store, with orders for a miss."""

    request: int
    store: str
    timeout_ms: float
    source: str
    keep: int = 0
    age_ms: float = 0.0
    join: bool = False
    renew: bool = False
    begin_ms: float = math.inf  # as above


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, trying again is harmless."""

    request: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: int


@dataclass(frozen=True, slots=True)
class Serve:
    """Final answer: the proxy's own copy, or `otherwise` where the copy has gone since it was offered."""

    request: int
    otherwise: Refuse | Fail


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the list of stores, where it has to be asked for."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell other proxies that a store answers nobody, or that it serves again."""

    store: str
    silent: bool


Action = Send | Get | Serve | Refuse | Fail | Cancel | SetTimer | Watch | Tell
