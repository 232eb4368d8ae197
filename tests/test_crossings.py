"""What crosses a close, a shutdown or a dial on real sockets. Each crossing is forced, never hoped for."""

from __future__ import annotations

import contextlib
import gc
import os
import resource
import signal
import socket
import struct
import weakref
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from starlinghaven import interface as i
from starlinghaven.program.fronts import clients as clients_module
from starlinghaven.program.fronts.clients import ClientLink, Clients, CloseReason
from starlinghaven.protocol.resp import encode
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Ask, Ended, FleetNews, Taken
from starlinghaven.transport import connection as connection_module
from starlinghaven.transport import pool as pool_module
from starlinghaven.transport.connection import MOST_DROPPED, Connection
from starlinghaven.transport.listener import LINGERING, Listener
from starlinghaven.transport.pool import DialFailed
from starlinghaven.transport.ring import Ring
from tests.helpers import PAY, Driver
from tests.loopback import KEY, SETTINGS, Program, free_port, in_trio, program, until
from tests.steps import STORES, Recorder, Stores, Time, accounts, engine
from tests.test_transport import echo, pool

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: closing resets


class Rest:
    """A client's connection as `Clients` sees it: it echoes, and rests once it has."""

    amid = busy = False
    rests_since = ends_at = 0.0

    def __init__(self, connection: Connection) -> None:
        self.connection, self.got = connection, b""

    async def feed(self, ring: Ring) -> int:
        self.got += (said := ring.take(ring.size))
        self.connection.write(said)
        return 1

    async def leave(self) -> None:
        """Nothing is open."""

    def delivering(self) -> None:
        """It goes by the times that a test sets."""


@asynccontextmanager
async def clients(most: int = 4) -> AsyncIterator[tuple[Clients, Listener, list[Rest]]]:
    given, links = accounts(1 << 26), list[Rest]()
    listener = Listener(f"127.0.0.1:{free_port()}", given, most)

    def make(connection: Connection) -> Rest:
        links.append(Rest(connection))
        links[-1].ends_at = float("inf")
        return links[-1]

    made = Clients(listener, make)
    async with trio.open_nursery() as nursery:
        await listener.open()
        nursery.start_soon(made.run)
        yield made, listener, links
        nursery.cancel_scope.cancel()
    assert listener.count == 0 and given.input.memory.used == 0, "all is given back"


def dial(port: int) -> socket.socket:
    """A peer whose every call happens at once, in the middle of the other side's step."""
    return socket.create_connection(("127.0.0.1", port))


async def read_all(peer: socket.socket) -> bytes:
    """What comes until the end; a reset is an error."""
    peer.setblocking(False)
    stream, got = trio.socket.from_stdlib_socket(peer), b""
    while data := await stream.recv(65_536):
        got += data
    return got


# -- the one orderly close ------------------------------------------------------------------------


@in_trio
async def test_what_crosses_a_close_is_dropped_and_neither_resets_nor_is_handed_on(tmp_path: Path) -> None:
    async with clients() as (made, listener, links):
        peer = dial(listener.port)
        await until(lambda: links)
        link = links[0]
        link.connection.write(b"the last answer")
        freed = link.connection.on_linger
        assert freed is not None

        def cross() -> None:  # in the very step in which the sending side is shut
            peer.sendall(b"a request that crosses")
            freed()

        link.connection.on_linger = cross
        assert made.close(link, CloseReason.IDLE)
        assert listener.count == 0, "its place is free at once"
        await trio.testing.wait_all_tasks_blocked()
        peer.sendall(b"another")  # the end is there for it to read, and it has not looked
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0, "no reset"
        assert await read_all(peer) == b"the last answer"
        peer.close()
        await until(lambda: link.connection.closed)
        assert link.got == b""


@in_trio
async def test_a_connection_with_something_unread_is_not_closed_as_idle(tmp_path: Path) -> None:
    async with clients(most=1) as (made, listener, links):
        peer = dial(listener.port)
        await until(lambda: links)
        peer.sendall(b"a request")  # no task has run since
        assert not made.close(links[0], CloseReason.IDLE) and not made._close_idlest()
        await until(lambda: links[0].got == b"a request")
        assert made.close(links[0], CloseReason.IDLE)
        assert await read_all(peer) == b"a request", "echoed"
        peer.close()


@in_trio
async def test_closing_to_make_room_frees_the_place_at_once_within_a_bound_on_descriptors(
    tmp_path: Path,
) -> None:
    """Peers that never close their side hold a bounded number of descriptors, for a bounded time."""
    before = len(os.listdir("/proc/self/fd"))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "LINGER_S", 30.0)
        async with clients(most=2) as (_, listener, links):
            peers = []
            for n in range(2 * LINGERING):
                peers.append(dial(listener.port))
                await until(lambda n=n: len(links) > n)  # type: ignore[misc]
            assert listener.count <= 2
            held = len(os.listdir("/proc/self/fd")) - before - len(peers)
            assert sum(not link.connection.closed for link in links) <= 2 + 1 + 1, "a quarter, at least one"
            assert held <= 2 + 1 + 8, "the loop's own ones beside them"
            peers[-1].sendall(b"x")
            await until(lambda: links[-1].got == b"x")
            for peer in peers:
                peer.close()


@in_trio
async def test_a_crowd_is_made_room_for_with_few_looks_and_nobody_is_closed_by_an_old_one(
    tmp_path: Path,
) -> None:
    """Places for eight, and eight that have rested. More come while the clock stands still, so that one look
    finds whom to close for all of them; two that rested are at work or answered again since that look."""
    now, looks = 1_000.0, 0
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clients_module, "time", SimpleNamespace(monotonic=lambda: now))
        async with clients(most=8) as (made, listener, links):
            found = made._idle

            def counted() -> list[ClientLink]:
                nonlocal looks
                looks += 1
                return found()

            peers = [dial(listener.port) for _ in range(8)]
            await until(lambda: len(links) == 8)
            first = list(links)
            for n, link in enumerate(first):
                link.ends_at, link.rests_since = now + 100 + n, now - 1
            patch.setattr(made, "_idle", counted)
            for n in range(6):
                peers.append(dial(listener.port))
                await until(lambda n=n: len(links) > 8 + n)  # type: ignore[misc]
                first[3].busy, first[5].rests_since = True, now
            left = [n for n, link in enumerate(first) if link.connection.usable]
            assert left == [3, 5], "the idlest first, and not whom the look found idle but is no more"
            assert looks == 1, "one for all that came within its time"
            for peer in peers:
                peer.close()


@in_trio
async def test_a_flood_into_a_close_is_read_within_a_bound(tmp_path: Path) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "LINGER_S", 30.0)
        async with clients() as (made, listener, links):
            peer = dial(listener.port)
            await until(lambda: links)
            assert made.close(links[0], CloseReason.IDLE)
            peer.setblocking(False)
            stream = trio.socket.from_stdlib_socket(peer)
            with pytest.raises(OSError):
                for _ in range(200 * MOST_DROPPED // 65_536):
                    await stream.send(bytes(65_536))
            peer.close()
            await until(lambda: links[0].connection.closed)
            assert links[0].got == b""


def peer_ports(peers: list[socket.socket]) -> list[int]:
    return [peer.getsockname()[1] for peer in peers]


# -- memory ---------------------------------------------------------------------------------------


@in_trio
async def test_a_connection_leaves_nothing_for_the_collector_however_it_ends(tmp_path: Path) -> None:
    """A crowd resets thousands, and the collector looks at what is old only after millions of objects."""
    gc.collect()
    gc.disable()
    try:
        async with clients(most=200) as (made, listener, links):
            for how in ("reset", "reset under unsent bytes", "end", "in order", "abort"):
                peers = [dial(listener.port) for _ in range(5)]
                await until(lambda: len(links) == len(peers))  # noqa: B023
                left = [weakref.ref(link.connection) for link in links]
                links.sort(key=lambda link: peer_ports(peers).index(link.connection._sock.getpeername()[1]))  # noqa: B023
                for peer, link in zip(peers, links, strict=True):
                    if how == "reset under unsent bytes":
                        link.connection.write(bytes(4 << 20))
                        assert link.connection.unsent, "a task waits to write"
                    if how.startswith("reset"):
                        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    elif how == "in order":
                        link.connection.finish()
                    elif how == "abort":
                        link.connection.abort()
                    peer.close()
                links.clear()
                del peer, link
                with trio.move_on_after(10):
                    await until(lambda: all(r() is None for r in left))  # noqa: B023
                assert [r() for r in left] == [None] * 5, how
    finally:
        gc.enable()


def test_a_request_that_is_over_leaves_nothing_for_the_collector() -> None:
    class Told(str):
        """Text that a weak reference can follow."""

    time, stores = Time(), Stores()
    made = engine(time, stores)
    gc.collect()
    gc.disable()
    try:
        ask = Ask("1", 0, made.clock.now(), patience_ms=2000.0, key="k", idem=Told("a"))
        left = weakref.ref(ask.idem)
        made.handle(Taken(ask, Recorder()))
        made.handle(Ended(stores.sent.pop(), i.Code.OK, b"x"))
        stores.out.clear()
        del ask
        time.s += 10
        made.run_due()  # its time-out and its deadline are passed over
        assert made.open_requests == 0 and left() is None
    finally:
        gc.enable()


# -- descriptors ----------------------------------------------------------------------------------


@contextmanager
def descriptors(spare: int) -> Iterator[None]:
    """No more than so many can be opened."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = [os.open(os.devnull, os.O_RDONLY)]
    resource.setrlimit(resource.RLIMIT_NOFILE, (held[0] + 64, hard))
    try:
        while True:
            held.append(os.open(os.devnull, os.O_RDONLY))
    except OSError:
        pass
    for _ in range(spare):
        os.close(held.pop())
    try:
        yield
    finally:
        for fd in held:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@in_trio
async def test_a_dial_without_a_descriptor_fails_for_who_waits_and_the_pool_goes_on(tmp_path: Path) -> None:
    async with echo() as address, pool(accounts(1 << 20)) as p:
        with descriptors(0):
            for _ in range(2):
                with pytest.raises(DialFailed):
                    await p.link(("s", address))
            assert p.count == 0
        assert await p.link(("s", address))


@in_trio
async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(tmp_path: Path) -> None:
    """Fewer are left than the configuration says. The program lives, the list comes back, known work goes
    on, and a new usual client is served."""
    asked = list[int]()

    async def log(stream: trio.SocketStream) -> None:
        asked.append(int.from_bytes(await stream.receive_some(8), "big"))
        purge = struct.pack(">QB8sQ", 2, 3, bytes.fromhex(KEY), 1)
        await stream.send_all(struct.pack(">I", len(purge)) + purge)
        await trio.sleep_forever()

    port = free_port()
    async with trio.open_nursery() as nursery:
        async with program(tmp_path, changelog=f"127.0.0.1:{port}") as p:
            known = await p.client()
            assert (await known.call())[1] == b"RESULT"
            fds = len(os.listdir(f"/proc/{p.process.pid}/fd"))
            resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE, (fds + 24, fds + 24))
            idle = [dial(p.port) for _ in range(120)]
            await p.logged("Too many open files")
            nursery.start_soon(trio.serve_tcp, log, port)
            with trio.fail_after(5):
                await until(lambda: asked)
                assert (await known.call(key="00000000000000aa"))[1] == b"RESULT"
                assert (await (await p.client()).call("depot", dedupe="a"))[1] == b"RESULT"
            p.process.send_signal(signal.SIGUSR1)
            await p.logged(" purges=1 ")
            for peer in idle:
                peer.close()
        nursery.cancel_scope.cancel()


# -- connections that end on one side -------------------------------------------------------------


@in_trio
async def test_no_link_that_ends_on_either_side_or_does_not_read_takes_an_attempt(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        place = ("s", f"127.0.0.1:{server.getsockname()[1]}")
        async with pool(accounts(1 << 24)) as p:
            for how in ("abort", "finish", "fin", "reset", "fin behind data", "unread"):
                link = await p.link(place)
                other, _ = server.accept()
                assert p.ready(place) is link
                if how == "abort":
                    link.connection.abort()
                elif how == "finish":
                    link.connection.finish()
                elif how == "unread":
                    while not link.connection.unsent:
                        link.connection.write(bytes(1 << 18))
                else:
                    if how == "reset":
                        other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    elif how == "fin behind data":
                        other.sendall(b"more than was asked for")
                    other.close()  # nothing of it is read yet: no task has run since
                assert p.ready(place) is None, how
                link.connection.abort()
                other.close()
                await until(lambda link=link: link.over)  # type: ignore[misc]


@in_trio
async def test_an_answer_that_never_ends_takes_nothing_new_and_loses_its_connection_in_time(
    tmp_path: Path,
) -> None:
    """Bytes go on coming, so that it is never stuck: what a class waits at most is the bound."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pool_module, "STUCK_S", 0.1)
        async with echo() as address, pool(accounts(1 << 20), whole_s=2.0) as p:
            link = await p.link(("s", address))
            link.begin()
            link.reads(amid=True)
            started, found = trio.current_time(), set[object]()
            while not link.over:
                link.connection.write(b".")
                await trio.sleep(0.02)
                if link.amid_for(0.1):
                    found.add(p.ready(("s", address)))  # the first look starts a dial beside it
            assert found - {link, None}, "what is new goes there"
            assert trio.current_time() - started >= 2.0
            assert p.ready(("s", address)) is not link


# -- the one place that decides whether an attempt may begin --------------------------------------


def taken(made: Engine, ticket: Recorder, n: int = 1, cls: int = 0) -> None:
    ask = Ask(f"{n:x}", cls, made.clock.now(), patience_ms=2000.0, key=f"k{n}", idem="a")
    made.handle(Taken(ask, ticket))


def test_nothing_begins_for_a_client_that_left_though_the_queue_does_not_say_so_yet() -> None:
    time, stores = Time(), Stores()
    made = engine(time, stores)
    first, further = Recorder(), Recorder()
    first.left = True
    taken(made, first)
    assert stores.sent == [] and made.open_requests == 0
    taken(made, further, 2)
    (attempt,) = stores.sent
    further.left = True
    time.s += (attempt.timeout_ms + 1) / 1000
    made.run_due()
    assert stores.given_up == [attempt] and stores.sent == [attempt], "no further attempt"
    assert made.open_requests == 0 and not first.answers and not further.answers


@pytest.mark.parametrize("what", ["drains", "gone", "moved", "source drains"])
def test_what_the_list_said_while_an_attempt_was_dialed_keeps_it_back(what: str) -> None:
    stores = Stores()
    made = engine(Time(), stores)
    taken(made, Recorder())
    (attempt,) = stores.sent
    assert made.may_begin(attempt) and attempt.source != attempt.store
    name = attempt.source if what == "source drains" else attempt.store
    (old,) = (s for s in STORES if s.id == name)
    phase = {"gone": i.Phase.GONE, "moved": i.Phase.UP}.get(what, i.Phase.DRAINING)
    address = "127.0.0.1:99" if what == "moved" else old.address
    changed = type(old)(old.id, address, phase, old.zone, old.kind, old.cell, old.weight, 0.0)
    made.handle(FleetNews(i.ListKind.PARTIAL, (changed,)))
    assert not made.may_begin(attempt) and made.counters["not_begun_list"] == 1


def test_a_repeat_may_begin_only_within_the_window_of_what_may_have_run() -> None:
    """The window runs from the first attempt's send; a repeat may wait for a dial before it begins."""
    keyed = i.RequestClass(
        target_ms=700, give_up_ms=9000, uncached=True, effect=i.Effect.KEYED, window_ms=900
    )
    d = Driver(classes=(*Driver().router.s.classes[:PAY], keyed))
    (first,) = (a for a in d.ask("p", cls=PAY, patience=9000.0) if isinstance(a, i.Send))
    assert first.begin_ms == float("inf"), "nothing has run yet"
    d.now += 300
    (timer,) = (a for a in d.end(0, i.Code.RESET, took_ms=300.0) if isinstance(a, i.SetTimer))
    d.now += timer.delay_ms
    (again,) = (a for a in d.say(i.Timer(timer.token)) if isinstance(a, i.Send))
    assert again.begin_ms == pytest.approx(900 - 300 - timer.delay_ms)

    time, stores = Time(), Stores()
    made = engine(time, stores, classes=(*Driver().router.s.classes[:PAY], keyed))
    taken(made, Recorder(), cls=PAY)
    (attempt,) = stores.sent
    assert attempt.begin_by == made.clock.now() + attempt.timeout_ms, "and never after its own time"
    pressed = engine(time, other := Stores(), purge_grace_ms=150.0)
    taken(pressed, Recorder())
    assert other.sent[0].begin_by == pressed.clock.now() + 150, "a purge told later must bind it"
    attempt.begin_by = made.clock.now() + 400
    time.s += 0.399
    assert made.may_begin(attempt)
    time.s += 0.002
    assert not made.may_begin(attempt) and made.counters["not_begun_window"] == 1


async def stopped(p: Program) -> None:
    """The program stands still, as under a stall, from here on."""
    p.process.send_signal(signal.SIGSTOP)
    await until(lambda: Path(f"/proc/{p.process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T")


@in_trio
async def test_a_client_that_left_while_the_program_stood_still_starts_nothing(tmp_path: Path) -> None:
    """Its request, its leaving, and the answer after which another attempt would follow, all lie unread."""
    async with program(tmp_path) as p:
        p.archive.plan[KEY] = (0.2, "overload")
        fields = b"call=9b1f03aa5c7e2d41,ttl=900,row=%s,block=0,family=1" % KEY.encode()
        half = encode(b"RPC.CALL", b"9", b"depot", fields, bytes(47_000))[:-1_000]
        for leaves in ("first close", "close behind much", "close", "cancel"):
            client, before = await p.client(), len(p.archive.orders)
            assert await client.health() == b"READY"
            first = leaves in ("first close", "close behind much")
            if not first:
                tag = await client.send()
                await until(lambda before=before: len(p.archive.orders) > before)  # type: ignore[misc]
                await stopped(p)
                if leaves == "cancel":
                    await client.words.write(b"RPC.CANCEL", b"%d" % tag)
                else:
                    await client.words.stream.aclose()
                await trio.sleep(0.4)  # the store's word comes, too
            else:
                await stopped(p)
                await client.send()
                if leaves == "close behind much":  # its end comes to be read only after the first attempt
                    await client.words.stream.send_all(half)
                await client.words.stream.aclose()
            p.process.send_signal(signal.SIGCONT)
            other = await p.client()
            assert (await other.call(key="00000000000000aa"))[1] == b"RESULT", "it has caught up"
            sent = [o["k"] for o in p.archive.orders[before:]]
            assert sent.count(KEY) == (0 if first else 1), leaves
            await other.words.stream.aclose()


# -- the end of the program -----------------------------------------------------------------------


@in_trio
async def test_a_request_that_crosses_the_programs_end_is_not_sent_on(tmp_path: Path) -> None:
    """Some clients rest until the proxy ends them. More signals while it drains change nothing."""
    async with program(tmp_path) as p:
        p.archive.plan[KEY] = (2.5, "served")
        busy, resting = await p.client(), dial(p.port)
        many = [dial(p.port) for _ in range(3 * LINGERING)]
        tag = await busy.send(ttl="6000")
        await until(lambda: p.archive.orders)
        p.process.send_signal(signal.SIGTERM)
        await p.logged("draining open=1")
        p.process.send_signal(signal.SIGTERM)
        p.process.send_signal(signal.SIGHUP)
        assert await read_all(resting) == b"" and sum(p.archive.out.values()) == 1, "ahead of the busy one"
        fields = b"call=9b1f03aa5c7e2d41,ttl=900,row=00000000000000aa,block=0,family=1"
        resting.send(encode(b"RPC.CALL", b"1", b"pieces", fields, b""))
        for peer in many:
            peer.send(b"*")
        await trio.sleep(0.05)
        errors = [peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for peer in (resting, *many)]
        assert not any(errors), "read and dropped, however many"
        answer = await busy.words.read()
        assert answer is not None and int(answer[0]) == tag and answer[1] == b"RESULT"
        assert await busy.words.read() is None
        await busy.words.stream.aclose()
        for peer in (resting, *many):
            peer.close()
        assert await p.exit_code() == 0 and len(p.archive.orders) == 1
        assert "signals_passed_over=2" in p.log()


@in_trio
async def test_who_waits_in_the_accept_queue_at_the_end_is_refused_and_not_reset(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 8}  # four places for clients
    silent = SETTINGS | {"PolicyLimits": SETTINGS["PolicyLimits"] | {"RetryAfter": False}}
    async with program(tmp_path, more={"limits": limits, "settings": silent}) as p:
        p.archive.plan[KEY] = (2.0, "served")
        busy = [await p.client() for _ in range(4)]
        for client in busy:
            await client.send(ttl="6000")
        await until(lambda: len(p.archive.orders) == 4)
        waiting = await p.client()
        await waiting.send(key="00000000000000aa", ttl="6000")
        p.process.send_signal(signal.SIGTERM)
        answer = await waiting.words.read()
        assert answer is not None and answer[1:] == [b"REJECT", b"", b""], "no advice where none is allowed"
        for client in busy:
            answer = await client.words.read()
            assert answer is not None and answer[1] == b"RESULT"
        assert await p.exit_code() == 0


@in_trio
async def test_half_a_message_can_not_hold_the_programs_end(tmp_path: Path) -> None:
    """Its own time is not over, and it goes on sending: the end is bounded all the same."""
    async with program(tmp_path) as p:
        peer, whole = dial(p.port), encode(b"RPC.HEALTH", b"1", bytes(4_000))
        p.process.send_signal(signal.SIGTERM)
        await p.logged("draining")
        with trio.fail_after(5):  # the window, the flush and some slack
            for n in range(len(whole) - 1):
                with contextlib.suppress(OSError):
                    peer.send(whole[n : n + 1])
                if p.process.poll() is not None:
                    break
                await trio.sleep(0.005)
        assert await p.exit_code() == 0
        peer.close()


# -- the change log -------------------------------------------------------------------------------


@in_trio
async def test_a_log_that_breaks_off_repeats_skips_or_goes_back_is_followed_from_the_last_event(
    tmp_path: Path,
) -> None:
    """The last event twice is nothing; a gap or a step back asks again, once for each such number."""
    asked = list[int]()

    def purge(number: int) -> bytes:
        return struct.pack(">IQB8sQ", 25, number, 3, bytes.fromhex(KEY), number)

    texts = (
        purge(2) + purge(2) + purge(3)[:11],  # cut amid a frame
        purge(3) + purge(5),  # one is missing: what comes after it counts already
        purge(4) + purge(5) + purge(2),  # back
        purge(2) + purge(6) + struct.pack(">IQB", 9, 8, 0),  # back again: its own way; then two are missing
        purge(7) + purge(8),
    )

    async def log(stream: trio.SocketStream) -> None:
        asked.append(int.from_bytes(await stream.receive_some(8), "big"))
        await stream.send_all(texts[min(len(asked), len(texts)) - 1])
        if len(asked) > 1:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, log, [listener])
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with program(tmp_path, changelog=address) as p:
            await until(lambda: len(asked) == 5)
            while " purges=8" not in p.log():
                p.process.send_signal(signal.SIGUSR1)
                await trio.sleep(0.05)
            assert asked == [1, 2, 3, 5, 6] and "changelog_odd=3" in p.log()
        nursery.cancel_scope.cancel()
