"""The two ends of an upgrade: connections go one way, answers to what was open on them follow."""

from __future__ import annotations

import itertools
import logging
import socket
from collections import deque

import trio

from starlinghaven.program.fronts.platform import Client, PlatformFront
from starlinghaven.protocol import ProtocolError, handover
from starlinghaven.transport.channel import Channel
from starlinghaven.transport.connection import Remains
from starlinghaven.transport.ring import Memory, Ring

log = logging.getLogger(__name__)


class Giver:
    """The older process's end: gives connections away, and the answers that it still owes on them."""

    def __init__(self, sock: trio.socket.SocketType, memory: Memory) -> None:
        self._channel = Channel(sock, memory)
        self._reader = handover.FrameReader()
        self._numbers: dict[Client, int] = {}  # those with something open
        self._next = itertools.count(1)

    async def run(self) -> None:
        await self._channel.serve(self._feed)

    async def flushed(self) -> None:
        await self._channel.flushed()

    def hand(self, client: Client, remains: Remains) -> None:
        number = next(self._next)
        if client.open:
            self._numbers[client] = number
        self._channel.write(handover.encode(client.state(number, remains)), remains.fd)

    def answered(self, client: Client, tag: int, text: bytes) -> None:
        self._channel.write(handover.encode(handover.Answered(self._numbers[client], tag, text)))
        self._forget(client)

    def _forget(self, client: Client) -> None:
        if not client.open:
            self._numbers.pop(client, None)

    async def _feed(self, ring: Ring, fds: deque[int]) -> int:
        while (frame := self._reader.next(ring)) is not None:
            client = next((c for c, n in self._numbers.items() if n == frame.number), None)
            if client is None:
                continue  # its last answer crossed this
            if isinstance(frame, handover.Withdrawn):
                await client.withdraw(frame.tag)
            elif isinstance(frame, handover.Gone):
                await client.give_up()
            self._forget(client)
        return self._reader.wanted


class Taker:
    """The newer process's end: takes connections, and brings the older one's answers to them."""

    def __init__(self, sock: trio.socket.SocketType, memory: Memory, front: PlatformFront) -> None:
        self._channel, self._front = Channel(sock, memory), front
        self._reader = handover.FrameReader()
        self._clients: dict[int, Client] = {}  # those to which answers are still to come
        self._early: dict[int, list[handover.Answered]] = {}  # answers ahead of their client's first step

    async def run(self) -> None:
        try:
            await self._channel.serve(self._feed)
        finally:  # guards clients against an older process that was killed: each call has one answer
            for client in self._clients.values():
                for tag in tuple(client.lent):
                    client.returned(tag)

    async def _feed(self, ring: Ring, fds: deque[int]) -> int:
        while (frame := self._reader.next(ring)) is not None:
            if isinstance(frame, handover.Handed):
                if not fds:
                    raise ProtocolError("a connection without its descriptor")
                if frame.open:
                    self._early[frame.number] = []
                sock = trio.socket.from_stdlib_socket(socket.socket(fileno=fds.popleft()))
                self._front.take_over(sock, frame, self)
            elif isinstance(frame, handover.Answered):
                if frame.number in self._early:
                    self._early[frame.number].append(frame)
                else:
                    self._answered(frame)
        return self._reader.wanted

    def _answered(self, frame: handover.Answered) -> None:
        if client := self._clients.get(frame.number):
            client.returned(frame.tag, frame.text)
            if not client.lent:
                del self._clients[frame.number]

    def taken(self, number: int, client: Client) -> None:
        self._clients[number] = client
        for frame in self._early.pop(number, ()):
            self._answered(frame)
        if self._channel.closed:
            for tag in tuple(client.lent):
                client.returned(tag)

    def withdrawn(self, client: Client, tag: int) -> None:
        for number, other in self._clients.items():
            if other is client:
                self._channel.write(handover.encode(handover.Withdrawn(number, tag)))

    def left(self, client: Client) -> None:
        for number in [n for n, other in self._clients.items() if other is client]:
            del self._clients[number]
            self._channel.write(handover.encode(handover.Gone(number)))


class Door:
    """Where an older process brings its connections."""

    def __init__(self, path: str, memory: Memory, front: PlatformFront) -> None:
        self._path, self._memory, self._front = path, memory, front

    async def open(self) -> None:
        self._sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        await self._sock.bind(self._path)
        self._sock.listen(4)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                sock, _ = await self._sock.accept()
                nursery.start_soon(self._one, sock)

    async def _one(self, sock: trio.socket.SocketType) -> None:
        log.info("an older process hands its clients over")
        try:
            await Taker(sock, self._memory, self._front).run()
        except Exception:  # a spoilt channel must not end the program
            log.exception("the handing over of clients failed")


async def give(path: str, memory: Memory) -> Giver | None:
    """The way to the process whose door is at `path`, or None if nobody opens."""
    sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with trio.fail_after(0.5):
            await sock.connect(path)
        return Giver(sock, memory)
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        log.warning("clients can't be handed over: %s", error)
        return None
