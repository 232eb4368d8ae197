"""What passes from a process to the one that takes its place, by files in $TMPDIR."""

from __future__ import annotations

import contextlib
import json
import logging
import math
import os
import tempfile
import time
from pathlib import Path

import trio

from starlinghaven.containment import contained
from starlinghaven.protocol import ProtocolError, numbers
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Hand

log = logging.getLogger(__name__)

LOOK_S = 0.1  # seconds between two looks for what another process was told by hand
RESTORE_S, RESTORE_AGAIN_S = 3.0, 0.05  # seconds in which a start reads the calls, and between two tries
SAVE_AGAIN_S = 1.0  # seconds between two tries to save what a folder did not take
KEPT_S = 120.0  # seconds for which a store's return is remembered: it is warm long before
MOST_PATH = 100  # bytes of a Unix socket's path: the system takes 107
MOST = 4096  # stores remembered at most
STAT_START = 19  # field of a process's start in its `stat`, counted from the one behind its name
MOST_PROCESS = 2**22  # number of a process, at most (proc(5), pid_max)


def _call_time(unix_ms: object) -> float:
    """When a call was made, as a file has it. Errors: ProtocolError for what is no time."""
    return numbers.finite(unix_ms, numbers.MOST_UNIX_MS)


def _started(number: int) -> str:
    """When a process started, in clock ticks since the system's start (proc(5), stat); empty if unknown."""
    try:
        return Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()[STAT_START]
    except (OSError, IndexError):
        return ""


class Handover:
    """The newest process's number, and the stores excluded by hand. Without a folder, nothing is kept."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder) if folder else None
        self._seen: dict[str, Hand] = {}
        self._unsaved: list[Hand] = []  # calls that the folder did not take yet
        self._save_again_at = 0.0
        self._stamp: tuple[int, int] | None = None
        self.unread = False  # the calls in the folder could not be read at the last look

    def _path(self, name: str) -> Path | None:
        return self._folder / f"starlinghaven-{name}" if self._folder else None

    def _write(self, name: str, text: str) -> bool:
        """Puts a file in place whole: the other process must never read half of it. False if it can't."""
        if (path := self._path(name)) is None:
            return True
        draft = ""
        try:
            number, draft = tempfile.mkstemp(dir=path.parent)
            with open(number, "w") as file:
                file.write(text)
            os.replace(draft, path)
        except OSError as error:  # a full or missing folder must not end the program
            log.error("nothing can be handed over: %s", error)
            if draft:
                Path(draft).unlink(missing_ok=True)
            return False
        return True

    # -- which process is the newest --------------------------------------------------------------

    def serving(self) -> None:
        """This process is ready: an older one may leave the clients to it."""
        self._write("serving-start", f"{os.getpid()} {_started(os.getpid())}")
        self._write("serving", str(os.getpid()))

    def successor(self) -> str | None:
        """The door of a newer process that is there to take what comes, empty if it has none; else None."""
        if (path := self._path("serving")) is None:
            return None
        try:
            number = numbers.decimal(path.read_text().strip(), MOST_PROCESS)
            if number not in (0, os.getpid()):  # 0 would be this process and its group
                os.kill(number, 0)
                if self._is_same(number):
                    return self.door(number)
                log.info("no successor: another program has the number of process %d", number)
        except (OSError, ValueError, ProtocolError) as error:
            log.info("no successor: %s", error)
        return None

    def _is_same(self, number: int) -> bool:
        """Whether a process with this number is the one that said it serves: numbers are used again."""
        path = self._path("serving-start")
        try:
            told = path.read_text().split() if path else []
        except FileNotFoundError:
            return True  # a version that did not say when it started
        return told[:1] != [str(number)] or len(told) < 2 or told[1] == _started(number)

    def door(self, number: int | None = None) -> str:
        """Where a process, this one if none is named, takes connections over. Its old door is removed."""
        path = self._path(f"door-{number or os.getpid()}")
        if path is None or len(bytes(path)) > MOST_PATH:
            return ""
        if number is None:
            path.unlink(missing_ok=True)
        return str(path)

    # -- stores excluded by hand ------------------------------------------------------------------

    def _read(self) -> dict[str, Hand]:
        """The calls in the folder; those seen before where the file is spoilt. Errors: OSError."""
        path = self._path("hand")
        try:
            raw = json.loads(path.read_text()) if path else {}
            return {store: Hand(store, bool(out), _call_time(at)) for store, (out, at) in raw.items()}
        except FileNotFoundError:
            return {}
        except (ValueError, TypeError, AttributeError, RecursionError, ProtocolError) as error:
            log.error("what was excluded by hand can't be read: %s", error)
            return dict(self._seen)

    def keep(self, hand: Hand) -> bool:
        """Remembers a call for the other process and for the next one; whether it is saved now.

        What the folder does not take yet is tried again.
        """
        if self._save(hand):
            return True
        self._unsaved.append(hand)
        self._save_again_at = trio.current_time() + SAVE_AGAIN_S
        return False

    def _save(self, hand: Hand) -> bool:
        old = 1000.0 * (time.time() - KEPT_S)
        try:
            saved = self._read()
        except OSError as error:  # written over, it would lose what the other process saved
            log.error("what was excluded by hand can't be read: %s", error)
            return False
        hands = {s: h for s, h in (self._seen | saved).items() if h.out or h.unix_ms > old}
        latest = max((h.unix_ms for h in hands.values()), default=-math.inf)
        hand.unix_ms = max(hand.unix_ms, latest + 1.0)  # in order, also where the wall clock steps back
        hands[hand.store] = hand
        recent = sorted(hands.values(), key=lambda h: h.unix_ms)[-MOST:]
        self._seen[hand.store] = hand
        return self._write("hand", json.dumps({h.store: (h.out, h.unix_ms) for h in recent}))

    def save_unsaved(self) -> None:
        """Tries once more to save what the folder did not take."""
        while self._unsaved and self._save(self._unsaved[0]):
            del self._unsaved[0]
        self._save_again_at = trio.current_time() + SAVE_AGAIN_S

    async def restore(self, engine: Engine) -> None:
        """Applies the calls that are in the folder, before the first request is taken.

        A folder that can't be read is tried again for RESTORE_S: a start must not hang on it.
        """
        for _ in range(round(RESTORE_S / RESTORE_AGAIN_S)):
            for hand in self.news():
                await engine.post(hand)
            if not self.unread:
                return
            await trio.sleep(RESTORE_AGAIN_S)

    def news(self) -> list[Hand]:
        """The calls that another process was told since the last look."""
        path = self._path("hand")
        stamp = None
        with contextlib.suppress(OSError):
            if path:
                found = path.stat()
                stamp = (found.st_mtime_ns, found.st_ino)
        if stamp is None or stamp == self._stamp:
            return []
        try:
            found_hands = self._read()
        except OSError as error:  # looked at again at the next call
            log.error("what was excluded by hand can't be read: %s", error)
            self.unread = True
            return []
        self._stamp, self.unread = stamp, False
        before, self._seen = self._seen, found_hands
        return [h for s, h in self._seen.items() if s not in before or before[s].unix_ms < h.unix_ms]

    async def run(self, engine: Engine) -> None:
        """Follows the other process's calls for ever, and saves what the folder did not take yet."""
        while True:
            with contained(log, "the exchange of calls by hand", engine.counters.add):
                if self._unsaved and trio.current_time() >= self._save_again_at:
                    self.save_unsaved()
                for hand in self.news():
                    await engine.post(hand)
            await trio.sleep(LOOK_S)
