"""The platform's rule on repeated effects, read from its protocol page and apart from the program's own code.

It is applied to what happened to one request, as the stores and the client saw it.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

PROOFS = frozenset({"overload", "not_here", "nobody", "unreached"})
"""Ends of an attempt after which it surely never ran; `unreached`: it did not leave the proxy whole."""


@dataclass(frozen=True, slots=True)
class EffectRule:
    """What the settings say of a class: effect, key scope and window in seconds, in the settings' words."""

    effect: str
    scope: str = "all"
    window_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt of a request, by its number. Times are in seconds."""

    attempt: int
    at_s: float
    zone: int
    cell: int


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended: a word of the protocol, `unreached`, or anything else that proves nothing."""

    attempt: int
    word: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The client was told that trying again is harmless."""

    at_s: float


Step = Sent | Ended | Refused


def broken(rule: EffectRule, steps: Sequence[Step], slack_s: float = 0.0) -> Iterator[str]:
    """What breaks the rule in the history of one request; `slack_s` lengthens the window."""
    if rule.effect == "free":
        return
    unproven: dict[int, Sent] = {}
    for step in steps:
        match step:
            case Ended():
                if step.word in PROOFS:
                    unproven.pop(step.attempt, None)
            case Refused():
                if unproven and not (rule.effect == "guarded" and rule.scope == "all"):
                    yield f"refused at {step.at_s:.3f} s, {len(unproven)} attempts may have run"
            case Sent():
                for earlier in unproven.values():
                    if found := _repeat(rule, earlier, step, slack_s):
                        yield f"attempt {step.attempt} at {step.at_s:.3f} s: {found}"
                unproven[step.attempt] = step


def _repeat(rule: EffectRule, earlier: Sent, later: Sent, slack_s: float) -> str:
    """Why an attempt may not follow one that may have run; empty if it may."""
    if rule.effect == "single_shot":
        return "an earlier one may have run"
    if later.at_s - earlier.at_s > rule.window_s + slack_s:
        return f"{later.at_s - earlier.at_s:.3f} s after one that may have run"
    if rule.scope == "zone" and later.zone != earlier.zone:
        return "in another zone than one that may have run"
    if rule.scope == "cell" and later.cell != earlier.cell:
        return "in another cell than one that may have run"
    return ""
