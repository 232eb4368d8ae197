"""Fault relays on loopback: one for the datagrams of all proxies, one before each store.

Proxy k listens at an address of its own and is known to the others by its relay's address: a datagram
to that address goes on to proxy k, from the relay address of its sender, if the faults let it pass.
"""

from __future__ import annotations

import heapq
import itertools
import select
import socket
from collections import Counter

import trio

from starlinghaven.lab.faults import Faults

Address = tuple[str, int]
AT_A_TIME = 64  # datagrams of one socket before the next one's turn


class DatagramRelay:
    """All proxies' datagrams pass through here. One task; counts what passes and what is held back."""

    def __init__(self, listens: list[Address], faults: Faults) -> None:
        """`listens` are the proxies' own addresses (`peer_listen`), by number."""
        self.faults, self._listens = faults, listens
        self._numbers = {address: k for k, address in enumerate(listens)}
        self._socks: list[socket.socket] = []
        self.counts: Counter[str] = Counter()
        self.delivered = [0] * len(listens)  # bytes, by receiver
        self.longest = 0
        for _ in listens:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))
            self._socks.append(sock)
        self.addresses: list[Address] = [sock.getsockname() for sock in self._socks]
        self._late: list[tuple[float, int, int, int, bytes]] = []
        self._order, self._more = itertools.count(), trio.Event()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver_late)
            nursery.start_soon(self._relay)

    def close(self) -> None:
        for sock in self._socks:
            sock.close()

    async def _relay(self) -> None:
        """One wait for all sockets: a task for each would cost the lab a core at 200 proxies."""
        numbers = {sock.fileno(): k for k, sock in enumerate(self._socks)}
        with select.epoll() as ready:
            for fd in numbers:
                ready.register(fd, select.EPOLLIN)
            while True:
                await trio.lowlevel.wait_readable(ready.fileno())
                for fd, _ in ready.poll(0):
                    self._drain(numbers[fd])

    def _drain(self, to: int) -> None:
        for _ in range(AT_A_TIME):
            try:
                data, source = self._socks[to].recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram found nobody: a proxy that was killed
            self._pass(self._numbers.get(source), to, data)

    def _pass(self, source: int | None, to: int, data: bytes) -> None:
        self.longest = max(self.longest, len(data))
        if source is None:
            self.counts["strange"] += 1
            return
        self.counts["sent"] += 1
        fates = self.faults.fate(source, to)
        if not fates:
            self.counts["lost"] += 1
        for delay in fates:
            if delay <= 0:
                self._deliver(source, to, data)
                continue
            due = trio.current_time() + delay / 1000
            heapq.heappush(self._late, (due, next(self._order), source, to, data))
            self._more.set()

    def _deliver(self, source: int, to: int, data: bytes) -> None:
        self.counts["passed"] += 1
        self.delivered[to] += len(data)
        try:
            self._socks[source].sendto(data, self._listens[to])
        except OSError:
            self.counts["nobody"] += 1

    async def _deliver_late(self) -> None:
        while True:
            if not self._late:
                self._more = trio.Event()
                await self._more.wait()
            due, _, source, to, data = self._late[0]
            if due > trio.current_time():
                with trio.move_on_at(min(due, trio.current_time() + 0.005)):
                    await trio.sleep_forever()
                continue
            heapq.heappop(self._late)
            self._deliver(source, to, data)


class StreamRelay:
    """Stands before one store: passes bytes on, or not at all while the connection stays open."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self.address: Address = ("", 0)
        self._speaks = trio.Event()
        self._speaks.set()

    def silence(self, on: bool) -> None:
        """Nothing passes and nothing is reset: a machine that vanished."""
        if on:
            self._speaks = trio.Event()
        else:
            self._speaks.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        self.address = listener.socket.getsockname()
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            return
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, nursery.cancel_scope)
            nursery.start_soon(self._copy, far, near, nursery.cancel_scope)

    async def _copy(self, one: trio.SocketStream, other: trio.SocketStream, both: trio.CancelScope) -> None:
        try:
            while data := await one.receive_some(65536):
                await self._speaks.wait()
                await other.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        both.cancel()
