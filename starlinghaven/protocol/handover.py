"""What two processes of an upgrade say to each other: frames about connections handed over. Sans I/O."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass

from starlinghaven.protocol import ProtocolError
from starlinghaven.transport.ring import Ring

MOST_FRAME = 24 * 1024 * 1024  # bytes: what a connection may hold unsent, and what came in
_HEAD = struct.Struct(">IBQ")  # length of what follows the head, kind, number of the connection
_TAG = struct.Struct(">Q")
_SIZES = struct.Struct(">II")
_HAND, _ANSWER, _CANCEL, _GONE = range(4)


@dataclass(frozen=True, slots=True)
class Handed:
    """A connection changes hands: a descriptor comes with the frame's first byte."""

    number: int
    used_to: int  # all tags up to this one have been used
    used: tuple[int, ...]  # those above it
    open: tuple[int, ...]  # tags still to be answered through the older process
    unread: bytes  # came in and was not used yet
    unsent: bytes  # was answered and not written yet


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


Frame = Handed | Answered | Withdrawn | Gone


def encode(frame: Frame) -> bytes:
    match frame:
        case Handed():
            tags = json.dumps([frame.used_to, frame.used, frame.open]).encode()
            rest = _SIZES.pack(len(tags), len(frame.unread)) + tags + frame.unread + frame.unsent
            kind = _HAND
        case Answered():
            kind, rest = _ANSWER, _TAG.pack(frame.tag) + frame.text
        case Withdrawn():
            kind, rest = _CANCEL, _TAG.pack(frame.tag)
        case Gone():
            kind, rest = _GONE, b""
    return _HEAD.pack(len(rest), kind, frame.number) + rest


class FrameReader:
    """Reads frames from a ring."""

    def __init__(self) -> None:
        self.wanted = _HEAD.size
        self._head: tuple[int, int, int] | None = None

    def next(self, ring: Ring) -> Frame | None:
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
            return _frame(kind, number, rest)
        except (struct.error, ValueError, TypeError) as error:
            raise ProtocolError(f"kind {kind}: {error}") from error


def _frame(kind: int, number: int, rest: bytes) -> Frame:
    if kind == _HAND:
        tags, unread = _SIZES.unpack_from(rest)
        at = _SIZES.size
        used_to, used, open = json.loads(rest[at : at + tags])
        at += tags
        return Handed(number, used_to, tuple(used), tuple(open), rest[at : at + unread], rest[at + unread :])
    if kind == _ANSWER:
        return Answered(number, _TAG.unpack_from(rest)[0], rest[_TAG.size :])
    if kind == _CANCEL:
        return Withdrawn(number, *_TAG.unpack(rest))
    if kind == _GONE:
        return Gone(number)
    raise ValueError("unknown")
