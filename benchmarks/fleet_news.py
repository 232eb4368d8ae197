"""What news of a silent parent is worth: real processes with peers on and off, the same scenario and seeds.

    python -m benchmarks.fleet_news [--seeds N]

Prints, for each run, the requests asked while the parent was silent, how many of them were served within
400 ms, later, refused and failed, and the bytes that passed between proxies over the whole run.
"""

from __future__ import annotations

import argparse
import tempfile
from collections import Counter
from pathlib import Path

import trio

from starlinghaven.lab import scenario
from starlinghaven.lab.history import read
from starlinghaven.lab.rig import Rig

SILENT_S, BACK_S, SOON_S = 6.0, 14.0, 0.4


def play(seed: int, operator_file: str) -> Counter[str]:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(scenario.load("silent-parent", seed=seed), Path(folder), operator_file=operator_file)
        trio.run(rig.run)
        history = read(Path(folder) / "history.jsonl")
    asked = {(e["proxy"], e["n"]): e["t"] for e in history
             if e["what"] == "ask" and SILENT_S <= e["t"] < BACK_S}  # fmt: skip
    found = Counter(asked=len(asked))
    for e in history:
        if e["what"] == "answer" and (at := asked.get((e["proxy"], e["n"]))) is not None:
            if e["word"] == "RESULT":
                found["soon" if e["t"] - at <= SOON_S else "late"] += 1
            else:
                found["refused" if e["word"] == "REJECT" else "failed"] += 1
    (peers,) = [e for e in history if e["what"] == "peers"]
    found["bytes"] = sum(peers["delivered"])
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=2)
    seeds = range(5, 5 + parser.parse_args().seeds)
    print("| seed | peers | asked | within 400 ms | later | refused | failed | bytes between proxies |")
    print("|---|---|---|---|---|---|---|---|")
    for seed in seeds:
        for name, text in (("off", ""), ("on", "[fleet]\n")):
            n = play(seed, text)
            shares = " | ".join(f"{n[k] / n['asked']:.3f}" for k in ("soon", "late", "refused", "failed"))
            print(f"| {seed} | {name} | {n['asked']} | {shares} | {n['bytes']} |", flush=True)


if __name__ == "__main__":
    main()
