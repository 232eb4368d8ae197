"""One history on one clock: what happened in a run, as JSON lines in the order of time."""

from __future__ import annotations

import json
import re
import time
from pathlib import Path
from typing import Any

Entry = dict[str, Any]
_LOGGED = re.compile(r"^(\S+ \S+),(\d{3}) \w+ starlinghaven\.program\.fleet (.*)$")
_PEER = re.compile(r"peer (\d+) at \S+ (\w+) after (\w+) life=(\d+) inc=(\d+): (.*)")
_STANCE = re.compile(r"stance (.+) after (.+) alive=(\d+) of=(\d+)")


class History:
    """Collects entries. Times are seconds since the start, on the machine's Unix clock."""

    def __init__(self) -> None:
        self.started = time.time()
        self.entries: list[Entry] = []

    def now(self) -> float:
        return time.time() - self.started

    def add(self, what: str, **more: Any) -> Entry:
        """Adds an entry and returns it, for what is known of it only later."""
        entry = {"t": round(self.now(), 4), "what": what, **more}
        self.entries.append(entry)
        return entry

    def add_log(self, proxy: int, path: Path) -> None:
        """What a proxy logged of its peers, in the same clock."""
        for line in path.read_text(errors="replace").splitlines():
            if not (found := _LOGGED.match(line)):
                continue
            at = time.mktime(time.strptime(found[1], "%Y-%m-%d %H:%M:%S")) + int(found[2]) / 1000
            entry: Entry = {"t": round(at - self.started, 4), "proxy": proxy}
            if peer := _PEER.match(found[3]):
                self.entries.append(entry | {
                    "what": "view", "peer": int(peer[1]), "state": peer[2], "before": peer[3],
                    "life": int(peer[4]), "inc": int(peer[5]), "cause": peer[6],
                })  # fmt: skip
            elif stance := _STANCE.match(found[3]):
                self.entries.append(entry | {
                    "what": "stance", "stance": stance[1], "before": stance[2], "alive": int(stance[3])
                })  # fmt: skip

    def save(self, path: Path) -> None:
        self.entries.sort(key=lambda entry: entry["t"])
        path.write_text("".join(json.dumps(entry, separators=(",", ":")) + "\n" for entry in self.entries))


def read(path: Path) -> list[Entry]:
    """The entries of a saved history."""
    return [json.loads(line) for line in path.read_text().splitlines()]
