"""The stores as the change log lists them and as operators work on them. No decisions."""

from __future__ import annotations

import logging
from dataclasses import replace

from starlinghaven import interface as i
from starlinghaven.decisions.execution import Location
from starlinghaven.memory import Account, own_account
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.types import FleetNews, Hand, Store

log = logging.getLogger(__name__)

STORE_BYTES = 3 * 1024  # of a listed store: its line, and what the decisions know of it
UNBOUNDED = 1 << 40  # bytes, where nobody sets a limit


class StoreTable:
    """Listed stores that are not gone, and those that operators have taken out of use."""

    def __init__(self, settings: i.Settings, clock: Clock, account: Account | None = None) -> None:
        """`account` has the memory for the lines."""
        self._settings, self._clock = settings, clock
        self._account = account or own_account(UNBOUNDED)
        self.passed_over = 0  # lines of new stores for which there was no memory
        self._stores: dict[str, Store] = {}
        self._at: dict[str, str] = {}  # who is at an address: one store at the most
        self._unnamed: set[str] = set()  # known stores that a whole list has not named up to now
        self._excluded: set[str] = set()  # by hand; whatever the list says of them
        self._included_at: dict[str, float] = {}  # when stores were put back by hand: they may be cold
        self._started_at: dict[str, tuple[float, float]] = {}  # a start as listed, and on the clock

    def __contains__(self, store: str) -> bool:
        return store in self._stores

    def get(self, store: str) -> Store | None:
        """The line of a store, if it is listed."""
        return self._stores.get(store)

    @property
    def ids(self) -> set[str]:
        """Ids of all stores that are listed and not gone."""
        return set(self._stores)

    @property
    def starts(self) -> dict[str, float]:
        """When each listed store started (Unix ms, 0 for long ago): it changes with its process."""
        return {store.id: store.started_unix_ms for store in self._stores.values()}

    def location(self, store: str) -> Location:
        """Where a store is listed now; one that is not listed shares its location with no other."""
        line = self._stores.get(store)
        return Location(line.zone, line.cell) if line else Location(-1, -1)

    def is_own_cache(self, store: Store) -> bool:
        """Whether it is a cache of the own zone."""
        behind = (self._settings.origin_kind, self._settings.parent_kind)
        return store.zone == self._settings.zone and store.kind not in behind

    def own_caches(self) -> list[Store]:
        """The listed caches of the own zone."""
        return [store for store in self._stores.values() if self.is_own_cache(store)]

    def takes_new(self, store: str, address: str = "") -> bool:
        """Whether new work may go to a store, at this address if one is named."""
        line = self._stores.get(store)
        if line is None or line.phase is not i.Phase.UP or store in self._excluded:
            return False
        return not address or line.address == address

    def update(self, news: FleetNews) -> list[i.Member]:
        """Takes over a list, or changes to it; returns every line that it changes, for the Router.

        A whole list may come in pieces. Stores that it does not name are gone with its last piece, or before
        that where their memory is needed.
        """
        whole = news.kind is not i.ListKind.PARTIAL
        if news.first or not whole:
            self._unnamed = set(self._stores) if whole else set()
        members: list[i.Member] = []
        for store in news.stores:
            self._unnamed.discard(store.id)
            members += self._place(store)
        if whole and news.last:
            members += [self._end(store) for store in sorted(self._unnamed)]
            self._unnamed = set()
        self._included_at = {s: at for s, at in self._included_at.items() if s in self._stores}
        self._started_at = {s: at for s, at in self._started_at.items() if s in self._stores}
        return members

    def members(self) -> list[i.Member]:
        """All lines, for the Router."""
        return [self._member(store) for store in self._stores.values()]

    def _place(self, store: Store) -> list[i.Member]:
        """Takes one line of the list; returns the lines of all stores that it changes.

        An address may pass to a new id before the old id is listed as gone. Of two stores at one address, the
        one that started later is there, and what is sent to the other would reach it.
        """
        changed = []
        other = self._stores.get(self._at.get(store.address, ""))
        if other is not None and other.id != store.id:
            later = store.phase is not i.Phase.GONE and store.started_unix_ms >= other.started_unix_ms
            if later or other.id in self._unnamed:
                changed.append(self._end(other.id))
            else:
                store = replace(store, phase=i.Phase.GONE)
        if store.phase is not i.Phase.GONE and store.id not in self._stores:
            changed += self._make_room()
        if store.phase is i.Phase.GONE or not self._keep(store):
            self._drop(store.id)
            store = replace(store, phase=i.Phase.GONE)
        return [*changed, self._member(store)]

    def _make_room(self) -> list[i.Member]:
        """Lets go of a store that a whole list has not named yet, if one that it names needs its memory.

        Should the list name it after all, it is new then.
        """
        if self._account.allows(STORE_BYTES) or not self._unnamed:
            return []
        return [self._end(self._unnamed.pop())]

    def _keep(self, store: Store) -> bool:
        """Keeps the line of a store; one that is new only where there is memory for it."""
        known = self._stores.get(store.id)
        if known is None:
            if not self._account.allows(STORE_BYTES):
                self._pass_over(store)
                return False
            self._account.take_always(STORE_BYTES)
        elif self._at.get(known.address) == store.id:
            del self._at[known.address]
        self._stores[store.id] = store
        self._at[store.address] = store.id
        return True

    def _end(self, store: str) -> i.Member:
        """A store is gone; returns its line."""
        line = self._stores[store]
        self._drop(store)
        self._unnamed.discard(store)
        return self._member(replace(line, phase=i.Phase.GONE))

    def _drop(self, store: str) -> None:
        line = self._stores.pop(store, None)
        if line is None:
            return
        self._account.give(STORE_BYTES)
        if self._at.get(line.address) == store:
            del self._at[line.address]

    def _pass_over(self, store: Store) -> None:
        """A list that is longer than the memory for it: what is not known is not used."""
        self._account.refuse()
        self.passed_over += 1
        log.warning("store %s is passed over: no memory for more than %d", store.id, len(self._stores))

    def _member(self, store: Store) -> i.Member:
        started = max(self._started(store), self._included_at.get(store.id, 0.0))
        hidden = store.id in self._excluded and store.phase is i.Phase.UP
        phase = i.Phase.DRAINING if hidden else store.phase
        return i.Member(store.id, store.zone, store.kind, store.cell, phase, store.weight, started)

    def _started(self, store: Store) -> float:
        """A store's start on the clock, the same for the same start; 0, for long ago, stays 0.

        After a step of the wall clock it is the latest that it may be: the store counts as colder.
        """
        if store.started_unix_ms <= 0:
            return 0.0
        listed, started = self._started_at.get(store.id, (0.0, 0.0))
        if listed != store.started_unix_ms:
            started = self._clock.latest(store.started_unix_ms)
            self._started_at[store.id] = store.started_unix_ms, started
        return started

    def by_hand(self, hand: Hand) -> tuple[bool, list[i.Member]]:
        """An operator takes a store out of use or puts it back; whether it is known, and lines that change.

        A store that is put back counts as started just then: it may have been restarted meanwhile.
        """
        was_out, store = hand.store in self._excluded, self._stores.get(hand.store)
        known = store is not None or was_out
        if not known and hand.answer is not None:  # else another process knew the store
            return False, []
        if hand.out:
            self._excluded.add(hand.store)
        else:
            self._excluded.discard(hand.store)
            if was_out and store:
                self._included_at[hand.store] = self._clock.latest(hand.unix_ms)
        changed = [self._member(store)] if store and was_out != hand.out else []
        return known, changed

    def usable(self, resting: set[str]) -> list[Store]:
        """Listed stores that take new work and are not resting."""
        return [s for s in self._stores.values() if self.takes_new(s.id) and s.id not in resting]
