"""The newer process's end of an upgrade: it takes connections that an older one hands over.

A connection is this process's from the moment at which it has come whole and was said to be taken; until then
nothing is written to its client (see `starlinghaven.protocol.handover`).
"""

from __future__ import annotations

import logging
import os
import socket
from collections import deque
from dataclasses import dataclass

import trio

from starlinghaven.containment import contained
from starlinghaven.memory import Account, NoMemory
from starlinghaven.program.fronts.platform import Client, PlatformFront
from starlinghaven.protocol import ProtocolError, handover
from starlinghaven.transport import errors, sockets
from starlinghaven.transport.channel import Channel
from starlinghaven.transport.connection import COST, Connection, ConnectionAccounts
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

ACCEPT_AGAIN_S = 0.05  # seconds after an accept that failed


@dataclass(frozen=True, slots=True)
class HandoverAccounts:
    """Where the memory of an upgrade comes from."""

    clients: ConnectionAccounts  # for connections that are taken over
    channel: Account  # for what passes between the processes


class _Arrival:
    """A connection that is being handed over to this process; it is not this one's yet."""

    def __init__(self, offer: handover.Offered, connection: Connection) -> None:
        self.offer, self.connection = offer, connection

    @property
    def whole(self) -> bool:
        """Whether all has come that was offered."""
        offer, connection = self.offer, self.connection
        return (connection.unread, connection.unsent) == (offer.unread, offer.unsent)


class Taker:
    """The newer process's end: takes connections, and brings the older one's answers to them."""

    def __init__(
        self, sock: trio.socket.SocketType, accounts: HandoverAccounts, front: PlatformFront
    ) -> None:
        self._channel = Channel(sock, accounts.channel)
        self._accounts, self._front = accounts.clients, front
        self._memory = accounts.clients.connections.memory
        self._reader = handover.FrameReader()
        self._arrival: _Arrival | None = None
        self._clients: dict[int, Client] = {}  # those to which answers are still to come
        self._taken = 0

    async def run(self) -> None:
        """Takes connections until the older process is done."""
        try:
            await self._channel.serve(self._feed)
        finally:
            self._drop_arrival()
            for client in self._clients.values():  # guards clients against an older process that was killed
                for tag in tuple(client.lent or ()):
                    client.returned(tag)
            log.info("%d connections were taken over", self._taken)

    async def _feed(self, ring: Ring, fds: deque[int]) -> int:
        while (frame := self._reader.next(ring)) is not None:
            await self._handle(frame, fds)
        return self._reader.wanted

    async def _handle(self, frame: handover.Frame, fds: deque[int]) -> None:
        match frame:
            case handover.Offered():
                self._drop_arrival()
                self._consider(frame, fds)
            case handover.Unread() | handover.Unsent():
                self._restore(frame)
            case handover.Complete():
                await self._complete(frame.number)
            case handover.Answered():
                self._answered(frame)
            case handover.Handed():
                self._take_whole(frame, fds)

    def _consider(self, offer: handover.Offered, fds: deque[int]) -> None:
        """Makes room for a connection, or says why there is none."""
        if not fds:
            self._refuse(offer.number, "no descriptor is free")
            return
        try:
            connection = self._connection(fds.popleft(), offer.memory, offer.came_after)
        except (NoMemory, OSError) as error:
            self._refuse(offer.number, str(error))
            return
        try:
            connection.reserve(offer.unread, offer.unsent)
        except NoMemory as error:
            connection.discard()
            self._memory.repay(offer.memory)
            self._refuse(offer.number, str(error))
        else:
            self._memory.repay(offer.memory - connection.borrow(offer.memory))  # it needs less than it had
            self._arrival = _Arrival(offer, connection)
            self._channel.write(handover.encode(handover.Accepted(offer.number)))

    def _connection(self, fd: int, memory: int, came_after: float | None) -> Connection:
        """A connection on a descriptor, with the memory that the older process gives up for it.

        Errors: NoMemory and OSError; the descriptor is closed then.
        """
        try:
            sock = trio.socket.from_stdlib_socket(socket.socket(fileno=fd))
        except OSError:
            os.close(fd)
            raise
        borrowed = 0
        try:
            self._memory.borrow(memory)
            borrowed = memory
            return Connection(sock, self._accounts, came_after)
        except (NoMemory, OSError):
            self._memory.repay(borrowed)
            sock.close()
            raise

    def _refuse(self, number: int, reason: str) -> None:
        self._front.counters.add("connections_not_taken_over")
        log.warning("a connection can't be taken over: %s", reason)
        self._channel.write(handover.encode(handover.Refused(number, reason)))

    def _restore(self, piece: handover.Unread | handover.Unsent) -> None:
        arrival = self._arrival
        if arrival is None or arrival.offer.number != piece.number:
            return  # it was refused
        if isinstance(piece, handover.Unread):
            arrival.connection.restore_unread(piece.data, arrival.offer.came_after)
        else:
            arrival.connection.restore_unsent(piece.data)

    async def _complete(self, number: int) -> None:
        """Takes a connection that has come whole.

        Nothing may be written to its client before the word that it is taken has left: without that word the
        older process goes on with it. If it can't leave, that process has ended, and the connection is this
        one's.
        """
        arrival, self._arrival = self._arrival, None
        if arrival is None or arrival.offer.number != number:
            return
        if not arrival.whole:
            arrival.connection.discard()
            self._refuse(number, "it did not come whole")
            return
        try:
            self._channel.write(handover.encode(handover.Taken(number)))
            await self._channel.flushed()
        finally:
            self._serve(number, arrival.connection, arrival.offer.tags)

    def _take_whole(self, frame: handover.Handed, fds: deque[int]) -> None:
        """Takes a connection from a process of the release before, which has let it go already."""
        if not fds:
            raise ProtocolError("a connection without its descriptor")
        sizes = len(frame.unread), len(frame.unsent)
        memory = COST + sum(map(Ring.room, sizes))  # it is borrowed, so that there is room
        try:
            connection = self._connection(fds.popleft(), memory, None)
        except (NoMemory, OSError) as error:
            log.error("a connection that was handed over is lost: %s", error)
            return
        connection.reserve(*sizes)
        connection.borrow(memory)
        connection.restore_unread(frame.unread, connection.unread_came_after())
        connection.restore_unsent(frame.unsent)
        self._serve(frame.number, connection, frame.tags)

    def _serve(self, number: int, connection: Connection, tags: handover.Tags) -> None:
        client = self._front.take_over(connection, tags, self)
        self._taken += 1
        self._front.counters.add("connections_taken_over")
        if client.lent:
            self._clients[number] = client
            if self._channel.closed:
                for tag in tuple(client.lent or ()):
                    client.returned(tag)

    def _drop_arrival(self) -> None:
        """Gives back a connection that did not come whole: it is still the older process's."""
        arrival, self._arrival = self._arrival, None
        if arrival is not None:
            arrival.connection.discard()

    def _answered(self, frame: handover.Answered) -> None:
        client = self._clients.get(frame.number)
        if client is None:
            self._front.note_unclaimed(frame.tag, "nothing is awaited on its connection")
            return
        client.returned(frame.tag, frame.text)
        if not client.lent:
            del self._clients[frame.number]

    def withdrawn(self, client: Client, tag: int) -> None:
        """A client has withdrawn a tag that the older process answers."""
        for number, other in self._clients.items():
            if other is client:
                self._channel.write(handover.encode(handover.Withdrawn(number, tag)))

    def left(self, client: Client) -> None:
        """A client's connection has ended, with tags that the older process answers."""
        for number in [n for n, other in self._clients.items() if other is client]:
            del self._clients[number]
            self._channel.write(handover.encode(handover.Gone(number)))


class Door:
    """Where an older process brings its connections."""

    def __init__(self, path: str, accounts: HandoverAccounts, front: PlatformFront) -> None:
        self._path, self._accounts, self._front = path, accounts, front

    async def open(self) -> None:
        """Listens from now on. Errors: OSError."""
        self._sock = await sockets.obtained(
            lambda: trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), "the door for an older process"
        )
        await self._sock.bind(self._path)
        self._sock.listen(4)

    async def run(self) -> None:
        """Serves older processes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    sock, _ = await self._sock.accept()
                except OSError as error:
                    log.warning("accept of an older process failed: %s", error)
                    if errors.of_accept(error) is errors.Meaning.BROKEN:
                        return
                    await trio.sleep(ACCEPT_AGAIN_S)
                    continue
                nursery.start_soon(self._one, sock)

    async def _one(self, sock: trio.socket.SocketType) -> None:
        log.info("an older process hands its clients over")
        with contained(log, "the handing over of clients", self._front.counters.add):
            await Taker(sock, self._accounts, self._front).run()
