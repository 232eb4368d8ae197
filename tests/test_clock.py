"""Steps of the wall clock: the machine's, so that what is stamped later steps too, or the process's alone."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from starlinghaven import interface as i
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, FleetNews
from tests.helpers import SETTINGS
from tests.steps import STORES, Stores

STEPS_S = (3600.0, -3600.0, 5.0, -5.0, -0.7)


@dataclass(slots=True)
class Machine:
    """A steady clock, the wall clock of the process, and that of whoever stamps times."""

    steady_s: float = 1_000.0
    step_s: float = 0.0
    stamps_step: bool = True

    def clock(self) -> Clock:
        return Clock(lambda: 1e6 + self.steady_s + self.step_s, lambda: self.steady_s)

    def stamp_ms(self) -> float:
        return 1000 * (1e6 + self.steady_s + (self.step_s if self.stamps_step else 0.0))


@pytest.mark.parametrize("stamps_step", [True, False])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_stamp_is_never_taken_for_later_or_earlier_than_it_can_be(step_s: float, stamps_step: bool) -> None:
    machine = Machine(stamps_step=stamps_step)
    clock = machine.clock()
    stamped_before, before = machine.stamp_ms(), clock.now()
    machine.steady_s += 1
    machine.step_s = step_s
    stamped_after, after = machine.stamp_ms(), clock.now()
    machine.steady_s += 1
    for stamp, real in ((stamped_before, before), (stamped_after, after)):
        assert clock.earliest(stamp) <= real + 1e-3, "a copy never seems newer than it is"
        assert real - 1e-3 <= clock.latest(stamp) <= clock.now(), "nor a purge or a start older"


@pytest.mark.parametrize("stamps_step", [True, False])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_store_that_starts_after_a_step_is_not_taken_for_warm(step_s: float, stamps_step: bool) -> None:
    machine, stores = Machine(stamps_step=stamps_step), Stores()
    engine = Engine(replace(SETTINGS, second_copies=False), 7, machine.clock(), Counters())
    engine.caches = stores
    engine.handle(FleetNews(i.ListKind.COMPLETE, STORES))
    machine.step_s = step_s
    machine.steady_s += 1
    started = replace(STORES[0], started_unix_ms=machine.stamp_ms())
    for _ in range(2):
        engine.handle(FleetNews(i.ListKind.PARTIAL, (started,)))
    member = engine._router.stores[started.id].m
    assert engine.clock.now() - member.started_ms <= 1.0
    machine.steady_s += 1
    engine.handle(FleetNews(i.ListKind.PARTIAL, (started,)))
    assert engine._router.stores[started.id].m.started_ms == member.started_ms, "the same start"
