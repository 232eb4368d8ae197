"""The member table in pieces whose digests are exchanged, so that tables which differ come together."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from zlib import crc32

from starlinghaven.fleet.codec import Claim, Status
from starlinghaven.fleet.members import Member
from starlinghaven.fleet.universe import Universe

PIECE = 16  # members in one piece: their claims fit into one datagram


class Pieces:
    """Digests of a member table that others change."""

    def __init__(self, members: Sequence[Member], universe: Universe) -> None:
        self._members, self._universe = members, universe

    def __len__(self) -> int:
        return math.ceil(len(self._members) / PIECE)

    def members(self, piece: int) -> range:
        """The numbers of the members in a piece."""
        return range(piece * PIECE, min((piece + 1) * PIECE, len(self._members)))

    def digest(self, piece: int) -> int:
        """A digest of what is held of a piece. Suspicions pass too quickly to count as a difference."""
        parts = []
        for n in self.members(piece):
            m = self._members[n]
            status = Status.ALIVE if m.status is Status.SUSPECT else m.status
            parts.append(b"%d,%d,%d,%d;" % (self._universe.prints[n], status, m.life, m.inc))
        return crc32(b"".join(parts))

    def differing(self, digests: Iterable[tuple[int, int]]) -> list[int]:
        """The pieces of which another member holds something else, by its digests."""
        return [piece for piece, digest in digests if piece < len(self) and digest != self.digest(piece)]

    def known(self, piece: int) -> tuple[int, ...]:
        """The members of a piece of which anything is known."""
        return tuple(n for n in self.members(piece) if self._members[n].status is not Status.UNKNOWN)

    def newer_than(self, claims: Iterable[Claim], piece: int) -> bool:
        """Whether anything held of a piece is newer than what another member claims."""
        said = {c.member: (c.version, c.status) for c in claims}
        unheard = ((0, 0), Status.UNKNOWN)
        held = ((n, self._members[n]) for n in self.known(piece))
        return any((m.version, m.status) > said.get(n, unheard) for n, m in held)
