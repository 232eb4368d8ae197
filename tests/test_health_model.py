"""The health state machine alone: the hard cases it exists for, and a state model of its rules."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from starlinghaven.health import wire
from starlinghaven.health.model import SERVING, Facts, Health, ListSource, State, Thresholds

WELL = Facts(at_ms=0.0, source=ListSource.CONFIRMED, own_stores=4, reachable=4, queue_limit=256,
             open_limit=2048, fds_limit=1024, fds=30)  # fmt: skip


def at(facts: Facts, ms: float, **changes: object) -> Facts:
    return replace(facts, at_ms=ms, since_start_ms=ms, **changes)  # type: ignore[arg-type]


def test_a_restart_on_the_old_list_is_warming_until_it_is_confirmed() -> None:
    h = Health(Thresholds(warming_most_ms=5000.0))
    old = at(WELL, 0.0, source=ListSource.INHERITED)
    assert h.step(old).state is State.WARMING
    v = h.step(at(old, 3000.0, heard=1))
    assert v.state is State.WARMING and not v.serving and v.weight == 0, "one of four heard is not enough"
    assert wire.agent_line(v) == b"drain\n"
    assert h.step(at(old, 3100.0, heard=2)).state is State.READY, "half of the stores answered"


def test_the_change_log_confirms_at_once_and_time_confirms_at_last() -> None:
    h = Health(Thresholds(hold_ms=100.0))
    assert h.step(at(WELL, 0.0, source=ListSource.INHERITED)).state is State.WARMING
    assert h.step(at(WELL, 200.0)).state is State.READY
    late = Health(Thresholds(warming_most_ms=2000.0))
    assert late.step(at(WELL, 0.0, source=ListSource.INHERITED)).state is State.WARMING
    assert late.step(at(WELL, 1999.0, source=ListSource.INHERITED)).state is State.WARMING
    assert late.step(at(WELL, 2000.0, source=ListSource.INHERITED)).state is State.READY


def test_nothing_listed_is_starting_and_said_down() -> None:
    v = Health().step(at(WELL, 10.0, source=ListSource.NONE))
    assert v.state is State.STARTING and wire.agent_line(v).startswith(b"down #starting")


def test_a_half_dead_proxy_that_still_answers_is_not_ready() -> None:
    for fault, state in (
        ({"reachable": 0}, State.UNAVAILABLE),
        ({"engine_idle_ms": 1500.0, "queue": 3}, State.UNAVAILABLE),
        ({"queue": 250}, State.OVERLOADED),
        ({"open": 2000}, State.OVERLOADED),
        ({"fds": 1000}, State.OVERLOADED),
        ({"lag_ms": 400.0}, State.OVERLOADED),
        ({"clients": 31, "clients_limit": 32}, State.OVERLOADED),  # the next ones wait in the accept queue
    ):
        h = Health()
        assert h.step(at(WELL, 0.0)).state is State.READY
        v = h.step(at(WELL, 10.0, **fault))
        assert v.state is state and not v.serving, fault
        status, fields, _ = wire.http_answer(v, "/readyz")
        assert status == 503 and ("retry-after", str(v.retry_after_s)) in fields, fault
        assert wire.http_answer(v, "/livez")[0] == 200, "alive all the same: it must not be restarted"


def test_overload_is_left_only_after_a_calm_spell_and_does_not_flap() -> None:
    h = Health(Thresholds(calm_ms=1000.0, hold_ms=200.0))
    h.step(at(WELL, 0.0))
    assert h.step(at(WELL, 10.0, queue=240)).state is State.OVERLOADED
    states = []
    for n in range(1, 40):  # the queue hovers between leave and enter: no way out
        states.append(h.step(at(WELL, 10.0 + 50 * n, queue=200 if n % 2 else 140)).state)
    assert set(states) == {State.OVERLOADED}
    assert h.step(at(WELL, 3000.0, queue=10)).state is State.OVERLOADED, "calm has just begun"
    assert h.step(at(WELL, 3999.0, queue=10)).state is State.OVERLOADED
    assert h.step(at(WELL, 4000.0, queue=10)).state is State.READY
    assert h.changes == 3, "starting, overloaded, ready: nothing in between"


def test_recovery_waits_for_the_hold_but_bad_news_does_not() -> None:
    h = Health(Thresholds(hold_ms=500.0))
    h.step(at(WELL, 0.0))
    assert h.step(at(WELL, 600.0, reachable=2)).state is State.DEGRADED
    assert h.step(at(WELL, 700.0)).state is State.DEGRADED, "held: back too soon"
    assert h.step(at(WELL, 750.0, reachable=0)).state is State.UNAVAILABLE, "worse is said at once"
    assert h.step(at(WELL, 1300.0)).state is State.READY


def test_drain_is_said_at_once_and_never_left_but_for_stopped() -> None:
    h = Health(Thresholds(hold_ms=10_000.0))
    h.step(at(WELL, 0.0))
    v = h.step(at(WELL, 1.0, draining=True))
    assert v.state is State.DRAINING and wire.agent_line(v) == b"drain\n"
    assert h.step(at(WELL, 20_000.0)).state is State.DRAINING
    assert h.step(at(WELL, 20_001.0, draining=True, stopped=True)).state is State.STOPPED
    assert wire.http_answer(h.step(at(WELL, 20_002.0)), "/livez")[0] == 503


def test_weight_falls_with_unreachable_stores_and_with_what_did_not_serve() -> None:
    h = Health(Thresholds(degraded_below=0.6))
    assert h.step(at(WELL, 0.0, reachable=3)).weight == 75
    assert h.step(at(WELL, 1.0, reachable=3, unserved=0.5)).weight == 38
    assert h.step(at(WELL, 2.0, reachable=4, unserved=1.0)).weight == 1, "never 0 while serving"


def test_bad_thresholds_are_named() -> None:
    assert Thresholds().check() == []
    wrong = replace(Thresholds(), stall_ms=10.0, least_weight=0).check()
    assert any("stall-ms" in w for w in wrong) and any("least-weight" in w for w in wrong)


FACTS = st.builds(
    Facts,
    at_ms=st.just(0.0),
    source=st.sampled_from(ListSource),
    own_stores=st.integers(0, 8),
    reachable=st.integers(0, 8),
    heard=st.integers(0, 8),
    queue=st.integers(0, 300),
    queue_limit=st.sampled_from([0, 256]),
    open=st.integers(0, 2100),
    open_limit=st.just(2048),
    fds=st.integers(0, 1100),
    fds_limit=st.sampled_from([0, 1024]),
    lag_ms=st.floats(0, 2000),
    engine_idle_ms=st.floats(0, 3000),
    unserved=st.floats(0, 1),
    draining=st.booleans(),
)


class Machine(RuleBasedStateMachine):
    """Random readings in time order; the rules that balancers rely on hold after each."""

    def __init__(self) -> None:
        super().__init__()
        self.h = Health(Thresholds(hold_ms=300.0, calm_ms=600.0, warming_most_ms=2000.0))
        self.now = 0.0
        self.drained = False
        self.last = self.h.step(at(Facts(at_ms=0.0), 0.0))
        self.previous = self.last

    @rule(facts=FACTS, gap=st.floats(1.0, 400.0))
    def read(self, facts: Facts, gap: float) -> None:
        self.now += gap
        facts = at(
            facts,
            self.now,
            reachable=min(facts.reachable, facts.own_stores),
            draining=facts.draining or self.drained,
        )
        self.drained = facts.draining
        self.previous, self.last = self.last, self.h.step(facts)
        if facts.source is ListSource.NONE and not facts.draining:
            assert not self.last.serving or self.previous.serving, "nothing listed never makes it ready"
        if facts.draining:
            assert self.last.state is State.DRAINING, "a drain is told at once"

    @invariant()
    def rules_hold(self) -> None:
        v = self.last
        assert (v.weight > 0) == (v.state in SERVING)
        assert 0 <= v.weight <= 100
        if self.previous.state is State.DRAINING:
            assert v.state in (State.DRAINING, State.STOPPED)
        assert wire.agent_line(v).endswith(b"\n") and wire.agent_line(v).count(b"\n") == 1


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.text(max_size=300))
def test_a_cause_can_never_break_the_agent_line(cause: str) -> None:
    for state in State:
        line = wire.agent_line(replace(Health().step(Facts(at_ms=0.0)), state=state, cause=cause))
        assert line.endswith(b"\n") and line.count(b"\n") == 1 and line.count(b"#") <= 1
        assert all(32 <= b < 127 for b in line[:-1])


def test_a_change_log_that_can_not_be_read_is_told_to_balancers() -> None:
    """Guards against a proxy that hears no purge and no drain, and looks like one that does."""
    health = Health()
    health.step(WELL)
    deaf = health.step(replace(WELL, at_ms=1_000.0, news_unreadable=True))
    assert (deaf.state, deaf.cause) == (State.DEGRADED, "the change log can't be read") and deaf.serving
    assert health.step(replace(WELL, at_ms=2_000.0)).state is State.READY
