"""The stores of a soak: stand-ins that fail as the plan says, and note what they are asked and said."""

from __future__ import annotations

import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from random import Random

import trio

from starlinghaven.lab.history import History
from starlinghaven.lab.soak.deployment import KINDS, ZONES, Deployment
from starlinghaven.lab.soak.plan import StoreFault
from starlinghaven.protocol.resp import encode, read_fields
from starlinghaven.standins.platform import Words
from starlinghaven.standins.tier import Tier

CLEARED_WITHIN_S = 5.7  # of a purge; the settings promise 6 s
GROUPS = 4
HIT_SHARE = 0.5  # of the requests at a store with a fault that meet it
OUT_OF_RANGE = (f"since={'7' * 400}", "since=-1", "fill=1e400", "fill=nan", "fill=-1")
OUT_OF_RANGE_SHARE = 0.5  # of spoilt answers: a number that no answer can have, in an answer that is whole
PART = 0  # every object of a soak has one part
NOTES = ("mem", "parent", "origin", "shared", "denied", "unreached", "absent", "crowded", "behind")
PROVEN = frozenset({"overload", "not_here", "nobody"})


def group_of(key: str) -> int:
    """The group of an object."""
    return int(key, 16) % GROUPS


def body_of(key: str, part: int, since: int) -> bytes:
    """The bytes of an object as the origin gave it out at a Unix time in ms; their number follows the key."""
    head = f"{key}/{part}/{since}/".encode()
    return head + bytes([65 + int(key, 16) % 26]) * (int(key, 16) * 997 % 20_000)


def reset(stream: trio.SocketStream) -> None:
    """Ends a connection with a reset, unless it has ended."""
    if stream.socket.fileno() < 0:
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    trio.lowlevel.notify_closing(stream.socket)
    stream.socket.close()


class SoakTier(Tier):
    """Stand-in stores whose orders, answers, ends and time limits go into a history."""

    def __init__(self, deployment: Deployment, history: History, random: Random, host: str) -> None:
        stores = [(s.id, ZONES[s.zone], KINDS[s.kind]) for s in deployment.stores]
        super().__init__(stores, lambda *_: None)
        self._history, self._random, self._host = history, random, host
        self._slots = [s.id for s in deployment.stores]  # the id that each address belongs to now
        self._places = {s.id: s for s in deployment.stores}
        self._faults: list[StoreFault | None] = [None] * len(self._slots)
        self._open: list[set[trio.SocketStream]] = [set() for _ in self._slots]
        self._attempts = 0

    # -- what the plan does -----------------------------------------------------------------------

    def fault(self, number: int, fault: StoreFault | None) -> None:
        """Begins a fault of a store, or ends the one that it has."""
        self._faults[number] = fault

    def store_at(self, number: int) -> str:
        """The id of the store at an address."""
        return self._slots[number]

    def restart(self, number: int, new_id: str = "") -> None:
        """A store's process ends and starts anew, cold; with another id where one is given."""
        old = self._slots[number]
        for stream in list(self._open[number]):
            reset(stream)
        store = self._slots[number] = new_id or old
        self.copies.pop(old)
        self.copies[store] = {}
        self.kinds[store], self._places[store] = self.kinds.pop(old), self._places[old]
        self.addresses[store] = self.addresses[old]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listens for all stores; an address refuses connections while its store's fault says so."""
        async with trio.open_nursery() as nursery:
            for number in range(len(self._slots)):
                await nursery.start(self._listen, number)
            task_status.started()

    async def _listen(
        self, number: int, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        port = 0
        while True:
            (listener,) = await trio.open_tcp_listeners(port, host=self._host)
            if not port:
                port = listener.socket.getsockname()[1]
                self.addresses[self._slots[number]] = f"{self._host}:{port}"
                task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._connected(number), [listener])
                while self._faults[number] is not StoreFault.REFUSES:
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            while self._faults[number] is StoreFault.REFUSES:
                await trio.sleep(0.02)

    # -- connections ------------------------------------------------------------------------------

    def _connected(self, number: int) -> Callable[[trio.SocketStream], Awaitable[None]]:
        async def serve(stream: trio.SocketStream) -> None:
            self._open[number].add(stream)
            try:
                await self._serve(number, stream)
            except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                pass  # one side has ended it
            finally:
                self._open[number].discard(stream)

        return serve

    async def _serve(self, number: int, stream: trio.SocketStream) -> None:
        words, scopes = Words(stream), dict[str, trio.CancelScope]()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_early, number, stream, scopes)
            while True:
                if self._meets(number, StoreFault.RESET_BEFORE):
                    await stream.receive_some(self._random.randrange(1, 40))
                    return reset(stream)
                message = await words.read()
                if message is None:
                    break
                self._read(number, words, message, scopes, nursery)
            nursery.cancel_scope.cancel()

    async def _close_early(
        self, number: int, stream: trio.SocketStream, scopes: dict[str, trio.CancelScope]
    ) -> None:
        """Closes the connection at some moment at which no request is open on it."""
        while True:
            await trio.sleep(self._random.uniform(0.02, 0.3))
            if self._faults[number] is StoreFault.CLOSES_IDLE and not scopes:
                await stream.aclose()

    def _meets(self, number: int, *faults: StoreFault) -> bool:
        return self._faults[number] in faults and self._random.random() < HIT_SHARE

    def _read(
        self,
        number: int,
        words: Words,
        message: list[bytes],
        scopes: dict[str, trio.CancelScope],
        nursery: trio.Nursery,
    ) -> None:
        store, call = self._slots[number], message[1].decode()
        if message[0] == b"DROP":
            self._history.add("drop", store=store, call=call)
            if scope := scopes.pop(call, None):
                scope.cancel()
            return
        fields = read_fields(message[2])
        self._attempts += 1
        place = self._places[store]
        self._history.add(
            "order",
            store=store,
            call=call,
            attempt=self._attempts,
            source=fields.get("up", ""),
            cls=fields.get("c", ""),
            zone=place.zone,
            cell=place.cell,
            wait_s=int(fields.get("w", "0")) / 1000,
        )
        scope = scopes[call] = trio.CancelScope()
        nursery.start_soon(self._work, number, words, call, fields, self._attempts, scopes, scope)

    # -- requests ---------------------------------------------------------------------------------

    async def _work(
        self,
        number: int,
        words: Words,
        call: str,
        fields: dict[str, str],
        attempt: int,
        scopes: dict[str, trio.CancelScope],
        scope: trio.CancelScope,
    ) -> None:
        store = self._slots[number]
        try:
            with scope:
                await self._answer_with(number, words, call, fields, attempt)
        finally:
            if scopes.get(call) is scope:
                del scopes[call]
            self._history.add("end", store=store, call=call, attempt=attempt)

    async def _answer_with(
        self, number: int, words: Words, call: str, fields: dict[str, str], attempt: int
    ) -> None:
        store = self._slots[number]
        fault = self._faults[number]
        if fault not in (None, StoreFault.VANISHED) and self._random.random() >= HIT_SHARE:
            fault = None
        if fault in (StoreFault.HANGS, StoreFault.VANISHED):
            await trio.sleep_forever()
        if fault is StoreFault.RESET_AFTER:
            await trio.sleep(self._random.choice((0.0, 0.01, 0.1, 0.6)))
            return reset(words.stream)
        if fault is StoreFault.LATE:
            await trio.sleep(self._random.uniform(0.1, 1.5))
        delay_s, word, since = self.reply(store, fields)
        if fault in (StoreFault.OVERLOAD, StoreFault.CRASHED, StoreFault.NOT_HERE):
            delay_s, word = self._random.choice((0.0, 0.01, 0.2)), str(fault)
        await trio.sleep(delay_s)
        answer = self._answer_text(call, word, fields, since)
        if fault not in (StoreFault.RESET_AMID, StoreFault.CUT, StoreFault.SPOILT, StoreFault.ENDLESS):
            fault_free = fault is not StoreFault.DOUBLED
            self._history.add("said", store=store, call=call, attempt=attempt, word=word)
            await words.send(answer)
            if not fault_free:
                await trio.sleep(self._random.uniform(0.0, 0.05))
                await words.send(answer)
            return
        await self._spoil(words, fault, call, word, answer)

    def _answer_text(self, call: str, word: str, fields: dict[str, str], since: int) -> bytes:
        told = [f"rev={since:x}", f"since={since}", "load=util:0.2;x1:0.1;x0:0.5"]
        if word != "served" and self._random.random() < 0.5:
            told.append(f"note={self._random.choice(NOTES)}")
        body = body_of(fields.get("k", "0"), int(fields.get("p", PART)), since) if word == "served" else b""
        return encode(call.encode(), word.encode(), ",".join(told).encode(), body)

    async def _spoil(self, words: Words, fault: StoreFault, call: str, word: str, answer: bytes) -> None:
        """Writes what is no whole answer in the page's form."""
        stream = words.stream
        match fault:
            case StoreFault.CUT:
                said = self._random.choice((word, *PROVEN)).encode()
                rest = self._random.choice(((), (b"-",)))
                await words.send(encode(call.encode(), said, *rest))
            case StoreFault.SPOILT if self._random.random() < OUT_OF_RANGE_SHARE:
                field = self._random.choice(OUT_OF_RANGE).encode()
                await words.send(encode(call.encode(), word.encode(), b"rev=00aa," + field, b"x"))
            case StoreFault.SPOILT:
                at = self._random.randrange(len(answer) - 4)  # the last byte of a body could not be told
                await words.send(answer[:at] + b"\xff\r\n*" + answer[at + 1 :])
            case StoreFault.RESET_AMID:
                hold_s = self._random.choice((0.001, 0.02))  # what came after would make it whole again
                await words.send(answer[: self._random.randrange(len(answer))], hold_s)
                reset(stream)
            case _:
                await words.send(answer[:-2], math.inf)

    # -- purges -----------------------------------------------------------------------------------

    async def purge(self, name: str | int, unix_ms: int) -> None:
        """Drops older copies of an object or a group: at each store at a time of its own, at last at all."""
        moments = [(self._random.uniform(0.0, CLEARED_WITHIN_S), store) for store in self.copies]
        for after_s, store in sorted(moments):
            await self._sleep_until(unix_ms / 1000 + after_s)
            self._clear(store, name, unix_ms)
        await self._sleep_until(unix_ms / 1000 + CLEARED_WITHIN_S)
        for store in self.copies:  # one may have got an older copy from another since
            self._clear(store, name, unix_ms)

    @staticmethod
    async def _sleep_until(unix_s: float) -> None:
        await trio.sleep(max(unix_s - time.time(), 0.0))

    def _clear(self, store: str, name: str | int, unix_ms: int) -> None:
        held = self.copies.get(store, {})
        for key in [k for k, since in held.items() if name in (k, group_of(k)) and since <= unix_ms]:
            del held[key]
