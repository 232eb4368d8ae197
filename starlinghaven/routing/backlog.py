"""How long new requests wait before they are decided, and which of them are refused at once for it."""

from __future__ import annotations

from starlinghaven.routing.inbox import Inbox
from starlinghaven.routing.types import Ask, Counters

LOST_SHARE = 0.8  # of a request's time, after which it can hardly be served in what is left
BOUNDS_MS = (1, 5, 20, 50, 100, 200, 500, 1_000)  # of the counters of waits


def note_wait(counters: Counters, name: str, wait_ms: float) -> None:
    """Counts a wait as `NAME_le_BOUND_ms`, or `NAME_over_ms` beyond the last bound."""
    bound = next((str(bound) for bound in BOUNDS_MS if wait_ms <= bound), None)
    counters.add(f"{name}_le_{bound}_ms" if bound else f"{name}_over_{BOUNDS_MS[-1]}_ms")


class Backlog:
    """Watches what new requests wait for. Times are ms on the engine's clock."""

    def __init__(self, inbox: Inbox, counters: Counters) -> None:
        self._inbox, self._counters = inbox, counters
        self._queued_ms = 0.0  # between the reading of the last request that was taken, and then

    def taken(self, ask: Ask, now: float) -> None:
        """The engine takes a request."""
        if ask.read_ms:
            self._queued_ms = now - ask.read_ms
            note_wait(self._counters, "wait_unread", ask.read_ms - ask.taken_ms)
            note_wait(self._counters, "wait_queue", self._queued_ms)

    def is_too_late(self, ask: Ask, now: float, queues: bool) -> bool:
        """Whether a request is to be refused at once, since requests come faster than they are decided.

        Those go first whose time will be nearly over when they are decided: the time of the others is not
        spent on them, and they are told while they can ask elsewhere. `queues`: it is yet to wait for its
        turn, behind others.
        """
        if not self._inbox.crowded:
            return False
        expected_ms = now - ask.taken_ms + (self._queued_ms if queues else 0.0)
        return expected_ms > LOST_SHARE * ask.patience_ms
