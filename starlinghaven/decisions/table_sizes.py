"""How much the tables of the decisions may hold: names come from clients and from the change log."""

from __future__ import annotations

from dataclasses import dataclass

COUNT_BYTES, PURGE_BYTES = 224, 320  # of an entry in memory
RANKING_BYTES, RANKED_STORE_BYTES = 448, 8  # of a ranking, and of each store in it
COUNTS_PART, PURGES_PART, OWN_PURGES_PART, RANKINGS_PART = 0.15, 0.25, 0.15, 0.45  # of all tables


@dataclass(frozen=True, slots=True)
class TableSizes:
    """The most entries of each table."""

    counts: int = 4_096  # objects counted; a location's live objects fit well within
    purges: int = 20_000  # purges remembered by name
    own_purges: int = 4_096  # ... for copies of the proxy's own
    ranking_bytes: int = 16 * 1024 * 1024  # of all rankings of stores that are remembered

    @classmethod
    def within(cls, size: int) -> TableSizes:
        """The usual sizes, or what fits into so many bytes."""
        usual = cls()
        return cls(
            counts=min(usual.counts, int(COUNTS_PART * size) // COUNT_BYTES),
            purges=min(usual.purges, int(PURGES_PART * size) // PURGE_BYTES),
            own_purges=min(usual.own_purges, int(OWN_PURGES_PART * size) // PURGE_BYTES),
            ranking_bytes=min(usual.ranking_bytes, int(RANKINGS_PART * size)),
        )
