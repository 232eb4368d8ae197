"""Membership: who is there and who has failed. No I/O and no clock of its own.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): randomized round-robin probes, indirect probes by k helpers, suspicion that the
accused refutes with a higher incarnation, and news that ride on probes, each sent a bounded number of
times. With Lifeguard's additions (suspicion.py, and the buddy system: who is accused is told so first).

What is this project's own, and why, is in docs/fleet.md: lives (a restart outranks all that was said of
the process before it), the word of a failure counting only as one accuser, the stall guard, and
anti-entropy by digests of pieces.

Drive it with `receive` for each datagram and `advance` when `next_due` has come; send what `take_out`
gives, and look at `take_changes`. Times are ms on any clock that never goes back; one that also tells
Unix time is needed once, at the start.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from starlinghaven.datagrams import MOST_BYTES, Refused
from starlinghaven.fleet.codec import (
    CLAIM_BYTES,
    EMPTY_BYTES,
    FACT_BYTES,
    MOST_INC,
    MOST_LIFE,
    NOBODY,
    PIECE_BYTES,
    Claim,
    Datagram,
    Fact,
    Kind,
    Status,
    decode,
    encode,
    life_of,
)
from starlinghaven.fleet.dissemination import ClaimQueue
from starlinghaven.fleet.members import QUIET_STATUS, Change, Member
from starlinghaven.fleet.news import News
from starlinghaven.fleet.pieces import Pieces
from starlinghaven.fleet.settings import Limits
from starlinghaven.fleet.suspicion import OwnHealth, Suspicion
from starlinghaven.fleet.universe import Address, Universe

PIECES_ASKED = 32  # digests in one SYNC
PIECES_SENT = 3  # pieces that answer one SYNC; the rest follows with the next
FIRST_SYNC_MS = 300.0  # between exchanges of digests at first; doubled each time nothing new came by one
START_SENDS = 2  # sends of a claim on a member that is new to one who has just started itself
ALONE_LEAST = 2  # members that one accuser may have under suspicion with no other voice, in any fleet
MOST_RELAYS = 64  # probes made for others at once


@dataclass(slots=True)
class _Probe:
    """The one probe of its own that a member has out."""

    target: int
    number: int
    again_at: float  # when it is sent once more, ms; infinite when it will not be
    helped_at: float  # when helpers are asked, ms; infinite once they were
    nacks_due: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _Relay:
    """A probe made for another member."""

    origin: int
    number: int
    target: int
    nack_at: float
    ends_at: float


class Membership:
    """One member's core."""

    def __init__(
        self, universe: Universe, limits: Limits, random: Random, now: float, unix_ms: float,
        news: News | None = None,
    ) -> None:  # fmt: skip
        """`unix_ms` is the Unix time at `now`. Errors: ValueError for limits that can't be."""
        if wrong := limits.check():
            raise ValueError("; ".join(wrong))
        self.universe, self.limits, self._random = universe, limits, random
        self.own, self.n = universe.own, len(universe)
        self._unix_offset = unix_ms - now
        self.started_at = now
        self.life, self.inc = life_of(unix_ms), 0
        self.members = [Member() for _ in range(self.n)]
        mine = self.members[self.own]
        mine.status, mine.life, mine.since = Status.ALIVE, self.life, now
        self.health = OwnHealth(limits.health_most)
        self.news = news if news is not None else News(limits, self.own)
        self.counts: Counter[str] = Counter()  # what happened, by name; refusals as refused_REASON
        self.heard_at = -math.inf  # when a datagram was last taken from anybody
        self.left = False
        self._out: list[tuple[int, bytes]] = []
        self._changes: list[Change] = []
        self._numbers = random.randrange(0x10000)
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._unanswered: dict[int, float] = {}  # members that did not answer a probe for another, and when
        self._suspicions: dict[int, Suspicion] = {}
        # Enough sends of a claim to reach all with high probability (SWIM, 4.1).
        self._claims = ClaimQueue(math.ceil(limits.transmissions * math.log10(self.n + 1)))
        self._pieces = Pieces(self.members, universe)
        self._round: list[int] = []  # members still to be probed in this round, last first
        self._credit: dict[int, tuple[float, float]] = {}  # sender -> replies left, and when counted
        self._told_at: dict[int, float] = {}  # members that were told of an accusation, and when
        self._sync_wait = FIRST_SYNC_MS
        first = random.random()  # a fleet that starts at once must not probe in step
        self._probe_at = now + limits.period_ms * first
        self._gossip_at = now + limits.gossip_ms * (1 + random.random())
        self._sync_at = now + FIRST_SYNC_MS * (0.5 + random.random())
        self._reconnect_at = now + limits.reconnect_ms * (0.5 + random.random())
        if self.n > 1:
            self._claims.add(self.own)

    # -- what drives it ---------------------------------------------------------------------------

    def next_due(self) -> float:
        """When `advance` is wanted next, ms. Infinite for a fleet of one and after a leave."""
        if self.n < 2 or self.left:
            return math.inf
        due = min(self._probe_at, self._gossip_at, self._sync_at, self._reconnect_at)
        if self._probe is not None:
            due = min(due, self._probe.again_at, self._probe.helped_at)
        for relay in self._relays.values():
            due = min(due, relay.nack_at, relay.ends_at)
        for suspicion in self._suspicions.values():
            due = min(due, suspicion.due(self.health.factor))
        return due

    def advance(self, now: float) -> None:
        """Does what is due."""
        if self.n < 2 or self.left:
            return
        self._guard_stall(now)
        limits = self.limits
        if self._probe is not None:
            self._go_on(self._probe, now)
        self._run_relays(now)
        for member in [m for m, s in self._suspicions.items() if s.due(self.health.factor) <= now]:
            self._set(member, Status.FAILED, now, "suspicion ran out", accuser=self.own)
        if self._probe_at <= now:
            self._end_probe(now)
            self._begin_probe(now)
            self._probe_at = now + limits.period_ms * self.health.factor
        if self._gossip_at <= now:
            self._gossip_at = now + limits.gossip_ms
            if self._claims or self.news.waiting:
                for member in self._some(limits.gossip_to, self._present()):
                    self._send(Kind.GOSSIP, member, now)
        if self._reconnect_at <= now:
            self._reconnect_at = now + limits.reconnect_ms * (0.5 + self._random.random())
            gone = [m for m, x in enumerate(self.members) if x.status in (Status.UNKNOWN, *QUIET_STATUS)]
            for member in self._some(1, gone):
                self.counts["reconnects"] += 1
                self._send(Kind.PING, member, now, number=self._number(), target=member)
        if self._sync_at <= now:
            self._sync(now)

    def receive(self, data: bytes, source: Address, now: float) -> None:
        """Takes one datagram. What can't be used is counted under its reason and changes nothing."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        if self.left:
            return self._refuse("after leaving")
        try:
            d = decode(data)
        except Refused as error:
            return self._refuse(str(error))
        sender = self.universe.number(source)
        if sender is None or sender == self.own:
            return self._refuse("from elsewhere")
        if d.sender != sender:
            return self._refuse("another's number")
        if self._future(d.life, now):
            return self._refuse("from the future")
        self._guard_stall(now)
        if d.universe != self.universe.digest:
            self.counts["other_list"] += 1  # its claims are checked one by one, by print
        if now - self.heard_at > self.limits.silence_ms:
            self._sync_soon(now)  # nobody was heard for long: much may have been missed
        self.heard_at = now
        self.members[sender].heard_at, self.members[sender].vouched = now, False
        self._heard(sender, d.life, d.inc, now)
        for claim in d.claims:
            self._claimed(claim, now)
        accused = any(c.member == self.own and c.status is not Status.ALIVE for c in d.claims)
        if accused and d.kind is not Kind.PING:  # its answer to a ping tells the accuser as well
            self._tell_soon(sender, now)
        for fact in d.facts:
            if fact.reporter < self.n and fact.reporter != self.own:
                self.news.hear(fact, now)
        self._answer(d, sender, now)

    def leave(self, now: float) -> None:
        """A graceful end: says so to a few members, who spread it. Nothing is done after that."""
        if self.left or self.n < 2:
            return
        self.members[self.own].status = Status.LEFT
        self._claims.add(self.own)
        for member in self._some(2 * self.limits.helpers, self._present()):
            self._send(Kind.GOSSIP, member, now)
        self.left = True

    def take_out(self) -> list[tuple[Address, bytes]]:
        """The datagrams to send now, in order."""
        out, self._out = self._out, []
        return [(self.universe.addresses[member], data) for member, data in out]

    def take_changes(self) -> list[Change]:
        """Members whose state changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    # -- what it knows ----------------------------------------------------------------------------

    def count(self, *statuses: Status) -> int:
        """How many members, itself included, are held to be in one of these states."""
        return sum(m.status in statuses for m in self.members)

    def alive(self) -> set[int]:
        """Members held to be alive and under no suspicion, itself included."""
        return {n for n, m in enumerate(self.members) if m.status is Status.ALIVE}

    # -- probes -----------------------------------------------------------------------------------

    def _begin_probe(self, now: float) -> None:
        target = self._next_target()
        if target is None:
            return
        number = self._number()
        wait = self.limits.timeout_ms * self.health.factor
        self._probe = _Probe(target, number, now + wait / 2, now + wait)
        self.counts["probes"] += 1
        self._send(Kind.PING, target, now, number=number, target=target)

    def _next_target(self) -> int | None:
        """Round robin over a list that is shuffled anew each time it is through."""
        for _ in range(2 * self.n):
            if not self._round:
                self._round = [m for m in range(self.n) if m != self.own]
                self._random.shuffle(self._round)
            member = self._round.pop()
            m = self.members[member]
            if m.status in (Status.ALIVE, Status.SUSPECT) or m.status is Status.UNKNOWN and not m.tried:
                return member
        return None

    def _go_on(self, probe: _Probe, now: float) -> None:
        """The next steps of a probe that has no answer yet."""
        if probe.again_at <= now:  # one lost datagram must not set helpers to work
            wait = self.limits.timeout_ms * self.health.factor / 2
            last = self._probe_at - wait  # an answer to a later one would come after the period
            probe.again_at = now + wait if now + wait <= last else math.inf
            self._send(Kind.PING, probe.target, now, number=probe.number, target=probe.target, alone=True)
        if probe.helped_at <= now:
            probe.helped_at = math.inf
            self._ask_helpers(probe, now)

    def _ask_helpers(self, probe: _Probe, now: float) -> None:
        if self.members[probe.target].status is Status.UNKNOWN:
            return  # not known ever to have been there: helpers would tell no more
        helpers = self._some(self.limits.helpers, [m for m in self._present() if m != probe.target])
        probe.nacks_due = len(helpers)
        for helper in helpers:
            self._send(Kind.PING_REQ, helper, now, number=probe.number, target=probe.target)

    def _end_probe(self, now: float) -> None:
        """No answer in the whole period, neither direct nor by a helper."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        member = self.members[probe.target]
        if member.status is Status.UNKNOWN:
            member.tried = True
            return
        self.counts["probes_failed"] += 1
        # Lifeguard: helpers that say nothing accuse this process, those that say "no" speak for it. One "no"
        # is enough here: where many have died at once, most helpers are silent because they are dead.
        self.health.worse(0 if probe.nacks else 1)
        strange = member.heard_at == -math.inf and probe.nacks < max(probe.nacks_due, 1)
        if member.vouched or strange:
            # A one-way cut, or an older list there: its silence here tells of the link. Who never answered
            # here at all is accused only if every helper found the same.
            self.counts["probes_undecided"] += 1
        elif member.status in (Status.ALIVE, Status.SUSPECT):
            self._suspect(probe.target, self.own, now, "no answer")

    def _run_relays(self, now: float) -> None:
        for key, relay in list(self._relays.items()):
            if relay.nack_at <= now:
                relay.nack_at = math.inf
                self._unanswered[relay.target] = now
                self._send(Kind.NACK, relay.origin, now, number=relay.number, target=relay.target)
            if relay.ends_at <= now:
                del self._relays[key]

    def _answer(self, d: Datagram, sender: int, now: float) -> None:
        """What the kind of a datagram asks for."""
        if d.kind in (Kind.PING, Kind.PING_REQ, Kind.SYNC) and not self._may_reply(sender, now):
            self.counts["flooding"] += 1
            return
        match d.kind:
            case Kind.PING:
                if d.target != self.own:
                    return self._refuse("meant for another")
                self._send(Kind.ACK, sender, now, number=d.number, target=self.own)
            case Kind.PING_REQ:
                if d.target >= self.n or d.target in (self.own, sender):
                    return self._refuse("no such member")
                if len(self._relays) >= MOST_RELAYS:
                    self.counts["relays_full"] += 1
                    return
                number, limits = self._number(), self.limits
                # A helper says "no" before the asker's period ends, so that it can tell who is at fault.
                nack_at = now + min(0.8 * limits.timeout_ms, 0.6 * (limits.period_ms - limits.timeout_ms))
                self._relays[number] = _Relay(sender, d.number, d.target, nack_at, now + 2 * limits.period_ms)
                self._send(Kind.PING, d.target, now, number=number, target=d.target)
            case Kind.ACK:
                self._acked(d, sender, now)
            case Kind.NACK:
                if self._probe is not None and self._probe.number == d.number:
                    self._probe.nacks += 1
            case Kind.SYNC:
                self._answer_sync(d, sender, now)
            case Kind.PIECE:
                self._answer_piece(d, sender, now)

    def _acked(self, d: Datagram, sender: int, now: float) -> None:
        probe = self._probe
        if probe is not None and d.number == probe.number and d.target == probe.target:
            self._probe = None
            self.health.better()
            self.members[d.target].vouched = sender != d.target
            self.counts["probes_acked" if sender == d.target else "probes_helped"] += 1
            return
        relay = self._relays.get(d.number)
        if relay is not None and relay.target == sender == d.target:
            del self._relays[d.number]
            self._unanswered.pop(sender, None)
            self._send(Kind.ACK, relay.origin, now, number=relay.number, target=sender)

    def _may_reply(self, sender: int, now: float) -> bool:
        """Guards against a member gone mad: answers to one sender are bounded, whatever it asks."""
        most = self.limits.replies_per_s
        left, since = self._credit.get(sender, (most, now))
        left = min(most, left + (now - since) * most / 1000)
        self._credit[sender] = (max(left - 1, 0.0), now)
        return left >= 1

    # -- stalls -----------------------------------------------------------------------------------

    def _guard_stall(self, now: float) -> None:
        """Guards the others against this process standing still (SIGSTOP, a starved core).

        Timers that ran meanwhile tell of nobody else: the probe is forgotten, suspicions begin anew and the
        accused are told, and the own health is worse for a while.
        """
        late = now - self._gossip_at  # it is never further off than gossip_ms, and nothing brings it forward
        if late <= self.limits.stall_ms:
            return
        self.counts["stalls"] += 1
        self.counts["stalled_ms"] += int(late)
        self.health.worse(2)
        self._probe = None
        self._relays.clear()
        for member, suspicion in self._suspicions.items():
            suspicion.started = now
            self._tell_soon(member, now)
        self._probe_at = now + self.limits.period_ms * self._random.random()
        self._gossip_at = self._reconnect_at = now + self.limits.gossip_ms
        self._sync_soon(now)

    # -- claims -----------------------------------------------------------------------------------

    def _heard(self, sender: int, life: int, inc: int, now: float) -> None:
        """A datagram came from the member itself: nothing proves better that this incarnation lives."""
        m = self.members[sender]
        if (life, inc) > m.version or m.status is Status.UNKNOWN:
            cause = "restarted" if m.life and life > m.life else "heard"
            self._adopt(sender, life, inc, Status.ALIVE, NOBODY, now, cause)
        elif m.status is not Status.ALIVE:
            self._tell_soon(sender, now)

    def _tell_soon(self, member: int, now: float) -> None:
        """Lifeguard's buddy system: who is accused hears it at once, and its accuser hears the refutation.

        What the two must hear is in every datagram between them (`_claims`, the header).
        """
        if now - self._told_at.get(member, -math.inf) >= self.limits.period_ms / 2:
            self._told_at[member] = now
            self._send(Kind.GOSSIP, member, now)

    def _claimed(self, c: Claim, now: float) -> None:
        if c.member >= self.n:
            return self._refuse("claim on a stranger")
        if c.print != self.universe.prints[c.member]:
            return self._refuse("claim by another list")
        if self._future(c.life, now):
            return self._refuse("claim from the future")
        if c.member == self.own:
            return self._about_me(c, now)
        m = self.members[c.member]
        if c.version < m.version:
            return
        if c.version > m.version:
            self._newer(c, m, now)
        elif c.status is Status.LEFT and m.status is not Status.LEFT:
            self._set(c.member, Status.LEFT, now, "left")
        elif c.status in (Status.SUSPECT, Status.FAILED) and m.status in (Status.ALIVE, Status.SUSPECT):
            self._suspect(c.member, c.accuser, now, f"accused by {c.accuser}")
            suspicion = self._suspicions.get(c.member)
            # The word of a failure counts as one more accuser: one liar can't end anybody.
            if c.status is Status.FAILED and suspicion is not None and suspicion.confirmed:
                self._set(c.member, Status.FAILED, now, "told as failed", accuser=c.accuser)

    def _newer(self, c: Claim, m: Member, now: float) -> None:
        """A claim on a later incarnation than the one held."""
        match c.status:
            case Status.ALIVE | Status.LEFT:
                cause = "restarted" if m.life and c.life > m.life else "told"
                self._adopt(c.member, c.life, c.inc, c.status, NOBODY, now, cause)
            case _:  # also of one not heard of before: who has just started must not believe one voice
                self._adopt(c.member, c.life, c.inc, Status.ALIVE, NOBODY, now, "told")
                self._suspect(c.member, c.accuser, now, f"accused by {c.accuser}")

    def _about_me(self, c: Claim, now: float) -> None:
        """Refutes what others say of this process; a claim on an earlier life of it needs a newer one."""
        own = (self.life, self.inc)
        if c.version < own or c.version == own and c.status is Status.ALIVE:
            return
        self.life, self.inc = c.life, c.inc + 1
        if self.inc > MOST_INC:
            self.life, self.inc = min(c.life + 1, MOST_LIFE), 0
        mine = self.members[self.own]
        mine.life, mine.inc = self.life, self.inc
        self.counts["refuted"] += 1
        if c.status in (Status.SUSPECT, Status.FAILED):
            self.health.worse()
        self._claims.add(self.own)

    def _suspect(self, member: int, accuser: int, now: float, cause: str) -> None:
        """Begins a suspicion, or adds an accuser to one."""
        suspicion = self._suspicions.get(member)
        if suspicion is None:
            limits, alive = self.limits, max(self.count(Status.ALIVE, Status.SUSPECT), 2)
            if accuser != self.own and self._indiscriminate(accuser, alive):
                self.counts["accusers_ignored"] += 1
                return
            least = limits.suspicion * max(1.0, math.log10(alive)) * limits.period_ms
            enough = max(min(limits.confirmations, alive - 2), 0)
            most = limits.suspicion_most * least
            self._suspicions[member] = Suspicion(now, accuser, least, most, enough)
            self._set(member, Status.SUSPECT, now, cause, accuser=accuser)
            # A helper whose own probe went unanswered just now is a witness: no need for another probe.
            if now - self._unanswered.get(member, -math.inf) <= 2 * limits.period_ms:
                self._suspect(member, self.own, now, "no answer to a probe for another")
        elif suspicion.confirm(accuser):
            self.members[member].accuser = accuser
            self._claims.add(member)

    def _indiscriminate(self, accuser: int, alive: int) -> bool:
        """Guards against a sick or lying member: who alone accuses a quarter of all is at fault itself."""
        alone = sum(s.accusers == {accuser} for s in self._suspicions.values())
        return alone >= max(ALONE_LEAST, alive // 4)

    def _adopt(
        self, member: int, life: int, inc: int, status: Status, accuser: int, now: float, cause: str
    ) -> None:
        """Takes over another incarnation."""
        m = self.members[member]
        new = m.status is Status.UNKNOWN
        m.life, m.inc, m.tried = life, inc, False
        self._suspicions.pop(member, None)
        if m.status is status and status is Status.ALIVE:
            if cause == "restarted":
                self._changes.append(Change(now, member, m.status, status, life, inc, cause))
            self._claims.add(member)
            return
        self._set(member, status, now, cause, accuser)
        if new and now - self.started_at < self.limits.settle_ms:
            self._claims.add(member, START_SENDS)  # when all start at once, all are news to all

    def _set(self, member: int, status: Status, now: float, cause: str, accuser: int = NOBODY) -> None:
        """The one place where a member's status changes."""
        m = self.members[member]
        before, m.status, m.since, m.accuser = m.status, status, now, accuser
        if status is not Status.SUSPECT:
            self._suspicions.pop(member, None)
        self._changes.append(Change(now, member, before, status, m.life, m.inc, cause))
        self._claims.add(member)

    def _future(self, life: int, now: float) -> bool:
        return life > life_of(now + self._unix_offset + self.limits.skew_ms)

    def _refuse(self, reason: str) -> None:
        self.counts["refused_" + reason.replace(" ", "_")] += 1

    # -- spreading --------------------------------------------------------------------------------

    def _claim(self, member: int) -> Claim:
        m = self.members[member]
        return Claim(member, self.universe.prints[member], m.status, m.life, m.inc, m.accuser)

    def _claims_for(self, room: int, to: int, first: Iterable[int]) -> tuple[Claim, ...]:
        """The claims for one datagram: what the receiver must hear, then what was sent least often.

        What is said of the receiver itself comes always, since it alone can refute.
        """
        chosen = list(first)
        if self.members[to].status in (Status.SUSPECT, *QUIET_STATUS) and to not in chosen:
            chosen.append(to)
        most = room // CLAIM_BYTES
        chosen = chosen[:most]
        chosen += self._claims.take(most - len(chosen), chosen)
        return tuple(self._claim(m) for m in chosen)

    def _send(
        self, kind: Kind, to: int, now: float, *, number: int = 0, target: int = NOBODY,
        first: tuple[int, ...] = (), pieces: tuple[tuple[int, int], ...] = (), alone: bool = False,
    ) -> None:  # fmt: skip
        """Puts one datagram out, with as much news as it has room for (`alone`: only what is named)."""
        room = MOST_BYTES - EMPTY_BYTES - PIECE_BYTES * len(pieces)
        if alone:
            claims, facts = tuple(self._claim(m) for m in first), tuple[Fact, ...]()
        else:
            facts = self.news.take(room // 2 // FACT_BYTES, now)
            claims = self._claims_for(room - FACT_BYTES * len(facts), to, first)
        d = Datagram(
            kind, self.own, self.universe.digest, self.life, self.inc, number, target, pieces, claims, facts
        )
        data = encode(d)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self._out.append((to, data))

    # -- anti-entropy -----------------------------------------------------------------------------

    def _sync(self, now: float) -> None:
        """Sends digests to one member; it answers with the claims of pieces that differ.

        Often at first and while exchanges bring something, seldom when all agree.
        """
        self._sync_at = now + self._sync_wait * (0.5 + self._random.random())
        self._sync_wait = min(2 * self._sync_wait, self.limits.sync_ms)
        # One that was heard lately will answer; only without any does the choice fall on all.
        heard = [m for m in self._present() if now - self.members[m].heard_at <= self.limits.silence_ms]
        known = heard or self._present() or [m for m in range(self.n) if m != self.own]
        total = len(self._pieces)
        at = self._random.randrange(total)
        chosen = sorted({(at + k) % total for k in range(min(PIECES_ASKED, total))})
        pieces = tuple((piece, self._pieces.digest(piece)) for piece in chosen)
        for member in self._some(1, known):
            self.counts["syncs"] += 1
            self._send(Kind.SYNC, member, now, pieces=pieces)

    def _sync_soon(self, now: float) -> None:
        self._sync_wait = FIRST_SYNC_MS
        self._sync_at = min(self._sync_at, now + FIRST_SYNC_MS * (0.5 + self._random.random()))

    def _answer_sync(self, d: Datagram, sender: int, now: float) -> None:
        differ = self._pieces.differing(d.pieces)
        for piece in self._random.sample(differ, min(PIECES_SENT, len(differ))):
            self._send_piece(piece, sender, now, answer=True)

    def _send_piece(self, piece: int, to: int, now: float, answer: bool) -> None:
        known = self._pieces.known(piece)
        self.counts["pieces"] += 1
        self._send(Kind.PIECE, to, now, number=piece, target=int(answer), first=known, alone=True)

    def _answer_piece(self, d: Datagram, sender: int, now: float) -> None:
        """Its claims were taken already. What is newer here goes back, once.

        A piece came because something differed: the next exchange follows soon.
        """
        self._sync_soon(now)
        if d.target != 1 or d.number >= len(self._pieces):
            return
        if self._pieces.newer_than(d.claims, d.number):
            self._send_piece(d.number, sender, now, answer=False)

    # -- helpers ----------------------------------------------------------------------------------

    def _number(self) -> int:
        self._numbers = (self._numbers + 1) & 0xFFFF
        return self._numbers

    def _present(self) -> list[int]:
        """Other members that are held to be there."""
        return [
            n for n, m in enumerate(self.members)
            if n != self.own and m.status in (Status.ALIVE, Status.SUSPECT)
        ]  # fmt: skip

    def _some(self, most: int, among: list[int]) -> list[int]:
        return self._random.sample(among, min(most, len(among)))
