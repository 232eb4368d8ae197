"""The tags that a client has used on its connection: none may come a second time."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable

from starlinghaven.memory import Account, NoMemory
from starlinghaven.protocol import ProtocolError

MOST_APART = 4 * 4_096  # used tags kept one by one, at which a connection is closed in any case
MANY_APART = 4_096  # ... and from which it is closed once nothing is open
PREPAID_APART = 32  # ... up to which they are a part of what a connection costs: as many as may be open
TAG_BYTES = 12  # of a tag that is kept by itself


class UsedTags:
    """Tags mostly count up, so that only those above a gap cost memory."""

    __slots__ = ("_account", "_apart", "_counted", "up_to")

    def __init__(self, account: Account) -> None:
        self._account = account
        self.up_to = 0  # all tags up to this one have been used
        self._apart: array[int] | None = None  # those used above it, in order, if any
        self._counted = 0  # of those, that the account knows

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
        if tag == self.up_to + 1 and self._apart is None:
            self.up_to = tag
            return
        apart = array("Q") if self._apart is None else self._apart
        at = bisect_left(apart, tag)
        if tag <= self.up_to or at < len(apart) and apart[at] == tag:
            raise ProtocolError("a tag is used again")
        self._count(len(apart) + 1)
        apart.insert(at, tag)
        self._apart = apart
        self._close_gap()

    def _count(self, kept: int) -> None:
        """Takes memory for so many tags, beside those that are prepaid."""
        if kept > MOST_APART:
            raise ProtocolError("too many tags with gaps between them")
        wanted = max(kept - PREPAID_APART, 0) - self._counted
        try:
            self._account.take(max(wanted, 0) * TAG_BYTES, leave=self._counted * TAG_BYTES)
        except NoMemory as error:
            raise ProtocolError("too many tags with gaps between them, on all connections") from error
        self._counted += max(wanted, 0)

    def _close_gap(self) -> None:
        """Lets go of the tags that have no gap below them any more."""
        assert self._apart is not None
        closed = 0
        while closed < len(self._apart) and self._apart[closed] == self.up_to + 1:
            self.up_to += 1
            closed += 1
        if closed:
            self._apart = self._apart[closed:] or None
            self._release(max(len(self._apart or ()) - PREPAID_APART, 0))

    def _release(self, counted: int) -> None:
        """Gives back the memory of all but so many tags."""
        if counted < self._counted:
            self._account.give((self._counted - counted) * TAG_BYTES)
            self._counted = counted

    def restore(self, up_to: int, apart: Iterable[int]) -> None:
        """Takes over what another process knew of the connection."""
        self.up_to, self._apart = up_to, array("Q", sorted(apart)) or None
        self._counted = max(len(self._apart or ()) - PREPAID_APART, 0)
        self._account.take_always(self._counted * TAG_BYTES)

    def close(self) -> None:
        """Gives all memory back."""
        self._release(0)
        self._apart = None
