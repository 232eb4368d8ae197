"""The change log: numbered events as frames, and the same events in the configuration's JSON."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from starlinghaven.protocol import ProtocolError, numbers
from starlinghaven.transport.ring import Ring

MOST_FRAME = 256 * 1024
_LENGTH, _HEAD, _RECORD = struct.Struct(">I"), struct.Struct(">QB"), struct.Struct(">I4sHBBBHIQ")
_OBJECT, _GROUP = struct.Struct(">8sQ"), struct.Struct(">HQ")
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
    """The whole list, or changes to it."""

    whole: bool
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or with no key a whole group."""

    key: str | None
    group: int
    unix_ms: float


News = Fleet | Purged


class UnusableEvent(ProtocolError):
    """An event whose payload can't be read. What follows it can: its frame had the length that it said."""

    def __init__(self, number: int, text: str) -> None:
        super().__init__(f"event {number}: {text}")
        self.number = number


class FrameReader:
    """Reads frames from a ring. An empty frame comes out as no news under its number."""

    def __init__(self, most_bytes: int = MOST_FRAME) -> None:
        """`most_bytes`: of a frame, where there is memory for no longer one."""
        self._most = min(most_bytes, MOST_FRAME)
        self.wanted = _LENGTH.size
        self._length: int | None = None

    def next(self, ring: Ring) -> tuple[int, News | None] | None:
        """The next frame's number and event; None until more has come in.

        Errors: UnusableEvent, after which the next frame can be read; ProtocolError for what is no frame.
        """
        if self._length is None:
            if ring.size < _LENGTH.size:
                return None
            (self._length,) = _LENGTH.unpack(ring.take(_LENGTH.size))
            if not _HEAD.size <= self._length <= self._most:
                raise ProtocolError(f"a frame of {self._length} bytes")
        if ring.size < self._length:
            self.wanted = self._length
            return None
        frame, self._length, self.wanted = ring.take(self._length), None, _LENGTH.size
        number, kind = _HEAD.unpack_from(frame)
        if number > numbers.MOST_EVENT:
            raise ProtocolError(f"a frame with the number {number}")
        try:
            return number, _news(kind, frame[_HEAD.size :])
        except ProtocolError as error:
            raise UnusableEvent(number, str(error)) from error


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


def _news(kind: int, payload: bytes) -> News | None:
    try:
        if kind in (1, 2):
            return Fleet(kind == 1, tuple(_record(raw) for raw in _RECORD.iter_unpack(payload)))
        if kind == 3:
            key, at = _OBJECT.unpack(payload)
            return Purged(key.hex(), 0, at)
        if kind == 4:
            group, at = _GROUP.unpack(payload)
            return Purged(None, group, at)
    except struct.error as error:
        raise ProtocolError(f"kind {kind}: {error}") from error
    return None  # nothing new, or a kind of later days


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
