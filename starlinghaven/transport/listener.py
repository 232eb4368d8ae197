"""The listener: accepts connections up to a number, and makes room by closing idle ones."""

from __future__ import annotations

import contextlib
import logging
import math
import os
import select
import socket
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import trio

from starlinghaven.containment import contained
from starlinghaven.transport import arrivals, errors, sockets
from starlinghaven.transport.connection import COST, Connection, ConnectionAccounts
from starlinghaven.transport.places import Places
from starlinghaven.transport.queue_age import QueueAge, waiting_connections

log = logging.getLogger(__name__)

BACKLOG = 512
ACCEPTED_AT_ONCE = 16  # further connections that are accepted in one turn of the loop
PAUSE_S = 0.05  # seconds without accepting after descriptors or memory ran out
FIRST_PAUSE_S = 0.001  # after one passing failure; doubled with each in a row, up to PAUSE_S
LINGERING = 16  # connections in their lingering close beyond the places, at most a quarter of these
MOST_FAILED = 8  # accepts that may fail in a row before there is a pause
RECEIVE_BYTES = 128 * 1024  # asked of the system for what comes in and is not read: it holds twice as much

NO_TICKET = object()  # of a connection that no gate was asked of

Serve = Callable[[Connection], Awaitable[None]]
"""Serves one connection to its end."""


class Gate(Protocol):
    """Admission of new connections (see starlinghaven.admission): asked before a connection is served."""

    def admit(self, address: str) -> object | None:
        """A ticket for a connection from `address` (text; "" if unknown), or None to refuse it."""

    def release(self, ticket: object) -> None:
        """The connection of that ticket has ended."""


def split_address(text: str) -> tuple[str, int]:
    """Host and port of HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not int(port) < 65_536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _descriptor_is_free() -> bool:
    """Whether this process can have a descriptor now: an accept that says otherwise failed for a moment."""
    try:
        os.close(os.open(os.devnull, os.O_RDONLY))
    except OSError:
        return False
    return True


class Listener:
    """Owns the listening socket and counts the connections that came through it."""

    def __init__(
        self,
        address: str,
        accounts: ConnectionAccounts,
        most: int,
        passed: int | None = None,
        shared: bool = False,
        gate: Gate | None = None,
    ) -> None:
        self._address, self._accounts = split_address(address), accounts
        self._most, self._places = most, Places(most)
        self._lingering: OrderedDict[Connection, None] = OrderedDict()
        self._shared = shared  # another process may listen on the address too
        self._passed = passed  # descriptor of a socket that listens already and is another's
        self._accepting = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self.count = 0
        self.gate = gate  # asked of every accepted connection, where there is one
        self.refused = 0  # connections that the gate closed at once
        self.shed = 0  # connections accepted only to be closed, when descriptors ran out
        self._spare: int | None = None  # a descriptor kept to accept and close with, at EMFILE
        self.port = 0
        self._queue = QueueAge()
        self._queue_empty_at = time.monotonic()  # when it was last seen empty
        self._left = trio.Event()  # a connection has ended

    @property
    def most(self) -> int:
        """Connections held at once; beyond it, new ones wait in the kernel's accept queue."""
        return self._most if self._places.whole else self._places.limit(time.monotonic())

    @property
    def _full(self) -> bool:
        """Whether there is no place for a further connection, or no memory: others may be about to end."""
        return self.count >= self.most or not self._accounts.connections.allows(COST)

    async def open(self) -> None:
        """Listens from now on. Errors: OSError, where it lasts."""
        if self._passed is not None:
            self._plain = socket.socket(fileno=self._passed)
            self._sock = trio.socket.from_stdlib_socket(self._plain)
        else:
            await self._open_own()
        self._poll = select.poll()
        self._poll.register(self._plain.fileno(), select.POLLIN)
        self.port = self._sock.getsockname()[1]

    async def _open_own(self) -> None:
        self._plain = await sockets.obtained(
            lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM), f"listening on {self._address}"
        )
        self._sock = trio.socket.from_stdlib_socket(self._plain)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._shared:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        await self._sock.bind(self._address)
        self._sock.listen(BACKLOG)
        self._keep_spare()

    def _keep_spare(self) -> None:
        """Holds one descriptor in reserve where a gate is set: see `_shed`."""
        if self.gate is not None and self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = os.open(os.devnull, os.O_RDONLY)

    def _shed(self) -> bool:
        """At EMFILE/ENFILE: gives up the spare, accepts the waiting client and closes it at once.

        In a full accept queue clients would wait for seconds with no answer; a close tells them at once
        to go elsewhere. Whether one was shed.
        """
        if self._spare is None:
            return False
        os.close(self._spare)
        self._spare = None
        waiting = self._waiting()
        if waiting is not None:
            waiting[0].close()
            self.shed += 1
        self._keep_spare()
        return waiting is not None

    def _waiting(self) -> tuple[trio.socket.SocketType, float] | None:
        """A connection out of the accept queue, without a wait, and when it can have come at the earliest.

        None if there is none to be had.
        """
        for _ in range(BACKLOG):
            try:
                sock = trio.socket.from_stdlib_socket(self._plain.accept()[0])
                return sock, self._came_after(self._queue.take(), awaited=False)
            except BlockingIOError:
                return None
            except OSError as error:
                if errors.of_accept(error) is not errors.Meaning.CONNECTION:
                    return None
        return None

    async def run(
        self,
        serve: Serve,
        make_room: Callable[[], bool],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts until cancelled; started once connections can be adopted.

        At the limit `make_room` closes an idle connection, if there is one, for each that waits.

        The next is accepted as soon as that one is gone: a flood that says nothing must not make usual
        clients wait.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            with self._accepting:
                await self._accept(nursery, serve, make_room)

    def adopt(self, connection: Connection, serve: Serve) -> None:
        """Serves a connection that another process accepted, like one of its own."""
        assert self._nursery is not None
        self.count += 1
        self._nursery.start_soon(self._hold, connection, serve, NO_TICKET)

    def stop(self) -> None:
        """Accepts nothing more but what the system has accepted already; that and the others go on.

        Guards who wrote a request into a connection that waits in the accept queue: closing the listener
        would reset it. A passed listener's queue is the successor's.
        """
        self._accepting.cancel()

    async def _accept(self, nursery: trio.Nursery, serve: Serve, make_room: Callable[[], bool]) -> None:
        failed = 0  # accepts in a row
        try:
            while True:
                if self._full:
                    await self._wait_for_place(make_room)
                    continue
                awaited = self._look_at_queue()
                try:
                    sock, _ = await self._sock.accept()
                except OSError as error:
                    failed += 1
                    await self._failed(error, failed)
                    continue
                failed = 0
                if awaited:
                    self._note_wait_over()
                self._begin(nursery, sock, serve, self._came_after(self._queue.take(), awaited))
                self._accept_more(nursery, serve)
        finally:
            while self._passed is None and (left := self._waiting()) is not None:
                sock, came_after = left
                self._begin(nursery, sock, serve, came_after)
            self._sock.close()
            if self._spare is not None:
                os.close(self._spare)
                self._spare = None

    def _accept_more(self, nursery: trio.Nursery, serve: Serve) -> None:
        """Takes others that wait, without a turn of the loop for each: a turn may be long."""
        for _ in range(ACCEPTED_AT_ONCE):
            if self._full or (waiting := self._waiting()) is None:
                return
            sock, came_after = waiting
            self._begin(nursery, sock, serve, came_after)

    async def _wait_for_place(self, make_room: Callable[[], bool]) -> None:
        """At the limit: closes an idle connection where one waits for its place, and looks again soon."""
        awaited = self._look_at_queue()
        # Only for one that waits: else whoever came last, whose request is on its way, is closed.
        await trio.lowlevel.wait_readable(self._plain)
        if awaited:
            self._note_wait_over()
        if self._full:
            self._left = trio.Event()
            with contained(log, "making room for a connection"):
                make_room()
            with trio.move_on_after(PAUSE_S):
                await self._left.wait()

    def _look_at_queue(self) -> bool:
        """Notes how many connections wait to be accepted; whether there are none."""
        now = time.monotonic()
        if not self._poll.poll(0):
            self._queue_empty_at = now
            self._queue.sample(0, now)
            return True
        length = waiting_connections(self._plain)
        if length is None:
            self._queue = QueueAge()  # what is not known bounds nothing
        elif length:
            self._queue.sample(length, now)
        return False

    def _note_wait_over(self) -> None:
        """The queue was empty until the event loop looked for the last time before this."""
        self._queue.sample(0, time.monotonic() - arrivals.unread_for_s())

    def _came_after(self, sampled: float, awaited: bool) -> float:
        """When a connection just accepted can have come at the earliest, on time.monotonic().

        `sampled` is by the samples of the queue, and `awaited` whether the queue was empty before.
        """
        came_after = arrivals.came_after(self._queue_empty_at, awaited)
        return came_after if awaited or sampled == -math.inf else min(came_after, sampled)

    async def _failed(self, error: OSError, in_a_row: int) -> None:
        """After an accept that failed: the next one follows at once, or after a pause. Raises if none can."""
        meaning = errors.of_accept(error)
        if meaning is errors.Meaning.BROKEN:
            raise error
        log.warning("accept failed: %s", error)
        lasting = in_a_row > MOST_FAILED
        if error.errno in errors.SHORT_OF_DESCRIPTORS and (lasting or not _descriptor_is_free()):
            # Whoever holds places idle must not keep descriptors from the change log and the stores.
            self._places.shortage(self.count + len(self._lingering), time.monotonic())
            if self._shed():
                return
            lasting = True
        if lasting:
            await trio.sleep(PAUSE_S)
        elif meaning is errors.Meaning.SHORTAGE:
            await trio.sleep(min(FIRST_PAUSE_S * 2 ** (in_a_row - 1), PAUSE_S))

    def _begin(
        self, nursery: trio.Nursery, sock: trio.socket.SocketType, serve: Serve, came_after: float
    ) -> None:
        ticket = None
        with contained(log, "the admission of a connection"):
            ticket = self._ticket(sock)
        if ticket is None:
            sock.close()
        else:
            self.count += 1
            self._start(nursery, sock, serve, ticket, came_after)

    def _ticket(self, sock: trio.socket.SocketType) -> object | None:
        """What the gate says of a new connection; None: it was refused and is closed."""
        if self.gate is None:
            return NO_TICKET
        try:
            address = sock.getpeername()[0]
        except OSError:
            address = ""
        ticket = self.gate.admit(address)
        if ticket is None:
            self.refused += 1
            sock.close()
        return ticket

    def _start(
        self,
        nursery: trio.Nursery,
        sock: trio.socket.SocketType,
        serve: Serve,
        ticket: object,
        came_after: float,
    ) -> None:
        """Has an accepted connection served, where there is memory for it."""
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            connection = Connection(sock, self._accounts, came_after)
        except Exception as error:  # mostly NoMemory or OSError; none may end the listener
            sock.close()
            log.warning("connection turned away: %s", error)
            self._release(None, ticket)
            return
        nursery.start_soon(self._hold, connection, serve, ticket)

    async def _hold(self, connection: Connection, serve: Serve, ticket: object) -> None:
        """Serves a connection; its place is free after that, whatever happens."""
        try:
            connection.on_linger = partial(self._linger, connection)
            with contained(log, "a connection"):  # its trouble must not end the others
                await serve(connection)
            if not connection.closed:  # it failed before it was served
                connection.discard()
        finally:
            self._release(connection, ticket)

    def _release(self, connection: Connection | None, ticket: object) -> None:
        """The one place where a place is given back; one that lingers has given it back before."""
        if connection is not None and connection in self._lingering:
            del self._lingering[connection]
        else:
            self.count -= 1
        self._left.set()
        if self.gate is not None:
            self.gate.release(ticket)

    def _linger(self, connection: Connection) -> None:
        """Its place is free once it has shut its sending side: what is left is bounded in time and number.

        The number is for floods. Once nothing more is accepted all may linger: their places are not needed.
        """
        self.count -= 1
        self._lingering[connection] = None
        self._left.set()
        most = min(LINGERING, max(self.most // 4, 1))
        if len(self._lingering) > most and not self._accepting.cancel_called:
            next(iter(self._lingering)).abort()
