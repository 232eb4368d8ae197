"""Input that is odd but possible changes nothing that is owed to a client."""

from __future__ import annotations

import re
from pathlib import Path

from starlinghaven.interface import (
    Action,
    Code,
    Fail,
    Get,
    ListKind,
    Member,
    Members,
    Outcome,
    Phase,
    Purge,
    Refuse,
    Send,
    Timer,
)
from tests.helpers import FLEET, ORIGIN_LINE, PAY, Driver, cache


def owed(d: Driver) -> list[Action]:
    """The request asked before still gets its one answer: its first attempt fails, the next one serves."""
    actions = d.end(0, Code.FULL, took_ms=5.0)
    assert [type(a) for a in actions if isinstance(a, (Get, Send, Refuse, Fail))] in ([Get], [Send], [Refuse])
    last = d.end(1, took_ms=5.0) if not any(isinstance(a, Refuse) for a in actions) else []
    assert not any(isinstance(a, (Refuse, Fail)) for a in last) and not d.router.jobs
    return actions


def test_outcomes_and_timers_of_something_unknown_are_passed_over() -> None:
    d = Driver()
    d.ask("x")
    assert d.say(Outcome(999, 0, "cache-0", Code.TIMEOUT, 5.0)) == []
    assert d.say(Outcome(1, 7, "cache-0", Code.OK, 5.0, final=True)) == []
    assert d.say(Outcome(1, 0, "nowhere", Code.MOOT, 5.0, report={"humidity": 3.0}))
    assert d.say(Timer(424242)) == []
    d = Driver()
    d.ask("x")
    owed(d)


def test_list_entries_that_are_unknown_or_twice_there_are_harmless() -> None:
    d = Driver()
    d.ask("x")
    gone = Member("never-listed", 1, 0, phase=Phase.GONE)
    odd = Member("odd", zone=77, kind=99)
    d.say(Members(ListKind.PARTIAL, (gone, odd, cache(0), cache(0))))
    owed(d)
    assert "odd" not in {d.serve(f"o-{n}").store for n in range(50)}


def test_a_clock_that_goes_back_loses_no_answer() -> None:
    d = Driver()
    d.ask("x")
    d.now -= 50_000
    owed(d)
    assert d.get(d.ask("y")).timeout_ms <= 3000


def test_an_empty_list_or_a_location_without_caches_still_answers() -> None:
    d = Driver()
    d.ask("x")
    d.say(Members(ListKind.COMPLETE, ()))
    assert owed(d) == [Refuse(1, 1000)]
    away = tuple(m if m.kind else Member(m.store, 9, 0, weight=6.0) for m in FLEET)
    assert d.get(Driver(fleet=away).ask("x")).store.startswith("parent")


def test_without_a_listed_origin_parents_fill_and_payments_are_refused() -> None:
    d = Driver(fleet=FLEET[:-1])
    assert d.serve("x").source.startswith("parent")
    assert d.ask("pay", cls=PAY) == [Refuse(2, 1000)]
    d = Driver(fleet=(cache(0), ORIGIN_LINE))
    assert d.serve("x").source == "origin", "no parent is listed"


def test_a_purge_of_something_unknown_or_long_past_is_harmless() -> None:
    d = Driver()
    d.ask("x")
    d.say(Purge(999, 1e9, "never-seen"))
    d.say(Purge(12345, 0.0))
    owed(d)


def test_the_sample_of_the_readme_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    samples = re.findall(r"```python\n(.*?)```", text, re.S)
    assert samples
    for sample in samples:
        exec(compile(sample, "README.md", "exec"), {})
