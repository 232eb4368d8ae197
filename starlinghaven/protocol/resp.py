"""RESP arrays of bulk strings: strict, bounded, fed from a ring."""

from __future__ import annotations

from starlinghaven.protocol import ProtocolError
from starlinghaven.transport.ring import Ring

AT_ONCE = 2048  # bytes of an array that is read in one go; longer ones are read string by string
MOST_LENGTH_LINE = 16  # bytes of a length line at most, its end included


class RespReader:
    """Reads one array after the other, each of at most `words` strings; the one at `body_at` may be long.

    An array stays in the ring until it is whole: there its bytes are counted.
    """

    def __init__(self, *, words: int, word_bytes: int, body_at: int, body_bytes: int) -> None:
        self._words, self._word_bytes = words, word_bytes
        self._body_at, self._body_bytes = body_at, body_bytes
        self._begin_anew()
        self.wanted = 1  # bytes that the ring must hold before there is more to read

    def _begin_anew(self) -> None:
        self._at = 0  # bytes of the ring that were looked at for the array that comes in
        self._left = 0  # strings of it that are still to come
        self._spans: list[tuple[int, int]] = []  # where those are that have come, and their lengths
        self._length: int | None = None  # of the string that comes next, once its line is read

    def _most_bytes(self, string: int) -> int:
        """How long a string of an array may be."""
        return self._body_bytes if string == self._body_at else self._word_bytes

    def _number(self, ring: Ring, sign: bytes, most: int) -> int | None:
        """The number of the length line at `_at`, which is passed; None if the line is not whole yet."""
        line = ring.peek(self._at, min(ring.size - self._at, MOST_LENGTH_LINE))
        end = line.find(b"\r\n")
        if end < 0:
            if len(line) >= MOST_LENGTH_LINE or line and line[:1] != sign:
                raise ProtocolError("a length was expected")
            self.wanted = ring.size + 1
            return None
        digits = line[1:end]
        if line[:1] != sign or not digits.isdigit() or digits[:1] == b"0" and len(digits) > 1:
            raise ProtocolError("a length was expected")
        if int(digits) > most:
            raise ProtocolError("longer than allowed")
        self._at += end + 2
        return int(digits)

    def _short(self, ring: Ring) -> list[bytes] | None:
        """An array that is whole, short and plain, read in one go: most are, and a read costs little then.

        Whatever is unusual is left in the ring for the strict way.
        """
        data = ring.take(min(ring.size, AT_ONCE), keep=True)
        end = data.find(b"\r\n", 0, MOST_LENGTH_LINE)
        if data[:1] != b"*" or not data[1:end].isdigit() or data[1:2] == b"0":
            return None
        count, at, got = int(data[1:end]), end + 2, list[bytes]()
        if count > self._words:
            return None
        for n in range(count):
            end = data.find(b"\r\n", at, at + MOST_LENGTH_LINE)
            digits = data[at + 1 : end]
            if end < 0 or data[at : at + 1] != b"$" or not digits.isdigit():
                return None
            if digits[:1] == b"0" and len(digits) > 1:
                return None
            length, at = int(digits), end + 2
            if length > self._most_bytes(n) or data[at + length : at + length + 2] != b"\r\n":
                return None
            got.append(data[at : at + length])
            at += length + 2
        ring.skip(at)
        return got

    def next(self, ring: Ring) -> list[bytes] | None:
        """The next whole array, or None until more has come in."""
        self.wanted = 1
        if not self._left:
            if (short := self._short(ring)) is not None:
                return short
            count = self._number(ring, b"*", self._words)
            if count is None:
                return None
            if count == 0:
                raise ProtocolError("an empty array")
            self._left = count
        while self._left:
            if not self._pass_string(ring):
                return None
        got, end = [ring.peek(start, length) for start, length in self._spans], self._at
        self._begin_anew()
        ring.skip(end)
        return got

    def _pass_string(self, ring: Ring) -> bool:
        """Passes the next string of the array, if it is whole."""
        if self._length is None:
            self._length = self._number(ring, b"$", self._most_bytes(len(self._spans)))
            if self._length is None:
                return False
        end = self._at + self._length
        if ring.size < end + 2:
            self.wanted = end + 2
            return False
        if ring.peek(end, 2) != b"\r\n":
            raise ProtocolError("a string is longer than it said")
        self._spans.append((self._at, self._length))
        self._at, self._length = end + 2, None
        self._left -= 1
        return True


def encode(*words: bytes) -> bytes:
    """One array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join(parts)


def encode_apart(*words: bytes) -> tuple[bytes, bytes, bytes]:
    """One array of bulk strings in three pieces: the second is the last word itself, and no copy."""
    *first, last = words
    parts = [b"*%d\r\n" % len(words)]
    for word in first:
        parts += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join((*parts, b"$%d\r\n" % len(last))), last, b"\r\n"


def read_fields(raw: bytes) -> dict[str, str]:
    """The pairs of name=value,name=value; '-' or nothing stands for none."""
    if raw in (b"", b"-"):
        return {}
    fields: dict[str, str] = {}
    try:
        for pair in raw.decode("ascii").split(","):
            name, equals, value = pair.partition("=")
            if not equals or not name or name in fields:
                raise ProtocolError(f"not a field: {pair[:40]!r}")
            fields[name] = value
    except UnicodeDecodeError as error:
        raise ProtocolError("fields are not ASCII") from error
    return fields


def write_fields(fields: dict[str, str]) -> bytes:
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode("ascii") or b"-"
