"""The deployment of a soak, drawn from its seed: classes, stores, and settings as a platform gives them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from starlinghaven.lab.effects import EffectRule
from starlinghaven.standins.platform import SETTINGS

KINDS = ("petit", "parent", "origin")
ZONES = ("nord", "edge-1", "edge-2")
OWN_ZONE, HUB_ZONE = 1, 0
WEIGHT = 2.0  # transfers that a cache sends at full pace
PACE_KB_PER_S = 7_100.0
CLEARED_WITHIN_MS = 6_000.0
STOP_SENDING_MS = 2_000.0  # from when a drain was announced
PURGE_SLACK_MS = 500.0
FALL_MS, FALL_MULTIPLE = 1_000.0, 2.0
COLD_FROM, COLD_MS = 0.2, 15_000.0
PARENT_COLD_FROM, PARENT_COLD_MS = 0.1, 20_000.0


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """One class of requests, in the words of the settings. Times are in milliseconds."""

    name: str
    effect: str
    scope: str
    window_ms: float
    give_up_ms: float
    fresh_ms: float
    grace_ms: float
    mean_kb: float  # of its objects
    share: float  # of the requests
    uncached: bool = False

    @property
    def rule(self) -> EffectRule:
        """What the rule on repeated effects asks of it."""
        return EffectRule(self.effect, self.scope, self.window_ms / 1000)

    def settings(self) -> dict[str, Any]:
        """Its entry among `Classes`."""
        keyed = {"KeyScope": self.scope, "DedupWindowMs": self.window_ms} if self.effect == "guarded" else {}
        return {
            "Name": self.name,
            "Effect": self.effect,
            "GiveUpMs": self.give_up_ms,
            "TargetMs": 400.0,
            "AimStretch": 1.6,
            **keyed,
        }


@dataclass(frozen=True, slots=True)
class StorePlan:
    """One store: where it is and what it is."""

    id: str
    zone: int
    kind: int
    cell: int

    @property
    def is_cache(self) -> bool:
        """Whether it is neither a parent nor the origin."""
        return self.kind == 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Everything that the settings of a soak say."""

    proxies: int
    classes: tuple[ClassPlan, ...]
    stores: tuple[StorePlan, ...]
    own_copies: bool
    bypass: bool  # requests may go straight to a parent or the origin
    joins: bool
    second_copies: bool
    attempts: int
    tells: str
    peers: bool
    idle_close_ms: float

    def settings(self, number: int) -> dict[str, Any]:
        """The settings of one proxy."""
        family = SETTINGS["FamilyInfo"] | {
            "ZoneBalancers": [0, self.proxies, 0],
            "MayPassBy": self.bypass,
            "SharesFills": self.joins,
            "Tells": self.tells,
            "GoodForMs": [c.fresh_ms for c in self.classes],
            "UsableAfterMs": [c.grace_ms for c in self.classes],
            "Uncached": [c.uncached for c in self.classes],
            "ClearedWithinMs": CLEARED_WITHIN_MS,
            "PurgeSlackMs": PURGE_SLACK_MS,
            "PaceKbPerS": PACE_KB_PER_S,
            "ParentColdFrom": PARENT_COLD_FROM,
            "ParentColdMs": PARENT_COLD_MS,
            "ParentLimitFactor": FALL_MULTIPLE,
        }
        policy = SETTINGS["PolicyLimits"] | {
            "Peers": self.peers,
            "MayDuplicate": self.second_copies,
            "AttemptsCap": self.attempts,
            "IdleCloseMs": self.idle_close_ms,
        }
        rules = {
            "ColdFrom": COLD_FROM,
            "ColdMs": COLD_MS,
            "FallMs": FALL_MS,
            "OverloadFactor": FALL_MULTIPLE,
            "StopSendingWithinMs": STOP_SENDING_MS,
        }
        return SETTINGS | {
            "Az": OWN_ZONE,
            "Me": number,
            "FleetSize": self.proxies,
            "Kinds": list(KINDS),
            "Zones": list(ZONES),
            "Classes": [c.settings() for c in self.classes],
            "FamilyInfo": family,
            "PolicyLimits": policy,
            "Rules": rules,
        }

    @property
    def longest_ms(self) -> float:
        """The longest deadline, counted as 3 s where all are shorter."""
        return max(3_000.0, *(c.give_up_ms for c in self.classes))


def draw(random: Random, proxies: int = 0) -> Deployment:
    """A deployment by chance; `proxies` in place of a number by chance."""
    classes = tuple(
        ClassPlan(
            name,
            effect=random.choice(("free", "guarded", "guarded", "single_shot")),
            scope=random.choice(("all", "zone", "cell")),
            window_ms=random.choice((300.0, 800.0, 2_000.0)),
            give_up_ms=random.choice((800.0, 1_500.0, 3_000.0)),
            fresh_ms=0.0 if uncached else random.choice((0.0, 300.0, 1_500.0, 8_000.0)),
            grace_ms=random.choice((0.0, 2_000.0, 20_000.0)),
            mean_kb=mean_kb,
            share=share,
            uncached=uncached,
        )
        for name, mean_kb, share, uncached in (
            ("pieces", 1_200.0, 0.5, False),
            ("fiches", 300.0, 0.4, False),
            ("depot", 300.0, 0.1, True),
        )
    )
    caches = [StorePlan(f"s-{n + 1:08x}", OWN_ZONE, 0, n % 2) for n in range(random.choice((2, 3, 4)))]
    parents = [StorePlan(f"s-{n + 33:08x}", HUB_ZONE, 1, 8) for n in range(random.choice((1, 2)))]
    other_zone = StorePlan("s-00000051", 2, 0, 4)
    origin = StorePlan("s-00000061", HUB_ZONE, 2, 9)
    return Deployment(
        proxies=proxies or random.choice((1, 2, 2, 3)),
        classes=classes,
        stores=(*caches, *parents, other_zone, origin),
        own_copies=random.random() < 0.75,
        bypass=random.random() < 0.7,
        joins=random.random() < 0.7,
        second_copies=random.random() < 0.3,
        attempts=random.choice((2, 4, 6)),
        tells=random.choice(("silent", "hit", "all")),
        peers=random.random() < 0.5,
        idle_close_ms=random.choice((1_500.0, 15_000.0)),
    )
