"""The guard that each attempt and each final answer passes, right before it takes effect.

The Router's decisions may be overtaken in a queue, a dial or a stall, or may be wrong. What passes here keeps
the rules on repeats and refusals whatever was decided; each denial is counted and logged.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace
from typing import Any

from starlinghaven import interface as i
from starlinghaven.decisions.execution import ExecutionRecord
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.store_table import StoreTable
from starlinghaven.routing.timers import Due
from starlinghaven.routing.types import Answer, Ask, Attempt, Counters, Result, Ticket

log = logging.getLogger("starlinghaven.requests")


@dataclass(eq=False, slots=True)
class OpenRequest:
    """A request that is owed its final answer."""

    ask: Ask
    ticket: Ticket
    deadline: float  # ms on the engine's clock
    execution: ExecutionRecord
    attempts: list[Attempt] = field(default_factory=list)
    last: i.Code | None = None  # how its last attempt ended
    lacking: bool = False  # its last attempt could be filled, and no copy was to be had
    held: int = 0  # bytes of the budget that it holds
    timer: Due[Any] | None = None  # the guard of its deadline

    @property
    def last_word(self) -> str:
        """How its last attempt ended, for logs and counters."""
        return self.last.name.lower() if self.last else "none"


class Guard:
    """Keeps the rules on drains, windows, repeats and refusals for all requests."""

    def __init__(self, stores: StoreTable, clock: Clock, counters: Counters) -> None:
        self._stores, self._clock, self._counters = stores, clock, counters

    def may_begin(self, request: OpenRequest, attempt: Attempt) -> bool:
        """Whether an announced attempt may be written now. A denial is counted as `not_begun_REASON`."""
        denial = self._denial(request, attempt)
        if denial is None:
            return True
        self._counters.add(f"not_begun_{denial}")
        log.info(
            "request %s attempt=%d store=%s not begun: %s",
            *(request.ask.id, attempt.number, attempt.store, denial),
        )
        return False

    def _denial(self, request: OpenRequest, attempt: Attempt) -> str | None:
        now = self._clock.now()
        if now >= attempt.begin_by:
            return "window"
        if not self._stores.takes_new(attempt.store, attempt.address):
            return "list"
        if attempt.source and not self._stores.takes_new(attempt.source):
            return "list"
        if self._stores.location(attempt.store) != attempt.location:
            return "list"  # it moved to another zone or cell since: to be decided anew
        denial = request.execution.denial(attempt.location, now, attempt.number)
        return f"rule_{denial}" if denial else None

    def allowed(self, request: OpenRequest, answer: Answer) -> Answer:
        """The final answer that may be given: a refusal that would break its promise becomes a failure.

        Such a refusal is a defect of whoever ordered it, so that it is counted and logged as an error.
        """
        if answer.result is not Result.REFUSED or request.execution.may_refuse:
            return answer
        self._counters.add("refusals_denied")
        log.error(
            "request %s refusal denied: it may have run, class=%d attempts=%d last=%s",
            *(request.ask.id, request.ask.cls, len(request.attempts), request.last_word),
        )
        return replace(answer, result=Result.FAILED, wait_ms=0.0)
