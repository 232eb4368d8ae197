"""Balancer health in service: reads the engine's facts, steps the state machine, answers balancers.

Where it is switched on (the operator's `[agent]` or `[health]`), one task ticks every TICK_S: it
measures how late the event loop wakes, steps `starlinghaven.health.model.Health` and logs each
change of state as one structured event with its cause. Each balancer's question steps it
anew (some µs; checks share CHECKS connections at most), so what it is told is never a tick old.
Nothing here writes to the engine: it only reads what the engine's task keeps.
"""

from __future__ import annotations

import logging
import os
import resource
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog
import trio

from starlinghaven.containment import contained
from starlinghaven.health import wire
from starlinghaven.health.model import Facts, Health, ListSource, Thresholds, Verdict
from starlinghaven.program import logs
from starlinghaven.routing.inbox import QUEUE
from starlinghaven.routing.request_memory import REQUEST_BYTES
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.ring import Ring

if TYPE_CHECKING:
    from starlinghaven.program.changelog import ChangeLog
    from starlinghaven.program.fronts.http import Exchange
    from starlinghaven.routing.engine import Engine

TICK_S = 0.05  # seconds between readings: a balancer polling every 100 ms sees a change within one poll
LAG_MEMORY = 0.8  # weight of the last lag in the next reading: a single late wake-up is not overload

logs.structured()
log = structlog.get_logger("starlinghaven.health")
_plain_log = logging.getLogger(__name__)


def descriptors() -> tuple[int, int]:
    """Descriptors open and the soft RLIMIT_NOFILE; (0, 0) where /proc can't tell."""
    try:
        used = len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0, 0
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return used, soft if soft != resource.RLIM_INFINITY else 0


class HealthService:
    """The one owner of the health state machine of this process."""

    def __init__(
        self,
        engine: Engine,
        changelog: ChangeLog | None,
        limits: Thresholds,
        clients: Callable[[], tuple[int, int]] | None = None,
    ) -> None:
        """`clients` says clients' connections held and the places for them, where there are fronts."""
        self._engine, self._log, self._clients = engine, changelog, clients
        self.machine = Health(limits)
        self._started_ms = engine.clock.now()
        self.machine.since_ms = self._started_ms
        self._lag_ms = 0.0
        self.stepped_at = time.monotonic()  # when it was last stepped: a watchdog in another thread reads it
        self.listeners: list[Callable[[Verdict], None]] = []  # told of each change, in this task
        self.verdict = self.machine.step(self.facts())

    def facts(self) -> Facts:
        e = self._engine
        now = e.clock.now()
        own, reachable = e.reachable
        if not (e.fleet_ids or own):
            source = ListSource.NONE
        elif self._log is None or self._log.confirms:
            source = ListSource.CONFIRMED
        else:
            source = ListSource.INHERITED
        waiting, requests = e.waiting, e.accounts.requests
        fds, fds_limit = descriptors()
        clients, clients_limit = self._clients() if self._clients else (0, 0)
        return Facts(
            at_ms=now,
            source=source,
            since_start_ms=now - self._started_ms,
            own_stores=own,
            reachable=reachable,
            heard=len(e.heard & e.fleet_ids),
            queue=waiting,
            queue_limit=QUEUE,
            open=requests.held // REQUEST_BYTES,
            open_limit=requests.limit // REQUEST_BYTES,
            fds=fds,
            fds_limit=fds_limit,
            clients=clients,
            clients_limit=clients_limit,
            lag_ms=self._lag_ms,
            engine_idle_ms=now - e.turned_at if waiting else 0.0,
            news_unreadable=self._log is not None and self._log.unreadable,
            unserved=e.unserved(),
            draining=e.draining,
            stopped=e.draining and not e.ready,
        )

    def now(self) -> Verdict:
        """The verdict, stepped anew: each balancer's question sees the facts of that moment."""
        self._step()
        return self.verdict

    def _step(self) -> None:
        before = self.verdict.state
        facts = self.facts()
        self.verdict = self.machine.step(facts)
        self.stepped_at = time.monotonic()
        if self.verdict.state is not before:
            for listener in self.listeners:
                listener(self.verdict)
            log.info(
                "health_changed",
                state=self.verdict.state.value,
                was=before.value,
                cause=self.verdict.cause,
                weight=self.verdict.weight,
                after_start_ms=round(facts.since_start_ms),
            )

    async def run(self) -> None:
        """Ticks: measures event-loop lag and steps the machine."""
        while True:
            asked = trio.current_time() + TICK_S
            await trio.sleep(TICK_S)
            late_ms = max(trio.current_time() - asked, 0.0) * 1000
            self._lag_ms = max(late_ms, LAG_MEMORY * self._lag_ms)
            with contained(_plain_log, "a step of the health state", self._engine.counters.add):
                self._step()

    # -- the words of balancers ----------------------------------------------------------------

    async def agent(self, connection: Connection) -> None:
        """HAProxy's agent-check: one line to whoever connects, then the connection is closed."""
        connection.write(wire.agent_line(self.now()))
        connection.finish()
        await connection.serve(_ignore)

    async def http(self, exchange: Exchange) -> None:
        """GET or HEAD of /livez, /readyz (also /healthz, /health, /): see `wire.http_answer`."""
        from starlinghaven.program.fronts.http import HttpResponse

        if exchange.request.method not in ("GET", "HEAD"):
            exchange.respond(HttpResponse(405, headers=[("allow", "GET, HEAD")]))
            return
        path = exchange.request.target.partition("?")[0]
        extra = {"open": self._engine.open_requests, "caches": self._engine.fleet_size}
        status, fields, body = wire.http_answer(self.now(), path, extra)
        exchange.respond(HttpResponse(status, body, fields))


async def _ignore(ring: Ring) -> int:
    ring.skip(ring.size)
    return 1
