"""The log lines of single requests, for operators who follow one by its id (docs/oncall.md)."""

from __future__ import annotations

import logging

from starlinghaven import interface as i
from starlinghaven.routing.guard import OpenRequest
from starlinghaven.routing.types import Answer, Ask, Attempt

log = logging.getLogger("starlinghaven.requests")


def no_memory(ask: Ask, free: int) -> None:
    """A request was refused as it was read."""
    log.info("request %s refused: no memory for it, body=%d free=%d", ask.id, len(ask.body), free)


def id_in_use(ask: Ask) -> None:
    """A request was failed since something is open, or has begun, under its id."""
    log.info("request %s failed: something has begun for its id", ask.id)


def not_begun_left(request: OpenRequest, store: str, number: int, now_ms: float) -> None:
    """An attempt was ordered and not begun, since its client has left."""
    ask = request.ask
    log.info(
        "request %s attempt=%d store=%s not begun: client left, after_ms=%.0f",
        *(ask.id, number, store, now_ms - ask.taken_ms),
    )


def first_attempt_late(attempt: Attempt) -> None:
    """A first attempt begins late: where the time went."""
    ask = attempt.ask
    log.info(
        "request %s attempt=0 store=%s late: after_ms=%.0f unread_ms=%.0f queued_ms=%.0f",
        *(ask.id, attempt.store, attempt.sent_ms - ask.taken_ms),
        *(ask.read_ms - ask.taken_ms, attempt.sent_ms - ask.read_ms),
    )


def attempt_repeated(attempt: Attempt, last_word: str) -> None:
    """A further attempt begins, after one that ended so."""
    log.info(
        "request %s attempt=%d store=%s source=%s after %s",
        *(attempt.ask.id, attempt.number, attempt.store, attempt.source or "-", last_word),
    )


def attempt_unserved(attempt: Attempt, code: i.Code, now_ms: float) -> None:
    """An attempt ended without serving its request."""
    log.info(
        "request %s attempt=%d ended %s store=%s source=%s written=%d after_ms=%.0f",
        *(attempt.ask.id, attempt.number, code.name.lower(), attempt.store, attempt.source or "-"),
        *(attempt.written, now_ms - attempt.sent_ms),
    )


def unserved(request: OpenRequest, answer: Answer, now_ms: float, open_requests: int) -> None:
    """A request got a final answer that does not serve it."""
    ask = request.ask
    log.info(
        "request %s %s class=%d attempts=%d last=%s after_ms=%.0f left_ms=%.0f open=%d",
        *(ask.id, answer.result.name.lower(), ask.cls, len(request.attempts), request.last_word),
        *(now_ms - ask.taken_ms, request.deadline - now_ms, open_requests),
    )
