"""Imports go down only: program > routing (and health) > protocol > transport, the decision module beside."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "starlinghaven"
MODULE = {"interface", "router", "decisions"}
PURE = {"decisions", "protocol", "health", "admission", "fleet", "spread"}  # they raise, and contain nothing
ALLOWED = {
    "decisions": {"decisions", "interface"},  # parts of the Router: pure, they know nothing else
    "transport": {"transport"},
    "protocol": {"transport", "protocol", "memory"},
    "routing": {"protocol", "routing", *MODULE} - {"protocol"},
    "health": {"health", "kdl"},  # beside routing: pure, it knows neither the engine nor any wire
    "admission": {"admission", "kdl"},  # beside routing: pure, like health
    "fleet": {"fleet", "kdl", "datagrams"},  # beside routing: pure, like health
    "spread": {"spread", "kdl", "datagrams"},  # beside routing: pure, like health
    "program": {
        *("transport", "protocol", "routing", "health", "admission", "fleet", "spread", "datagrams"),
        *("program", "benchlink", *MODULE),
    },
    "standins": {"standins", "protocol", "transport"},  # outside systems: codecs, nothing of the program
    # The lab starts the program and imports none of it; its simulations drive the pure cores and the Router.
    "lab": {"lab", "standins", "fleet", "spread", "protocol", "transport", *MODULE},
    "plugin": {"protocol", "routing", "health", "program", "plugin", *MODULE},
}


def imported(path: Path) -> set[str]:
    """The parts of the project that a file imports."""
    parts = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("starlinghaven"):
            rest = node.module.split(".")[1:]
            parts |= {rest[0]} if rest else {alias.name for alias in node.names}
        elif isinstance(node, ast.Import):
            parts |= {a.name.split(".")[1] for a in node.names if a.name.startswith("starlinghaven.")}
    return parts


def test_each_layer_imports_only_what_stands_below_it() -> None:
    seen = 0
    for layer, allowed in ALLOWED.items():
        for path in (ROOT / layer).rglob("*.py"):
            assert imported(path) <= (allowed if layer in PURE else allowed | {"containment", "memory"}), path
            seen += 1
    assert seen >= 25
    assert imported(ROOT / "router.py") == {"interface", "decisions"}
    assert imported(ROOT / "interface.py") == set()
    assert imported(ROOT / "containment.py") == imported(ROOT / "memory.py") == set()


def test_the_engine_knows_no_wire() -> None:
    for path in (ROOT / "routing").rglob("*.py"):
        assert not imported(path) & {"protocol", "transport", "program"}, path
