"""Admitting connections: which new client connection is taken, and which is refused. No I/O.

The listener asks `Admission.admit(address, now_s)` for each accepted socket and tells
`released(address)` when it closes and `served(address, now_s)` when a request on it completed.
The answer is an `Admit` or a `Refuse` with a reason and a time to come back; the caller closes a
refused socket at once, with its front's own refusal where the protocol has one.

Order of the checks, each one a standard technique:

1. **Global places** (`places`): derived by the caller from RLIMIT_NOFILE and the share kept for
   stores and fills; a share of them (`reserve`) is held back for *known* clients.
2. **Known clients**: addresses in the operator's allow-list (an `IPSet`, netaddr), and addresses
   that completed a request within `remember_s`, kept in a bounded table that forgets the least
   recently seen first (`remember_most` entries).
3. **Per-address cap** (`per_address`) and **per-prefix cap** (`per_prefix`, by /`prefix_v4` or
   /`prefix_v6`): one noisy address or one noisy network cannot take every place.
4. **Accept rate per prefix**: a token bucket (`rate_per_s`, `burst`), so that a flood of new
   connections from one network is refused before it costs a handshake each.

Known clients pass 3 and 4 and may use the reserve; unknown ones may not. Everything is bounded:
the tables hold at most `remember_most` addresses and `track_most` prefixes.

Sources: the per-source limits follow common practice of connection limiting in edge proxies
(limits by address and by network, token buckets as in RFC 2697's single-rate meter); IPv4-mapped
IPv6 addresses are taken as IPv4 (RFC 4291, section 2.5.5.2).
"""

from __future__ import annotations

import bisect
import enum
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

import netaddr

K = TypeVar("K")


class Why(enum.Enum):
    FULL = "no place left"
    RESERVED = "the places left are kept for known clients"
    ADDRESS = "too many connections from this address"
    PREFIX = "too many connections from this network"
    RATE = "new connections from this network come too fast"
    BAD = "not an address"


@dataclass(frozen=True, slots=True)
class Admit:
    known: bool  # whether it counts as a known client
    source: str  # the address, as normalised


@dataclass(frozen=True, slots=True)
class Refuse:
    why: Why
    retry_after_s: float  # when to come back; 0 where nothing can be said
    source: str = ""


@dataclass(frozen=True, slots=True)
class Limits:
    """The operator's limits. Counts are connections; times in seconds. Checked by `check`."""

    places: int = 512
    reserve: float = 0.1  # share of places that only known clients may take
    per_address: int = 64
    per_prefix: int = 256
    prefix_v4: int = 24
    prefix_v6: int = 56
    rate_per_s: float = 200.0  # new connections per prefix and second, on average
    burst: float = 400.0
    remember_s: float = 600.0
    remember_most: int = 65_536
    track_most: int = 65_536
    known: tuple[str, ...] = ()  # networks or addresses of the allow-list, as text

    def check(self) -> list[str]:
        """Reasons why these limits are unusable; empty when they are fine."""
        wrong = []
        if self.places < 1:
            wrong.append("places: at least 1")
        if not 0.0 <= self.reserve < 1.0:
            wrong.append("reserve: a share, at least 0 and below 1")
        if not 1 <= self.per_address <= self.per_prefix:
            wrong.append("per-address: at least 1, and not above per-prefix")
        if not 0 <= self.prefix_v4 <= 32 or not 0 <= self.prefix_v6 <= 128:
            wrong.append("prefix-v4 0 to 32, prefix-v6 0 to 128")
        if self.rate_per_s <= 0 or self.burst < 1:
            wrong.append("rate-per-s above 0, burst at least 1")
        if self.remember_s <= 0 or self.remember_most < 1 or self.track_most < 1:
            wrong.append("remember-s above 0, remember-most and track-most at least 1")
        for item in self.known:
            try:
                netaddr.IPNetwork(item)
            except (netaddr.AddrFormatError, ValueError, TypeError):
                wrong.append(f"known: {item!r} is no address or network")
        return wrong


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at_s: float


@dataclass(slots=True)
class Admission:
    """The controller; one per listener, owned by the task that accepts."""

    limits: Limits = field(default_factory=Limits)
    open: int = 0  # connections held now
    by_address: dict[str, int] = field(default_factory=dict)
    by_prefix: dict[tuple[int, int], int] = field(default_factory=dict)  # (IP version, network) -> count
    _recent: OrderedDict[str, float] = field(default_factory=OrderedDict)  # known by use, oldest first
    _buckets: OrderedDict[tuple[int, int], _Bucket] = field(default_factory=OrderedDict)
    _starts: dict[int, list[int]] = field(init=False)  # the allow-list as merged ranges, by IP version
    _ends: dict[int, list[int]] = field(init=False)

    def __post_init__(self) -> None:
        if wrong := self.limits.check():
            raise ValueError("; ".join(wrong))
        # IPSet merges the list; membership is then a bisection (IPSet's own test costs some 40 us)
        self._starts, self._ends = {4: [], 6: []}, {4: [], 6: []}
        for span in netaddr.IPSet(self.limits.known).iter_ipranges():
            self._starts[span.version].append(span.first)
            self._ends[span.version].append(span.last)

    # -- what the listener asks -------------------------------------------------------------------

    def admit(self, address: str, now_s: float) -> Admit | Refuse:
        """Whether to take a new connection from `address` (text, IPv4 or IPv6)."""
        try:
            ip = _normal(address)
        except (netaddr.AddrFormatError, ValueError, TypeError):
            return Refuse(Why.BAD, 0.0)
        source, prefix = str(ip), self._prefix(ip)
        known = self.is_known(ip, now_s)
        t = self.limits
        free = t.places - self.open
        if free <= 0:
            return Refuse(Why.FULL, 1.0, source)
        if not known:
            if free <= round(t.places * t.reserve):
                return Refuse(Why.RESERVED, 1.0, source)
            if self.by_address.get(source, 0) >= t.per_address:
                return Refuse(Why.ADDRESS, 1.0, source)
            if self.by_prefix.get(prefix, 0) >= t.per_prefix:
                return Refuse(Why.PREFIX, 1.0, source)
            wait = self._take_token(prefix, now_s)
            if wait > 0:
                return Refuse(Why.RATE, wait, source)
        self.open += 1
        self.by_address[source] = self.by_address.get(source, 0) + 1
        self.by_prefix[prefix] = self.by_prefix.get(prefix, 0) + 1
        return Admit(known, source)

    def released(self, source: str) -> None:
        """A connection that was admitted has closed; `source` as `Admit.source` gave it."""
        ip = netaddr.IPAddress(source)
        self.open = max(self.open - 1, 0)
        _down(self.by_address, source)
        _down(self.by_prefix, self._prefix(ip))

    def served(self, source: str, now_s: float) -> None:
        """A request from `source` completed: it is a known client for `remember_s`."""
        self._recent[source] = now_s
        self._recent.move_to_end(source)
        while len(self._recent) > self.limits.remember_most:
            self._recent.popitem(last=False)

    def is_known(self, ip: netaddr.IPAddress, now_s: float) -> bool:
        value, starts = int(ip), self._starts[ip.version]
        at = bisect.bisect_right(starts, value) - 1
        if at >= 0 and value <= self._ends[ip.version][at]:
            return True
        seen = self._recent.get(str(ip))
        if seen is None:
            return False
        if now_s - seen > self.limits.remember_s:
            del self._recent[str(ip)]
            return False
        return True

    @property
    def tracked(self) -> int:
        """Entries held in all tables: bounded by remember_most + track_most + open connections."""
        return len(self._recent) + len(self._buckets) + len(self.by_address) + len(self.by_prefix)

    # -- inside ------------------------------------------------------------------------------------

    def _prefix(self, ip: netaddr.IPAddress) -> tuple[int, int]:
        if ip.version == 4:
            return 4, int(ip) >> (32 - self.limits.prefix_v4)
        return 6, int(ip) >> (128 - self.limits.prefix_v6)

    def _take_token(self, prefix: tuple[int, int], now_s: float) -> float:
        """Takes one token of the prefix's bucket; 0 if it had one, else seconds until it will."""
        t = self.limits
        bucket = self._buckets.get(prefix)
        if bucket is None:
            bucket = self._buckets[prefix] = _Bucket(t.burst, now_s)
            while len(self._buckets) > t.track_most:
                self._buckets.popitem(last=False)  # the longest unseen is forgotten: it had refilled
        else:
            self._buckets.move_to_end(prefix)
            bucket.tokens = min(t.burst, bucket.tokens + (now_s - bucket.at_s) * t.rate_per_s)
            bucket.at_s = now_s
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0.0
        return (1.0 - bucket.tokens) / t.rate_per_s


def _normal(address: str) -> netaddr.IPAddress:
    ip = netaddr.IPAddress(address)
    if ip.version == 6 and ip.is_ipv4_mapped():
        return ip.ipv4()
    return ip


def _down(counts: dict[K, int], key: K) -> None:
    n = counts.get(key, 0) - 1
    if n > 0:
        counts[key] = n
    else:
        counts.pop(key, None)
