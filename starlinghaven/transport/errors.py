"""What an error of a system call means for whoever made it: the one place that tells passing errors apart."""

from __future__ import annotations

import errno
from enum import Enum, auto


class Meaning(Enum):
    """What to do about an error of accept(2)."""

    CONNECTION = auto()  # that one connection failed: take the next
    SHORTAGE = auto()  # nothing can be had for a moment: wait
    BROKEN = auto()  # the listening socket can't be used any more


SHORT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
SHORTAGES = SHORT_OF_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM, errno.ENOSR}
BROKEN = frozenset({errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK})
LOCAL = SHORTAGES | {
    *(errno.EADDRNOTAVAIL, errno.EINTR, errno.EAGAIN),
    *(errno.ENETUNREACH, errno.ENETDOWN, errno.EHOSTUNREACH),
}
"""Errors of socket and connect that tell of this machine, or of a moment, and nothing of the peer."""
PASSING = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN})


def of_accept(error: OSError) -> Meaning:
    """What a failed accept means. Linux passes on errors of the new connection, of any kind (accept(2))."""
    if error.errno in BROKEN:
        return Meaning.BROKEN
    if error.errno in SHORTAGES:
        return Meaning.SHORTAGE
    return Meaning.CONNECTION


def concerns_peer(error: OSError) -> bool:
    """Whether a failed socket(2) or connect(2) tells of the peer; else it may be tried again."""
    return error.errno not in LOCAL


def passes(error: OSError) -> bool:
    """Whether a read or write on a connection may be tried again: the connection itself is well."""
    return error.errno in PASSING
