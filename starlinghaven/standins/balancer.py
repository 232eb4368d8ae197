"""Stand-in balancers on loopback: they poll proxies the way common balancers do and route by it.

Two kinds of check, after public descriptions of the protocols (nothing of a real balancer runs):

- `agent`: HAProxy's agent-check. Connect, read one line until the peer closes, parse its words:
  `NN%` sets the weight, `drain` sets it to 0, `up`/`ready` bring the server back, `down`,
  `stopped`, `failed` and `maint` take it out. No line within `timeout_s` counts as a failed check.
- `http`: an HTTP check. `GET path`; 2xx passes, anything else or no answer in time fails.

A server is taken out after `fall` failed checks in a row and put back after `rise` good ones;
`pick()` chooses among servers in by smooth weighted round robin, so a scripted client load can be
routed and counted. Every change is kept in `changes` with the loopback clock's time, which is how
tests measure the time from a fault to the balancer stopping new work.

Loopback only: addresses are refused unless they are in 127.0.0.0/8.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from typing import Literal

import h11
import trio

Kind = Literal["agent", "http"]


@dataclass(slots=True)
class Server:
    name: str
    host: str
    port: int
    weight: int = 100  # percent, as the last check said
    healthy: bool = False  # starts out, as balancers do until the first checks pass
    good: int = 0  # checks in a row that passed
    bad: int = 0  # checks in a row that failed
    said: str = ""  # the last answer, for reports
    current: int = 0  # smooth weighted round robin's running sum
    picked: int = 0

    @property
    def takes_work(self) -> bool:
        return self.healthy and self.weight > 0


@dataclass(frozen=True, slots=True)
class Change:
    at: float  # trio.current_time(), seconds
    server: str
    takes_work: bool
    said: str


@dataclass(slots=True)
class Balancer:
    """Polls every server each `inter_s`; see the module's text for the rules it applies."""

    servers: list[Server]
    kind: Kind = "agent"
    inter_s: float = 0.1
    timeout_s: float = 0.25
    fall: int = 1
    rise: int = 2
    path: str = "/readyz"
    changes: list[Change] = field(default_factory=list)
    checks: int = 0

    def __post_init__(self) -> None:
        for s in self.servers:
            if not ipaddress.ip_address(s.host).is_loopback:
                raise ValueError(f"{s.name}: stand-ins speak to loopback only, not {s.host}")
        if self.inter_s <= 0 or self.timeout_s <= 0 or self.fall < 1 or self.rise < 1:
            raise ValueError("inter_s and timeout_s above 0, fall and rise at least 1")

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for s in self.servers:
                nursery.start_soon(self._poll, s)
            task_status.started()

    async def _poll(self, s: Server) -> None:
        while True:
            began = trio.current_time()
            with trio.move_on_after(self.timeout_s):
                said = await (self._agent(s) if self.kind == "agent" else self._http(s))
                self._judge(s, said)
                await trio.sleep_until(began + self.inter_s)
                continue
            self._judge(s, None)
            await trio.sleep_until(began + self.inter_s)

    def _judge(self, s: Server, said: str | None) -> None:
        """Applies one check's answer; None is a check that failed without words."""
        self.checks += 1
        before = s.takes_work
        s.said = said if said is not None else "(no answer in time)"
        passed, weight = self._words(said)
        if weight is not None:
            s.weight = weight
        if passed is True:
            s.good, s.bad = s.good + 1, 0
            if not s.healthy and s.good >= self.rise:
                s.healthy = True
        elif passed is False:
            s.good, s.bad = 0, s.bad + 1
            if s.healthy and s.bad >= self.fall:
                s.healthy = False
        if s.takes_work != before:
            self.changes.append(Change(trio.current_time(), s.name, s.takes_work, s.said))

    def _words(self, said: str | None) -> tuple[bool | None, int | None]:
        """(check passed?, weight) from one answer; None for "says nothing of it"."""
        if said is None:
            return False, None
        if self.kind == "http":
            return said.startswith("2"), None
        passed: bool | None = None
        weight: int | None = None
        for word in said.partition("#")[0].lower().replace(",", " ").split():
            if word.endswith("%") and word[:-1].isdigit():
                weight = min(int(word[:-1]), 256)
            elif word in ("up", "ready"):
                passed = True if passed is None else passed
                weight = weight if weight is not None or word != "ready" else 100
            elif word == "drain":
                passed, weight = True if passed is None else passed, 0
            elif word in ("down", "stopped", "failed", "maint"):
                passed = False
        return passed, weight

    async def _agent(self, s: Server) -> str:
        try:
            stream = await trio.open_tcp_stream(s.host, s.port)
        except OSError:
            return "failed #connection refused"
        async with stream:
            chunks = []
            try:
                async for data in stream:
                    chunks.append(bytes(data))
            except trio.BrokenResourceError:
                pass
        return b"".join(chunks).decode("ascii", "replace").strip() or "failed #empty"

    async def _http(self, s: Server) -> str:
        try:
            stream = await trio.open_tcp_stream(s.host, s.port)
        except OSError:
            return "599 connection refused"
        async with stream:
            http = h11.Connection(h11.CLIENT)
            head = h11.Request(
                method="GET", target=self.path, headers=[("host", "balancer"), ("connection", "close")]
            )
            await stream.send_all((http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b""))
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    try:
                        data = await stream.receive_some()
                    except trio.BrokenResourceError:
                        return "599 reset"
                    http.receive_data(data)
                    if not data:
                        return "599 closed before an answer"
                elif isinstance(event, h11.Response):
                    return f"{event.status_code} {event.reason.decode('ascii', 'replace')}"
                elif isinstance(event, h11.ConnectionClosed):
                    return "599 closed before an answer"

    def pick(self) -> Server | None:
        """The server for the next request: smooth weighted round robin among those taking work."""
        live = [s for s in self.servers if s.takes_work]
        if not live:
            return None
        total = sum(s.weight for s in live)
        for s in live:
            s.current += s.weight
        best = max(live, key=lambda s: s.current)
        best.current -= total
        best.picked += 1
        return best

    def removed_at(self, name: str, after: float) -> float | None:
        """When `name` stopped taking work, at or after `after`; None if it has not."""
        return next(
            (c.at for c in self.changes if c.server == name and not c.takes_work and c.at >= after), None
        )
