"""A run's report: rules, figures and plots of its history, as one HTML file and one JSON summary."""

from __future__ import annotations

import base64
import io
import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Sequence
from html import escape
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from starlinghaven.lab import checks
from starlinghaven.lab.history import Entry, read

FAULTS = ("cut", "heal", "network", "kill", "term", "stall", "resume", "silent", "erring",
          "serving", "slow", "drain", "purge", "flush")  # fmt: skip
MOST_LATENCY_MS = 10_000


def summary(history: Sequence[Entry]) -> dict[str, Any]:
    """The figures of a run. Latencies in ms, times in seconds."""
    latencies, words = HdrHistogram(1, MOST_LATENCY_MS * 1_000, 3), Counter[str]()
    asked: dict[tuple[int, int], float] = {}
    for e in history:
        if e["what"] == "ask":
            asked[e["proxy"], e["n"]] = e["t"]
        elif e["what"] == "answer":
            words[e["word"]] += 1
            latencies.record_value(max(int((e["t"] - asked.get((e["proxy"], e["n"]), e["t"])) * 1e6), 1))
    deaths = checks.detections(history)
    peers: Entry = next((e for e in history if e["what"] == "peers"), {"delivered": []})
    delivered = peers["delivered"]
    seconds = max((e["t"] for e in history if e["what"] in ("ask", "members")), default=1.0)
    broken = checks.run(history)
    return {
        "seconds": round(seconds, 1),
        "asked": len(asked),
        "answers": dict(words),
        "latency_ms": {f"p{p}": latencies.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 100)},
        "broken": {name: found[:20] for name, found in broken.items() if found},
        "deaths": len(deaths),
        "detect_s": _spread([d.first_s for d in deaths]),
        "all_know_s": _spread([d.last_s for d in deaths]),
        "false_failures": len(checks.false_failures([e for e in history if e["t"] >= 0])),
        "lab_late_s": max((e["s"] for e in history if e["what"] == "lag"), default=0.0),
        "quiet_bytes_per_proxy_per_s": _quiet(history, len(delivered)),
        "bytes_per_proxy_per_s": round(sum(delivered) / max(len(delivered), 1) / seconds, 1),
        "cpu_ms_per_proxy_per_s": _cpu(history),
        "most_loaded_cache_over_mean": round(checks.uneven(history, seconds / 2, seconds), 2),
        "datagrams": {k: peers[k] for k in ("sent", "lost", "passed", "longest") if k in peers},
        "stances": dict(Counter(e["stance"] for e in history if e["what"] == "stance")),
    }


def _quiet(history: Sequence[Entry], proxies: int) -> float | None:
    """Bytes delivered to a proxy, a second, before the first fault and from 5 s after the start."""
    first = min((e["t"] for e in history if e["what"] in FAULTS), default=float("inf"))
    seen = [(e["t"], e["bytes"]) for e in history if e["what"] == "passed" and 5.0 <= e["t"] < first]
    if len(seen) < 2 or not proxies:
        return None
    (since, before), (until, after) = seen[0], seen[-1]
    each: float = (after - before) / (until - since) / proxies
    return round(each, 1)


def _cpu(history: Sequence[Entry]) -> float:
    """Processor time of a proxy, in ms a second, over those that lived through the run."""
    read: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for e in history:
        if e["what"] == "cpu":
            read[e["proxy"]].append((e["t"], e["s"]))
    shares = [1000 * (two[1] - one[1]) / (two[0] - one[0]) for one, *_, two in
              (v for v in read.values() if len(v) > 1) if two[1] >= one[1]]  # fmt: skip
    return round(statistics.mean(shares), 2) if shares else 0.0


def _spread(values: list[float]) -> dict[str, float] | None:
    if not values:
        return None
    ordered = sorted(values)
    at = min(int(0.99 * len(ordered)), len(ordered) - 1)
    return {"median": round(statistics.median(ordered), 3), "p99": round(ordered[at], 3)}


def write(folder: Path) -> dict[str, Any]:
    """Writes report.html and summary.json into a run's folder; returns the summary."""
    history = read(folder / "history.jsonl")
    told = summary(history)
    (folder / "summary.json").write_text(json.dumps(told, indent=2) + "\n")
    rows = "".join(
        f"<tr><td>{escape(name)}</td><td>{escape(json.dumps(value))}</td></tr>"
        for name, value in told.items()
    )
    rules = "".join(
        f"<li>{escape(c.__name__)}: {'<b>BROKEN</b>' if c.__name__ in told['broken'] else 'kept'}</li>"
        for c in checks.CHECKS
    )
    faults = "".join(
        f"<li>{e['t']:.2f} s {escape(json.dumps({k: v for k, v in e.items() if k != 't'}))}</li>"
        for e in history if e["what"] in FAULTS
    )  # fmt: skip
    plots = "".join(
        f'<img alt="{name}" src="data:image/png;base64,{base64.b64encode(png).decode()}">'
        for name, png in _plots(history).items()
    )
    (folder / "report.html").write_text(
        "<!doctype html><meta charset=utf-8><title>Fleet lab</title>"
        "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td{padding:.2em .8em}"
        "img{max-width:100%}</style>"
        f"<h1>Fleet lab</h1><h2>Rules</h2><ul>{rules}</ul><h2>Figures</h2><table>{rows}</table>"
        f"<h2>Over time</h2>{plots}<h2>Faults</h2><ul>{faults}</ul>"
    )
    return told


def _plots(history: Sequence[Entry]) -> dict[str, bytes]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    seconds = int(max((e["t"] for e in history), default=0.0)) + 1
    answers: dict[str, list[int]] = defaultdict(lambda: [0] * seconds)
    held: dict[int, set[int]] = defaultdict(set)
    known: list[tuple[float, int]] = []
    for e in history:
        if e["what"] in ("answer", "lost"):
            answers[e.get("word", "lost")][max(int(e["t"]), 0)] += 1
        elif e["what"] == "view":
            (held[e["peer"]].add if e["state"] == "failed" else held[e["peer"]].discard)(e["proxy"])
            known.append((e["t"], sum(map(len, held.values()))))
    figure, (upper, lower, load) = plt.subplots(3, 1, figsize=(9, 8), sharex=True)
    orders = [e for e in history if e["what"] in ("ready", "order")]  # all that loads looks at
    each = [checks.loads(orders, t, t + 2) for t in range(0, max(seconds - 1, 1), 2)]
    for name in each[0]:
        parts = [n[name] * len(n) / max(sum(n.values()), 1) for n in each]
        load.plot([2 * t + 1 for t in range(len(each))], parts, linewidth=0.8)
    load.set_ylabel("requests of each\ncache over the mean")
    for word, counts in sorted(answers.items()):
        upper.plot(range(seconds), counts, label=word)
    upper.set_ylabel("answers a second")
    if answers:
        upper.legend()
    if known:
        lower.step([t for t, _ in known], [n for _, n in known], where="post")
    lower.set_ylabel("views that call a proxy failed")
    load.set_xlabel("seconds")
    for e in history:
        if e["what"] in FAULTS:
            for axis in (upper, lower, load):
                axis.axvline(e["t"], color="grey", alpha=0.2)
    figure.tight_layout()
    sink = io.BytesIO()
    figure.savefig(sink, format="png", dpi=90)
    plt.close(figure)
    return {"over time": sink.getvalue()}
