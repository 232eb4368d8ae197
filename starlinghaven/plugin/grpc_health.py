"""The gRPC Health Checking Protocol (grpc.health.v1, Check and Watch) for a process with the plug-in.

A host process that embeds the engine (`EngineThread`, made with `health=Thresholds(...)`) and
serves gRPC itself adds `HealthBridge(engine).add_to(server)`; balancers and clients that speak
grpc.health.v1 then see SERVING or NOT_SERVING by the same verdict that the daemon's agent-check
and HTTP checks give (`starlinghaven.health.wire.grpc_status`). The servicer is the one of the
grpcio-health-checking package; this bridge only sets its statuses.

A watchdog thread reads the verdict every WATCH_S. If the engine's health task has not stepped
for `stall_s` (the engine's loop is blocked, e.g. by the host stalling the thread), it says
NOT_SERVING although the last verdict was good: a half-dead engine must not be reported alive by
threads that still run. On `close`, every service is set NOT_SERVING before the servicer's
graceful shutdown, as the protocol asks of a server that is going away.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable

import grpc
from grpc_health.v1 import health, health_pb2, health_pb2_grpc

from starlinghaven.health import wire
from starlinghaven.plugin.grpc_client import EngineThread

WATCH_S = 0.05  # seconds between readings of the verdict
STATUS = {
    wire.SERVING: health_pb2.HealthCheckResponse.SERVING,
    wire.NOT_SERVING: health_pb2.HealthCheckResponse.NOT_SERVING,
}


class HealthBridge:
    """Keeps a grpc.health.v1 servicer true to the engine's health; `services`: names served ("" too)."""

    def __init__(self, engine: EngineThread, services: Iterable[str] = ("",), stall_s: float = 1.0) -> None:
        if engine.health is None:
            raise ValueError("the EngineThread was made without health thresholds, or is not started")
        if stall_s <= WATCH_S:
            raise ValueError(f"stall_s must exceed {WATCH_S} s")
        self.engine, self.stall_s = engine, stall_s
        self.services = frozenset(services) | {""}
        self.servicer = health.HealthServicer()
        self.said: dict[str, int] = {}
        self._stop = threading.Event()
        self._watch()
        self._thread = threading.Thread(target=self._run, name="starlinghaven-health", daemon=True)
        self._thread.start()

    def add_to(self, server: grpc.Server) -> None:
        health_pb2_grpc.add_HealthServicer_to_server(self.servicer, server)

    def status(self) -> int:
        """The ServingStatus now, as `wire` numbers it."""
        service = self.engine.health
        assert service is not None
        if time.monotonic() - service.stepped_at > self.stall_s:
            return wire.NOT_SERVING
        return wire.grpc_status(service.verdict, "", self.services)

    def _watch(self) -> None:
        status = self.status()
        for name in self.services:
            if self.said.get(name) != status:
                self.said[name] = status
                self.servicer.set(name, STATUS[status])

    def _run(self) -> None:
        while not self._stop.wait(WATCH_S):
            self._watch()

    def close(self) -> None:
        """Says NOT_SERVING for every service, then shuts the servicer down gracefully."""
        self._stop.set()
        self._thread.join(2 * WATCH_S + 1.0)
        for name in self.services:
            self.servicer.set(name, health_pb2.HealthCheckResponse.NOT_SERVING)
            self.said[name] = wire.NOT_SERVING
        self.servicer.enter_graceful_shutdown()
