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

from dataclasses import fields
from pathlib import Path
from typing import Any

from starlinghaven import kdl
from starlinghaven.health.model import Level, Thresholds

LEVELS = {"queue", "open", "fds", "clients", "lag-ms"}
NAMES = {f.name.replace("_", "-"): f.name for f in fields(Thresholds)}
WHOLE = {"least_weight"}


class HealthSettingsError(ValueError):
    """A health file that can't be used; the message says where and why."""


def load(path: str | Path) -> Thresholds:
    """Reads and checks a file. Errors: HealthSettingsError (also for a file that can't be read)."""
    return kdl.read(path, load_text, HealthSettingsError)


def load_text(text: str) -> Thresholds:
    """Parses KDL text into checked thresholds. Errors: HealthSettingsError."""
    special = dict.fromkeys(LEVELS, _level)
    return kdl.limits(text, Thresholds(), "health", NAMES, WHOLE, HealthSettingsError, special)


def _level(node: Any, earlier: Level | None) -> Level:
    props, where = dict(node.properties), f"health.{node.name}"
    if earlier is not None:
        raise HealthSettingsError(f"{where}: given twice")
    if node.args or set(props) != {"enter", "leave"}:
        raise HealthSettingsError(f"{where}: want exactly enter=N leave=N")
    return Level(*(kdl.number(f"{where} {n}", props[n], HealthSettingsError) for n in ("enter", "leave")))
