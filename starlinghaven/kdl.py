"""What the operator's KDL files share (https://kdl.dev, read with ckdl): reading, the one top node, values.

Each package says in its own settings module what its node may hold, and names its own error.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, ClassVar, Protocol, TypeVar


class Checked(Protocol):
    """A dataclass of limits that names every rule it breaks."""

    __dataclass_fields__: ClassVar[dict[str, Any]]

    def check(self) -> list[str]: ...


T = TypeVar("T")
L = TypeVar("L", bound=Checked)
Wrong = type[ValueError]  # a package's own error


def read(path: str | Path, parse: Callable[[str], T], wrong: Wrong) -> T:
    """Reads a file and parses it. Errors: `wrong`, naming the file, also for one that can't be read."""
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise wrong(f"{path}: can't be read: {error}") from error
    except wrong as error:
        raise wrong(f"{path}: {error}") from error


def children(text: str, name: str, wrong: Wrong) -> list[Any]:
    """What stands in the one node of this name, which must be all of the text."""
    import ckdl  # only where a file is given: a restart must be short

    try:
        nodes = ckdl.parse(text).nodes
    except ckdl.ParseError as error:
        raise wrong(f"not KDL: {error}") from error
    if others := [n.name for n in nodes if n.name != name]:
        raise wrong(f"unknown node {others[0]!r} at the top; only {name!r} is known")
    if len(nodes) != 1:
        raise wrong(f"want exactly one {name!r} node, found {len(nodes)}")
    if nodes[0].args or nodes[0].properties:
        raise wrong(f"{name!r} takes no arguments or properties, only children")
    return list(nodes[0].children)


def values(
    nodes: Iterable[Any], name: str, known: Mapping[str, str], whole: Collection[str], wrong: Wrong,
    special: Mapping[str, Callable[[Any, Any], Any]] | None = None,
) -> dict[str, Any]:  # fmt: skip
    """One value for each node, by attribute: a number, or what `special[its name](node, earlier)` makes.

    `known` maps a node's name to its attribute; attributes in `whole` take whole numbers only. A `special`
    gets what an earlier node of its name made (else None) and so decides itself whether it may stand twice.
    """
    given: dict[str, Any] = {}
    for node in nodes:
        attribute = known.get(node.name)
        where = f"{name}.{node.name}"
        if attribute is None:
            raise wrong(f"{where}: unknown setting; known: {', '.join(sorted(known))}")
        if node.children:
            raise wrong(f"{where}: takes no children")
        if special and node.name in special:
            given[attribute] = special[node.name](node, given.get(attribute))
            continue
        if attribute in given:
            raise wrong(f"{where}: given twice")
        if len(node.args) != 1 or node.properties:
            raise wrong(f"{where}: want one value, a number")
        given[attribute] = number(where, node.args[0], wrong, attribute in whole)
    return given


def limits(
    text: str, base: L, name: str, known: Mapping[str, str], whole: Collection[str], wrong: Wrong,
    special: Mapping[str, Callable[[Any, Any], Any]] | None = None,
) -> L:  # fmt: skip
    """`base` with what the text's one node gives, checked whole. Errors: `wrong`."""
    made = replace(base, **values(children(text, name, wrong), name, known, whole, wrong, special))
    if found := made.check():
        raise wrong("; ".join(found))
    return made


def number(where: str, value: Any, wrong: Wrong, whole: bool = False) -> float | int:
    """A finite number; an int where `whole`."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise wrong(f"{where}: want a number, got {value!r}")
    if not abs(value) < float("inf"):
        raise wrong(f"{where}: want a finite number, got {value!r}")
    if not whole:
        return float(value)
    if value != int(value):
        raise wrong(f"{where}: want a whole number, got {value!r}")
    return int(value)
