"""What a soak does and when, drawn from its seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from random import Random

from starlinghaven.lab.soak import deployment as deployments
from starlinghaven.lab.soak.deployment import Deployment

MOST_OUTAGE_S = 11.0  # of the change log; the rule on purges binds 7.55 s after one at the latest
MOST_HIDDEN_S = 7.0  # that a drain may be hidden by trouble: a longer one can't be told from no drain
HEARING_S = 2.0  # without trouble in which a process surely hears the log
QUIET_LOG = 0.4  # share of the processes whose change log has no trouble
CALM_END_S = 4.0  # at the end of a soak, in which no fault begins
PURGE_RATES = (0.9, 0.9, 4.0)  # purges a second
BURST_SHARE = 0.6  # of the soaks: one process gets bursts of impatient clients, and short stops in series
BURST_CONNECTIONS = (6, 10)
SERIES_S = (1.0, 3.0)  # how long a series of stops takes
CROWDS = (150, 150, 400)  # idle connections of a crowd: of 256 places for clients


class Kind(StrEnum):
    """One kind of action."""

    PURGE_OBJECT = "purge-object"
    PURGE_GROUP = "purge-group"
    LOG_SILENT = "log-silent"
    LOG_REFUSED = "log-refused"
    LOG_SLOW = "log-slow"
    LOG_RESTORED = "log-restored"
    LOG_SKIPS = "log-skips"
    LOG_MOVED = "log-moved"
    KILL = "kill"
    STOP = "stop"
    TERMINATE = "terminate"
    SIGNALS = "signals"
    CROWD = "crowd"
    BURSTS = "bursts"
    STOPS = "stops"
    STORE_FAULT = "store-fault"
    STORE_WELL = "store-well"
    DRAIN = "drain"
    RESTART_COLD = "restart-cold"
    REPLACE = "replace"
    EXCLUDE = "exclude"
    INCLUDE = "include"


class StoreFault(StrEnum):
    """What is wrong with a store for a while."""

    REFUSES = "refuses"  # nothing listens at its address
    LATE = "late"  # answers come late
    CLOSES_IDLE = "closes-idle"  # connections without a request are closed early
    VANISHED = "vanished"  # nothing is answered any more, connections stay open
    RESET_BEFORE = "reset-before"  # connections are reset before a request is read whole
    RESET_AFTER = "reset-after"  # ... after one was read
    RESET_AMID = "reset-amid"  # ... within its answer
    HANGS = "hangs"
    OVERLOAD = "overload"
    CRASHED = "crashed"
    NOT_HERE = "not_here"
    CUT = "cut"  # answers of too few strings
    SPOILT = "spoilt"  # answers with other bytes in them, or with numbers out of range
    DOUBLED = "doubled"  # the same answer again, some ms later
    ENDLESS = "endless"  # answers that dribble and never end


@dataclass(frozen=True, slots=True)
class Action:
    """One fault, change or purge, so many seconds after all are ready, and what it needs to know."""

    at_s: float
    kind: Kind
    proxy: int = 0
    seconds: float = 0.0  # how long it lasts, or how late frames come
    choice: int = 0  # which object, group or store; of a crowd or of bursts: how many connections
    fault: StoreFault | None = None


@dataclass(frozen=True, slots=True)
class WallStep:
    """The wall clock of all processes of the program steps, so many seconds after their start."""

    after_s: float
    by_s: float


@dataclass(frozen=True, slots=True)
class SystemFaults:
    """What goes wrong between the program and the system; see shim.py."""

    calls_fail: float = 0.0  # share of calls of sockets that fail for a moment, or do less than asked
    folder_fails: float = 0.0  # share of writes to the lasting folder that fail
    wall_steps: tuple[WallStep, ...] = ()
    dies_writing: float = 0.0  # share of writes to the lasting folder in whose middle the process is killed


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """What happens to the datagrams between the processes; see `lab.faults`."""

    loss: float = 0.0
    double: float = 0.0
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole soak."""

    seed: int
    seconds: float
    deployment: Deployment
    system: SystemFaults
    network: NetworkFaults = NetworkFaults()
    actions: tuple[Action, ...] = field(default=())

    @property
    def proxies(self) -> int:
        """How many processes of the program are played."""
        return self.deployment.proxies


def draw(seed: int, seconds: float, proxies: int, objects: int, groups: int) -> Plan:
    """The plan of a seed; `proxies` 0 stands for a number by chance."""
    random = Random(seed)
    deployment = deployments.draw(random, proxies)
    actions = list(_purges(random, seconds, objects, groups))
    outages: list[tuple[float, float]] = []
    for proxy in range(deployment.proxies):
        found = _log_faults(random, seconds, proxy) + _process_faults(random, seconds, proxy)
        outages += _deaf(found, seconds)
        actions += found
        if random.random() < 0.25:
            actions.append(Action(random.uniform(1.0, seconds / 2), Kind.CROWD, proxy, seconds / 3))
    actions += _store_faults(random, seconds, deployment)
    actions += _list_changes(random, seconds, deployment, outages)
    actions += _by_hand(random, seconds, deployment)
    system = _system_faults(random, seconds)
    later = Random(f"{seed} later")  # of its own: what was drawn before it was there stays as it was
    system = replace(system, dies_writing=later.choice((0.0, 0.0, 0.3)))
    network = later.choice((NetworkFaults(), NetworkFaults(0.2, 0.2, 300.0)))
    actions += _second_by_hand(later, actions)
    actions += _bursts(Random(f"{seed} bursts"), seconds, deployment.proxies)
    actions = [_sized(action, later) for action in sorted(actions, key=lambda action: action.at_s)]
    return Plan(seed, seconds, deployment, system, network, tuple(actions))


def _bursts(random: Random, seconds: float, proxies: int) -> list[Action]:
    """Clients of one process that ask for much at once and leave soon, and stops of it meanwhile."""
    if random.random() >= BURST_SHARE:
        return []
    proxy, at = random.randrange(proxies), random.uniform(1.0, seconds / 4)
    lasts = random.uniform(seconds / 4, seconds / 2)
    found = [Action(at, Kind.BURSTS, proxy, lasts, choice=random.choice(BURST_CONNECTIONS))]
    for _ in range(2):
        series_at = at + random.uniform(0.5, lasts - 1.0)
        found.append(Action(series_at, Kind.STOPS, proxy, random.uniform(*SERIES_S)))
    return found


def _sized(action: Action, random: Random) -> Action:
    """A crowd with the number of its connections; other actions as they are."""
    return replace(action, choice=random.choice(CROWDS)) if action.kind is Kind.CROWD else action


def _system_faults(random: Random, seconds: float) -> SystemFaults:
    calls = random.choice((0.0, 0.0, 0.01, 0.05))
    folder = random.choice((0.0, 0.5))
    steps = tuple(
        WallStep(random.uniform(2.0, seconds), random.choice((-3_600.0, -5.0, 5.0, 3_600.0)))
        for _ in range(random.choice((0, 0, 1, 2)))
    )
    return SystemFaults(calls, folder, tuple(sorted(steps, key=lambda step: step.after_s)))


def _purges(random: Random, seconds: float, objects: int, groups: int) -> list[Action]:
    found, at = [], 1.0
    rate = random.choice(PURGE_RATES)
    while at < seconds:
        whole = random.random() < 0.2
        kind = Kind.PURGE_GROUP if whole else Kind.PURGE_OBJECT
        choice = random.randrange(groups if whole else min(objects, 6))  # mostly what is asked for much
        found.append(Action(at, kind, choice=choice))
        at += random.expovariate(rate)
    return found


def _deaf(actions: list[Action], seconds: float) -> list[tuple[float, float]]:
    """When one process may not hear the log, for stretches with less than HEARING_S between them."""
    spans = []
    for action in actions:
        until = action.at_s + action.seconds
        if action.kind in (Kind.LOG_SILENT, Kind.LOG_REFUSED, Kind.LOG_SLOW):
            ends = (Kind.LOG_RESTORED, Kind.LOG_MOVED)
            later = [a.at_s for a in actions if a.kind in ends and a.at_s > action.at_s]
            late_s = action.seconds if action.kind is Kind.LOG_SLOW else 0.0
            until = min(later, default=seconds) + late_s
        spans.append((action.at_s, until))
    joined: list[tuple[float, float]] = []
    for since, until in sorted(spans):
        if joined and since <= joined[-1][1] + HEARING_S:
            joined[-1] = joined[-1][0], max(joined[-1][1], until)
        else:
            joined.append((since, until))
    return joined


def _log_faults(random: Random, seconds: float, proxy: int) -> list[Action]:
    """Troubles of the change log, one after the other, each with its end."""
    found, at = list[Action](), random.uniform(1.0, 4.0)
    if random.random() < QUIET_LOG:
        return found
    kinds = (
        Kind.LOG_SILENT,
        Kind.LOG_SILENT,
        Kind.LOG_REFUSED,
        Kind.LOG_SLOW,
        Kind.LOG_SKIPS,
        Kind.LOG_MOVED,
    )
    while at < seconds - CALM_END_S:
        kind, lasts = random.choice(kinds), random.uniform(0.5, MOST_OUTAGE_S)
        late = random.uniform(0.5, 9.0)
        if kind is Kind.LOG_SKIPS:
            found.append(Action(at, kind, proxy))
            lasts = 1.0
        elif kind is Kind.LOG_MOVED:
            found.append(Action(at, Kind.LOG_SILENT, proxy))
            found.append(Action(at + lasts, kind, proxy))
        else:
            found.append(Action(at, kind, proxy, late))
            found.append(Action(at + lasts, Kind.LOG_RESTORED, proxy))
        at += lasts + random.uniform(0.5, 4.0)
    return found


def _process_faults(random: Random, seconds: float, proxy: int) -> list[Action]:
    """What is done to a process, one thing after the other."""
    found, at = [], random.uniform(3.0, 9.0)
    while at < seconds - CALM_END_S:
        kind = random.choice((Kind.KILL, Kind.STOP, Kind.STOP, Kind.TERMINATE, Kind.SIGNALS))
        lasts = random.choice((0.3, 1.0, 2.5, 8.0)) if kind is Kind.STOP else random.uniform(0.1, 1.5)
        found.append(Action(at, kind, proxy, lasts))
        at += lasts + random.uniform(5.0, 10.0)
    return found


def _store_faults(random: Random, seconds: float, deployment: Deployment) -> list[Action]:
    """Each store has a fault now and then; the origin seldom."""
    found = []
    for number, store in enumerate(deployment.stores):
        at = random.uniform(0.5, 5.0)
        while at < seconds - CALM_END_S:
            lasts = random.uniform(0.5, 4.0)
            if store.kind != 2 or random.random() < 0.2:
                fault = random.choice(list(StoreFault))
                found.append(Action(at, Kind.STORE_FAULT, choice=number, fault=fault))
                found.append(Action(at + lasts, Kind.STORE_WELL, choice=number))
            at += lasts + random.uniform(0.5, 5.0)
    return found


def _list_changes(
    random: Random, seconds: float, deployment: Deployment, outages: list[tuple[float, float]]
) -> list[Action]:
    """Caches that drain, restart cold or give their address to a new one; the first cache stays."""
    numbers = [n for n, s in enumerate(deployment.stores) if s.kind != 2 and s.zone != 2]
    found = []
    for number in numbers[1:]:
        kind = random.choice((Kind.DRAIN, Kind.DRAIN, Kind.RESTART_COLD, Kind.REPLACE))
        moments = [random.uniform(2.0, 0.7 * seconds) for _ in range(20)]
        heard = [at for at in moments if kind is Kind.RESTART_COLD or not _hidden(at, outages)]
        if heard:
            found.append(Action(heard[0], kind, seconds=random.uniform(1.0, 4.0), choice=number))
    return found


def _hidden(at: float, outages: list[tuple[float, float]]) -> bool:
    """Whether some process may not hear of a change until long after it."""
    return any(since <= at + HEARING_S and until > at + MOST_HIDDEN_S for since, until in outages)


def _by_hand(random: Random, seconds: float, deployment: Deployment) -> list[Action]:
    """An operator takes a cache out of use and puts it back."""
    if random.random() < 0.5:
        return []
    at, proxy = random.uniform(1.0, seconds / 2), random.randrange(deployment.proxies)
    back = at + random.uniform(4.0, seconds / 2)
    return [Action(at, Kind.EXCLUDE, proxy, choice=1), Action(back, Kind.INCLUDE, proxy, choice=1)]


def _second_by_hand(random: Random, actions: list[Action]) -> list[Action]:
    """Another store is often taken out of use too: a write that is cut short must not lose the first."""
    first = [action for action in actions if action.kind is Kind.EXCLUDE and random.random() < 0.7]
    return [replace(action, at_s=action.at_s + random.uniform(0.5, 2.0), choice=2) for action in first]
