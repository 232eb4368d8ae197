"""What common balancers ask: HAProxy's agent-check and an HTTP health check, from the engine's state."""

from __future__ import annotations

import json

from starlinghaven.program.http import Exchange, HttpResponse
from starlinghaven.routing.engine import Engine
from starlinghaven.transport.connection import Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring


def agent_line(engine: Engine) -> bytes:
    """The line of the agent-check: what a balancer is to do with this proxy."""
    match engine.state:
        case "ready":
            return b"up ready %d%%\n" % engine.weight
        case "draining":
            return b"drain\n"
        case _:
            return b"stopped\n"


class AgentCheck:
    """Says one line to whoever connects, and closes."""

    def __init__(self, listener: Listener, engine: Engine) -> None:
        self._listener, self._engine = listener, engine

    async def run(self) -> None:
        await self._listener.run(self._serve, lambda: False)

    async def _serve(self, connection: Connection) -> None:
        connection.write(agent_line(self._engine))
        connection.finish()
        await connection.serve(_ignore)


async def _ignore(ring: Ring) -> int:
    ring.skip(ring.size)
    return 1


async def health(engine: Engine, exchange: Exchange) -> None:
    """GET or HEAD of any path: 200 while new requests are welcome, else 503."""
    if exchange.request.method not in ("GET", "HEAD"):
        exchange.respond(HttpResponse(405, headers=[("allow", "GET, HEAD")]))
        return
    told = {
        "state": engine.state,
        "weight": engine.weight,
        "open": engine.open_requests,
        "caches": engine.fleet_size,
    }
    status = 200 if engine.state == "ready" else 503
    kind = [("content-type", "application/json"), ("cache-control", "no-store")]
    exchange.respond(HttpResponse(status, json.dumps(told).encode() + b"\n", kind))
