"""Cold budgets: what stores that have just started may be sent by this proxy, one of several."""

from __future__ import annotations

import math
from random import Random

from starlinghaven import interface as i
from starlinghaven.decisions.purges import COUNTS_AS_KNOWN_MS
from starlinghaven.decisions.stores import StoreState

BUDGET_SHARE = 0.9  # part of this proxy's share of a cold budget that it spends; the rest is for chance
CHANCE = 3.0  # standard deviations of chance that a cold budget leaves room for among many proxies


class ColdBudgets:
    """Keeps each cold store within what it bears from all proxies together.

    Costs and shares are milliseconds of sending, capacities transfers at full pace.
    """

    def __init__(self, settings: i.Settings, random: Random, now: float) -> None:
        self._settings, self._random, self._began = settings, random, now
        self.news_at = math.inf  # every start up to then is known; for ever, where nobody says otherwise
        self._gap_from = self._gap_until = -math.inf  # in which news was lost that will never come

    def _figures(self, store: StoreState) -> tuple[float, float, float]:
        """The part of its capacity with which a store starts, ms until it is warm, multiple that fells it."""
        s = self._settings
        if store.m.kind == s.parent_kind:
            return s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple
        return s.cold_from, s.cold_ms, s.fall_multiple

    def warmth(self, store: StoreState, now: float) -> float:
        """The part of its capacity that a store surely has."""
        first, length, _ = self._figures(store)
        started = self._started(store, now)
        age = now - started
        if started <= 0 or age >= length or store.m.kind == self._settings.origin_kind:
            return 1.0
        return first + (1.0 - first) * max(age, 0.0) / length

    def _started(self, store: StoreState, now: float) -> float:
        """When a store started at the latest.

        A start counts as known some time after it though nobody hears of it. Without news for longer, a store
        may have started anew unless a connection proves that it is the same process.
        """
        return max(store.m.started_ms, self._started_unheard(store, now))

    def _started_unheard(self, store: StoreState, now: float) -> float:
        """The latest start that counts as known though no news told of it; -inf where there can be none."""
        started, known_until = -math.inf, now - COUNTS_AS_KNOWN_MS
        if store.proved_at < self._gap_until:
            started = store.continuity.latest_start(self._gap_from, self._gap_until)
        if known_until > self.news_at:
            started = max(started, store.continuity.latest_start(self.news_at, known_until))
            if store.unreached_at > max(self.news_at, store.continuity.until_ms):
                started = max(started, store.unreached_at)
        return started

    def presumed_started(self, store: StoreState, now: float) -> bool:
        """Whether a store is taken for cold though no news told that it started."""
        if (
            store.m.kind == self._settings.origin_kind
            or self._started_unheard(store, now) <= store.m.started_ms
        ):
            return False
        return self.warmth(store, now) < 1.0

    def answered(self, store: StoreState, connected_ms: float, written_ms: float) -> None:
        """A store answered a request of `written_ms` on a connection that was up at `connected_ms`."""
        store.continuity.answered(connected_ms, written_ms)
        if store.continuity.latest_start(self._gap_from, self._gap_until) == -math.inf:
            store.proved_at = self._gap_until

    def missed(self, now: float) -> None:
        """Starts since the last news may have been missed for good."""
        open_gap = now - self._gap_until < max(self._settings.cold_ms, self._settings.parent_cold_ms)
        self._gap_from = min(self.news_at, self._gap_from) if open_gap else self.news_at
        self._gap_until = now

    def listed_whole(self) -> None:
        """The whole list came: the starts in it make up for those that were missed."""
        self._gap_from = self._gap_until = -math.inf

    def sharers(self, store: StoreState) -> int:
        """The proxies that send to a store."""
        s = self._settings
        if store.m.kind == s.parent_kind:
            return s.proxies
        return max(1, s.zone_proxies[s.zone] if s.zone < len(s.zone_proxies) else s.proxies)

    def share(self, store: StoreState, capacity: float) -> float:
        """This proxy's share of what a cold store bears in any window."""
        multiple = self._figures(store)[2]
        return BUDGET_SHARE * multiple * capacity * self._settings.fall_ms / self.sharers(store)

    def _gap(self, store: StoreState, capacity: float, cost: float) -> float:
        """Time between two sends of one proxy of many, so that all together, with chance, keep the budget."""
        most = self.share(store, capacity) * self.sharers(store) / cost
        mean = most + CHANCE**2 / 2 - CHANCE * math.sqrt(most + CHANCE**2 / 4)
        return self._settings.fall_ms * self.sharers(store) / max(mean, 0.01)

    def allows(
        self, store: StoreState, capacity: float, cost: float, largest_mean: float, now: float
    ) -> bool:
        """Whether a request of this cost may go to a store now.

        A share of whole requests is an exact budget for each window; a large one has it alone, as by the rule
        each counts with its class's mean. Among so many proxies that a share is less than one request, each
        sends one now and then, from a start drawn by chance.
        """
        if self.warmth(store, now) >= 1.0:
            store.spent.clear()
            store.total, store.free_at = 0.0, -math.inf
            return True
        while store.spent and store.spent[0][0] < now - self._settings.fall_ms:
            store.total -= store.spent.popleft()[1]
        share = self.share(store, capacity)
        if largest_mean <= share:
            settled = now >= self._began + self._settings.fall_ms  # a life before this one may have spent it
            return settled and (not store.spent or store.total + cost <= share)
        if store.free_at == -math.inf:
            store.free_at = now + self._random.random() * self._gap(store, capacity, cost)
        return now >= store.free_at

    def spend(self, store: StoreState, capacity: float, cost: float, at: float, now: float) -> None:
        """Counts a request where it may reach the store at the latest: others may wait for the same dial."""
        if self.warmth(store, now) < 1.0:
            store.spent.append((at, cost))
            store.total += cost
            store.free_at = at + self._gap(store, capacity, cost)
