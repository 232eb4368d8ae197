"""The requests that are owed a final answer, by number, ticket and id."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator

from starlinghaven.routing.clock import Clock
from starlinghaven.routing.guard import OpenRequest
from starlinghaven.routing.types import Ticket

UNSERVED_STEP, UNSERVED_MS = 0.02, 5_000.0  # weight of one answer, and ms over which it is forgotten


class OpenRequests:
    """Each request has a number of its own, its ticket, and an id that no other open one has."""

    def __init__(self) -> None:
        self._requests: dict[int, OpenRequest] = {}
        self._numbers: dict[Ticket, int] = {}
        self._ids: set[str] = set()
        self._next = itertools.count(1)

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, number: int) -> bool:
        return number in self._requests

    def __getitem__(self, number: int) -> OpenRequest:
        return self._requests[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._requests)

    def get(self, number: int) -> OpenRequest | None:
        """The request of a number, if it is open."""
        return self._requests.get(number)

    def number(self, ticket: Ticket) -> int | None:
        """The number of the request with this ticket, if it is open."""
        return self._numbers.get(ticket)

    def has_id(self, id: str) -> bool:
        """Whether an open request has this id: stores know a request by it alone."""
        return id in self._ids

    def add(self, request: OpenRequest) -> int:
        """Takes a request in and returns its number."""
        number = next(self._next)
        self._requests[number] = request
        self._numbers[request.ticket] = number
        self._ids.add(request.ask.id)
        return number

    def close(self, number: int) -> OpenRequest:
        """The one place where a request leaves."""
        request = self._requests.pop(number)
        request.attempts.clear()  # each knows those before it, itself too: a cycle that would stay for long
        del self._numbers[request.ticket]
        self._ids.remove(request.ask.id)
        return request


class UnservedShare:
    """The share of recent answers that did not serve, 0 to 1, forgotten over UNSERVED_MS."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._share, self._as_of = 0.0, clock.now()

    def now(self) -> float:
        """The share at this moment."""
        return self._share * math.exp((self._as_of - self._clock.now()) / UNSERVED_MS)

    def add(self, unserved: bool) -> None:
        """One more final answer."""
        self._share = self.now() + UNSERVED_STEP * (unserved - self.now())
        self._as_of = self._clock.now()
