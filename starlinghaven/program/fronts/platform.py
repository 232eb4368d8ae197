"""The platform's front: a thin layer between its client protocol and the engine."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from starlinghaven import interface as i
from starlinghaven.memory import Account, NoMemory
from starlinghaven.program.fronts.clients import Clients
from starlinghaven.program.fronts.used_tags import UsedTags
from starlinghaven.protocol import ProtocolError, handover, platform
from starlinghaven.protocol.unread import UnreadCancels
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Answer, Ask, Counters, Left, Result, Taken
from starlinghaven.transport.connection import MOST_UNSENT, Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

IDLE_S = 5.0  # seconds after which a connection with nothing open is closed; clients do so after 4
WHOLE_S = 2.5  # seconds that a message may take; usual ones take up to 2, and bad ones are owed an end in 3
SHUN_S = 1.0  # seconds for which a connection that broke the protocol is kept unread before its end
OFFER_AGAIN_S = 0.05  # seconds between two offers of connections to a successor
MOST_BAD = 8  # calls that can't be used on a connection, with which it is at its end
SHORT_ANSWERS = 4 * 1024  # bytes unsent up to which a connection may use all memory for answers


class Relay(Protocol):
    """The way to the process that takes this one's connections over."""

    @property
    def closed(self) -> bool:
        """Whether nothing more can be handed over."""

    async def hand(self, client: Client) -> bool:
        """Hands a resting connection over, by what `client.offer` lists; whether the other process has it."""

    def answered(self, client: Client, tag: int, text: bytes) -> None:
        """Passes an answer on to the process that has the connection."""

    def has_left(self, client: Client, tag: int) -> bool:
        """Whether the client took a tag back or has ended its connection, as far as it can be seen here."""


class Lender(Protocol):
    """The way to the process that still answers some tags of a connection."""

    def withdrawn(self, client: Client, tag: int) -> None: ...

    def left(self, client: Client) -> None: ...


class _Ticket:
    """One request of a client's connection."""

    __slots__ = ("_client", "_tag", "held", "id")

    def __init__(self, client: Client, tag: int, id: str, held: int) -> None:
        """`held`: bytes of the budget that it holds."""
        self._client, self._tag, self.id, self.held = client, tag, id, held

    @property
    def left(self) -> bool:
        """Whether the client has gone: it took this back, or has ended its connection, read or not."""
        return self._client.open.get(self._tag) is not self or self._client.has_left(self._tag)

    def answer(self, answer: Answer) -> None:
        match answer.result:
            case Result.SERVED:
                text = platform.served(self._tag, answer.body)
                self._client.completed()
            case Result.UNCHANGED:
                text = (platform.unchanged(self._tag),)
                self._client.completed()
            case Result.REFUSED:
                text = (platform.refused(self._tag, answer.wait_ms),)
            case Result.FAILED:
                text = (platform.failed(self._tag),)
        self._client.closes(self._tag, text)


Text = tuple[bytes, ...]
"""An answer as it is written, in pieces."""


class Client:
    """One connection: its tags, and the requests open on it."""

    __slots__ = (
        *("_answered_at", "_bad", "_cancels", "_fresh", "_front", "_held", "_offered_to", "_reader"),
        *("_tags", "amid", "connection", "ends_at", "held", "lender", "lent", "number", "open", "relay"),
    )

    def __init__(self, front: PlatformFront, connection: Connection) -> None:
        self.connection, self._front = connection, front
        connection.high_water = MOST_UNSENT  # a cancel may lie behind answers that are not read
        self._reader = platform.reader()
        self._tags = UsedTags(front.tags)
        self._bad = 0  # calls that could not be used
        self.open: dict[int, _Ticket] = {}
        self.held = 0  # bytes of the budget that those hold
        self.relay: Relay | None = None  # where answers go, once another process has the connection
        self._offered_to: Relay | None = None  # while another process may have it already
        self.number = 0  # of the connection on that way
        self._held: list[tuple[int, Text]] | None = None  # answers that came while it is handed over
        self.lent: set[int] | None = None  # tags that an older process still answers
        self.lender: Lender | None = None
        self.ends_at = time.monotonic() + WHOLE_S
        self._answered_at = math.inf
        self.amid = False  # a message has begun
        self._cancels: UnreadCancels | None = None  # found in unread input, once that was looked through
        self._fresh: list[Taken] = []  # taken from what came in just now, not told to the engine yet

    async def feed(self, ring: Ring) -> int:
        whole = False
        try:
            while (words := self._reader.next(ring)) is not None:
                await self._message(words)
                whole = True
        except ProtocolError as error:
            self._front.counters.add("bad_input")
            log.info("client closed for bad input: %s", error)
            for taken in self._fresh:
                self._front.engine.withdraw(taken)
            self._fresh.clear()
            await self.leave()
            self.connection.shun(SHUN_S)
            return 1
        fresh, self._fresh = self._fresh, []
        for taken in fresh:
            await self._front.engine.post(taken)
        amid = ring.size > 0
        if whole or amid and not self.amid:
            self.ends_at = time.monotonic() + (WHOLE_S if amid else IDLE_S)
        self.amid = amid
        return self._reader.wanted

    def _fail(self, tag: int, why: object) -> None:
        """Answers a call that can't be used; nothing of it is sent on."""
        self._front.counters.add("bad_input")
        log.info("call failed for bad input: %s", why)
        self._write_short(platform.failed(tag))
        self._bad += 1
        if self._bad >= MOST_BAD:
            raise ProtocolError("too many calls that can't be used")

    async def _message(self, words: list[bytes]) -> None:
        try:
            message = platform.parse(words)
        except platform.BadCall as bad:
            self._use_tag(bad.tag)
            return self._fail(bad.tag, bad)
        match message:
            case platform.Cancel():
                await self.withdraw(message.tag)
            case platform.Health():
                self._use_tag(message.tag)
                self._write_short(platform.health(message.tag, self._front.state()))
            case platform.Call():
                self._use_tag(message.tag)
                self._call(message)

    def _use_tag(self, tag: int) -> None:
        """Notes a tag. Errors: ProtocolError for one that is open, or known to have been used."""
        if tag in self.open or self.lent and tag in self.lent:
            raise ProtocolError("the tag of an open call is used again")
        if self._tags.use(tag):
            self._front.counters.add("tags_forgotten")

    def _write_short(self, text: bytes) -> None:
        """Writes a few bytes that answer no open request: a client that reads none of them is cut off."""
        self.connection.write(text, leave=self._left_to_others(len(text)))

    def _left_to_others(self, size: int) -> int:
        """Bytes of the memory for answers that are left free where so many are to be written.

        The memory goes to those first who read what they are answered: see `routing.request_memory`.
        """
        unsent = self.connection.unsent
        if unsent + size <= SHORT_ANSWERS or not (unsent or self.open):
            return 0
        return max(self._front.answers.reserve, unsent)

    @property
    def alone(self) -> bool:
        """Whether it asks for nothing else at this time, and has read what it was answered."""
        connection = self.connection
        return not (self.busy or connection.unsent or connection.unread or connection.pending)

    async def withdraw(self, tag: int) -> None:
        """Guards against calls withdrawn by the hundreds: what came in together is never sent out."""
        if self._cancels is not None:
            self._cancels.tags.discard(tag)
        if self.lent and tag in self.lent and self.lender:
            self.lent.remove(tag)
            self.lender.withdrawn(self, tag)
        if (ticket := self._closed(tag)) is None:
            return
        for taken in self._fresh:
            if taken.ticket is ticket:
                self._fresh.remove(taken)
                self._front.engine.withdraw(taken)
                return
        await self._front.engine.post(Left(ticket))

    def _closed(self, tag: int) -> _Ticket | None:
        """The one place where a request is taken off the connection; None if it is not open."""
        ticket = self.open.pop(tag, None)
        if ticket is not None:
            self.held -= ticket.held
        return ticket

    def has_left(self, tag: int) -> bool:
        """Whether the client has ended its connection or taken a tag back, be that read or not."""
        if self.relay is not None:
            return self.relay.has_left(self, tag)
        if self.connection.hung_up:
            return True
        if self._shows_cancel(tag):
            self._front.counters.add("cancels_found_unread")
            return True
        return self._offered_to is not None and self._offered_to.has_left(self, tag)

    def _shows_cancel(self, tag: int) -> bool:
        """Whether the cancel of a tag has come in and lies unread."""
        if self._cancels is not None and tag in self._cancels.tags:
            return True
        if not (unread := self.connection.unread_input()):
            return False
        if self._cancels is None:
            self._cancels = UnreadCancels()
        self._cancels.look(unread, self.connection.received - self.connection.unread)
        return tag in self._cancels.tags

    def _call(self, call: platform.Call) -> None:
        if problem := self._problem(call):
            return self._fail(call.tag, problem)
        if len(self.open) + len(self.lent or ()) >= platform.MOST_OPEN:
            raise ProtocolError("too many calls open")
        if any(t.id == call.id for t in self.open.values()):
            raise ProtocolError("the id of an open call is used again")
        if self._front.closed:
            self._write_short(platform.refused(call.tag, self._front.settings.pushback_ms))
            return
        cls = self._front.classes[call.cls]
        read_ms = self._front.engine.clock.now()
        ask = Ask(
            id=call.id,
            cls=cls,
            taken_ms=read_ms - 1000 * self.connection.unread_for_s(),
            read_ms=read_ms,
            patience_ms=call.ttl_ms,
            key=call.row,
            part=call.block,
            group=call.family or 0,
            purgeable=call.family is not None,
            size_kb=call.size_kb,
            idem=call.dedupe,
            have=call.cached,
            again=call.again,
            body=call.body,
        )
        admission = self._front.engine.admit(ask, self) if self._reads_answers() else None
        if admission is None:
            self._write_short(platform.refused(call.tag, self._front.settings.pushback_ms))
            return
        ticket = self.open[call.tag] = _Ticket(self, call.tag, call.id, admission.held)
        self.held += admission.held
        self._fresh.append(Taken(ask, ticket, admission.held, admission.alone))

    def _reads_answers(self) -> bool:
        """Whether a further answer may be added to those that its client has yet to read."""
        unsent = self.connection.unsent
        if not unsent or self._front.answers.allows(unsent, self._front.answers.reserve):
            return True
        self._front.answers.refuse()
        self._front.counters.add("refused_unread")
        return False

    def _problem(self, call: platform.Call) -> str:
        """What can't be served whatever the stores do; empty if nothing is wrong.

        Guards against figures out of range. They would hold memory for hours (a time to wait), or weigh in
        the decisions for all (a size).
        """
        settings = self._front.settings
        if call.cls not in self._front.classes:
            return "no such class"
        cls = settings.classes[self._front.classes[call.cls]]
        if not call.row and not cls.uncached:
            return "no object"
        if cls.effect is i.Effect.KEYED and not call.dedupe:
            return "no idempotency key"
        most_ms = platform.SLACK * cls.give_up_ms
        if call.ttl_ms > most_ms:
            return "ttl out of range"
        if settings.pace_kb_per_s and 1000 * call.size_kb / settings.pace_kb_per_s > most_ms:
            return "size out of range"
        return ""

    def completed(self) -> None:
        """A request of this connection was served: admission may count its client as known."""
        if self._front.served is not None:
            self._front.served(self.connection.peer)

    def closes(self, tag: int, text: Text) -> None:
        """Writes a request's final answer, unless its client has left."""
        if self._closed(tag) is not None:
            self._deliver(tag, text)

    def returned(self, tag: int, text: bytes = b"") -> None:
        """What an older process answers to a tag that it kept; it fails if that process is gone."""
        if not self.lent or tag not in self.lent:
            self._front.note_unclaimed(tag, "it was not open, or was withdrawn")
            return
        self.lent.remove(tag)
        self._deliver(tag, (text or platform.failed(tag),))

    def _deliver(self, tag: int, text: Text) -> None:
        """Gives a final answer to whoever has the connection."""
        if self._held is not None:
            self._hold(tag, text)
        elif self.relay is not None:
            self.relay.answered(self, tag, b"".join(text))
        else:
            self._say(tag, text)

    def _hold(self, tag: int, text: Text) -> None:
        """Keeps an answer until it is known who has the connection; without memory for it, it fails."""
        assert self._held is not None
        try:
            self._front.answers.take(sum(map(len, text)))
        except NoMemory:
            self._front.counters.add("answers_not_written")
            text = (platform.failed(tag),)
            self._front.answers.take_always(len(text[0]))
        self._held.append((tag, text))

    def _say(self, tag: int, text: Text) -> None:
        size = sum(map(len, text))
        instead = text[0] if len(text) == 1 else platform.failed(tag)  # short ones always pass
        if not self.connection.write(*text, instead=instead, leave=self._left_to_others(size)):
            self._front.counters.add("answers_not_written")
            log.warning("no memory for an answer of %d bytes to %s", size, self.connection.peer)
        self._answered_at = time.monotonic()
        self.ends_at = max(self.ends_at, time.monotonic() + (WHOLE_S if self.amid else IDLE_S))

    @property
    def busy(self) -> bool:
        return bool(self.open or self.lent or self._held)

    @property
    def rests_since(self) -> float:
        return math.inf if self.amid else self._answered_at

    def delivering(self) -> None:
        """What was answered is still being read."""
        self._answered_at = time.monotonic()
        self.ends_at = max(self.ends_at, self._answered_at + IDLE_S)

    def offer(self, number: int) -> handover.Offered:
        """All that another process must know to go on, but for the bytes that the connection holds.

        What it lists must not change any more, so that answers are held from this very moment on: one before
        it is written here, one after it is listed as open.
        """
        self._held = []
        connection = self.connection
        return handover.Offered(
            number=number,
            memory=connection.memory,
            unread=connection.unread,
            unsent=connection.unsent,
            came_after=connection.unread_came_after(),
            tags=handover.Tags(self._tags.up_to, self._tags.apart, (*self.open, *(self.lent or ()))),
        )

    def resume(self, tags: handover.Tags, lender: Lender) -> None:
        """Goes on where another process stopped."""
        self._tags.restore(tags.used_to, tags.used)
        self.lent, self.lender = set(tags.open), lender
        self._answered_at = time.monotonic()
        self.ends_at = self._answered_at + IDLE_S

    async def hand_over(self, relay: Relay) -> bool:
        """Offers the connection to another process; whether that one has it.

        Answers that come once it is offered are held, and then go to whoever has the connection.
        """

        async def transfer() -> bool:
            self._offered_to, taken = relay, False
            try:
                taken = await relay.hand(self)
            finally:
                held, self._held, self._offered_to = self._held, None, None
                self.relay = relay if taken else self.relay
                for tag, text in held or ():
                    self._front.answers.give(sum(map(len, text)))
                    self._deliver(tag, text)
            return taken

        return await self.connection.hand_over(transfer)

    async def leave(self) -> None:
        if self.connection.closed:
            self._tags.close()
        if self.connection.handed_over:
            return  # what is open goes on, and is answered by way of the process that has it
        await self.give_up()

    async def give_up(self) -> None:
        """Nothing of what is open is wanted any more."""
        if self.lender:
            self.lender.left(self)
        gone, self.open, self.held = self.open, {}, 0
        self.lent = None
        for ticket in gone.values():
            await self._front.engine.post(Left(ticket))


class PlatformFront:
    """Speaks the platform's protocol with its clients."""

    def __init__(
        self,
        engine: Engine,
        settings: i.Settings,
        classes: Sequence[str],
        state: Callable[[], bytes],
        listener: Listener,
        counters: Counters,
        answers: Account,
        tags: Account,
    ) -> None:
        """`answers` has the memory for what clients have yet to read, `tags` for the tags that they use."""
        self.engine, self.settings, self.state, self.counters = engine, settings, state, counters
        self.answers, self.tags = answers, tags
        self.classes = {name: n for n, name in enumerate(classes)}
        self.clients = Clients(listener, self._connected)
        self.closed = False  # what still comes is refused: the program ends
        self.served: Callable[[str], None] | None = None  # told the client's address of each request served

    async def hand_over(self, relay: Relay) -> None:
        """Accepts nothing more, and gives the connections to the process behind the relay.

        Those that hold little go first: most clients are not kept waiting by those that read slowly. One that
        is refused is offered again: room for it may come.
        """
        self.clients.stop()
        while not relay.closed and (clients := [c for c in self.clients.all if c.connection.usable]):
            for client in sorted(clients, key=lambda c: c.connection.unsent):
                if not relay.closed and isinstance(client, Client):
                    await client.hand_over(relay)
            await trio.sleep(OFFER_AGAIN_S)

    def note_unclaimed(self, tag: int, why: str) -> None:
        """An answer that crossed an upgrade reaches nobody: the one place where it is given up."""
        self.counters.add("answers_unclaimed")
        log.warning("the answer to tag %d of an older process is dropped: %s", tag, why)

    def take_over(self, connection: Connection, tags: handover.Tags, lender: Lender) -> Client:
        """Goes on with a connection that another process gives."""
        client = self._connected(connection)
        client.resume(tags, lender)
        self.clients.adopt(client)
        return client

    def _connected(self, connection: Connection) -> Client:
        self.counters.add("connections")
        return Client(self, connection)
