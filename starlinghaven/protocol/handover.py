"""What two processes of an upgrade say to each other: frames about connections handed over. Sans I/O.

The older process offers one connection after the other. Each stays the older one's until the newer one has
said that it takes it::

    older                                        newer
    Offered, with the descriptor       ->
                                       <-        Accepted, or Refused: it has no room for it
    Unread and Unsent, in pieces       ->
    Complete: from here on it is the newer one's
                                       <-        Taken, and only then the first byte to the client

Answers to what was open follow as Answered, in any order with these; Withdrawn and Gone come back. A process
of the release before this one sends a connection as one Handed and waits for no answer; that is understood.
"""

from __future__ import annotations

import contextlib
import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from starlinghaven.memory import own_account
from starlinghaven.protocol import ProtocolError
from starlinghaven.transport.ring import LEAST, Ring

PIECE_BYTES = 64 * 1024  # of what a connection holds, in one frame
MOST_FRAME = 9 * 1024 * 1024  # bytes: a Handed frame holds all that a connection may hold
MOST_HELD = 8 * 1024 * 1024 + 128 * 1024  # bytes that a connection may hold, unread or unsent
_HEAD = struct.Struct(">IBQ")  # length of what follows the head, kind, number of the connection
_TAG = struct.Struct(">Q")
_SIZES = struct.Struct(">II")
_OFFER = struct.Struct(">IIIdQII")  # memory, unread, unsent, came after, used to, counts of used and open


class _Kind(IntEnum):
    HANDED = 0
    ANSWERED = 1
    WITHDRAWN = 2
    GONE = 3
    OFFERED = 4
    UNREAD = 5
    UNSENT = 6
    COMPLETE = 7
    ACCEPTED = 8
    REFUSED = 9
    TAKEN = 10


@dataclass(frozen=True, slots=True)
class Tags:
    """The tags of a connection: what may not be used again, and what is still to be answered."""

    used_to: int  # all up to this one have been used
    used: tuple[int, ...]  # those above it
    open: tuple[int, ...]  # still to be answered through the older process


@dataclass(frozen=True, slots=True)
class Offered:
    """A connection that may change hands: a descriptor comes with the frame's first byte."""

    number: int
    memory: int  # bytes of the older process's memory that it holds, and that are given up with it
    unread: int  # bytes that came in and were not used
    unsent: int  # bytes that were answered and not written yet
    came_after: float  # when what is unread can have come at the earliest, on time.monotonic()
    tags: Tags


@dataclass(frozen=True, slots=True)
class Unread:
    """The next piece of what came in on an offered connection and was not used."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Unsent:
    """The next piece of what was answered on an offered connection and not written."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """All of an offered connection was sent."""

    number: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The newer process has room for an offered connection."""

    number: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The newer process can't take an offered connection; the text says why, for logs."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class Taken:
    """The newer process serves a connection from now on."""

    number: int


@dataclass(frozen=True, slots=True)
class Handed:
    """A connection that a process of the release before gives away, with its descriptor."""

    number: int
    tags: Tags
    unread: bytes
    unsent: bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """The older process's answer to an open tag, as it goes to the client."""

    number: int
    tag: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has withdrawn an open tag."""

    number: int
    tag: int


@dataclass(frozen=True, slots=True)
class Gone:
    """The client's connection has ended."""

    number: int


Frame = (
    Offered | Unread | Unsent | Complete | Accepted | Refused | Taken | Handed | Answered | Withdrawn | Gone
)


def encode(frame: Frame) -> bytes:
    """The bytes of a frame."""
    kind, rest = _worded(frame)
    return _HEAD.pack(len(rest), kind, frame.number) + rest


def _worded(frame: Frame) -> tuple[_Kind, bytes]:
    match frame:
        case Offered():
            return _Kind.OFFERED, _offer(frame)
        case Unread():
            return _Kind.UNREAD, frame.data
        case Unsent():
            return _Kind.UNSENT, frame.data
        case Complete():
            return _Kind.COMPLETE, b""
        case Accepted():
            return _Kind.ACCEPTED, b""
        case Refused():
            return _Kind.REFUSED, frame.reason.encode()
        case Taken():
            return _Kind.TAKEN, b""
        case Handed():
            tags = json.dumps([frame.tags.used_to, frame.tags.used, frame.tags.open]).encode()
            return _Kind.HANDED, _SIZES.pack(
                len(tags), len(frame.unread)
            ) + tags + frame.unread + frame.unsent
        case Answered():
            return _Kind.ANSWERED, _TAG.pack(frame.tag) + frame.text
        case Withdrawn():
            return _Kind.WITHDRAWN, _TAG.pack(frame.tag)
        case Gone():
            return _Kind.GONE, b""


def _offer(offer: Offered) -> bytes:
    tags = offer.tags
    figures = (offer.memory, offer.unread, offer.unsent, offer.came_after)
    head = _OFFER.pack(*figures, tags.used_to, len(tags.used), len(tags.open))
    return head + _packed(tags.used) + _packed(tags.open)


def _packed(tags: tuple[int, ...]) -> bytes:
    return b"".join(map(_TAG.pack, tags))


class FrameReader:
    """Reads frames from a ring."""

    def __init__(self) -> None:
        self.wanted = _HEAD.size
        self._head: tuple[int, int, int] | None = None

    def ahead(self, data: bytes) -> Iterator[Frame]:
        """The whole frames in input that is not read yet, which stays; what is not in form ends them."""
        if not data:
            return
        reader, ring = FrameReader(), Ring(own_account(4 * len(data) + 2 * LEAST))
        reader._head = self._head
        ring.put(data)
        with contextlib.suppress(ProtocolError):  # told when it is read
            while (frame := reader.next(ring)) is not None:
                yield frame

    def next(self, ring: Ring) -> Frame | None:
        """The next frame; None until more has come in. Errors: ProtocolError."""
        if self._head is None:
            if ring.size < _HEAD.size:
                self.wanted = _HEAD.size
                return None
            self._head = _HEAD.unpack(ring.take(_HEAD.size))
        length, kind, number = self._head
        if length > MOST_FRAME:
            raise ProtocolError(f"a frame of {length} bytes")
        if ring.size < length:
            self.wanted = length
            return None
        rest, self._head = ring.take(length), None
        try:
            return _frame(_Kind(kind), number, rest)
        except (struct.error, ValueError, TypeError, ArithmeticError, RecursionError) as error:
            raise ProtocolError(f"kind {kind}: {error}") from error


def _frame(kind: _Kind, number: int, rest: bytes) -> Frame:
    match kind:
        case _Kind.OFFERED:
            return _offered(number, rest)
        case _Kind.UNREAD:
            return Unread(number, rest)
        case _Kind.UNSENT:
            return Unsent(number, rest)
        case _Kind.COMPLETE:
            return Complete(number)
        case _Kind.ACCEPTED:
            return Accepted(number)
        case _Kind.REFUSED:
            return Refused(number, rest.decode("utf-8", "replace"))
        case _Kind.TAKEN:
            return Taken(number)
        case _Kind.HANDED:
            return _handed(number, rest)
        case _Kind.ANSWERED:
            return Answered(number, _TAG.unpack_from(rest)[0], rest[_TAG.size :])
        case _Kind.WITHDRAWN:
            return Withdrawn(number, *_TAG.unpack(rest))
        case _Kind.GONE:
            return Gone(number)


def _offered(number: int, rest: bytes) -> Offered:
    memory, unread, unsent, came_after, used_to, used, open_ = _OFFER.unpack_from(rest)
    tags = tuple(tag for (tag,) in _TAG.iter_unpack(rest[_OFFER.size :]))
    if len(tags) != used + open_:
        raise ValueError("tags are missing")
    if max(unread, unsent) > MOST_HELD or not came_after >= 0:
        raise ValueError("a figure out of range")
    return Offered(number, memory, unread, unsent, came_after, Tags(used_to, tags[:used], tags[used:]))


def _handed(number: int, rest: bytes) -> Handed:
    size, unread = _SIZES.unpack_from(rest)
    at = _SIZES.size
    used_to, used, open_ = json.loads(rest[at : at + size])
    at += size
    tags = Tags(int(used_to), tuple(map(int, used)), tuple(map(int, open_)))
    return Handed(number, tags, rest[at : at + unread], rest[at + unread :])
