"""How busy stores are, and how long requests take: the load model. Times are milliseconds.

A cache's capacity is in transfers at full pace; its load is the requests held over its capacity.
"""

from __future__ import annotations

from starlinghaven import interface as i
from starlinghaven.decisions.cold import ColdBudgets
from starlinghaven.decisions.fills import REPORT_MS, FillLink, report_weight
from starlinghaven.decisions.stores import FILL_SHARE, StoreState
from starlinghaven.decisions.topology import Topology

HEADROOM = 0.75  # part of the aim that the predicted sending time may fill
LEAST_LIMIT, MOST_LIMIT = 1.2, 4.0  # load from which a request is refused, at least and at most
AGAIN = 0.45  # part of that limit for a client's repeat: it has lost most of its time already
BUSY = 0.8  # utilisation from which all requests held count as load, below in proportion
FIRST_UNIT = 8.0  # transfers assumed to fit into a weight of 1 where weights tell nothing
MEAN_STEP = 0.02  # weight of one answer in the mean sending time of its class
FILL_PACE = 2.0  # times a client's pace at which a fill runs on a free link, at the least
JAM_LEAST = 2.0  # link load below which fills go on


class LoadModel:
    """Capacities and loads of stores, sending times of classes, and the location's link."""

    def __init__(self, settings: i.Settings, topology: Topology, cold: ColdBudgets) -> None:
        self._settings, self._topology, self._cold = settings, topology, cold
        self._weights_count = settings.weights in (i.Weights.NOMINAL, i.Weights.ROUGH)
        self._unit = 1.0 if self._weights_count else FIRST_UNIT
        self.sending = [0.0] * len(settings.classes)  # mean sending time of a class, once seen
        self.link = FillLink()

    # -- stores -----------------------------------------------------------------------------------

    def weight(self, store: StoreState) -> float:
        """The listed weight, where it means something."""
        return store.m.weight if self._weights_count else 1.0

    def full_capacity(self, store: StoreState) -> float:
        """Transfers that a store can send at full pace once it is warm."""
        return self._unit * self.weight(store)

    def capacity(self, store: StoreState, now: float) -> float:
        """Transfers that a store can send at full pace at this moment."""
        return max(self.full_capacity(store) * self._cold.warmth(store, now), 0.01)

    def load(self, store: StoreState, now: float) -> float:
        """Requests held that keep a store busy, over its capacity; those that wait for fills do not."""
        return self.held(store, now) * store.busy

    def held(self, store: StoreState, now: float) -> float:
        """Requests held over capacity; a cache not heard of lately is taken to be as full as its peers."""
        proxies, capacity = self._cold.sharers(store), self.capacity(store, now)
        if proxies == 1 or now - store.reported_at < REPORT_MS:
            return (store.out + (max(store.others, 0.0) if proxies > 1 else 0.0)) / capacity
        caches = self._topology.caches
        peers = caches if store in caches else [store]
        told = [p for p in peers if now - p.reported_at < REPORT_MS]
        if told:  # the middle one: a cache that reports nonsense must not make all seem full
            others = sorted(max(p.others, 0.0) / self.capacity(p, now) for p in told)
            return store.out / capacity + others[len(others) // 2]
        return (store.out + sum(p.out for p in peers) / len(peers) * (proxies - 1)) / capacity

    def learn(self, store: StoreState, report: object, now: float) -> None:
        """Takes a load report into account; anything else is passed over."""
        if not isinstance(report, dict):
            return
        if "inflight" in report:
            step = report_weight(now - store.reported_at)
            store.others += step * (float(report["inflight"]) - store.out - store.others)  # below 0 by lag
            store.reported_at = now
        if "hits" in report or "util" in report:
            step, store.heard = report_weight(now - store.heard), now
            store.busy += step * (min(float(report.get("util", 1.0)) / BUSY, 1.0) - store.busy)
            store.hits += step * (float(report.get("hits", 1 - FILL_SHARE)) - store.hits)
        if "link" in report and store.m.kind != self._settings.parent_kind:
            self.link.report(float(report["link"]), now)

    # -- requests ---------------------------------------------------------------------------------

    def mean(self, cls: int) -> float:
        """The mean sending time of a class."""
        return self.sending[cls] or self._settings.classes[cls].target_ms

    def observe(self, cls: int, sending_ms: float) -> None:
        """Takes one sending time into the mean of its class."""
        mean = self.sending[cls]
        step = MEAN_STEP * (sending_ms - mean)
        self.sending[cls] = mean + step if mean else (sending_ms + self.mean(cls)) / 2

    def work(self, request: i.Request) -> float:
        """Sending time of a request at full pace, by its own size where that is told."""
        return self._own_work(request) or self.mean(request.cls)

    def cost(self, request: i.Request) -> float:
        """What a request counts for in a cold budget: its own sending time, or the mean if that is more."""
        return max(self._own_work(request), self.mean(request.cls))

    def _own_work(self, request: i.Request) -> float:
        pace = self._settings.pace_kb_per_s
        return 1000.0 * request.size_kb / pace if pace else 0.0

    def limit(self, request: i.Request) -> float:
        """The load at which a request is predicted to miss its aim: long ones are refused first."""
        cls = self._settings.classes[request.cls]
        limit = HEADROOM * (cls.target_ms / self.work(request) + cls.stretch)
        limit = min(max(limit, LEAST_LIMIT), MOST_LIMIT) * (AGAIN if request.again else 1.0)
        return limit * request.load_share

    def link_full(self, request: i.Request, now: float) -> bool:
        """Whether the location's link is too full for a fill in time: a parent's copy comes over it too."""
        cls = self._settings.classes[request.cls]
        bound = HEADROOM * FILL_PACE * (cls.target_ms / self.work(request) + cls.stretch)
        bound *= AGAIN if request.again else 1.0
        return self.link.over(max(bound, JAM_LEAST), now)

    # -- cold budgets -----------------------------------------------------------------------------

    def affordable(self, store: StoreState, request: i.Request, now: float) -> bool:
        """Whether a store's cold budget allows a request now."""
        largest_mean = max(self.mean(cls) for cls in range(len(self._settings.classes)))
        return self._cold.allows(store, self.capacity(store, now), self.cost(request), largest_mean, now)

    def spend(self, store: StoreState, request: i.Request, at: float, now: float) -> None:
        """Counts a request in a store's cold budget where it may reach the store at the latest."""
        self._cold.spend(store, self.capacity(store, now), self.cost(request), at, now)
