"""Adapter: translates the bench's wire to the interface, one Router per instance. Decides nothing."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Iterator
from typing import Any, TextIO

from starlinghaven import interface as i
from starlinghaven.router import Router

EFFECTS = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
SCOPES = {"all": i.Scope.ALL, "zone": i.Scope.ZONE, "cell": i.Scope.CELL}
NOTES = {"all": i.Notes.ALL, "hit": i.Notes.HIT, "silent": i.Notes.NONE}
WEIGHTS = {
    "silent": i.Weights.NONE,
    "nominal": i.Weights.NOMINAL,
    "rough": i.Weights.ROUGH,
    "live": i.Weights.LIVE,
}
MODES = {"push": False, "ask": True}
PHASES = {"healthy": i.Phase.UP, "cordoned": i.Phase.DRAINING, "deregistered": i.Phase.GONE}
LISTS = {
    "Partial": i.ListKind.PARTIAL,
    "Complete": i.ListKind.COMPLETE,
    "Persisted": i.ListKind.PERSISTED,
    "Error": i.ListKind.ERROR,
}
CODES = {
    "GOOD": i.Code.OK,
    "BAD": i.Code.ERROR,
    "FULL": i.Code.FULL,
    "LATE": i.Code.TIMEOUT,
    "NOCONN": i.Code.NO_CONNECTION,
    "RST": i.Code.RESET,
    "CXL": i.Code.CANCELLED,
    "NOP": i.Code.MOOT,
    "MISS": i.Code.MISS,
}
REPORT = {"rif": "inflight", "busy": "util", "q": "queue", "x0": "hits", "x1": "link"}
DIAL_MS = 400.0  # that a connection may take to come up, where the settings don't say
NOTE_NUMBERS = {note.value: note for note in i.Note}


class WireError(Exception):
    """A line that the wire does not allow."""


def _at(values: list[Any] | None, place: int, default: Any) -> Any:
    return values[place] if values is not None and place < len(values) else default


def _word(words: dict[str, Any], raw: dict[str, Any], field: str, usual: str) -> Any:
    """What a word of the settings stands for. Errors: ValueError, with the field, for an unknown one."""
    said = raw.get(field, usual)
    if said not in words:
        raise ValueError(f"{field}: {said!r} is none of {', '.join(words)}")
    return words[said]


def read_settings(raw: dict[str, Any]) -> i.Settings:
    """Errors: ValueError for a word or figure that is not possible, KeyError for a missing field."""
    fam, rules, limits = raw.get("FamilyInfo", {}), raw.get("Rules", {}), raw.get("PolicyLimits", {})
    classes = tuple(
        i.RequestClass(
            target_ms=c["TargetMs"],
            give_up_ms=c["GiveUpMs"],
            stretch=c.get("AimStretch", 0.0),
            effect=_word(EFFECTS, c, "Effect", ""),
            scope=_word(SCOPES, c, "KeyScope", "all"),
            window_ms=c.get("DedupWindowMs", 0.0),
            fresh_ms=_at(fam.get("GoodForMs"), n, 0.0),
            grace_ms=_at(fam.get("UsableAfterMs"), n, 0.0),
            parts=_at(fam.get("ClassParts"), n, False),
            uncached=_at(fam.get("Uncached"), n, False),
        )
        for n, c in enumerate(raw["Classes"])
    )
    return i.Settings(
        zone=raw.get("Az", 0),
        zone_proxies=tuple(fam.get("ZoneBalancers") or ()),
        proxies=raw.get("FleetSize", 1),
        classes=classes,
        origin_kind=fam.get("RootKind", -1),
        parent_kind=fam.get("SecondTierKind", -1),
        weights=_word(WEIGHTS, raw, "WeightKind", "silent"),
        notes=_word(NOTES, fam, "Tells", "silent"),
        pace_kb_per_s=fam.get("PaceKbPerS", 0.0),
        joins=fam.get("SharesFills", False),
        direct=fam.get("MayPassBy", False),
        asks_for_list=_word(MODES, raw, "RegistryMode", "push"),
        cancels=limits.get("Cancelling", False),
        second_copies=limits.get("MayDuplicate", False),
        most_attempts=limits.get("AttemptsCap", 1),
        most_wait_ms=limits.get("MaxRetryAfterMs", 0.0),
        advises_wait=limits.get("RetryAfter", False),
        cold_from=rules.get("ColdFrom", 1.0),
        cold_ms=rules.get("ColdMs", 0.0),
        fall_multiple=rules.get("OverloadFactor", 1.0),
        fall_ms=rules.get("FallMs", 1.0),
        dial_ms=limits.get("DialTimeoutMs", DIAL_MS),
        parent_cold_from=fam.get("ParentColdFrom", 1.0),
        parent_cold_ms=fam.get("ParentColdMs", 0.0),
        parent_fall_multiple=fam.get("ParentLimitFactor", 1.0),
        purge_done_ms=fam.get("ClearedWithinMs", 0.0),
        purge_grace_ms=fam.get("PurgeSlackMs", math.inf),
    )


def read_member(e: dict[str, Any]) -> i.Member:
    return i.Member(
        store=e["Store"],
        zone=e.get("Area", 0),
        kind=e.get("ClassOfHost", 0),
        cell=e.get("Group", 0),
        phase=PHASES.get(e.get("Phase", "healthy"), i.Phase.DRAINING),
        weight=e.get("CapacityHint", 1.0),
        started_ms=e.get("LastStartMs", 0.0),
    )


def _report(m: dict[str, Any]) -> dict[str, float]:
    return {REPORT[k]: v for k, v in (m.get("Gauge") or {}).items() if k in REPORT}


def read_event(m: dict[str, Any], lists: dict[int, tuple[i.Member, ...]]) -> i.Event | None:
    """The event that a message stands for, or None for one this version does not know."""
    match m["msg"]:
        case "Targets":
            kind = LISTS.get(m["How"])
            if kind is None:
                return None
            entries = () if kind is i.ListKind.ERROR else lists[m.get("SetId", 0)]
            return i.Members(kind, entries)
        case "Knock":
            key = m.get("ContentId", "")
            return i.Request(
                id=m["Req"],
                cls=m.get("Kind", 0),
                patience_ms=m.get("PatienceLeftMs", 0.0),
                key=key,
                group=m.get("Group", 0),
                part=m.get("Part", 0),
                size_kb=m.get("VolumeKb", 0.0),
                again=m.get("AgainByClient", False),
            )
        case "ReportBack":
            return i.Outcome(
                request=m["Req"],
                attempt=m.get("SendNo", 0),
                store=m.get("Store", ""),
                code=CODES.get(m["Code"], i.Code.ERROR),
                took_ms=m.get("CostTimeMs", 0.0),
                final=m.get("Final", False),
                note=NOTE_NUMBERS.get(m.get("Info", 0), i.Note.NONE),
                waited_ms=m.get("UpstreamWaitMs", 0.0),
                report=_report(m),
            )
        case "Streaming":
            return i.Streaming(m["Req"], m.get("SendNo", 0))
        case "Pong":
            code = CODES.get(m.get("Code", "GOOD"), i.Code.ERROR)
            return i.Probed(m["Store"], code, m.get("CostTimeMs", 0.0), _report(m))
        case "Expired":
            return i.Gone(m["Req"])
        case "Replaced":
            key = m.get("ContentId") or ""
            return i.Purge(m.get("BatchId", 0), m.get("HowOldMs", 0.0), key if key.strip("0") else None)
        case "Wake":
            return i.Timer(m.get("Ref", 0))
    return None


def write_action(a: i.Action) -> dict[str, Any]:
    match a:
        case i.Send():
            return {"msg": "Place", "Req": a.request, "Store": a.store, "WithinMs": a.timeout_ms}
        case i.Get():
            switches = a.join | a.renew << 3
            out = {"msg": "AnswerFrom", "Req": a.request, "Store": a.store, "WithinMs": a.timeout_ms}
            return out | {"MissFrom": a.source, "Keep": a.keep, "HowOldMs": a.age_ms, "Switches": switches}
        case i.Serve() | i.Tell():  # settings.tells is never set here
            raise ValueError(f"{type(a).__name__} is not of this wire")
        case i.Refuse():
            return {"msg": "Reject", "Req": a.request, "WaitMs": a.wait_ms}
        case i.Fail():
            return {"msg": "Lose", "Req": a.request}
        case i.Cancel():
            return {"msg": "Recall", "Req": a.request, "SendNo": a.attempt}
        case i.SetTimer():
            return {"msg": "Remind", "SleepForMs": a.delay_ms, "Ref": a.token}
        case i.Watch():
            return {"msg": "StreamChanges", "Active": True}


class Link:
    """The instances hosted by this process."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, tuple[i.Member, ...]] = {}

    def _instance(self, name: str, messages: list[dict[str, Any]], now: float) -> Iterator[dict[str, Any]]:
        for m in messages:
            match m["msg"]:
                case "Pool":
                    self.lists[m["SetId"]] = tuple(read_member(e) for e in m["Items"])
                case "PowerOn":
                    settings = read_settings(m["Setup"])
                    try:
                        self.routers[name] = Router(settings, m["Seed"], now)
                    except ValueError as error:
                        raise WireError(f"settings of {name}: {error}") from error
                case "Down":
                    self.routers.pop(name, None)
                case _:
                    router, event = self.routers.get(name), read_event(m, self.lists)
                    if router is None or event is None:
                        continue
                    try:
                        actions = router.handle(event, now)
                    except Exception as error:  # the wire wants any failure of the decisions told
                        yield {"msg": "Crash", "What": f"{type(error).__name__}: {error}"}
                        return
                    yield from map(write_action, actions)

    def batch(self, line: str) -> str:
        """The reply to one batch."""
        try:
            raw = json.loads(line)
            now, groups = float(raw["SimTimeMs"]), []
            for group in raw["groups"]:
                out = list(self._instance(group["ProxyId"], group.get("input") or [], now))
                if out:
                    groups.append({"ProxyId": group["ProxyId"], "out": out})
            return json.dumps({"n": raw["n"], "groups": groups}, separators=(",", ":"))
        except json.JSONDecodeError as error:
            raise WireError(f"not JSON: {error}") from error
        except (KeyError, TypeError, AttributeError, ValueError, IndexError) as error:
            raise WireError(f"not a batch: {type(error).__name__}: {error}") from error


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends."""
    link = Link()
    for number, line in enumerate(source, 1):
        try:
            reply = link.batch(line)
        except WireError as error:
            print(f"starlinghaven: line {number}: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
