"""The lab itself: scenarios are checked, faults come from the seed, and every checker finds a break."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest

from starlinghaven.lab import checks, scenario
from starlinghaven.lab.faults import Faults
from starlinghaven.lab.history import Entry, History, read
from starlinghaven.lab.scenario import ScenarioError


def test_the_scenarios_that_come_with_it_load() -> None:
    assert {"default", "deaths", "cut-off", "seven-in-ten"} <= set(scenario.known())
    for name in scenario.known():
        s = scenario.load(name)
        assert s.steps and all(step.at <= s.seconds for step in s.steps), name
    assert scenario.load("deaths", proxies=250).proxies == 250


@pytest.mark.parametrize(
    "text, why",
    [
        ('scenario "x" { at 1.0 { explode } }', "unknown"),
        ('scenario "x" { at 99.0 { heal } }', "lasts"),
        ('scenario "x" { at 1.0 { kill "9" } }', "beyond"),
        ('scenario "x" { at 1.0 { kill "a-b" } }', "names no members"),
        ('scenario "x" { at 1.0 { kill } }', "want 1 arguments"),
        ('scenario "x" { at 1.0 { silent "parent-7" } }', "no store"),
        ('scenario "x" { at 1.0 { await-failed "0" } }', "want 2 arguments"),
        ('scenario "x" { at 1.0 { network speed=3 } }', "want 0 arguments"),
        ('scenario "x" { seconds "long" }', "want one number"),
        ('scenario "x" { proxies 5000 }', "proxies"),
        ('scenario "x" { colour "red" }', "unknown"),
        ("scenario {", "not KDL"),
        ("other", "want one node"),
    ],
)
def test_scenarios_that_cannot_be_played_are_refused_with_a_reason(text: str, why: str) -> None:
    with pytest.raises(ScenarioError, match=why):
        scenario.parse(text)
    with pytest.raises(ScenarioError, match="no such scenario"):
        scenario.load("nowhere")


def test_a_share_of_members_is_drawn_by_the_seed() -> None:
    text = 'scenario "x" { proxies 50; at 1.0 { kill "0.7" } }'
    one, same, other = (scenario.parse(text, seed=n).steps[0].on[0] for n in (1, 1, 2))
    assert len(one) == 35 and one == same != other


def test_links_are_cut_by_direction_and_chance_comes_from_the_seed() -> None:
    faults = Faults(1)
    faults.cut([0], [1, 2], both_ways=False)
    assert faults.fate(0, 1) == [] and faults.fate(1, 0) == [0.0] and faults.fate(1, 2) == [0.0]
    faults.heal()
    assert faults.fate(0, 1) == [0.0]

    def drawn(seed: int) -> list[list[float]]:
        f = Faults(seed)
        f.network(loss=0.2, double=0.1, delay_ms=20.0)
        return [f.fate(0, 1) for _ in range(1_000)]

    assert drawn(3) == drawn(3) != drawn(4)
    counts = [len(fate) for fate in drawn(3)]
    assert 120 < counts.count(0) < 260 and 40 < counts.count(2) < 160
    assert {d for fate in drawn(3) for d in fate if not 2.0 <= d <= 20.0} == set()


ASK = {"t": 1.0, "what": "ask", "proxy": 0, "n": 1, "key": "a", "ttl": 2500}
ANSWER = {"t": 1.1, "what": "answer", "proxy": 0, "n": 1, "key": "a", "word": "RESULT", "since": 0}
ORDER = {"t": 1.0, "what": "order", "call": "c", "store": "s1"}
STALL = {"t": 1.0, "what": "stall", "proxy": 0}
END = {"t": 30.0, "what": "peers", "longest": 250}
LOOK = {"t": 9.0, "what": "members", "look": 1, "proxy": 0, "alive": [0, 1], "truth": [0, 1]}
Check = Callable[[Sequence[Entry]], Iterator[str]]
PLANTED: list[tuple[Check, list[Entry], list[Entry]]] = [
    (checks.one_final_answer, [ASK, ANSWER, END], [ASK, END]),
    (checks.one_final_answer, [ASK, {"t": 2.0, "what": "kill", "proxy": 0}, END], [ASK, ANSWER, ANSWER, END]),
    (checks.one_final_answer, [ASK | {"unsent": True}, END], [ANSWER, END]),
    (
        checks.one_final_answer,
        [STALL, ASK | {"t": 40.0}, STALL | {"what": "resume", "t": 60.0}, END | {"t": 99.0}],
        [STALL, STALL | {"what": "resume", "t": 9.0}, ASK | {"t": 40.0}, END | {"t": 99.0}],
    ),
    (
        checks.never_two_at_once,
        [ORDER, ORDER | {"what": "drop", "t": 1.2}, ORDER | {"store": "s2", "t": 1.3}],
        [ORDER, ORDER | {"store": "s2", "t": 1.3}],
    ),
    (
        checks.never_two_at_once,
        [ORDER, ORDER | {"store": "s2", "t": 1.3}, ORDER | {"what": "drop", "t": 1.4}],
        [ORDER, ORDER | {"store": "s2", "t": 1.3}, ORDER | {"what": "end", "t": 1.6}],
    ),
    (
        checks.nothing_to_drained,
        [{"t": 1.0, "what": "drain", "store": "s1"}, ORDER | {"t": 2.0}, ORDER | {"t": 9.0, "store": "s2"}],
        [{"t": 1.0, "what": "drain", "store": "s1"}, ORDER | {"t": 9.0}],
    ),
    (
        checks.purges_kept,
        [{"t": 0.0, "what": "purge", "key": "a", "unix_ms": 50}, ASK | {"t": 5.0}, ANSWER | {"since": 60}],
        [{"t": 0.0, "what": "purge", "key": "a", "unix_ms": 50}, ASK | {"t": 5.0}, ANSWER | {"since": 40}],
    ),
    (checks.datagrams_fit, [END], [END | {"longest": 257}]),
    (checks.members_agree, [LOOK], [LOOK | {"alive": [0]}]),
]


@pytest.mark.parametrize("check, good, bad", PLANTED)
def test_every_checker_passes_what_is_right_and_finds_what_is_planted(
    check: Check, good: list[Entry], bad: list[Entry]
) -> None:
    assert list(check(good)) == [] and list(check(bad)) != []
    assert {c for c, _, _ in PLANTED} == set(checks.CHECKS), "a checker that nothing is planted for"


def test_a_proxys_log_joins_the_history_on_one_clock(tmp_path: Path) -> None:
    history = History()
    log = tmp_path / "n3.1.log"
    line = "{} INFO starlinghaven.program.fleet peer 7 at 127.0.0.1:9 failed after suspect life=5 inc=1: told"
    import time

    at = time.strftime("%Y-%m-%d %H:%M:%S,250", time.localtime(int(history.started) + 4))
    log.write_text(line.format(at) + "\nnoise\n" + line.format("no time") + "\n")
    history.add_log(3, log)
    history.save(tmp_path / "h.jsonl")
    (entry,) = read(tmp_path / "h.jsonl")
    wanted: dict[str, Any] = {"proxy": 3, "what": "view", "peer": 7, "state": "failed", "life": 5, "inc": 1}
    assert wanted.items() <= entry.items() and 3.2 < entry["t"] < 4.3


def test_detection_is_counted_from_the_kill_over_the_living() -> None:
    views = [
        {"t": 12.0 + k, "what": "view", "proxy": k, "peer": 5, "state": "failed", "before": "suspect"}
        for k in range(3)
    ]
    history: list[Entry] = [{"t": 10.0, "what": "kill", "proxy": 5}, *views]
    (found,) = checks.detections(history)
    assert (found.first_s, found.last_s, found.knew) == (2.0, 4.0, 3)
    assert checks.false_failures(history) == []
    assert len(checks.false_failures([*views, {"t": 20.0, "what": "kill", "proxy": 5}])) == 3
