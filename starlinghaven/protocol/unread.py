"""Looks for cancels in input that is not read yet, without taking it. Sans I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from starlinghaven.protocol import ProtocolError, platform
from starlinghaven.protocol.resp import MOST_LENGTH_LINE

MOST_TAGS = 48  # kept of one connection, more than may be open; others once some of them are read
_CANCEL = b"RPC.CANCEL"


@dataclass(slots=True)
class UnreadCancels:
    """The tags whose cancel has come in and was not read yet, on one connection.

    Positions count the bytes of the connection's input from its begin. What was looked at once is not
    looked at again.
    """

    tags: set[int] = field(default_factory=set)
    position: int = 0  # of the first message that was not whole at the last look

    def look(self, data: bytes, start: int) -> None:
        """Looks through input whose first byte, at `start`, begins a message.

        It ends at what is not whole or not in form: whoever reads it in order tells what is wrong with it.
        """
        at = max(self.position - start, 0)
        if data.find(_CANCEL, at) < 0:
            return
        while len(self.tags) < MOST_TAGS and (message := _message(data, at)) is not None:
            words, at = message
            if words[0] == _CANCEL:
                self._cancelled(words)
        self.position = start + at

    def _cancelled(self, words: list[bytes]) -> None:
        try:
            cancel = platform.parse(words)
        except ProtocolError:
            return
        if isinstance(cancel, platform.Cancel):
            self.tags.add(cancel.tag)


def _message(data: bytes, at: int) -> tuple[list[bytes], int] | None:
    """The array of bulk strings that begins at a position, and where it ends; None if it is not whole."""
    counted = _length(data, at, b"*")
    if counted is None:
        return None
    count, at = counted
    if count > platform.MOST_WORDS:
        return None
    words = list[bytes]()
    for _ in range(count):
        told = _length(data, at, b"$")
        if told is None:
            return None
        length, at = told
        if len(data) < at + length + 2:
            return None
        words.append(data[at : at + length])
        at += length + 2
    return (words, at) if words else None


def _length(data: bytes, at: int, sign: bytes) -> tuple[int, int] | None:
    """The number of a length line, and where the line ends."""
    end = data.find(b"\r\n", at, at + MOST_LENGTH_LINE)
    digits = data[at + 1 : end]
    if end < 0 or data[at : at + 1] != sign or not digits.isdigit():
        return None
    return int(digits), end + 2
