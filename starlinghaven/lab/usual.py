"""A usual client beside crowds: one request after the other, answers are read, and each has its time."""

from __future__ import annotations

import itertools
import os
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import trio

from starlinghaven.lab.sizes import LARGE_KEY, WRITE_BYTES, large_key
from starlinghaven.protocol.resp import encode
from starlinghaven.standins.platform import Words

TTL_MS = 2_000
LATE_S = 0.5  # after its time an answer is lost (the page on the standing test)
PAUSE_S = 0.04  # between an answer and the next request
OBJECTS = 400  # small ones that it asks for


class RequestKind(StrEnum):
    """What a usual client asks for."""

    SMALL_READ = "small-read"
    LARGE_READ = "large-read"
    LARGE_WRITE = "large-write"


class Ending(StrEnum):
    """What became of a request."""

    SERVED = "served"
    LATE = "late"  # served after its time
    REFUSED = "refused"
    FAILED = "failed"
    CROSSED = "crossed"  # its connection was closed while nothing was open on it
    NONE = "none"  # no answer in its time and half a second
    UNREACHED = "unreached"  # no connection came up in its time


WORDS = {b"RESULT": Ending.SERVED, b"REJECT": Ending.REFUSED, b"ABORTED": Ending.FAILED}


@dataclass(frozen=True, slots=True)
class Outcome:
    """One request and its end."""

    kind: RequestKind
    ending: Ending
    took_s: float


class UsualClient:
    """Asks in turn for small and large objects, and writes. `outcomes` has what became of each request."""

    _ids = itertools.count(1)

    def __init__(self, address: tuple[str, int], random: Random, kinds: tuple[RequestKind, ...]) -> None:
        self._address, self._random, self._kinds = address, random, itertools.cycle(kinds)
        self._words: Words | None = None
        self._tag = 0
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await self.ask(next(self._kinds))
            await trio.sleep(PAUSE_S)

    async def ask(self, kind: RequestKind) -> Outcome:
        """One request to its end."""
        began = trio.current_time()
        ending = Ending.UNREACHED
        with trio.move_on_after(TTL_MS / 1000 + LATE_S):
            words = self._words or await self._connect()
            if words is not None:
                ending = Ending.NONE
                ending = await self._asked(words, kind)
        took_s = trio.current_time() - began
        if ending is Ending.SERVED and took_s > TTL_MS / 1000:
            ending = Ending.LATE
        if ending in (Ending.CROSSED, Ending.NONE):
            await self._leave()
        outcome = Outcome(kind, ending, took_s)
        self.outcomes.append(outcome)
        return outcome

    async def _connect(self) -> Words | None:
        try:
            stream = await trio.open_tcp_stream(*self._address)
        except OSError:
            return None
        self._words, self._tag = Words(stream), 0
        return self._words

    async def _leave(self) -> None:
        words, self._words = self._words, None
        if words is not None:
            await trio.aclose_forcefully(words.stream)

    async def _asked(self, words: Words, kind: RequestKind) -> Ending:
        self._tag += 1
        try:
            await words.send(self._worded(kind))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return Ending.CROSSED
        answer = await words.read()
        return Ending.CROSSED if answer is None else WORDS[answer[1]]

    def _worded(self, kind: RequestKind) -> bytes:
        call = f"a{os.getpid() % 2**20:05x}{next(self._ids):010x}"
        fields = f"call={call},ttl={TTL_MS}"
        if kind is RequestKind.LARGE_WRITE:
            fields += f",dedupe={call}"
            return encode(b"RPC.CALL", b"%d" % self._tag, b"depot", fields.encode(), b"w" * WRITE_BYTES)
        number = self._random.randrange(OBJECTS)
        key = large_key(number) if kind is RequestKind.LARGE_READ else f"{number & ~LARGE_KEY:016x}"
        fields += f",row={key},block=0,family={number % 4}"
        return encode(b"RPC.CALL", b"%d" % self._tag, b"pieces", fields.encode(), b"")
