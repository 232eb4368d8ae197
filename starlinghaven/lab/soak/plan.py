"""What a soak does and when, drawn from its seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

MOST_OUTAGE_S = 11.0  # of the change log; the rule on purges binds 7.55 s after one at the latest
CALM_END_S = 4.0  # at the end of a soak, in which no fault begins
CROWD = 150  # idle connections of a crowd


class Kind(StrEnum):
    """One kind of action. Those on the log and on processes concern one proxy."""

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


@dataclass(frozen=True, slots=True)
class Action:
    """One fault or purge: seconds after all are ready, and what it needs to know."""

    at_s: float
    kind: Kind
    proxy: int = 0
    seconds: float = 0.0  # how long it lasts, or how late frames come
    choice: int = 0  # which object or group


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole soak."""

    seed: int
    seconds: float
    proxies: int
    actions: tuple[Action, ...] = field(default=())


def draw(seed: int, seconds: float, proxies: int, objects: int, groups: int) -> Plan:
    """The plan of a seed: purges all through, and one chain of faults for each proxy."""
    random = Random(seed)
    actions = list(_purges(random, seconds, objects, groups))
    for proxy in range(proxies):
        actions += _log_faults(random, seconds, proxy)
        actions += _process_faults(random, seconds, proxy)
        if random.random() < 0.25:
            actions.append(Action(random.uniform(1.0, seconds / 2), Kind.CROWD, proxy, seconds / 3))
    return Plan(seed, seconds, proxies, tuple(sorted(actions, key=lambda action: action.at_s)))


def _purges(random: Random, seconds: float, objects: int, groups: int) -> list[Action]:
    found, at = [], 1.0
    while at < seconds:
        whole = random.random() < 0.2
        kind = Kind.PURGE_GROUP if whole else Kind.PURGE_OBJECT
        choice = random.randrange(groups if whole else min(objects, 6))  # mostly what is asked for much
        found.append(Action(at, kind, choice=choice))
        at += random.expovariate(0.9)
    return found


def _log_faults(random: Random, seconds: float, proxy: int) -> list[Action]:
    """Troubles of the change log, one after the other, each with its end."""
    found, at = [], random.uniform(1.0, 4.0)
    while at < seconds - CALM_END_S:
        kind = random.choice(
            (
                Kind.LOG_SILENT,
                Kind.LOG_REFUSED,
                Kind.LOG_SILENT,
                Kind.LOG_SLOW,
                Kind.LOG_SKIPS,
                Kind.LOG_MOVED,
            )
        )
        lasts = random.uniform(0.5, MOST_OUTAGE_S)
        if kind is Kind.LOG_SKIPS:
            found.append(Action(at, kind, proxy))
            lasts = 1.0
        elif kind is Kind.LOG_MOVED:
            found.append(Action(at, Kind.LOG_SILENT, proxy))
            found.append(Action(at + lasts, kind, proxy))
        else:
            found.append(Action(at, kind, proxy, random.uniform(0.5, 9.0)))
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
