"""The operator's thresholds for balancer health, in KDL (https://kdl.dev, read with ckdl).

A file holds one `health` node; every child is optional and overrides a default of `Thresholds`::

    health {
        queue enter=0.9 leave=0.5       // shares of the engine's queue
        open enter=0.9 leave=0.7        // of the requests held at once
        fds enter=0.9 leave=0.8         // of RLIMIT_NOFILE
        clients enter=0.95 leave=0.8    // of the places for clients' connections
        lag-ms enter=250 leave=50       // event-loop lag, ms
        stall-ms 1000
        min-reachable 0.01
        degraded-below 1.0
        confirm-heard 0.5
        warming-most-ms 5000
        hold-ms 500
        calm-ms 1000
        least-weight 1
    }

`load_text` raises `HealthSettingsError` naming the node and the reason: a file that breaks a
rule of `Thresholds.check` is refused whole, never half taken.
"""

from __future__ import annotations

from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import ckdl

from starlinghaven.health.model import Level, Thresholds

LEVELS = {"queue", "open", "fds", "clients", "lag-ms"}
SCALARS = {
    f.name.replace("_", "-"): f.name for f in fields(Thresholds) if f.name.replace("_", "-") not in LEVELS
}


class HealthSettingsError(ValueError):
    """A health file that can't be used; the message says where and why."""


def load(path: str | Path) -> Thresholds:
    """Reads and checks a file. Errors: HealthSettingsError (also for a file that can't be read)."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise HealthSettingsError(f"{path}: can't be read: {error}") from error
    try:
        return load_text(text)
    except HealthSettingsError as error:
        raise HealthSettingsError(f"{path}: {error}") from error


def load_text(text: str) -> Thresholds:
    """Parses KDL text into checked thresholds."""
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise HealthSettingsError(f"not KDL: {error}") from error
    tops = [n for n in document.nodes if n.name == "health"]
    others = [n.name for n in document.nodes if n.name != "health"]
    if others:
        raise HealthSettingsError(f"unknown node {others[0]!r} at the top; only 'health' is known")
    if len(tops) != 1:
        raise HealthSettingsError(f"want exactly one 'health' node, found {len(tops)}")
    (top,) = tops
    if top.args or top.properties:
        raise HealthSettingsError("'health' takes no arguments or properties, only children")
    given: dict[str, Any] = {}
    for node in top.children:
        name = node.name
        attribute = name.replace("-", "_")
        if attribute in given:
            raise HealthSettingsError(f"health.{name}: given twice")
        if node.children:
            raise HealthSettingsError(f"health.{name}: takes no children")
        if name in LEVELS:
            given[attribute] = _level(name, node)
        elif name in SCALARS:
            given[attribute] = _scalar(name, node, attribute)
        else:
            known = ", ".join(sorted(LEVELS | set(SCALARS)))
            raise HealthSettingsError(f"health.{name}: unknown setting; known: {known}")
    limits = replace(Thresholds(), **given)
    if wrong := limits.check():
        raise HealthSettingsError("; ".join(wrong))
    return limits


def _number(where: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise HealthSettingsError(f"{where}: want a number, got {value!r}")
    if value != value or value in (float("inf"), float("-inf")):
        raise HealthSettingsError(f"{where}: want a finite number, got {value!r}")
    return float(value)


def _level(name: str, node: Any) -> Level:
    props = dict(node.properties)
    if node.args or set(props) != {"enter", "leave"}:
        raise HealthSettingsError(f"health.{name}: want exactly enter=N leave=N")
    return Level(
        _number(f"health.{name} enter", props["enter"]), _number(f"health.{name} leave", props["leave"])
    )


def _scalar(name: str, node: Any, attribute: str) -> float | int:
    if len(node.args) != 1 or node.properties:
        raise HealthSettingsError(f"health.{name}: want one value")
    value = _number(f"health.{name}", node.args[0])
    if attribute == "least_weight":
        if value != int(value):
            raise HealthSettingsError(f"health.{name}: want a whole percent")
        return int(value)
    return value
