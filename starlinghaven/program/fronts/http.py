"""HTTP/1.1 over a Connection, by h11: one request at a time, bounded, answered once."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import h11
import trio

from starlinghaven.containment import CONTAINED
from starlinghaven.memory import Account
from starlinghaven.program.fronts.clients import Clients
from starlinghaven.routing.types import Counters
from starlinghaven.transport.connection import STARVED_S, Connection
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Ring

log = logging.getLogger(__name__)

MOST_HEAD = 8 * 1024  # bytes of a request line with its fields
MOST_BODY = 64 * 1024  # bytes of a request's body
MOST_RESPONSE_HEAD = 1024  # bytes of a response beside its body
MOST_AHEAD = 64 * 1024  # bytes that a client may send ahead while its request is at work
IDLE_S = 15.0  # seconds that a client may take for a whole request, or stay idle


@dataclass(frozen=True, slots=True)
class HttpRequest:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case; of repeated ones the last
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class Exchange:
    """One request and its one response. Compared by identity, so that it can be a ticket."""

    def __init__(self, client: HttpClient, request: HttpRequest) -> None:
        self.request, self._client = request, client
        self.left: Callable[[], Awaitable[None]] | None = None  # what to do when the client leaves

    @property
    def gone(self) -> bool:
        """Whether its client has left, be that read or not."""
        return self._client.exchange is not self or self._client.connection.hung_up

    held = 0  # as an asker: one request of a connection is open at a time
    alone = True

    def unread_for_s(self) -> float:
        """Seconds that the request may have waited in the system's buffers, at most."""
        return self._client.connection.unread_for_s()

    def respond(self, response: HttpResponse) -> None:
        self._client.respond(self, response)


Handle = Callable[[Exchange], Awaitable[None]]
"""Takes a request. It responds to the exchange now or later."""


class HttpClient:
    """One client's connection."""

    def __init__(self, server: HttpServer, connection: Connection) -> None:
        self.connection, self._server = connection, server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._held = 0  # bytes of the budget for what came in and belongs to no answered request
        self.exchange: Exchange | None = None
        self._responded = trio.Event()  # the exchange at work has its response
        self.since = time.monotonic()  # when it became idle

    async def feed(self, ring: Ring) -> int:
        """Reads on as the request at work is answered, and as there is memory; nothing at work is cut off."""
        while self.exchange is not None and len(self._h11.trailing_data[0]) + ring.size > MOST_AHEAD:
            await self._responded.wait()
        if not await self._hold(ring.size):
            ring.skip(ring.size)
            self._refuse_for_memory()
            return 1
        self._h11.receive_data(ring.take(ring.size))
        await self._read()
        return 1

    async def _hold(self, size: int) -> bool:
        """Takes memory for what came in and leaves the ring; whether there is any, within STARVED_S.

        A request that is at work has no such bound: what is behind it waits for its response.
        """
        account = self._server.input
        while True:
            with trio.move_on_after(STARVED_S):
                await account.wait_and_take(size, account.reserve if self._held else 0)
                self._held += size
                return True
            if self.exchange is None:
                return False

    def _refuse_for_memory(self) -> None:
        """Answers a request that can't be read whole: it was not sent on."""
        self._server.counters.add("http_refused_for_memory")
        log.warning("a request is refused: no memory to read it")
        self._write(_unavailable(), close=True)

    def _let_go(self) -> None:
        """Gives back the memory of all but what was sent ahead."""
        ahead = min(len(self._h11.trailing_data[0]), self._held)
        self._server.input.give(self._held - ahead)
        self._held = ahead

    async def _read(self) -> None:
        try:
            while self.exchange is None and not self.connection.closed:
                event = self._h11.next_event()
                if isinstance(event, h11.Request):
                    self._head, self._body = event, bytearray()
                    self.since = time.monotonic()
                    if self._h11.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.connection.write(self._h11.send(go_on) or b"")
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MOST_BODY:
                        self._bad(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                        return
                elif isinstance(event, h11.EndOfMessage):
                    await self._take()
                else:
                    return  # NEED_DATA, PAUSED or the end
        except h11.RemoteProtocolError as error:
            self._bad(error.error_status_hint)
        except UnicodeDecodeError:
            self._bad(HTTPStatus.BAD_REQUEST)

    async def _take(self) -> None:
        assert self._head is not None
        headers = {k.decode("ascii"): v.decode("latin-1") for k, v in self._head.headers}
        target = self._head.target.decode("ascii")
        method = self._head.method.decode("ascii")
        self._responded = trio.Event()
        self.exchange = Exchange(self, HttpRequest(method, target, headers, bytes(self._body)))
        self._server.counters.add("http_requests")
        await self._server.handle(self.exchange)

    def _bad(self, status: int) -> None:
        """Answers what is no request, where HTTP still allows one, and closes."""
        self._server.counters.add("bad_input")
        self._write(HttpResponse(status), close=True)

    def _write(self, response: HttpResponse, close: bool = False) -> None:
        if not self.connection.has_room(MOST_RESPONSE_HEAD + len(response.body)):
            response = _unavailable()
        head = self._head is not None and self._head.method == b"HEAD"
        headers = [("content-length", str(len(response.body))), *response.headers]
        if response.status == HTTPStatus.NOT_MODIFIED:
            headers = response.headers
        if close:
            headers = [*headers, ("connection", "close")]
        try:
            reason = HTTPStatus(response.status).phrase.encode()
            start = h11.Response(status_code=response.status, headers=headers, reason=reason)
            pieces = [self._h11.send(start) or b""]
            if response.body and not head:
                pieces.append(self._h11.send(h11.Data(response.body)) or b"")
            pieces.append(self._h11.send(h11.EndOfMessage()) or b"")
            instead = b"" if response.body else b"".join(pieces)  # short ones always pass
            self.connection.write(*pieces, instead=instead)
        except h11.LocalProtocolError as error:
            log.info("no answer possible: %s", type(error).__name__)
            close = True
        if close or self._h11.our_state is h11.MUST_CLOSE:
            self.connection.finish()

    def respond(self, exchange: Exchange, response: HttpResponse) -> None:
        if self.exchange is not exchange:
            return  # the client has left
        self.exchange, self.since = None, time.monotonic()
        self._responded.set()
        self._server.counters.add(f"http_{response.status}")
        self._write(response)
        self._head, self._body = None, bytearray()
        self._let_go()
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            if self._h11.trailing_data[0]:
                self._server.soon(self._go_on)

    async def _go_on(self) -> None:
        """Takes the request that was sent ahead. This runs beside all connections: nothing may escape."""
        try:
            await self._read()
        except Exception:
            log.exception("a client's connection failed")
            self._server.counters.add(CONTAINED)
            self.connection.abort()

    @property
    def busy(self) -> bool:
        return self.exchange is not None

    @property
    def amid(self) -> bool:
        return self._h11.their_state is h11.SEND_BODY or bool(self._h11.trailing_data[0])

    @property
    def rests_since(self) -> float:
        return math.inf if self.amid else self.since

    @property
    def ends_at(self) -> float:
        return self.since + IDLE_S

    def delivering(self) -> None:
        """What was answered is still being read."""
        self.since = time.monotonic()

    async def leave(self) -> None:
        self._server.input.give(self._held)
        self._held = 0
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.left is not None:
            await exchange.left()


def _unavailable() -> HttpResponse:
    return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, headers=[("retry-after", "1")])


class HttpServer:
    """Takes HTTP requests through a listener and has them handled."""

    def __init__(self, listener: Listener, handle: Handle, counters: Counters, input: Account) -> None:
        """`input` has the memory for requests that are read."""
        self.handle, self.counters, self.input = handle, counters, input
        self.clients = Clients(listener, lambda connection: HttpClient(self, connection))

    def soon(self, call: Callable[[], Awaitable[None]]) -> None:
        self.clients.nursery.start_soon(call)
