"""The clients of a soak: they ask, leave in several ways, and use open connections until these end."""

from __future__ import annotations

import contextlib
import itertools
import math
import time
from random import Random

import trio

from starlinghaven.lab.history import Entry, History
from starlinghaven.lab.soak.deployment import ClassPlan
from starlinghaven.lab.soak.stores import PART, group_of, reset
from starlinghaven.protocol.resp import encode
from starlinghaven.standins.platform import CALLS, Client

MOST_OPEN = 20  # requests open on one connection
IDLE_S = 3.5  # after which a client closes a connection; the proxy does after 5
EDGE_S = (4.9, 5.1)  # ... at which some clients write: around the proxy's own close
EDGE_SHARE = 0.1  # of the connections
CANCELLED, LEFT = 0.03, 0.01  # shares of the requests that are cancelled, or whose client leaves
SLOW_SHARE, SLOW_S = 0.03, 0.8  # of the requests that are written in pieces, and how long that takes
RATE = 9.0  # requests a second of one client
BURST = 24  # requests open at most on a connection with bursts
BURST_PAUSE_S, PATIENCE_S = (0.3, 0.8), (0.05, 0.2)  # between bursts; after one, until a part of it is left
BURST_CANCELLED, BURST_LEFT = 0.5, 0.1  # shares of its requests, and of its connections
SIZE_SIGMA = 0.8  # of the logarithm of sizes


class SoakClient:
    """One client of one proxy, over one connection after the other."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        proxy: int,
        address: tuple[str, int],
        history: History,
        random: Random,
        classes: tuple[ClassPlan, ...],
    ) -> None:
        self._proxy, self._address, self._history, self._random = proxy, address, history, random
        self._classes = classes
        self._open: set[int] = set()  # tags whose answer is awaited
        self._asked: dict[int, Entry] = {}  # all requests of the connection by their tags
        self._connection = ""

    async def run(self, keys: list[str], weights: list[float]) -> None:
        """Asks until cancelled."""
        while True:
            await self._play_connection(keys, weights)

    async def _play_connection(self, keys: list[str], weights: list[float]) -> None:
        """Asks over one connection to its end, if there is one to be had."""
        try:
            stream = await trio.open_tcp_stream(*self._address)
        except OSError:
            await trio.sleep(0.1)
            return
        self._connection = f"{self._proxy}-{next(self._numbers)}"
        self._open, self._asked = set(), {}
        client = Client(stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, client, nursery.cancel_scope)
            if await self._ask_on(client, keys, weights):
                with trio.move_on_after(max(c.give_up_ms for c in self._classes) / 1000 + 1):
                    while self._open:
                        await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True), trio.move_on_after(1.0):
            await stream.aclose()

    async def _ask_on(self, client: Client, keys: list[str], weights: list[float]) -> bool:
        """Asks for as long as the connection is used; whether what is open is awaited after that."""
        used = trio.current_time()
        rests_long = self._random.random() < EDGE_SHARE
        while True:
            pause = self._random.expovariate(RATE)
            if rests_long and not self._open and self._random.random() < 0.1:
                pause = self._random.uniform(*EDGE_S)
            await trio.sleep(pause)
            if trio.current_time() - used > IDLE_S and not rests_long:
                return True
            used = trio.current_time()
            if len(self._open) >= MOST_OPEN:
                continue
            await self._ask(client, self._random.choices(keys, weights)[0])
            if self._random.random() < LEFT:
                await trio.sleep(self._random.uniform(0.0, 0.05))
                self._leave(client)
                return False

    def _leave(self, client: Client) -> None:
        """Ends the connection with all that is open on it, in order or by a reset."""
        for tag in self._open:
            self._history.add("cancel", call=self._asked[tag]["call"], how="left")
        self._history.add("left", connection=self._connection)
        self._open.clear()
        if self._random.random() < 0.5:
            reset(client.words.stream)

    async def _ask(self, client: Client, key: str) -> None:
        tag, data, told = self._worded(client, key)
        try:
            data = await self._write_slowly(client, data)
            self._note_asked(tag, told)
            await client.words.stream.send_all(data)
            if self._random.random() < CANCELLED:
                await trio.sleep(self._random.uniform(0.0, 0.05))
                self._open.discard(tag)
                await client.words.write(b"RPC.CANCEL", b"%d" % tag)
                self._history.add("cancel", call=told["call"], how="cancelled")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if tag in self._asked:
                self._asked[tag]["unsent"] = True

    def _note_asked(self, tag: int, told: Entry) -> None:
        """A request is written now."""
        self._asked[tag] = self._history.add("ask", **told, unix=time.time(), connection=self._connection)
        self._open.add(tag)

    def _worded(self, client: Client, key: str) -> tuple[int, bytes, Entry]:
        """A new request: its tag, its bytes, and what the history is told of it."""
        cls = self._random.choices(self._classes, [c.share for c in self._classes])[0]
        number, call, tag = next(self._numbers), f"{next(CALLS):016x}", client.next_tag
        ttl = round(cls.give_up_ms * self._random.choice((0.5, 0.8, 1.0)))
        size_kb = cls.mean_kb * math.exp(self._random.gauss(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA))
        fields = {"call": call, "ttl": ttl, "row": key, "block": PART, "family": group_of(key)}
        fields |= {"heap": f"{size_kb:.1f}"}
        if cls.uncached:
            fields = {"call": call, "ttl": ttl, "heap": f"{size_kb:.1f}"}
        if cls.effect == "guarded":
            fields["dedupe"] = call * 2
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        data = encode(b"RPC.CALL", b"%d" % tag, cls.name.encode(), text.encode(), b"x")
        client._tag = tag
        told: Entry = {
            "proxy": self._proxy,
            "n": number,
            "call": call,
            "cls": cls.name,
            "key": "" if cls.uncached else key,
            "group": group_of(key),
            "ttl": ttl,
            "size_kb": round(size_kb, 1),
        }
        return tag, data, told

    async def _write_slowly(self, client: Client, data: bytes) -> bytes:
        """Writes all but the last bytes in pieces, for some requests; returns what is left to write."""
        if self._random.random() >= SLOW_SHARE:
            return data
        while len(data) > 20:
            piece = self._random.randrange(1, 20)
            await client.words.stream.send_all(data[:piece])
            data = data[piece:]
            await trio.sleep(self._random.uniform(0.0, SLOW_S / 10))
        return data

    async def _listen(self, client: Client, scope: trio.CancelScope) -> None:
        while (words := await client.words.read()) is not None:
            self._open.discard(int(words[0]))
            self._note_answer(self._asked.get(int(words[0])), words)
        self._history.add("closed", connection=self._connection)
        scope.cancel()

    def _note_answer(self, asked: Entry | None, words: list[bytes]) -> None:
        if asked is None:
            self._history.add("unasked", proxy=self._proxy, tag=int(words[0]))
            return
        body = words[3] if len(words) > 3 else b""
        parts = body.split(b"/", 3)
        since = int(parts[2]) if len(parts) == 4 and parts[2].isdigit() else 0
        request = {name: asked[name] for name in ("proxy", "n", "key", "group", "call", "cls")}
        self._history.add(
            "answer", **request, word=words[1].decode(), since=since, size=len(body), head=parts[0].decode()
        )


class BurstClient(SoakClient):
    """A client that asks for much at once, and soon leaves a part of it in one way or another."""

    async def play(self, keys: list[str], seconds: float) -> None:
        """Sends bursts for a while, over one connection after the other; then awaits what is open."""
        self._until = trio.current_time() + seconds
        with trio.move_on_after(seconds + max(c.give_up_ms for c in self._classes) / 1000 + 2):
            while trio.current_time() < self._until:
                await self._play_connection(keys, [1.0] * len(keys))

    async def _ask_on(self, client: Client, keys: list[str], weights: list[float]) -> bool:
        while trio.current_time() < self._until:
            await trio.sleep(self._random.uniform(*BURST_PAUSE_S))
            tags = await self._send_burst(client, keys)
            await trio.sleep(self._random.uniform(*PATIENCE_S))
            if self._random.random() < BURST_LEFT:
                self._leave(client)
                return False
            await self._cancel_some(client, tags)
        return True

    async def _send_burst(self, client: Client, keys: list[str]) -> list[int]:
        """So many requests at once, as far as there may be more open; their tags."""
        data, tags = list[bytes](), list[int]()
        for _ in range(BURST - len(self._open)):
            tag, text, told = self._worded(client, self._random.choice(keys))
            data.append(text)
            tags.append(tag)
            self._note_asked(tag, told | {"burst": True})
        try:
            await client.words.stream.send_all(b"".join(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            for tag in tags:
                self._asked[tag]["unsent"] = True
        return tags

    async def _cancel_some(self, client: Client, tags: list[int]) -> None:
        leaving = [tag for tag in tags if tag in self._open and self._random.random() < BURST_CANCELLED]
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await client.words.send(b"".join(encode(b"RPC.CANCEL", b"%d" % tag, b"") for tag in leaving))
            for tag in leaving:
                self._open.discard(tag)
                self._history.add("cancel", call=self._asked[tag]["call"], how="cancelled")


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
