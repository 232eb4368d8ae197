"""Stand-in stores whose answers come after a time, with objects of two sizes, in a process of their own.

    python -m starlinghaven.lab.sized_archive --delay 0.01

prints their addresses as a line of JSON and serves until it is ended.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import subprocess
import sys
from pathlib import Path

import trio

from starlinghaven.lab.sizes import OBJECT_BYTES, is_large
from starlinghaven.standins.platform import Archive, Words

ROOT = Path(__file__).parent.parent.parent
SMALL_BODY = b"small"
WEIGHT = 60.0  # of a store: the decisions refuse little for its load


class SizedArchive(Archive):
    """Large objects have `large_bytes` bytes; a write is answered with as many."""

    def __init__(self, delay_s: float, large_bytes: int) -> None:
        super().__init__()
        self._delay_s, self._large = delay_s, b"o" * large_bytes
        self.keeps_orders = False

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        _, word, since = super().reply(store, fields)
        return self._delay_s, word, since

    def body(self, fields: dict[str, str]) -> bytes:
        key = fields.get("k", "")
        return self._large if not key or is_large(key) else SMALL_BODY

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await super()._answer(store, words, message, scope)

    async def serve(self) -> None:
        """Prints the addresses, and serves for ever."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.run)
            print(json.dumps(self.addresses), flush=True)


class RemoteArchive(Archive):
    """The same, played by another process: it does not take the processor from whoever measures."""

    weight = WEIGHT

    def __init__(self, delay_s: float = 0.0, large_bytes: int = OBJECT_BYTES) -> None:
        super().__init__()
        self._options = ["--delay", str(delay_s), "--large-bytes", str(large_bytes)]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        command = [sys.executable, "-m", __spec__.name, *self._options]
        process = await trio.lowlevel.open_process(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        try:
            told = b""
            while not told.endswith(b"\n"):
                told += await process.stdout.receive_some()
            self.addresses = json.loads(told)
            task_status.started()
            await process.wait()
        finally:
            with trio.CancelScope(shield=True):
                if process.returncode is None:
                    process.kill()
                await process.wait()


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(prog="starlinghaven.lab.sized_archive", description=__doc__)
    parser.add_argument("--delay", type=float, default=0.0, help="seconds until an answer")
    parser.add_argument("--large-bytes", type=int, default=OBJECT_BYTES)
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        trio.run(SizedArchive(given.delay, given.large_bytes).serve)


if __name__ == "__main__":
    main()
