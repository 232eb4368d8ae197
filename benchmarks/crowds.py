"""Peak memory of one proxy under a crowd, and what a usual client beside it gets.

    python -m benchmarks.crowds --kinds piped-writes=100,unread=100 --memory-mb 64 [--program TREE]

Starts the program of a tree, usual clients here, and stores and crowd in processes of their own. Prints one
line of JSON. Not part of CI.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any

import trio

from starlinghaven.lab import crowds
from starlinghaven.lab.process_memory import memory_of
from starlinghaven.lab.sized_archive import RemoteArchive
from starlinghaven.lab.sizes import OBJECT_BYTES
from starlinghaven.lab.soak.stage import run_command
from starlinghaven.lab.usual import Ending, Outcome, RequestKind, UsualClient
from starlinghaven.standins.platform import configuration, free_port

ROOT = Path(__file__).parent.parent
LEAD_S = 0.5  # that usual clients ask ahead of the crowd
REST_S = 1.0  # after it


def told_of(outcomes: list[Outcome]) -> dict[str, Any]:
    served = sorted(o.took_s for o in outcomes if o.ending is Ending.SERVED)
    endings = {str(ending): n for ending, n in sorted(Counter(o.ending for o in outcomes).items())}
    times = (
        {"median_ms": round(1000 * served[len(served) // 2]), "slowest_ms": round(1000 * served[-1])}
        if served
        else {}
    )
    return {"asked": len(outcomes), **endings, **times}


async def play(given: argparse.Namespace) -> dict[str, Any]:
    """Plays one crowd; what was measured."""
    archive, port = RemoteArchive(given.store_delay, given.large_bytes), free_port()
    archive.weight = given.weight
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
            await nursery.start(archive.run)
            limits = {"cores": 1.0, "memory_mb": given.memory_mb, "sockets": given.sockets}
            told = configuration(archive, port) | {"limits": limits}
            if given.copies:
                told |= {"flow_bytes_per_s": 310_000.0, "link_bytes_per_s": 124_000_000.0}
            for cls in told["settings"]["Classes"]:
                cls["GiveUpMs"] = 5_000.0
            (folder / "config.json").write_text(json.dumps(told))
            log = (folder / "log").open("w")
            crowd = crowds.playing(("127.0.0.1", port), given.kinds, given.seconds, given.seed)
            playing = await stack.enter_async_context(crowd) if given.from_start else None
            process = await trio.lowlevel.open_process(
                ["/bin/sh", "-c", run_command(given.program)],
                cwd=given.program,
                env=os.environ | {"LB_CONFIG": str(folder / "config.json"), "TMPDIR": name},
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
            try:
                with trio.fail_after(10):
                    while " ready " not in (folder / "log").read_text() and process.returncode is None:
                        await trio.sleep(0.02)
                result = await _measure(given, process, ("127.0.0.1", port), nursery, playing)
            finally:
                if process.returncode is None:
                    process.terminate()
                with trio.move_on_after(3), trio.CancelScope(shield=True):
                    await process.wait()
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                if given.log:
                    given.log.write_text((folder / "log").read_text())
            nursery.cancel_scope.cancel()
    return result


async def _measure(
    given: argparse.Namespace,
    process: trio.Process,
    address: tuple[str, int],
    nursery: trio.Nursery,
    early: trio.Process | None,
) -> dict[str, Any]:
    """Plays usual clients and the crowd, unless it plays already; what was measured."""
    if process.returncode is not None:
        return {"exit": process.returncode}
    at_rest = memory_of(process.pid)
    kinds = tuple(RequestKind(kind) for kind in given.usual.split(","))
    usual = [UsualClient(address, Random(f"{given.seed} {n}"), kinds) for n in range(given.clients)]
    for client in usual:
        nursery.start_soon(client.run)
    crowd: Counter[str] = Counter()
    async with AsyncExitStack() as stack:
        if early is None:
            await trio.sleep(LEAD_S)
            for client in usual:
                client.outcomes.clear()
            crowd_now = crowds.playing(address, given.kinds, given.seconds, given.seed)
            early = await stack.enter_async_context(crowd_now)
        with trio.move_on_after(given.seconds + 5):
            crowd = await crowds.told(early)
    beside = [outcome for client in usual for outcome in client.outcomes]
    await trio.sleep(REST_S)
    memory = memory_of(process.pid) if process.returncode is None else None
    return {
        "exit": process.returncode,
        "rest_mb": at_rest.now_mb,
        "peak_mb": memory and memory.peak_mb,
        "after_mb": memory and memory.now_mb,
        "usual": {kind: told_of([o for o in beside if o.kind == kind]) for kind in kinds},
        "crowd": crowd,
    }


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.crowds", description=__doc__)
    parser.add_argument("--kinds", type=crowds.read_kinds, default={}, help="KIND=MEMBERS,…")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--memory-mb", type=float, default=192.0)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--store-delay", type=float, default=0.01)
    parser.add_argument("--large-bytes", type=int, default=OBJECT_BYTES)
    parser.add_argument("--weight", type=float, default=60.0, help="of each store")
    parser.add_argument("--from-start", action="store_true", help="the crowd is there before the program")
    parser.add_argument("--copies", action="store_true", help="lets the program keep copies of its own")
    parser.add_argument("--clients", type=int, default=4, help="usual clients")
    parser.add_argument("--usual", default="small-read", help="kinds of their requests, in turn")
    parser.add_argument("--program", type=Path, default=ROOT)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--log", type=Path, default=None)
    print(json.dumps(trio.run(play, parser.parse_args())))


if __name__ == "__main__":
    main()
