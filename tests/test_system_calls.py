"""System calls that fail for a moment, as Linux documents: who is served must not hang on it."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
import trio.testing

from starlinghaven.transport import listener as listener_module
from starlinghaven.transport import places as places_module
from starlinghaven.transport import sockets
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.pool import Link, Pool
from starlinghaven.transport.ring import Ring
from tests.loopback import free_port, in_trio, until
from tests.steps import accounts

ACCEPT_ERRORS = (
    *(errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM),
    *(errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH),
    *(errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ENOSR, errno.ESOCKTNOSUPPORT, errno.EPROTONOSUPPORT),
    *(errno.ETIMEDOUT, errno.ECONNRESET),
)
PLACES, CLIENTS = 40, 32


class FailingSocket:
    """A socket of which one call fails so many times; all else goes on to the real one."""

    def __init__(self, real: Any, call: str, number: int, times: int) -> None:
        self._real, self._call, self._number, self.left = real, call, number, times

    def __getattr__(self, name: str) -> Any:
        if name != self._call:
            return getattr(self._real, name)

        fails = self.left > 0

        async def failing(*args: Any) -> Any:
            if fails:
                self.left -= 1
                raise OSError(self._number, os.strerror(self._number))
            return await getattr(self._real, name)(*args)

        return failing


class FlakySocket(FailingSocket):
    """A socket of which four of ten calls fail, for as long as it is used."""

    def __init__(self, real: Any, call: str, number: int) -> None:
        super().__init__(real, call, number, 0)
        self._calls = 0

    def __getattr__(self, name: str) -> Any:
        if name == self._call:
            self._calls += 1
            self.left = int(self._calls % 10 in (1, 2, 5, 8))
        return super().__getattr__(name)


async def echo(connection: Connection) -> None:
    async def feed(ring: Ring) -> int:
        connection.write(ring.take(ring.size))
        return 1

    await connection.serve(feed)


@asynccontextmanager
async def listening(number: int, times: int | None) -> AsyncIterator[Listener]:
    """A listener whose accept fails so many times, or four of ten times."""
    listener = Listener(f"127.0.0.1:{free_port()}", accounts(1 << 24), PLACES)
    async with trio.open_nursery() as nursery:
        await listener.open()
        failing: FailingSocket = FlakySocket(listener._sock, "accept", number)
        if times is not None:
            failing = FailingSocket(listener._sock, "accept", number, times)
        listener._sock = cast(Any, failing)
        nursery.start_soon(listener.run, echo, lambda: False)
        yield listener
        nursery.cancel_scope.cancel()


async def echoed(listener: Listener, clients: int, seconds: float = 5.0) -> int:
    """How many clients that come at once, and stay, are answered within so many seconds."""
    answered = 0

    async def ask() -> None:
        nonlocal answered
        stream = await trio.open_tcp_stream("127.0.0.1", listener.port)
        await stream.send_all(b"x")
        assert await stream.receive_some() == b"x"
        answered += 1

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(clients):
                nursery.start_soon(ask)
    return answered


def test_no_error_of_a_connection_to_come_ends_the_listener(tmp_path: Path) -> None:
    async def play(folder: Path) -> None:
        for number in ACCEPT_ERRORS:
            async with listening(number, 12) as listener:
                assert await echoed(listener, 1) == 1, errno.errorcode[number]

    in_trio(play)(tmp_path)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_all_places_are_back_after_descriptors_were_short(tmp_path: Path, number: int) -> None:
    async def play(folder: Path) -> None:
        async with listening(number, 20) as listener:
            assert await echoed(listener, 1) == 1
            with trio.fail_after(2 * places_module.MOST_RETURN_S):
                await until(lambda: listener.most == PLACES)
            assert await echoed(listener, CLIENTS) == CLIENTS

    in_trio(play)(tmp_path)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_an_accept_that_fails_now_and_then_costs_no_places_while_descriptors_are_there(
    tmp_path: Path, number: int
) -> None:
    async def play(folder: Path) -> None:
        async with listening(number, None) as listener:
            assert await echoed(listener, CLIENTS, 1.0) == CLIENTS
            assert listener.most == PLACES

    in_trio(play)(tmp_path)


DIAL_ERRORS = (
    *(errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH),
    *(errno.EINTR, errno.EAGAIN, errno.EHOSTUNREACH, errno.ENETDOWN),
)


@pytest.mark.parametrize("call", ["socket", "connect"])
def test_a_dial_that_fails_for_a_moment_for_want_of_something_local_is_tried_again(
    tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = trio.socket.socket

    async def play(folder: Path) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        place = ("s", f"127.0.0.1:{listener.socket.getsockname()[1]}")
        for number in DIAL_ERRORS:
            left = 2

            def flaky(*args: Any, number: int = number) -> Any:
                nonlocal left
                if call == "connect":
                    failing = FailingSocket(real(*args), "connect", number, 1 if left else 0)
                    left = max(left - 1, 0)
                    return failing
                if left:
                    left -= 1
                    raise OSError(number, os.strerror(number))
                return real(*args)

            monkeypatch.setattr(trio.socket, "socket", flaky)
            pool = Pool(lambda _, c: Link(c), accounts(1 << 24), dial_s=1.0, streams=4, idle_s=9.0, most=9)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pool.run)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(2.0):
                    await pool.link(place)
                assert pool.count == 1, errno.errorcode[number]
                nursery.cancel_scope.cancel()
            assert pool.count == 0

    in_trio(play)(tmp_path)


@in_trio
async def test_a_listening_socket_that_can_not_be_had_for_a_moment_does_not_end_the_start(
    tmp_path: Path,
) -> None:
    real = socket.socket
    left = 3

    def flaky(*args: Any, **more: Any) -> Any:
        nonlocal left
        if left:
            left -= 1
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        return real(*args, **more)

    listener = Listener(f"127.0.0.1:{free_port()}", accounts(1 << 24), PLACES)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(listener_module, "socket", SimpleNamespace(**vars(socket) | {"socket": flaky}))
        await listener.open()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.run, echo, lambda: False)
        assert await echoed(listener, 1) == 1
        nursery.cancel_scope.cancel()


@in_trio
async def test_a_socket_is_tried_for_again_while_it_can_not_be_had_for_a_moment(tmp_path: Path) -> None:
    tries: list[int] = []

    def make(number: int, times: int) -> str:
        tries.append(number)
        if tries.count(number) <= times:
            raise OSError(number, os.strerror(number))
        return "made"

    for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
        assert await sockets.obtained(lambda number=number: make(number, 3), "a test") == "made"  # type: ignore[misc]
    with pytest.raises(PermissionError):
        await sockets.obtained(lambda: make(errno.EACCES, 99), "a test")
    assert tries.count(errno.EACCES) == 1


def failing_readv(real: Callable[..., int], failures: list[int], fd: int, buffers: list[memoryview]) -> int:
    if failures:
        number = failures.pop()
        raise OSError(number, os.strerror(number))
    return real(fd, buffers)


class Slow(Connection):
    """A connection that leaves all writing to its task."""

    def _send_now(self, pieces: tuple[bytes, ...]) -> int:
        return 0


@in_trio
async def test_a_read_or_write_that_fails_for_a_moment_does_not_end_a_connection(tmp_path: Path) -> None:
    for call in ("readv", "send"):
        for number in (errno.ENOBUFS, errno.ENOMEM):
            ours, theirs = trio.socket.socketpair()
            async with trio.open_nursery() as nursery:
                connection = object.__new__(Slow if call == "send" else Connection)
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(type(ours), "setsockopt", lambda *_: None)
                    Connection.__init__(connection, ours, accounts(1 << 20))
                failures = [number] * 3
                if call == "send":
                    connection._sock = cast(Any, FailingSocket(ours, call, number, len(failures)))
                    failures.clear()
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(os, "readv", partial(failing_readv, os.readv, failures))
                    nursery.start_soon(echo, connection)
                    await theirs.send(b"x")
                    with trio.fail_after(2):
                        assert await theirs.recv(1) == b"x", (call, errno.errorcode[number])
                    assert not failures
                nursery.cancel_scope.cancel()
            theirs.close()


def test_a_look_at_unread_input_that_fails_for_a_moment_is_not_taken_for_an_empty_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ours, theirs = socket.socketpair()
    failures = [errno.ENOBUFS, errno.ENOMEM, errno.EINTR]

    class Failing(socket.socket):
        def recv(self, *args: int) -> bytes:
            if failures:
                number = failures.pop()
                raise OSError(number, os.strerror(number))
            return super().recv(*args)

    theirs.send(b"x")
    monkeypatch.setattr(socket, "socket", Failing)
    assert sockets.peeked(ours.fileno(), 16) == b"x" and not failures
    ours.close()
    theirs.close()
