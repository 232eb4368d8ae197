"""What holds memory, by account: for the log, for operators, and when somebody was refused."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import trio

from starlinghaven.memory import Account, Memory
from starlinghaven.program.memory_plan import resident

log = logging.getLogger(__name__)

LOOK_S = 1.0  # seconds between two looks for new refusals
KIB = 1024


class MemoryReport:
    """Reads the budget; holds nothing of it."""

    def __init__(self, memory: Memory) -> None:
        self._memory = memory
        self._refused: dict[str, int] = {}  # by account, as of the last look

    def line(self) -> str:
        """The budget, and each account that was ever used, in KiB: held, peak and limit, and refusals."""
        memory = self._memory
        parts = [f"resident={resident() // KIB} {_figures(memory.used, memory.peak, memory.limit)}"]
        parts += [_worded(account) for account in memory if account.peak or account.refused]
        return " ".join(parts)

    def figures(self) -> Iterator[str]:
        """The same, one figure a line, in bytes."""
        memory = self._memory
        yield f"resident {resident()}"
        yield f"total held={memory.used} peak={memory.peak} limit={memory.limit} refused={memory.refused}"
        for account in memory:
            figures = f"held={account.held} peak={account.peak} limit={account.limit}"
            yield f"{account.name} {figures} refused={account.refused}"

    async def run(self) -> None:
        """Logs for ever which accounts have refused somebody since the last look."""
        while True:
            await trio.sleep(LOOK_S)
            if short := [account for account in self._memory if self._refused_anew(account)]:
                log.warning("memory short: %s", " ".join(map(_worded, short)))

    def _refused_anew(self, account: Account) -> bool:
        before = self._refused.get(account.name, 0)
        self._refused[account.name] = account.refused
        return account.refused > before


def _figures(held: int, peak: int, limit: int) -> str:
    return f"held={held // KIB}/{peak // KIB}/{limit // KIB}"


def _worded(account: Account) -> str:
    refused = f"(refused {account.refused})" if account.refused else ""
    return f"{account.name}={account.held // KIB}/{account.peak // KIB}/{account.limit // KIB}{refused}"
