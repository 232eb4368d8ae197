"""The operators' door: readiness, figures, and stores taken out of use by hand."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

import trio

from starlinghaven.program.fronts.clients import Clients
from starlinghaven.program.operations.handover import Handover
from starlinghaven.program.operations.memory_report import MemoryReport
from starlinghaven.protocol import ProtocolError, console
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters, Hand
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

if TYPE_CHECKING:
    from starlinghaven.program.fleet import Fleet

log = logging.getLogger(__name__)

PLACES = 16  # connections at once; some callers never finish a call
CALL_S = 5.0  # seconds that a caller may take for its call


class _Caller:
    """One connection: one call and its answer."""

    def __init__(self, owner: Console, connection: Connection) -> None:
        self.connection, self._owner = connection, owner
        self.busy = False
        self.ends_at = time.monotonic() + CALL_S

    amid, rests_since = False, math.inf

    async def feed(self, ring: Ring) -> int:
        try:
            call = console.read(ring)
        except ProtocolError as error:
            self._answer(console.no(str(error)))
            return 1
        if call is not None and not self.busy:
            self.busy = True
            self._answer(await self._owner.answer(call))
            self.busy = False
        return 1

    def _answer(self, text: bytes) -> None:
        self.connection.write(text)
        self.connection.finish()

    def delivering(self) -> None:
        """A caller that does not read its answer has no more time for it."""

    async def leave(self) -> None:
        """Nothing is open between calls."""


class Console:
    """Answers operators; what changes the fleet goes through the engine's queue like all else."""

    def __init__(
        self, listener: Listener, engine: Engine, classes: tuple[str, ...], counters: Counters,
        handover: Handover, memory: MemoryReport, fleet: Fleet | None = None,
    ) -> None:  # fmt: skip
        self._fleet, self._memory = fleet, memory
        self._engine, self._classes, self._counters = engine, classes, counters
        self._handover = handover
        self.clients = Clients(listener, lambda connection: _Caller(self, connection))

    async def answer(self, call: console.Call) -> bytes:
        match call.verb:
            case "readyz":
                ready = self._engine.state == "ready"
                return console.yes("ready") if ready else console.no(self._engine.state)
            case "telemetry":
                return console.figures(self._figures())
            case "memory":
                return console.lines(self._memory.figures())
            case "members" | "stance" | "spread" if self._fleet is None:
                return console.no("no peers")
            case "members" if self._fleet is not None:
                return console.lines(self._fleet.member_lines())
            case "stance" if self._fleet is not None:
                return console.lines(self._fleet.stance_lines())
            case "spread" if self._fleet is not None:
                return console.lines(self._fleet.spread_lines())
        out = call.verb == "exclude"
        hand = Hand(call.store, out, 1000.0 * time.time())
        if not await self._told(hand):
            return console.no(f"{call.store} is not listed")
        if not self._handover.keep(hand):  # before the yes: a successor must know of it from its first moment
            log.warning("%s %s by hand, not saved yet", call.store, call.verb)
            return console.no(f"{call.store}: in force here, but not saved yet for the next process")
        log.info("%s %s by hand", call.store, "excluded" if out else "included")
        return console.yes(call.store)

    async def _told(self, hand: Hand) -> bool:
        heard, known = trio.Event(), False

        def said(yes: bool) -> None:
            nonlocal known
            known = yes
            heard.set()

        hand.answer = said
        await self._engine.post(hand)
        await heard.wait()
        return known

    def _figures(self) -> Iterator[tuple[str, int]]:
        for n, name in enumerate(self._classes):
            for outcome in ("served", "refused", "failed"):
                yield f"requests.{name}.{outcome}", self._counters[f"class{n}_{outcome}"]
        yield "attempts", self._counters["written"]
        yield "in_flight", self._engine.open_requests
        yield "pop_caches_known", len(self._engine.fleet_ids)
        yield "pop_caches_excluded", self._engine.avoided
