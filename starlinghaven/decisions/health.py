"""Which stores are sick: blame for bad outcomes, rests, and the word of other proxies. Times are in ms."""

from __future__ import annotations

import math
from random import Random

from starlinghaven import interface as i
from starlinghaven.decisions.fills import FillCounts
from starlinghaven.decisions.stores import FILL_SHARE, GRAVE, SICK, StoreState
from starlinghaven.decisions.topology import Topology

SLIGHT = 0.1  # weight of a time-out or error
WELL = 0.15  # ... if another has at most this share, else the cause is shared
CLEARLY = 0.5  # ... or at most this part of its share: beside one that seems dead, the other need only live
VOICES = 2  # other proxies that make a store suspect here: one may be sick itself
REST_MOST_MS = 4_000.0  # that a store rests at most; doubled each time up to it
TRIAL = 2  # attempts out at once at a store on trial after its rest
UNCLEAR = (i.Code.TIMEOUT, i.Code.ERROR, i.Code.FULL)  # store and source may both be to blame


class Flight:
    """One attempt that is out."""

    __slots__ = ("store", "source", "calm", "late", "sent_ms", "_states")

    def __init__(self, store: StoreState, source: StoreState | None, calm: bool, sent_ms: float) -> None:
        """`calm`: the store was so little loaded that the answer tells its sending time.

        `sent_ms`: when it was decided; it is written then or later.
        """
        self.store, self.source, self.calm = store.m.store, source.m.store if source else "", calm
        self.sent_ms = sent_ms
        self.late = False  # it has been out for longer than its class aims at
        self._states = {self.store: store} | ({self.source: source} if source else {})

    def is_at(self, state: StoreState) -> bool:
        """Whether the attempt went to, or named, this process: not one that started anew under its id."""
        return self._states.get(state.m.store, state) is state


class StoreHealth:
    """Judges stores by the outcomes of attempts, beside their peers."""

    def __init__(self, settings: i.Settings, topology: Topology, fills: FillCounts, random: Random) -> None:
        self._settings, self._topology, self._fills, self._random = settings, topology, fills, random
        self._announced: set[str] = set()  # stores that other proxies were told to be silent

    def usable(self, stores: list[StoreState], now: float) -> list[StoreState]:
        """Those not resting; all of them where all rest. A server that hangs or errs is stepped over.

        A store rests only while another is clearly better: trouble that all share (a full link, a
        slow origin) is not theirs, and the hash is trusted then. The other need not be faultless: its
        share grows with what it takes over, and with what all share (fills of flushed caches).
        """
        fit = []
        for s in stores:
            if s.failed_at > s.until and self.worse(s, stores):
                spread = 0.5 + self._random.random()  # not all proxies of a location at once
                s.until, s.rest = now + spread * s.rest, min(2 * s.rest, REST_MOST_MS)
            on_trial = s.until > -math.inf and s.bad >= SICK / 2
            if now >= s.until and not (on_trial and s.out + s.lent >= TRIAL):
                fit.append(s)
        return fit or stores

    def resting(self, now: float) -> set[str]:
        """Names of the stores that are stepped over just now."""
        return {name for name, s in self._topology.stores.items() if s.until > now}

    @staticmethod
    def worse(store: StoreState | None, peers: list[StoreState]) -> bool:
        """Whether a store is sick and clearly worse than the best of its peers: the trouble is its own.

        Where other proxies name it silent, less of the own evidence will do; without any they are not heeded.
        """
        if store is None:
            return False
        best = min((p.bad for p in peers if p is not store), default=1.0)
        sick = WELL if store.named >= VOICES else SICK
        return store.bad >= sick and (store.lost or best <= max(WELL, CLEARLY * store.bad))

    def overdue(self, flight: Flight, now: float) -> None:
        """Blames an attempt at its aim, long before its time-out.

        Time-outs of stores and sources that hang or lose answers come seconds late. It does no harm when all
        are slow, since only the worst of its peers rests.
        """
        flight.late = True
        self.blame(flight, now)
        self._filled(flight, 0.0, now)

    def blame(self, flight: Flight, now: float) -> None:
        """Blames store and source of an attempt a little."""
        for name in dict.fromkeys((flight.store, flight.source)):
            if suspect := self._known(flight, name):
                suspect.failed(SLIGHT, now)

    def _known(self, flight: Flight, name: str) -> StoreState | None:
        """Store or source of an attempt, unless it has started anew since."""
        state = self._topology.stores.get(name)
        return state if state and flight.is_at(state) else None

    def judge(self, flight: Flight, o: i.Outcome, now: float) -> None:
        """Gives the blame for an outcome to the store, to its source, or to both a little.

        A time-out before the aim tells only that the client was in a hurry: nobody was slow. Whether an error
        is the store's shows when another one serves the request.
        """
        if o.code is i.Code.ERROR or o.code is i.Code.TIMEOUT and not flight.late:
            return
        store = self._known(flight, flight.store)
        source = self._known(flight, flight.source) if flight.source != flight.store else None
        if not flight.late and o.note not in (i.Note.HIT, i.Note.STALE):
            if o.code is i.Code.OK or o.code in UNCLEAR:
                self._filled(flight, float(o.code is i.Code.OK), now)
        if o.code is i.Code.OK:
            self._credit(flight, o, store, source)
        elif o.code in (i.Code.NO_CONNECTION, i.Code.RESET):
            if store:  # a reset may be one lost answer: a store that is down does not take the next one
                unreached = o.code is i.Code.NO_CONNECTION
                store.failed(GRAVE if unreached else SLIGHT, now)
                store.unreached_at = now if unreached else store.unreached_at
        elif o.note in (i.Note.SOURCE_REFUSED, i.Note.SOURCE_UNREACHED):
            if source:
                source.failed(GRAVE if o.note is i.Note.SOURCE_UNREACHED else SLIGHT, now)
        elif o.note is i.Note.NONE and o.code in UNCLEAR and not flight.late:
            self.blame(flight, now)

    def _credit(
        self, flight: Flight, o: i.Outcome, store: StoreState | None, source: StoreState | None
    ) -> None:
        """A good outcome speaks for the store, and for the source where it took part."""
        if store and not flight.late:
            store.worked(GRAVE)
        if source and self._settings.notes is i.Notes.NONE:
            source.worked(SLIGHT * FILL_SHARE)
        elif source and o.note in (i.Note.FILLED, i.Note.FILLED_FROM_ORIGIN):
            source.worked(SLIGHT)

    def _filled(self, flight: Flight, timely: float, now: float) -> None:
        """Counts fills, and those in time; where no note tells which were fills, by the share of hits.

        Those of a cache that is worse than its peers tell of the cache: they must not stop others' fills.
        """
        topology = self._topology
        store, source = self._known(flight, flight.store), self._known(flight, flight.source)
        alone = store and store.bad > 2 * WELL and min((p.bad for p in topology.caches), default=1.0) <= WELL
        alone = alone or source in topology.parents and self.worse(source, topology.parents)
        if store and not alone and flight.source not in ("", flight.store):
            hits = store.hits if self._settings.notes is i.Notes.NONE else 0.0
            self._fills.count(timely, hits, now)

    def announcements(self, now: float) -> list[i.Tell]:
        """What other proxies are to be told: stores that begin to rest here, and those well again."""
        stores, announced = self._topology.stores, self._announced
        ill = {n for n, s in stores.items() if s.bad >= (SICK / 2 if n in announced else SICK)}
        ill &= announced | self.resting(now)
        changed = [i.Tell(n, n in ill) for n in sorted(ill ^ announced) if n in stores]
        self._announced = ill
        return changed
