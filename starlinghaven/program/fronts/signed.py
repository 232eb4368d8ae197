"""The second front: signed URLs and tokens over HTTP/1.1, on the same engine."""

from __future__ import annotations

import logging
import math
import re
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from urllib.parse import urlsplit

from starlinghaven import interface as i
from starlinghaven.program.fronts.http import Exchange, HttpResponse
from starlinghaven.program.operations.operator import Route, Signed
from starlinghaven.protocol import uri_signing
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Answer, Ask, Counters, Left, Result, Taken

log = logging.getLogger(__name__)

_IDEM = re.compile(r"[0-9A-Za-z_.:-]{1,64}")
_HEX16 = re.compile(r"[0-9a-f]{16}")
_PART = re.compile(r"0|[1-9][0-9]{0,8}")
_TAG = re.compile(r'"([0-9A-Za-z_.:-]{1,64})"')


class _Refused(Exception):
    """A request that is answered before any attempt."""

    def __init__(self, status: int, *headers: tuple[str, str]) -> None:
        super().__init__(str(status))
        self.response = HttpResponse(status, headers=list(headers))


def response(answer: Answer) -> HttpResponse:
    """The HTTP response for an engine's answer."""
    match answer.result:
        case Result.SERVED:
            tag = [("etag", f'"{answer.tag}"')] if answer.tag else []
            return HttpResponse(200, answer.body, [("content-type", "application/octet-stream"), *tag])
        case Result.UNCHANGED:
            return HttpResponse(304, headers=[("etag", f'"{answer.tag}"')] if answer.tag else [])
        case _ if answer.late:
            return HttpResponse(504)
        case _ if answer.lacking:
            return HttpResponse(404)
        case Result.REFUSED:
            wait = max(math.ceil(answer.wait_ms / 1000), 1)
            return HttpResponse(503, headers=[("retry-after", str(wait))])
        case Result.FAILED:
            return HttpResponse(502)


class _Ticket:
    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def answer(self, answer: Answer) -> None:
        self._exchange.respond(response(answer))

    @property
    def left(self) -> bool:
        return self._exchange.gone


class Gate:
    """The keys, and the check that a token opens a URI."""

    def __init__(self, options: Signed, now: Callable[[], float] = time.time) -> None:
        self._options, self._now = options, now
        self._keys = self._read()

    def _read(self) -> uri_signing.KeySet:
        text = Path(self._options.keys).read_text()
        return uri_signing.KeySet.parse(text, self._options.algorithms)

    def reload(self) -> bool:
        """Takes the keys anew; a file that can't be used leaves the old ones in force."""
        try:
            self._keys = self._read()
        except (uri_signing.BadKeys, OSError, UnicodeDecodeError) as error:
            reason = error if isinstance(error, uri_signing.BadKeys) else type(error).__name__
            log.error("keys not reloaded, the old ones stay: %s", reason)
            return False
        log.info("keys reloaded, %d in force", len(self._keys))
        return True

    def check(self, uri: str, token: str) -> None:
        uri_signing.check(
            token,
            uri,
            self._keys,
            self._now(),
            issuers=self._options.issuers,
            audience=self._options.audience or None,
            leeway_s=self._options.leeway_s,
        )


class SignedFront:
    """Takes HTTP requests, checks their tokens once, and hands them to the engine."""

    def __init__(
        self,
        options: Signed,
        engine: Engine,
        settings: i.Settings,
        classes: Sequence[str],
        counters: Counters,
        new_id: Callable[[], str],
    ) -> None:
        self._options, self._engine, self._settings = options, engine, settings
        self._classes = {name: n for n, name in enumerate(classes)}
        self._counters, self._new_id = counters, new_id
        self.gate = Gate(options)
        for route in options.routes:
            if route.cls not in self._classes:
                raise ValueError(f"route {route.path}: no class {route.cls}")

    async def handle(self, exchange: Exchange) -> None:
        try:
            ask = self._ask(exchange)
        except _Refused as refused:
            exchange.respond(refused.response)
            return
        admission = self._engine.admit(ask, exchange)
        if admission is None:
            exchange.respond(response(Answer(Result.REFUSED, wait_ms=self._settings.pushback_ms)))
            return
        ticket = _Ticket(exchange)

        async def left() -> None:
            await self._engine.post(Left(ticket))

        exchange.left = left
        await self._engine.post(Taken(ask, ticket, admission.held, admission.alone))

    def _ask(self, exchange: Exchange) -> Ask:
        request = exchange.request
        try:
            path = urlsplit(request.target).path
        except ValueError:
            raise _Refused(400) from None
        if not request.target.startswith("/") or "#" in request.target:
            raise _Refused(400)
        route, found = self._route(path)
        self._authorize(request.target, request.headers)
        cls = self._classes[route.cls]
        write = self._settings.classes[cls].uncached
        methods = ("POST",) if write else ("GET", "HEAD")
        if request.method not in methods:
            raise _Refused(405, ("allow", ", ".join(methods)))
        part, key, family = found.get("part", ""), found.get("object", ""), found.get("family", "")
        idem = request.headers.get("idempotency-key", "").strip('"')
        needs_key = self._settings.classes[cls].effect is i.Effect.KEYED
        if part and not _PART.fullmatch(part) or needs_key and not _IDEM.fullmatch(idem):
            raise _Refused(400)
        if family and (not _PART.fullmatch(family) or int(family) > 255):
            raise _Refused(400)
        if key and not _HEX16.fullmatch(key):
            raise _Refused(404)
        have = _TAG.fullmatch(request.headers.get("if-none-match", ""))
        read_ms = self._engine.clock.now()
        return Ask(
            id=self._new_id(),
            cls=cls,
            taken_ms=read_ms - 1000 * exchange.unread_for_s(),
            read_ms=read_ms,
            patience_ms=route.patience_ms or self._settings.classes[cls].give_up_ms,
            key=key,
            part=int(part) if part else None,
            group=int(family or 0),
            purgeable=bool(family),
            idem=idem if needs_key else "",
            have=have[1] if have else "",
            body=request.body if write else b"",
        )

    def _route(self, path: str) -> tuple[Route, dict[str, str]]:
        for route in self._options.routes:
            if (found := route.match(path)) is not None:
                return route, found
        raise _Refused(404)

    def _authorize(self, target: str, headers: dict[str, str]) -> None:
        """The one check of a request's token: what takes longer than its life is still answered."""
        base = self._options.base or f"http://{headers.get('host', '')}"
        try:
            uri, token = uri_signing.split_token(base + target)
            scheme, _, bearer = headers.get("authorization", "").partition(" ")
            if not token and scheme.lower() == "bearer":
                token = bearer.strip()
            self.gate.check(uri, token)
        except ValueError:  # a Host field that is no host
            raise _Refused(400) from None
        except uri_signing.BadToken as bad:
            self._counters.add("tokens_refused")
            log.info("token refused: %s", bad)
            raise _Refused(403) from None
