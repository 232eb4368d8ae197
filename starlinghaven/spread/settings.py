"""The limits of load spreading, and their KDL file (`deploy/spread.example.kdl`, read with ckdl).

A file holds one `spread` node; each child overrides a default of `Limits` and takes one number.
`load_text` raises `SpreadSettingsError` naming the node and the reason.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path

from starlinghaven import kdl


class SpreadSettingsError(ValueError):
    """A spread file that can't be used; the message says where and why."""


@dataclass(frozen=True, slots=True)
class Limits:
    """All times in ms. The defaults are measured in docs/measurements/spread.md."""

    report_ms: float = 1_000.0  # between two reports of one proxy, each to the next of the publishers
    publish_ms: float = 1_500.0  # between two tables of one publisher
    publishers: int = 3  # members that add reports up; what counts is the median of their tables
    reporters: int = 200  # reports that all publishers together get in one report_ms, at most; others sit out
    believed_ms: float = 5_000.0  # age at which a report or a table counts for nothing
    load_tau_ms: float = 500.0  # over which the load of a cache is averaged
    lag_ms: float = 3_000.0  # from a share's being told until the rates that it brings are added up
    tau_ms: float = 12_000.0  # over which the demand of a cache is averaged
    hot_tau_ms: float = 10_000.0  # over which asked objects are counted
    band: float = 0.05  # departure of a share from the one wanted at which it is left alone
    step: float = 2.0  # most that one table changes a share by, as a factor
    least: float = 0.03  # least share: a cache is never starved, so that its recovery is seen
    slow: float = 1.6  # times that a cache must be slower than the usual to count as slow
    hot_share: float = 0.2  # part of a cache's mean load that one object may bring to one home
    hot_most: int = 24  # objects told as hot, at most
    keys: int = 4  # asked objects sampled into one report

    def check(self) -> list[str]:
        """Every rule that these limits break, as text."""
        wrong = [f"{_name(f.name)}: must be above 0" for f in fields(self) if getattr(self, f.name) <= 0]
        rules = [
            (self.publishers >= 3, "publishers: at least 3, so that no voice counts alone"),
            (self.publishers % 2 == 1, "publishers: an odd number, a median needs it"),
            (self.step > 1, "step: above 1"),
            (self.least < 1, "least: below 1"),
            (self.slow > 1, "slow: above 1"),
            (self.believed_ms > self.publishers * self.report_ms, "believed-ms: above a turn of reports"),
            (self.believed_ms > 2 * self.publish_ms, "believed-ms: above twice publish-ms"),
            (self.report_ms >= 100, "report-ms: at least 100"),
            (self.publish_ms >= 100, "publish-ms: at least 100"),
            (self.keys <= 16, "keys: at most 16, a report is one datagram"),
            (self.hot_most <= 40, "hot-most: at most 40"),
        ]
        return wrong + [text for fine, text in rules if not fine]


def _name(attribute: str) -> str:
    return attribute.replace("_", "-")


NAMES = {_name(f.name): f.name for f in fields(Limits)}
WHOLE = {"publishers", "reporters", "hot_most", "keys"}


def load(path: str | Path) -> Limits:
    """Reads and checks a file. Errors: SpreadSettingsError (also for a file that can't be read)."""
    return kdl.read(path, load_text, SpreadSettingsError)


def load_text(text: str) -> Limits:
    """Parses KDL text into checked limits. Errors: SpreadSettingsError."""
    return kdl.limits(text, Limits(), "spread", NAMES, WHOLE, SpreadSettingsError)
