"""Scenarios in KDL: how many proxies and stores, how long, and which faults when. Checked at load.

    scenario "a fifth cut off" {
        seed 1
        proxies 20
        seconds 30
        rate 2.0                      // requests a second to each proxy
        stores caches=4 parents=2
        spread                        // proxies find together how load is spread
        at 6.0 { cut "0-3" "4-19" }   // seconds after all are ready
        at 18.0 { heal; look }
    }

Steps: cut A B, one-way A B, heal, network loss= double= delay-ms=, kill A, term A, start A, stall A seconds=,
resume A, silent STORE, erring STORE, serving STORE, slow STORE seconds=, drain STORE, purge, flush STORE,
look (asks every proxy for its members), await-alive A B and await-failed A B (until the living of A hold all
of B for alive or failed, and those of B all of A; the scenario's clock stands still meanwhile). A, B: numbers
as "0-3,7", or a share as "0.7" of all, drawn by the seed. STORE: a name as "cache-0", "parent-1" or "origin".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import ckdl

FOLDER = Path(__file__).parent / "scenarios"
TAKES = {  # step -> arguments, and properties with a type each
    "cut": (2, ()), "one-way": (2, ()), "heal": (0, ()), "network": (0, ("loss", "double", "delay-ms")),
    "kill": (1, ()), "term": (1, ()), "start": (1, ()), "stall": (1, ("seconds",)),
    "resume": (1, ()), "await-alive": (2, ()), "await-failed": (2, ()),
    "silent": (1, ()), "erring": (1, ()), "serving": (1, ()), "slow": (1, ("seconds",)),
    "drain": (1, ()), "purge": (0, ()), "flush": (1, ()), "look": (0, ()),
}  # fmt: skip
ON_STORES = ("silent", "erring", "serving", "slow", "drain", "flush")
MOST_PROXIES = 1_000


class ScenarioError(ValueError):
    """A scenario that can't be played; the text says where and why."""


@dataclass(frozen=True, slots=True)
class Step:
    """One fault: seconds after the start, what, on whom (member numbers or a store), and its figures."""

    at: float
    what: str
    on: tuple[tuple[int, ...], ...] = ()
    store: str = ""
    figures: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    seed: int
    proxies: int
    seconds: float
    rate: float
    caches: int
    parents: int
    steps: tuple[Step, ...]
    spread: bool = False

    @property
    def stores(self) -> list[str]:
        """Names of all stores, in the order of their ids."""
        return [
            *(f"cache-{k}" for k in range(self.caches)), *(f"parent-{k}" for k in range(self.parents)),
            "origin",
        ]  # fmt: skip


def known() -> list[str]:
    """Names of the scenarios that come with the lab."""
    return sorted(path.stem for path in FOLDER.glob("*.kdl"))


def load(name: str, proxies: int = 0, seed: int | None = None) -> Scenario:
    """A scenario by name or path; `proxies` and `seed` go before what it says. Errors: ScenarioError."""
    path = Path(name) if name.endswith(".kdl") else FOLDER / f"{name}.kdl"
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{name}: no such scenario; known: {', '.join(known())}") from error
    try:
        return parse(text, proxies, seed)
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from error


def parse(text: str, proxies: int = 0, seed: int | None = None) -> Scenario:
    """The scenario in KDL text. Errors: ScenarioError."""
    try:
        nodes = ckdl.parse(text).nodes
    except ckdl.ParseError as error:
        raise ScenarioError(f"not KDL: {error}") from error
    if len(nodes) != 1 or nodes[0].name != "scenario" or len(nodes[0].args) != 1:
        raise ScenarioError("want one node: scenario NAME { ... }")
    figures = {"seed": 1.0, "proxies": 5.0, "seconds": 20.0, "rate": 2.0}
    caches, parents, later, spread = 3, 2, [], False
    for node in nodes[0].children:
        if node.name in figures:
            figures[node.name] = _number(node.name, node.args)
        elif node.name == "stores":
            caches, parents = int(node.properties.get("caches", 3)), int(node.properties.get("parents", 2))
        elif node.name == "spread" and not node.args and not node.properties:
            spread = True
        elif node.name == "at":
            later.append((_number("at", node.args), node.children))
        else:
            raise ScenarioError(f"{node.name}: unknown")
    count = proxies or int(figures["proxies"])
    if not 1 <= count <= MOST_PROXIES or caches < 1 or parents < 0:
        raise ScenarioError(f"proxies: 1 to {MOST_PROXIES}; at least one cache")
    number = int(figures["seed"]) if seed is None else seed
    random, steps = Random(number), []
    names = Scenario("", 0, count, 0.0, 0.0, caches, parents, ()).stores
    for at, children in sorted(later, key=lambda pair: pair[0]):
        if not 0 <= at <= figures["seconds"]:
            raise ScenarioError(f"at {at}: the scenario lasts {figures['seconds']} s")
        steps += [_step(at, child, count, names, random) for child in children]
    name = str(nodes[0].args[0])
    return Scenario(
        name, number, count, figures["seconds"], figures["rate"], caches, parents, tuple(steps), spread
    )


def _number(where: str, args: list[Any]) -> float:
    if len(args) != 1 or isinstance(args[0], bool) or not isinstance(args[0], int | float) or args[0] < 0:
        raise ScenarioError(f"{where}: want one number, at least 0")
    return float(args[0])


def _step(at: float, node: Any, count: int, stores: list[str], random: Random) -> Step:
    where = f"at {at}: {node.name}"
    if node.name not in TAKES:
        raise ScenarioError(f"{where}: unknown; known: {', '.join(TAKES)}")
    places, props = TAKES[node.name]
    if len(node.args) != places or set(node.properties) - set(props):
        raise ScenarioError(f"{where}: want {places} arguments, and of {props or 'no properties'}")
    figures = {name: _number(f"{where} {name}", [value]) for name, value in node.properties.items()}
    if node.name in ON_STORES:
        if node.args[0] not in stores:
            raise ScenarioError(f"{where}: no store {node.args[0]!r}; there are {', '.join(stores)}")
        return Step(at, node.name, store=node.args[0], figures=figures)
    return Step(at, node.name, tuple(_members(where, arg, count, random) for arg in node.args), "", figures)


def _members(where: str, text: Any, count: int, random: Random) -> tuple[int, ...]:
    """Numbers as "0-3,7" ("rest" stands for the last one), or a share as "0.7"."""
    text = str(text).replace("rest", str(count - 1))
    try:
        if "." in text:
            return tuple(sorted(random.sample(range(count), round(float(text) * count))))
        found: list[int] = []
        for part in text.split(","):
            first, _, last = part.partition("-")
            found += range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise ScenarioError(f"{where}: {text!r} names no members") from error
    if not found or max(found) >= count:
        raise ScenarioError(f"{where}: {text!r} names members beyond the {count} there are")
    return tuple(found)
