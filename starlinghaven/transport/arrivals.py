"""How long what is read now may have waited in the system's buffers: the process may have stood still."""

from __future__ import annotations

import math
import time

import trio

BLOCKED_S = 0.02  # a wait for events that took less may not have blocked: what it found came before it
STALL_S = 0.1  # between two looks, beyond what the loop waited for, from which the process stood still
OVERSLEPT_S = 0.05  # beyond its time-out, from which a wait for events was interrupted


class ArrivalWatch(trio.abc.Instrument):
    """Notes when the event loop looked at its sockets; times are seconds on the monotonic clock."""

    def __init__(self) -> None:
        self._looked_at = self._wait_began_at = time.monotonic()
        self._arrived_after = self.last_look_at = self._looked_at
        self.stall_began_at = self.stall_ended_at = -math.inf  # the last time that the process stood still

    def before_io_wait(self, timeout: float) -> None:
        """The loop begins to wait for events."""
        self._wait_began_at = time.monotonic()

    def after_io_wait(self, timeout: float) -> None:
        """The loop has looked: what is readable now came in after the moment noted here."""
        now = time.monotonic()
        waited = now - self._wait_began_at
        if now - self.last_look_at > STALL_S + max(timeout, 0.0):
            self.stall_began_at, self.stall_ended_at = self.last_look_at, now
        self.last_look_at = now
        if waited > timeout + OVERSLEPT_S:
            self._arrived_after = self._wait_began_at
            return  # interrupted, it may have ended without a look at the sockets (PEP 475)
        blocked = timeout > 0 and waited >= BLOCKED_S
        self._arrived_after = now if blocked else self._looked_at
        self._looked_at = now

    def unread_for_s(self) -> float:
        """Seconds that what is read in this turn of the loop may have waited, at most."""
        return time.monotonic() - self._arrived_after


_watch: trio.lowlevel.RunVar[ArrivalWatch] = trio.lowlevel.RunVar("arrivals")


def install() -> None:
    """Watches the running event loop from now on."""
    watch = ArrivalWatch()
    trio.lowlevel.add_instrument(watch)
    _watch.set(watch)


def came_after(empty_at: float, awaited: bool) -> float:
    """The earliest moment at which what is taken from a queue of the system now can have come into it.

    `empty_at` is when the queue was last seen empty, on the monotonic clock, and `awaited` whether it was
    empty when this was asked for. What came while the process stood still is in the queue until it has been
    seen empty after that.
    """
    now = time.monotonic()
    try:
        watch = _watch.get()
    except (LookupError, RuntimeError):
        return now
    in_stall = watch.stall_ended_at > empty_at
    if in_stall and (not awaited or watch.last_look_at == watch.stall_ended_at):
        return watch.stall_began_at
    return now - watch.unread_for_s()


def unread_for_s() -> float:
    """As of the watch installed in this event loop; 0 where there is no watch or no loop."""
    try:
        return _watch.get().unread_for_s()
    except (LookupError, RuntimeError):
        return 0.0
