"""Reports and tables between edge proxies: a compact binary form of at most 256 bytes. Sans I/O.

Numbers are unsigned and big-endian. Header, 13 bytes::

    magic:1 version<<4|kind:1 sender:2 universe:2 life:4 number:2 zone:1

`number` rises with each datagram of one life, so that doubled, late and overtaken ones are known. A report::

    window:2 total:2 covered:1  caches:1, each id:3 sent:1 held:1 served:1 failed:1  keys:1, each key:4

`total` requests were sent in `window` ms; `covered`/255 of the caches that got any are in it, chosen by hash;
`keys` are drawn evenly from all objects asked for. A table, or a part of one::

    reporters:2 rate:2  caches:1, each id:3 share:1 speed:1  hot:1, each key:4 wide:1

`id` is 24 bits of the store's id, `key` 32 bits of the object's. `sent`, `held`, `served` and
`failed` are logarithmic, about 4% apart (`_pack`); `share` and `speed` are 255ths.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from starlinghaven.datagrams import MOST_BYTES, Refused, counted, listed, opened, whole

MAGIC, VERSION = 0xE8, 1
_HEADER = struct.Struct(">BBHHIHB")
_REPORT, _TABLE = struct.Struct(">HHB"), struct.Struct(">HH")
_SEEN, _ROW = struct.Struct(">HBBBBB"), struct.Struct(">HBBB")
_KEY, _HOT = struct.Struct(">I"), struct.Struct(">IB")
STEPS = 16.0  # logarithmic steps in a doubling
SENT_UNIT, HELD_UNIT = 1.0, 1 / 64
ROOM = MOST_BYTES - _HEADER.size
REPORT_CACHES = (ROOM - _REPORT.size - 2) // _SEEN.size  # in one report without keys
TABLE_ROWS = (ROOM - _TABLE.size - 2) // _ROW.size  # caches and hot objects in one table, together


class Kind(IntEnum):
    REPORT = 1
    TABLE = 2


@dataclass(frozen=True, slots=True)
class Seen:
    """What one proxy saw of one cache in the window of a report."""

    cache: int
    sent: float  # requests
    held: float  # requests out there, averaged over the window
    served: float  # requests that it answered with what was asked for
    failed: float  # requests that it did not: errors, time-outs, no connection


@dataclass(frozen=True, slots=True)
class Row:
    """What a table says of one cache."""

    cache: int
    share: float  # balance of objects, 0 to 1
    speed: float  # against its peers, 0 to 1


@dataclass(frozen=True, slots=True)
class Report:
    window_ms: int
    total: int
    covered: float
    caches: tuple[Seen, ...] = ()
    keys: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Table:
    reporters: int
    rate: int  # requests a second, by all
    rows: tuple[Row, ...] = ()
    hot: tuple[tuple[int, int], ...] = ()  # key and number of homes


@dataclass(frozen=True, slots=True)
class Datagram:
    sender: int
    universe: int
    life: int
    number: int
    zone: int
    body: Report | Table = field(default_factory=lambda: Table(0, 0))


def report_room(keys: int) -> int:
    """Caches that fit into a report beside so many keys."""
    return REPORT_CACHES - math.ceil(keys * _KEY.size / _SEEN.size)


def cache_id(store: str) -> int:
    """A store's id as reports and tables name it."""
    return crc32(store.encode()) & 0xFF_FFFF


def key_id(key: str) -> int:
    """An object as reports and tables name it."""
    return crc32(key.encode())


def _pack(value: float, unit: float) -> int:
    return min(round(STEPS * math.log2(1 + max(value, 0.0) / unit)), 255)


def _unpack(step: int, unit: float) -> float:
    return float(unit * (2 ** (step / STEPS) - 1))


def _share(value: float) -> int:
    return min(max(round(255 * value), 0), 255)


def encode(d: Datagram) -> bytes:
    """The bytes of a datagram. Errors: ValueError if it would be too long (a caller's mistake)."""
    body = d.body
    kind = Kind.REPORT if isinstance(body, Report) else Kind.TABLE
    out = [_HEADER.pack(MAGIC, VERSION << 4 | kind, d.sender, d.universe, d.life, d.number, d.zone)]
    if isinstance(body, Report):
        window, total = min(body.window_ms, 0xFFFF), min(body.total, 0xFFFF)
        out.append(_REPORT.pack(window, total, _share(body.covered)))
        out += counted(_seen(seen) for seen in body.caches)
        out += counted(_KEY.pack(k) for k in body.keys)
    else:
        out.append(_TABLE.pack(min(body.reporters, 0xFFFF), min(body.rate, 0xFFFF)))
        out += counted(
            _ROW.pack(r.cache >> 8, r.cache & 0xFF, _share(r.share), _share(r.speed)) for r in body.rows
        )
        out += counted(_HOT.pack(key, min(wide, 255)) for key, wide in body.hot)
    return whole(out)


def _seen(s: Seen) -> bytes:
    sent, ends = _pack(s.sent, SENT_UNIT), [_pack(n, SENT_UNIT) for n in (s.served, s.failed)]
    return _SEEN.pack(s.cache >> 8, s.cache & 0xFF, sent, _pack(s.held, HELD_UNIT), *ends)


def decode(data: bytes) -> Datagram:
    """The datagram in these bytes, whole or not at all. Errors: Refused, with the reason."""
    header = opened(data, _HEADER, _HEADER.size + 2, MAGIC, VERSION)
    _, form, sender, universe, life, number, zone = header
    body: Report | Table
    try:
        if form & 0x0F == Kind.REPORT:
            window, total, covered = _REPORT.unpack_from(data, _HEADER.size)
            caches, at = listed(data, _HEADER.size + _REPORT.size, _SEEN)
            keys, at = listed(data, at, _KEY)
            if not window or not covered:
                raise Refused("unreadable")
            seen = tuple(
                Seen(
                    c << 8 | d,
                    _unpack(n, SENT_UNIT),
                    _unpack(held, HELD_UNIT),
                    _unpack(served, SENT_UNIT),
                    _unpack(failed, SENT_UNIT),
                )
                for c, d, n, held, served, failed in caches
            )
            body = Report(window, total, covered / 255, seen, tuple(key for (key,) in keys))
        elif form & 0x0F == Kind.TABLE:
            reporters, rate = _TABLE.unpack_from(data, _HEADER.size)
            caches, at = listed(data, _HEADER.size + _TABLE.size, _ROW)
            hot, at = listed(data, at, _HOT)
            rows = tuple(Row(c << 8 | d, a / 255, v / 255) for c, d, a, v in caches)
            body = Table(reporters, rate, rows, tuple((key, wide) for key, wide in hot))
        else:
            raise Refused("unreadable")
    except struct.error as error:
        raise Refused("unreadable") from error
    if at != len(data):
        raise Refused("unreadable")
    return Datagram(sender, universe, life, number, zone, body)
