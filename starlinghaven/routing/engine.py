"""The engine: owns the Router, the timers and every request that is owed an answer."""

from __future__ import annotations

import contextlib
import logging
import math
from collections.abc import Callable

import trio

from starlinghaven import interface as i
from starlinghaven.containment import CONTAINED, contained
from starlinghaven.decisions.execution import ExecutionRecord
from starlinghaven.decisions.table_sizes import TableSizes
from starlinghaven.router import Router
from starlinghaven.routing import request_log
from starlinghaven.routing.backlog import Backlog
from starlinghaven.routing.begun_ids import BegunIds, Claim
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.copies import Copies
from starlinghaven.routing.crowd import Crowd
from starlinghaven.routing.guard import Guard, OpenRequest
from starlinghaven.routing.inbox import Inbox
from starlinghaven.routing.lease import PAUSE_MS
from starlinghaven.routing.open_requests import OpenRequests, UnservedShare
from starlinghaven.routing.own_copies import OwnCopies
from starlinghaven.routing.request_memory import Admission, EngineAccounts, admitted
from starlinghaven.routing.store_table import StoreTable
from starlinghaven.routing.timers import Timers
from starlinghaven.routing.types import (
    Answer,
    Ask,
    Asker,
    Attempt,
    CacheSide,
    Counters,
    Ended,
    Event,
    FleetNews,
    Hand,
    Left,
    NewsCurrent,
    NewsMissed,
    NewsRequired,
    Observer,
    PeerNews,
    PurgeNews,
    Result,
    SpreadNews,
    Taken,
    Ticket,
)
from starlinghaven.routing.unheard_starts import UnheardStarts

log = logging.getLogger(__name__)

TURN_S = 0.1  # seconds between two turns at most: a longer one shows that the process stood still
OBSERVE_MS = 100.0  # between two looks at the wall clock; each stamp that is mapped looks as well
BATCH = 256  # events handled before timers are looked at again
TURN_MS = 20.0  # ms after which a batch ends: input is read between two
ANSWER_GRACE_MS = 10.0  # ms by which a time-out is put off once, while the store's answer may lie unread
MARGIN_MS = 25.0  # ms before the client's deadline at which its request ends here: the answer must travel
GUARD_MS = 5.0  # ms after that, at which one that the Router still holds is failed
NOTES = {note.value: note for note in i.Note}
TELLS_NOTHING = frozenset({i.Code.MISS, i.Code.MOOT, i.Code.CANCELLED})  # of the cache that was asked
STALL_MS = 50.0  # ms that an event or a timer waited, from which fronts and stores are read before it counts
LEAST_TIMERS = 256  # that are never looked through for those without a meaning
OWN_IDS_BYTES = 512 * 1024  # of the table of begun ids, where nobody gives one
LATE_MS = 100.0  # ms after which a first attempt is logged as late
NEWS_TURNS = 8  # turns at most that it waits for news to be read
TURNS = 3  # turns of the loop in which they are: one for the wait, one for the reading, one to spare


class Engine:
    """Feed it through `post`; it answers tickets and gives attempts to the cache side."""

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        clock: Clock,
        counters: Counters,
        copies: Copies | None = None,
        accounts: EngineAccounts | None = None,
        sizes: TableSizes | None = None,
        begun: BegunIds | None = None,
    ) -> None:
        """`begun` has the ids for which something has begun, here or at the other process of an upgrade."""
        self._clock_observed_at = -math.inf
        self.clock, self.counters, self._settings = clock, counters, settings
        self.accounts = accounts or EngineAccounts()
        self.own_copies = OwnCopies(copies, clock, counters)
        self._router = Router(settings, seed, clock.now(), sizes)
        self._inbox = Inbox(clock)
        self._backlog = Backlog(self._inbox, counters)
        self._crowd = Crowd(clock)
        self._unheard_starts = UnheardStarts(counters)
        self.caches: CacheSide | None = None
        self.tell: Callable[[str, bool], None] | None = None  # to other proxies: store, silent; never waits
        self.news_unread: Callable[[], bool] | None = None  # whether something of the change log lies unread
        self.observer: Observer | None = None  # of loads, where proxies tell each other
        self._begun = begun or BegunIds.make(OWN_IDS_BYTES, bytes(16), math.inf)
        self._open = OpenRequests()
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._stores = StoreTable(settings, clock, self.accounts.list)
        self._guard = Guard(self._stores, clock, counters)
        # An attempt's time-out, a request's deadline, or a token of the Router.
        self._timers = Timers[Attempt | OpenRequest | int]()
        self._forget_at = LEAST_TIMERS  # timers from which those without a meaning are looked for
        self._quiet = trio.Event()
        self.ready = self.draining = False
        self._unserved = UnservedShare(clock)
        self.heard: set[str] = set()  # stores that answered since the start
        self.turned_at = clock.now()  # ms at which the engine last took events: a stall shows here

    # -- for other tasks --------------------------------------------------------------------------

    async def post(self, event: Event) -> None:
        """The only way in. Waits while the queue is full; see `Inbox.post`."""
        await self._inbox.post(event)

    def admit(self, ask: Ask, asker: Asker) -> Admission | None:
        """Whether a request that was just read is to be posted.

        None: it is to be refused, since it can't be decided in time or there is no memory for it. Who does
        not post it after all gives its memory back by `withdraw`.
        """
        alone = asker.alone
        if not self._begun.has_room():
            self.counters.add("refused_for_ids")
            return None
        if self._backlog.is_too_late(ask, self.clock.now(), queues=not alone):
            self._crowd.note()
            self.counters.add("refused_early")
            return None
        admission = admitted(self.accounts.requests, ask, asker, alone)
        if admission is None:
            self._crowd.note()
            self.counters.add("refused_for_memory")
            request_log.no_memory(ask, self.accounts.requests.free)
        return admission

    def withdraw(self, taken: Taken) -> None:
        """A request that was admitted is not posted: its client has left already."""
        self.accounts.requests.give(taken.held)

    @property
    def open_requests(self) -> int:
        return len(self._open)

    @property
    def fleet_size(self) -> int:
        """Caches of the own zone that are up."""
        return len(self._router.caches)

    @property
    def fleet_ids(self) -> set[str]:
        """Ids of all stores that are listed and not gone."""
        return self._stores.ids

    @property
    def capacities(self) -> dict[str, float]:
        """Caches of the own zone that are up, with the transfers that each sends at full pace."""
        return self._router.capacities()

    @property
    def avoided(self) -> int:
        """Listed stores that get nothing new: by hand, by the list, or by choice."""
        return len(self._stores.ids) - len(self._stores.usable(self._router.resting()))

    @property
    def state(self) -> str:
        """ready, draining or stopped: what balancers are told."""
        if self.draining:
            return "draining" if self.ready else "stopped"
        return "ready" if self.ready else "stopped"

    @property
    def weight(self) -> int:
        """Part of its usual traffic that this proxy can take, in percent: at least 1, so that it is seen
        when it recovers. It falls with caches that are listed but not up, and with what is refused."""
        own = self._stores.own_caches()
        up = sum(s.phase is i.Phase.UP for s in own) / len(own) if own else 0.0
        return max(round(100 * up * (1.0 - self._unserved.now())), 1)

    @property
    def waiting(self) -> int:
        """Events in the queue, not yet taken."""
        return self._inbox.waiting

    @property
    def reachable(self) -> tuple[int, int]:
        """Caches of the own zone: how many are listed, and how many of them take new work."""
        usable = self._stores.usable(self._router.resting())
        return len(self._stores.own_caches()), sum(self._stores.is_own_cache(s) for s in usable)

    def unserved(self) -> float:
        """Share of recent answers that did not serve, 0 to 1."""
        return self._unserved.now()

    async def quiet(self) -> None:
        """Waits until nothing that was taken is left unanswered."""
        while self._open or self._inbox.waiting:
            self._quiet = trio.Event()
            with trio.move_on_after(0.05):  # also looks at what is only in the queue
                await self._quiet.wait()

    # -- the one task -----------------------------------------------------------------------------

    async def run(self, caches: CacheSide) -> None:
        self.caches = caches
        while True:
            now = self.clock.now()
            sleep_s = max(self._timers.next_at - now, 0.0) / 1000
            first = await self._inbox.receive(min(sleep_s, TURN_S))
            await self._catch_up()
            await self._read_news()
            self._turn()
            if first is not None:
                self._handle_contained(first)
            for event in self._inbox.batch(BATCH):
                self._handle_contained(event)
                if self.clock.now() - self.turned_at > TURN_MS:
                    break  # what has come in meanwhile is read before more is decided
            self._inbox.turned()
            self.run_due()

    def _turn(self) -> None:
        """What comes before the other events of a turn: the state of the news, the news itself, and ends."""
        now = self.turned_at = self.clock.now()
        if now - self._clock_observed_at >= OBSERVE_MS:
            self._clock_observed_at = now
            self.clock.observe()
            self._unheard_starts.note(now, self._router.presumed_started)
        if self.own_copies.lease.turn(now):
            self.counters.add("pauses")
        for news in self._inbox.news():
            self._handle_contained(news)
        self.own_copies.note_lease(now)
        for end in self._inbox.ends():
            self._handle_contained(end)
            if isinstance(end, Ended):
                self.accounts.answers.give(end.held)
        for taken in self._inbox.lone():
            self._handle_contained(taken)

    def _handle_contained(self, event: Event) -> None:
        """Handles an event. A defect that it meets ends neither the engine nor the wait of its client."""
        try:
            self.handle(event)
        except Exception:
            self._note_defect(f"handling of {type(event).__name__}")
            with self._contained("the recovery from it"):
                self._recover(event)

    def _recover(self, event: Event) -> None:
        """After a defect in the handling of an event: whoever waits for its result gets one."""
        match event:
            case Taken():
                number = self._open.number(event.ticket)
                if number is None:
                    self.accounts.requests.give(event.held)
                    event.ticket.answer(Answer(Result.FAILED))
                else:
                    self._abandon(number)
            case Left():
                number = self._open.number(event.ticket)
                if number is not None:
                    self._left(event.ticket)
            case Ended():
                self._abandon(event.attempt.request)
            case Hand() if event.answer is not None:
                event.answer(False)

    def _abandon(self, number: int) -> None:
        """Gives a request that can't be decided its final answer; the Router ends what is out for it."""
        if number in self._open:
            self._finish(number, Answer(Result.FAILED))
            self._decide(i.Gone(number))

    def _contained(self, purpose: str) -> contextlib.AbstractContextManager[None]:
        return contained(log, purpose, self.counters.add)

    def _note_defect(self, purpose: str) -> None:
        """Logs the exception that is being handled, and counts it."""
        log.exception("%s failed", purpose)
        self.counters.add(CONTAINED)

    async def _catch_up(self) -> None:
        """After a stall, what came in meanwhile is read before anything is decided.

        News, clients that left and answers that came while the process stood still lie unread: an attempt
        begun, or timed out, ahead of them would be wrong.
        """
        now = self.clock.now()
        since = now if self._inbox.waits_since is None else self._inbox.waits_since
        waited = now - min(since, self._timers.next_at)
        if waited > STALL_MS or now - self.turned_at > PAUSE_MS:
            self.counters.add("stalls")
            for _ in range(TURNS):
                await trio.lowlevel.checkpoint()

    async def _read_news(self) -> None:
        """Lets purges and drains that have come in be read, however long, before anything is decided."""
        for _ in range(NEWS_TURNS):
            if self.news_unread is None or not self.news_unread():
                return
            await trio.lowlevel.checkpoint()

    def handle(self, event: Event) -> None:
        """Only for the engine's one task, and for tests that step it by hand."""
        match event:
            case Taken():
                self._take(event)
            case Ended():
                self._attempt_ended(event)
            case Left():
                self._left(event.ticket)
            case FleetNews():
                self._listed(event)
            case Hand():
                self._by_hand(event)
            case PeerNews():
                if event.store in self._stores:  # never one that the own list has not named
                    self.counters.add("peer_news")
                    self._decide(i.Heard(event.store, event.silent, event.serving))
            case SpreadNews():
                self.counters.add("spread_news")
                shares = {s: n for s, n in event.shares.items() if s in self._stores}
                self._decide(i.Spread(shares, event.hot))
            case PurgeNews():
                self._purge(event)
            case NewsRequired():
                self._require_news()
            case NewsCurrent():
                self.own_copies.lease.renew(event.as_of_ms)
                self._decide(i.NewsCurrent(self.clock.now() - event.as_of_ms))
            case NewsMissed():
                self._missed()

    def _require_news(self) -> None:
        """From now on news is awaited. What was given first is current; a file read later proves nothing."""
        if not self.own_copies.lease.required:
            self.own_copies.lease.require()
            self._decide(i.NewsCurrent(0.0))

    def _purge(self, news: PurgeNews) -> None:
        self.counters.add("purges")
        made = self.clock.latest(news.unix_ms)
        self.own_copies.purge(news.group, news.key, made)
        self._decide(i.Purge(news.group, self.clock.now() - made, news.key))

    def _missed(self) -> None:
        """Any object may have been purged up to now, and nobody will say which."""
        self.counters.add("changelog_gaps")
        self.own_copies.miss(self.clock.now())
        self._decide(i.NewsMissed())

    def run_due(self) -> None:
        """Carries out what is due by now; each timer by itself, whatever the others meet."""
        for what in self._timers.due(self.clock.now()):
            with self._contained("a timer"):
                self._due(what)

    def _due(self, what: Attempt | OpenRequest | int) -> None:
        if isinstance(what, Attempt):
            self._time_out(what)
        elif isinstance(what, OpenRequest):
            self._out_of_time(what)
        else:
            self._decide(i.Timer(what))

    # -- requests ---------------------------------------------------------------------------------

    def _take(self, event: Taken) -> None:
        ask = event.ask
        self.counters.add("taken")
        now = self.clock.now()
        self._backlog.taken(ask, now)
        if self._backlog.is_too_late(ask, now, queues=False):
            self.counters.add("refused_early")
            self._turn_away(event, Answer(Result.REFUSED, wait_ms=self._settings.pushback_ms))
            return
        if self._open.has_id(ask.id) or self._begun.holds(ask.id):
            self.counters.add("ids_again")
            request_log.id_in_use(ask)
            self._turn_away(event, Answer(Result.FAILED))
            return
        deadline = ask.taken_ms + max(ask.patience_ms - MARGIN_MS, ask.patience_ms / 2)
        cls = self._settings.classes[ask.cls]
        execution = ExecutionRecord(cls, self._settings.second_copies)
        request = OpenRequest(ask, event.ticket, deadline, execution, held=event.held)
        number = self._open.add(request)
        request.timer = self._timers.at(deadline + GUARD_MS, request)
        patience = max(deadline - self.clock.now(), 0.0)
        part = ask.part or 0
        own = self.own_copies.offered(ask)
        if self.observer and not self._settings.classes[ask.cls].uncached:
            self.observer.asked(ask.key)
        self._decide(
            i.Request(
                id=number,
                cls=ask.cls,
                patience_ms=patience,
                key=ask.key,
                group=ask.group,
                part=part,
                size_kb=ask.size_kb,
                again=ask.again,
                own=own,
                load_share=self._crowd.load_share(event.alone),
            )
        )

    def _turn_away(self, event: Taken, answer: Answer) -> None:
        """Answers a request that is not opened."""
        self.accounts.requests.give(event.held)
        self._tell(event, answer)

    def _serve(self, action: i.Serve) -> None:
        """The Router wants the own copy served. It may have gone since it was asked about."""
        request = self._open.get(action.request)
        if request is None:
            return
        answer = self.own_copies.answer(request.ask)
        if answer is None:
            self._end(action.otherwise)
        else:
            self._finish(action.request, answer)

    def _left(self, ticket: Ticket) -> None:
        number = self._open.number(ticket)
        if number is not None:  # else its answer crossed the client's leaving
            self._close(number)
            self.counters.add("left")
            self._decide(i.Gone(number))

    def _out_of_time(self, request: OpenRequest) -> None:
        """The last guard of the deadline: the Router has ended its requests before, as a rule."""
        number = self._open.number(request.ticket)
        if number is not None and self._open.get(number) is request:
            self.counters.add("overdue")
            self._finish(number, Answer(Result.FAILED, late=True))
            self._decide(i.Gone(number))

    def _close(self, number: int) -> OpenRequest:
        """The one place where a request leaves the engine."""
        request = self._open.close(number)
        self._timers.cancel(request.timer)
        self.accounts.requests.give(request.held)
        if not self._open:
            self._quiet.set()
        return request

    def _finish(self, number: int, answer: Answer) -> None:
        """The one place where an open request gets its final answer."""
        answer = self._guard.allowed(self._open[number], answer)
        if answer.result in (Result.REFUSED, Result.FAILED):
            request_log.unserved(self._open[number], answer, self.clock.now(), len(self._open))
        self._tell(self._close(number), answer)

    def _tell(self, request: Taken | OpenRequest, answer: Answer) -> None:
        self.counters.add(f"answered_{answer.result.name.lower()}")
        outcome = Result.SERVED if answer.result is Result.UNCHANGED else answer.result
        self.counters.add(f"class{request.ask.cls}_{outcome.name.lower()}")
        unserved = answer.result in (Result.REFUSED, Result.FAILED)
        self._unserved.add(unserved)
        try:
            request.ticket.answer(answer)
        except Exception:
            self._note_defect(f"the answer to request {request.ask.id}")
            request.ticket.answer(Answer(Result.FAILED))

    # -- attempts ---------------------------------------------------------------------------------

    def _attempt_ended(self, e: Ended) -> None:
        a = e.attempt
        if self._attempts.get((a.request, a.number)) is not a:
            return  # dropped before; its answer came too late to count
        self._settle(a, e)

    def _settle(self, a: Attempt, e: Ended) -> None:
        """The one place where an attempt that was out is given back."""
        del self._attempts[a.request, a.number]
        self._timers.cancel(a.timer)
        a.timer = None
        self.counters.add(f"ended_{e.code.name.lower()}")
        if self.observer:
            with self._contained("the observer"):
                told = e.code not in TELLS_NOTHING
                self.observer.ended(a.store, e.code is i.Code.OK if told else None, self.clock.now())
        if e.code in i.ANSWERED:
            self.heard.add(a.store)
        request = self._open.get(a.request)
        if e.code is not i.Code.OK:
            request_log.attempt_unserved(a, e.code, self.clock.now())
        if request is not None:
            request.execution.end(a.number, e.code)
            request.last = e.code
            request.lacking = e.code is i.Code.MISS and a.source != a.store
            if e.code is i.Code.OK:
                with self._contained("keeping an own copy"):
                    self.own_copies.keep(a, e)
                result = Result.UNCHANGED if e.unchanged else Result.SERVED
                self._finish(a.request, Answer(result, e.body, tag=e.tag))
        now = self.clock.now()
        self._decide(
            i.Outcome(
                request=a.request,
                attempt=a.number,
                store=a.store,
                code=e.code,
                took_ms=now - a.sent_ms,
                final=a.request not in self._open,
                note=NOTES.get(e.note, i.Note.NONE),
                waited_ms=e.waited_ms,
                link_age_ms=None if a.connected_ms is None else now - a.connected_ms,
                report=e.report,
            )
        )

    def _time_out(self, a: Attempt) -> None:
        if self._attempts.get((a.request, a.number)) is not a:
            return
        if self._answer_may_wait(a):
            a.put_off = True
            self.counters.add("timeouts_put_off")
            a.timer = self._timers.at(self.clock.now() + ANSWER_GRACE_MS, a)
            return
        self._give_up(a, i.Code.TIMEOUT)

    def _answer_may_wait(self, a: Attempt) -> bool:
        """Whether its answer may have come in and lie unread, and there is time to read it."""
        assert self.caches is not None
        request = self._open.get(a.request)
        if a.put_off or request is None or self.clock.now() + ANSWER_GRACE_MS > request.deadline:
            return False
        return self.caches.has_unread(a)

    def _give_up(self, a: Attempt, code: i.Code) -> None:
        """Drops an attempt before anything follows it. What never went out surely never ran."""
        assert self.caches is not None
        self.caches.drop(a)
        self._settle(a, Ended(a, code if a.written else i.Code.NO_CONNECTION))

    def may_begin(self, a: Attempt) -> bool:
        """Whether an attempt may begin after all. Asked right before it is written.

        What was true when the Router decided may have passed since, in a queue, a dial or a stall.
        """
        request = self._open.get(a.request)
        if request is not None and not request.ticket.left:
            return self._guard.may_begin(request, a)
        self.counters.add("not_begun_left")
        return False

    def _give_back(self, order: i.Send | i.Get, number: int, request: OpenRequest) -> None:
        """Closes a request whose client has left, and gives back the attempt that was ordered for it."""
        self.counters.add("not_begun_left")
        request_log.not_begun_left(request, order.store, number, self.clock.now())
        self._left(request.ticket)
        self._decide(i.Outcome(order.request, number, order.store, i.Code.MOOT, took_ms=0.0, final=True))

    def _claims(self, request: OpenRequest) -> bool:
        """Notes that something begins for an id; whether nothing has, here or at another process."""
        try:
            claim = self._begun.claim(request.ask.id)
        except TimeoutError:
            claim = Claim.FULL
        if claim is not Claim.BEGINS:
            self.counters.add("ids_again" if claim is Claim.BEGUN else "ids_not_noted")
            request_log.id_in_use(request.ask)
        return claim is Claim.BEGINS

    def _deny(self, order: i.Send | i.Get, request: OpenRequest) -> None:
        """Fails a request for whose id something has begun elsewhere, and gives back what was ordered."""
        self._finish(order.request, Answer(Result.FAILED))
        self._decide(i.Outcome(order.request, 0, order.store, i.Code.MOOT, took_ms=0.0, final=True))

    def _start(self, order: i.Send | i.Get) -> None:
        assert self.caches is not None
        request = self._open.get(order.request)
        if request is None:
            return
        now = self.clock.now()  # ahead of the look at the client: the write follows soon after this, or not
        if request.ticket.left:  # the event that tells it may still be unread, or wait in the queue
            self._give_back(order, len(request.attempts), request)
            return
        if not request.attempts and not self._claims(request):
            self._deny(order, request)
            return
        left = request.deadline - now
        store = self._stores.get(order.store)
        attempt = Attempt(
            ask=request.ask,
            request=order.request,
            number=len(request.attempts),
            store=order.store,
            address=store.address if store else "",
            timeout_ms=max(min(order.timeout_ms or left, left), 0.0),
            sent_ms=now,
            before=request.attempts,
            location=self._stores.location(order.store),
        )
        # What a dial keeps longer is decided anew: a purge told meanwhile would not bound its copy's age.
        attempt.begin_by = now + min(order.begin_ms, attempt.timeout_ms, self._settings.purge_grace_ms)
        if isinstance(order, i.Get):
            attempt.source, attempt.keep, attempt.age_ms = order.source, order.keep, order.age_ms
            attempt.join, attempt.renew = order.join, order.renew
        request.attempts.append(attempt)
        if not attempt.number and request.ask.read_ms and now - request.ask.taken_ms > LATE_MS:
            request_log.first_attempt_late(attempt)
        if attempt.number:
            self.counters.add(f"retried_after_{request.last_word}")
            request_log.attempt_repeated(attempt, request.last_word)
        request.execution.begin(attempt.number, attempt.location, now)
        self._attempts[order.request, attempt.number] = attempt
        self.counters.add("sent")
        if attempt.number >= self._settings.most_attempts or not self._guard.may_begin(request, attempt):
            self._settle(attempt, Ended(attempt, i.Code.MOOT))
            return
        attempt.timer = self._timers.at(now + attempt.timeout_ms, attempt)
        if self.observer and store is not None and self._stores.is_own_cache(store):
            self.observer.sent(attempt.store, now)
        self.caches.send(attempt)

    # -- the Router -------------------------------------------------------------------------------

    def _decide(self, event: i.Event) -> None:
        try:
            actions = self._router.handle(event, self.clock.now())
        except Exception:  # one request's trouble must not end the others
            log.exception("the router failed on %s", type(event).__name__)
            self.counters.add("router_errors")
            if isinstance(event, i.Request) and event.id in self._open:
                self._finish(event.id, Answer(Result.FAILED))
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                self._note_defect(f"the action {type(action).__name__}")
                if isinstance(action, i.Send | i.Get | i.Serve | i.Refuse | i.Fail):
                    self._abandon(action.request)

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send() | i.Get():
                self._start(action)
            case i.Serve():
                self._serve(action)
            case i.Refuse() | i.Fail():
                self._end(action)
            case i.Cancel():
                if a := self._attempts.get((action.request, action.attempt)):
                    self._give_up(a, i.Code.CANCELLED)
            case i.SetTimer():
                self._timers.at(self.clock.now() + action.delay_ms, action.token)
                self._forget_timers()
            case i.Tell():
                self.counters.add("told_silent" if action.silent else "told_serving")
                if self.tell is not None:
                    self.tell(action.store, action.silent)

    def _forget_timers(self) -> None:
        """Lets go of the Router's timers for requests that are over, once there are many: it cancels none."""
        if len(self._timers) < self._forget_at:
            return
        self._timers.keep(lambda what: not isinstance(what, int) or self._router.awaits(what))
        self._forget_at = 2 * len(self._timers) + LEAST_TIMERS

    def _end(self, action: i.Refuse | i.Fail) -> None:
        request = self._open.get(action.request)
        if request is None:
            return
        late = request.last is i.Code.TIMEOUT and self.clock.now() >= request.deadline - MARGIN_MS
        if isinstance(action, i.Refuse):
            answer = Answer(Result.REFUSED, wait_ms=action.wait_ms, late=late, lacking=request.lacking)
        else:
            answer = Answer(Result.FAILED, late=late, lacking=request.lacking)
        self._finish(action.request, answer)

    def _listed(self, news: FleetNews) -> None:
        before = self._stores.starts
        members = self._stores.update(news)
        if self.caches:
            now = self._stores.starts
            for past in [store for store, started in before.items() if now.get(store) != started]:
                self.caches.forget(past)
        self.heard &= self._stores.ids
        self.counters.add("lists")
        if news.first and news.last:
            self._decide(i.Members(news.kind, tuple(members)))
            return
        self._decide(i.Members(i.ListKind.PARTIAL, tuple(members)))
        if news.last and news.kind is not i.ListKind.PARTIAL:
            self._decide(i.Members(i.ListKind.COMPLETE, tuple(self._stores.members())))

    def _by_hand(self, hand: Hand) -> None:
        known, changed = self._stores.by_hand(hand)
        if changed:
            self._decide(i.Members(i.ListKind.PARTIAL, tuple(changed)))
        if hand.answer is not None:
            hand.answer(known)
