"""The operators' console: one line in, one answer out. Sans I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from starlinghaven.protocol import ProtocolError
from starlinghaven.transport.ring import Ring

MOST_LINE = 256  # bytes of a call at most, its end included
PREFIX = "edge_lb"
CALLS = {  # and how many words follow each
    **{"readyz": 0, "telemetry": 0, "memory": 0, "members": 0, "stance": 0, "spread": 0},
    **{"exclude": 1, "include": 1},
}
_ID = re.compile(r"[0-9A-Za-z_.:-]{1,64}")


@dataclass(frozen=True, slots=True)
class Call:
    """One call of an operator; `store` is empty where it names none."""

    verb: str
    store: str = ""


def read(ring: Ring) -> Call | None:
    """The call, once its line is whole. ProtocolError says what is wrong with it."""
    held = ring.take(min(ring.size, MOST_LINE), keep=True)
    line, end, _ = held.partition(b"\n")
    if not end:
        if ring.size >= MOST_LINE:
            raise ProtocolError("the line is too long")
        return None
    ring.skip(ring.size)
    try:
        verb, *words = line.decode("ascii").split()
    except (UnicodeDecodeError, ValueError) as error:
        raise ProtocolError("no call") from error
    if CALLS.get(verb) != len(words):
        raise ProtocolError("no such call")
    if words and not _ID.fullmatch(words[0]):
        raise ProtocolError("not an id")
    return Call(verb, *words)


def yes(text: str) -> bytes:
    return f"SUCCESS {text}\n".encode()


def no(text: str) -> bytes:
    return f"FAILURE {text}\n".encode()


def lines(texts: Iterable[str]) -> bytes:
    """Lines of text, then the line that ends them."""
    return "".join(f"{text}\n" for text in texts).encode() + b"EOT\n"


def figures(pairs: Iterable[tuple[str, int]]) -> bytes:
    """One figure a line, then the line that ends them."""
    return "".join(f"{PREFIX}.{name}={value}\n" for name, value in pairs).encode() + b"EOT\n"
