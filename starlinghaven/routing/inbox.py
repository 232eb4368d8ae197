"""The engine's queue of events.

News of the change log goes first, then ends of requests and attempts, then requests of clients that ask for
one thing at a time.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator

import trio

from starlinghaven.routing.clock import Clock
from starlinghaven.routing.types import Ended, Event, FleetNews, Left, LogNews, Taken

MOST_NEWS = 1024  # purges and lines of stores of the change log that may wait
QUEUE = 256  # other events that may wait, with up to 240 KB each; socket code waits when it is full
CROWDED = QUEUE // 2  # events that wait, from which requests come faster than they are taken

End = Left | Ended
"""Tells that something is over. It is handled ahead of requests that are new."""


class _Wake:
    """Stands in the queue for news and ends that wait beside it."""


_WAKE = _Wake()


class Inbox:
    """Many tasks post, one takes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._send, self._receive = trio.open_memory_channel[Event | _Wake](QUEUE)
        self._news: deque[LogNews] = deque()
        self._news_lines = 0  # what they tell, each line of a store by itself
        self._news_taken = trio.Event()
        self._lone: deque[Taken] = deque()  # requests whose client asks for nothing else at this time
        self._ends: deque[End] = deque()
        self._ends_taken = trio.Event()
        self.waits_since: float | None = None  # ms since the last turn, or since a post if nothing was left

    @property
    def waiting(self) -> int:
        """Events in the queue, not yet taken."""
        return self._receive.statistics().current_buffer_used + len(self._ends) + len(self._lone)

    @property
    def crowded(self) -> bool:
        """Whether new requests come faster than they are taken."""
        return self._receive.statistics().current_buffer_used >= CROWDED

    async def post(self, event: Event) -> None:
        """Puts an event in. Waits while the queue is full.

        News of the change log has a queue of its own, which is emptied before anything else is handled: a
        purge or a drain must not wait behind the requests that it binds. So have ends: what is over must not
        be taken for open, by decisions or by time-outs, while new requests are handled. Clients that ask for
        one thing at a time do not wait behind the pipes of others; each has one such request at most.
        """
        if isinstance(event, LogNews):
            await self._post_news(event)
            return
        if self.waits_since is None:
            self.waits_since = self._clock.now()
        if isinstance(event, End):
            await self._post_end(event)
        elif isinstance(event, Taken) and event.alone:
            self._lone.append(event)
            self._wake()
        else:
            await self._send.send(event)

    async def _post_end(self, end: End) -> None:
        """Answers may wait for room, as they bring bytes; that a client has left is told at once."""
        self._ends.append(end)
        if len(self._ends) == 1:
            self._wake()
        while isinstance(end, Ended) and len(self._ends) > QUEUE:
            if self._ends_taken.is_set():  # else others wait for it already
                self._ends_taken = trio.Event()
            await self._ends_taken.wait()

    def _wake(self) -> None:
        with contextlib.suppress(trio.WouldBlock):  # a full queue wakes the engine by itself
            self._send.send_nowait(_WAKE)

    async def _post_news(self, news: LogNews) -> None:
        self._news.append(news)
        self._news_lines += _lines(news)
        self._wake()
        while self._news_lines > MOST_NEWS:
            if self._news_taken.is_set():  # else others wait for it already
                self._news_taken = trio.Event()
            await self._news_taken.wait()

    async def receive(self, within_s: float) -> Event | None:
        """The next event that is neither news nor an end; None if there is none in time, or only those."""
        with trio.move_on_after(within_s):
            event = await self._receive.receive()
            return None if isinstance(event, _Wake) else event
        return None

    def batch(self, most: int) -> Iterator[Event]:
        """What is in the queue already, news and ends aside."""
        for _ in range(most):
            try:
                event = self._receive.receive_nowait()
            except trio.WouldBlock:
                return
            if not isinstance(event, _Wake):
                yield event

    def turned(self) -> None:
        """The engine has taken what it takes in one turn: what is left waits from now on."""
        self.waits_since = self._clock.now() if self.waiting else None

    def ends(self) -> Iterator[End]:
        """All ends, in order; whoever waited for room goes on."""
        while self._ends:
            yield self._ends.popleft()
        self._ends_taken.set()

    def lone(self) -> Iterator[Taken]:
        """Requests of clients that ask for nothing else, in order."""
        while self._lone:
            yield self._lone.popleft()

    def news(self) -> Iterator[LogNews]:
        """All news of the change log, in order; whoever waited for room goes on."""
        while self._news:
            news = self._news.popleft()
            self._news_lines -= _lines(news)
            yield news
        self._news_taken.set()


def _lines(news: LogNews) -> int:
    return max(len(news.stores), 1) if isinstance(news, FleetNews) else 1
