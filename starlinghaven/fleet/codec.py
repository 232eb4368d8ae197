"""The datagrams between edge proxies: a compact binary form of at most 256 bytes. Sans I/O.

Every datagram is one header and three counted lists; numbers are unsigned and big-endian::

    header  magic:1 version<<4|kind:1 sender:2 universe:2 life:4 incarnation:2 number:2 target:2   (16 bytes)
    pieces  count:1, each index:2 digest:4            what the sender's member table holds, by piece
    claims  count:1, each member:2 print:1 status:1 life:4 incarnation:2 accuser:2
    facts   count:1, each kind:1 subject:4 value:1 reporter:2 age:2       age in units of 20 ms

`sender`, `target`, `member`, `accuser` and `reporter` are positions in the configuration's `peers`.
`print` is a byte of a member's address, so that lists in another order are noticed claim by claim.
`universe` is a digest of the sender's whole list. A life is the start of a process (`life_of`).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from starlinghaven.datagrams import Refused, counted, listed, opened, whole

MAGIC, VERSION = 0xE7, 1
AGE_UNIT_MS = 20.0  # resolution of a fact's age
LIFE_UNIT_MS = 100.0  # resolution of a life
LIFE_EPOCH_MS = 1_704_067_200_000.0  # Unix ms at which lives count from: 2024-01-01
MOST_NUMBER, MOST_INC, MOST_LIFE = 0xFFFF, 0xFFFF, 0xFFFF_FFFF
NOBODY = MOST_NUMBER  # a member number that stands for none

_HEADER = struct.Struct(">BBHHIHHH")
_PIECE = struct.Struct(">HI")
_CLAIM = struct.Struct(">HBBIHH")
_FACT = struct.Struct(">BIBHH")
EMPTY_BYTES = _HEADER.size + 3  # a datagram with nothing but its header
CLAIM_BYTES, FACT_BYTES, PIECE_BYTES = _CLAIM.size, _FACT.size, _PIECE.size


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 1  # answer me: `target` is who is meant
    PING_REQ = 2  # ping `target` for me
    ACK = 3  # `target` answered the probe `number`
    NACK = 4  # `target` has not answered me yet: but I hear you
    GOSSIP = 5  # nothing but the lists
    SYNC = 6  # digests of pieces: send me those that differ
    PIECE = 7  # the claims of piece `number`; `target` 1 asks for what is newer
    LAST = 7


class Status(IntEnum):
    """A member's state in a claim. The order is that of precedence within one incarnation."""

    UNKNOWN = 0  # never heard of; not sent
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Claim:
    """What somebody says of a member's state."""

    member: int
    print: int
    status: Status
    life: int
    inc: int
    accuser: int = NOBODY  # who found it suspect or failed

    @property
    def version(self) -> tuple[int, int]:
        return (self.life, self.inc)


@dataclass(frozen=True, slots=True)
class Fact:
    """A piece of news: `value` and `subject` mean what the kind says. Age in ms when it was read."""

    kind: int
    subject: int
    value: int
    reporter: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Datagram:
    kind: Kind
    sender: int
    universe: int
    life: int
    inc: int
    number: int = 0
    target: int = NOBODY
    pieces: tuple[tuple[int, int], ...] = ()
    claims: tuple[Claim, ...] = ()
    facts: tuple[Fact, ...] = ()


def life_of(unix_ms: float) -> int:
    """The life of a process that starts at this Unix time (ms): tenths of a second since 2024."""
    return min(max(int((unix_ms - LIFE_EPOCH_MS) / LIFE_UNIT_MS), 1), MOST_LIFE)


def encode(d: Datagram) -> bytes:
    """The bytes of a datagram. Errors: ValueError if it would be too long (a caller's mistake)."""
    form = VERSION << 4 | d.kind
    out = [_HEADER.pack(MAGIC, form, d.sender, d.universe, d.life, d.inc, d.number, d.target)]
    out += counted(_PIECE.pack(index, digest) for index, digest in d.pieces)
    out += counted(_CLAIM.pack(c.member, c.print, c.status, c.life, c.inc, c.accuser) for c in d.claims)
    out += counted(
        _FACT.pack(f.kind, f.subject, f.value, f.reporter, min(int(f.age_ms / AGE_UNIT_MS), 0xFFFF))
        for f in d.facts
    )
    return whole(out)


def decode(data: bytes) -> Datagram:
    """The datagram in these bytes. Errors: Refused, with the reason.

    Everything is checked before anything is returned: a datagram is taken whole or not at all.
    """
    header = opened(data, _HEADER, EMPTY_BYTES, MAGIC, VERSION)
    _, form, sender, universe, life, inc, number, target = header
    kind = form & 0x0F
    if not 1 <= kind <= Kind.LAST or life == 0:
        raise Refused("unreadable")
    raw_pieces, at = listed(data, _HEADER.size, _PIECE)
    raw_claims, at = listed(data, at, _CLAIM)
    raw_facts, at = listed(data, at, _FACT)
    if at != len(data):
        raise Refused("unreadable")
    claims = []
    for member, mark, status, its_life, its_inc, accuser in raw_claims:
        if not Status.ALIVE <= status <= Status.LEFT or its_life == 0:
            raise Refused("unreadable")
        claims.append(Claim(member, mark, Status(status), its_life, its_inc, accuser))
    pieces = tuple((index, digest) for index, digest in raw_pieces)
    facts = tuple(Fact(k, what, value, who, age * AGE_UNIT_MS) for k, what, value, who, age in raw_facts)
    return Datagram(Kind(kind), sender, universe, life, inc, number, target, pieces, tuple(claims), facts)
