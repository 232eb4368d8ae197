"""Checkers of a soak's history: pure functions, each yields what broke as text."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from starlinghaven.lab.checks import never_two_at_once
from starlinghaven.lab.history import Entry

KNOWN_AFTER_S = 7.0  # after a purge, whether it was heard or not
BINDS_AFTER_S = 0.55  # after it is known, with the slack on sockets
HEARD_SLACK_S = 0.2  # for a process that reads what was delivered to it
SIGNAL_S = 0.05  # in which a signal has surely reached its process
LATE_S = 0.5  # after a client's deadline an answer is lost
CROSSED_CLOSE_S = 0.05  # a request may cross the close of a connection that rests
GONE_S = 0.1  # after a client has left, no attempt for it may begin
DEADLINE_SLACK_S = 0.15  # that a store's deadline may lie behind the client's
LEAST_SERVED = 0.3  # share of the requests of a soak that are served; below it a soak proves little


@dataclass(slots=True)
class Pauses:
    """When each process was stopped, by its number."""

    spans: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))

    @classmethod
    def of(cls, history: Sequence[Entry]) -> Pauses:
        """The pauses in a history; one without an end lasts for ever."""
        pauses, since = cls(), dict[int, float]()
        for e in history:
            if e["what"] == "stall":
                since[e["proxy"]] = e["t"]
            elif e["what"] == "resume" and e["proxy"] in since:
                pauses.spans[e["proxy"]].append((since.pop(e["proxy"]), e["t"]))
        for proxy, began in since.items():
            pauses.spans[proxy].append((began, float("inf")))
        return pauses

    def end(self, proxy: int, at: float) -> float:
        """When the process runs again that is surely stopped at this moment; the moment itself if it runs."""
        stopped = (until for since, until in self.spans[proxy] if since + SIGNAL_S <= at <= until)
        return next(stopped, at)

    def overlap(self, proxy: int, since: float, until: float) -> bool:
        """Whether the process was stopped at any time between both."""
        return any(begin <= until and since <= end for begin, end in self.spans[proxy])


def lab_late(history: Sequence[Entry]) -> float:
    """The worst lateness of the lab itself, in seconds: its own clock readings are off by as much."""
    return max((e["s"] for e in history if e["what"] == "lag"), default=0.0)


def purges_heeded(history: Sequence[Entry]) -> Iterator[str]:
    """No copy older than a purge that counts as known: once heard, and 7 s later at the latest."""
    pauses, slack = Pauses.of(history), HEARD_SLACK_S + lab_late(history)
    asked = {(e["proxy"], e["n"]): e["t"] for e in history if e["what"] == "ask"}
    purges = [e for e in history if e["what"] == "purge"]
    heard = {(e["proxy"], e["number"]): e["t"] for e in reversed(history) if e["what"] == "delivered"}
    for e in history:
        if e["what"] != "answer" or not e.get("since"):
            continue
        proxy = e["proxy"]
        sent = min(pauses.end(proxy, asked[proxy, e["n"]]), e["t"])
        for purge in purges:
            if e["since"] >= purge["unix_ms"] or purge["name"] not in (e["key"], e["group"]):
                continue
            known = purge["t"] + KNOWN_AFTER_S
            if (proxy, purge["number"]) in heard:
                read = pauses.end(proxy, heard[proxy, purge["number"]])
                known = min(known, read + slack)
            if sent > known + BINDS_AFTER_S:
                yield (
                    f"proxy {proxy}: {e['key']} sent for at {sent:.2f} s is "
                    f"{purge['unix_ms'] - e['since']} ms older than its purge "
                    f"at {purge['t']:.2f} s, known at {known:.2f} s"
                )
                break


def one_final_answer(history: Sequence[Entry]) -> Iterator[str]:
    """Every request taken gets exactly one final answer in time, up to the end that SIGKILL puts to it."""
    pauses, slack = Pauses.of(history), lab_late(history)
    answers, ended, gone = defaultdict[tuple[int, int], list[float]](list), dict[str, float](), set[str]()
    deaths = defaultdict[int, list[float]](list)
    over = max((e["t"] for e in history if e["what"] == "over"), default=0.0)
    for e in history:
        if e["what"] == "answer":
            answers[e["proxy"], e["n"]].append(e["t"])
        elif e["what"] == "closed":
            ended[e["connection"]] = e["t"]
        elif e["what"] == "cancel":
            gone.add(e["call"])
        elif e["what"] == "kill":
            deaths[e["proxy"]].append(e["t"])
    for e in history:
        if e["what"] != "ask" or e.get("unsent"):
            continue
        got, due = answers[e["proxy"], e["n"]], e["t"] + e["ttl"] / 1000 + LATE_S + slack
        paused = pauses.overlap(e["proxy"], e["t"] - 0.1, due)
        killed = any(e["t"] - 0.05 <= at <= due for at in deaths[e["proxy"]])
        if len(got) > 1:
            yield f"request {e['n']} to proxy {e['proxy']}: {len(got)} answers"
        if got and got[0] > due and not paused:
            yield f"request {e['n']} to proxy {e['proxy']}: answered {got[0] - due + LATE_S:.2f} s late"
        if got or killed or paused or e["call"] in gone or due > over:
            continue
        crossed = ended.get(e["connection"], float("inf")) <= e["t"] + CROSSED_CLOSE_S + slack
        if not crossed:
            yield f"request {e['n']} to proxy {e['proxy']} at {e['t']:.2f} s: no answer"


def nothing_for_clients_gone(history: Sequence[Entry]) -> Iterator[str]:
    """No attempt begins for a client that has cancelled."""
    slack = lab_late(history) + GONE_S
    left: dict[str, float] = {}
    for e in history:
        if e["what"] == "cancel":
            left[e["call"]] = e["t"]
        elif e["what"] == "order" and e["call"] in left and e["t"] > left[e["call"]] + slack:
            yield f"call {e['call']} began at {e['t']:.2f} s, cancelled at {left[e['call']]:.2f} s"


def deadlines_passed_on(history: Sequence[Entry]) -> Iterator[str]:
    """No store is given more time than the client has left."""
    slack = lab_late(history) + DEADLINE_SLACK_S
    until = {e["call"]: e["t"] + e["ttl"] / 1000 for e in history if e["what"] == "ask"}
    for e in history:
        if e["what"] != "budget":
            continue
        if e["call"] not in until:
            yield f"call {e['call']} at {e['t']:.2f} s: no client asked for it"
        elif e["t"] + e["wait_s"] > until[e["call"]] + slack:
            over = e["t"] + e["wait_s"] - until[e["call"]]
            yield f"call {e['call']} at {e['t']:.2f} s: {over:.2f} s more than its client has"


def processes_live(history: Sequence[Entry]) -> Iterator[str]:
    """No process ends but by a signal that was sent to it, and restarted ones are ready within 10 s."""
    for e in history:
        if e["what"] == "crash":
            yield f"proxy {e['proxy']} ended with {e['code']} at {e['t']:.2f} s"
        elif e["what"] == "slow-start":
            yield f"proxy {e['proxy']} was not ready within {e['s']} s"


def enough_is_served(history: Sequence[Entry]) -> Iterator[str]:
    """A soak in which hardly anything is served proves nothing."""
    asked = sum(e["what"] == "ask" for e in history)
    served = sum(e["what"] == "answer" and e["word"] == "RESULT" for e in history)
    if served < LEAST_SERVED * asked:
        yield f"{served} of {asked} requests were served"


CHECKS: tuple[Callable[[Sequence[Entry]], Iterator[str]], ...] = (
    purges_heeded,
    one_final_answer,
    never_two_at_once,
    nothing_for_clients_gone,
    deadlines_passed_on,
    processes_live,
    enough_is_served,
)


def run(history: Sequence[Entry]) -> dict[str, list[str]]:
    """Every check that found something, with what it found."""
    found = {check.__name__: list(check(history)) for check in CHECKS}
    return {name: texts for name, texts in found.items() if texts}
