"""Says when the event loop woke late, and whether the process was at work meanwhile or did not run."""

from __future__ import annotations

import logging
import time

import trio

from starlinghaven.routing.types import Counters

log = logging.getLogger(__name__)

TICK_S = 0.1  # seconds between two looks
LATE_S = 0.1  # seconds by which a look may be late before it is logged


async def watch_lateness(counters: Counters) -> None:
    """Logs each late look for ever, with the processor time that this process had meanwhile.

    A long turn of the loop takes as much processor time as it lasts; a process that was stopped or had to
    wait for a processor takes much less.
    """
    while True:
        due, used = trio.current_time() + TICK_S, time.process_time()
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        if late_s > LATE_S:
            counters.add("late_turns")
            ran_s = time.process_time() - used
            log.info("event loop late_ms=%d ran_ms=%d of %d", *_ms(late_s, ran_s, TICK_S + late_s))


def _ms(*seconds: float) -> list[int]:
    return [round(1000 * one) for one in seconds]
