"""The older process's end of an upgrade: it gives its clients' connections to the newer one.

Each connection has one owner at any moment (see `starlinghaven.protocol.handover`). This process keeps a
connection, with all that it holds, until the newer one has taken it; what can't be taken stays and is served
on. The memory that a connection holds moves with it from this process's limit to the newer one's.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterator

import trio

from starlinghaven.containment import contained
from starlinghaven.memory import Account, NoMemory
from starlinghaven.program.fronts.handed_socket import HandedSocket
from starlinghaven.program.fronts.platform import Client, PlatformFront
from starlinghaven.protocol import handover, platform
from starlinghaven.transport import sockets
from starlinghaven.transport.channel import Channel
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

ANSWER_S = 1.0  # seconds in which the newer process must say whether it has room for a connection
DIAL_S = 0.5  # seconds in which it must open its door


class Giver:
    """The older process's end: gives connections away, and the answers that it still owes on them."""

    def __init__(self, sock: trio.socket.SocketType, account: Account, front: PlatformFront) -> None:
        """`account` has the memory for what passes between the processes."""
        self._channel = Channel(sock, account)
        self._counters = front.counters
        self._reader = handover.FrameReader()
        self._clients: dict[int, Client] = {}  # handed over, with answers still to come from here
        self._watched: dict[int, HandedSocket] = {}  # their sockets, to see when the client leaves
        self._next = itertools.count(1)
        self._offering = trio.Lock()  # one connection at a time: descriptors and memory in transit are few
        self._asked: int | None = None  # the number of the connection for which a word is awaited
        self._said: handover.Accepted | handover.Refused | handover.Taken | None = None
        self._heard = trio.Event()
        self._given_up = False  # the newer process does not answer

    @property
    def closed(self) -> bool:
        """Whether nothing more can be handed over."""
        return self._channel.closed or self._given_up

    @property
    def owes(self) -> bool:
        """Whether answers on connections that were handed over are still to come."""
        return bool(self._clients) and not self._channel.closed

    async def run(self) -> None:
        """Serves the channel to its end."""
        with contained(log, "the handing over of clients", self._counters.add):
            await self._channel.serve(self._feed)
        self._heard.set()
        for number in tuple(self._clients):
            self._settled(number)

    async def flushed(self) -> None:
        """Waits until all that was said has left."""
        await self._channel.flushed()

    async def hand(self, client: Client) -> bool:
        """Hands a resting connection over; whether the newer process has it. Else it is still this one's."""
        async with self._offering:
            number = next(self._next)
            if self.closed or not await self._is_accepted(number, client):
                return False
            for frame in _contents(number, client):
                if not await self._say(frame):
                    return False
            if not await self._is_taken(number, client):
                return False
            self._watch(number, client)
            client.connection.cede()
            self._counters.add("connections_handed_over")
            return True

    async def _is_accepted(self, number: int, client: Client) -> bool:
        """Offers a connection; whether the newer process has room for it."""
        self._await_word_on(number)
        if not await self._say(client.offer(number), client.connection.fd):
            return False
        await self._in_time(self._heard.wait)
        if isinstance(self._said, handover.Refused):
            self._counters.add("connections_refused")
            log.warning("a connection was not handed over: %s", self._said.reason)
        return isinstance(self._said, handover.Accepted)

    async def _is_taken(self, number: int, client: Client) -> bool:
        """Says that a connection is complete; whether the newer process owns it now.

        From then on only its word, or its end, tells whose it is: there is no time-out.
        """
        client.number = number
        if client.busy:
            self._clients[number] = client
        self._await_word_on(number)
        try:
            self._channel.write(handover.encode(handover.Complete(number)))
            if not self._channel.closed:
                await self._heard.wait()
        finally:
            taken = isinstance(self._said, handover.Taken)
            if not taken:
                self._clients.pop(number, None)
        return taken

    def _await_word_on(self, number: int) -> None:
        self._asked, self._said, self._heard = number, None, trio.Event()

    async def _say(self, frame: handover.Frame, fd: int | None = None) -> bool:
        """Says something of a connection; whether the newer process goes on reading."""
        outgoing = self._channel.write_with(handover.encode(frame), fd)
        try:
            return await self._in_time(self._channel.flushed) and not self._channel.closed
        finally:
            outgoing.keep_descriptor()

    async def _in_time(self, wait: Callable[[], Awaitable[None]]) -> bool:
        """Whether a wait ends in time; else nothing more is handed over.

        It looks twice: this process may have been halted, and find its time over before it reads the answer.
        """
        for _ in range(2):
            with trio.move_on_after(ANSWER_S / 2):
                await wait()
                return True
        log.warning("the newer process does not answer: the other clients stay here")
        self._given_up = True
        return False

    def answered(self, client: Client, tag: int, text: bytes) -> None:
        """Passes an answer on to the process that has the connection."""
        try:
            self._answered(client, tag, text)
        except NoMemory as error:
            self._counters.add("answers_not_written")
            log.warning("no memory for an answer to be passed on: %s", error)
            self._answered(client, tag, platform.failed(tag))
        self._forget(client.number, client)

    def _watch(self, number: int, client: Client) -> None:
        """Keeps a look at a connection on which answers are owed: the newer process may be slow to tell."""
        if client.busy:
            with contextlib.suppress(OSError):  # without a descriptor only the newer process tells
                self._watched[number] = HandedSocket(client.connection.fd)

    def has_left(self, client: Client, tag: int) -> bool:
        """Whether a client that was handed over has gone, as far as it can be seen, read or not."""
        socket_ = self._watched.get(client.number)
        if socket_ is not None and socket_.shows_leave(tag):
            return True
        return any(
            frame == handover.Withdrawn(client.number, tag) or frame == handover.Gone(client.number)
            for frame in self._reader.ahead(self._channel.unread_input())
        )

    def _answered(self, client: Client, tag: int, text: bytes) -> None:
        # A short one, that stands for what finds no memory, is not counted: it must leave in any case.
        counted = len(text) > handover.PIECE_BYTES // 16
        self._channel.write(handover.encode(handover.Answered(client.number, tag, text)), counted=counted)

    async def _feed(self, ring: Ring, fds: deque[int]) -> int:
        while (frame := self._reader.next(ring)) is not None:
            match frame:
                case handover.Accepted() | handover.Refused() | handover.Taken():
                    if frame.number == self._asked:
                        self._said = frame
                        self._heard.set()
                case handover.Withdrawn():
                    if client := self._clients.get(frame.number):
                        await client.withdraw(frame.tag)
                        self._forget(frame.number, client)
                case handover.Gone():
                    if client := self._settled(frame.number):
                        await client.give_up()
        return self._reader.wanted

    def _forget(self, number: int, client: Client) -> None:
        if not client.busy:
            self._settled(number)

    def _settled(self, number: int) -> Client | None:
        """The one place where a client that was handed over is let go."""
        if watched := self._watched.pop(number, None):
            watched.close()
        return self._clients.pop(number, None)


def _contents(number: int, client: Client) -> Iterator[handover.Frame]:
    """What a connection holds, in pieces, in the order in which it came in or is to go out."""
    connection, size = client.connection, handover.PIECE_BYTES
    for piece in connection.unread_pieces(size):
        yield handover.Unread(number, piece)
    for piece in connection.unsent_pieces(size):
        yield handover.Unsent(number, piece)


async def give(path: str, account: Account, front: PlatformFront) -> Giver | None:
    """The way to the process whose door is at `path`, or None if nobody opens."""
    try:
        sock = await sockets.obtained(
            lambda: trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), "the way to a newer process"
        )
    except OSError as error:
        log.warning("clients can't be handed over: %s", error)
        return None
    try:
        with trio.fail_after(DIAL_S):
            await sock.connect(path)
        return Giver(sock, account, front)
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        log.warning("clients can't be handed over: %s", error)
        return None
