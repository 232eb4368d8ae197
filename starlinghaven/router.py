"""The decisions of one proxy. Types, events and actions: see interface.py beside this file.

The mechanism is Adapt-L of Bjorkqvist, Chen, Vukolic and Zhang, "Minimizing Retrieval Latency for
Content Cloud" (INFOCOM 2011): popularity tiers decide what caches keep. Gold (the most asked for)
is kept at the top rank, silver at the lowest, bronze passes through unkept. The cache is a hash of
the object over the location's caches, widened for gold; a fill comes from the parent that a hash of
the object picks among all listed parents that are up, from the origin only when none is.
docs/design.md tells where and when the module departs from this.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from hashlib import blake2b
from zlib import crc32

from starlinghaven import interface as i
from starlinghaven.decisions.cold import ColdBudgets
from starlinghaven.decisions.execution import ExecutionRecord, Location
from starlinghaven.decisions.fills import FillCounts
from starlinghaven.decisions.health import Flight, StoreHealth
from starlinghaven.decisions.load import LoadModel
from starlinghaven.decisions.popularity import UNKEPT, Popularity
from starlinghaven.decisions.purges import COUNTS_AS_KNOWN_MS, PurgeTable
from starlinghaven.decisions.rankings import Rankings
from starlinghaven.decisions.stores import SICK, StoreState
from starlinghaven.decisions.table_sizes import TableSizes
from starlinghaven.decisions.topology import Topology

# Placement.
WIDE_FROM = 6  # caches from which gold has three homes, not two

# Load. A cache's capacity is in transfers at full pace; load is requests held over capacity.
CROWDED = 1.8  # load from which a request may step aside: waits for fills count, so 1 to 1.5 is usual
CALMER = 0.25  # ... if that one has at most this part of the load; less would only trade places. And more of
# its share in the hash than this: one that errs at once looks calm, and all proxies together know better
CALM = 1.0  # load up to which sending runs at full pace, so that answers tell their sending time
OWN_SHARE = 0.7  # part of the aim that sending an own copy may take: other transfers share that link


# Attempts.
FIRST_SHARE = 0.85  # part of the patience that an attempt may take while another can follow
LAST_MS = 30.0  # ms below which another attempt cannot succeed any more
LEAST_WORK = 0.85  # part of the sending time below which no attempt can succeed: sizes are a little noisy
MOST_ERRORS = 2  # errors at which the request itself is at fault: stores err alike on what they can't use
EARN, PURSE = 0.1, 20.0  # further attempts earned by an answer in time; most that can be saved up
WINS, WINS_STEP = 0.4, 0.2  # share of copies that must win for all to be sent; weight of one in it
EXPLORE = 0.15  # share sent otherwise, so that lost answers are noticed
CHEAP = 0.3  # cost of one that asks the same cache again, where a lost answer has left a copy
COPY_WORKS = 1.3  # sending times before the aim at which a second copy goes out: a hit is then in time
PAUSE_MS = 40.0  # ms before an uncached request goes to the origin again, doubled each time

# Rules.
PURGE_MARGIN_MS = 60.0  # ms for clocks and ways in the age of a purged object's copy
LIST_RETRY_MS = 1_000.0  # ms until the list is asked for again after an error
LEAST_WAITING = 64  # ended attempts whose aims are not looked for, at least
FLIGHTS = 20_000  # attempts out that are remembered at most

WATCH_TOKEN = 0


def _digest(*words: object) -> float:
    """A number in (0, 1) that every process finds for the same words."""
    raw = blake2b("\0".join(map(str, words)).encode(), digest_size=7).digest()
    return (int.from_bytes(raw, "big") + 1) / (2.0**56 + 2)


def _location(store: StoreState) -> Location:
    return Location(store.m.zone, store.m.cell)


class _Job:
    """A request that is owed its final answer."""

    __slots__ = (
        *("r", "c", "deadline", "sent", "open", "streams", "execution"),
        *("failed", "tried", "used", "tier", "held_only", "errors", "token"),
    )

    def __init__(self, request: i.Request, cls: i.RequestClass, second_copies: bool, now: float) -> None:
        self.r, self.c, self.deadline = request, cls, now + request.patience_ms
        self.sent = self.open = self.failed = 0
        self.streams = False
        self.execution = ExecutionRecord(cls, second_copies)
        self.tried, self.used = list[str](), list[str]()  # stores and sources that failed this request
        self.errors = list[Flight]()  # attempts that ended in an error
        self.token = WATCH_TOKEN  # of the timer that it waits for, if any
        self.tier, self.held_only = UNKEPT, False  # held_only: no fill, only a copy that a cache holds


class Router:
    """Decides for one proxy. Feed it events in order; carry out the actions in order."""

    def __init__(self, settings: i.Settings, seed: int, now: float, sizes: TableSizes | None = None) -> None:
        i.validate(settings)
        sizes = sizes or TableSizes()
        self.s, self.now = settings, now
        self.random = random.Random(seed)
        self.topology = Topology(settings)
        self.rankings = Rankings(sizes.ranking_bytes)
        self.jobs: dict[int, _Job] = {}
        self.flights: OrderedDict[tuple[int, int], Flight] = OrderedDict()
        self.waiting: list[deque[tuple[float, tuple[int, int]]]] = [deque() for _ in settings.classes]
        self.popularity = Popularity(self.random, now, sizes.counts)
        self.cold = ColdBudgets(settings, self.random, now)
        self.spread = i.Spread()  # what all proxies together counted
        self.purges = PurgeTable(sizes.purges, settings.purge_done_ms + PURGE_MARGIN_MS)
        self.news_at = math.inf  # every purge up to then is known; for ever, where nobody says otherwise
        self.fills = FillCounts(now)
        self.load = LoadModel(settings, self.topology, self.cold)
        self.health = StoreHealth(settings, self.topology, self.fills, self.random)
        self.purse = PURSE / 2
        self.wins = WINS  # share of second copies that won, lately
        self.watching = not settings.asks_for_list
        self.delayed: dict[int, int] = {}  # timer token -> request
        self.token = WATCH_TOKEN

    def handle(self, event: i.Event, now: float) -> list[i.Action]:
        """What to do about an event."""
        self.now = max(self.now, now)
        out: list[i.Action] = []
        self._overdue()
        if not self.watching:
            self.watching = True
            out.append(i.Watch())
        match event:
            case i.Request():
                self._arrive(event, out)
            case i.Outcome():
                self._ended(event, out)
            case i.Members():
                self._listed(event, out)
            case i.Purge():
                name = event.group if event.key is None else event.key
                self.purges.record(name, self.now - event.age_ms, self.now)
            case i.NewsCurrent():
                self.news_at = self.cold.news_at = self.now - event.age_ms
            case i.NewsMissed():
                self.purges.raise_floor(self.now)
                self.cold.missed(self.now)
            case i.Streaming():
                if job := self.jobs.get(event.request):
                    job.streams = True
            case i.Gone():
                self._call_off(self._close(event.request), out)
            case i.Probed():
                if store := self.stores.get(event.store):
                    self.load.learn(store, event.report, self.now)
            case i.Timer():
                self._due(event.token, out)
            case i.Heard():
                if store := self.stores.get(event.store):
                    store.named = event.silent - event.serving
            case i.Spread():
                self._take_spread(event)
        if self.s.tells:
            out += self.health.announcements(self.now)
        return out

    @property
    def stores(self) -> OrderedDict[str, StoreState]:
        """All listed stores that are not gone, by name."""
        return self.topology.stores

    @property
    def caches(self) -> list[StoreState]:
        """The caches of the own zone that take new work."""
        return self.topology.caches

    def capacities(self) -> dict[str, float]:
        """Transfers at full pace of each cache of the own zone that is up."""
        return {s.m.store: self.load.full_capacity(s) for s in self.caches}

    def resting(self) -> set[str]:
        """Names of the stores that are stepped over just now."""
        return self.health.resting(self.now)

    def presumed_started(self, now: float) -> set[str]:
        """Names of the stores that are taken for cold though no news told that they started."""
        return {name for name, s in self.stores.items() if self.cold.presumed_started(s, now)}

    # -- placement ----------------------------------------------------------------------------

    def _ranking(self, role: list[StoreState], *words: object) -> list[StoreState]:
        """Rendezvous hashing of a role's stores, by weight where weights mean something; remembered."""
        name = (role is self.topology.parents, *words)
        if (known := self.rankings.find(name)) is not None:
            return known

        def height(s: StoreState) -> float:
            return s.share * self.load.weight(s) / -math.log(_digest(s.m.store, *words))

        ranked = sorted(role, key=height, reverse=True)
        self.rankings.keep(name, ranked)
        return ranked

    def _homes(self, job: _Job) -> list[StoreState]:
        """Caches for a request, the one to take first: the homes of its object, then by its part.

        A crowded home (a hot object, a slow or stuck cache) passes requests on by a hash of the part, so
        that every proxy finds the passed-on part at the same next cache and hot objects are spread.
        """
        r = job.r
        well = self.health.usable(self._ranking(self.caches, r.key), self.now)
        wide, turn = self._wide(r.key), 0
        if r.key in self.popularity.gold:
            wide = max(wide, 3 if len(self.caches) >= WIDE_FROM else 2)
            turn = self.popularity.next_turn(r.key)
        elif wide > 1:
            turn = self.random.randrange(wide)  # each proxy sees too little of it to count turns
        if job.c.parts:
            turn = r.part  # parts take turns, so that each has one home and is filled once
        homes = well[:wide]
        homes = homes[turn % len(homes) :] + homes[: turn % len(homes)] if homes else []
        others = self._ranking(self.caches, r.key, r.part)
        order = homes + [s for s in others if s not in homes and s in well]
        order = [s for s in order if s.m.store not in job.tried and self.load.affordable(s, job.r, self.now)]
        if order and self.load.load(order[0], self.now) > CROWDED:
            bound = CALMER * self.load.load(order[0], self.now)
            calm = next(
                (s for s in order[1:] if self.load.load(s, self.now) <= bound and s.share > CALMER), order[0]
            )
            order = [calm] + [s for s in order if s is not calm]
        return order

    def _wide(self, key: str) -> int:
        """Homes of an object by what all proxies counted: one, where they say nothing."""
        return self.spread.hot.get(crc32(key.encode()), 1) if self.spread.hot else 1

    def _take_spread(self, event: i.Spread) -> None:
        """Takes over the shares in the hash that the fleet found; without them all caches weigh alike."""
        self.spread = event
        for name, s in self.stores.items():
            if s.share != (share := event.shares.get(name, 1.0)):
                s.share = share
                self.rankings.clear()

    def _sources(self, job: _Job) -> list[StoreState]:
        """Where a miss may be filled from: parents that are reached, by the hash, then the origin."""
        well = self.health.usable(self._ranking(self.topology.parents, job.r.key), self.now)
        fit = [
            s
            for s in well
            if self.load.affordable(s, job.r, self.now) and not (s.lost and s.until > self.now)
        ]
        return [s for s in fit + self.topology.origins if s.m.store not in job.used]

    # -- attempts that are late -------------------------------------------------------------------

    def _overdue(self) -> None:
        if sum(map(len, self.waiting)) > 2 * len(self.flights) + LEAST_WAITING:
            self.waiting = [deque(w for w in waiting if w[1] in self.flights) for waiting in self.waiting]
        for waiting in self.waiting:
            while waiting and (waiting[0][0] <= self.now or waiting[0][1] not in self.flights):
                if flight := self.flights.get(waiting.popleft()[1]):
                    self.health.overdue(flight, self.now)

    def _late_fill(self, job: _Job) -> bool:
        """Whether a fill would come too late, for the location's link or for its source.

        Then only what the caches hold is asked for: hits go on, misses end at once. Guards against jams
        that feed themselves, from any cause (a flush, a slow origin): late fills hold places that hits
        need, keep the origin at work for nobody and are asked for again. It harms objects that
        would have just made it. Fills go on in proportion to those in time, counted for all sources
        together as one proxy sees few, and a few always: the counts fade, so the trouble's end is seen.
        """
        if self.random.random() < self.fills.surplus:
            return True
        return self.load.link_full(job.r, self.now)

    # -- members and purges -------------------------------------------------------------------

    def _listed(self, event: i.Members, out: list[i.Action]) -> None:
        if event.kind is i.ListKind.ERROR:
            if self.s.asks_for_list:
                out.append(i.SetTimer(LIST_RETRY_MS * (1 + self.random.random()), WATCH_TOKEN))
            return
        if event.kind is i.ListKind.COMPLETE:
            self.cold.listed_whole()
        self.topology.update(event)
        self.rankings.clear()

    def _purged_at(self, r: i.Request) -> float | None:
        """Until when copies of the object may be void at stores; None where all that is there is newer.

        Without news for long, any object may have been purged: what is older than the moment up to which an
        unheard purge counts as known is void too, where stores may keep it for longer than that.
        """
        made = self.purges.latest_or_floor(r.key, r.group)
        unheard = self.now - COUNTS_AS_KNOWN_MS
        if self.news_at < unheard and self.s.purge_done_ms > COUNTS_AS_KNOWN_MS:
            made = max(made, unheard)
        return made if self.now - made <= self.s.purge_done_ms + PURGE_MARGIN_MS else None

    # -- life of a request --------------------------------------------------------------------

    def _arrive(self, r: i.Request, out: list[i.Action]) -> None:
        job = self.jobs[r.id] = _Job(r, self.s.classes[r.cls], self.s.second_copies, self.now)
        self.popularity.age(self.now)
        if not job.c.uncached:
            self.popularity.count(r.key, r.part == 0, self.now)
        job.tier = self.popularity.rank(r.key, hot=self._wide(r.key) > 1)
        if r.size_kb and self.s.pace_kb_per_s:
            self.load.observe(r.cls, self.load.work(job.r))
        if self._own(job, OWN_SHARE * (job.c.target_ms + job.c.stretch * self.load.work(job.r))):
            return self._serve(job, out)
        self._attempt(job, out)

    def _own(self, job: _Job, within_ms: float, grace_ms: float = 0.0) -> bool:
        """Whether a copy of the proxy's own will do: it spares the caches and their links the work.

        It is sent on a link of few transfers, and they queue: what would come late goes to a cache.
        """
        own, fresh = job.r.own, job.c.fresh_ms
        if own is None or job.c.uncached or job.open:
            return False
        return own.ready_ms <= within_ms and (not fresh or own.age_ms <= fresh + grace_ms)

    def _serve(self, job: _Job, out: list[i.Action]) -> None:
        self._close(job.r.id)
        out.append(i.Serve(job.r.id, self._unserved(job)))

    def _attempt(self, job: _Job, out: list[i.Action]) -> None:
        """Makes the next attempt, or gives the request up at once."""
        left = job.deadline - self.now
        if left <= self._least(job) or job.sent >= self.s.most_attempts:
            return self._give_up(job, out)
        sources = self._allowed(job, self._sources(job))
        if job.c.uncached:
            origin = [s for s in sources if s in self.topology.origins]
            if not origin:
                return self._give_up(job, out)
            if self.s.direct:
                return self._go(job, origin[0], None, out)
            homes = self._allowed(job, self._homes(job))
            return self._go(job, homes[0], origin[0], out) if homes else self._give_up(job, out)
        homes = self._allowed(job, self._homes(job))
        if job.sent == 0:
            limit = self.load.limit(job.r)
            if homes and self.load.load(homes[0], self.now) > limit:
                return self._give_up(job, out)
            waits = bool(homes) and self.load.held(homes[0], self.now) > limit
            job.held_only = waits or self._late_fill(job)
        if job.held_only:
            return self._go(job, homes[0], homes[0], out) if homes else self._give_up(job, out)
        if homes and (job.failed < 2 or not self.s.direct):
            return self._go(job, homes[0], sources[0] if sources else homes[0], out)
        if self.s.direct and sources:
            return self._go(job, sources[0], None, out)
        return self._give_up(job, out)

    def _close(self, request: int) -> _Job | None:
        """The one place where a request that was owed its answer is let go, with its timer."""
        job = self.jobs.pop(request, None)
        if job is not None:
            self.delayed.pop(job.token, None)
        return job

    def awaits(self, token: int) -> bool:
        """Whether a timer that was set still means something."""
        return token == WATCH_TOKEN or token in self.delayed

    def _least(self, job: _Job) -> float:
        """The time below which an attempt cannot succeed, where the size is told.

        Guards against clients in a hurry: what can't be sent in their time is refused before it costs any.
        """
        told = self.load.work(job.r) if job.r.size_kb else 0.0
        return max(LEAST_WORK * told, LAST_MS if job.sent else 0.0)

    def _allowed(self, job: _Job, stores: list[StoreState]) -> list[StoreState]:
        """Where a request may still go: a repeat only to stores that recognise it."""
        if not job.execution.may_have_run:
            return stores
        return [s for s in stores if job.execution.denial(_location(s), self.now) is None]

    def _go(self, job: _Job, store: StoreState, source: StoreState | None, out: list[i.Action]) -> None:
        r, left = job.r, max(job.deadline - self.now, 0.0)
        last = job.c.effect is i.Effect.UNSAFE or job.sent + 1 >= self.s.most_attempts
        timeout = left if last or job.sent else FIRST_SHARE * left
        if left - timeout <= self._least(job):
            timeout = left  # no other could follow
        begin = job.execution.window_left_ms(self.now)
        job.execution.begin(job.sent, _location(store), self.now)
        if store.m.kind == self.s.origin_kind:
            out.append(i.Send(r.id, store.m.store, timeout, begin))
        else:
            age, join = job.c.fresh_ms, self.s.joins
            if (job.failed or job.held_only) and job.c.fresh_ms:
                age += job.c.grace_ms  # an old copy in time is worth more than a fresh one too late
            if (made := self._purged_at(r)) is not None:
                bound = max(self.now - made - PURGE_MARGIN_MS, 1.0)
                age, join = min(age, bound) if age else bound, join and bound > PURGE_MARGIN_MS
            source = source or (self.topology.origins[0] if self.topology.origins else store)
            renew = bool(job.c.fresh_ms) and self._purged_at(r) is None
            keep = UNKEPT if job.c.uncached else job.tier
            out.append(i.Get(r.id, store.m.store, timeout, source.m.store, keep, age, join, renew, begin))
            if source is not store:
                self.load.spend(source, job.r, self.now, self.now)
                source.lent += 1
        self.load.spend(store, job.r, self.now + (0.0 if store.up else self.s.dial_ms), self.now)
        calm = source is not None and self.load.load(store, self.now) < CALM
        self.flights[r.id, job.sent] = Flight(store, source, calm, self.now)
        if len(self.flights) > FLIGHTS:
            self.flights.popitem(last=False)
        aim = min(job.c.target_ms + job.c.stretch * self.load.mean(r.cls), job.c.give_up_ms)  # on average
        self.waiting[r.cls].append((self.now + aim, (r.id, job.sent)))
        store.out += 1
        job.sent += 1
        job.open += 1
        if job.sent == 1 and source and self.s.second_copies and job.c.effect is i.Effect.SAFE:
            work = self.load.work(job.r)
            wait = max(job.c.target_ms + (job.c.stretch - COPY_WORKS) * work, COPY_WORKS * work)
            if wait + LAST_MS < left:
                out.append(self._timer(job, wait))

    def _timer(self, job: _Job, wait: float) -> i.SetTimer:
        self.token += 1
        self.delayed.pop(job.token, None)
        self.delayed[self.token] = job.r.id
        job.token = self.token
        return i.SetTimer(wait, self.token)

    def _copy(self, job: _Job, out: list[i.Action]) -> None:
        """A second copy of a request whose answer should be here by now.

        Guards against lost answers: the work is done but nothing comes back, and probes would succeed.
        The cache is asked for what it holds by now, which costs nothing while a fill goes on. One that
        looks sick is passed over for another and another source: covers stores that hang. It could double
        the load: the purse pays, which only answers in time fill, and few are sent unless enough win.
        """
        flight = self.flights.get((job.r.id, 0))
        few = self.purse < 1 or self.wins < WINS and self.random.random() >= EXPLORE
        if flight is None or job.streams or job.sent != 1 or few:
            return
        self.wins -= WINS_STEP * self.wins  # until it wins
        store = next((s for s in self.caches if s.m.store == flight.store), None)
        if store and store.bad < SICK / 2 and self.load.affordable(store, job.r, self.now):
            self.purse -= CHEAP
            return self._go(job, store, store, out)
        self.purse -= 1
        job.used.append(flight.source)
        job.tried.append(flight.store)
        homes, sources = self._homes(job), self._sources(job)
        if homes and self.load.load(homes[0], self.now) <= self.load.limit(job.r):
            self._go(job, homes[0], homes[0] if job.held_only or not sources else sources[0], out)

    def _ended(self, o: i.Outcome, out: list[i.Action]) -> None:
        flight = self.flights.pop((o.request, o.attempt), None)
        if flight is None:
            return
        job = self.jobs.get(o.request)
        if store := self.stores.get(flight.store):
            store.out = max(0, store.out - 1)
            if flight.is_at(store):
                store.up = o.code in i.ANSWERED
                if store.up and o.link_age_ms is not None:
                    self.cold.answered(store, self.now - o.link_age_ms, flight.sent_ms)
                self.load.learn(store, o.report, self.now)
        if flight.source != flight.store and (source := self.stores.get(flight.source)):
            source.lent = max(0, source.lent - 1)
        self.health.judge(flight, o, self.now)
        if job is None:
            return
        if o.code is i.Code.OK and flight.calm and not job.r.size_kb:
            self.load.observe(job.r.cls, o.took_ms)
        job.open -= 1
        job.execution.end(o.attempt, o.code)
        if o.code is i.Code.ERROR:
            job.errors.append(flight)
        elif o.code is i.Code.OK:
            for erred in job.errors:
                self.health.blame(erred, self.now)
        if o.final:
            self._close(o.request)
            if o.code is i.Code.OK and not flight.late:
                self.purse = min(PURSE, self.purse + EARN)
            if job.open:
                self._drop(job, o, out)
            return
        self._again(job, flight, o, out)

    def _again(self, job: _Job, flight: Flight, o: i.Outcome, out: list[i.Action]) -> None:
        """After a failed attempt: another one if it is safe, in time and within the budget."""
        left = job.deadline - self.now
        if job.open or job.streams:
            return
        job.failed += 1
        at_fault = len(job.errors) >= MOST_ERRORS
        if at_fault or not job.execution.may_repeat or self.purse < 1 or left <= self._least(job):
            return self._give_up(job, out)
        if job.held_only and o.code is i.Code.MISS:
            return self._behind(job, flight, out)
        lost = o.code is i.Code.RESET and job.sent == 1  # a broken answer has left a copy
        self.purse -= CHEAP if lost else 1.0
        if job.c.uncached:
            pause = PAUSE_MS * 2 ** (job.sent - 1) * (0.5 + self.random.random())
            if pause + LAST_MS >= left:
                return self._give_up(job, out)
            out.append(self._timer(job, pause))
            return
        at_source = o.note in (i.Note.SOURCE_REFUSED, i.Note.SOURCE_UNREACHED, i.Note.SOURCE_LACKS)
        if not at_source and not lost:
            job.tried.append(flight.store)
        if at_source or o.note is i.Note.NONE and o.code in (i.Code.TIMEOUT, i.Code.FULL, i.Code.MISS):
            job.used.append(flight.source)
        self._attempt(job, out)

    def _behind(self, job: _Job, flight: Flight, out: list[i.Action]) -> None:
        """After a cache lacks what only a held copy could serve, the parent is asked for its own copy.

        Guards against jams behind the caches (a slow origin, flushed caches): a parent still holds much
        and sends it at once, where a fill would wait for the origin. Cheap: it costs no fill.
        """
        parents = [s for s in self._allowed(job, self._sources(job)) if s in self.topology.parents]
        none = not parents or flight.store in (p.m.store for p in self.topology.parents)
        if not self.s.direct or none or self.load.link_full(job.r, self.now) or parents[0].bad >= SICK / 2:
            return self._give_up(job, out)
        self.purse -= CHEAP
        self._go(job, parents[0], parents[0], out)

    def _give_up(self, job: _Job, out: list[i.Action]) -> None:
        """The final answer of what no store serves, at once: a copy of its own will do, even an old one."""
        if job.r.id in self.jobs and self._own(job, job.deadline - self.now, job.c.grace_ms):
            return self._serve(job, out)
        self._close(job.r.id)
        out.append(self._unserved(job))

    def _unserved(self, job: _Job) -> i.Refuse | i.Fail:
        """The final answer of a request that gets nothing: a refusal only if that keeps its promise."""
        if job.execution.may_refuse:
            return i.Refuse(job.r.id, self.s.pushback_ms)
        return i.Fail(job.r.id)

    def _call_off(self, job: _Job | None, out: list[i.Action]) -> None:
        if job and self.s.cancels and not job.streams:
            out += [i.Cancel(job.r.id, n) for n in range(job.sent) if (job.r.id, n) in self.flights]

    def _drop(self, job: _Job, won: i.Outcome, out: list[i.Action]) -> None:
        """One of two copies won: the other is called off, and blamed if it was the first."""
        self._call_off(job, out)
        first = self.flights.get((job.r.id, 0))
        if won.attempt and first:
            self.wins, self.purse = self.wins + WINS_STEP, min(PURSE, self.purse + CHEAP)
            if not first.late:
                first.late = True
                self.health.blame(first, self.now)

    def _due(self, token: int, out: list[i.Action]) -> None:
        if token == WATCH_TOKEN and self.s.asks_for_list:
            out.append(i.Watch())
        elif job := self.jobs.get(self.delayed.pop(token, -1)):
            (self._copy if job.open else self._attempt)(job, out)
