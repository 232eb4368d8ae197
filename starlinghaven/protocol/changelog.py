"""The change log: numbered events as frames, and the same events in the configuration's JSON."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from starlinghaven.protocol import ProtocolError, numbers
from starlinghaven.transport.ring import Ring

MOST_FRAME = 4 * 1024 * 1024  # bytes: some fifty times the whole list of the largest fleet
_LENGTH, _HEAD, _RECORD = struct.Struct(">I"), struct.Struct(">QB"), struct.Struct(">I4sHBBBHIQ")
_OBJECT, _GROUP = struct.Struct(">8sQ"), struct.Struct(">HQ")
PIECE_LINES = 64  # of a list that are read at once
PIECE_BYTES = PIECE_LINES * _RECORD.size
WHOLE_LIST, LIST_CHANGES, OBJECT_PURGE, GROUP_PURGE = 1, 2, 3, 4
_FLEETS = (WHOLE_LIST, LIST_CHANGES)
_PURGES = {OBJECT_PURGE: _OBJECT, GROUP_PURGE: _GROUP}
HEARTBEAT_MS = 1_000.0  # between two empty frames
LATE_MS = 3_000.0  # that frames may lag behind what the connection proves
SETTLE_MS = 60_000.0  # of a connection in which it is not judged: each new one delays what is to come
MOST_GROUP = 2**16 - 1
MOST_CELL = 2**16 - 1
MOST_WEIGHT = (2**32 - 1) / 1000
READY, DRAINING, GONE = 0, 1, 2
STATES = {"active": READY, "leaving": DRAINING, "left": GONE}


@dataclass(frozen=True, slots=True)
class Record:
    """One store as the log lists it. Zone and kind are places in the settings' lists."""

    id: str
    address: str
    state: int
    zone: int
    kind: int
    cell: int
    weight: float
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class Fleet:
    """The whole list, or changes to it; of a long one a piece."""

    whole: bool
    records: tuple[Record, ...]
    first: bool = True  # no piece of the same event came before
    last: bool = True  # ... and none follows


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or with no key a whole group."""

    key: str | None
    group: int
    unix_ms: float


News = Fleet | Purged


class _NeedsMore(Exception):
    """More of a frame must come in."""


class UnusableEvent(ProtocolError):
    """An event whose payload can't be read. What follows it can: its frame had the length that it said."""

    def __init__(self, number: int, text: str) -> None:
        super().__init__(f"event {number}: {text}")
        self.number = number


@dataclass(slots=True)
class _OpenFrame:
    """A frame that is being read."""

    number: int
    kind: int
    left: int  # bytes of its payload that are still to come
    begun: bool = False  # a piece of it has been read
    problem: str = ""  # why it can't be read: the rest of it is skipped


class FrameReader:
    """Reads frames from a ring. An empty frame comes out as no news under its number.

    A list of stores comes out in pieces as it comes in, so that a frame needs no memory for all of it.
    """

    def __init__(self) -> None:
        self.wanted = _LENGTH.size
        self._length: int | None = None
        self._frame: _OpenFrame | None = None

    def next(self, ring: Ring) -> tuple[int, News | None] | None:
        """The next event's number and news, of a list a piece; None until more has come in.

        Errors: UnusableEvent, after which the next frame can be read; ProtocolError for what is no frame.
        """
        if self._frame is None:
            self._frame = self._begin(ring)
        frame = self._frame
        if frame is None:
            return None
        try:
            news = self._read(frame, ring)
        except _NeedsMore:
            return None
        if not frame.left:
            self._frame, self.wanted = None, _LENGTH.size
            if frame.problem:
                raise UnusableEvent(frame.number, frame.problem)
        return frame.number, news

    def _begin(self, ring: Ring) -> _OpenFrame | None:
        """The next frame, once its head has come in. Errors: ProtocolError."""
        if self._length is None:
            if ring.size < _LENGTH.size:
                return None
            (self._length,) = _LENGTH.unpack(ring.take(_LENGTH.size))
            if not _HEAD.size <= self._length <= MOST_FRAME:
                raise ProtocolError(f"a frame of {self._length} bytes")
        self.wanted = _HEAD.size
        if ring.size < _HEAD.size:
            return None
        number, kind = _HEAD.unpack(ring.take(_HEAD.size))
        if number > numbers.MOST_EVENT:
            raise ProtocolError(f"a frame with the number {number}")
        left, self._length = self._length - _HEAD.size, None
        return _OpenFrame(number, kind, left, problem=_size_problem(kind, left))

    def _read(self, frame: _OpenFrame, ring: Ring) -> News | None:
        """The next piece of a frame. Errors: _NeedsMore."""
        if frame.problem or frame.kind not in (*_FLEETS, *_PURGES):
            self._skip(frame, ring)
            return None
        raw = self._take(frame, ring, min(frame.left, PIECE_BYTES))
        if frame.kind in _PURGES:
            return _purge(frame.kind, raw)
        first, frame.begun = not frame.begun, True
        try:
            records = tuple(_record(line) for line in _RECORD.iter_unpack(raw))
        except ProtocolError as error:
            frame.problem = str(error)
            self._skip(frame, ring)
            return None
        return Fleet(frame.kind == WHOLE_LIST, records, first, last=not frame.left)

    def _take(self, frame: _OpenFrame, ring: Ring, size: int) -> bytes:
        if ring.size < size:
            self.wanted = size
            raise _NeedsMore
        frame.left -= size
        return ring.take(size) if size else b""

    def _skip(self, frame: _OpenFrame, ring: Ring) -> None:
        """Drops what has come in of the rest of a frame. Errors: _NeedsMore, until it has come whole."""
        there = min(frame.left, ring.size)
        ring.skip(there)
        frame.left -= there
        if frame.left:
            self.wanted = 1
            raise _NeedsMore


class Progress:
    """How current the events read from one connection are. All times are milliseconds on one clock.

    A frame may have waited anywhere for long, so the moment of its arrival proves nothing. What does: the log
    sends nothing before it has read the request to resume, and an empty frame each second from then on.
    """

    def __init__(self, resumed_ms: float) -> None:
        """The request to resume was written at `resumed_ms`."""
        self._resumed_ms = resumed_ms
        self._sent_ms = resumed_ms  # the last frame was sent at this moment or later
        self._beat_ms: float | None = None  # the last empty frame was sent at this moment or later
        self._behind_ms = 0.0

    def heartbeat(self, now_ms: float) -> float:
        """Takes an empty frame; returns a moment before which the log cannot have sent it."""
        if self._beat_ms is not None:
            self._sent_ms = max(self._sent_ms, self._beat_ms + HEARTBEAT_MS)
        self._beat_ms = self._sent_ms = min(self._sent_ms, now_ms)
        self._behind_ms = now_ms - self._sent_ms
        return self._sent_ms

    def stamped(self, stamped_ms: float) -> float:
        """Takes an event made at this moment; returns a moment before which it cannot have been sent."""
        self._sent_ms = max(self._sent_ms, stamped_ms)
        return self._sent_ms

    @property
    def late(self) -> bool:
        """Whether frames come so late that asking anew would prove more."""
        settled = self._sent_ms + self._behind_ms > self._resumed_ms + SETTLE_MS
        return settled and self._behind_ms > LATE_MS


def _size_problem(kind: int, size: int) -> str:
    """Why a payload of this size can't be one of this kind; empty if it can."""
    if kind in _FLEETS and size % _RECORD.size:
        return f"kind {kind}: {size} bytes are no whole number of lines"
    if kind in _PURGES and size != _PURGES[kind].size:
        return f"kind {kind}: {size} bytes"
    return ""


def _purge(kind: int, payload: bytes) -> Purged:
    name, at = _PURGES[kind].unpack(payload)
    return Purged(None, name, at) if kind == GROUP_PURGE else Purged(name.hex(), 0, at)


def _record(raw: tuple[Any, ...]) -> Record:
    number, address, port, state, zone, kind, cell, weight, started = raw
    if state not in (READY, DRAINING, GONE):
        raise ProtocolError(f"state {state}")
    return Record(
        f"s-{number:08x}", f"{IPv4Address(address)}:{port}", state, zone, kind, cell, weight / 1000, started
    )


def read_known(raw: dict[str, Any], zones: Sequence[str], kinds: Sequence[str]) -> list[tuple[int, News]]:
    """The events of a start; the first one carries the whole list."""
    events: list[tuple[int, News]] = []
    try:
        for entry in raw.get("results", ()):
            if "fleet" in entry:
                fleet = entry["fleet"]
                first = not any(isinstance(news, Fleet) for _, news in events)
                records = tuple(_listed(e, zones, kinds) for e in fleet["instances"])
                events.append((_sequence(entry), Fleet(first or bool(fleet.get("reset")), records)))
            elif "invalidate" in entry:
                events.append((_sequence(entry), _purged(entry["invalidate"])))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"known: {type(error).__name__}: {error}") from error
    return events


def _sequence(entry: dict[str, Any]) -> int:
    return numbers.integer(entry["seq"], numbers.MOST_EVENT)


def _purged(purge: dict[str, Any]) -> Purged:
    key = purge.get("object")
    return Purged(
        key=None if key is None else numbers.text(key),
        group=numbers.integer(purge.get("bucket") or 0, MOST_GROUP),
        unix_ms=numbers.finite(purge["time"], numbers.MOST_UNIX_MS),
    )


def _listed(e: dict[str, Any], zones: Sequence[str], kinds: Sequence[str]) -> Record:
    return Record(
        id=numbers.text(e["instanceId"]),
        address=numbers.text(e["hostPort"]),
        state=STATES[e["lifecycle"]],
        zone=zones.index(e["zone"]),
        kind=kinds.index(e["machineType"]),
        cell=numbers.integer(e.get("cell") or 0, MOST_CELL),
        weight=numbers.finite(e.get("weight", 1.0), MOST_WEIGHT),
        started_unix_ms=numbers.finite(e.get("startedAtMs") or 0, numbers.MOST_UNIX_MS),
    )


def resume(last: int) -> bytes:
    """What the reader of the log says first: the number of the last event that it has, up to MOST_EVENT."""
    return last.to_bytes(8, "big")
