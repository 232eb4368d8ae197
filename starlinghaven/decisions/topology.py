"""The stores that a proxy may use, by the part that they play for it."""

from __future__ import annotations

from collections import OrderedDict

from starlinghaven import interface as i
from starlinghaven.decisions.stores import StoreState


class Topology:
    """The listed stores with what is known of each, and which of them take new work in which role."""

    def __init__(self, settings: i.Settings) -> None:
        self._settings = settings
        self.stores: OrderedDict[str, StoreState] = OrderedDict()
        self.caches: list[StoreState] = []  # of the own zone
        self.parents: list[StoreState] = []
        self.origins: list[StoreState] = []

    def update(self, event: i.Members) -> None:
        """Takes over a list, or changes to one. A store that restarted is known by nothing but its line."""
        if event.kind is not i.ListKind.PARTIAL:
            listed = {m.store for m in event.entries}
            for name in [n for n in self.stores if n not in listed]:
                del self.stores[name]
        for member in event.entries:
            self._update_line(member)
        up = [s for s in self.stores.values() if s.m.phase is i.Phase.UP]
        behind = (self._settings.origin_kind, self._settings.parent_kind)
        self.caches = [s for s in up if s.m.kind not in behind and s.m.zone == self._settings.zone]
        self.parents = [s for s in up if s.m.kind == self._settings.parent_kind]
        self.origins = [s for s in up if s.m.kind == self._settings.origin_kind]

    def _update_line(self, member: i.Member) -> None:
        known = self.stores.get(member.store)
        if member.phase is i.Phase.GONE:
            self.stores.pop(member.store, None)
        elif known is None or known.m.started_ms != member.started_ms:
            state = self.stores[member.store] = StoreState(member)
            if known:
                state.out, state.lent = known.out, known.lent
                # It may have been sent to as cold already, when its start counted as known without news.
                state.spent, state.total, state.free_at = known.spent, known.total, known.free_at
        else:
            known.m = member
