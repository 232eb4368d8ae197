"""Cold stores fall under the sum of what all processes send: a count over many Routers and seeds."""

from __future__ import annotations

from dataclasses import replace

import pytest

from starlinghaven.decisions.cold import ColdBudgets
from starlinghaven.lab import cold
from starlinghaven.lab.cold import Counted, Plan, run
from starlinghaven.router import Router

SEEDS = {3: 12, 20: 6, 30: 6, 200: 4}  # fewer of the larger ones: benchmarks/cold_budget.py plays more


def counted(proxies: int, where: str, **more: float) -> list[Counted]:
    plans = [Plan(proxies, seed, where, again=more.get("again", 0.7)) for seed in range(SEEDS[proxies])]
    return [run(plan) for plan in plans]


@pytest.mark.parametrize("where", ["cache", "parent"])
@pytest.mark.parametrize("proxies", SEEDS)
def test_the_sum_stays_within_the_budget_and_chance_amid_restarts_and_uneven_traffic(
    proxies: int, where: str
) -> None:
    """Beyond N calls only 2 x root of N + 2 are put down to chance; the budget is used all the same."""
    for seed, c in enumerate(counted(proxies, where)):
        assert c.windows_over == 0, (seed, c)
        assert c.windows > 10 and c.used > 0.05, "it gets work while it is cold"


def test_what_waits_for_one_dial_to_a_cold_store_is_counted_where_it_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Few processes with large shares, a short window, and connections that come up late."""
    plans = [
        Plan(3, seed, weight=80.0, calls_per_s=2_000.0, fall_ms=1_000.0, span_ms=1_500.0, again=0.0)
        for seed in (5, 7)
    ]
    assert not any(run(plan).windows_over for plan in plans)
    usual = cold.settings
    monkeypatch.setattr(cold, "settings", lambda plan: replace(usual(plan), dial_ms=0.0))
    assert any(run(plan).windows_over for plan in plans), "counted where it was decided, the sum is too high"


def test_the_largest_requests_get_to_a_cold_store_too() -> None:
    """Each counts with its class's mean, but by their own size they were over every process's share."""
    got = counted(3, "cache", again=0.0)
    assert sum(c.largest for c in got) / len(got) > 0.03, "by chance alone it were a tenth"


def test_the_count_tells_processes_that_spend_the_shares_of_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ColdBudgets, "sharers", lambda self, _: max(self._settings.proxies // 3, 1))
    assert any(c.windows_over for c in counted(20, "cache") + counted(30, "parent"))


def test_the_count_tells_processes_that_forget_at_a_restart_what_was_spent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All three start anew within a second, and each spends its share again at once."""
    usual = Router.__init__

    def forgets(self: Router, *given: object) -> None:
        usual(self, *given)  # type: ignore[arg-type]
        self.cold._began = float("-inf")

    plans = [Plan(3, seed, again=1.0, weight=40.0, calls_per_s=1_000.0) for seed in range(4)]
    assert not any(run(plan).windows_over for plan in plans)
    monkeypatch.setattr(Router, "__init__", forgets)
    assert any(run(plan).windows_over for plan in plans)
