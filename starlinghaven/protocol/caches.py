"""What is said to pop caches, parents and the origin, and what they answer. Sans I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from starlinghaven.protocol import ProtocolError
from starlinghaven.protocol.resp import RespReader, encode, read_fields, write_fields

MOST_BODY = 250_000  # bytes of an answer at most: an object holds 240,000
STRINGS = 4  # of an answer: ID WORD FIELDS BODY

WORDS = frozenset({b"served", b"still_good", b"not_here", b"overload", b"crashed", b"nobody"})
NOTES = ("mem", "parent", "origin", "shared", "old", "denied", "unreached", "absent", "crowded", "behind")
LOAD_NAMES = {
    "inflight": "inflight",
    "rif": "inflight",
    "util": "util",
    "busy": "util",
    "queue": "queue",
    "q": "queue",
    "x0": "hits",
    "x1": "link",
}


@dataclass(frozen=True, slots=True)
class Order:
    """One request to a store. The id and what the client gave pass on as they are."""

    id: str
    cls: str
    key: str
    part: int | None
    wait_ms: float
    idem: str = ""
    source: str = ""
    keep: int = 0
    age_ms: float = 0.0
    join: bool = False
    held: bool = False
    renew: bool = False
    have: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Said:
    """One answer of a store."""

    id: str
    word: str
    body: bytes
    rev: str
    since_ms: int
    note: int
    filled_ms: float
    load: dict[str, float] = field(default_factory=dict)


def reader() -> RespReader:
    return RespReader(words=STRINGS, word_bytes=4096, body_at=3, body_bytes=MOST_BODY)


def get(o: Order) -> bytes:
    fields = {"c": o.cls}
    if o.key:
        fields["k"] = o.key
    if o.part is not None:
        fields["p"] = str(o.part)
    fields["w"] = str(max(int(o.wait_ms), 1))
    if o.idem:
        fields["i"] = o.idem
    if o.source:
        fields["up"] = o.source
    if o.keep:
        fields["store"] = str(o.keep)
    if o.age_ms > 0:
        fields["cap"] = str(max(int(o.age_ms), 1))  # down, so that no copy is older than allowed
    if how := "+".join(w for w, on in (("join", o.join), ("held", o.held), ("renew", o.renew)) if on):
        fields["do"] = how
    if o.have:
        fields["inm"] = o.have
    return encode(b"GET", o.id.encode("ascii"), write_fields(fields), o.body)


def drop(ids: Sequence[str]) -> bytes:
    return b"".join(encode(b"DROP", i.encode("ascii")) for i in ids)


def parse(words: list[bytes]) -> Said:
    """An answer in exactly the form of the protocol page. Errors: ProtocolError; what is not an answer
    proves nothing about the request, whatever it resembles.
    """
    if len(words) != STRINGS:
        raise ProtocolError(f"an answer of {len(words)} strings")
    if words[1] not in WORDS:
        raise ProtocolError(f"not an answer: {words[1]!r}")
    if not words[2]:
        raise ProtocolError("an answer without fields")
    fields = read_fields(words[2])
    try:
        load = {}
        for pair in filter(None, fields.get("load", "").split(";")):
            name, _, value = pair.partition(":")
            if name in LOAD_NAMES and math.isfinite(number := float(value)):  # nan would stay in means
                load[LOAD_NAMES[name]] = number
        note = fields.get("note", "")
        return Said(
            id=words[0].decode("ascii"),
            word=words[1].decode("ascii"),
            body=words[3],
            rev=fields.get("rev", ""),
            since_ms=int(fields.get("since", "0")),
            note=NOTES.index(note) + 1 if note in NOTES else 0,
            filled_ms=float(fields.get("fill", "0")),
            load=load,
        )
    except (ValueError, UnicodeDecodeError) as error:
        raise ProtocolError(f"bad fields: {error}") from error
