"""A look at the socket of a client that another process serves now, for whoever still owes it answers."""

from __future__ import annotations

import os

from starlinghaven.protocol.resp import encode
from starlinghaven.transport.connection import MOST_PEEKED
from starlinghaven.transport.sockets import has_hung_up, peeked


class HandedSocket:
    """Owns a descriptor of its own for the socket, and only ever looks at it: the other process reads it."""

    def __init__(self, fd: int) -> None:
        """`fd` stays the caller's. Errors: OSError, where no descriptor is free."""
        self._fd = os.dup(fd)

    def shows_leave(self, tag: int) -> bool:
        """Whether the peer has ended its side, or the cancel of a tag lies unread.

        Where a message begins is not known here, so that the cancel is looked for as it is written.
        """
        if has_hung_up(self._fd):
            return True
        unread = peeked(self._fd, MOST_PEEKED)
        forms = (encode(b"RPC.CANCEL", b"%d" % tag), encode(b"RPC.CANCEL", b"%d" % tag, b""))
        return any(form.partition(b"\r\n")[2] in unread for form in forms)

    def close(self) -> None:
        """Gives the descriptor back."""
        os.close(self._fd)
