"""Stand-in stores whose answers come after a time, with objects of two sizes."""

from __future__ import annotations

import contextlib

import trio

from starlinghaven.lab.sizes import OBJECT_BYTES, is_large
from starlinghaven.standins.platform import Archive, Words

SMALL_BODY = b"small"


class SizedArchive(Archive):
    """Large objects have `large_bytes` bytes; a write is answered with as many."""

    weight = 60.0  # the decisions refuse little for the load of stores

    def __init__(self, delay_s: float = 0.0, large_bytes: int = OBJECT_BYTES) -> None:
        super().__init__()
        self.delay_s, self._large = delay_s, b"o" * large_bytes
        self.keeps_orders = False
        self.answered = 0

    def reply(self, store: str, fields: dict[str, str]) -> tuple[float, str, int]:
        _, word, since = super().reply(store, fields)
        return self.delay_s, word, since

    def body(self, fields: dict[str, str]) -> bytes:
        self.answered += 1
        key = fields.get("k", "")
        return self._large if not key or is_large(key) else SMALL_BODY

    async def _answer(self, store: str, words: Words, message: list[bytes], scope: trio.CancelScope) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await super()._answer(store, words, message, scope)
