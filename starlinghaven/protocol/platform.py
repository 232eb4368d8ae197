"""The platform's client protocol: calls in, answers out. Sans I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

from starlinghaven.protocol import ProtocolError, numbers
from starlinghaven.protocol.resp import RespReader, encode, encode_apart, read_fields, write_fields

MOST_BODY = 64 * 1024  # bytes that a call brings at most: the platform's limit is 48,000
MOST_WORDS = 5  # of a message
MOST_OPEN = 32  # requests open on one connection
SLACK = 4.0  # times a class's give-up time up to which times to wait and to send are usual
MOST_TAG = 2**64 - 1  # the hand-over to another process has eight bytes for it
MOST_SIZE_KB = 1e12  # of an object's part: beyond all storage, and far from where arithmetic overflows
_HEX16 = re.compile(r"[0-9a-f]{16}")
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,64}")  # a copy's tag, or an idempotency key
MOST_PART = 999_999_999
_DECIMAL = re.compile(r"0|[1-9][0-9]{0,8}")

RESULT, REJECT, ABORTED, READY, UNREADY, DRAIN = (
    b"RESULT",
    b"REJECT",
    b"ABORTED",
    b"READY",
    b"UNREADY",
    b"DRAIN",
)


@dataclass(frozen=True, slots=True)
class Call:
    """A request as the client worded it. Absent fields stay absent on the way on."""

    tag: int
    cls: str
    id: str
    ttl_ms: int
    dedupe: str
    row: str
    block: int | None
    family: int | None
    size_kb: float
    cached: str
    again: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class Cancel:
    tag: int


@dataclass(frozen=True, slots=True)
class Health:
    tag: int


class BadCall(ProtocolError):
    """A call that can't be used, but whose tag can be answered."""

    def __init__(self, tag: int, text: str) -> None:
        super().__init__(text)
        self.tag = tag


def reader() -> RespReader:
    return RespReader(words=MOST_WORDS, word_bytes=4096, body_at=4, body_bytes=MOST_BODY)


def parse(words: list[bytes]) -> Call | Cancel | Health:
    """The message that an array stands for. ProtocolError: close; BadCall: one failed answer."""
    verb = words[0]
    if len(words) < 2 or words[1].startswith(b"0"):
        raise ProtocolError("no tag")
    tag = numbers.decimal(words[1].decode("ascii", "replace"), MOST_TAG)
    if verb == b"RPC.CALL":
        return _call(tag, words)
    if verb == b"RPC.CANCEL" and len(words) <= 3:
        return Cancel(tag)
    if verb == b"RPC.HEALTH" and len(words) <= 3:
        return Health(tag)
    raise ProtocolError(f"unknown verb {verb[:20]!r}")


def _matching(tag: int, fields: dict[str, str], name: str, form: re.Pattern[str]) -> str:
    value = fields.get(name, "")
    if name in fields and not form.fullmatch(value):
        raise BadCall(tag, f"bad {name}")
    return value


def _call(tag: int, words: list[bytes]) -> Call:
    if len(words) < 4:
        raise BadCall(tag, "a call without fields")
    try:
        fields = read_fields(words[3])
        cls = words[2].decode("ascii")
    except (ProtocolError, UnicodeDecodeError) as error:
        raise BadCall(tag, str(error)) from error
    block, family = (_matching(tag, fields, name, _DECIMAL) for name in ("block", "family"))
    ttl, call = _matching(tag, fields, "ttl", _DECIMAL), _matching(tag, fields, "call", _HEX16)
    if not ttl or ttl == "0" or not call:
        raise BadCall(tag, "a call without ttl or call")
    if family and int(family) > 255:
        raise BadCall(tag, "bad family")
    try:
        size = numbers.figure(fields.get("heap", "0"), MOST_SIZE_KB)
    except ProtocolError as error:
        raise BadCall(tag, "bad heap") from error
    return Call(
        tag=tag,
        cls=cls,
        id=call,
        ttl_ms=int(ttl),
        dedupe=_matching(tag, fields, "dedupe", TOKEN),
        row=_matching(tag, fields, "row", _HEX16),
        block=int(block) if block else None,
        family=int(family) if family else None,
        size_kb=size,
        cached=_matching(tag, fields, "cached", TOKEN),
        again=fields.get("rep", "0") not in ("", "0"),
        body=words[4] if len(words) > 4 else b"",
    )


def served(tag: int, body: bytes) -> tuple[bytes, ...]:
    """The answer in pieces: its body may be large."""
    return encode_apart(b"%d" % tag, RESULT, b"", body)


def unchanged(tag: int) -> bytes:
    """The client's own copy is the one that would be served."""
    return encode(b"%d" % tag, RESULT, b"keep=1", b"")


def refused(tag: int, wait_ms: float) -> bytes:
    fields = write_fields({"pushback": str(round(wait_ms))}) if wait_ms > 0 else b""
    return encode(b"%d" % tag, REJECT, fields, b"")


def failed(tag: int) -> bytes:
    return encode(b"%d" % tag, ABORTED, b"", b"")


def health(tag: int, word: bytes) -> bytes:
    return encode(b"%d" % tag, word)
