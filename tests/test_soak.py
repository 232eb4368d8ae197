"""The soak, short: random faults by seed on real processes, and on a program without its lease."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import trio

from starlinghaven.lab.soak import checks, plan
from starlinghaven.lab.soak.stage import OBJECTS, ROOT, Stage
from starlinghaven.lab.soak.stores import GROUPS

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


def test_a_plan_is_the_same_for_the_same_seed() -> None:
    one, same, other = (plan.draw(seed, SECONDS, PROCESSES, OBJECTS, GROUPS) for seed in (1, 1, 2))
    assert one == same != other
    kinds = {action.kind for seed in range(30) for action in plan.draw(seed, SECONDS, 2, 9, 4).actions}
    assert kinds == set(plan.Kind)
