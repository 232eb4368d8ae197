"""The tags that a client has used on its connection: none may come a second time."""

from __future__ import annotations

from collections.abc import Iterable

from starlinghaven.memory import Account, NoMemory
from starlinghaven.protocol import ProtocolError

MOST_APART = 4 * 4_096  # used tags kept one by one, at which a connection is closed in any case
MANY_APART = 4_096  # ... and from which it is closed once nothing is open
FEW_APART = 64  # ... up to which a client may use the whole account: requests in an order of their own
TAG_BYTES = 128  # of a tag that is kept by itself


class UsedTags:
    """Tags mostly count up, so that only those above a gap cost memory."""

    __slots__ = ("_account", "_apart", "up_to")

    def __init__(self, account: Account) -> None:
        self._account = account
        self.up_to = 0  # all tags up to this one have been used
        self._apart: set[int] | None = None  # those used above it, if any

    @property
    def apart(self) -> tuple[int, ...]:
        """The used tags above a gap."""
        return tuple(self._apart or ())

    @property
    def too_many(self) -> bool:
        """Whether so many are kept one by one that the connection is to be closed once nothing is open."""
        return self._apart is not None and len(self._apart) >= MANY_APART

    def use(self, tag: int) -> None:
        """Notes a tag. Errors: ProtocolError for one used before, or if far too many are to be kept.

        A tag used again can't be answered without doubt which request is meant.
        """
        apart = self._apart or ()
        if tag <= self.up_to or tag in apart:
            raise ProtocolError("a tag is used again")
        if tag == self.up_to + 1:
            self.up_to = tag
            self._close_gap()
        else:
            self._keep_apart(tag)

    def _keep_apart(self, tag: int) -> None:
        kept = len(self._apart or ())
        if kept >= MOST_APART:
            raise ProtocolError("too many tags with gaps between them")
        try:
            self._account.take(TAG_BYTES, leave=self._account.reserve if kept >= FEW_APART else 0)
        except NoMemory as error:
            raise ProtocolError("too many tags with gaps between them, on all connections") from error
        if self._apart is None:
            self._apart = set()
        self._apart.add(tag)

    def _close_gap(self) -> None:
        while self._apart and self.up_to + 1 in self._apart:
            self.up_to += 1
            self._apart.remove(self.up_to)
            self._account.give(TAG_BYTES)
        if not self._apart:
            self._apart = None  # an empty set keeps the memory that it once needed

    def restore(self, up_to: int, apart: Iterable[int]) -> None:
        """Takes over what another process knew of the connection."""
        self.up_to, self._apart = up_to, set(apart) or None
        self._account.take_always(TAG_BYTES * len(self._apart or ()))

    def close(self) -> None:
        """Gives all memory back."""
        self._account.give(TAG_BYTES * len(self._apart or ()))
        self._apart = None
