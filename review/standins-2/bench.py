# ruff: noqa: E501
"""Stand-ins and helpers that the scripts of this review share. Standard library only.

Stores, the change log, clients and the platform play the customers' pages (PROTOCOL, DEPLOY). The edge proxy
is started with the command `run` of deploy/balancer.toml, as a process of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import hmac
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case did not come to the point at which the rule can be judged."""


# -- the record -------------------------------------------------------------------------------------


class Record:
    """record.txt: what was sent, answered and run, in ms since the start."""

    def __init__(self, folder: str) -> None:
        self._file = open(Path(folder) / "record.txt", "w", buffering=1)  # noqa: SIM115
        self._began = time.time()
        self.say(f"begins at {time.strftime('%Y-%m-%d %H:%M:%S')} TROUBLE={int(TROUBLE)}")

    def say(self, text: str) -> None:
        self._file.write(f"{1000 * (time.time() - self._began):10.1f} {text}\n")


# -- RESP -------------------------------------------------------------------------------------------


def words(*parts: bytes | str | int) -> bytes:
    out = [b"*%d\r\n" % len(parts)]
    for part in parts:
        raw = part if isinstance(part, bytes) else str(part).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(raw), raw))
    return b"".join(out)


async def read_words(reader: asyncio.StreamReader) -> list[bytes] | None:
    """One array; None at the end of the connection."""
    try:
        head = await reader.readline()
        if not head.startswith(b"*"):
            return None
        got = []
        for _ in range(int(head[1:])):
            length = int((await reader.readline())[1:])
            got.append((await reader.readexactly(length + 2))[:-2])
        return got
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def fields_of(raw: bytes) -> dict[str, str]:
    text = raw.decode()
    return {} if text in ("", "-") else dict(pair.split("=", 1) for pair in text.split(","))


# -- stores -----------------------------------------------------------------------------------------


class Store:
    """A cache, parent or origin. `answer(order)` gives seconds until the answer, its word, and its body."""

    def __init__(self, record: Record, name: str, zone: str, kind: str, weight: float = 6.0) -> None:
        self.record, self.name, self.zone, self.kind, self.weight = record, name, zone, kind, weight
        self.orders: list[tuple[float, str, dict[str, str]]] = []  # Unix time, id, fields
        self.quiet = False  # not each order is worth a line
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    def answer(self, call: str, order: dict[str, str]) -> tuple[float, str, bytes]:
        return 0.005, "served", b"x" * 100

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def fall(self) -> None:
        """Like a process that dies: its connections are reset, nobody listens any more."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        open_: dict[str, asyncio.Task[None]] = {}
        try:
            while (got := await read_words(reader)) is not None:
                call = got[1].decode()
                if got[0] == b"DROP":
                    if not self.quiet:
                        self.record.say(f"{self.name}: DROP {call}")
                    if task := open_.pop(call, None):
                        task.cancel()
                elif got[0] == b"GET":
                    order = fields_of(got[2])
                    self.orders.append((time.time(), call, order))
                    if not self.quiet:
                        self.record.say(f"{self.name}: GET {call} {got[2].decode()}")
                    task = asyncio.create_task(self._reply(writer, call, order))
                    open_[call] = task
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        finally:
            self._writers.discard(writer)
            for task in open_.values():
                task.cancel()
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _reply(self, writer: asyncio.StreamWriter, call: str, order: dict[str, str]) -> None:
        delay, word, body = self.answer(call, order)
        await asyncio.sleep(delay)
        since = int(1000 * time.time())
        said = f"rev=00aa,since={since},load=util:0.2;x1:0.1;x0:0.5"
        with contextlib.suppress(ConnectionError):
            writer.write(words(call, word, said, body))
            if not self.quiet:
                self.record.say(f"{self.name}: {word} {call} ({len(body)} bytes)")


# -- the change log ---------------------------------------------------------------------------------

READY, DRAINING, GONE = 0, 1, 2


class ChangeLog:
    """Numbered events after the first one, which the configuration has; an empty frame each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[tuple[int, int, bytes]] = []
        self._new = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)  # the same again after an outage
        server = await asyncio.start_server(self._serve, HOST, port)
        self._server = server
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """An outage: connections are reset, and refused until the next start. Events are kept."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def tell(self, kind: int, payload: bytes) -> None:
        self.events.append((len(self.events) + 2, kind, payload))
        self._new.set()
        self._new = asyncio.Event()

    def line(self, store: Store, state: int, zones: list[str], kinds: list[str], started_ms: int = 0) -> None:
        """A change of one store's line."""
        place = zones.index(store.zone), kinds.index(store.kind)
        raw = struct.pack(
            ">I4sHBBBHIQ",
            *(int(store.name[2:], 16), socket.inet_aton(HOST), store.port, state),
            *(*place, 0, round(1000 * store.weight), started_ms),
        )
        self.record.say(f"change log: {store.name} state={state} started={started_ms}")
        self.tell(2, raw)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            self._writers.add(writer)
            last = int.from_bytes(await reader.readexactly(8), "big")
            beat = time.monotonic() + 1.0
            while not reader.at_eof():
                new = self._new
                for number, kind, payload in self.events:
                    if number > last:
                        writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                        last = number
                if time.monotonic() >= beat:
                    beat += 1.0
                    writer.write(struct.pack(">IQB", 9, last, 0))
                await writer.drain()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(new.wait(), max(beat - time.monotonic(), 0.0))
        self._writers.discard(writer)
        with contextlib.suppress(ConnectionError):
            writer.close()


# -- the edge proxy ---------------------------------------------------------------------------------

ZONES, KINDS = ["nord", "edge-1"], ["petit", "parent", "origin"]


def settings(**more: object) -> dict[str, object]:
    """Settings like those of a small deployment; each key in `more` replaces or adds to one of them."""
    base: dict[str, object] = {
        "Az": 1, "FleetSize": 1, "Me": 0, "Kinds": KINDS, "Zones": ZONES, "WeightKind": "nominal",
        "RegistryMode": "push", "Workload": "edge", "Clients": {"MarksRetry": False},
        "Classes": [
            {"Name": "pieces", "Effect": "free", "GiveUpMs": 5000.0, "TargetMs": 400.0, "AimStretch": 1.6,
             "DedupWindowMs": 5000.0, "KeyScope": "all", "Value": 2.0},
            {"Name": "fiches", "Effect": "free", "GiveUpMs": 3000.0, "TargetMs": 400.0, "AimStretch": 2.0,
             "DedupWindowMs": 5000.0, "KeyScope": "all", "Value": 1.0},
            {"Name": "depot", "Effect": "guarded", "GiveUpMs": 3000.0, "TargetMs": 600.0,
             "DedupWindowMs": 2000.0, "KeyScope": "all", "Value": 3.0},
        ],
        "FamilyInfo": {
            "RootKind": 2, "SecondTierKind": 1, "ZoneBalancers": [0, 1], "MayPassBy": True,
            "SharesFills": True, "GoodForMs": [0.0, 8000.0, 0.0], "UsableAfterMs": [0.0, 0.0, 0.0],
            "Uncached": [False, False, True], "ClearedWithinMs": 6000.0, "PurgeSlackMs": 500.0,
            "PaceKbPerS": 7100.0, "ParentColdFrom": 0.079, "ParentColdMs": 22000.0,
            "ParentLimitFactor": 2.0, "Siblings": "location", "Tells": "silent",
        },
        "PolicyLimits": {
            "AttemptsCap": 6, "Cancelling": True, "DialTimeoutMs": 400.0, "IdleCloseMs": 15000.0,
            "MaxRetryAfterMs": 500.0, "RetryAfter": True, "StreamsPerConn": 100, "MayDuplicate": False,
            "Peers": True, "Probing": True,
        },
        "Report": {"Columns": ["busy", "x1", "x0"], "How": "piggyback"},
        "Rules": {"AnswerSlackMs": 8.0, "ColdFrom": 0.19, "ColdMs": 15000.0, "FallMs": 1000.0,
                  "OverloadFactor": 2.0, "StopSendingWithinMs": 2000.0},
    }  # fmt: skip
    for name, value in more.items():
        old = base.get(name)
        base[name] = old | value if isinstance(old, dict) and isinstance(value, dict) else value
    return base


def known(stores: list[Store], started: dict[str, int] | None = None) -> dict[str, object]:
    """The first event: the whole list."""
    lines = [
        {
            "instanceId": s.name, "hostPort": f"{HOST}:{s.port}", "zone": s.zone, "machineType": s.kind,
            "cell": 0, "lifecycle": "active", "weight": s.weight, "startedAtMs": (started or {}).get(s.name, 0),
        }
        for s in stores
    ]  # fmt: skip
    return {"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": False, "instances": lines}}]}


_PORTS = itertools.count(16_000 + os.getpid() % 120 * 100)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nobody has, below those that the system gives to outbound connections."""
    while True:
        port = 10_000 + next(_PORTS) % 22_000
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class Edge:
    """One process of the program, started with the command `run` of the deploy file."""

    def __init__(self, record: Record, name: str, folder: Path, config: dict[str, object]) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.log = folder / f"{name}.log"
        self.config = folder / f"{name}.json"
        self.config.write_text(json.dumps(config))
        self.process: subprocess.Popen[bytes] | None = None
        RUNNING.append(self)

    def start(
        self, tmpdir: Path, env: dict[str, str] | None = None, passed: socket.socket | None = None
    ) -> None:
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "STARLINGHAVEN_"))}
        told = {"LB_CONFIG": str(self.config), "TMPDIR": str(tmpdir)} | (env or {})
        pass_fds: tuple[int, ...] = ()
        if passed is not None:
            told["LB_PASSED_SOCKET"] = str(passed.fileno())
            pass_fds = (passed.fileno(),)
        with open(self.log, "wb") as sink:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT, env=clean | told, stdin=subprocess.DEVNULL, stdout=sink, stderr=sink, pass_fds=pass_fds,
            )  # fmt: skip
        self.record.say(f"{self.name}: started, process {self.process.pid}")

    def said(self) -> str:
        return self.log.read_text(errors="replace")

    @property
    def exit_code(self) -> int | None:
        return self.process.poll() if self.process else None

    async def ready(self, seconds: float = 30.0) -> bool:
        """Whether it says that it is ready in time (30 s by the deployment page)."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.exit_code is None:
            if "ready " in self.said():
                self.record.say(f"{self.name}: ready")
                return True
            await asyncio.sleep(0.02)
        self.record.say(f"{self.name}: not ready, exit code {self.exit_code}")
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.process and self.exit_code is None:
            self.record.say(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    async def ended(self, seconds: float) -> int | None:
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.exit_code is None:
            await asyncio.sleep(0.02)
        return self.exit_code


RUNNING: list[Edge] = []


def configuration(name: str, port: int, log: str, stores: list[Store], told: dict[str, object],
                  memory_mb: int = 192, started: dict[str, int] | None = None, **more: object) -> dict[str, object]:  # fmt: skip
    return {
        "name": name, "listen": f"{HOST}:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}, "changelog": log,
        "known": known(stores, started), "settings": told,
    } | more  # fmt: skip


# -- clients of the platform ------------------------------------------------------------------------

_CALLS = itertools.count(int(time.time() * 1000) << 16)


def new_call() -> str:
    return f"{next(_CALLS) & (2**64 - 1):016x}"


class Client:
    """One connection of a client. `tags` gives the tags; each is new on the connection."""

    def __init__(self, record: Record, name: str, tags: itertools.count[int] | None = None) -> None:
        self.record, self.name = record, name
        self.tags = itertools.count(1) if tags is None else tags
        self.open: dict[int, tuple[str, float, asyncio.Future[list[bytes] | None]]] = {}
        self.closed_by_peer = False
        self.lost: list[
            tuple[str, float, float]
        ] = []  # open when the connection ended: call, sent at, ended at

    async def connect(self, port: int) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=2**20)
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while (got := await read_words(self.reader)) is not None:
            if held := self.open.pop(int(got[0]), None):
                held[2].set_result(got)
        self.closed_by_peer = True
        for tag, (call, sent_at, future) in self.open.items():
            self.lost.append((call, sent_at, time.time()))
            self.record.say(f"{self.name}: connection ended by the proxy, no answer to tag {tag} call {call}")
            if not future.done():
                future.set_result(None)
        self.open.clear()

    def ask(
        self, cls: str, fields: dict[str, object], body: bytes = b""
    ) -> asyncio.Future[list[bytes] | None]:
        tag, call = next(self.tags), new_call()
        text = ",".join(f"{k}={v}" for k, v in ({"call": call} | fields).items())
        future: asyncio.Future[list[bytes] | None] = asyncio.get_running_loop().create_future()
        self.open[tag] = call, time.time(), future
        self.writer.write(words("RPC.CALL", tag, cls, text, body))
        return future

    def cancel(self, tag: int) -> None:
        self.open.pop(tag, None)
        self.writer.write(words("RPC.CANCEL", tag))

    def close(self) -> None:
        with contextlib.suppress(ConnectionError, AttributeError):
            self._task.cancel()
            self.writer.close()


async def health(port: int) -> str:
    """What the front hears to RPC.HEALTH on a new connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(words("RPC.HEALTH", 1, ""))
    got = await read_words(reader)
    writer.close()
    return got[1].decode() if got else ""


# -- signed links -----------------------------------------------------------------------------------

SECRET = b"0123456789abcdef0123456789abcdef"


def _b64(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def key_file(folder: Path) -> Path:
    path = folder / "keys.json"
    path.write_text(json.dumps({"keys": [{"kty": "oct", "kid": "k1", "alg": "HS256", "k": _b64(SECRET)}]}))
    return path


def signed(base: str, target: str, lifetime_s: int = 600) -> str:
    """The target with a token for just this URI (RFC 9246, hash container)."""
    container = "hash:sha-256;" + _b64(hashlib.sha256((base + target).encode()).digest())
    claims = {"exp": int(time.time()) + lifetime_s, "cdniv": 1, "cdniuc": container}
    head = _b64(json.dumps({"alg": "HS256", "kid": "k1"}).encode())
    text = f"{head}.{_b64(json.dumps(claims).encode())}"
    return (
        f"{target}?URISigningPackage={text}.{_b64(hmac.new(SECRET, text.encode(), hashlib.sha256).digest())}"
    )


# -- a case -----------------------------------------------------------------------------------------


def _end_all(record: Record) -> None:
    """Ends every process that was started here, and writes down what each said last."""
    for edge in RUNNING:
        if edge.process and edge.exit_code is None:
            edge.process.kill()
            edge.process.wait()
        if edge.process:
            record.say(f"{edge.name}: its last lines:")
            for line in edge.said().splitlines()[-12:]:
                record.say(f"    {line[:400]}")


def _finish(record: Record, verdict: int) -> None:
    """The one end of a script: nothing that still runs in the event loop is waited for."""
    text = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[verdict]
    record.say(text)
    print(text, flush=True)
    os._exit(verdict)


def play(case: Callable[[Record, Path], Awaitable[int]], folder: str, seconds: float = 112.0) -> None:
    """Runs a case in a temporary folder, ends all that it started, and exits with its verdict."""
    record = Record(folder)

    async def bounded() -> None:
        verdict = COULD_NOT_RUN
        with tempfile.TemporaryDirectory(prefix="r2-") as name:
            try:
                verdict = await asyncio.wait_for(case(record, Path(name)), seconds)
            except Exception as error:  # whatever a script meets, it has not judged the rule then
                record.say(f"could not run: {type(error).__name__}: {error}")
            _end_all(record)
        _finish(record, verdict)

    asyncio.run(bounded())
