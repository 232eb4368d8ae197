"""The engine's queue of events, with the change log's news beside it, which goes first."""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator

import trio

from starlinghaven.routing.clock import Clock
from starlinghaven.routing.types import Event, LogNews

MOST_NEWS = 1024  # events of the change log that may wait
QUEUE = 256  # other events that may wait, with up to 240 KB each; socket code waits when it is full


class _Wake:
    """Stands in the queue for news that waits beside it."""


_WAKE = _Wake()


class Inbox:
    """Many tasks post, one takes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._send, self._receive = trio.open_memory_channel[Event | _Wake](QUEUE)
        self._news: deque[LogNews] = deque()
        self._news_taken = trio.Event()
        self.waits_since: float | None = None  # ms since when there has been something in the queue

    @property
    def waiting(self) -> int:
        """Events in the queue, not yet taken."""
        return self._receive.statistics().current_buffer_used

    async def post(self, event: Event) -> None:
        """Puts an event in. Waits while the queue is full.

        News of the change log has a queue of its own, which is emptied before anything else is handled: a
        purge or a drain must not wait behind the requests that it binds.
        """
        if isinstance(event, LogNews):
            await self._post_news(event)
            return
        if self.waits_since is None:
            self.waits_since = self._clock.now()
        await self._send.send(event)

    async def _post_news(self, news: LogNews) -> None:
        self._news.append(news)
        with contextlib.suppress(trio.WouldBlock):
            self._send.send_nowait(_WAKE)
        while len(self._news) > MOST_NEWS:
            if self._news_taken.is_set():  # else others wait for it already
                self._news_taken = trio.Event()
            await self._news_taken.wait()

    async def receive(self, within_s: float) -> Event | None:
        """The next event that is no news; None if there is none in time, or only news."""
        with trio.move_on_after(within_s):
            event = await self._receive.receive()
            return None if isinstance(event, _Wake) else event
        return None

    def batch(self, most: int) -> Iterator[Event]:
        """What is in the queue already, news aside."""
        for _ in range(most):
            try:
                event = self._receive.receive_nowait()
            except trio.WouldBlock:
                self.waits_since = None
                return
            if not isinstance(event, _Wake):
                yield event

    def news(self) -> Iterator[LogNews]:
        """All news of the change log, in order; whoever waited for room goes on."""
        while self._news:
            yield self._news.popleft()
        self._news_taken.set()
