"""python -m starlinghaven.lab: plays scenarios of faults with real processes of the program."""

from __future__ import annotations

import json
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import trio
import typer

from starlinghaven.lab import report as reports
from starlinghaven.lab import scenario as scenarios
from starlinghaven.lab.rig import Rig
from starlinghaven.lab.soak import checks
from starlinghaven.lab.soak import plan as plans
from starlinghaven.lab.soak.stage import OBJECTS, ROOT, Stage
from starlinghaven.lab.soak.stores import GROUPS
from starlinghaven.lab.soak.variants import VARIANTS

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@app.command("list")
def list_() -> None:
    """Lists the scenarios that come with the lab."""
    for name in scenarios.known():
        s = scenarios.load(name)
        typer.echo(f"{name:<16} {s.proxies:>4} proxies {s.seconds:>5.0f} s  {s.name}")


@app.command()
def run(
    scenario: Annotated[str, typer.Argument(help="a name from `list`, or a KDL file")] = "default",
    processes: Annotated[int, typer.Option(help="edge proxies, in place of the scenario's number")] = 0,
    seed: Annotated[int | None, typer.Option(help="in place of the scenario's")] = None,
    out: Annotated[Path | None, typer.Option(help="folder for history, logs and report")] = None,
) -> None:
    """Plays a scenario and writes its report. Ends with 1 if a rule was broken."""
    try:
        played = scenarios.load(scenario, processes, seed)
    except scenarios.ScenarioError as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(2) from error
    folder = out or Path("found") / f"lab-{scenario.split('/')[-1]}-{time.strftime('%Y%m%dT%H%M%S')}"
    typer.echo(f"{played.name}: starting {played.proxies} proxies before stand-ins, seed {played.seed}")
    with typer.progressbar(length=max(int(played.seconds), 1), label="playing", width=24) as bar:
        at = 0

        def tell(seconds: float, live: dict[str, int]) -> None:
            nonlocal at
            bar.label = " ".join(f"{name}={n}" for name, n in sorted(live.items()))
            bar.update(int(seconds) - at)
            at = int(seconds)

        trio.run(Rig(played, folder, tell).run)
        bar.update(bar.length - at if bar.length else 0)
    _show(reports.write(folder), folder)


@app.command()
def report(folder: Annotated[Path, typer.Argument(help="the folder of a run")]) -> None:
    """Writes the report of a run anew and shows its figures."""
    if not (folder / "history.jsonl").exists():
        typer.echo(f"lab: {folder}: no history.jsonl in it", err=True)
        raise typer.Exit(2)
    _show(reports.write(folder), folder)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="what the faults are drawn from")] = 1,
    seconds: Annotated[float, typer.Option(help="how long it plays")] = 30.0,
    processes: Annotated[int, typer.Option(help="edge proxies; 0: as the seed says")] = 0,
    fault: Annotated[str, typer.Option(help="a fault put into the program, by its name in variants.py")] = "",
    program: Annotated[Path, typer.Option(help="the tree whose program is started")] = ROOT,
    out: Annotated[Path | None, typer.Option(help="folder for history and logs")] = None,
) -> None:
    """Plays random faults of stores, clients, change log, processes and system on a drawn deployment.

    Ends with 1 if a rule was broken.
    """
    folder = out or Path("found") / f"soak-{seed}-{time.strftime('%Y%m%dT%H%M%S')}"
    plan = plans.draw(seed, seconds, processes, OBJECTS, GROUPS)
    stage = Stage(plan, folder.absolute(), program.absolute(), VARIANTS[fault].code if fault else "")
    trio.run(stage.run)
    broken = checks.run(stage.history.entries)
    words = Counter(e["word"] for e in stage.history.entries if e["what"] == "answer")
    faults = Counter(str(action.kind) for action in plan.actions)
    typer.echo(f"seed {seed}: {json.dumps(words, sort_keys=True)} {json.dumps(faults, sort_keys=True)}")
    for name, found in broken.items():
        typer.echo(f"BROKEN {name}: {found[0]} ({len(found)} in all)")
    typer.echo(f"{'rules broken' if broken else 'all rules kept'}; history: {folder / 'history.jsonl'}")
    if broken:
        raise typer.Exit(1)


def _show(told: dict[str, Any], folder: Path) -> None:
    for name, value in told.items():
        if name != "broken" and value is not None:
            typer.echo(f"{name:<22} {json.dumps(value)}")
    for name, found in told["broken"].items():
        typer.echo(f"BROKEN {name}: {found[0]} ({len(found)} in all)")
    typer.echo(f"{'rules broken' if told['broken'] else 'all rules kept'}; report: {folder / 'report.html'}")
    if told["broken"]:
        raise typer.Exit(1)


if __name__ == "__main__":
    app()
