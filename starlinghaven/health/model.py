"""What an edge proxy tells balancers about itself: a state machine that does no I/O.

The program measures `Facts` (see `starlinghaven.program.operations.health`) and passes them to `Health.step`
with the time; the machine answers a `Verdict`: one of the `State`s, the weight in percent and the
cause of the last change. It reads no clock and no socket, so every transition is tested by feeding
facts alone.

States, in the order a proxy usually passes them::

    starting --list--> warming --confirmed--> ready <--> degraded
                                               |  ^
                                      pressure v  | calm for `calm_ms`
                                            overloaded
    any --no store reachable--> unavailable;  any --SIGTERM--> draining --quiet--> stopped

Hysteresis: a pressure (queue, open requests, descriptors, clients' connections, loop lag) enters
`overloaded` at its `enter` level and leaves it only once every pressure is at or below its `leave`
level for `calm_ms`; a move into a serving state waits until the current state has lasted `hold_ms`, while
bad news is said at once. Draining and stopped are never left and are taken at once: a balancer
must hear of a drain before connections close.

Sources: HAProxy's agent-check (configuration manual, "agent-check"), the Kubernetes split of
liveness and readiness, and the gRPC Health Checking Protocol (grpc.health.v1) say what a
balancer does with each state; `starlinghaven.health.wire` writes them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class State(enum.Enum):
    STARTING = "starting"  # no list of stores yet
    WARMING = "warming"  # a list is held, but it is the old one: not yet confirmed
    READY = "ready"
    DEGRADED = "degraded"  # ready, with fewer stores reachable (a lower weight), or deaf to the change log
    OVERLOADED = "overloaded"  # alive, but new work would wait: balancers send it elsewhere
    UNAVAILABLE = "unavailable"  # alive, but nothing could be served: no store reachable, or stalled
    DRAINING = "draining"  # SIGTERM: what is open is finished, nothing new is welcome
    STOPPED = "stopped"


SERVING = frozenset({State.READY, State.DEGRADED})  # states in which new work is welcome
FIRST = frozenset({State.STARTING, State.WARMING})  # left once, as soon as they may be: nothing flaps


class ListSource(enum.Enum):
    NONE = "none"  # nothing known of the stores
    INHERITED = "inherited"  # the list given at the start: it may be stale by minutes
    CONFIRMED = "confirmed"  # a list of the change log since the start, or stores heard from


@dataclass(frozen=True, slots=True)
class Facts:
    """One reading of the proxy. Times in ms on one monotonic clock; counts are plain numbers.

    `*_limit` of 0 means unknown; that pressure then counts as none.
    """

    at_ms: float
    source: ListSource = ListSource.NONE
    since_start_ms: float = 0.0  # time since the process started
    own_stores: int = 0  # caches of the own zone that are listed
    reachable: int = 0  # of them: up and not resting
    heard: int = 0  # stores that answered since the start
    queue: int = 0  # events waiting for the engine
    queue_limit: int = 0
    open: int = 0  # requests owed an answer
    open_limit: int = 0
    fds: int = 0  # descriptors in use
    fds_limit: int = 0
    clients: int = 0  # clients' connections held; at the limit, new ones wait in the accept queue
    clients_limit: int = 0
    lag_ms: float = 0.0  # how late the event loop wakes, lately
    engine_idle_ms: float = 0.0  # since the engine last took an event while some were waiting
    news_unreadable: bool = False  # what the change log sends can't be read: purges and drains go unheard
    unserved: float = 0.0  # share of recent answers that did not serve, 0 to 1
    draining: bool = False
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class Level:
    """Enter at `enter`, leave at `leave` or below; `leave` <= `enter`."""

    enter: float
    leave: float


@dataclass(frozen=True, slots=True)
class Thresholds:
    """The operator's settings. Shares are 0 to 1, times in ms. Checked by `check`."""

    queue: Level = Level(0.9, 0.5)  # share of the engine's queue
    open: Level = Level(0.9, 0.7)  # share of the requests held at once
    fds: Level = Level(0.9, 0.8)  # share of RLIMIT_NOFILE
    clients: Level = Level(0.95, 0.8)  # share of the places for clients' connections
    lag_ms: Level = Level(250.0, 50.0)  # event-loop lag
    stall_ms: float = 1000.0  # engine not turning while events wait: unavailable
    min_reachable: float = 0.01  # share of own stores reachable below which the proxy is unavailable
    degraded_below: float = 1.0  # share reachable below which it is degraded
    confirm_heard: float = 0.5  # share of own stores heard from that confirms an inherited list
    warming_most_ms: float = 5000.0  # an inherited list counts as confirmed after this at most
    hold_ms: float = 500.0  # least time in a state, against flapping
    calm_ms: float = 1000.0  # pressures below `leave` for so long before overloaded is left
    least_weight: int = 1  # % given while serving, so that recovery is seen

    def check(self) -> list[str]:
        """Reasons why these thresholds are unusable; empty if they are fine."""
        wrong = []
        for name in ("queue", "open", "fds", "clients"):
            level: Level = getattr(self, name)
            if not 0.0 < level.leave <= level.enter <= 1.0:
                wrong.append(
                    f"{name}: want 0 < leave <= enter <= 1, got enter={level.enter} leave={level.leave}"
                )
        if not 0.0 < self.lag_ms.leave <= self.lag_ms.enter:
            wrong.append(
                f"lag-ms: want 0 < leave <= enter, got enter={self.lag_ms.enter} leave={self.lag_ms.leave}"
            )
        for name in ("stall_ms", "warming_most_ms", "hold_ms", "calm_ms"):
            if not getattr(self, name) > 0:
                wrong.append(f"{name.replace('_', '-')}: must be above 0 ms")
        for name in ("min_reachable", "degraded_below", "confirm_heard"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                wrong.append(f"{name.replace('_', '-')}: a share, 0 to 1")
        if self.min_reachable > self.degraded_below:
            wrong.append("min-reachable must not exceed degraded-below")
        if not 1 <= self.least_weight <= 100:
            wrong.append("least-weight: 1 to 100 percent")
        if self.stall_ms <= self.lag_ms.enter:
            wrong.append("stall-ms must exceed lag-ms enter: a stall is worse than lag")
        return wrong


@dataclass(frozen=True, slots=True)
class Verdict:
    """What balancers are told. `weight` in percent, 0 unless serving; `cause` names the last change."""

    state: State
    weight: int
    cause: str
    since_ms: float
    retry_after_s: int = 0  # when to come back, for HTTP's Retry-After; 0: not said

    @property
    def serving(self) -> bool:
        return self.state in SERVING


@dataclass(slots=True)
class Health:
    """The state machine. Feed it facts in time order; it keeps its own memory for hysteresis."""

    limits: Thresholds = field(default_factory=Thresholds)
    state: State = State.STARTING
    cause: str = "process started"
    since_ms: float = 0.0
    confirmed: bool = False
    calm_from_ms: float | None = None  # since when every pressure has been below its leave level
    changes: int = 0

    def step(self, facts: Facts) -> Verdict:
        """The verdict for this reading. Raises nothing; facts out of range are taken as given.

        A change into a serving state waits until the current one has lasted `hold_ms`: recovery
        is said late rather than twice. Starting and warming are left at once, and every other
        change is said at once.
        """
        wanted, cause = self._wanted(facts)
        held = facts.at_ms - self.since_ms < self.limits.hold_ms and self.state not in FIRST
        final = self.state in (State.DRAINING, State.STOPPED)
        if wanted is not self.state and not (final and wanted is not State.STOPPED):
            if not (wanted in SERVING and held):
                self.state, self.cause, self.since_ms = wanted, cause, facts.at_ms
                self.changes += 1
        return Verdict(self.state, self._weight(facts), self.cause, self.since_ms, self._retry_after())

    def _wanted(self, f: Facts) -> tuple[State, str]:
        t = self.limits
        if f.stopped:
            return State.STOPPED, "nothing left to answer"
        if f.draining:
            return State.DRAINING, "told to stop (SIGTERM)"
        if f.engine_idle_ms >= t.stall_ms:
            return State.UNAVAILABLE, f"engine stalled {f.engine_idle_ms:.0f} ms with events waiting"
        if f.source is ListSource.NONE:
            return State.STARTING, "no list of stores yet"
        if not self.confirmed:
            self.confirmed = self._confirms(f)
            if not self.confirmed:
                return State.WARMING, f"old list, {f.heard} of {f.own_stores} stores heard from"
        share = f.reachable / f.own_stores if f.own_stores else 0.0
        if share < t.min_reachable or f.reachable == 0:
            return State.UNAVAILABLE, f"{f.reachable} of {f.own_stores} own stores reachable"
        over = self._pressure(f)
        if over:
            self.calm_from_ms = None
            return State.OVERLOADED, over
        if self.state is State.OVERLOADED:
            if self._calm(f):
                self.calm_from_ms = self.calm_from_ms if self.calm_from_ms is not None else f.at_ms
                if f.at_ms - self.calm_from_ms < t.calm_ms:
                    return State.OVERLOADED, self.cause
            else:
                self.calm_from_ms = None
                return State.OVERLOADED, self.cause
        self.calm_from_ms = None
        if share < t.degraded_below:
            return State.DEGRADED, f"{f.reachable} of {f.own_stores} own stores reachable"
        if f.news_unreadable:
            return State.DEGRADED, "the change log can't be read"
        return State.READY, "list confirmed, stores reachable"

    def _confirms(self, f: Facts) -> bool:
        """An inherited list is believed once the change log spoke, stores answered, or time passed."""
        t = self.limits
        if f.source is ListSource.CONFIRMED:
            return True
        if f.own_stores and f.heard / f.own_stores >= t.confirm_heard and f.heard > 0:
            return True
        return f.since_start_ms >= t.warming_most_ms

    def _pressure(self, f: Facts) -> str:
        """The first pressure at or above its `enter` level, named; empty if none."""
        t = self.limits
        for name, used, limit, level in (
            ("queue", f.queue, f.queue_limit, t.queue),
            ("open requests", f.open, f.open_limit, t.open),
            ("descriptors", f.fds, f.fds_limit, t.fds),
            ("clients' connections", f.clients, f.clients_limit, t.clients),
        ):
            if limit and used / limit >= level.enter:
                return f"{name} {used} of {limit}"
        if f.lag_ms >= t.lag_ms.enter:
            return f"event loop {f.lag_ms:.0f} ms late"
        return ""

    def _calm(self, f: Facts) -> bool:
        t = self.limits
        shares = (
            (f.queue, f.queue_limit, t.queue),
            (f.open, f.open_limit, t.open),
            (f.fds, f.fds_limit, t.fds),
            (f.clients, f.clients_limit, t.clients),
        )
        low = all(not limit or used / limit <= level.leave for used, limit, level in shares)
        return low and f.lag_ms <= t.lag_ms.leave

    def _weight(self, f: Facts) -> int:
        if self.state not in SERVING:
            return 0
        share = f.reachable / f.own_stores if f.own_stores else 0.0
        served = 1.0 - min(max(f.unserved, 0.0), 1.0)
        return max(round(100 * share * served), self.limits.least_weight)

    def _retry_after(self) -> int:
        """Seconds a client of HTTP is told to wait: how long the state is likely to last, at least 1."""
        match self.state:
            case State.OVERLOADED:
                return max(round(self.limits.calm_ms / 1000), 1)
            case State.WARMING | State.STARTING:
                return max(round(self.limits.warming_most_ms / 1000), 1)
            case State.UNAVAILABLE:
                return max(round(self.limits.hold_ms / 1000), 1)
            case _:
                return 0
