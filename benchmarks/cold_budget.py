"""What many processes together send to a cold store, against the budget and what is put down to chance.

    python -m benchmarks.cold_budget --seeds 50

For 3, 20, 30 and 200 processes with uneven traffic, 70% of which start anew within a second amid the ramp,
counts the windows with more than N + 2 x root of N + 2 calls (N: what the settings allow in that window) over
all seeds, and says how much of the budget is used. See starlinghaven/lab/cold.py. Not part of CI at this
length: tests/test_cold_sum.py plays fewer seeds.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

from starlinghaven.lab.cold import Counted, Plan, run


def line(proxies: int, cold: str, got: list[Counted]) -> str:
    over = sum(c.windows_over for c in got)
    most = max(got, key=lambda c: c.calls - c.budget)
    used = sum(c.used for c in got) / len(got)
    largest = sum(c.largest for c in got) / len(got)
    return (
        f"{proxies:4d} processes, cold {cold:6s}: {over} of {sum(c.windows for c in got)} windows over; "
        f"nearest {most.calls:.1f} calls for N {most.budget:.1f}; used {used:.2f}; "
        f"largest tenth {largest:.3f} of the calls"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="What many processes send to a cold store together")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.workers) as pool:
        for proxies in (3, 20, 30, 200):
            for cold in ("cache", "parent"):
                plans = [Plan(proxies, seed, cold) for seed in range(options.seeds)]
                print(line(proxies, cold, list(pool.map(run, plans))), flush=True)


if __name__ == "__main__":
    main()
