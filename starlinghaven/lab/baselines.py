"""What the membership is measured against: heartbeats from all to all, and no messages at all."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from starlinghaven.fleet.codec import EMPTY_BYTES, Status
from starlinghaven.fleet.members import Change, Member
from starlinghaven.fleet.universe import Address, Universe

BEAT_MS = 1_000.0  # between two heartbeats to everybody
MISSED = 3  # heartbeats missed, after which a member counts as failed


class Heartbeats:
    """Everybody tells everybody once a second; three missed are a failure."""

    def __init__(self, universe: Universe, random: Random, now: float, unix_ms: float) -> None:
        self.universe, self.n, self.own = universe, len(universe), universe.own
        self.members = [Member() for _ in range(self.n)]
        self.members[self.own].status = Status.ALIVE
        self.counts: Counter[str] = Counter()
        self._beat_at = now + BEAT_MS * random.random()
        self._look_at = now + BEAT_MS / 4
        self._out: list[tuple[Address, bytes]] = []
        self._changes: list[Change] = []

    def next_due(self) -> float:
        return min(self._beat_at, self._look_at)

    def advance(self, now: float) -> None:
        if self._beat_at <= now:
            self._beat_at = now + BEAT_MS
            beat = bytes(EMPTY_BYTES)  # as long as the product's own shortest datagram
            self._out += [(a, beat) for k, a in enumerate(self.universe.addresses) if k != self.own]
        if self._look_at <= now:
            self._look_at = now + BEAT_MS / 4
            for k, m in enumerate(self.members):
                if k != self.own and m.status is Status.ALIVE and now - m.heard_at > MISSED * BEAT_MS:
                    self._set(k, Status.FAILED, now)

    def receive(self, data: bytes, source: Address, now: float) -> None:
        number = self.universe.number(source)
        if number is not None:
            self.members[number].heard_at = now
            if self.members[number].status is not Status.ALIVE:
                self._set(number, Status.ALIVE, now)

    def _set(self, number: int, status: Status, now: float) -> None:
        before, self.members[number].status = self.members[number].status, status
        self._changes.append(Change(now, number, before, status, 1, 0, "heartbeats"))

    def take_out(self) -> list[tuple[Address, bytes]]:
        out, self._out = self._out, []
        return out

    def take_changes(self) -> list[Change]:
        changes, self._changes = self._changes, []
        return changes

    def alive(self) -> set[int]:
        return {k for k, m in enumerate(self.members) if m.status is Status.ALIVE}


class Silence(Heartbeats):
    """Says nothing, and so learns of nobody."""

    def next_due(self) -> float:
        return math.inf
