"""Signals that come while the program still loads: they are held until somebody can act on them."""

from __future__ import annotations

import signal
from types import FrameType

HELD = (signal.SIGHUP, signal.SIGUSR1)  # by default both end a process
_held: list[int] = []


def _hold(number: int, _: FrameType | None) -> None:
    _held.append(number)


def hold() -> None:
    """From now on the signals in HELD are noted. Before that, `run` in the deploy file has them ignored."""
    for number in HELD:
        signal.signal(number, _hold)


def held() -> list[int]:
    """The signals that came since, each once, in order; they are not held any more."""
    found = list(dict.fromkeys(_held))
    _held.clear()
    return found
