"""How late the lab itself wakes: checkers must not blame the program for a starved lab."""

from __future__ import annotations

import trio

from starlinghaven.lab.history import History

LOOK_EVERY_S, LATE_S = 0.05, 0.1  # between two looks, and what counts as late


async def watch_lateness(history: History) -> None:
    """Adds an entry `lag` with its seconds whenever the lab wakes late; runs until cancelled.

    A lab that is late at the moment of the cancellation gets its entry too.
    """
    while True:
        due = trio.current_time() + LOOK_EVERY_S
        try:
            await trio.sleep_until(due)
        finally:
            late = trio.current_time() - due
            if late > LATE_S:
                history.add("lag", s=round(late, 3))
