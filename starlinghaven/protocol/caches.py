"""What is said to pop caches, parents and the origin, and what they answer. Sans I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from starlinghaven.protocol import ProtocolError, numbers
from starlinghaven.protocol.resp import RespReader, encode, read_fields, write_fields

MOST_BODY = 250_000  # bytes of an answer at most: an object holds 240,000
STRINGS = 4  # of an answer: ID WORD FIELDS BODY
MOST_FILL_MS = 3_600_000.0  # that a store may say it has waited for the source of a miss
MOST_LOAD = 1e6  # of a figure in a load report; one beyond it says nothing
_TAG = re.compile(r"[!#-~]{0,64}")  # the characters of an entity tag (RFC 9110, section 8.8.3)

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
    loads_passed_over: int = 0  # figures of the load report that are out of range


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
        raise ProtocolError(f"not an answer: {words[1][: numbers.SHOWN]!r}")
    if not words[2]:
        raise ProtocolError("an answer without fields")
    fields = read_fields(words[2])
    note, rev = fields.get("note", ""), fields.get("rev", "")
    if not _TAG.fullmatch(rev):
        raise ProtocolError(f"not a tag: {numbers.shown(rev)}")
    load, passed_over = _loads(fields.get("load", ""))
    return Said(
        id=_ascii(words[0]),
        word=_ascii(words[1]),
        body=words[3],
        rev=rev,
        since_ms=numbers.decimal(fields.get("since", "0"), numbers.MOST_UNIX_MS),
        note=NOTES.index(note) + 1 if note in NOTES else 0,
        filled_ms=numbers.figure(fields.get("fill", "0"), MOST_FILL_MS),
        load=load,
        loads_passed_over=passed_over,
    )


def _ascii(word: bytes) -> str:
    try:
        return word.decode("ascii")
    except UnicodeDecodeError as error:
        raise ProtocolError("not ASCII") from error


def _loads(report: str) -> tuple[dict[str, float], int]:
    """The figures of a load report by their common names, and how many are out of range.

    Those are passed over: one that is not a number, or huge, would stay in means for good. Errors:
    ProtocolError for what is no figure at all.
    """
    load, passed_over = dict[str, float](), 0
    for pair in filter(None, report.split(";")):
        name, _, value = pair.partition(":")
        if name not in LOAD_NAMES:
            continue
        try:
            number = float(value)
        except ValueError as error:
            raise ProtocolError(f"not a figure: {numbers.shown(value)}") from error
        if math.isfinite(number) and 0 <= number <= MOST_LOAD:
            load[LOAD_NAMES[name]] = number
        else:
            passed_over += 1
    return load, passed_over
