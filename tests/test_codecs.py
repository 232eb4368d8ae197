"""Codecs: any split of the input reads the same, and broken input is named."""

from __future__ import annotations

import struct
from typing import Any
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.memory import own_account
from starlinghaven.protocol import ProtocolError, caches, changelog, platform, resp
from starlinghaven.protocol.resp import RespReader, encode, read_fields, write_fields
from starlinghaven.transport.ring import Ring


def read_all(reader: Any, pieces: list[bytes]) -> list[Any]:
    ring, got = Ring(own_account(1 << 24)), []
    for piece in pieces:
        ring.put(piece)
        while (one := reader.next(ring)) is not None:
            got.append(one)
        assert reader.wanted <= 1 << 20
    return got


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({min(p, len(data)) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


ARRAYS = st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=5), max_size=5)
PLACES = st.lists(st.integers(0, 400), max_size=8)


@given(ARRAYS, PLACES)
def test_arrays_read_the_same_however_they_are_cut(arrays: list[list[bytes]], places: list[int]) -> None:
    data = b"".join(encode(*words) for words in arrays)
    reader = RespReader(words=5, word_bytes=30, body_at=4, body_bytes=30)
    assert read_all(reader, cut(data, places)) == arrays


@given(st.binary(max_size=200), PLACES)
def test_any_bytes_end_in_words_or_in_a_protocol_error(data: bytes, places: list[int]) -> None:
    try:
        for words in read_all(platform.reader(), cut(data, places)):
            platform.parse(words)
    except ProtocolError:
        pass


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=5))
def test_any_array_is_a_message_or_a_protocol_error(words: list[bytes]) -> None:
    for parse in (platform.parse, caches.parse):
        try:
            parse(words)
        except ProtocolError:
            pass


@pytest.mark.parametrize(
    "data",
    [b"*0\r\n", b"*01\r\n", b"*-1\r\n", b"*6\r\n", b"$1\r\n", b"*1\r\n$31\r\n", b"*1\r\n$1\r\nab\r\n",
     b"*1\r\n*1\r\n", b"*1" + b"1" * 20, b"*1\r\n$ 1\r\n"],
)  # fmt: skip
def test_what_is_no_array(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        read_all(RespReader(words=5, word_bytes=30, body_at=4, body_bytes=30), [data])


def test_fields_are_read_as_they_are_written() -> None:
    fields = {"a": "1", "b": "x=y", "c": ""}
    assert read_fields(write_fields(fields)) == fields
    assert read_fields(b"-") == read_fields(b"") == {} and write_fields({}) == b"-"
    for raw in (b"a", b"a=1,a=2", b"=1", b"a=1,,b=2", b"\xff=1"):
        with pytest.raises(ProtocolError):
            read_fields(raw)


def test_an_order_says_what_the_decisions_ask_for_and_no_more() -> None:
    order = caches.Order(
        id="9b1f03aa5c7e2d41", cls="pieces", key="00ab", part=0, wait_ms=899.9, source="s-2", keep=3,
        age_ms=1500.9, join=True, renew=True, have="aa", body=b"B",
    )  # fmt: skip
    fields = b"c=pieces,k=00ab,p=0,w=899,up=s-2,store=3,cap=1500,do=join+renew,inm=aa"
    assert caches.get(order) == encode(b"GET", b"9b1f03aa5c7e2d41", fields, b"B")
    least = caches.Order(id="1", cls="depot", key="", part=None, wait_ms=0.2)
    assert caches.get(least) == encode(b"GET", b"1", b"c=depot,w=1", b"")


def test_an_answer_is_read_with_its_report() -> None:
    words = [b"1", b"served", b"rev=ab,since=17,note=shared,fill=9.4,load=util:0.6;x1:1.2;x0:0.4;odd:1", b"B"]
    said = caches.parse(words)
    assert (said.body, said.rev, said.since_ms, said.note, said.filled_ms) == (b"B", "ab", 17, 4, 9.4)
    assert said.load == {"util": 0.6, "link": 1.2, "hits": 0.4}
    for bad in ([b"1"], [b"1", b"novel"], [b"1", b"served", b"load=util:x"], [b"1", b"served", b"since=x"]):
        with pytest.raises(ProtocolError):
            caches.parse(bad)


RECORD = struct.pack(">I4sHBBBHIQ", 0xC41F7A, bytes([10, 1, 0, 9]), 8443, 1, 1, 0, 2, 4500, 17)


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


@given(PLACES)
def test_frames_read_the_same_however_they_are_cut(places: list[int]) -> None:
    data = frame(4, 0) + frame(5, 1, RECORD * 2) + frame(6, 3, struct.pack(">8sQ", b"\x7f" * 8, 99))
    data += frame(7, 4, struct.pack(">HQ", 17, 98)) + frame(8, 9, b"later") + frame(9, 2)
    record = changelog.Record("s-00c41f7a", "10.1.0.9:8443", changelog.DRAINING, 1, 0, 2, 4.5, 17)
    assert read_all(changelog.FrameReader(), cut(data, places)) == [
        (4, None),
        (5, changelog.Fleet(True, (record, record))),
        (6, changelog.Purged("7f" * 8, 0, 99)),
        (7, changelog.Purged(None, 17, 98)),
        (8, None),
        (9, changelog.Fleet(False, ())),
    ]


@pytest.mark.parametrize(
    "data",
    [frame(1, 1, RECORD[:-1]), frame(1, 3, b"short"), struct.pack(">I", 8), struct.pack(">I", 1 << 30),
     frame(1, 2, RECORD[:10] + b"\x07" + RECORD[11:])],
)  # fmt: skip
def test_what_is_no_frame(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        read_all(changelog.FrameReader(), [data])


def test_the_known_events_say_the_same_as_frames() -> None:
    entry = {
        "instanceId": "s-00c41f7a", "hostPort": "10.1.0.9:8443", "zone": "east", "machineType": "std",
        "cell": 2, "lifecycle": "leaving", "weight": 4.5, "startedAtMs": 17,
    }  # fmt: skip
    fleet = {"generation": 1, "reset": False, "instances": [entry]}
    raw = {"seq": 3, "results": [
        {"seq": 1, "fleet": fleet}, {"seq": 2, "fleet": fleet},
        {"seq": 3, "invalidate": {"object": "7f" * 8, "time": 99}},
    ]}  # fmt: skip
    record = changelog.Record("s-00c41f7a", "10.1.0.9:8443", changelog.DRAINING, 1, 0, 2, 4.5, 17)
    assert changelog.read_known(raw, ["west", "east"], ["std"]) == [
        (1, changelog.Fleet(True, (record,))),
        (2, changelog.Fleet(False, (record,))),
        (3, changelog.Purged("7f" * 8, 0, 99)),
    ]
    with pytest.raises(ProtocolError):
        changelog.read_known(raw, ["west"], ["std"])


@given(st.integers(0, 40))
def test_a_half_read_array_stays_in_its_ring_and_can_be_read_again_elsewhere(at: int) -> None:
    """A connection that changes hands must go on in the middle of a message."""
    text = encode(b"RPC.CALL", b"7", b"", b"x" * 9, b"")
    one, other = Ring(own_account(1 << 20)), Ring(own_account(1 << 20))
    reader = RespReader(words=5, word_bytes=100, body_at=4, body_bytes=100)
    one.put(text[:at])
    whole = reader.next(one)
    other.put(one.take(one.size) + text[at:])
    again = RespReader(words=5, word_bytes=100, body_at=4, body_bytes=100).next(other)
    assert (whole or again) == [b"RPC.CALL", b"7", b"", b"x" * 9, b""] and not (whole and again)


@given(st.binary(max_size=80) | ARRAYS.map(lambda arrays: b"".join(encode(*words) for words in arrays)))
def test_reading_in_one_go_gives_what_the_strict_way_gives(data: bytes) -> None:
    """The short way is for speed alone: it must neither take nor refuse anything else."""

    def read(at_once: int) -> tuple[list[list[bytes]], bool]:
        ring, found = Ring(own_account(1 << 20)), list[list[bytes]]()
        ring.put(data)
        reader = RespReader(words=5, word_bytes=60, body_at=4, body_bytes=300)
        with mock.patch.object(resp, "AT_ONCE", at_once):
            try:
                while (words := reader.next(ring)) is not None:
                    found.append(words)
            except ProtocolError:
                return found, True
        return found, False

    assert read(resp.AT_ONCE) == read(0)


def test_a_short_array_is_taken_out_of_the_ring_in_one_go() -> None:
    ring = Ring(own_account(1 << 20))
    ring.put(encode(b"GET", b"7", b"-", b""))
    with mock.patch.object(Ring, "take", autospec=True, side_effect=Ring.take) as take:
        reader = RespReader(words=5, word_bytes=100, body_at=4, body_bytes=100)
        assert reader.next(ring) == [b"GET", b"7", b"-", b""]
    assert take.call_count == 1 and not ring.size
