"""Every order of events around one request, to a small depth, against rules written apart from the code."""

from __future__ import annotations

import itertools
import os
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from starlinghaven import interface as i
from starlinghaven.decisions.execution import ExecutionRecord
from starlinghaven.lab import effects
from starlinghaven.memory import own_account
from starlinghaven.routing.copies import Copies
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import (
    Answer,
    Ask,
    Attempt,
    Counters,
    Ended,
    FleetNews,
    Left,
    NewsMissed,
    PurgeNews,
    Result,
    Store,
    Taken,
)
from tests.helpers import CACHE, HUB, OFFICE, ORIGIN, PARENT, SETTINGS
from tests.steps import Recorder, Time

DEPTH = int(os.environ.get("EVENT_ORDERS_DEPTH", "3"))  # events after the arrival; more by hand
PATIENCE_MS, WINDOW_MS, FRESH_MS, GRACE_MS = 2_000.0, 600.0, 1_000.0, 60_000.0
KEY, GROUP = "a", 3
ANSWERS = {
    "overload": i.Code.FULL,
    "not_here": i.Code.MISS,
    "nobody": i.Code.MOOT,
    "crashed": i.Code.ERROR,
    "served": i.Code.OK,
}
EVENTS = (
    *("write", "unreached", "reset", *ANSWERS),
    *("purge", "gap", "older copy", "store gone", "store moved", "left", "time", "stall"),
)
STORES = tuple(
    Store(f"s-{n}", f"127.0.0.1:{n + 1}", i.Phase.UP, zone, kind, n % 2, 6.0, 0.0)
    for n, (zone, kind) in enumerate(
        ((OFFICE, CACHE), (OFFICE, CACHE), (OFFICE, CACHE), (HUB, PARENT), (HUB, ORIGIN))
    )
)


@dataclass(frozen=True)
class Case:
    """The settings under which the orders are played."""

    effect: i.Effect
    scope: i.Scope = i.Scope.ALL
    own_copy: bool = False  # one past its fresh time is held at the arrival
    second_copies: bool = False
    uncached: bool = False

    @property
    def rule(self) -> effects.EffectRule:
        words = {i.Effect.SAFE: "free", i.Effect.KEYED: "guarded", i.Effect.UNSAFE: "single_shot"}
        return effects.EffectRule(words[self.effect], self.scope.name.lower(), WINDOW_MS / 1000)

    @property
    def settings(self) -> i.Settings:
        cls = i.RequestClass(
            400.0,
            3_000.0,
            1.0,
            self.effect,
            self.scope,
            WINDOW_MS,
            FRESH_MS,
            GRACE_MS,
            uncached=self.uncached,
        )
        return replace(SETTINGS, classes=(cls,), second_copies=self.second_copies, purge_grace_ms=500.0)


CASES = [
    Case(effect, scope, own_copy, second, uncached)
    for effect, scope, own_copy, second, uncached in itertools.product(
        i.Effect, i.Scope, (False, True), (False, True), (False, True)
    )
    if (effect is i.Effect.KEYED or scope is i.Scope.ALL)
    and not (second and effect is not i.Effect.SAFE)
    and not (uncached and own_copy)
]


class Play:
    """One request, its engine, and what stores and client saw of it."""

    def __init__(self, case: Case) -> None:
        self.case, self.time, self.ticket = case, Time(), Recorder()
        clock = self.time.clock()
        self.copies = Copies(own_account(64_000), 50_000.0, 200_000.0, clock)
        self.engine = Engine(case.settings, 7, clock, Counters(), self.copies)
        self.engine.caches = self
        self.dialing: list[Attempt] = []
        self.out: list[Attempt] = []
        self.steps: list[effects.Step] = []
        self.stores = {store.id: store for store in STORES}
        self.engine.handle(FleetNews(i.ListKind.COMPLETE, STORES))
        self.ask = Ask("1", 0, clock.now(), PATIENCE_MS, KEY, group=GROUP, idem="k", purgeable=True)
        if case.own_copy:
            self._keep_copy(b"copy", FRESH_MS + 1)
        self.engine.handle(Taken(self.ask, self.ticket))

    def _keep_copy(self, body: bytes, age_ms: float) -> None:
        attempt = Attempt(self.ask, 0, 0, "s-0", "", 100.0, self.engine.clock.now())
        since = 1000 * self.time.s - age_ms
        self.copies.put(self.ask, Ended(attempt, i.Code.OK, body, tag="t", since_ms=since), 1)

    # -- the cache side -------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        self.dialing.append(attempt)

    def drop(self, attempt: Attempt) -> None:
        (self.dialing if attempt in self.dialing else self.out).remove(attempt)

    def has_unread(self, attempt: Attempt) -> bool:
        return False

    def forget(self, store: str) -> None:
        pass

    # -- events -----------------------------------------------------------------------------------

    def possible(self, event: str) -> bool:
        if event in ("write", "unreached"):
            return bool(self.dialing)
        if event == "reset" or event in ANSWERS:
            return bool(self.out)
        if event in ("store gone", "store moved"):
            return bool(self.out or self.dialing)
        return event != "left" or not self.ticket.left

    def do(self, event: str) -> None:
        if event == "write":
            self._write(self.dialing.pop(0))
        elif event == "unreached":
            self.engine.handle(Ended(self.dialing.pop(0), i.Code.NO_CONNECTION))
        elif event == "reset":
            self._end(self.out.pop(0), i.Code.RESET, "")
        elif event in ANSWERS:
            self._end(self.out.pop(0), ANSWERS[event], event)
        elif event == "purge":
            self.engine.handle(PurgeNews(GROUP, KEY, 1000 * self.time.s))
        elif event == "gap":
            self.engine.handle(NewsMissed())
        elif event == "older copy":
            self._keep_copy(b"older", 10 * FRESH_MS)
        elif event in ("store gone", "store moved"):
            self._list((self.out or self.dialing)[0].store, gone=event == "store gone")
        elif event == "left":
            self.ticket.left = True
            self.engine.handle(Left(self.ticket))
        else:
            self.time.s += 0.15 if event == "time" else WINDOW_MS / 1000 + 0.1
            self.engine.run_due()

    def _write(self, attempt: Attempt) -> None:
        if not self.engine.may_begin(attempt):
            self.engine.handle(Ended(attempt, i.Code.MOOT))
            return
        assert not self.ticket.answers, "an attempt began after the final answer"
        assert not self.ticket.left, "an attempt began for a client that had left"
        assert attempt.store in self.stores, "an attempt began at a store that had gone"
        assert not self.out or self.case.second_copies, "two attempts at once"
        attempt.written = True
        self.out.append(attempt)
        line = self.stores[attempt.store]
        self.steps.append(effects.Sent(attempt.number, self.time.s, line.zone, line.cell))

    def _end(self, attempt: Attempt, code: i.Code, word: str) -> None:
        self.steps.append(effects.Ended(attempt.number, word))
        since = 1000 * self.time.s
        self.engine.handle(Ended(attempt, code, b"x", tag="t", since_ms=since))

    def _list(self, store: str, gone: bool) -> None:
        line = self.stores.get(store)
        if line is None:
            return
        if gone:
            del self.stores[store]
            line = replace(line, phase=i.Phase.GONE)
        else:
            line = self.stores[store] = replace(line, zone=line.zone + 1, cell=line.cell + 1)
        self.engine.handle(FleetNews(i.ListKind.PARTIAL, (line,)))

    # -- rules ------------------------------------------------------------------------------------

    def check(self) -> None:
        answers: list[Answer] = self.ticket.answers
        assert len(answers) <= 1, "two answers"
        refused = [effects.Refused(self.time.s)] if answers and answers[0].result is Result.REFUSED else []
        assert not list(effects.broken(self.case.rule, [*self.steps, *refused]))
        assert self.engine.counters["refusals_denied"] == 0, (
            "the Router ordered a refusal that is not allowed"
        )
        for denied in ("effect", "scope", "concurrent"):
            assert self.engine.counters[f"not_begun_rule_{denied}"] == 0, f"the Router ordered: {denied}"

    def finish(self) -> None:
        """Whatever is still open ends by the client's deadline, and nothing is out after that."""
        self.time.s += PATIENCE_MS / 1000 + 0.1
        self.engine.run_due()
        assert len(self.ticket.answers) + self.ticket.left >= 1, "no answer"
        assert not self.dialing and not self.out, "attempts are out after the request's end"
        self.check()


def orders(case: Case, depth: int) -> Iterator[tuple[str, ...]]:
    """All orders of so many events in which each is possible when it comes; shorter where all is over."""
    stack: list[tuple[str, ...]] = [()]
    while stack:
        order = stack.pop()
        play = Play(case)
        for event in order:
            play.do(event)
            play.check()
        over = bool(play.ticket.answers or play.ticket.left) and not play.out and not play.dialing
        if len(order) == depth or over:
            play.finish()
            yield order
            continue
        stack += [(*order, event) for event in EVENTS if play.possible(event)]


@pytest.mark.parametrize("case", CASES, ids=repr)
def test_no_order_of_events_breaks_the_rules_on_repeats_refusals_and_answers(case: Case) -> None:
    assert sum(1 for _ in orders(case, DEPTH)) > 100


@pytest.mark.parametrize(
    ("name", "wrong", "case"),
    [
        ("may_refuse", property(lambda _: True), Case(i.Effect.UNSAFE)),
        ("may_refuse", property(lambda _: True), Case(i.Effect.KEYED, i.Scope.CELL, own_copy=True)),
        ("denial", lambda *_: None, Case(i.Effect.KEYED, i.Scope.CELL)),
        ("end", lambda self, attempt, code: self._out.clear(), Case(i.Effect.UNSAFE)),
    ],
    ids=["refuses always", "refuses always, in a cell", "repeats anywhere", "takes every end for a proof"],
)
def test_the_orders_show_a_record_that_allows_too_much(
    name: str, wrong: object, case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ExecutionRecord, name, wrong)
    with pytest.raises(AssertionError):
        list(orders(case, 3))
