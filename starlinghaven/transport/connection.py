"""One TCP connection: a ring each way, a reading task, a writing one while there is something to write."""

from __future__ import annotations

import contextlib
import logging
import math
import os
import select
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import trio

from starlinghaven.containment import contained
from starlinghaven.memory import Account, NoMemory
from starlinghaven.transport import errors, sockets
from starlinghaven.transport.input_age import InputAge
from starlinghaven.transport.queue_age import undelivered_bytes, unread_bytes
from starlinghaven.transport.ring import READ, Ring
from starlinghaven.transport.sockets import HUNG_UP

log = logging.getLogger(__name__)

PASSING_S = 0.01  # seconds after which a read or write is tried again that failed for a moment
STALL_S = 10.0  # seconds in which a peer must read something of what waits for it
STARVED_S = 2.0  # seconds that a half-read message may wait for memory
HIGH_WATER = 512 * 1024  # bytes unsent from which, as a rule, nothing more is read from the same peer
MOST_UNSENT = 8 * 1024 * 1024  # bytes unsent at most: all open requests of a connection with full answers
LINGER_S = 0.5  # seconds of a lingering close in which what the peer still sends is read and dropped
MOST_DROPPED = HIGH_WATER  # bytes that are read and dropped in that time, at most
MOST_PEEKED = 512 * 1024  # bytes of unread input that are looked through: the system holds no more
PREPAID = 512  # bytes of each ring that a connection's own cost covers: short messages always pass
COST = 9 * 1024 + 512 + 2 * PREPAID  # bytes of a connection at rest: socket, task, the state of its protocol
FULL_S = 0.05  # between two looks at a message for which the system may have no room
PARTIAL_S = 0.02  # seconds until a large message is looked at again of which a part came in
MOST_PARTIAL = 3  # such looks in a row that find nothing more: the system has no room for the rest

Feed = Callable[[Ring], Awaitable[int]]
"""Takes what it can use from the ring; returns how many bytes the ring must hold before it can go on."""


Transfer = Callable[[], Awaitable[bool]]
"""Moves a resting connection to another process; whether that one owns it from now on."""


@dataclass(frozen=True, slots=True)
class ConnectionAccounts:
    """Where connections of one kind take their memory from."""

    connections: Account  # what each one costs, whatever it holds
    input: Account
    output: Account

    @classmethod
    def shared(cls, account: Account) -> ConnectionAccounts:
        """All from one account."""
        return cls(account, account, account)


class Connection:
    """Owns a socket and its two rings. `serve` opens and closes them; others only write or abort.

    Another process can take it over: see `hand_over`, and `restore` there.
    """

    __slots__ = (
        *("_accounts", "_borrowed", "_dropped", "_ending", "_eof", "_half_closed", "_heard_at", "_in"),
        "_input_age",
        *("_low_water", "_nursery", "_out", "_pausing", "_peer", "_poll", "_queued", "_received"),
        *("_resting", "_room", "_scope", "_seen_unread", "_settled", "_shunned_s", "_sock", "_transfer"),
        *("_unsent_since", "_wanted", "_writing", "_written", "closed", "handed_over", "high_water"),
        *("most_unsent_s", "on_linger", "reading", "__weakref__"),
    )

    def __init__(
        self, sock: trio.socket.SocketType, accounts: ConnectionAccounts, came_after: float | None = None
    ) -> None:
        """`came_after`: for one that waited to be accepted, when it can have come, on time.monotonic().

        Errors: NoMemory, and OSError; the socket is still the caller's then.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        accounts.connections.take(COST)
        self._sock, self._accounts = sock, accounts
        self._borrowed = 0  # bytes of its own cost that are paid back when it ends
        self._in, self._out = Ring(accounts.input, PREPAID), Ring(accounts.output, PREPAID)
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None  # of its tasks, while it is served
        self._writing = False  # there is a writing task
        self._room: trio.Event | None = None  # the peer has read; while that is awaited
        self._ending = False  # nothing more is taken or written: it closes, in order or at once
        self._half_closed = False
        self._received = 0
        self._dropped = 0  # bytes read and dropped since then
        self._queued = 0  # bytes that were taken to be written
        self._written = False  # something was written to the socket, here or by another process
        self.high_water = HIGH_WATER  # bytes unsent from which nothing more is read
        self.most_unsent_s = math.inf  # that bytes may wait to be sent; older ones end the connection
        self._unsent_since = 0.0  # trio's time at which the first of them was queued
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN | HUNG_UP)
        self._peer: str | None = None  # the peer's address, once asked
        self.on_linger: Callable[[], None] | None = None  # told once it has shut its sending side
        self._shunned_s: float | None = None
        self._transfer: Transfer | None = None  # how another process is to take it
        self._settled: trio.Event | None = None  # whether that one has is known
        self._pausing = False  # its tasks are to stop, so that it rests
        self._resting = False  # they have, and `_transfer` is at work
        self.handed_over = False
        self.closed = False
        self._eof = False  # the peer's end was read
        self.reading = False  # it waits for the peer's bytes, and for nothing else
        self._wanted = 1  # bytes that the ring must hold before there is more to use
        self._low_water = 1  # unread bytes from which the system wakes the reading task
        self._seen_unread = 0  # bytes of a large message that the system held at the last look
        self._heard_at = trio.current_time()
        self._input_age = InputAge(sock, came_after)

    @property
    def heard_at(self) -> float:
        """When the last bytes came in, on trio's clock, as far as that was looked at."""
        if self._low_water > 1 and not self.closed:
            self._note_unread(unread_bytes(self._sock.fileno()) or 0)
        return self._heard_at

    def _note_unread(self, unread: int) -> bool:
        """Looks at how much the system holds of a large message; whether that is more than before."""
        grown = unread > self._seen_unread
        if grown:
            self._heard_at = trio.current_time()
        self._seen_unread = unread
        return grown

    def unread_for_s(self) -> float:
        """Seconds since what was read last came in, at most: in the system's buffers, and here."""
        return self._input_age.unread_for_s()

    @property
    def unsent(self) -> int:
        """Bytes queued that the system has not taken."""
        return self._out.size

    @property
    def undelivered(self) -> int:
        """Bytes queued that the peer's system has not acknowledged, as far as this one says."""
        if self.closed or not self._written:  # most of a crowd never were: no call is made for them
            return self._out.size
        return self._out.size + undelivered_bytes(self._sock.fileno())

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
        return not (self.closed or self._ending or self._transfer)

    @property
    def pending(self) -> bool:
        """Whether something has come in, be it the peer's end, that was not read yet."""
        return bool(self._events())

    @property
    def hung_up(self) -> bool:
        """Whether the peer has ended its side, read or not: looked at before something is begun for it."""
        return self._eof or bool(self._events() & HUNG_UP)

    @property
    def _readable(self) -> bool:
        """Whether input waits to be read."""
        return bool(self._events() & select.POLLIN)

    def _events(self) -> int:
        if self.closed:
            return 0
        return sum(events for _, events in self._poll.poll(0))

    # -- writing ----------------------------------------------------------------------------------

    def has_room(self, size: int, leave: int = 0) -> bool:
        """Whether so many bytes can be written, where `leave` bytes of the memory are to be left free."""
        return self._can_hold(size, leave) or not self._out.size and self._system_takes(size)

    def _can_hold(self, size: int, leave: int) -> bool:
        """Whether there is memory for so many bytes if the system takes none of them."""
        held = self._out.size + size
        return held <= MOST_UNSENT and self._accounts.output.allows(self._out.cost(held), leave)

    def _system_takes(self, size: int) -> bool:
        """Whether the system should take so many bytes at once."""
        try:
            buffer = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        except OSError:
            return False
        return undelivered_bytes(self._sock.fileno()) + size <= buffer // 2

    def write(self, *pieces: bytes, instead: bytes = b"", leave: int = 0) -> bool:
        """Queues bytes in order, and says whether it did; a peer that leaves far too much unread is cut off.

        Where memory is short, since other connections hold it, or less than `leave` bytes would be left of
        it, `instead` is written in place of them: a few bytes, which always pass. Without it the connection
        is ended.
        """
        if self.closed or self._ending:
            return False
        size = sum(map(len, pieces))
        if self._can_hold(size, leave):
            self._queue(pieces, size)
            return True
        self._accounts.output.refuse()
        if not self._out.size and self._system_takes(size):
            try:
                self._queue(pieces, size, always=False)
            except NoMemory as error:  # a part has left, so that nothing can take its place
                log.warning("a connection is cut off amid an answer: %s", error)
                self.abort()
                return False
            return True
        if instead:
            self._queue((instead,), len(instead))
        else:
            self.abort()
        return False

    def _queue(self, pieces: tuple[bytes, ...], size: int, always: bool = True) -> None:
        """Errors: NoMemory for what the system did not take, unless it is held in any case."""
        self._written = True
        self._queued += size
        sent = 0
        if not self._out.size:  # else it would overtake what waits
            sent = self._send_now(pieces)
            if sent == size:
                return
            self._unsent_since = trio.current_time()
        for piece in pieces:
            rest = memoryview(piece)[sent:]
            sent = max(sent - len(piece), 0)
            self._out.put(rest, always=always)
        self._start_writing()

    def _send_now(self, pieces: tuple[bytes, ...]) -> int:
        """Sends what the socket takes at once: mostly all, and no task needs to wake for it."""
        try:
            return os.writev(self._sock.fileno(), pieces)
        except OSError:
            return 0  # full, or broken: the writing task waits, or meets the error

    def _start_writing(self) -> None:
        """Lets a task write what is queued, and close the connection where it is ending."""
        if not self._writing and self._nursery is not None:
            self._writing = True
            self._nursery.start_soon(self._write_out)

    async def _write_out(self) -> None:
        try:
            while self._out.size:
                if not await self._write_some():
                    return
            if self._ending:
                if not self._half_closed:
                    self._half_close()
                await trio.sleep(LINGER_S)
                self._scope.cancel()
        finally:
            self._writing = False

    async def _write_some(self) -> bool:
        """Writes as much as the system takes; whether the writing goes on."""
        undelivered = self.undelivered
        with trio.move_on_after(STALL_S) as stalled:
            try:
                if self.most_unsent_s < math.inf:
                    await trio.lowlevel.wait_writable(self._sock)
                    if trio.current_time() > self._unsent_since + self.most_unsent_s:
                        self._scope.cancel()  # what it says of time is not true any more
                        return False
                self._out.skip(await self._sock.send(self._out.head()))
            except trio.ClosedResourceError:
                if not self._pausing:
                    raise
                return False  # what is left goes on elsewhere, or here when it rests no more
            except OSError as error:
                if not errors.passes(error):
                    self._scope.cancel()
                    return False
                await trio.sleep(PASSING_S)
        if stalled.cancelled_caught and self.undelivered >= undelivered:
            self._scope.cancel()
            return False
        self._note_room()
        return True

    def _note_room(self) -> None:
        """Wakes the reading task that waits until the peer has read, or until it is to stop."""
        if self._room is not None:
            self._room.set()

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
        if self.closed or self._ending or self._resting:
            return
        self._ending = True
        if not self._out.size:
            self._half_close()
        self._set_low_water(1)  # what is half there is read and dropped too
        self._start_writing()
        self._note_room()

    def _half_close(self) -> None:
        self._half_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        if self.on_linger:
            self.on_linger()

    # -- another process --------------------------------------------------------------------------

    async def hand_over(self, transfer: Transfer) -> bool:
        """Offers it to another process; whether that one has it.

        It rests, neither reading nor writing, as soon as nothing that came in is being handled. `transfer`
        runs then. If the other process does not take it, it goes on here as if nothing had been.
        """
        if not self.usable or self._shunned_s is not None:
            return False
        self._transfer, self._settled, self._pausing = transfer, trio.Event(), True
        self._note_room()
        trio.lowlevel.notify_closing(self._sock)  # wakes who waits for it, and closes nothing
        await self._settled.wait()
        return self.handed_over

    @property
    def fd(self) -> int:
        """Its descriptor, for another process; it stays the connection's own."""
        return self._sock.fileno()

    @property
    def unread(self) -> int:
        """Bytes that have come in and were not used yet."""
        return self._in.size

    @property
    def memory(self) -> int:
        """Bytes of the budget that it holds."""
        return COST + self._in.counted + self._out.counted

    def unread_came_after(self) -> float:
        """When what is unread, here and in the system, can have come at the earliest (time.monotonic())."""
        return self._input_age.unread_came_after(self._readable, held=bool(self._in.size))

    @property
    def received(self) -> int:
        """Bytes of the peer that were ever read from the socket here."""
        return self._received

    def unread_input(self) -> bytes:
        """What has come in and was not used, here and in the system, up to MOST_PEEKED; it all stays.

        A fact may lie there that its reader has not come to: it may be behind other input, or wait. Of a
        large message that is not whole in the system nothing is looked at: nothing lies behind it.
        """
        if self.closed:
            return b""
        held = self._in.peek(0, self._in.size)
        return held + sockets.peeked(self._sock.fileno(), MOST_PEEKED) if self._readable else held

    def unread_pieces(self, size: int) -> Iterator[bytes]:
        """What has come in and was not used, in pieces of this size; it stays."""
        return self._pieces(self._in, size)

    def unsent_pieces(self, size: int) -> Iterator[bytes]:
        """What the system has not taken yet, in pieces of this size; it stays."""
        return self._pieces(self._out, size)

    @staticmethod
    def _pieces(ring: Ring, size: int) -> Iterator[bytes]:
        return (ring.peek(at, min(size, ring.size - at)) for at in range(0, ring.size, size))

    def cede(self) -> None:
        """Another process owns it: drops what the rings hold, and cedes the memory of it all."""
        self._queued -= self._out.size
        self._in.cede()
        self._out.cede()
        self._accounts.connections.cede(COST, self._borrowed)

    def reserve(self, unread: int, unsent: int) -> None:
        """Makes room for what is to be restored from another process. Errors: NoMemory."""
        self._written = True
        self._in.reserve(unread)
        self._out.reserve(unsent)

    def borrow(self, most: int) -> int:
        """Counts memory that it holds as borrowed, up to so many bytes; returns how many they are."""
        self._borrowed = min(COST, most)
        of_output = self._out.borrow(most - self._borrowed)
        return self._borrowed + of_output + self._in.borrow(most - self._borrowed - of_output)

    def restore_unread(self, data: bytes, came_after: float) -> None:
        """Bytes that another process had read and not used; they came at `came_after` at the earliest."""
        self._in.put(data)
        self._received += len(data)
        if data:
            self._input_age.restored(came_after)

    def restore_unsent(self, data: bytes) -> None:
        """Bytes that another process had queued and the system had not taken."""
        self._out.put(data)
        self._queued += len(data)

    # -- its end ----------------------------------------------------------------------------------

    def discard(self) -> None:
        """Gives back one that was never served: its socket, without a word to the peer, and its memory."""
        self._close()

    def _close(self) -> None:
        """The one place where its socket and its memory are given back."""
        self.closed = True
        self._sock.close()
        self._queued -= self._out.size  # these never left
        self._in.close()
        self._out.close()
        if not self.handed_over:
            self._accounts.connections.give(COST, self._borrowed)

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
        """Reads and writes until either side ends; gives socket and memory back.

        Guards memory: an error that left a task here would leave frames, tasks and rings in a cycle, 10 KB a
        connection, until the collector looks at the oldest objects. It hardly ever does, and a crowd resets
        thousands. So the tasks end by themselves, and nothing that is left refers back to the connection.
        """
        try:
            with self._scope:
                while not self.handed_over:
                    async with trio.open_nursery() as nursery:
                        self._nursery = nursery
                        if self._out.size or self._ending:
                            self._start_writing()
                        try:
                            rests = await self._read_in(feed)
                        finally:
                            self._nursery = None
                        nursery.cancel_scope.cancel()
                    if not rests:
                        break
                    await self._be_taken()
        except* OSError:
            pass  # of what it feeds: the same as an end
        finally:
            self._nursery = None
            self._close()
            self.on_linger = None
            self._note_settled()

    async def _be_taken(self) -> None:
        """Lets another process take it, unless it has begun to end; notes whether that one has."""
        self._pausing, transfer = False, self._transfer
        try:
            if transfer is not None and not self._ending:
                self._resting = True
                with contained(log, "the hand-over of a connection"):
                    self.handed_over = await transfer()
        finally:
            self._transfer, self._resting = None, False
            self._note_settled()

    def _note_settled(self) -> None:
        if self._settled is not None:
            self._settled.set()

    # -- reading ----------------------------------------------------------------------------------

    async def _read_in(self, feed: Feed) -> bool:
        """Reads until the end; whether that is since another process is to have it."""
        if self._in.size and not await self._use(feed):
            return False
        while not self._pausing:
            await trio.lowlevel.checkpoint()
            while self._out.size > self.high_water and self.usable:
                self._room = trio.Event()
                await self._room.wait()
                self._room = None
            if self._pausing:
                break
            try:
                got = await self._receive()
            except trio.ClosedResourceError:
                if not self._pausing:
                    raise
                break
            except OSError as error:
                if errors.passes(error):
                    await trio.sleep(PASSING_S)
                    continue
                got = 0  # a reset ends it like the peer's end, and costs no more: see `serve`
            except NoMemory as error:
                log.warning("a connection ends: %s", error)
                self.finish()
                self._wanted = 1
                continue
            finally:
                self.reading = False
            if not got:
                self._eof = True
                return False
            self._heard_at = trio.current_time()
            self._received += got
            self._in.filled(got)
            if self._ending:
                self._in.skip(self._in.size)  # it crossed the close: nothing more is taken
                self._dropped += got
                if self._dropped > MOST_DROPPED:
                    return False
            elif not await self._use(feed):
                return False
        return True

    async def _receive(self) -> int:
        """Reads into the ring what has come in; 0 at the peer's end. Errors: OSError, NoMemory.

        trio's own call hands on what it has read only in a later turn of the loop. Until then the bytes
        would be neither in the system's buffer nor in the ring, where `unread_input` looks.
        """
        missing = self._wanted - self._in.size
        if missing > READ and not self._ending and not self._takes_parts():
            return await self._receive_rest(missing)
        while True:
            awaited = not self._readable
            self._input_age.look(readable=not awaited)
            if awaited:
                self.reading = True
                await trio.lowlevel.wait_readable(self._sock)
                self.reading = False
            unread = unread_bytes(self._sock.fileno())
            size = self._in.size + max(READ if unread is None else unread, 1)
            await self._make_room(max(min(size, READ), self._wanted, self._in.size + 1), whole=False)
            with contextlib.suppress(BlockingIOError):  # trio may wake too early
                got = os.readv(self._sock.fileno(), [self._in.space()])
                self._input_age.read(got, awaited)
                return got

    def _takes_parts(self) -> bool:
        """Whether a large message is read as it comes in: it is faster, while half of the memory is free."""
        account = self._accounts.input
        if account.allows(self._in.cost(self._wanted), account.limit // 2):
            self._in.reserve(self._wanted)
        return self._in.capacity >= self._wanted

    async def _receive_rest(self, missing: int) -> int:
        """Reads the rest of a large message once the system has it whole; 0 at the peer's end.

        Guards memory where it is short: peers that stop half-way through a message, or take long to write it,
        hold none of it here. Where the system has no room for all of it, what is there is read.
        """
        fd = self._sock.fileno()
        self._seen_unread, idle_looks = 0, 0
        try:
            while (unread := unread_bytes(fd)) is not None and unread < missing and not self._ending:
                idle_looks = 0 if self._note_unread(unread) else idle_looks + 1
                if self.hung_up:
                    return 0
                if idle_looks > MOST_PARTIAL:
                    break
                self._input_age.look(readable=True)
                await self._wait_for(missing)
        finally:
            self._set_low_water(1)
        whole = unread is not None and unread >= missing
        size = min(missing, READ if unread is None else max(unread, 1))
        await self._make_room(self._in.size + size, whole)
        got = os.readv(fd, [self._in.space()[:size]])
        self._input_age.read(got, awaited=False, to_last=whole)
        return got

    async def _wait_for(self, unread: int) -> None:
        """Waits until the system holds so many bytes, or a little after it has woken this task with less."""
        self._set_low_water(unread)
        self.reading = True
        with trio.move_on_after(FULL_S if self._may_fill_up(unread) else math.inf):
            await trio.lowlevel.wait_readable(self._sock)
            if (unread_bytes(self._sock.fileno()) or 0) < unread:
                await trio.sleep(PARTIAL_S)
            else:
                self._input_age.note_wait_for(unread)
        self.reading = False

    def _may_fill_up(self, unread: int) -> bool:
        """Whether the system may have no room for so many bytes: it stops its peer then, and wakes nobody."""
        return unread > self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) // 2

    def _set_low_water(self, unread: int) -> None:
        """Has the system wake the reading task at so many unread bytes, and make room for twice as many."""
        if unread == self._low_water or self.closed:
            return
        with contextlib.suppress(OSError):  # where the system can't, it wakes the task more often
            if unread > self._low_water:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 2 * unread)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, unread)
        self._low_water = unread

    async def _make_room(self, size: int, whole: bool) -> None:
        """Makes room for so many bytes in all, as soon as there is memory. Errors: NoMemory, after STARVED_S.

        What makes a message whole may use all memory, since it is used at once. What may be kept until its
        peer goes on leaves a part of it.
        """
        if not (cost := self._in.cost(size)):
            self._in.reserve_taken(size)
            return
        account = self._accounts.input
        leave = 0 if whole else account.limit // 2
        if not whole and self._in.size < PREPAID and not account.allows(cost, leave):
            size, cost = PREPAID, 0
        with trio.move_on_after(STARVED_S) as starved:
            if cost:
                await account.wait_and_take(cost, leave)
            self._in.reserve_taken(size)
        if starved.cancelled_caught:
            raise NoMemory(f"{account.name}: nothing for a message of {size} bytes")

    async def _use(self, feed: Feed) -> bool:
        """Hands on what came in; whether there is a reason to go on reading."""
        wanted = await feed(self._in)
        if not self._in.size < wanted <= self._in.capacity:  # else the rest of a message comes in there
            self._in.fit()
        if self._shunned_s is not None:
            self._in.skip(self._in.size)
            await trio.sleep(self._shunned_s)
            self.finish()
            wanted = 1
        self._wanted = wanted
        return True
