"""Who reports to whom, and what a proxy makes of the tables it gets. No I/O, no clock of its own.

All members pick the same few publishers: those first in a rendezvous ranking of the living (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Each proxy reports to one of them in
turn; each publisher adds up what it was told and sends its table to all, in slices, so that not all proxies
act on it at the same moment. A proxy takes the median of the publishers' tables, and nothing from fewer than
two. So the cost of a proxy does not depend on how many there are, and no single voice counts.

Drive it like the membership: `receive`, `advance` when `next_due` has come, `take_out`. Times are ms.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random
from statistics import median
from zlib import crc32

from starlinghaven.datagrams import Refused
from starlinghaven.spread.codec import (
    TABLE_ROWS,
    Datagram,
    Report,
    Row,
    Table,
    cache_id,
    decode,
    encode,
    report_room,
)
from starlinghaven.spread.estimates import Balance, Estimates, speeds
from starlinghaven.spread.evidence import Evidence
from starlinghaven.spread.settings import Limits

AUDIENCE_MS = 60_000.0  # that a publisher remembers who is in a zone: of a large fleet most reports sit out
VOICES = 2  # publishers whose tables must agree on what counts
SLICES = 12  # parts of a period over which one table goes out
SHARE_STEP = 64  # shares are told to the Router in so many steps: small changes move no object
MOST_ZONES = 32


@dataclass(frozen=True, slots=True)
class View:
    """What a proxy acts on. Empty where too little is known: then all goes as without news."""

    shares: Mapping[int, float] = field(default_factory=dict)  # weight of a cache in the hash, above 0 to 1
    hot: Mapping[int, int] = field(default_factory=dict)  # object -> homes
    voices: int = 0  # publishers it rests on
    told_at: float = -math.inf  # when the oldest table in it came, ms

    def of(self, stores: Iterable[str]) -> dict[str, float]:
        """The shares by the stores' own ids, of those that have one."""
        ids = {s: cache_id(s) for s in stores}
        return {s: self.shares[c] for s, c in ids.items() if c in self.shares}


@dataclass(slots=True)
class _Table:
    """What one publisher told last: rows come in parts, each with its own time."""

    life: int
    number: int
    at: float
    rows: dict[int, tuple[float, Row]] = field(default_factory=dict)
    hot: dict[int, int] = field(default_factory=dict)
    hot_at: float = -math.inf


@dataclass(slots=True)
class _Zone:
    """What a publisher keeps of one zone."""

    estimates: Estimates
    balance: Balance
    members: dict[int, float] = field(default_factory=dict)  # who reported from there, and when
    before: dict[int, float] = field(default_factory=dict)  # shares as told last
    speed: dict[int, float] = field(default_factory=dict)


class Exchange:
    """One member's part in spreading load."""

    def __init__(
        self, own: int, universe: int, life: int, zone: int, limits: Limits, random: Random, now: float
    ) -> None:
        """`universe` is the digest of the list of peers, `life` that of the membership.

        Errors: ValueError for limits that can't be.
        """
        if wrong := limits.check():
            raise ValueError("; ".join(wrong))
        self.own, self._universe, self.life, self.zone = own, universe, life, zone
        self.limits, self._random = limits, random
        self.evidence = Evidence(random, now, limits.keys)
        self.counts: Counter[str] = Counter()
        self.settled = False  # whether this proxy may publish: not when just started or cut off
        self._alive: frozenset[int] = frozenset({own})
        self._ranked: list[int] = [own]
        self._stores: Mapping[str, float] = {}
        self._caches: dict[int, float] = {}
        self._view: View | None = None  # kept while nothing new came and nothing in it grew too old
        self._view_until = -math.inf
        self._zones: dict[int, _Zone] = {}
        self._tables: dict[int, _Table] = {}
        self._numbers = 0
        self._turn = random.randrange(1 << 16)
        self._heard: dict[int, tuple[int, int]] = {}  # sender -> life and number of its last report
        self._queue: list[tuple[float, int, bytes]] = []  # slices of a table: when, to whom, what; last first
        self._out: list[tuple[int, bytes]] = []
        self._report_at = now + limits.report_ms * random.random()
        self._publish_at = now + limits.publish_ms * (1 + random.random())

    # -- what it is told ----------------------------------------------------------------------------

    def members(self, alive: Collection[int], settled: bool) -> None:
        """Who is there by the membership. `settled`: a majority is, and this proxy did not just start."""
        self.settled = settled
        if alive != self._alive:
            self._alive, self._view = frozenset(alive) | {self.own}, None
            self._ranked = sorted(self._alive, key=lambda m: crc32(b"%d/%d" % (self._universe, m)))

    def listed(self, stores: Mapping[str, float]) -> None:
        """The caches of the own zone that are up, with their capacities in transfers at full pace.

        What is not on this list is never looked at. Of two with one id neither is steered.
        """
        if stores == self._stores:
            return
        self._stores, self._view = dict(stores), None
        ids = Counter(cache_id(s) for s in stores)
        self._caches = {cache_id(s): most for s, most in stores.items() if ids[cache_id(s)] == 1}

    @property
    def publishers(self) -> list[int]:
        """The members that add up, as this one sees it."""
        return self._ranked[: self.limits.publishers]

    # -- what drives it -----------------------------------------------------------------------------

    def next_due(self) -> float:
        """When `advance` is wanted next, ms."""
        if len(self._alive) < 2:
            return math.inf
        due = min(self._report_at, self._publish_at)
        return min(due, self._queue[-1][0]) if self._queue else due

    def advance(self, now: float) -> None:
        """Does what is due."""
        if len(self._alive) < 2:
            return
        while self._queue and self._queue[-1][0] <= now:
            _, to, data = self._queue.pop()
            self._send(to, data)
        if self._report_at <= now:
            self._report_at = now + self.limits.report_ms * self._random.uniform(0.9, 1.1)
            self._report(now)
        if self._publish_at <= now:
            self._publish_at = now + self.limits.publish_ms * self._random.uniform(0.9, 1.1)
            self._queue.clear()  # what was not sent by now is stale
            if self.settled and self.own in self.publishers:
                for zone in list(self._zones):
                    self._publish(zone, now)

    def receive(self, data: bytes, sender: int | None, now: float) -> None:
        """Takes one datagram from the member whose address it came from (None: from elsewhere)."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            d = decode(data)
        except Refused as error:
            return self._refuse(str(error))
        if sender is None or sender == self.own:
            return self._refuse("from elsewhere")
        if d.sender != sender:
            return self._refuse("another's number")
        if d.universe != self._universe:
            return self._refuse("other list")
        if isinstance(d.body, Report):
            self._take_report(d, d.body, now)
        else:
            self._take_table(d, d.body, now)

    def take_out(self) -> list[tuple[int, bytes]]:
        """The datagrams to send now, with their members."""
        out, self._out = self._out, []
        return out

    # -- reports ------------------------------------------------------------------------------------

    def _report(self, now: float) -> None:
        """Tells one publisher, each in its turn. Of a large fleet some sit out, drawn anew each time."""
        self._turn = (self._turn + 1) & 0xFFFF
        if self._random.random() >= self.limits.reporters / len(self._alive):
            return
        to = self.publishers[self._turn % len(self.publishers)]
        self._numbers = (self._numbers + 1) & 0xFFFF
        report = self.evidence.take(now, report_room(self.limits.keys), self._turn ^ self.own)
        if to == self.own:
            self._estimates(self.zone, self.own, now).take(self.own, report, now)
        else:
            self._send(to, self._encode(report))

    def _take_report(self, d: Datagram, report: Report, now: float) -> None:
        if d.zone >= MOST_ZONES:
            return self._refuse("no such zone")
        if self.own not in self.publishers:
            return self._refuse("report to no publisher")
        if self._old(self._heard.get(d.sender), d):
            return self._refuse("late or doubled")
        self._heard[d.sender] = (d.life, d.number)
        self._estimates(d.zone, d.sender, now).take(d.sender, report, now)

    def _estimates(self, zone: int, member: int, now: float) -> Estimates:
        kept = self._zones.get(zone)
        if kept is None:
            kept = self._zones[zone] = _Zone(Estimates(self.limits), Balance(self.limits))
        kept.members[member] = now
        return kept.estimates

    # -- tables -------------------------------------------------------------------------------------

    def _publish(self, zone: int, now: float) -> None:
        """Adds up one zone and puts its table out to those who reported from there, in slices."""
        kept = self._zones[zone]
        kept.members = {m: at for m, at in kept.members.items() if now - at <= AUDIENCE_MS}
        told = kept.estimates.reporters(now)
        if not kept.members or told < VOICES:
            return
        # Of another zone no list is known here: its caches are those that are told of, and count alike.
        caches = self._caches if zone == self.zone else dict.fromkeys(kept.estimates.seen(), 1.0)
        loads = kept.estimates.loads(caches, now)
        base = self._agreed(now) if zone == self.zone else kept.before
        # Held is what those hold who told: to be compared with as large a part of a capacity.
        part = min(told / len(kept.members), 1.0)
        parts = {c: part * most for c, most in caches.items()}
        speed = speeds(loads, parts, kept.speed, self.limits.slow, self.limits.least)
        kept.speed = speed
        kept.before = kept.balance.next(loads, kept.before | base, caches, speed, now)
        listed = [Row(c, kept.before[c], speed[c]) for c in sorted(loads)]
        hot = kept.estimates.hot(len(loads), now)
        total = round(sum(load.rate for load in loads.values()))
        tables = [Table(told, total, (), tuple(hot[:TABLE_ROWS]))]
        room = TABLE_ROWS - len(tables[0].hot)
        tables[0] = Table(told, total, tuple(listed[:room]), tables[0].hot)
        for at in range(room, len(listed), TABLE_ROWS):
            tables.append(Table(told, total, tuple(listed[at : at + TABLE_ROWS])))
        self._numbers = (self._numbers + 1) & 0xFFFF  # one for all parts: they overtake each other
        datagrams = [self._encode(t, zone) for t in tables]
        if zone == self.zone:
            for t in tables:
                self._hold(self.own, self.life, self._numbers, t, now)
        to = [m for m in kept.members if m != self.own and m in self._alive]
        self._random.shuffle(to)
        slice_ms = self.limits.publish_ms * 0.8 / SLICES
        for k, member in enumerate(to):
            when = now + slice_ms * (k * SLICES // len(to))
            self._queue += [(when, member, data) for data in datagrams]
        self._queue.sort(key=lambda item: -item[0])
        self.counts["published"] += 1

    def _take_table(self, d: Datagram, table: Table, now: float) -> None:
        if d.zone != self.zone:
            return self._refuse("another zone's table")
        if d.sender not in self._ranked[: 2 * self.limits.publishers]:
            return self._refuse("table of no publisher")  # views may differ a little, not much
        held = self._tables.get(d.sender)
        if held is not None and d.number != held.number and self._old((held.life, held.number), d):
            return self._refuse("late or doubled")  # a double changes nothing: its table is held already
        if table.reporters < VOICES:
            return self._refuse("table of too few")
        self._hold(d.sender, d.life, d.number, table, now)

    def _hold(self, publisher: int, life: int, number: int, table: Table, now: float) -> None:
        self._view = None
        held = self._tables.get(publisher)
        if held is None or held.life != life:
            held = self._tables[publisher] = _Table(life, number, now)
        held.number, held.at = number, now
        for row in table.rows:
            held.rows[row.cache] = (now, row)
        if table.hot or now - held.hot_at > self.limits.believed_ms:
            held.hot, held.hot_at = dict(table.hot), now
        old = now - self.limits.believed_ms
        held.rows = {c: x for c, x in held.rows.items() if x[0] >= old}
        while len(self._tables) > 4 * self.limits.publishers:
            del self._tables[min(self._tables, key=lambda m: self._tables[m].at)]

    def _chosen(self, now: float) -> list[_Table]:
        """The tables that count: of the first publishers, by this proxy's view, that told lately."""
        fresh = [m for m in self._ranked if m in self._tables
                 and now - self._tables[m].at <= self.limits.believed_ms]  # fmt: skip
        return [self._tables[m] for m in fresh[: self.limits.publishers]]

    def _agreed(self, now: float) -> dict[int, float]:
        """The shares that the publishers hold together: the median, so that they do not drift apart."""
        tables, found = self._chosen(now), dict[int, float]()
        for cache in self._caches:
            said = [t.rows[cache][1].share for t in tables if cache in t.rows]
            if len(said) >= VOICES:
                found[cache] = median(said)
        return found

    def view(self, now: float) -> View:
        """What to act on now."""
        if self._view is None or now > self._view_until:
            self._view = self._look(now)
        return self._view

    def _look(self, now: float) -> View:
        self._view_until = math.inf
        tables, old = self._chosen(now), now - self.limits.believed_ms
        if len(tables) < VOICES:
            return View()
        share, oldest = dict[int, float](), min(t.at for t in tables)
        for cache in self._caches:
            rows = [t.rows[cache] for t in tables if cache in t.rows]
            said = [row for at, row in rows if at >= old]
            if len(said) >= VOICES:
                oldest = min(oldest, *(at for at, _ in rows if at >= old))
                weight = median(row.share * row.speed for row in said)
                share[cache] = max(round(weight * SHARE_STEP), 1) / SHARE_STEP
        hot = dict[int, int]()
        told = [t.hot for t in tables if t.hot_at >= old]
        for key in {key for each in told for key in each}:
            wide = sorted(each[key] for each in told if key in each)
            if len(wide) >= VOICES:
                hot[key] = wide[len(wide) // 2 - (len(wide) == VOICES)]
        self._view_until = oldest + self.limits.believed_ms
        return View(share, hot, len(tables), min(t.at for t in tables))

    # -- helpers ------------------------------------------------------------------------------------

    @staticmethod
    def _old(last: tuple[int, int] | None, d: Datagram) -> bool:
        """Whether a datagram is a double, or was overtaken by a later one. Numbers go round."""
        if last is None or d.life > last[0]:
            return False
        return d.life < last[0] or not 0 < (d.number - last[1]) & 0xFFFF < 0x8000

    def _encode(self, body: Report | Table, zone: int | None = None) -> bytes:
        told = self.zone if zone is None else zone
        return encode(Datagram(self.own, self._universe, self.life, self._numbers, told, body))

    def _send(self, to: int, data: bytes) -> None:
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._out.append((to, data))

    def _refuse(self, reason: str) -> None:
        self.counts["refused_" + reason.replace(" ", "_")] += 1
