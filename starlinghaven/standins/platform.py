"""Stand-ins of the platform on loopback: stores, clients, and the configuration of one proxy.

Written from the platform's protocol page. They know nothing of the program but its codecs.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from starlinghaven.memory import own_account
from starlinghaven.protocol.resp import RespReader, encode, read_fields
from starlinghaven.transport.ring import Ring

KEY = "7f3a9c21e0b4d655"
PORTS = itertools.cycle(range(15_000 + os.getpid() % 100 * 100, 32_000))
MOST_WRITE_S = 5.0  # that an answer may take to be written
LONG_AGO = 1_764_576_000_123  # Unix ms of copies whose age does not matter
CALLS = itertools.count(1)  # ids of calls are new with every request, whoever asks
STORES = (
    ("s-00000001", "edge-1", "petit"),
    ("s-00000002", "nord", "parent"),
    ("s-00000003", "nord", "origin"),
)
SETTINGS: dict[str, Any] = {
    "Az": 1,
    "FleetSize": 1,
    "Kinds": ["petit", "parent", "origin"],
    "Zones": ["nord", "edge-1"],
    "WeightKind": "nominal",
    "Classes": [
        {"Name": "pieces", "Effect": "free", "GiveUpMs": 6000.0, "TargetMs": 400.0, "AimStretch": 1.6},
        {"Name": "fiches", "Effect": "free", "GiveUpMs": 1200.0, "TargetMs": 400.0, "AimStretch": 2.0},
        {
            "Name": "depot", "Effect": "guarded", "GiveUpMs": 1500.0, "TargetMs": 600.0,
            "DedupWindowMs": 2000.0,
        },
    ],
    "FamilyInfo": {
        "RootKind": 2, "SecondTierKind": 1, "ZoneBalancers": [0, 1], "MayPassBy": True, "SharesFills": True,
        "GoodForMs": [0.0, 8000.0, 0.0], "Uncached": [False, False, True], "ClearedWithinMs": 6000.0,
        "PaceKbPerS": 7100.0, "ParentColdFrom": 0.1, "ParentColdMs": 20000.0, "ParentLimitFactor": 2.0,
    },
    "PolicyLimits": {
        "AttemptsCap": 6, "Cancelling": True, "DialTimeoutMs": 400.0, "IdleCloseMs": 15000.0,
        "MaxRetryAfterMs": 500.0, "RetryAfter": True, "StreamsPerConn": 100,
    },
    "Rules": {"ColdFrom": 0.2, "ColdMs": 15000.0, "FallMs": 1000.0, "OverloadFactor": 2.0},
}  # fmt: skip


def free_port() -> int:
    """A port that nothing listens on, below those that the system gives to outbound connections.

    One of those could be taken again before the program under test listens on it.
    """
    while True:
        port = next(PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class Words:
    """Reads and writes RESP arrays on a stream."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self._ring = stream, Ring(own_account(1 << 26))
        self._writing = trio.Lock()
        self._reader = RespReader(words=9, word_bytes=1 << 20, body_at=4, body_bytes=1 << 20)

    async def read(self) -> list[bytes] | None:
        while (words := self._reader.next(self._ring)) is None:
            try:
                data = await self.stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            if not data:
                return None
            self._ring.put(bytes(data))
        return words

    async def write(self, *words: bytes) -> None:
        await self.send(encode(*words))

    async def send(self, data: bytes, hold_s: float = 0.0) -> None:
        """Writes bytes as they are, one writer at a time; nobody else writes for so long after that."""
        async with self._writing:
            await self.stream.send_all(data)
            if hold_s:
                await trio.sleep(hold_s)


class Archive:
    """All stores of a small deployment. `plan` says, by object, what is answered and how late."""

    weight = 6.0  # of each store, as the list tells it

    def __init__(self, stores: Sequence[tuple[str, str, str]] = STORES) -> None:
        self.stores = stores
        self.plan: dict[str, tuple[float, str]] = {}
        self.keeps_orders = True
        self.orders: list[dict[str, str]] = []  # as they came, with id and place
        self.dropped: list[str] = []
        self.out: dict[str, int] = {}  # attempts at work by id
        self.most_out = 0
        self.addresses: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for store, _, _ in self.stores:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                self.addresses[store] = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                nursery.start_soon(trio.serve_listeners, self._serving(store), [listener])
            task_status.started()

    def _serving(self, store: str) -> Callable[[trio.SocketStream], Awaitable[None]]:
        async def serve(stream: trio.SocketStream) -> None:
            words, scopes = Words(stream), dict[str, trio.CancelScope]()
            async with trio.open_nursery() as nursery:
                while (message := await words.read()) is not None:
                    name = message[1].decode()
                    if message[0] == b"DROP":
                        self.dropped.append(name)
                        self.saw("drop", store, name)
                        if scope := scopes.pop(name, None):
                            scope.cancel()
                        continue
                    scopes[name] = trio.CancelScope()
                    nursery.start_soon(self._answer, store, words, message, scopes[name])
                nursery.cancel_scope.cancel()

        return serve

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        """Seconds until the answer, its word, and the Unix ms at which the origin gave out the copy."""
        delay, word = self.plan.get(fields.get("k", ""), (0.0, "served"))
        return delay, word, LONG_AGO

    def body(self, fields: dict[str, str]) -> bytes:
        """What is served for a request."""
        return f"{fields.get('k', '')}/{fields.get('p', '')}".encode()

    def saw(self, what: str, store: str, call: str) -> None:
        """For those who keep a history: an attempt came, ended or was dropped."""

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        name, fields = message[1].decode(), read_fields(message[2])
        if self.keeps_orders:
            self.orders.append({"id": name, "at": store, "body": message[3].decode(), **fields})
        self.saw("order", store, name)
        delay, word, since = self.reply(store, fields)
        self.out[name] = self.out.get(name, 0) + 1
        self.most_out = max(self.most_out, self.out[name])
        with scope:
            try:
                await trio.sleep(delay)
            finally:
                self.out[name] -= 1
                self.saw("end", store, name)
            if word == "reset":
                await words.stream.aclose()
                return
            body = self.body(fields) if word == "served" else b""
            if word == "served" and since != LONG_AGO:
                body += f"/{since}".encode()  # clients see how old what they got is
            rev = fields.get("inm", "00aa") if word == "still_good" else "00aa"
            said = f"rev={rev},since={since},load=util:0.2;x1:0.1;x0:0.5".encode()
            # A DROP that comes amid the answer must not cut it: nothing could be read behind it.
            with trio.move_on_after(MOST_WRITE_S, shield=True) as writing:
                await words.write(name.encode(), word.encode(), said, body)
            if writing.cancelled_caught:
                await words.stream.aclose()


class Client:
    """A client of the platform's protocol."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.words, self._tag = Words(stream), 0

    @property
    def next_tag(self) -> int:
        """The tag that the next request will carry."""
        return self._tag + 1

    async def send(self, cls: str = "pieces", key: str = KEY, **fields: Any) -> int:
        self._tag += 1
        given = {"call": f"{next(CALLS):016x}", "ttl": "2500", "row": key, "block": "3", "family": "17"}
        given |= fields
        text = ",".join(f"{k}={v}" for k, v in given.items() if v is not None)
        await self.words.write(b"RPC.CALL", b"%d" % self._tag, cls.encode(), text.encode(), b"x")
        return self._tag

    async def call(self, cls: str = "pieces", key: str = KEY, **fields: Any) -> list[bytes]:
        """The answer of one request, which must be the next that comes."""
        tag = await self.send(cls, key, **fields)
        answer = await self.words.read()
        assert answer is not None and int(answer[0]) == tag, answer
        return answer

    async def health(self) -> bytes:
        self._tag += 1
        await self.words.write(b"RPC.HEALTH", b"%d" % self._tag, b"")
        answer = await self.words.read()
        return answer[1] if answer else b""


async def operator(port: int, line: str, host: str = "127.0.0.1") -> list[str]:
    """What the console answers to one call, line by line, until it closes."""
    stream = await trio.open_tcp_stream(host, port)
    async with stream:
        await stream.send_all(line.encode() + b"\n")
        return b"".join([data async for data in stream]).decode().splitlines()


def configuration(archive: Archive, port: int, changelog: str = "") -> dict[str, Any]:
    entries = [
        {
            "instanceId": store, "hostPort": archive.addresses[store], "zone": zone, "machineType": kind,
            "cell": 0, "lifecycle": "active", "weight": archive.weight, "startedAtMs": 0,
        }
        for store, zone, kind in archive.stores
    ]  # fmt: skip
    fleet = {"generation": 1, "reset": False, "instances": entries}
    return {
        "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": changelog,
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}, "settings": SETTINGS,
    }  # fmt: skip
