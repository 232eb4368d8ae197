"""The program on loopback before its stand-ins, and what tests share to run it."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from starlinghaven.standins.platform import (
    CALLS,
    KEY,
    SETTINGS,
    STORES,
    Archive,
    Client,
    Words,
    configuration,
    free_port,
    operator,
)

ROOT = Path(__file__).parent.parent
__all__ = [
    "CALLS", "KEY", "SETTINGS", "STORES", "Archive", "Client", "Words", "configuration", "free_port",
    "operator",
]  # fmt: skip


def in_trio(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Runs an async test, for at most a minute; its fixtures are passed by name."""

    def run(tmp_path: Path) -> None:
        async def bounded() -> None:
            with trio.fail_after(60):
                await test(tmp_path)

        trio.run(bounded)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await trio.sleep(0.005)


class Program:
    """The daemon as a process, with its archive."""

    def __init__(self, archive: Archive, process: trio.Process, port: int, log: Path) -> None:
        self.archive, self.process, self.port, self._log = archive, process, port, log
        self.console = 0  # port of the operators' console, if there is one

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream("127.0.0.1", self.port))

    async def exit_code(self) -> int:
        return await self.process.wait()

    def log(self) -> str:
        return self._log.read_text()

    async def logged(self, text: str) -> None:
        while text not in self.log():
            await trio.sleep(0.01)


@asynccontextmanager
async def program(
    folder: Path,
    changelog: str = "",
    passed: socket.socket | None = None,
    beside: Program | None = None,
    more: dict[str, Any] | None = None,
    archive: Archive | None = None,
    **env: str,
) -> AsyncIterator[Program]:
    """The running program before a stand-in archive; killed in the end if it has not ended.

    `passed` is the clients' listening socket, `beside` a process that is there already, `archive` other
    stores than the usual ones.
    """
    archive = beside.archive if beside else archive or Archive()
    port = passed.getsockname()[1] if passed else free_port()
    if passed:
        env["LB_PASSED_SOCKET"] = str(passed.fileno())
    async with trio.open_nursery() as nursery:
        if not beside:
            await nursery.start(archive.run)
        told = configuration(archive, port, changelog) | (more or {})
        (folder / "config.json").write_text(json.dumps(told))
        log = folder / ("log2" if beside else "log")
        with log.open("w") as sink:
            process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "starlinghaven"],
                cwd=ROOT,
                env=os.environ | {"LB_CONFIG": str(folder / "config.json")} | env,
                stderr=sink,
                stdin=subprocess.DEVNULL,
                pass_fds=(passed.fileno(),) if passed else (),
            )
        running = Program(archive, process, port, log)
        running.console = int(env.get("LB_CONSOLE", ":0").rpartition(":")[2] or 0)
        try:
            await running.logged(" ready ")
            yield running
        finally:
            if process.returncode is None:
                process.kill()
            with trio.CancelScope(shield=True):
                await process.wait()
        nursery.cancel_scope.cancel()
