"""What every front does with its clients' connections: serve them, close the idle ones, make room."""

from __future__ import annotations

import logging
import math
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import trio

from starlinghaven.containment import contained
from starlinghaven.transport.connection import STALL_S, Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

RESTED_S = 0.5  # seconds after its last answer from which a connection is closed first
ORDER_S = 0.1  # seconds for which it holds who rests and makes room first
RETIRE_S = 0.005  # ... and two looks for connections to close when a successor takes the clients
SWEEP_S = 0.25  # seconds between two looks for connections whose time is over


class CloseReason(StrEnum):
    """Why a connection was closed in order."""

    IDLE = "idle"  # its time without anything owed on it was over
    ROOM = "room"  # another one waited for its place
    ENDING = "ending"  # the program ends, or gives its clients to a successor


class ClientLink(Protocol):
    """One client's connection, as a front speaks on it."""

    connection: Connection

    async def feed(self, ring: Ring) -> int: ...

    def delivering(self) -> None:
        """What was answered is still being read: its rest, and its time to be idle, begin only now."""

    async def leave(self) -> None:
        """The connection has ended: what was open on it is given up."""

    @property
    def busy(self) -> bool:
        """Whether an answer is owed on it."""

    @property
    def amid(self) -> bool:
        """Whether a message has begun to come in."""

    @property
    def rests_since(self) -> float:
        """When it was answered last, on time.monotonic(); infinite if it never was or speaks just now."""

    @property
    def ends_at(self) -> float:
        """When, on time.monotonic(), it is closed if nothing is owed on it until then."""


@dataclass(frozen=True, slots=True)
class _Delivery:
    """How much a connection has to deliver, and since when it is so much (time.monotonic())."""

    left: int
    moved_at: float


class Clients:
    """Owns a listener and the connections that came through it."""

    def __init__(self, listener: Listener, make: Callable[[Connection], ClientLink]) -> None:
        self._listener, self._make = listener, make
        self._links: set[ClientLink] = set()
        self._rested: deque[ClientLink] = deque()  # to be closed first where there is no room
        self._ordered_at = -math.inf  # when they were found
        self.closed: Counter[CloseReason] = Counter()  # connections closed in order
        self._nursery: trio.Nursery | None = None
        self._deliveries: dict[ClientLink, _Delivery] = {}  # of connections that had something to deliver

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves clients until cancelled; started once connections can be adopted."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                self._listener.run,
                lambda connection: self._hold(self._make(connection)),
                self._close_idlest,
            )
            task_status.started()
            while True:
                await trio.sleep(SWEEP_S)
                with contained(log, "the sweep of clients' connections"):
                    self._close_expired()

    def _close_expired(self) -> None:
        now = time.monotonic()
        for link in self.all:
            if link.busy or not link.connection.usable:
                continue
            if self._is_delivering(link):
                link.delivering()
            elif link.ends_at < now:
                self.close(link, CloseReason.IDLE)

    def _is_delivering(self, link: ClientLink) -> bool:
        """Whether its peer still reads what was written to it; one that reads nothing for long does not."""
        left = link.connection.undelivered
        if not left:
            self._deliveries.pop(link, None)
            return False
        delivery = self._deliveries.get(link)
        if delivery is None or delivery.left != left:
            delivery = self._deliveries[link] = _Delivery(left, time.monotonic())
        return time.monotonic() - delivery.moved_at < STALL_S

    @property
    def nursery(self) -> trio.Nursery:
        """For work of a link that goes on beside its reading."""
        assert self._nursery is not None
        return self._nursery

    @property
    def all(self) -> list[ClientLink]:
        return list(self._links)

    def close(self, link: ClientLink, reason: CloseReason) -> bool:
        """The one place where a client's connection is closed in order; whether it is.

        Guards requests on their way: one that has been read or waits to be read keeps its connection.
        Who has sent but half of one in all its time can't keep it by sending on.
        """
        if link.busy or link.connection.pending and not link.amid:
            return False
        link.connection.finish()
        self.closed[reason] += 1
        return True

    async def retire(self) -> None:
        """Accepts nothing more, closes each connection when nothing is open on it, and waits for the last."""
        self.stop()
        while self._links:
            for link in self._idle():
                if not link.amid:
                    self.close(link, CloseReason.ENDING)
            await trio.sleep(RETIRE_S)

    def stop(self) -> None:
        """Accepts nothing more."""
        self._listener.stop()

    def adopt(self, link: ClientLink) -> None:
        """Serves a connection that another process accepted."""
        self._listener.adopt(link.connection, lambda _: self._hold(link))

    def _idle(self) -> list[ClientLink]:
        return [p for p in self._links if self._is_idle(p)]

    def _is_idle(self, link: ClientLink) -> bool:
        """Whether nothing is owed on it, and all that was answered has been delivered.

        A client sees the end of its connection only behind the answers that it has yet to read. It goes on
        asking until then: what it asks is lost, and with it what the system still holds for it.
        """
        idle = not link.busy and link.connection.usable
        return idle and not self._is_delivering(link)

    def _close_idlest(self) -> bool:
        """Guards clients that take long to write: one that was answered and rests loses nothing.

        Guards the processor too: a crowd asks for this hundreds of times a second, so that those who rest
        are found once for all that come within ORDER_S. Each is looked at again before it is closed.
        """
        now = time.monotonic()
        before = now - RESTED_S
        if now - self._ordered_at > ORDER_S or not self._rested:
            idle, self._ordered_at = sorted(self._idle(), key=lambda p: p.ends_at), now
            self._rested = deque(p for p in idle if p.rests_since < before)
            if not self._rested:
                return any(self.close(p, CloseReason.ROOM) for p in idle)
        while self._rested:
            link = self._rested.popleft()
            if self._is_idle(link) and link.rests_since < before and self.close(link, CloseReason.ROOM):
                return True
        return False

    async def _hold(self, link: ClientLink) -> None:
        """Serves a connection to its end."""
        self._links.add(link)
        try:
            with contained(log, "a client's connection"):
                await link.connection.serve(link.feed)
        finally:
            self._links.remove(link)
            self._deliveries.pop(link, None)
            if link in self._rested:
                self._rested.remove(link)  # else it would hold the memory of those that are gone
            with trio.CancelScope(shield=True), contained(log, "the end of a client's connection"):
                await link.leave()
