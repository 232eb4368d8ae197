"""Admission in service: the gate that the platform front's listener asks of each new connection.

It holds the pure `Admission` controller with the process's clock, and counts what it refuses by
reason (`admission_refused_<reason>` among the counters). Off unless the operator's file names
an admission file: on the platform, all clients may come from few addresses.
"""

from __future__ import annotations

import resource
from dataclasses import replace

import trio

from starlinghaven.admission.policy import Admission, Admit, Limits
from starlinghaven.routing.types import Counters

ADMISSION_ENTRY_BYTES = 384  # of an address, or of a network, that is remembered
MOST_SOURCES = 65_536  # addresses, and networks, that are remembered at most
CLIENTS_SHARE = 0.5  # part of RLIMIT_NOFILE that clients' connections may hold at most


def places(clients: int) -> int:
    """Places for clients: the front's own number, and not above a share of the descriptor limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return clients
    return max(min(clients, int(soft * CLIENTS_SHARE)), 1)


class AdmissionGate:
    """A `starlinghaven.transport.listener.Gate` over `Admission`."""

    def __init__(self, limits: Limits, clients: int, counters: Counters, sources: int = MOST_SOURCES) -> None:
        """`sources`: addresses and networks that there is memory to remember, each."""
        fitting = replace(
            limits,
            places=places(clients),
            remember_most=min(limits.remember_most, sources),
            track_most=min(limits.track_most, sources),
        )
        self.admission = Admission(fitting)
        self._counters = counters

    def admit(self, address: str) -> object | None:
        got = self.admission.admit(address, trio.current_time())
        if isinstance(got, Admit):
            if got.known:
                self._counters.add("admission_known")
            return got.source
        self._counters.add(f"admission_refused_{got.why.name.lower()}")
        return None

    def release(self, ticket: object) -> None:
        if isinstance(ticket, str):
            self.admission.released(ticket)

    def served(self, source: str) -> None:
        """A request on a connection from `source` completed: it is a known client for a while."""
        if source:
            self.admission.served(source, trio.current_time())
