"""The platform's front: a thin layer between its client protocol and the engine."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from starlinghaven import interface as i
from starlinghaven.program.peers import Peers
from starlinghaven.protocol import ProtocolError, platform
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Answer, Ask, Counters, Left, Result, Taken
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

IDLE_S = 30.0  # seconds after which a connection with nothing open is closed; clients do so after 4
TAGS_APART = 4_096  # used tags kept one by one, from which a connection is closed once nothing is open
MOST_TAGS_APART = 4 * TAGS_APART  # ... and at which it is closed in any case


class _Ticket:
    """One request of a client's connection."""

    def __init__(self, client: _Client, tag: int) -> None:
        self._client, self._tag = client, tag

    def answer(self, answer: Answer) -> None:
        match answer.result:
            case Result.SERVED:
                text = platform.served(self._tag, answer.body)
            case Result.UNCHANGED:
                text = platform.unchanged(self._tag)
            case Result.REFUSED:
                text = platform.refused(self._tag, answer.wait_ms)
            case Result.FAILED:
                text = platform.failed(self._tag)
        self._client.closes(self._tag, text)


class _Client:
    """One connection: its tags, and the requests open on it."""

    def __init__(self, front: PlatformFront, connection: Connection) -> None:
        self.connection, self._front = connection, front
        self._reader = platform.reader()
        self._used_to = 0  # all tags up to this one have been used
        self._used: set[int] = set()  # those used above it
        self.open: dict[int, _Ticket] = {}

    async def feed(self, ring: Ring) -> int:
        try:
            while (words := self._reader.next(ring)) is not None:
                await self._message(words)
        except ProtocolError as error:
            self._front.counters.add("bad_input")
            log.info("client closed for bad input: %s", error)
            self.connection.abort()
        return self._reader.wanted

    async def _message(self, words: list[bytes]) -> None:
        try:
            message = platform.parse(words)
        except platform.BadCall as bad:
            self._new_tag(bad.tag)
            self._front.counters.add("bad_input")
            log.info("call failed for bad input: %s", bad)
            self.connection.write(platform.failed(bad.tag))
            return
        match message:
            case platform.Cancel():
                if ticket := self.open.pop(message.tag, None):
                    await self._front.engine.post(Left(ticket))
            case platform.Health():
                self._new_tag(message.tag)
                self.connection.write(platform.health(message.tag, self._front.state()))
            case platform.Call():
                self._new_tag(message.tag)
                await self._call(message)

    def _new_tag(self, tag: int) -> None:
        """A tag used again can't be answered without doubt which request is meant.

        Tags mostly count up, so that only the gaps cost memory; far too many of them end the connection.
        """
        if tag <= self._used_to or tag in self._used:
            raise ProtocolError("a tag is used again")
        if len(self._used) >= MOST_TAGS_APART:
            raise ProtocolError("too many tags with gaps between them")
        self._used.add(tag)
        while self._used_to + 1 in self._used:
            self._used_to += 1
            self._used.remove(self._used_to)

    async def _call(self, call: platform.Call) -> None:
        cls = self._front.classes.get(call.cls)
        if cls is None or not call.row and not self._front.settings.classes[cls].uncached:
            self._front.counters.add("bad_input")
            self.connection.write(platform.failed(call.tag))
            return
        if len(self.open) >= platform.MOST_OPEN:
            self._front.counters.add("bad_input")
            self.connection.write(platform.refused(call.tag, self._front.settings.most_wait_ms))
            return
        ticket = self.open[call.tag] = _Ticket(self, call.tag)
        ask = Ask(
            id=call.id,
            cls=cls,
            taken_ms=self._front.engine.clock.now(),
            patience_ms=call.ttl_ms,
            key=call.row,
            part=call.block,
            group=call.family,
            size_kb=call.size_kb,
            idem=call.dedupe,
            have=call.cached,
            again=call.again,
            body=call.body,
        )
        await self._front.engine.post(Taken(ask, ticket))

    def closes(self, tag: int, text: bytes) -> None:
        """Writes a request's final answer, unless its client has left."""
        if self.open.pop(tag, None):
            self.connection.write(text)
            if len(self._used) >= TAGS_APART and not self.open:
                self.connection.finish()

    @property
    def busy(self) -> bool:
        return bool(self.open)

    @property
    def since(self) -> float:
        return self.connection.heard_at

    async def leave(self) -> None:
        gone, self.open = self.open, {}
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
    ) -> None:
        self.engine, self.settings, self.state, self.counters = engine, settings, state, counters
        self.classes = {name: n for n, name in enumerate(classes)}
        self.peers = Peers(listener, self._connected, IDLE_S)

    def _connected(self, connection: Connection) -> _Client:
        self.counters.add("connections")
        return _Client(self, connection)
