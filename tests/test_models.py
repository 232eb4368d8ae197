"""Models of states, against which random steps are checked: ring, client's connection, request."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from starlinghaven import interface as i
from starlinghaven.memory import NoMemory, own_account
from starlinghaven.program.fronts.platform import MOST_BAD, Client, PlatformFront
from starlinghaven.protocol.resp import encode
from starlinghaven.routing.types import (
    Answer,
    Ask,
    Attempt,
    Counters,
    Ended,
    FleetNews,
    Left,
    PurgeNews,
    Result,
    Taken,
)  # fmt: skip
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.ring import Ring
from tests.helpers import SETTINGS
from tests.steps import STORES, Posts, Recorder, Stores, Time, Wire, drive, engine

LIMIT = 64 * 1024
CALLS = st.integers(0, 9) | st.integers(0, 1 << 30)
TAGS = st.integers(1, 4) | st.integers(1, 60)


class RingModel(RuleBasedStateMachine):
    """A ring holds what a plain string of bytes would, within its memory."""

    def __init__(self) -> None:
        super().__init__()
        self.account = own_account(LIMIT)
        self.ring, self.held = Ring(self.account), b""

    @rule(n=st.integers(0, 3000) | st.integers(0, LIMIT), word=st.binary(min_size=1, max_size=7))
    def put(self, n: int, word: bytes) -> None:
        data = (word * n)[:n]
        try:
            self.ring.put(data)
            self.held += data
        except NoMemory:
            assert len(self.held) + len(data) > LIMIT / 4

    @rule(n=st.integers(1, 3000), word=st.binary(min_size=1, max_size=7))
    def fill(self, n: int, word: bytes) -> None:
        data, space = (word * n)[:n], self.ring.space()
        n = min(len(space), len(data))
        space[:n] = data[:n]
        self.ring.filled(n)
        self.held += data[:n]

    @rule(share=st.floats(0, 1), keep=st.booleans())
    def take(self, share: float, keep: bool) -> None:
        n = int(share * len(self.held))
        assert self.ring.take(n, keep=keep) == self.held[:n]
        self.held = self.held if keep else self.held[n:]

    @rule()
    def line(self) -> None:
        before, end, after = self.held[:40].partition(b"\r\n")
        assert self.ring.line(40) == (before if end else None)
        self.held = after + self.held[40:] if end else self.held

    @rule()
    def skip_the_head(self) -> None:
        head = bytes(self.ring.head())
        assert self.held.startswith(head) and bool(head) == bool(self.held)
        self.ring.skip(len(head))
        self.held = self.held[len(head) :]

    @invariant()
    def memory_is_counted_and_given_back(self) -> None:
        assert self.ring.size == len(self.held) and self.account.held == self.ring.capacity <= LIMIT
        assert self.held or not self.ring.capacity, "an empty ring holds no memory"

    def teardown(self) -> None:
        self.ring.close()
        assert self.account.held == 0


class ClientModel(RuleBasedStateMachine):
    """A tag is new, open, and then answered once or left; misuse closes the connection for good."""

    def __init__(self) -> None:
        super().__init__()
        self.wire, self.posts, self.ring = Wire(), Posts(), Ring(own_account(1 << 24))
        front = SimpleNamespace(
            engine=self.posts, settings=SETTINGS, counters=Counters(), classes={"video": 0},
            state=lambda: b"READY", closed=False, served=None, answers=own_account(1 << 20),
            tags=own_account(1 << 20),
        )  # fmt: skip
        self.client = Client(cast(PlatformFront, front), cast(Connection, self.wire))
        self.state: dict[int, str] = {}
        self.tickets: dict[int, Any] = {}
        self.owed = 0  # answers that must have been written
        self.bad = 0  # calls that could not be used

    def say(self, *words: bytes) -> None:
        for piece in (encode(*words)[:9], encode(*words)[9:]):
            self.ring.put(piece)
            drive(self.client.feed(self.ring))

    def call(self, tag: int, fields: bytes) -> None:
        self.say(b"RPC.CALL", b"%d" % tag, b"video", fields, b"")

    @precondition(lambda self: not self.wire.closed)
    @rule(tag=TAGS, good=st.booleans())
    def ask(self, tag: int, good: bool) -> None:
        count, were = len(self.posts.events), list(self.client.open)
        used, full = tag in self.state, len(self.client.open) >= 32
        self.call(tag, b"call=%016x,ttl=900,row=%016x" % (tag, tag) if good else b"call=0,ttl=x")
        self.bad += not good and not used
        closes = used or good and full or self.bad >= MOST_BAD
        assert self.wire.closed == closes
        if closes or not good:
            new = self.posts.events[count:]
            left = [Left(self.tickets[t]) for t in were] if closes else []
            assert new == left, "nothing of it is sent on"
            self.owed += not used and not good
            self.state.setdefault(tag, "answered")
            for t in were if closes else ():
                self.state[t] = "left"
        else:
            taken = self.posts.events[-1]
            assert isinstance(taken, Taken) and taken.ask.key == f"{tag:016x}"
            self.tickets[tag], self.state[tag] = taken.ticket, "open"

    @precondition(lambda self: not self.wire.closed)
    @rule(tag=TAGS)
    def cancel(self, tag: int) -> None:
        count = len(self.posts.events)
        self.say(b"RPC.CANCEL", b"%d" % tag)
        assert len(self.posts.events) - count == (self.state.get(tag) == "open")
        if self.state.get(tag) == "open":
            assert self.posts.events[-1] == Left(self.tickets[tag])
            self.state[tag] = "left"

    @precondition(lambda self: not self.wire.closed)
    @rule(data=st.data(), result=st.sampled_from(Result))
    def answer(self, data: st.DataObject, result: Result) -> None:
        if self.tickets:
            tag = data.draw(st.sampled_from(sorted(self.tickets)))
            self.tickets[tag].answer(Answer(result, b"x"))
            self.owed += self.state[tag] == "open"
            self.state[tag] = "answered" if self.state[tag] == "open" else self.state[tag]

    @rule()
    def end(self) -> None:
        drive(self.client.leave())
        for tag, state in self.state.items():
            self.state[tag] = "left" if state == "open" else state

    @invariant()
    def each_request_is_answered_at_most_once(self) -> None:
        assert len(self.wire.written) == self.owed
        if not self.wire.closed:
            assert {t for t, s in self.state.items() if s == "open"} == set(self.client.open)


class RequestModel(RuleBasedStateMachine):
    """A request is open until its one final answer; one attempt at once; the deadline ends it."""

    def __init__(self) -> None:
        super().__init__()
        self.time, self.stores = Time(), Stores()
        self.engine = engine(self.time, self.stores)
        self.open: dict[Recorder, float] = {}
        self.ids: dict[Recorder, str] = {}  # of those open
        self.over: dict[Recorder, int] = {}  # answers at the end: one, or none for who has left
        self.gone: set[str] = set()
        self.seen = 0

    def settle(self) -> None:
        """Moves requests that were answered just now to those that are over."""
        for ticket in [t for t in self.open if t.answers]:
            del self.open[ticket], self.ids[ticket]
            self.over[ticket] = 1

    @rule(key=st.integers(0, 9), cls=st.integers(0, 2), patience=st.integers(60, 3000), n=CALLS)
    def take(self, key: int, cls: int, patience: int, n: int) -> None:
        """The id of a request that is open, or has begun, is failed at once, and touches nothing else."""
        ticket, now = Recorder(), self.engine.clock.now()
        begun = {attempt.ask.id for attempt in self.stores.sent}
        again = f"{n:x}" in begun or f"{n:x}" in self.ids.values()
        self.open[ticket], sent = now + patience, len(self.stores.sent)
        self.ids[ticket] = f"{n:x}"
        ask = Ask(id=f"{n:x}", cls=cls, taken_ms=now, patience_ms=patience, key=str(key))
        self.engine.handle(Taken(ask, ticket))
        if again:
            assert ticket.answers == [Answer(Result.FAILED)] and len(self.stores.sent) == sent
        self.settle()

    @precondition(lambda self: self.stores.out)
    @rule(data=st.data(), code=st.sampled_from(i.Code))
    def attempt_ends(self, data: st.DataObject, code: i.Code) -> None:
        attempt: Attempt = data.draw(st.sampled_from(self.stores.out))
        self.stores.out.remove(attempt)
        self.engine.handle(Ended(attempt, code, b"x"))
        self.settle()

    @precondition(lambda self: self.stores.given_up)
    @rule(data=st.data())
    def late_answer(self, data: st.DataObject) -> None:
        attempt: Attempt = data.draw(st.sampled_from(self.stores.given_up))
        self.engine.handle(Ended(attempt, i.Code.OK, b"late"))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        ticket = data.draw(st.sampled_from(list(self.open)))
        self.engine.handle(Left(ticket))
        del self.open[ticket], self.ids[ticket]
        self.over[ticket] = 0

    @rule(ms=st.integers(1, 1500))
    def wait(self, ms: int) -> None:
        self.time.s += ms / 1000
        self.engine.run_due()
        self.settle()

    @precondition(lambda self: self.stores.out)
    @rule(ms=st.integers(0, 30))
    def wait_for_a_time_out(self, ms: int) -> None:
        due = min(a.sent_ms + a.timeout_ms for a in self.stores.out)
        self.wait(max(ms + round(due - self.engine.clock.now()), 1))

    @rule(n=st.integers(0, 3), phase=st.sampled_from(i.Phase))
    def list_changes(self, n: int, phase: i.Phase) -> None:
        changed = replace(STORES[n], phase=phase)
        self.engine.handle(FleetNews(i.ListKind.PARTIAL, (changed,)))
        up = phase is i.Phase.UP and changed.id in self.engine.fleet_ids
        (self.gone.discard if up else self.gone.add)(changed.id)

    @rule(n=st.integers(0, 3), new=st.integers(4, 6))
    def an_address_passes_to_another_store(self, n: int, new: int) -> None:
        """The old id is not told as gone, and must not be sent to: the new store would get it."""
        passed = replace(STORES[n], id=f"s-{new}", started_unix_ms=1000 * self.time.s)
        before = self.engine.fleet_ids
        self.engine.handle(FleetNews(i.ListKind.PARTIAL, (passed,)))
        self.gone.discard(passed.id)
        moved = before - self.engine.fleet_ids
        assert passed.id in self.engine.fleet_ids and moved <= set(self.stores.forgotten)
        self.gone |= moved

    @rule(key=st.integers(0, 9))
    def purge(self, key: int) -> None:
        self.engine.handle(PurgeNews(0, str(key), 1000 * self.time.s))

    @invariant()
    def one_final_answer_each_and_in_time(self) -> None:
        assert all(len(t.answers) == n for t, n in self.over.items())
        assert all(not t.answers and end > self.engine.clock.now() for t, end in self.open.items())
        assert self.engine.open_requests == len(self.open)

    @invariant()
    def nothing_new_goes_to_stores_that_leave(self) -> None:
        new, self.seen = self.stores.sent[self.seen :], len(self.stores.sent)
        assert not self.gone & ({a.store for a in new} | {a.source for a in new})


TestRing = RingModel.TestCase
TestClient = ClientModel.TestCase
TestRequest = RequestModel.TestCase
