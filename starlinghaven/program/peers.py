"""What every front does with its clients' connections: serve them, close the idle ones, make room."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import trio

from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)


class Peer(Protocol):
    """One client's connection, as a front speaks on it."""

    connection: Connection

    async def feed(self, ring: Ring) -> int: ...

    async def leave(self) -> None:
        """The connection has ended: what was open on it is given up."""

    @property
    def busy(self) -> bool:
        """Whether an answer is owed on it."""

    @property
    def since(self) -> float:
        """When it last did something that keeps it from being idle."""


class Peers:
    """Owns a listener and the connections that came through it."""

    def __init__(self, listener: Listener, make: Callable[[Connection], Peer], idle_s: float) -> None:
        self._listener, self._make, self._idle_s = listener, make, idle_s
        self._peers: set[Peer] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._listener.run, self._serve, self._close_idlest)
            while True:
                await trio.sleep(self._idle_s / 5)
                before = trio.current_time() - self._idle_s
                for peer in self._idle():
                    if peer.since < before:
                        peer.connection.finish()

    @property
    def nursery(self) -> trio.Nursery:
        """For work of a peer that goes on beside its reading."""
        assert self._nursery is not None
        return self._nursery

    @property
    def unsent(self) -> int:
        return sum(p.connection.unsent for p in self._peers)

    def _idle(self) -> list[Peer]:
        return [p for p in self._peers if not p.busy and not p.connection.unsent]

    def _close_idlest(self) -> bool:
        idle = min(self._idle(), key=lambda p: p.since, default=None)
        if idle is not None:
            idle.connection.abort()
        return False  # its place is free once it has closed

    async def _serve(self, connection: Connection) -> None:
        peer = self._make(connection)
        self._peers.add(peer)
        try:
            await connection.serve(peer.feed)
        except Exception:  # one client's trouble must not end the others
            log.exception("a client's connection failed")
        finally:
            self._peers.remove(peer)
            with trio.CancelScope(shield=True):
                await peer.leave()
