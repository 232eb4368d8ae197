"""What the attempts of one request may have done at stores, and what that still allows.

This is the rule on repeats and refusals. The engine keeps one record a request, of what was written and how
it ended, and lets no attempt and no refusal pass that the record denies. The Router keeps another, of what
it ordered, to decide by. Pure; all times are milliseconds on the clock of whoever keeps the record.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from starlinghaven import interface as i

NEVER_RAN = frozenset({i.Code.FULL, i.Code.NO_CONNECTION, i.Code.MOOT, i.Code.MISS})
"""Ends of an attempt that prove that nothing ran."""


class Denial(StrEnum):
    """Why an attempt may not begin."""

    CONCURRENT = "concurrent"  # another attempt is out
    EFFECT = "effect"  # an earlier one may have run, and a repeat would have an effect
    WINDOW = "window"  # repeats are recognised no longer
    SCOPE = "scope"  # the store does not recognise the repeat


@dataclass(frozen=True, slots=True)
class Location:
    """Where a store was when an attempt was made: its zone and its cell."""

    zone: int
    cell: int


@dataclass(frozen=True, slots=True)
class _Sent:
    """An attempt that is out, or that may have run."""

    location: Location
    at_ms: float


class ExecutionRecord:
    """The attempts of one request: those that are out, and those that may have run."""

    __slots__ = ("_class", "_concurrent", "_out", "_possible")

    def __init__(self, request_class: i.RequestClass, second_copies: bool) -> None:
        """`second_copies`: whether the settings allow two attempts at once, for requests without effect."""
        self._class = request_class
        self._concurrent = second_copies and request_class.effect is i.Effect.SAFE
        self._out: dict[int, _Sent] = {}
        self._possible: list[_Sent] = []

    def begin(self, attempt: int, location: Location, now_ms: float) -> None:
        """An attempt is on its way. Its location stays what it is now, whatever the list says later."""
        self._out[attempt] = _Sent(location, now_ms)

    def end(self, attempt: int, code: i.Code) -> None:
        """An attempt has ended; one that is not known is passed over."""
        sent = self._out.pop(attempt, None)
        if sent is not None and code not in NEVER_RAN:
            self._possible.append(sent)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run, or may still."""
        return bool(self._possible or self._out)

    @property
    def may_refuse(self) -> bool:
        """Whether the client may be promised that trying again is harmless."""
        if not self.may_have_run or self._class.effect is i.Effect.SAFE:
            return True
        return self._class.effect is i.Effect.KEYED and self._class.scope is i.Scope.ALL

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt is allowed at all, at some store."""
        return self._class.effect is not i.Effect.UNSAFE or not self.may_have_run

    def window_left_ms(self, now_ms: float) -> float:
        """For how long another attempt may still begin; infinite where no window binds."""
        if self._class.effect is not i.Effect.KEYED:
            return math.inf
        first = min((sent.at_ms for sent in self._earlier()), default=math.inf)
        return first + self._class.window_ms - now_ms

    def denial(self, location: Location, now_ms: float, attempt: int | None = None) -> Denial | None:
        """Why an attempt at a store in this location may not begin now; None if it may.

        `attempt` is its number where it has been announced by `begin` already.
        """
        others = [number for number in self._out if number != attempt]
        if others and not self._concurrent:
            return Denial.CONCURRENT
        earlier = self._earlier(attempt)
        if not earlier or self._class.effect is i.Effect.SAFE:
            return None
        if self._class.effect is i.Effect.UNSAFE:
            return Denial.EFFECT
        if any(now_ms - sent.at_ms >= self._class.window_ms for sent in earlier):
            return Denial.WINDOW
        if not all(self._same_group(sent.location, location) for sent in earlier):
            return Denial.SCOPE
        return None

    def _earlier(self, attempt: int | None = None) -> list[_Sent]:
        return [*self._possible, *(sent for number, sent in self._out.items() if number != attempt)]

    def _same_group(self, one: Location, other: Location) -> bool:
        """Whether both locations share what they know of repeated keys."""
        match self._class.scope:
            case i.Scope.ZONE:
                return one.zone == other.zone
            case i.Scope.CELL:
                return one.cell == other.cell
            case _:
                return True
