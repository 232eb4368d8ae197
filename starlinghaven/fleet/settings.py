"""The limits of membership and news, and their KDL file (`deploy/fleet.example.kdl`, read with ckdl).

A file holds one `fleet` node; each child overrides a default of `Limits` and takes one number::

    fleet {
        period-ms 400
        suspicion 1.1
    }

`load_text` raises `FleetSettingsError` naming the node and the reason; a file that breaks a rule of
`Limits.check` is refused whole.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path

from starlinghaven import kdl


class FleetSettingsError(ValueError):
    """A fleet file that can't be used; the message says where and why."""


@dataclass(frozen=True, slots=True)
class Limits:
    """All times in ms. The defaults are measured in docs/measurements/fleet.md."""

    period_ms: float = 400.0  # between two probes of one member (SWIM's protocol period)
    timeout_ms: float = 160.0  # wait for a direct answer before others are asked to probe
    helpers: int = 3  # members asked to probe indirectly (SWIM's k)
    suspicion: float = 1.1  # least suspicion time, in periods times log10 of the members (Lifeguard's alpha)
    suspicion_most: float = 5.0  # the longest, as a multiple of the least (Lifeguard's beta)
    confirmations: int = 2  # distinct further accusers that bring it to the least (Lifeguard's K)
    health_most: int = 4  # most that the own poor health multiplies times by, less one (Lifeguard's S)
    transmissions: float = 4.0  # times log10 of the members: sends of one claim at most (SWIM's lambda)
    gossip_ms: float = 150.0  # between two rounds of datagrams that carry only news
    gossip_to: int = 2  # members in one such round
    reconnect_ms: float = 1_000.0  # between two pings to members that are failed, gone or unheard
    sync_ms: float = 15_000.0  # between two exchanges of digests
    stall_ms: float = 300.0  # lateness of the own timers that counts as a stall of this process
    skew_ms: float = 600_000.0  # that clocks may differ by; a life later than that is from the future
    replies_per_s: float = 40.0  # answered datagrams of one sender; beyond it they are counted and dropped
    settle_ms: float = 3_000.0  # after its start within which a proxy counts as just started
    silence_ms: float = 2_000.0  # without any datagram, after which a proxy is cut off
    hold_ms: float = 1_000.0  # of a majority before a proxy that was cut off counts as back
    leave_slack_ms: float = 10_000.0  # after a leave, until which its share of budgets is not given away
    news_ms: float = 3_000.0  # that a fact of a silent or serving store is believed
    reporters: int = 2  # distinct reporters from which a silent store is news at all
    relayed: int = 5  # distinct reporters of one fact that a member passes on; more add nothing

    def check(self) -> list[str]:
        """Every rule that these limits break, as text."""
        wrong = [f"{_name(f.name)}: must be above 0" for f in fields(self) if getattr(self, f.name) <= 0]
        rules = [
            (self.timeout_ms * 2 <= self.period_ms, "timeout-ms: at most half of period-ms"),
            (self.suspicion_most >= 1, "suspicion-most: at least 1"),
            (self.stall_ms >= self.timeout_ms, "stall-ms: at least timeout-ms, else load looks like a stall"),
            (self.silence_ms >= 3 * self.period_ms, "silence-ms: at least three periods"),
            (self.reporters >= 2, "reporters: at least 2, no voice counts alone"),
            (self.relayed >= self.reporters, "relayed: at least reporters"),
            (self.gossip_ms >= 20, "gossip-ms: at least 20"),
        ]
        return wrong + [text for fine, text in rules if not fine]


def _name(attribute: str) -> str:
    return attribute.replace("_", "-")


NAMES = {_name(f.name): f.name for f in fields(Limits)}
WHOLE = {"helpers", "confirmations", "health_most", "gossip_to", "reporters", "relayed"}


def load(path: str | Path) -> Limits:
    """Reads and checks a file. Errors: FleetSettingsError (also for a file that can't be read)."""
    return kdl.read(path, load_text, FleetSettingsError)


def load_text(text: str) -> Limits:
    """Parses KDL text into checked limits. Errors: FleetSettingsError."""
    return kdl.limits(text, Limits(), "fleet", NAMES, WHOLE, FleetSettingsError)
