"""Who may be a member: the configuration's `peers`, in their order. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from starlinghaven.fleet.codec import MOST_NUMBER

Address = tuple[str, int]


class UniverseError(ValueError):
    """A list of peers that can't be used; the text says why."""


class Universe:
    """The fixed list of addresses. A member's number is its position, the same at every proxy."""

    def __init__(self, addresses: Sequence[Address], own: int) -> None:
        """Errors: UniverseError for a list with doubles, too long, or without the own place."""
        if not 0 <= own < len(addresses):
            raise UniverseError(f"peers: own number {own} is not among {len(addresses)} addresses")
        if len(addresses) >= MOST_NUMBER:
            raise UniverseError(f"peers: {len(addresses)} addresses, fewer than {MOST_NUMBER} are possible")
        self.addresses, self.own = tuple(addresses), own
        self._numbers: dict[Address, int] = {}
        for number, address in enumerate(self.addresses):
            if address in self._numbers:
                raise UniverseError(f"peers: {address[0]}:{address[1]} stands twice")
            self._numbers[address] = number
        texts = [f"{host}:{port}".encode() for host, port in self.addresses]
        self.prints = tuple(crc32(text) & 0xFF for text in texts)
        self.digest = crc32(b"\n".join(texts)) & 0xFFFF

    def __len__(self) -> int:
        return len(self.addresses)

    def number(self, address: Address) -> int | None:
        """Whose address this is, or None for one from elsewhere."""
        return self._numbers.get(address)
