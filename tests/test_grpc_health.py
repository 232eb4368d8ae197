"""grpc.health.v1 for a host process with the plug-in: Check, Watch, a stalled engine and a drain."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent import futures
from contextlib import contextmanager

import grpc
import pytest
from grpc_health.v1 import health_pb2, health_pb2_grpc

from starlinghaven.health.model import Thresholds
from starlinghaven.plugin.grpc_client import EngineThread
from starlinghaven.plugin.grpc_health import HealthBridge
from starlinghaven.program import config
from starlinghaven.standins.grpc_watch import Watcher
from tests.loopback import Archive, configuration
from tests.test_grpc_client import archive  # noqa: F401  (a fixture)

BOUND_S = 5.0
SERVING = health_pb2.HealthCheckResponse.SERVING
NOT_SERVING = health_pb2.HealthCheckResponse.NOT_SERVING


def wait_for(what: object, bound_s: float = BOUND_S) -> None:
    ends = time.monotonic() + bound_s
    while not what():  # type: ignore[operator]
        assert time.monotonic() < ends, "not within the bound"
        time.sleep(0.01)


@contextmanager
def host(running: Archive) -> Iterator[tuple[EngineThread, HealthBridge, str]]:
    """A host process's gRPC server with the engine embedded and its health served."""
    engine = EngineThread(config.parse(configuration(running, 1), {}), health=Thresholds(hold_ms=100.0))
    engine.start()
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=4))
    bridge = HealthBridge(engine, services=("archive.Documents",), stall_s=0.5)
    bridge.add_to(server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    try:
        yield engine, bridge, f"127.0.0.1:{port}"
    finally:
        bridge.close()
        server.stop(None)
        engine.close()


def check(address: str, service: str = "") -> int:
    with grpc.insecure_channel(address) as channel:
        return int(
            health_pb2_grpc.HealthStub(channel).Check(health_pb2.HealthCheckRequest(service=service)).status
        )


def test_check_says_serving_once_ready_and_knows_its_services(archive: Archive) -> None:  # noqa: F811
    with host(archive) as (_, bridge, address):
        wait_for(lambda: bridge.status() == 1)
        # A loop that lags on a busy machine is rightly said not to serve for a moment: asked until it does.
        wait_for(lambda: check(address) == SERVING)
        wait_for(lambda: check(address, "archive.Documents") == SERVING)
        with pytest.raises(grpc.RpcError) as unknown:
            check(address, "archive.Other")
        assert unknown.value.code() is grpc.StatusCode.NOT_FOUND


def test_a_stalled_engine_is_said_not_serving_by_threads_that_still_run(archive: Archive) -> None:  # noqa: F811
    with host(archive) as (engine, bridge, address):
        watcher = Watcher({"host": address})
        watcher.start()
        try:
            wait_for(lambda: watcher.taking["host"])
            since = time.monotonic()
            assert engine._token is not None
            engine._token.run_sync_soon(time.sleep, 1.5)  # the host blocks the engine's thread
            wait_for(lambda: watcher.removed_at("host", since) is not None)
            assert watcher.changes[-1].said == "NOT_SERVING"
            wait_for(lambda: watcher.taking["host"])  # it wakes, and is said serving again
        finally:
            watcher.stop()


def test_a_drain_is_said_on_the_watch_before_the_server_goes(archive: Archive) -> None:  # noqa: F811
    with host(archive) as (engine, bridge, address):
        watcher = Watcher({"host": address})
        watcher.start()
        try:
            wait_for(lambda: watcher.taking["host"])
            since = time.monotonic()
            bridge.close()
            wait_for(lambda: watcher.removed_at("host", since) is not None)
            assert watcher.changes[-1].said == "NOT_SERVING"
            assert check(address) == NOT_SERVING
        finally:
            watcher.stop()
