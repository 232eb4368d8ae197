"""The clients of a soak: they ask, cancel, and go on using open connections until these end."""

from __future__ import annotations

import itertools
from random import Random

import trio

from starlinghaven.lab.history import Entry, History
from starlinghaven.lab.soak.stores import group_of
from starlinghaven.standins.platform import CALLS, Client

TTL_MS = 2_500
MOST_OPEN = 20  # requests open on one connection
IDLE_S = 3.5  # after which a client closes a connection; the proxy does after 5
CANCELLED = 0.03  # share of the requests that are cancelled
RATE = 9.0  # requests a second of one client


class SoakClient:
    """One client of one proxy, over one connection after the other."""

    _numbers = itertools.count(1)

    def __init__(self, proxy: int, address: tuple[str, int], history: History, random: Random) -> None:
        self._proxy, self._address, self._history, self._random = proxy, address, history, random
        self._open: set[int] = set()  # tags whose answer is awaited
        self._asked: dict[int, Entry] = {}  # all requests of the connection by their tags
        self._connection = ""

    async def run(self, keys: list[str], weights: list[float]) -> None:
        """Asks until cancelled."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*self._address)
            except OSError:
                await trio.sleep(0.1)
                continue
            self._connection = f"{self._proxy}-{next(self._numbers)}"
            self._open, self._asked = set(), {}
            client = Client(stream)
            async with stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._listen, client, nursery.cancel_scope)
                await self._ask_on(client, keys, weights)
                with trio.move_on_after(TTL_MS / 1000 + 1):
                    while self._open:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

    async def _ask_on(self, client: Client, keys: list[str], weights: list[float]) -> None:
        used = trio.current_time()
        while True:
            await trio.sleep(min(self._random.expovariate(RATE), IDLE_S))
            if trio.current_time() - used > IDLE_S:
                return
            used = trio.current_time()
            if len(self._open) < MOST_OPEN:
                await self._ask(client, self._random.choices(keys, weights)[0])

    async def _ask(self, client: Client, key: str) -> None:
        number, call = next(self._numbers), f"{next(CALLS):016x}"
        tag = client.next_tag
        self._open.add(tag)
        asked = self._asked[tag] = self._history.add(
            "ask",
            proxy=self._proxy,
            n=number,
            call=call,
            key=key,
            group=group_of(key),
            ttl=TTL_MS,
            connection=self._connection,
        )
        try:
            await client.send("pieces", key, call=call, ttl=str(TTL_MS), family=group_of(key), block=0)
            if self._random.random() < CANCELLED:
                await trio.sleep(self._random.uniform(0.0, 0.05))
                self._open.discard(tag)
                await client.words.write(b"RPC.CANCEL", b"%d" % tag)
                self._history.add("cancel", call=call)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            asked["unsent"] = True

    async def _listen(self, client: Client, scope: trio.CancelScope) -> None:
        while (words := await client.words.read()) is not None:
            self._open.discard(int(words[0]))
            self._note_answer(self._asked[int(words[0])], words)
        self._history.add("closed", connection=self._connection)
        scope.cancel()

    def _note_answer(self, asked: Entry, words: list[bytes]) -> None:
        body = words[3].decode() if len(words) > 3 else ""
        since = int(body.rsplit("/", 1)[1]) if body.count("/") == 2 else 0
        request = {name: asked[name] for name in ("proxy", "n", "key", "group")}
        self._history.add("answer", **request, word=words[1].decode(), since=since)


async def crowd(address: tuple[str, int], connections: int, seconds: float) -> None:
    """Idle connections that say nothing, held for a while."""
    streams: list[trio.SocketStream] = []
    try:
        with trio.move_on_after(seconds):
            for _ in range(connections):
                streams.append(await trio.open_tcp_stream(*address))
            await trio.sleep(seconds)
    except OSError:
        pass  # it has died meanwhile
    finally:
        for stream in streams:
            trio.lowlevel.notify_closing(stream.socket)
            stream.socket.close()
