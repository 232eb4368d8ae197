"""The operator's file: what is switched on beside the platform's front. Nothing is, without one."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

VARIABLE = "STARLINGHAVEN_OPERATOR"
_PLACES = ("object", "part", "family")


@dataclass(frozen=True, slots=True)
class Route:
    """A path such as /receipts/{family}/{object}/{part}, and the class that it asks for."""

    path: str
    cls: str
    patience_ms: float = 0.0

    def match(self, path: str) -> dict[str, str] | None:
        """The values of its places, or None where the path is another one."""
        own, given = self.path.split("/"), path.split("/")
        if len(own) != len(given):
            return None
        found = {}
        for mine, theirs in zip(own, given, strict=True):
            if mine[:1] == "{":
                if not theirs:
                    return None
                found[mine[1:-1]] = theirs
            elif mine != theirs:
                return None
        return found


@dataclass(frozen=True, slots=True)
class Signed:
    """The front for signed URLs."""

    listen: str
    keys: str
    algorithms: tuple[str, ...]
    routes: tuple[Route, ...]
    base: str = ""  # scheme and authority of the URIs that are signed; empty: http and the Host field
    issuers: tuple[str, ...] = ()
    audience: str = ""
    leeway_s: float = 0.0
    connections: int = 128


@dataclass(frozen=True, slots=True)
class Operator:
    signed: Signed | None = None
    agent: str = ""  # address of the agent-check
    health: str = ""  # address of the HTTP health check
    rules: str = ""  # KDL file of health thresholds (starlinghaven.health.settings); empty: defaults
    fleet: bool = False  # whether proxies speak to each other, where the platform allows it
    fleet_limits: str = ""  # KDL file of membership limits (starlinghaven.fleet.settings); empty: defaults
    spread: bool = False  # whether they find together how load is spread; needs `fleet`
    spread_limits: str = ""  # KDL file of its limits (starlinghaven.spread.settings); empty: defaults
    admission: str = ""  # KDL file of admission limits (starlinghaven.admission.settings); empty: off


def load(path: str) -> Operator:
    """Reads the operator's file. ValueError says what is wrong with it."""
    import tomllib  # only where there is a file: it takes some memory

    try:
        raw = tomllib.loads(Path(path).read_text())
        signed = raw.get("signed")
        if "spread" in raw and "fleet" not in raw:
            raise ValueError(f"{path}: [spread] needs [fleet]: it goes by who is there")
        return Operator(
            signed=_signed(signed) if signed else None,
            agent=raw.get("agent", {}).get("listen", ""),
            health=raw.get("health", {}).get("listen", ""),
            rules=raw.get("health", {}).get("thresholds", ""),
            fleet="fleet" in raw,
            fleet_limits=raw.get("fleet", {}).get("limits", ""),
            spread="spread" in raw,
            spread_limits=raw.get("spread", {}).get("limits", ""),
            admission=raw.get("admission", {}).get("limits", ""),
        )
    except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{path}: {type(error).__name__}: {error}") from error


def _signed(raw: dict[str, Any]) -> Signed:
    from starlinghaven.protocol.uri_signing import ALGORITHMS  # slow to load: only where it is used

    routes = tuple(_route(r) for r in raw["route"])
    algorithms = tuple(raw["algorithms"])
    if not algorithms or set(algorithms) - ALGORITHMS:
        raise ValueError(f"algorithms: each must be one of {', '.join(sorted(ALGORITHMS))}")
    return Signed(
        listen=raw["listen"],
        keys=raw["keys"],
        algorithms=algorithms,
        routes=routes,
        base=raw.get("base", "").rstrip("/"),
        issuers=tuple(raw.get("issuers", ())),
        audience=raw.get("audience", ""),
        leeway_s=float(raw.get("leeway_s", 0.0)),
        connections=int(raw.get("connections", 128)),
    )


def _route(raw: dict[str, Any]) -> Route:
    route = Route(raw["path"], raw["class"], float(raw.get("patience_ms", 0.0)))
    for name in re.findall(r"\{(.*?)\}", route.path):
        if name not in _PLACES:
            raise ValueError(f"route {route.path}: no place is called {name}")
    return route
