"""Checkers of a soak's history: pure functions, each yields what broke as text."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from starlinghaven.lab import effects
from starlinghaven.lab.history import Entry
from starlinghaven.lab.soak import deployment as d
from starlinghaven.lab.soak.stores import body_of
from starlinghaven.standins.changelog import READY

KNOWN_AFTER_S = 7.0  # after a purge, whether it was heard or not
BINDS_AFTER_S = 0.55  # after it is known, with the slack on sockets
HEARD_SLACK_S = 0.2  # for a process that reads what was delivered to it
SIGNAL_S = 0.05  # in which a signal has surely reached its process
LATE_S = 0.5  # after a client's deadline an answer is lost
CROSSED_CLOSE_S = 0.05  # a request may cross the close of a connection that rests
LAG_LOOK_S = 0.1  # between two looks at the lab's lateness, at most
GONE_S = 0.1  # after a client has left, no attempt for it may begin
DEADLINE_SLACK_S = 0.15  # that a store's deadline may lie behind the client's
CROSSED_S = 0.25  # that a DROP may be seen after the attempt that follows it
SOCKET_SLACK_S = 0.05  # by which each time limit is longer on sockets
MOST_DATAGRAM_BYTES = 256
LARGEST_SHARE = 0.5  # of the share of its class that is served
FROM_TENTH, LEAST_ASKED = 400, 100  # requests of a class from which the largest are a tenth; that are judged
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


class Lateness:
    """How late the lab was at each moment: what it notes then may have been there before, by as much."""

    def __init__(self, history: Sequence[Entry]) -> None:
        self._spans = [(e["t"] - e["s"], e["t"], e["s"]) for e in history if e["what"] == "lag"]

    def near(self, at: float) -> float:
        """The worst lateness around a moment, in seconds."""
        near = (s for since, until, s in self._spans if since - LAG_LOOK_S <= at <= until + LAG_LOOK_S)
        return max(near, default=0.0)


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
    lateness = Lateness(history)
    left: dict[str, float] = {}
    for e in history:
        if e["what"] == "cancel":
            left[e["call"]] = e["t"]
        elif e["what"] != "order" or e["call"] not in left:
            continue
        elif e["t"] > left[e["call"]] + GONE_S + lateness.near(e["t"]):
            yield f"call {e['call']} began at {e['t']:.2f} s, cancelled at {left[e['call']]:.2f} s"


def deadlines_passed_on(history: Sequence[Entry]) -> Iterator[str]:
    """No store is given more time than the client has left."""
    slack = lab_late(history) + DEADLINE_SLACK_S
    until = {e["call"]: e["t"] + e["ttl"] / 1000 for e in history if e["what"] == "ask"}
    for e in history:
        if e["what"] != "order":
            continue
        if e["call"] not in until:
            yield f"call {e['call']} at {e['t']:.2f} s: no client asked for it"
        elif e["t"] + e["wait_s"] > until[e["call"]] + slack:
            over = e["t"] + e["wait_s"] - until[e["call"]]
            yield f"call {e['call']} at {e['t']:.2f} s: {over:.2f} s more than its client has"


def never_two_at_once(history: Sequence[Entry]) -> Iterator[str]:
    """No second attempt of a request reaches a store while one is at work, but where the settings allow it.

    A DROP and the attempt that follows it go over two connections and may overtake each other.
    """
    copies = any(e["what"] == "limits" and e["second_copies"] for e in history)
    free = {e["name"] for e in history if e["what"] == "class" and e["effect"] == "free"}
    slack = CROSSED_S + lab_late(history)
    ended: dict[int, float] = {}
    at_store = defaultdict[tuple[str, str], list[int]](list)
    orders = defaultdict[str, list[Entry]](list)
    for e in history:
        if e["what"] == "order":
            orders[e["call"]].append(e)
            at_store[e["store"], e["call"]].append(e["attempt"])
        elif e["what"] == "end":
            ended.setdefault(e["attempt"], e["t"])
        elif e["what"] == "drop":
            for attempt in at_store[e["store"], e["call"]]:
                ended.setdefault(attempt, e["t"])
    for call, attempts in orders.items():
        most = 2 if copies and attempts[0]["cls"] in free else 1
        for n, later in enumerate(attempts):
            out = [a for a in attempts[:n] if ended.get(a["attempt"], math.inf) > later["t"] + slack]
            if len(out) >= most:
                yield f"call {call} at {later['store']} at {later['t']:.2f} s while at {out[0]['store']}"


def effects_kept(history: Sequence[Entry]) -> Iterator[str]:
    """Repeats and refusals keep to what each class's effect allows."""
    slack = SOCKET_SLACK_S + lab_late(history)
    rules = {e["name"]: _rule(e) for e in history if e["what"] == "class"}
    classes = {e["call"]: e["cls"] for e in history if e["what"] == "ask"}
    steps = defaultdict[str, list[effects.Step]](list)
    for e in history:
        if e["what"] == "order":
            steps[e["call"]].append(effects.Sent(e["attempt"], e["t"], e["zone"], e["cell"]))
        elif e["what"] == "said":
            steps[e["call"]].append(effects.Ended(e["attempt"], e["word"]))
        elif e["what"] == "answer" and e["word"] == "REJECT":
            steps[e["call"]].append(effects.Refused(e["t"]))
    for call, found in steps.items():
        if call in classes:
            rule = rules[classes[call]]
            for text in effects.broken(rule, found, slack):
                yield f"call {call} of {classes[call]} ({rule.effect}, {rule.scope}): {text}"


def _rule(e: Entry) -> effects.EffectRule:
    return effects.EffectRule(e["effect"], e["scope"], e["window_ms"] / 1000)


def attempts_allowed(history: Sequence[Entry]) -> Iterator[str]:
    """No more attempts than the settings allow, and only at stores and with sources that they allow."""
    limits = next(e for e in history if e["what"] == "limits")
    places = {e["store"]: e for e in history if e["what"] == "store"}
    counts = defaultdict[str, int](int)
    for e in history:
        if e["what"] != "order":
            continue
        counts[e["call"]] += 1
        if counts[e["call"]] == limits["attempts"] + 1:
            yield f"call {e['call']}: more than {limits['attempts']} attempts"
        place, source = places.get(e["store"]), places.get(e["source"])
        if place and place["kind"] == 0 and place["zone"] != d.OWN_ZONE:
            yield f"call {e['call']} at {e['store']}, a cache of another zone"
        if place and place["kind"] != 0 and not limits["bypass"]:
            yield f"call {e['call']} straight to {e['store']}"
        if source and source["kind"] == 0 and e["source"] != e["store"]:
            yield f"call {e['call']} with the cache {e['source']} as its source"


@dataclass(frozen=True, slots=True)
class _News:
    """When the processes were told of an event of the change log."""

    pauses: Pauses
    delivered: dict[tuple[int, int], float]
    slack_s: float

    @classmethod
    def of(cls, history: Sequence[Entry]) -> _News:
        found = {(e["proxy"], e["number"]): e["t"] for e in reversed(history) if e["what"] == "delivered"}
        return cls(Pauses.of(history), found, HEARD_SLACK_S + lab_late(history))

    def told(self, proxy: int, e: Entry) -> float:
        """From when an event counts as told to a process."""
        known = float(e["t"]) + KNOWN_AFTER_S
        if (proxy, e["number"]) in self.delivered:
            read = self.pauses.end(proxy, self.delivered[proxy, e["number"]])
            known = min(known, read + self.slack_s)
        return known


def drains_heeded(history: Sequence[Entry]) -> Iterator[str]:
    """Nothing new goes to a store, or names it as a source, 2 s after its drain or end counts as told."""
    news = _News.of(history)
    slack = d.STOP_SENDING_MS / 1000 + SOCKET_SLACK_S + lab_late(history)
    proxies = {e["call"]: e["proxy"] for e in history if e["what"] == "ask"}
    changes = defaultdict[str, list[Entry]](list)
    for e in history:
        if e["what"] == "list":
            changes[e["store"]].append(e)
        if e["what"] != "order" or e["call"] not in proxies:
            continue
        for store in filter(None, (e["store"], e["source"])):
            if not changes[store] or changes[store][-1]["state"] == READY:
                continue
            first = next(c for c in changes[store] if c["state"] != READY)
            told = news.told(proxies[e["call"]], first)
            if e["t"] > told + slack:
                yield f"call {e['call']} names {store} at {e['t']:.2f} s, told of its end at {told:.2f} s"


def exclusions_kept(history: Sequence[Entry]) -> Iterator[str]:
    """What an operator was told is out of use gets nothing new, whatever happens to the process."""
    proxies = {e["call"]: e["proxy"] for e in history if e["what"] == "ask"}
    out: dict[tuple[int, str], float] = {}
    slack = d.STOP_SENDING_MS / 1000 + SOCKET_SLACK_S + lab_late(history)
    for e in history:
        if e["what"] == "excluded":
            out[e["proxy"], e["store"]] = e["t"]
        elif e["what"] == "included":
            out.pop((e["proxy"], e["store"]), None)
        elif e["what"] == "order":
            since = out.get((proxies.get(e["call"], -1), e["store"]), math.inf)
            if e["t"] > since + slack:
                yield f"call {e['call']} at {e['store']} at {e['t']:.2f} s, excluded at {since:.2f} s"


def cold_budgets_kept(history: Sequence[Entry]) -> Iterator[str]:
    """No store that has just started gets more than it bears from all processes that were told of the start.

    Counts calls at the store and those that name it as a source, each with the mean work of its class.
    """
    news = _News.of(history)
    asks = {e["call"]: e for e in history if e["what"] == "ask"}
    works = defaultdict[str, list[float]](list)
    for e in asks.values():
        works[e["cls"]].append(1000 * e["size_kb"] / d.PACE_KB_PER_S)
    mean = sum(map(sum, works.values())) / max(sum(map(len, works.values())), 1)
    kinds = {e["store"]: e["kind"] for e in history if e["what"] == "store"}
    for start in (e for e in history if e["what"] == "cold"):
        parent = kinds.get(start["store"]) == 1
        calls, told = list[tuple[float, float]](), list[float]()
        for e in history:
            if e["what"] != "order" or e["call"] not in asks or e["t"] < start["t"]:
                continue
            if start["store"] in (e["store"], e["source"]):
                work = works[asks[e["call"]]["cls"]]
                weight = sum(work) / len(work) / mean
                calls.append((e["t"], weight))
                told.append(weight if e["t"] >= news.told(asks[e["call"]]["proxy"], start) else 0.0)
        yield from _windows_over(start, parent, mean, calls, told)


def _windows_over(
    start: Entry, parent: bool, mean_ms: float, calls: list[tuple[float, float]], told: list[float]
) -> Iterator[str]:
    first, length_ms = (d.PARENT_COLD_FROM, d.PARENT_COLD_MS) if parent else (d.COLD_FROM, d.COLD_MS)
    times = [at for at, _ in calls]
    for n, at in enumerate(times):
        age_ms = 1000 * (at - start["t"])
        if age_ms >= length_ms:
            return
        warmth = first + (1 - first) * age_ms / length_ms
        budget = d.FALL_MULTIPLE * d.WEIGHT * warmth * d.FALL_MS / mean_ms
        root = math.sqrt(budget)
        bound = budget + (2 * root + 2 if budget >= 30 else 3 * root + 3)
        until = bisect_left(times, at + d.FALL_MS / 1000)
        got = sum(weight for _, weight in calls[n:until])
        if got > bound and sum(told[n:until]) >= 2 / 3 * got:
            yield (
                f"{start['store']} got {got:.1f} calls from {at:.2f} s, {bound:.1f} at most: "
                f"cold since {start['t']:.2f} s"
            )
            return


def answers_whole(history: Sequence[Entry]) -> Iterator[str]:
    """What is served is what the origin gave out, whole, and no older than the class allows."""
    classes = {e["name"]: e for e in history if e["what"] == "class"}
    asked = {e["call"]: e for e in history if e["what"] == "ask"}
    slack = lab_late(history) + SOCKET_SLACK_S
    for e in history:
        if e["what"] == "unasked":
            yield f"proxy {e['proxy']} answered tag {e['tag']}, which was never asked"
        if e["what"] != "answer" or e["word"] != "RESULT":
            continue
        key = e["key"] or "0"
        if not e["since"] or e["head"] != key or e["size"] != len(body_of(key, 0, e["since"])):
            yield f"call {e['call']}: {e['size']} bytes that begin with {e['head'][:20]!r} for {key}"
        cls = classes[e["cls"]]
        oldest_s = (cls["fresh_ms"] + cls["grace_ms"]) / 1000
        age_s = asked[e["call"]]["unix"] - e["since"] / 1000
        if cls["fresh_ms"] and age_s > oldest_s + slack:
            yield f"call {e['call']}: a copy of {age_s:.2f} s, {oldest_s:.2f} s at most"


def limits_kept(history: Sequence[Entry]) -> Iterator[str]:
    """No process holds more descriptors or memory than it may."""
    limits = next(e for e in history if e["what"] == "limits")
    for e in history:
        if e["what"] != "used":
            continue
        for name in ("descriptors", "memory_mb"):
            if e[name] > limits[name]:
                yield f"proxy {e['proxy']} at {e['t']:.2f} s: {e[name]} {name} of {limits[name]}"


def datagrams_kept(history: Sequence[Entry]) -> Iterator[str]:
    """Datagrams are no longer than allowed, and come from the sender's own address."""
    for e in history:
        if e["what"] == "datagrams" and e["longest"] > MOST_DATAGRAM_BYTES:
            yield f"a datagram of {e['longest']} bytes"
        if e["what"] == "datagrams" and e["strange"]:
            yield f"{e['strange']} datagrams from addresses that are no peer's"


def largest_answered(history: Sequence[Entry]) -> Iterator[str]:
    """The largest requests of a class are served at least half as often as all of the class.

    Only requests count whose sending takes at most half of their client's time, and that did not come in a
    burst: what is beyond the stores' capacity is refused by any policy, the largest first.
    """
    served = {e["call"] for e in history if e["what"] == "answer" and e["word"] == "RESULT"}
    left = {e["call"] for e in history if e["what"] == "cancel"}
    asked = defaultdict[str, list[Entry]](list)
    for e in history:
        if e["what"] != "ask" or e.get("unsent") or e.get("burst") or e["call"] in left:
            continue
        if 1000 * e["size_kb"] / d.PACE_KB_PER_S <= e["ttl"] / 2:
            asked[e["cls"]].append(e)
    for name, asks in asked.items():
        asks.sort(key=lambda e: float(e["size_kb"]))
        largest = asks[-(len(asks) // (10 if len(asks) >= FROM_TENTH else 4)) :]
        if len(asks) < LEAST_ASKED:
            continue
        share = sum(e["call"] in served for e in asks) / len(asks)
        theirs = sum(e["call"] in served for e in largest) / len(largest)
        if theirs < LARGEST_SHARE * share:
            yield f"{name}: {theirs:.2f} of the largest {len(largest)} served, {share:.2f} of all"


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
    effects_kept,
    attempts_allowed,
    drains_heeded,
    exclusions_kept,
    cold_budgets_kept,
    answers_whole,
    nothing_for_clients_gone,
    deadlines_passed_on,
    limits_kept,
    datagrams_kept,
    largest_answered,
    processes_live,
    enough_is_served,
)


def run(history: Sequence[Entry]) -> dict[str, list[str]]:
    """Every check that found something, with what it found."""
    found = {check.__name__: list(check(history)) for check in CHECKS}
    return {name: texts for name, texts in found.items() if texts}
