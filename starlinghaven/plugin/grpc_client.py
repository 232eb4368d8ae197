"""A grpcio client interceptor that answers calls from the engine in process. Optional extra `grpc`.

The engine, its cache side and its change log run in one thread of their own, in a trio loop. A call of
a method that the plug-in serves never reaches its channel: it becomes a request of the engine, under
the call's deadline; cancelling the call cancels the request. The token in the call's metadata is checked
once, before the request is taken.
"""

from __future__ import annotations

import contextlib
import logging
import queue
import secrets
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import grpc
import trio

from starlinghaven import interface as i
from starlinghaven.containment import contained
from starlinghaven.program.config import Config
from starlinghaven.program.core import Core, alone
from starlinghaven.program.memory_plan import INTERPRETER
from starlinghaven.protocol.platform import MOST_PART, MOST_SIZE_KB, TOKEN
from starlinghaven.protocol.uri_signing import BadToken
from starlinghaven.routing.types import Answer, Ask, Left, Result, Taken

if TYPE_CHECKING:
    from starlinghaven.health.model import Thresholds
    from starlinghaven.program.operations.health import HealthService

log = logging.getLogger(__name__)

WAITING = 1024  # calls and cancellations that may wait for the engine
TOKEN_FIELD = "authorization"  # metadata that carries the token, as `Bearer TOKEN`
PUSHBACK = "grpc-retry-pushback-ms"  # trailing metadata that tells when to come back
START_S, STOP_S = 10.0, 10.0  # seconds for the thread to start; for what is open to be answered at its end


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a call asks for, as the application reads it out of its request message."""

    cls: str
    key: str = ""
    part: int | None = None
    group: int = 0
    size_kb: float = 0.0
    idem: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Method:
    """One method that the plug-in serves: reads requests, and makes responses of bytes."""

    read: Callable[[Any], Wanted]
    make: Callable[[bytes], Any]


CheckToken = Callable[[str, str], None]
"""Given the method and the token; raises BadToken unless the token opens it."""


class EngineThread:
    """Owns the thread with the engine. Used as a context manager, or by `start` and `close`."""

    def __init__(self, config: Config, health: Thresholds | None = None) -> None:
        """`health`: thresholds of balancer health; with them, `self.health` is kept (see grpc_health)."""
        self.config, self._limits = config, health
        self.health: HealthService | None = None
        self._core: Core | None = None
        self._token: trio.lowlevel.TrioToken | None = None
        self._stop: trio.Event | None = None
        self._started: queue.SimpleQueue[BaseException | None] = queue.SimpleQueue()
        self._tickets: set[Ticket] = set()  # of calls that have not ended
        self._thread = threading.Thread(target=self._run, name="starlinghaven", daemon=True)

    def __enter__(self) -> EngineThread:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self) -> None:
        self._thread.start()
        failure = self._started.get(timeout=START_S)
        if failure is not None:
            raise failure

    def close(self) -> None:
        """Answers what is open, for a bounded time, and ends the thread."""
        if self._token is not None and self._stop is not None and self._thread.is_alive():
            with contextlib.suppress(trio.RunFinishedError):
                self._token.run_sync_soon(self._stop.set)
            self._thread.join(STOP_S + 1.0)

    def _run(self) -> None:
        try:
            trio.run(self._main)
        except BaseException as error:  # told to whoever starts it, or logged if that has returned
            log.exception("the engine's thread ended")
            self._started.put(error)
        finally:  # no call may wait for an engine that is not there any more
            for ticket in list(self._tickets):
                ticket.abandoned()

    async def _main(self) -> None:
        async with trio.open_nursery() as nursery:
            self._core = Core(self.config, alone(self.config, INTERPRETER))
            self._token, self._stop = trio.lowlevel.current_trio_token(), trio.Event()
            await self._core.start(nursery)
            if self._limits is not None:
                from starlinghaven.program.operations.health import HealthService

                self.health = HealthService(self._core.engine, self._core.log, self._limits)
                nursery.start_soon(self.health.run)
            self._send, receive = trio.open_memory_channel[Taken | Left](WAITING)
            nursery.start_soon(self._pump, receive, self._core)
            self._core.engine.ready = True
            self._started.put(None)
            await self._stop.wait()
            self._core.engine.draining = True
            if self.health is not None:
                self.health.now()  # the drain is said before anything is closed
            with trio.move_on_after(STOP_S):
                await self._core.engine.quiet()
            nursery.cancel_scope.cancel()

    def take(self, wanted: Wanted, patience_ms: float, ticket: Ticket) -> None:
        """Hands a request to the engine, from any thread. RunFinishedError: the engine has ended."""
        assert self._core is not None
        engine, settings = self._core.engine, self.config.settings
        cls = self.config.classes.index(wanted.cls)
        ask = Ask(
            id=secrets.token_hex(8),
            cls=cls,
            taken_ms=engine.clock.now(),
            patience_ms=min(patience_ms, settings.classes[cls].give_up_ms),
            key=wanted.key,
            part=wanted.part,
            group=wanted.group,
            size_kb=wanted.size_kb,
            idem=wanted.idem,
            body=wanted.body,
        )
        self._tickets.add(ticket)
        self._soon(partial(self._take, ask, ticket))

    def ended(self, ticket: Ticket) -> None:
        """Its call has ended, in whatever way."""
        self._tickets.discard(ticket)

    def leave(self, ticket: Ticket) -> None:
        """The caller has left. Nothing is to be done where the engine has ended already."""
        ticket.left = True
        with contextlib.suppress(trio.RunFinishedError):
            self._soon(partial(self._queue, Left(ticket)))

    def _soon(self, call: Callable[[], object]) -> None:
        """Has something done in the engine's thread, in order."""
        assert self._token is not None
        self._token.run_sync_soon(call)

    def _take(self, ask: Ask, ticket: Ticket) -> None:
        """Posts a call, if there is room for it: a call holds nothing before that but its caller's thread."""
        assert self._core is not None
        admission = self._core.engine.admit(ask, ticket)
        if admission is not None:
            taken = Taken(ask, ticket, admission.held)
            if self._queue(taken):
                return
            self._core.engine.withdraw(taken)
        ticket.answer(Answer(Result.REFUSED, wait_ms=self.config.settings.pushback_ms))

    def _queue(self, event: Taken | Left) -> bool:
        """Events of one call keep their order: they go through one queue. Whether there was room in it."""
        try:
            self._send.send_nowait(event)
        except trio.WouldBlock:
            return False
        return True

    async def _pump(self, receive: trio.MemoryReceiveChannel[Taken | Left], core: Core) -> None:
        async for event in receive:
            with contained(log, "the posting of a call", core.counters.add):
                await core.engine.post(event)

    @property
    def counters(self) -> str:
        return self._core.counters.line() if self._core else ""


class Ticket:
    """The engine's hold on one call."""

    def __init__(self, call: EngineCall) -> None:
        self._call = call
        self.left = False  # set by the caller's thread, ahead of the event in the queue

    held = 0  # as an asker: the plug-in's calls are all its application's
    alone = False

    def answer(self, answer: Answer) -> None:
        self._call.answered(answer)

    def abandoned(self) -> None:
        """The engine ended without an answer: the call may have run, and nothing invites a retry."""
        self._call.end(grpc.StatusCode.ABORTED, "the engine has ended; it may have run")


def status_of(answer: Answer) -> tuple[grpc.StatusCode, str]:
    """The gRPC status for an engine's answer."""
    if answer.result in (Result.SERVED, Result.UNCHANGED):
        return grpc.StatusCode.OK, ""
    if answer.late:
        return grpc.StatusCode.DEADLINE_EXCEEDED, "out of time"
    if answer.lacking:
        return grpc.StatusCode.NOT_FOUND, "no store has it"
    if answer.result is Result.REFUSED:
        return grpc.StatusCode.UNAVAILABLE, "refused; trying again is harmless"
    return grpc.StatusCode.ABORTED, "failed; it may have run"


class EngineCall(grpc.Call, grpc.Future):  # type: ignore[misc]
    """One call as grpcio's callers see it. It ends exactly once.

    Its callbacks run in the engine's thread and must not block.
    """

    def __init__(self, engine: EngineThread, make: Callable[[bytes], Any], timeout: float | None) -> None:
        self._engine, self._make, self._timeout = engine, make, timeout
        self._ends = None if timeout is None else time.monotonic() + timeout
        self._lock = threading.Lock()
        self._done = threading.Event()
        self._code: grpc.StatusCode | None = None
        self._details, self._body = "", b""
        self._trailing: tuple[tuple[str, str], ...] = ()
        self._callbacks: list[Callable[[], None]] = []
        self.ticket = Ticket(self)

    def answered(self, answer: Answer) -> None:
        code, details = status_of(answer)
        trailing: tuple[tuple[str, str], ...] = ()
        if answer.result is Result.REFUSED and answer.wait_ms > 0:
            trailing = ((PUSHBACK, str(round(answer.wait_ms))),)
        self.end(code, details, answer.body, trailing)

    def end(
        self,
        code: grpc.StatusCode,
        details: str = "",
        body: bytes = b"",
        trailing: tuple[tuple[str, str], ...] = (),
    ) -> bool:
        """Ends the call; False if it had ended before."""
        with self._lock:
            if self._code is not None:
                return False
            self._code, self._details, self._body, self._trailing = code, details, body, trailing
            callbacks, self._callbacks = self._callbacks, []
        self._engine.ended(self.ticket)
        self._done.set()
        for callback in callbacks:
            try:
                callback()
            except Exception:  # the application's trouble must not end the engine's thread
                log.exception("a callback of a call failed")
        return True

    def _wait(self, timeout: float | None = None) -> None:
        """Waits for the end. The engine ends each call in its time; the call's own deadline is the guard."""
        left = None if self._ends is None else max(self._ends - time.monotonic(), 0.0)
        given = [t for t in (timeout, left) if t is not None]
        if self._done.wait(min(given) if given else None):
            return
        if timeout is not None and (left is None or timeout < left):
            raise grpc.FutureTimeoutError()
        if self.end(grpc.StatusCode.DEADLINE_EXCEEDED, "out of time"):
            self._engine.leave(self.ticket)

    # grpc.RpcContext and grpc.Call

    def is_active(self) -> bool:
        return not self._done.is_set()

    def time_remaining(self) -> float | None:
        return None if self._ends is None else max(self._ends - time.monotonic(), 0.0)

    def add_callback(self, callback: Callable[[], None]) -> bool:
        with self._lock:
            if self._code is not None:
                return False
            self._callbacks.append(callback)
            return True

    def initial_metadata(self) -> tuple[()]:
        return ()

    def trailing_metadata(self) -> tuple[tuple[str, str], ...]:
        self._wait()
        return self._trailing

    def code(self) -> grpc.StatusCode:
        self._wait()
        assert self._code is not None
        return self._code

    def details(self) -> str:
        self._wait()
        return self._details

    # grpc.Future

    def cancel(self) -> bool:
        if not self.end(grpc.StatusCode.CANCELLED, "cancelled by the caller"):
            return False
        self._engine.leave(self.ticket)
        return True

    def cancelled(self) -> bool:
        return self._code is grpc.StatusCode.CANCELLED

    def running(self) -> bool:
        return not self._done.is_set()

    def done(self) -> bool:
        return self._done.is_set()

    def result(self, timeout: float | None = None) -> Any:
        self._wait(timeout)
        if self._code is grpc.StatusCode.CANCELLED:
            raise grpc.FutureCancelledError()
        if self._code is not grpc.StatusCode.OK:
            raise CallError(self)
        return self._make(self._body)

    def exception(self, timeout: float | None = None) -> BaseException | None:
        self._wait(timeout)
        if self._code is grpc.StatusCode.CANCELLED:
            raise grpc.FutureCancelledError()
        return None if self._code is grpc.StatusCode.OK else CallError(self)

    def traceback(self, timeout: float | None = None) -> None:
        self._wait(timeout)
        return None

    def add_done_callback(self, fn: Callable[[Any], None]) -> None:
        if not self.add_callback(lambda: fn(self)):
            fn(self)


class CallError(grpc.RpcError):  # type: ignore[misc]
    """The error of a call that was not served, with the parts that grpcio's own errors have."""

    def __init__(self, call: EngineCall) -> None:
        super().__init__(f"{call.code().name}: {call.details()}")
        self._call = call

    def code(self) -> grpc.StatusCode:
        return self._call.code()

    def details(self) -> str:
        return self._call.details()

    def initial_metadata(self) -> tuple[()]:
        return ()

    def trailing_metadata(self) -> tuple[tuple[str, str], ...]:
        return self._call.trailing_metadata()


class EngineInterceptor(grpc.UnaryUnaryClientInterceptor):  # type: ignore[misc]
    """Serves the methods given from the engine; other calls go on to their channel."""

    def __init__(
        self, engine: EngineThread, methods: Mapping[str, Method], check: CheckToken | None = None
    ) -> None:
        self._engine, self._methods, self._check = engine, dict(methods), check

    def intercept_unary_unary(self, continuation: Any, client_call_details: Any, request: Any) -> Any:
        method = self._methods.get(client_call_details.method)
        if method is None:
            return continuation(client_call_details, request)
        timeout = client_call_details.timeout
        call = EngineCall(self._engine, method.make, timeout)
        if self._check is not None and not self._allowed(client_call_details, call):
            return call
        try:
            wanted = method.read(request)
            problem = self._problem(wanted)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            problem = f"the request can't be read ({type(error).__name__})"
        if problem:
            call.end(grpc.StatusCode.INVALID_ARGUMENT, problem)
        elif timeout is not None and not timeout > 0:
            call.end(grpc.StatusCode.DEADLINE_EXCEEDED, "out of time")
        else:
            try:
                patience = float("inf") if timeout is None else 1000.0 * timeout
                self._engine.take(wanted, patience, call.ticket)
            except trio.RunFinishedError:
                call.end(grpc.StatusCode.UNAVAILABLE, "the engine has ended")
        return call

    def _allowed(self, details: Any, call: EngineCall) -> bool:
        """Checks the token once. A missing one is told apart from one that opens nothing."""
        assert self._check is not None
        given = [value for name, value in details.metadata or () if name.lower() == TOKEN_FIELD]
        scheme, _, token = (given[-1] if given else "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            call.end(grpc.StatusCode.UNAUTHENTICATED, "no token")
            return False
        try:
            self._check(details.method, token)
        except BadToken as bad:
            call.end(grpc.StatusCode.PERMISSION_DENIED, str(bad))
            return False
        return True

    def _problem(self, wanted: Wanted) -> str:
        config = self._engine.config
        if wanted.cls not in config.classes:
            return "no such class"
        cls = config.settings.classes[config.classes.index(wanted.cls)]
        hexadecimal = len(wanted.key) == 16 and not set(wanted.key) - set("0123456789abcdef")
        if not hexadecimal and (wanted.key or not cls.uncached):
            return "the key is not 16 hex digits"
        if cls.effect is i.Effect.KEYED and not wanted.idem:
            return "no idempotency key"
        if wanted.idem and not TOKEN.fullmatch(wanted.idem):
            return "the idempotency key can't be told to stores"
        if wanted.part is not None and not 0 <= wanted.part <= MOST_PART or not 0 <= wanted.group <= 255:
            return "part or group out of range"
        if not 0 <= wanted.size_kb <= MOST_SIZE_KB:
            return "size out of range"
        return ""
