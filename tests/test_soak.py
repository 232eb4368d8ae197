"""The soak, short: random faults by seed on real processes, and on a program without its lease."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random

import trio

from starlinghaven.lab.history import History
from starlinghaven.lab.soak import checks, plan
from starlinghaven.lab.soak.clients import SoakClient
from starlinghaven.lab.soak.stage import OBJECTS, ROOT, Stage
from starlinghaven.lab.soak.stores import GROUPS
from tests.loopback import Words, in_trio, until

SEEDS = (3, 4, 12, 17)
SECONDS = 30.0
PROCESSES = 2
WITHOUT_LEASE = (
    "from starlinghaven.routing.lease import NewsLease; NewsLease.covers = lambda *_: True; "
    "from starlinghaven.program.daemon import main; main()"
)


def play(
    folder: Path, commands: Mapping[str, tuple[int, Sequence[str] | None]]
) -> dict[str, dict[str, list[str]]]:
    """What the checkers found in soaks that play side by side, by their names."""
    found: dict[str, dict[str, list[str]]] = {}

    async def one(name: str, seed: int, command: Sequence[str] | None) -> None:
        drawn = plan.draw(seed, SECONDS, PROCESSES, OBJECTS, GROUPS)
        stage = Stage(drawn, folder / name, ROOT, command)
        await stage.run()
        found[name] = checks.run(stage.history.entries)

    async def all_of_them() -> None:
        async with trio.open_nursery() as nursery:
            for name, (seed, command) in commands.items():
                nursery.start_soon(one, name, seed, command)

    trio.run(all_of_them)
    return found


def test_random_faults_break_no_rule_and_a_program_without_the_lease_serves_stale_copies(
    tmp_path: Path,
) -> None:
    usual: dict[str, tuple[int, Sequence[str] | None]] = {f"seed {seed}": (seed, None) for seed in SEEDS}
    found = play(tmp_path, usual | {"without the lease": (SEEDS[0], ("-c", WITHOUT_LEASE))})
    assert "purges_heeded" in found.pop("without the lease")
    assert not any(found.values()), found


@in_trio
async def test_a_second_answer_to_a_request_is_seen(tmp_path: Path) -> None:
    async def twice(stream: trio.SocketStream) -> None:
        words = Words(stream)
        while (message := await words.read()) is not None:
            for _ in range(2):
                await words.write(message[1], b"RESULT", b"", b"x")

    history = History()
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, twice, [listener])
        client = SoakClient(0, listener.socket.getsockname()[:2], history, Random(1))
        nursery.start_soon(client.run, ["0000000000000001"], [1.0])
        await until(lambda: sum(e["what"] == "answer" for e in history.entries) >= 4)
        nursery.cancel_scope.cancel()
    assert any("2 answers" in found for found in checks.one_final_answer(history.entries))


def test_a_plan_is_the_same_for_the_same_seed() -> None:
    one, same, other = (plan.draw(seed, SECONDS, PROCESSES, OBJECTS, GROUPS) for seed in (1, 1, 2))
    assert one == same != other
    kinds = {action.kind for seed in range(30) for action in plan.draw(seed, SECONDS, 2, 9, 4).actions}
    assert kinds == set(plan.Kind)
