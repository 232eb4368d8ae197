"""What the datagrams between edge proxies share: their most bytes, refusals, counted lists. Sans I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable

MOST_BYTES = 256  # of a datagram; the platform voids a run in which a longer one is sent


class Refused(Exception):
    """A datagram that can't be taken; the text names the reason, for counting."""


def opened(data: bytes, form: struct.Struct, least: int, magic: int, version: int) -> tuple[int, ...]:
    """The header's numbers, magic and version<<4|kind first. Errors: Refused, with the reason."""
    if len(data) > MOST_BYTES:
        raise Refused("too long")
    if len(data) < least:
        raise Refused("too short")
    header = form.unpack_from(data)
    if header[0] != magic:
        raise Refused("foreign")
    if header[1] >> 4 != version:
        raise Refused("version")
    return header


def counted(items: Iterable[bytes]) -> list[bytes]:
    """A list as it stands in a datagram: how many in one byte, then each."""
    packed = list(items)
    return [bytes([len(packed)]), *packed]


def listed(data: bytes, at: int, form: struct.Struct) -> tuple[list[tuple[int, ...]], int]:
    """One counted list, and where it ends. Errors: Refused."""
    if at >= len(data):
        raise Refused("unreadable")
    end = at + 1 + data[at] * form.size
    if end > len(data):
        raise Refused("unreadable")
    return list(form.iter_unpack(data[at + 1 : end])), end


def whole(out: list[bytes]) -> bytes:
    """The bytes of a datagram. Errors: ValueError if it would be too long (a caller's mistake)."""
    data = b"".join(out)
    if len(data) > MOST_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes: {MOST_BYTES} are allowed")
    return data
