"""Runs the program with system calls that fail for a moment or do less than asked, and clocks that step.

Started by path, as `python shim.py JSON`, with the program's tree as the working directory. The JSON has the
fields of `plan.SystemFaults` and a seed. It stands beside the program and is not part of it.
"""

from __future__ import annotations

import builtins
import errno
import io
import json
import os
import random
import runpy
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

FOR_A_MOMENT: dict[str, tuple[int, ...]] = {
    "accept": (
        *(errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO),
        *(errno.EPERM, errno.ENETDOWN, errno.EHOSTUNREACH),
    ),
    "socket": (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN),
    "recv": (errno.ENOBUFS, errno.ENOMEM),
    "send": (errno.ENOBUFS, errno.ENOMEM),
}
FOR_GOOD = (errno.ETIMEDOUT, errno.EHOSTUNREACH)  # of a connection that the program made
FOR_GOOD_SHARE = 0.1  # of the failures of such a connection
SHORT_SHARE = 3.0  # times as many calls do less than asked as fail
FOLDER = (errno.ENOSPC, errno.EIO)


class Shim:
    """The faults of one process."""

    def __init__(
        self,
        calls_fail: float,
        folder_fails: float,
        wall_steps: list[Any],
        dies_writing: float,
        seed: int,
    ) -> None:
        self._calls, self._folder, self._steps = calls_fail, folder_fails, wall_steps
        self._dies_writing = dies_writing
        self._random = random.Random(seed)
        self._began = time.monotonic()
        self._outbound: set[int] = set()
        self._dead: set[int] = set()

    def install(self) -> None:
        """Puts itself in the place of the standard library's calls."""
        if self._steps:
            self._install_clock()
        if self._calls:
            self._install_sockets()
        if self._folder or self._dies_writing:
            self._install_folder()

    def _install_clock(self) -> None:
        real = time.time

        def now() -> float:
            ran = time.monotonic() - self._began
            stepped: float = real() + sum(step["by_s"] for step in self._steps if ran >= step["after_s"])
            return stepped

        time.time = now
        time.time_ns = lambda: int(now() * 1e9)

    def _install_sockets(self) -> None:
        cls: Any = socket.socket
        real_init, real_connect = cls.__init__, cls.connect

        def init(sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None and family in (-1, socket.AF_INET):
                self._fail("socket")
            real_init(sock, family, type, proto, fileno)
            self._outbound.discard(sock.fileno())
            self._dead.discard(sock.fileno())

        def connect(sock: Any, address: Any) -> Any:
            if sock.family == socket.AF_INET:
                self._fail("connect")
                self._outbound.add(sock.fileno())
            return real_connect(sock, address)

        cls.__init__, cls.connect = init, connect
        cls.accept = self._inet("accept", cls.accept)
        for name in ("recv", "recv_into"):
            setattr(cls, name, self._inet("recv", getattr(cls, name), shorten=name == "recv_into"))
        cls.send = self._inet("send", cls.send, shorten=True)
        real_write = os.write

        def write(fd: int, data: Any) -> int:
            if fd > 2 and self._random.random() < self._calls * SHORT_SHARE:
                data = self._part(data)
            return real_write(fd, data)

        os.write = write
        self._install_reads()

    def _install_reads(self) -> None:
        """Reads of connections by their descriptor."""
        real_readv = os.readv

        def readv(number: int, buffers: Any) -> int:
            self._die(number, "recv")
            self._fail("recv")
            if self._random.random() < self._calls * SHORT_SHARE:
                buffers = [self._part(buffers[0])]
            return real_readv(number, buffers)

        os.readv = readv

    def _inet(self, call: str, real: Callable[..., Any], shorten: bool = False) -> Callable[..., Any]:
        def wrapped(sock: Any, *args: Any) -> Any:
            if sock.family != socket.AF_INET:
                return real(sock, *args)
            self._die(sock.fileno(), call)
            self._fail(call)
            if shorten and self._random.random() < self._calls * SHORT_SHARE:
                args = (self._part(args[0]), *args[1:])
            return real(sock, *args)

        return wrapped

    def _die(self, number: int, call: str) -> None:
        """A connection that the program made is found dead by the system: for good."""
        if call in ("recv", "send") and number in self._outbound:
            if number not in self._dead and self._random.random() < self._calls * FOR_GOOD_SHARE:
                self._dead.add(number)
            if number in self._dead:
                code = self._random.choice(FOR_GOOD)
                raise OSError(code, os.strerror(code))

    def _part(self, data: Any) -> memoryview:
        view = memoryview(data)
        return view[: self._random.randint(1, max(len(view) - 1, 1))]

    def _fail(self, call: str) -> None:
        if self._random.random() < self._calls:
            code = self._random.choice(FOR_A_MOMENT[call])
            raise OSError(code, os.strerror(code))

    def _install_folder(self) -> None:
        folder = os.environ.get("TMPDIR", "")
        real_replace, real_open = os.replace, builtins.open

        def fail() -> None:
            if self._random.random() < self._folder:
                code = self._random.choice(FOLDER)
                raise OSError(code, os.strerror(code))

        def replace(source: Any, target: Any, **more: Any) -> None:
            if folder and str(target).startswith(folder):
                fail()
            real_replace(source, target, **more)

        def open_(file: Any, *args: Any, **more: Any) -> Any:
            path = os.readlink(f"/proc/self/fd/{file}") if isinstance(file, int) else str(file)
            if not folder or not path.startswith(folder):
                return real_open(file, *args, **more)
            fail()
            opened = real_open(file, *args, **more)
            dies = opened.writable() and self._random.random() < self._dies_writing
            return HalfWritten(opened) if dies else opened

        setattr(os, "replace", replace)  # noqa: B010
        setattr(builtins, "open", open_)  # noqa: B010
        setattr(io, "open", open_)  # noqa: B010


class HalfWritten:
    """A file whose first write is cut short by the end of the process."""

    def __init__(self, file: Any) -> None:
        self._file = file

    def __enter__(self) -> HalfWritten:
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def write(self, data: Any) -> None:
        """Writes half of the data and kills the process."""
        self._file.write(data[: len(data) // 2])
        self._file.flush()
        os.kill(os.getpid(), signal.SIGKILL)


def main() -> None:
    """Installs the faults and runs the program, or the faulty variant of it that is named."""
    told = json.loads(sys.argv[1])
    fault = told.pop("variant", "")
    sys.path[0] = os.getcwd()
    Shim(**told).install()
    sys.argv = ["starlinghaven"]
    if fault:
        exec(compile(fault, "variant", "exec"), {"__name__": "__main__"})
    else:
        runpy.run_module("starlinghaven", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
