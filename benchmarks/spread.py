"""How evenly load falls, beside the module without news, two blind rules and an all-knowing one.

    python -m benchmarks.spread [--quick] [--large] [--workers N] [--plots DIR]

Simulates the product's Routers and exchange (lab/spreading.py) from fixed seeds and prints the tables of
docs/measurements/spread.md. `--large` adds 1,000 proxies before 200 caches; `--plots` writes PNG files.
"""

from __future__ import annotations

import argparse
import math
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from starlinghaven.lab.spreading import POLICIES, Spreading

WARM_S, END_S = 15, 40
Case = tuple[int, int, float, float, int]  # proxies, caches, requests a second each, Zipf, slow caches
CASES: list[Case] = [
    (200, 24, 2, 1.0, 0), (200, 24, 2, 1.0, 3), (200, 24, 5, 1.0, 0), (200, 24, 5, 1.0, 3),
    (200, 24, 5, 1.2, 0), (200, 24, 8, 1.0, 0), (400, 60, 4, 1.0, 0), (400, 60, 4, 1.0, 6),
]  # fmt: skip
LARGE: list[Case] = [(1_000, 200, 5, 1.0, 0)]


@dataclass
class Run:
    case: Case
    policy: str
    seed: int
    most: float
    least: float
    most_s: float
    least_s: float
    in_time: float
    refused: float
    slow_part: float
    hits: float
    copies: float
    bytes: float
    swing: float
    echo: float
    shares: list[list[int]]


def swings(shares: list[list[int]]) -> tuple[float, float]:
    """How much a cache's requests vary from second to second over what chance alone would make (1 is chance),
    and their greatest mean autocorrelation at 2 to 8 s: proxies that chase each other show up here."""
    over, echoes = [], dict[int, list[float]]()
    for column in zip(*shares, strict=True):
        mean = statistics.mean(column)
        if mean < 1:
            continue
        off = [x - mean for x in column]
        variance = sum(x * x for x in off)
        over.append(variance / len(off) / mean)
        for lag in range(2, 9):
            if variance:
                found = sum(a * b for a, b in zip(off, off[lag:], strict=False)) / variance
                echoes.setdefault(lag, []).append(found)
    return statistics.mean(over), max(statistics.mean(v) for v in echoes.values())


def play(job: tuple[Case, str, int]) -> Run:
    (proxies, caches, rate, zipf, slow), policy, seed = job
    s = Spreading(proxies, caches, rate, policy, seed, zipf=zipf)
    for cache in s.caches[:slow]:
        cache.speed = 0.2
    s.run(END_S * 1000)
    most, least, most_s, least_s = s.uneven(WARM_S, END_S)
    ended = s.ended(WARM_S, END_S - 1)
    part = statistics.mean(s.part(k, WARM_S, END_S) for k in range(slow)) if slow else math.nan
    shares = [[s.seen.sent.get(t, {}).get(c, 0) for c in range(caches)] for t in range(END_S)]
    swing, echo = swings(shares[WARM_S:])
    return Run(job[0], policy, seed, most, least, most_s, least_s, ended["in time"], ended["refused"], part,
               s.hit_share(WARM_S, END_S), s.copies(), s.delivered_bytes / proxies / END_S, swing, echo,
               shares)  # fmt: skip


def plot(runs: list[Run], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    pair = [next(r for r in runs if r.case == CASES[3] and r.policy == p) for p in ("module", "spread")]
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 3.6), sharey=True)
    for axis, run in zip(axes, pair, strict=True):
        for c in range(run.case[1]):
            means = [sum(row) / len(row) or 1 for row in run.shares]
            parts = [row[c] / mean for row, mean in zip(run.shares, means, strict=True)]
            smooth = [statistics.mean(parts[max(0, t - 2) : t + 1]) for t in range(len(parts))]
            slow = c < run.case[4]
            axis.plot(smooth, color="crimson" if slow else "steelblue", linewidth=1.2 if slow else 0.6)
        axis.set_title(f"{run.policy}: requests of each cache over the mean (3 slow in red)", fontsize=9)
        axis.set_xlabel("seconds")
        axis.axhline(1, color="black", linewidth=0.5)
    figure.tight_layout()
    figure.savefig(folder / "spread-shares.png", dpi=80)
    figure, axis = pyplot.subplots(figsize=(5, 3.4))
    loads = {2: 24, 5: 59, 8: 94}
    for policy in POLICIES:
        chosen = [(loads[int(c[2])], c) for c in (CASES[0], CASES[2], CASES[5])]
        points = [(x, [r.in_time for r in runs if r.case == c and r.policy == policy]) for x, c in chosen]
        axis.plot([x for x, _ in points], [statistics.mean(v) for _, v in points], marker="o", label=policy)
    axis.set_xlabel("load, % of what the caches can send")
    axis.set_ylabel("served in time")
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(folder / "spread-in-time.png", dpi=80)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true", help="one seed")
    parser.add_argument("--large", action="store_true", help="only 1,000 proxies before 200 caches")
    parser.add_argument("--workers", type=int, default=None, help="processes; one a core if not given")
    parser.add_argument("--plots", type=Path, default=None)
    told = parser.parse_args()
    cases = LARGE if told.large else CASES
    seeds = (1,) if told.quick or told.large else (1, 2)
    policies = ("spread", "module", "knowing") if told.large else POLICIES
    jobs = [(case, policy, seed) for case in cases for policy in policies for seed in seeds]
    with ProcessPoolExecutor(told.workers) as pool:
        runs = list(pool.map(play, jobs))
    print("| proxies x caches, each a second | chosen by | most/mean, least/mean | second: most, least | "
          "in time | refused | slow ones get | hits | copies of the top 200 | B/s a proxy | swing | echo |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|---|")  # fmt: skip
    for case in cases:
        for policy in policies:
            mine = [r for r in runs if r.case == case and r.policy == policy]

            def mean(name: str, rows: list[Run] = mine) -> float:
                return statistics.mean(getattr(r, name) for r in rows)

            name = f"{case[0]} x {case[1]}, {case[2]:g}" + (f", Zipf {case[3]}" if case[3] != 1 else "")
            name += f", {case[4]} slow" if case[4] else ""
            slow = f"{mean('slow_part'):.2f}" if case[4] else ""
            print(f"| {name} | {policy} | {mean('most'):.2f}, {mean('least'):.2f} | {mean('most_s'):.2f}, "
                  f"{mean('least_s'):.2f} | {mean('in_time'):.3f} | {mean('refused'):.3f} | {slow} | "
                  f"{mean('hits'):.3f} | {mean('copies'):.2f} | {mean('bytes'):.0f} | {mean('swing'):.2f} | "
                  f"{mean('echo'):.2f} |")  # fmt: skip
    if told.plots and not told.large:
        plot(runs, told.plots)


if __name__ == "__main__":
    main()
