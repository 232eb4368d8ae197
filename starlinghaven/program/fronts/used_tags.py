"""The tags that a client has used on its connection, as far as they are remembered: none may come again.

Remembering them guards against clients that break the protocol, and only against those. So the memory for it
is bounded, and where it is used up the lowest are forgotten. That costs a client that keeps to the protocol
nothing. A tag that is open is no matter of this table: see `Client`.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable

from starlinghaven.memory import Account
from starlinghaven.protocol import ProtocolError

MOST_APART = 4_096  # used tags of a connection that are kept one by one
PREPAID_APART = 32  # ... of which so many are a part of what a connection costs: as many as may be open
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

    def use(self, tag: int) -> bool:
        """Notes a tag; whether another one had to be forgotten for it.

        Errors: ProtocolError for one that is known to have been used: an answer to it would leave open which
        request is meant.
        """
        if tag == self.up_to + 1 and self._apart is None:
            self.up_to = tag
            return False
        apart = array("Q") if self._apart is None else self._apart
        at = bisect_left(apart, tag)
        if tag <= self.up_to or at < len(apart) and apart[at] == tag:
            raise ProtocolError("a tag is used again")
        apart.insert(at, tag)
        self._apart = apart
        self._close_gap()
        return self._forget_lowest()

    def _forget_lowest(self) -> bool:
        """Forgets those for which there is no memory; whether there were any."""
        kept = len(self._apart or ())
        allowed = self._allowed(kept)
        if self._apart is not None and kept > allowed:
            del self._apart[: kept - allowed]
        return kept > allowed

    def _allowed(self, wanted: int) -> int:
        """Takes memory for so many tags, as far as there is any; how many may be kept.

        Who keeps many leaves as much to others as it has.
        """
        counted = min(max(wanted, 0), MOST_APART) - PREPAID_APART
        free = (self._account.free - self._counted * TAG_BYTES) // TAG_BYTES
        more = max(min(counted - self._counted, free), 0)
        self._account.take_always(more * TAG_BYTES)
        self._counted += more
        return PREPAID_APART + self._counted

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
        self._forget_lowest()

    def close(self) -> None:
        """Gives all memory back."""
        self._release(0)
        self._apart = None
