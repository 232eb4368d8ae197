"""A stand-in balancer that follows servers by grpc.health.v1 Watch, on loopback only.

As in gRPC's client-side health checking: one Watch stream per server; a server takes work while
its last message says SERVING; the stream breaking, or a status other than SERVING, takes it out
at once, and the stream is opened again after `retry_s`. Changes are kept with time.monotonic().
"""

from __future__ import annotations

import ipaddress
import threading
import time
from dataclasses import dataclass, field

import grpc
from grpc_health.v1 import health_pb2, health_pb2_grpc

from starlinghaven.standins.balancer import Change  # `at` is time.monotonic() here


@dataclass(slots=True)
class Watcher:
    """Follows `servers` (name -> "127.0.0.1:port") by Watch of `service`."""

    servers: dict[str, str]
    service: str = ""
    retry_s: float = 0.1
    changes: list[Change] = field(default_factory=list)
    taking: dict[str, bool] = field(default_factory=dict)
    _stop: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _calls: dict[str, grpc.Future] = field(default_factory=dict)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name, address in self.servers.items():
            host = address.rpartition(":")[0]
            if not ipaddress.ip_address(host).is_loopback:
                raise ValueError(f"{name}: stand-ins speak to loopback only, not {host}")
            self.taking[name] = False

    def start(self) -> None:
        for name in self.servers:
            thread = threading.Thread(target=self._follow, args=(name,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        self._stop.set()
        with self._lock:
            for call in self._calls.values():
                call.cancel()
        for thread in self._threads:
            thread.join(2.0)

    def _mark(self, name: str, takes: bool, said: str) -> None:
        with self._lock:
            if self.taking[name] != takes:
                self.taking[name] = takes
                self.changes.append(Change(time.monotonic(), name, takes, said))

    def _follow(self, name: str) -> None:
        with grpc.insecure_channel(self.servers[name]) as channel:
            stub = health_pb2_grpc.HealthStub(channel)
            while not self._stop.is_set():
                stream = stub.Watch(health_pb2.HealthCheckRequest(service=self.service))
                with self._lock:
                    self._calls[name] = stream
                try:
                    for message in stream:
                        status = health_pb2.HealthCheckResponse.ServingStatus.Name(message.status)
                        self._mark(name, message.status == health_pb2.HealthCheckResponse.SERVING, status)
                    self._mark(name, False, "stream ended")
                except grpc.RpcError as error:
                    self._mark(name, False, f"stream broke: {error.code().name}")
                self._stop.wait(self.retry_s)

    def removed_at(self, name: str, after: float) -> float | None:
        """When `name` stopped taking work, at or after `after` (time.monotonic()); None if not yet."""
        with self._lock:
            return next(
                (c.at for c in self.changes if c.server == name and not c.takes_work and c.at >= after), None
            )
