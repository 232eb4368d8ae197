"""One TCP connection: a ring each way, a reading and a writing task, one place that closes it all."""

from __future__ import annotations

import contextlib
import math
import os
import select
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from starlinghaven.transport import arrivals, errors
from starlinghaven.transport.queue_age import QueueAge, unread_bytes
from starlinghaven.transport.ring import Memory, NoMemory, Ring

PASSING_S = 0.01  # seconds after which a read or write is tried again that failed for a moment
STALL_S = 10.0  # seconds in which a peer must read something of what waits for it
STARVED_S = 2.0  # seconds that a half-read message may wait for memory
HIGH_WATER = 512 * 1024  # bytes unsent from which, as a rule, nothing more is read from the same peer
MOST_UNSENT = 8 * 1024 * 1024  # bytes unsent at most: all open requests of a connection with full answers
LINGER_S = 0.5  # seconds of a lingering close in which what the peer still sends is read and dropped
MOST_DROPPED = HIGH_WATER  # bytes that are read and dropped in that time, at most
FULL_SHARE = 0.25  # of the receive buffer that is filled, from which the peer's window may have closed
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR

Feed = Callable[[Ring], Awaitable[int]]
"""Takes what it can use from the ring; returns how many bytes the ring must hold before it can go on."""


@dataclass(frozen=True, slots=True)
class Remains:
    """What is left of a detached connection: whoever takes it owns the descriptor."""

    fd: int
    unread: bytes
    unsent: bytes


class Connection:
    """Owns a socket and its two rings. `serve` opens and closes them; others only write or abort."""

    def __init__(self, sock: trio.socket.SocketType, memory: Memory, came_after: float | None = None) -> None:
        """`came_after`: for one that waited to be accepted, when it can have come, on time.monotonic()."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._memory = sock, memory
        self._in = Ring(memory)
        try:
            self._out = Ring(memory)
        except NoMemory:
            self._in.close()
            raise
        self._scope = trio.CancelScope()
        self._work = trio.Event()  # there is something to write, or to stop for
        self._room = trio.Event()  # the peer has read
        self._ending = False  # nothing more is taken or written: it closes, in order or at once
        self._half_closed = False
        self._dropped = 0  # bytes read and dropped since then
        self._queued = 0  # bytes that were taken to be written
        self.high_water = HIGH_WATER  # bytes unsent from which nothing more is read
        self.most_unsent_s = math.inf  # that bytes may wait to be sent; older ones end the connection
        self._unsent_since = 0.0  # trio's time at which the first of them was queued
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN | HUNG_UP)
        self._peer: str | None = None  # the peer's address, once asked
        self.on_linger: Callable[[], None] | None = None  # told once it has shut its sending side
        self._shunned_s: float | None = None
        self._detaching = False
        self.remains: Remains | None = None
        self.closed = False
        self._eof = False  # the peer's end was read
        self.reading = False  # it waits for the peer's bytes, and for nothing else
        self.heard_at = trio.current_time()  # when the last bytes came in
        self._input_age = QueueAge()
        self._input_age.sample(0, time.monotonic() if came_after is None else came_after)
        self._read_came_after = math.inf  # when what was read last can have come at the earliest

    def unread_for_s(self) -> float:
        """Seconds since what was read last came in, at most: in the system's buffers, and here."""
        return max(arrivals.unread_for_s(), time.monotonic() - self._read_came_after)

    @property
    def unsent(self) -> int:
        return self._out.size

    @property
    def queued(self) -> int:
        """All bytes that were ever written to it; `sent` of them left."""
        return self._queued

    @property
    def sent(self) -> int:
        """Bytes that the system has taken. What comes after them surely never reached the peer."""
        return self._queued - self._out.size

    @property
    def usable(self) -> bool:
        """Whether what is written now can still go out."""
        return not (self.closed or self._ending or self._detaching)

    @property
    def pending(self) -> bool:
        """Whether something has come in, be it the peer's end, that was not read yet."""
        return bool(self._events())

    @property
    def hung_up(self) -> bool:
        """Whether the peer has ended its side, read or not: looked at before something is begun for it."""
        return self._eof or bool(self._events() & HUNG_UP)

    def _events(self) -> int:
        if self.closed:
            return 0
        return sum(events for _, events in self._poll.poll(0))

    def write(self, data: bytes, instead: bytes = b"") -> bool:
        """Queues bytes in order, and says whether it did; a peer that leaves far too much unread is cut off.

        Where memory is short, since other connections hold it, `instead` is written in place of `data`.
        Without it, or where a part of `data` has left already, the connection is ended.
        """
        if self.closed or self._ending:
            return False
        rest = data
        try:
            if self._out.size + len(data) > MOST_UNSENT:
                raise NoMemory("the peer does not read")
            if not self._out.size:  # else it would overtake what waits
                rest = data[self._send_now(data) :]
                self._unsent_since = trio.current_time()
            if rest:
                self._out.put(rest)
                self._work.set()
        except NoMemory:
            self._queued += len(data) - len(rest)
            if not instead or len(rest) < len(data):
                self.abort()
            else:
                self.write(instead)
            return False
        self._queued += len(data)
        return True

    def _send_now(self, data: bytes) -> int:
        """Sends what the socket takes at once: mostly all, and no task needs to wake for it."""
        try:
            return os.write(self._sock.fileno(), data)
        except OSError:
            return 0  # full, or broken: the writing task waits, or meets the error

    @property
    def peer(self) -> str:
        """The peer's address as text; "" where the socket can't tell (closed, or not IP)."""
        if self._peer is None:
            try:
                self._peer = str(self._sock.getpeername()[0])
            except (OSError, IndexError, TypeError):
                self._peer = ""
        return self._peer

    def finish(self) -> None:
        """The one orderly close: a lingering close (RFC 9112, section 9.6).

        From now on nothing that is read is handed on. Once all that is queued has been written it shuts
        its sending side, and reads and drops what the peer still sends, for LINGER_S and MOST_DROPPED at
        most or until the peer ends: closing over unread input resets the connection, and the peer may
        lose the last answer.
        """
        if not self.usable:
            return
        self._ending = True
        if not self._out.size:
            self._half_close()
        self._work.set()
        self._room.set()

    def _half_close(self) -> None:
        self._half_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        if self.on_linger:
            self.on_linger()

    def detach(self) -> None:
        """Ends it without closing, as soon as nothing that came in is being handled: see `remains`."""
        self._detaching = True
        self._room.set()
        if not self.closed:
            trio.lowlevel.notify_closing(self._sock)  # wakes who waits for it, and closes nothing

    def preload(self, unread: bytes, unsent: bytes) -> None:
        """What another process had read and not used, and not yet written."""
        self._in.put(unread)
        self._out.put(unsent)
        self._work.set()

    def discard(self) -> None:
        """Gives back one that was never served: its socket, without a word to the peer, and its rings."""
        self.closed = True
        self._sock.close()
        self._in.close()
        self._out.close()

    def shun(self, seconds: float) -> None:
        """Reads nothing more for so long, then closes in order: what is queued goes out meanwhile.

        Guards against a peer that breaks the protocol at full speed, on one new connection after another:
        the wait bounds what it can cost.
        """
        self._shunned_s = seconds

    def abort(self) -> None:
        """Ends it now: the other side is told before anything else is written, on any connection."""
        self._ending = True
        if not self.closed:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
        self._scope.cancel()

    async def serve(self, feed: Feed) -> None:
        """Reads and writes until either side ends; gives socket and rings back.

        Guards memory: an error that left a task here would leave frames, tasks and rings in a cycle, 10 KB a
        connection, until the collector looks at the oldest objects. It hardly ever does, and a crowd resets
        thousands. So the tasks end by themselves, and nothing that is left refers back to the connection.
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_out)
                    detached = await self._read_in(feed)
                    nursery.cancel_scope.cancel()
                if detached:
                    size_in, size_out = self._in.size, self._out.size
                    self.remains = Remains(
                        os.dup(self._sock.fileno()), self._in.take(size_in), self._out.take(size_out)
                    )
        except* OSError:
            pass  # no descriptor for what remains, or of what it feeds: the same as an end
        finally:
            self.closed = True
            self._sock.close()
            self._in.close()
            self._queued -= self._out.size  # these never left
            self._out.close()
            self.on_linger = None

    async def _read_in(self, feed: Feed) -> bool:
        """Reads until the end; whether that is since it is to be detached."""
        if self._in.size and not await self._use(feed):
            return False
        while not self._detaching:
            while self._out.size > self.high_water and self.usable:
                self._room = trio.Event()
                await self._room.wait()
            awaited = self._look_at_input()
            self.reading = True
            try:
                got = await self._sock.recv_into(self._in.space())
            except trio.ClosedResourceError:
                if not self._detaching:
                    raise
                break
            except OSError as error:
                if errors.passes(error):
                    await trio.sleep(PASSING_S)
                    continue
                got = 0  # a reset ends it like the peer's end, and costs no more: see `serve`
            finally:
                self.reading = False
            if not got:
                self._eof = True
                return False
            self.heard_at = trio.current_time()
            if awaited:  # nothing was there until the event loop looked for the last time before this
                self._input_age.sample(0, time.monotonic() - arrivals.unread_for_s())
            came_after = self._input_age.take(got)
            self._read_came_after = came_after if came_after > -math.inf else math.inf
            self._in.filled(got)
            if self._ending:
                self._in.skip(self._in.size)  # it crossed the close: nothing more is taken
                self._dropped += got
                if self._dropped > MOST_DROPPED:
                    return False
            elif not await self._use(feed):
                return False
        return True

    def _look_at_input(self) -> bool:
        """Notes how much input waits to be read; whether there is none."""
        if not self._events() & select.POLLIN:
            self._input_age.sample(0, time.monotonic())
            return True
        length = unread_bytes(self._sock.fileno())
        if length is None:
            self._input_age = QueueAge()
        elif length:
            room = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            self._input_age.sample(length, time.monotonic(), full=length >= room * FULL_SHARE)
        return False

    async def _use(self, feed: Feed) -> bool:
        """Hands on what came in; whether there is a reason to go on reading."""
        wanted = await feed(self._in)
        if self._shunned_s is not None:
            self._in.skip(self._in.size)
            await trio.sleep(self._shunned_s)
            self.finish()
            return True
        return await self._grow(max(wanted, self._in.size + 1))

    async def _grow(self, n: int) -> bool:
        with trio.move_on_after(STARVED_S):
            while True:
                try:
                    self._in.reserve(n)
                    return True
                except NoMemory:
                    await self._memory.freed()
        return False

    async def _write_out(self) -> None:
        while True:
            if not self._out.size:
                if self._ending:
                    if not self._half_closed:
                        self._half_close()
                    await trio.sleep(LINGER_S)
                    self._scope.cancel()
                    return
                self._work = trio.Event()
                await self._work.wait()
                continue
            with trio.move_on_after(STALL_S) as stalled:
                try:
                    if self.most_unsent_s < math.inf:
                        await trio.lowlevel.wait_writable(self._sock)
                        if trio.current_time() > self._unsent_since + self.most_unsent_s:
                            self._scope.cancel()  # what it says of time is not true any more
                            return
                    self._out.skip(await self._sock.send(self._out.head()))
                except trio.ClosedResourceError:
                    if not self._detaching:
                        raise
                    return  # what is left goes on elsewhere
                except OSError as error:
                    if not errors.passes(error):
                        self._scope.cancel()
                        return
                    await trio.sleep(PASSING_S)
            if stalled.cancelled_caught:
                self._scope.cancel()
                return
            self._room.set()
