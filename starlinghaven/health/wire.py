"""The words in which balancers are told a `Verdict`. Pure functions: bytes and numbers, no sockets.

- HAProxy agent-check (HAProxy configuration manual, "agent-check"): one ASCII line of words
  separated by spaces: a weight `NN%`, an administrative word (`ready`, `drain`, `maint`) and an
  operational word (`up`, `down`, `stopped`, `failed`), the last optionally followed by `#text`.
- HTTP checks: `/livez` answers whether the process is alive (200 unless stopped); `/readyz`,
  `/healthz` and `/` whether new work is welcome (200 or 503, with `Retry-After` in seconds,
  RFC 9110 section 10.2.3, where the state says when to come back).
- gRPC Health Checking Protocol (grpc.health.v1): SERVING or NOT_SERVING by the same verdict;
  names of statuses as in its `HealthCheckResponse.ServingStatus`.
"""

from __future__ import annotations

import json
import re

from starlinghaven.health.model import State, Verdict

AGENT_COMMENT = 120  # bytes of the cause said after '#' at most
_UNSAFE = re.compile(r"[^ -~]|#")

LIVE_PATHS = frozenset({"/livez", "/live"})
READY_PATHS = frozenset({"/readyz", "/ready", "/healthz", "/health", "/"})


def _comment(cause: str) -> bytes:
    """The cause, printable ASCII only, cut to AGENT_COMMENT bytes: it must not break the line."""
    return _UNSAFE.sub("_", cause)[:AGENT_COMMENT].encode("ascii")


def agent_line(verdict: Verdict) -> bytes:
    """One line for HAProxy's agent-check, ending in a newline.

    ready/degraded: `up ready NN%`; overloaded and warming: `drain` (kept alive, weight 0, no new
    sessions); starting and unavailable: `down #cause`; draining: `drain`; stopped: `stopped #cause`.
    """
    match verdict.state:
        case State.READY | State.DEGRADED:
            return b"up ready %d%%\n" % verdict.weight
        case State.OVERLOADED | State.WARMING | State.DRAINING:
            return b"drain\n"
        case State.STARTING | State.UNAVAILABLE:
            return b"down #" + _comment(f"{verdict.state.value}: {verdict.cause}") + b"\n"
        case _:
            return b"stopped #" + _comment(verdict.cause) + b"\n"


def http_answer(
    verdict: Verdict, path: str, extra: dict[str, int] | None = None
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Status, header fields and JSON body for a GET of `path` (query left out by the caller).

    Unknown paths get 404: a balancer that asks the wrong path must notice, not see "up".
    """
    kind = [("content-type", "application/json"), ("cache-control", "no-store")]
    if path in LIVE_PATHS:
        status = 503 if verdict.state is State.STOPPED else 200
    elif path in READY_PATHS:
        status = 200 if verdict.serving else 503
    else:
        return 404, kind, b'{"error": "unknown path; ask /livez or /readyz"}\n'
    if status == 503 and verdict.retry_after_s:
        kind.append(("retry-after", str(verdict.retry_after_s)))
    told: dict[str, object] = {
        "state": verdict.state.value,
        "weight": verdict.weight,
        "cause": verdict.cause,
    }
    told |= extra or {}
    return status, kind, json.dumps(told).encode() + b"\n"


SERVING, NOT_SERVING, SERVICE_UNKNOWN = 1, 2, 3  # grpc.health.v1 HealthCheckResponse.ServingStatus


def grpc_status(verdict: Verdict, service: str, known: frozenset[str]) -> int:
    """The ServingStatus for `service`; "" is the server as a whole (grpc.health.v1)."""
    if service and service not in known:
        return SERVICE_UNKNOWN
    return SERVING if verdict.serving else NOT_SERVING
