"""Beyond the program's speed: who can't be served in time is told early, and all are accepted soon."""

from __future__ import annotations

from pathlib import Path

import trio
import trio.testing

from starlinghaven.routing.backlog import Backlog
from starlinghaven.routing.inbox import CROWDED, Inbox
from starlinghaven.routing.types import Ask, Counters, Taken
from starlinghaven.transport.listener import ACCEPTED_AT_ONCE, Listener
from tests.loopback import free_port, in_trio
from tests.steps import Recorder, Time, accounts
from tests.test_system_calls import echo

PATIENCE_MS, QUEUED_MS = 1_000.0, 900.0


def ask(now: float) -> Ask:
    return Ask("1", 0, now, PATIENCE_MS, "a", read_ms=now)


@in_trio
async def test_what_can_not_be_decided_in_time_is_refused_when_it_is_read_and_only_in_a_crowd(
    tmp_path: Path,
) -> None:
    time, counters = Time(), Counters()
    clock = time.clock()
    inbox = Inbox(clock)
    backlog, first = Backlog(inbox, counters), ask(clock.now())
    time.s += QUEUED_MS / 1000
    backlog.taken(first, clock.now())
    late = ask(clock.now())
    assert not backlog.is_too_late(late, clock.now(), queues=True), "nothing waits: the wait is over"
    for _ in range(CROWDED):
        await inbox.post(Taken(late, Recorder()))
    assert backlog.is_too_late(late, clock.now(), queues=True)
    assert not backlog.is_too_late(late, clock.now(), queues=False), "its own time has only begun"
    assert backlog.is_too_late(first, clock.now(), queues=False)
    assert counters["wait_queue_le_1000_ms"] == counters["wait_unread_le_1_ms"] == 1


@in_trio
async def test_connections_that_wait_are_accepted_in_one_turn_of_the_loop(tmp_path: Path) -> None:
    listener = Listener(f"127.0.0.1:{free_port()}", accounts(1 << 22), 2 * ACCEPTED_AT_ONCE)
    await listener.open()
    streams = [await trio.open_tcp_stream("127.0.0.1", listener.port) for _ in range(ACCEPTED_AT_ONCE)]
    async with trio.open_nursery() as nursery:
        await nursery.start(listener.run, echo, lambda: False)
        for _ in range(4):
            await trio.lowlevel.checkpoint()
        assert listener.count == ACCEPTED_AT_ONCE
        for stream in streams:
            await stream.aclose()
        nursery.cancel_scope.cancel()
