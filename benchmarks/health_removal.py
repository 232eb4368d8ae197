"""How long a stand-in balancer takes to stop sending work to a proxy in trouble, over loopback.

    python -m benchmarks.health_removal --trials 50

For each fault (every cache taken away by hand, the process stopped with SIGSTOP), the program runs
beside two stand-in balancers (agent-check, fall 1; HTTP check, fall 2; both polling every 100 ms
with a 250 ms time-out), the fault is injected `--trials` times, and the seconds from the fault to
the balancer's change are collected. Also prints what one health reading and answer cost in this
process. Loopback only; bounded by the number of trials. Not part of CI.
"""

from __future__ import annotations

import argparse
import signal
import statistics
import tempfile
import time
from pathlib import Path

import trio

from starlinghaven.health import wire
from starlinghaven.health.model import Facts, Health, ListSource
from starlinghaven.program.operations.health import descriptors
from tests.loopback import STORES, free_port, operator
from tests.test_balancer_health import balancers, proxy, removal_s, taken_in


def spread(name: str, seconds: list[float]) -> str:
    ms = sorted(1000 * s for s in seconds)
    q = statistics.quantiles(ms, n=100, method="inclusive") if len(ms) > 1 else ms * 99
    figures = f"p50 {q[49]:4.0f} ms  p90 {q[89]:4.0f} ms  p99 {q[98]:4.0f} ms  max {ms[-1]:4.0f} ms"
    return f"{name:<24} n={len(ms):3d}  {figures}"


async def trials(n: int) -> list[str]:
    lines = []
    with tempfile.TemporaryDirectory() as folder:
        door = free_port()
        async with proxy(Path(folder), console=door) as (p, ports), trio.open_nursery() as nursery:
            agent, http = balancers(ports)
            await nursery.start(agent.run)
            await nursery.start(http.run)
            by_hand: list[list[float]] = [[], []]
            stalled: list[list[float]] = [[], []]
            for _ in range(n):
                await taken_in(agent, http)
                since = trio.current_time()
                await operator(door, f"exclude {STORES[0][0]}")
                for got, took in zip(by_hand, await removal_s(since, agent, http), strict=True):
                    got.append(took)
                await operator(door, f"include {STORES[0][0]}")
                await taken_in(agent, http)
                since = trio.current_time()
                p.process.send_signal(signal.SIGSTOP)
                try:
                    for got, took in zip(stalled, await removal_s(since, agent, http), strict=True):
                        got.append(took)
                finally:
                    p.process.send_signal(signal.SIGCONT)
            lines += [spread("no cache, agent-check", by_hand[0]), spread("no cache, HTTP check", by_hand[1])]
            lines += [spread("stalled, agent-check", stalled[0]), spread("stalled, HTTP check", stalled[1])]
            lines.append(f"checks answered: agent {agent.checks}, HTTP {http.checks}")
            nursery.cancel_scope.cancel()
    return lines


def cost() -> list[str]:
    facts = Facts(at_ms=0.0, source=ListSource.CONFIRMED, own_stores=8, reachable=8, queue_limit=256,
                  open_limit=2048, fds=40, fds_limit=1024)  # fmt: skip
    machine, n = Health(), 100_000
    began = time.perf_counter()
    for k in range(n):
        wire.agent_line(machine.step(Facts(**{**_fields(facts), "at_ms": float(k)})))
    step_us = (time.perf_counter() - began) / n * 1e6
    began = time.perf_counter()
    for _ in range(2000):
        descriptors()
    fd_us = (time.perf_counter() - began) / 2000 * 1e6
    return [f"one step and agent line: {step_us:.1f} us; counting descriptors: {fd_us:.1f} us"]


def _fields(facts: Facts) -> dict[str, object]:
    return {name: getattr(facts, name) for name in Facts.__slots__}  # type: ignore[attr-defined]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trials", type=int, default=50)
    args = parser.parse_args()
    for line in [*trio.run(trials, args.trials), *cost()]:
        print(line)


if __name__ == "__main__":
    main()
