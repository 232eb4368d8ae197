"""The proxy's own copies as requests see them: served only while the news of purges is recent enough."""

from __future__ import annotations

import logging

from starlinghaven import interface as i
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.copies import Copies, Copy
from starlinghaven.routing.lease import NewsLease
from starlinghaven.routing.types import Answer, Ask, Attempt, Counters, Ended, Result

log = logging.getLogger("starlinghaven.routing.engine")
request_log = logging.getLogger("starlinghaven.requests")

OLD_NEWS_MS = 3_000.0  # ms without proof of the log, from which what is served on it is logged


class OwnCopies:
    """The copies and the lease on which they are served. All times are ms on the engine's clock."""

    def __init__(self, copies: Copies | None, clock: Clock, counters: Counters) -> None:
        """`copies` is None where the platform allows no copies of its own."""
        self.copies, self.lease = copies, NewsLease()
        self._clock, self._counters = clock, counters
        self._lapsed = False  # copies are not served on the lease, as last logged

    def offered(self, ask: Ask) -> i.Own | None:
        """The copy held for a request, as the Router sees it; None if there is none to be served."""
        copy = self._held(ask) if ask.purgeable else None
        if copy is None or self.copies is None:
            return None
        return i.Own(self._clock.now() - copy.given_ms, self.copies.ready_ms(len(copy.body)))

    def answer(self, ask: Ask) -> Answer | None:
        """The answer from the copy; None if it has gone since it was offered."""
        copy = self._held(ask)
        if copy is None or self.copies is None:
            self._counters.add("own_copies_gone")
            return None
        self._counters.add("own_copies")
        self._note_old_news(ask, copy)
        unchanged = bool(ask.have) and ask.have == copy.tag
        self.copies.sent(len(copy.body), unchanged)
        result, body = (Result.UNCHANGED, b"") if unchanged else (Result.SERVED, copy.body)
        return Answer(result, body, tag=copy.tag)

    def keep(self, attempt: Attempt, ended: Ended) -> None:
        """Keeps what a store has served, where it may be kept."""
        if self.copies is None or not attempt.ask.purgeable or not ended.since_ms or ended.unchanged:
            return
        if not self._clock.may_be_past(ended.since_ms):
            self._counters.add("copies_dated_ahead")  # its age is unknown: it may be older than allowed
            return
        self.copies.put(attempt.ask, ended, attempt.keep, attempt.sent_ms)

    def purge(self, group: int, key: str | None, made_ms: float) -> None:
        """Copies of an object or a group are void if they are older than this moment."""
        if self.copies:
            self.copies.purge(group, key, made_ms)

    def miss(self, now: float) -> None:
        """Any object may have been purged up to now, and nobody will say which."""
        self.lease.miss(now)
        if self.copies:
            self.copies.purges.raise_floor(now)

    def note_lease(self, now: float) -> None:
        """Logs when copies are suspended for want of news, and when they are served again."""
        if self.copies and self.lease.lapsed(now) is not self._lapsed:
            self._lapsed = not self._lapsed
            age_s = (now - self.lease.current_to_ms) / 1000
            log.info("own copies %s news_age_s=%.1f", "suspended" if self._lapsed else "resumed", age_s)

    def _held(self, ask: Ask) -> Copy | None:
        """The copy that may be served for a request just now, by what is known of purges."""
        copy = self.copies.find(ask) if self.copies else None
        if copy is not None and not self.lease.covers(copy.valid_as_of_ms, self._clock.now()):
            self._counters.add("own_copies_suspended")
            return None
        return copy

    def _note_old_news(self, ask: Ask, copy: Copy) -> None:
        """Logs a copy that is served while the change log has not been heard for longer than usual."""
        now = self._clock.now()
        news_age_ms = now - self.lease.current_to_ms
        if self.lease.required and news_age_ms > OLD_NEWS_MS:
            request_log.info(
                "request %s served from own copy object=%s age_s=%.1f news_age_s=%.1f",
                *(ask.id, ask.key, (now - copy.given_ms) / 1000, news_age_ms / 1000),
            )
