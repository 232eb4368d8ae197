"""Stand-ins of the platform on loopback, and the program started by the command of the deploy file.

Standard library only. Written from the protocol page: stores that answer GET and DROP, a change log, clients
that write calls and read answers, and one edge proxy as a process of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
Order = dict[str, str]
Said = tuple[str, str, bytes] | None

# Zone, kind and weight of each store of the small deployment.
STORES = {
    "s-00000001": ("edge-1", "petit", 6),
    "s-00000002": ("edge-1", "petit", 6),
    "s-00000003": ("edge-1", "petit", 6),
    "s-00000011": ("nord", "parent", 20),
    "s-00000021": ("nord", "origin", 20),
}
KINDS = ["petit", "parent", "origin"]
ZONES = ["nord", "edge-1"]


def settings() -> dict[str, Any]:
    """Settings of a small deployment: one proxy, three caches, a parent and the origin."""
    return {
        "Az": 1, "Me": 0, "FleetSize": 1, "Kinds": KINDS, "Zones": ZONES, "WeightKind": "nominal",
        "RegistryMode": "push", "Layer": 0, "Tiers": ["caches"], "Orgs": [], "Workload": "edge",
        "Classes": [
            {"Name": "pieces", "Effect": "free", "GiveUpMs": 5000.0, "TargetMs": 400.0, "AimStretch": 1.6},
            {"Name": "fiches", "Effect": "free", "GiveUpMs": 3000.0, "TargetMs": 400.0, "AimStretch": 2.0},
            {"Name": "depot", "Effect": "guarded", "KeyScope": "all", "GiveUpMs": 3000.0, "TargetMs": 600.0,
             "DedupWindowMs": 2000.0},
        ],
        "FamilyInfo": {
            "RootKind": 2, "SecondTierKind": 1, "ZoneBalancers": [0, 1], "MayPassBy": True,
            "SharesFills": True, "Siblings": "location", "Tells": "silent", "GoodForMs": [0.0, 8000.0, 0.0],
            "UsableAfterMs": [0.0, 0.0, 0.0], "Uncached": [False, False, True],
            "ClassParts": [False, False, False], "ClearedWithinMs": 6000.0, "PurgeSlackMs": 500.0,
            "PaceKbPerS": 7100.0, "ParentColdFrom": 0.079, "ParentColdMs": 22000.0, "ParentLimitFactor": 2.0,
        },
        "PolicyLimits": {
            "AttemptsCap": 6, "Cancelling": True, "DialTimeoutMs": 400.0, "IdleCloseMs": 15000.0,
            "MaxRetryAfterMs": 500.0, "RetryAfter": True, "StreamsPerConn": 100, "MayDuplicate": False,
            "Peers": False, "Probing": True, "OpenCap": 20000,
        },
        "Rules": {
            "AnswerSlackMs": 8.0, "AskEveryMs": 10000.0, "ColdFrom": 0.19, "ColdMs": 15000.0,
            "FallMs": 1000.0, "OverloadFactor": 2.0, "StopSendingWithinMs": 2000.0,
        },
        "Report": {"Columns": ["busy", "x1", "x0"], "How": "piggyback"},
    }  # fmt: skip


class Record:
    """What happened, a line each, with seconds since the start. It is written to record.txt at the end."""

    def __init__(self, path: Path) -> None:
        self._path, self._began, self._lines = path, time.monotonic(), list[str]()

    def say(self, text: str) -> None:
        """Notes a line."""
        self._lines.append(f"{time.monotonic() - self._began:9.4f} {text}")

    def show(self, text: str) -> None:
        """Notes a line and prints it."""
        self.say(text)
        print(text, flush=True)

    def write(self) -> None:
        """Puts all lines into the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def encode(*words: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """The next RESP array. Errors: IncompleteReadError or ConnectionError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def read_fields(raw: bytes) -> Order:
    """The pairs of name=value,name=value; '-' or nothing for none."""
    if raw in (b"", b"-"):
        return {}
    return dict(pair.split("=", 1) for pair in raw.decode().split(","))


def body_of(fields: Order, size: int) -> bytes:
    """The bytes of a part of an object: its name, repeated up to a size."""
    name = (
        f"{fields.get('k') or fields.get('row', '')}/{fields.get('p') or fields.get('block', '')};".encode()
    )
    return (name * (size // len(name) + 1))[:size]


class Stores:
    """All stores of the deployment. `reply` gives word, fields and body of an answer, or None for silence."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.addresses: dict[str, str] = {}
        self.size = 400  # bytes of an object's part
        self.delay_s = 0.005
        self.reply: Callable[[str, str, Order], Said] = self.sound
        self.came = 0  # requests that came whole
        self._servers: list[asyncio.Server] = []

    def sound(self, store: str, call: str, fields: Order) -> Said:
        """The answer of a sound store: a fresh copy, or a write done."""
        since = int(time.time() * 1000)
        if fields.get("c") == "depot":
            return "served", f"rev=00aa,since={since},load=util:0.2;x1:0.1;x0:0.5", b"done"
        return "served", f"rev=00aa,since={since},load=util:0.2;x1:0.1;x0:0.5", body_of(fields, self.size)

    async def start(self) -> None:
        """Listens for every store, each on a free port."""
        for store in STORES:
            server = await asyncio.start_server(self._serving(store), HOST, 0, backlog=512)
            self._servers.append(server)
            self.addresses[store] = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def _serving(self, store: str) -> Callable[..., Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            out: dict[str, asyncio.Task[None]] = {}
            try:
                while True:
                    words = await read_words(reader)
                    call = words[1].decode()
                    if words[0] == b"GET":
                        self.came += 1
                        self.record.say(f"store {store} got {call} {words[2].decode()} body={len(words[3])}")
                        out[call] = asyncio.create_task(self._answer(store, call, words, writer))
                    elif words[0] == b"DROP":
                        self.record.say(f"store {store} drop {call}")
                        if task := out.pop(call, None):
                            task.cancel()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                for task in out.values():
                    task.cancel()
                writer.close()

        return serve

    async def _answer(self, store: str, call: str, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        said = self.reply(store, call, read_fields(words[2]))
        if said is None:
            return
        await asyncio.sleep(self.delay_s)
        word, fields, body = said
        self.record.say(f"store {store} answers {call} {word} {fields[:120]} body={len(body)}")
        writer.write(encode(call.encode(), word.encode(), fields.encode(), body))


class ChangeLog:
    """The change log: an empty frame each second, and events that the test appends."""

    def __init__(self, record: Record, first: int = 1) -> None:
        self.record, self.last, self.events = record, first, list[bytes]()
        self._first = first
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def append(self, kind: int, payload: bytes) -> None:
        """A new event, told at once."""
        self.last += 1
        self.events.append(struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            at = int.from_bytes(await reader.readexactly(8), "big")
            self.record.say(f"change log asked from {at}")
            beat = time.monotonic()
            while True:
                while at < self.last:
                    writer.write(self.events[at - self._first])
                    at += 1
                if time.monotonic() >= beat:
                    beat += 1.0
                    writer.write(struct.pack(">IQB", 9, at, 0))
                await writer.drain()
                await asyncio.sleep(0.02)


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class Proxy:
    """One edge proxy, started with the command `run` of the deploy file."""

    def __init__(self, record: Record, stores: Stores, log: ChangeLog, **more: Any) -> None:
        self.record, self._stores, self._log, self._more = record, stores, log, more
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.process: asyncio.subprocess.Process | None = None
        self.port = int(_free_address().rpartition(":")[2])
        self.ended_at: float | None = None
        self.listening: socket.socket | None = None  # held by the platform and inherited as descriptor 4
        self.console = ""  # address of the operators' console

    def listen(self) -> None:
        """The platform holds the clients' listening socket, as on days of upgrades."""
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.bind((HOST, self.port))
        self.listening.listen(512)

    def successor(self) -> Proxy:
        """The same proxy, to be started once more beside this one: its folders and sockets are shared."""
        other = Proxy(self.record, self._stores, self._log, **self._more)
        shutil.rmtree(other.folder)
        other.folder, other.port, other.listening = self.folder, self.port, self.listening
        return other

    def configuration(self) -> dict[str, Any]:
        """What the platform hands to the proxy."""
        instances = [
            {"instanceId": store, "hostPort": self._stores.addresses[store], "zone": zone,
             "machineType": kind, "cell": 0, "lifecycle": "active", "weight": weight, "startedAtMs": 0}
            for store, (zone, kind, weight) in STORES.items()
        ]  # fmt: skip
        fleet = {"generation": 1, "reset": False, "instances": instances}
        told = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": self._log.address,
            "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]}, "settings": settings(),
        }  # fmt: skip
        return told | self._more

    async def start(self) -> None:
        """Starts it and waits until RPC.HEALTH says READY. Errors: RuntimeError after 20 s."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.configuration()))
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        told = {"LB_NAME": "n0", "LB_LISTEN": f"{HOST}:{self.port}", "LB_CONFIG": str(config)}
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "STARLINGHAVEN_"))}
        inherited: dict[str, Any] = {}
        if (listening := self.listening) is not None:
            told |= {"LB_PASSED_SOCKET": "4", "LB_CONSOLE": self.console or _free_address()}
            self.console = told["LB_CONSOLE"]
            inherited = {"pass_fds": (4,), "preexec_fn": lambda: os.dup2(listening.fileno(), 4)}
        with (self.folder / "log").open("a") as sink:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=sink, stderr=sink,
                env=clean | told | {"TMPDIR": str(self.folder / "tmp")}, **inherited,
            )  # fmt: skip
        self._watcher = asyncio.create_task(self._watch())
        for _ in range(200):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if self.console:
                    if (await self.operate("readyz")).startswith("SUCCESS"):
                        self.record.say(f"proxy ready pid={self.process.pid}")
                        return
                    continue
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode(b"RPC.HEALTH", b"1", b""))
                words = await asyncio.wait_for(read_words(reader), 2)
                writer.close()
                if words[1] == b"READY":
                    self.record.say(f"proxy ready pid={self.process.pid}")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the proxy did not get ready: " + self.log()[-400:])

    async def operate(self, line: str) -> str:
        """What the console answers to a call."""
        host, _, port = self.console.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(line.encode() + b"\n")
        said = (await reader.read()).decode()
        writer.close()
        return said

    async def _watch(self) -> None:
        assert self.process is not None
        code = await self.process.wait()
        self.ended_at = time.monotonic()
        self.record.say(f"proxy ended with {code}")

    def log(self) -> str:
        """What it wrote to standard output and error."""
        return (self.folder / "log").read_text()

    @property
    def running(self) -> bool:
        """Whether the process still runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal."""
        assert self.process is not None
        self.record.say(f"{number.name} to the proxy")
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process, if it runs."""
        if self.process is not None and self.running:
            self.process.kill()
            await self.process.wait()

    async def end(self) -> None:
        """Ends it, writes what it logged into the record, and removes its folder."""
        await self.stop()
        with contextlib.suppress(OSError):
            for line in self.log().splitlines()[-60:]:
                self.record.say(f"proxy's log: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Request:
    """One request as the client sees it."""

    def __init__(self, call: str, fields: Order, size: int) -> None:
        self.call, self.fields, self.size = call, fields, size
        self.sent_at = time.monotonic()  # when its last byte was written
        self.word = ""  # of the answer; empty while there is none
        self.whole = True  # whether the bytes served are those of the part
        self.answers = 0
        self.answered_at = 0.0  # when the answer was whole
        self.ended_at: float | None = None  # of the connection, if it ended before the answer
        self.done = asyncio.Event()


class Client:
    """One connection of a client. It reads all that comes, at most `rate` bytes a second where one is set.

    A rate below zero stands for a client that has gone silent: its connection is open and it reads nothing.
    """

    calls = int.from_bytes(os.urandom(6), "big") << 8

    def __init__(self, record: Record, name: str, rate: float = 0.0, pause_s: float = 0.0) -> None:
        """`pause_s`: seconds until it begins to read."""
        self.record, self.name, self._rate, self._pause_s = record, name, rate, pause_s
        self.requests: dict[int, Request] = {}
        self.tag = 0
        self.eof = False
        self._held = bytearray()

    async def open(self, port: int) -> None:
        """Connects and reads from then on."""
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self._sock, (HOST, port))
        self._reading = asyncio.create_task(self._read())

    async def send(
        self, cls: str, row: str, ttl: int, body: bytes = b"", size: int = 400, **more: str
    ) -> Request:
        """Writes a call. Its request is taken once this returns."""
        self.tag += 1
        return await self.send_tagged(self.tag, cls, row, ttl, body, size, **more)

    async def send_tagged(
        self, tag: int, cls: str, row: str, ttl: int, body: bytes = b"", size: int = 400, **more: str
    ) -> Request:
        """Writes a call under a tag."""
        Client.calls += 1
        call = f"{Client.calls:016x}"
        fields = {"call": call, "ttl": str(ttl), "row": row, "block": "0", "family": "17"} | more
        text = ",".join(f"{k}={v}" for k, v in fields.items())
        request = self.requests[tag] = Request(call, fields, size)
        data = encode(b"RPC.CALL", b"%d" % tag, cls.encode(), text.encode(), body)
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        request.sent_at = time.monotonic()
        self.record.say(f"client {self.name} sent tag={tag} class={cls} {text} body={len(body)}")
        return request

    async def _read(self) -> None:
        if self._rate < 0:
            return
        await asyncio.sleep(self._pause_s)
        loop, budget, at = asyncio.get_running_loop(), 0.0, time.monotonic()
        most = int(self._rate / 20) if self._rate else 1 << 18
        try:
            while data := await loop.sock_recv(self._sock, most):
                self._held += data
                self._take()
                if self._rate:
                    budget += len(data) / self._rate
                    await asyncio.sleep(max(at + budget - time.monotonic(), 0.0))
                    if time.monotonic() - at > budget + 0.2:  # it had nothing to read: no credit for that
                        at = time.monotonic() - budget
        except OSError as error:
            self.record.say(f"client {self.name}: {error}")
        self.eof = True
        self.record.say(f"client {self.name}: the connection has ended")
        for request in self.requests.values():
            if not request.word:
                request.ended_at = time.monotonic()
                request.done.set()

    def _take(self) -> None:
        while (got := _one(self._held)) is not None:
            words, used = got
            del self._held[:used]
            tag = int(words[0])
            request = self.requests.get(tag)
            if request is None:
                self.record.say(f"client {self.name} got an answer to tag={tag}, which it never sent")
                continue
            request.answers += 1
            request.word, request.answered_at = words[1].decode(), time.monotonic()
            if request.word == "RESULT" and request.fields.get("dedupe") is None:
                request.whole = words[3] == body_of(request.fields, request.size)
            self.record.say(
                f"client {self.name} answered tag={tag} {request.word} body={len(words[3])}"
                f" after_ms={1000 * (time.monotonic() - request.sent_at):.0f}"
            )
            request.done.set()

    async def close(self) -> None:
        """Ends the connection."""
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)
        self._sock.close()


def _one(held: bytearray) -> tuple[list[bytes], int] | None:
    """The first RESP array of what was read, and its length; None if it is not whole."""
    end = held.find(b"\r\n")
    if end < 0:
        return None
    at, words = end + 2, list[bytes]()
    for _ in range(int(held[1:end])):
        end = held.find(b"\r\n", at)
        if end < 0:
            return None
        length = int(held[at + 1 : end])
        if len(held) < end + 2 + length + 2:
            return None
        words.append(bytes(held[end + 2 : end + 2 + length]))
        at = end + 2 + length + 2
    return words, at


def run(folder: Path, case: Callable[[Record, bool], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Plays a case and exits: 1 if it says that the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")

    async def bounded() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
        code = 1 if broken else 0
        record.show("the rule was broken" if broken else "the rule held")
    except Exception as error:
        record.show(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    record.write()
    sys.exit(code)
