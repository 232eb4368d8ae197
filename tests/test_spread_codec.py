"""Reports and tables: every datagram fits, comes back as it went, and nothing else is taken."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.datagrams import MOST_BYTES, Refused
from starlinghaven.spread import settings
from starlinghaven.spread.codec import (
    REPORT_CACHES,
    TABLE_ROWS,
    Datagram,
    Report,
    Row,
    Seen,
    Table,
    decode,
    encode,
)
from starlinghaven.spread.evidence import MOST_CACHES, Evidence
from starlinghaven.spread.settings import Limits, SpreadSettingsError

IDS = st.integers(0, 0xFF_FFFF)
COUNTS = st.floats(0, 5_000)
PARTS = st.floats(0, 1)
REPORTS = st.builds(
    Report, st.integers(1, 0xFFFF), st.integers(0, 0xFFFF), st.floats(0.01, 1),
    st.lists(st.builds(Seen, IDS, COUNTS, COUNTS, COUNTS, COUNTS), max_size=REPORT_CACHES - 3).map(tuple),
    st.lists(st.integers(0, 0xFFFF_FFFF), max_size=4).map(tuple),
)  # fmt: skip
TABLES = st.builds(
    Table,
    st.integers(0, 0xFFFF),
    st.integers(0, 0xFFFF),
    st.lists(st.builds(Row, IDS, PARTS, PARTS), max_size=TABLE_ROWS // 2).map(tuple),
    st.lists(st.tuples(st.integers(0, 0xFFFF_FFFF), st.integers(0, 255)), max_size=20).map(tuple),
)
U16 = st.integers(0, 0xFFFF)
DATAGRAMS = st.builds(
    Datagram, U16, U16, st.integers(0, 0xFFFF_FFFF), U16, st.integers(0, 255), st.one_of(REPORTS, TABLES)
)


@given(DATAGRAMS)
def test_what_goes_comes_back_within_the_stated_step(d: Datagram) -> None:
    data = encode(d)
    assert len(data) <= MOST_BYTES
    back = decode(data)
    assert (back.sender, back.life, back.number, back.zone) == (d.sender, d.life, d.number, d.zone)
    if isinstance(d.body, Report):
        assert isinstance(back.body, Report) and back.body.keys == d.body.keys
        for one, two in zip(d.body.caches, back.body.caches, strict=True):
            assert one.cache == two.cache
            assert abs(one.sent - two.sent) <= 0.025 * (one.sent + 1)
            assert abs(one.held - two.held) <= 0.025 * (one.held + 1 / 64) or one.held > 900
    else:
        assert isinstance(back.body, Table) and back.body.hot == d.body.hot
        for row, got in zip(d.body.rows, back.body.rows, strict=True):
            assert row.cache == got.cache and abs(row.share - got.share) <= 1 / 510 + 1e-9
    assert encode(back) == data, "and a second time nothing moves"


@given(DATAGRAMS, st.integers(0, 255), st.integers(0, 255), st.integers(0, 300))
def test_spoilt_datagrams_are_refused_or_read_and_never_raise_anything_else(
    d: Datagram, place: int, value: int, cut: int
) -> None:
    data = bytearray(encode(d))
    data[place % len(data)] = value
    for tried in (bytes(data), bytes(data)[:cut], bytes(data) + bytes([value])):
        try:
            decode(tried)
        except Refused as error:
            assert str(error)


@given(st.binary(max_size=400))
def test_noise_is_refused(data: bytes) -> None:
    if data[:1] != b"\xe8":
        with pytest.raises(Refused):
            decode(data)


@pytest.mark.parametrize(
    "text, why",
    [
        ("spread { publishers 2 }", "no voice counts alone"),
        ("spread { publishers 4 }", "odd number"),
        ("spread { step 1.0 }", "step: above 1"),
        ("spread { slow 0.5 }", "slow: above 1"),
        ("spread { least 2.0 }", "least: below 1"),
        ("spread { believed-ms 1000 }", "above a turn"),
        ("spread { keys 1.5 }", "whole number"),
        ("spread { keys 40 }", "one datagram"),
        ("spread { keys 4; keys 4 }", "given twice"),
        ("spread { speed 3 }", "unknown setting"),
        ("spread {", "not KDL"),
    ],
)
def test_files_that_break_a_rule_are_refused_with_a_reason(text: str, why: str) -> None:
    with pytest.raises(SpreadSettingsError, match=why):
        settings.load_text(text)


def test_the_example_file_gives_the_defaults() -> None:
    assert settings.load("deploy/spread.example.kdl") == Limits()


def test_evidence_counts_what_was_out_and_for_how_long() -> None:
    e = Evidence(Random(1), 0.0, 4)
    e.sent("a", 0.0)
    e.sent("a", 500.0)
    e.ended("a", True, 500.0)
    e.sent("b", 900.0)
    e.ended("b", False, 900.0)
    e.ended("never sent", True, 900.0)
    first = {s.cache: s for s in e.take(1000.0, 30, 0).caches}
    (a,) = [s for s in first.values() if s.sent == 2]
    assert (a.held, a.served) == (1.0, 1)
    (b,) = [s for s in first.values() if s.sent == 1]
    assert (b.held, b.served, b.failed) == (0.0, 0, 1), "an error at once holds nothing and serves nothing"
    (again,) = e.take(2000.0, 30, 0).caches
    assert (again.sent, again.held) == (0, 1.0), "what is still out is still held"


def test_evidence_is_bounded_and_what_does_not_fit_is_drawn_by_hash() -> None:
    e = Evidence(Random(1), 0.0, 4)
    for k in range(3 * MOST_CACHES):
        e.sent(f"c{k}", 1.0)
        e.asked(f"{k}")
    report = e.take(1000.0, 30, 5)
    assert len(report.caches) == 30 and len(report.keys) == 4 and len(e._caches) == MOST_CACHES
    assert report.covered == 30 / MOST_CACHES
    e.take(2000.0, 30, 6)
    for k in range(100):
        e.sent(f"c{k}", 2001.0)
    chosen = [frozenset(s.cache for s in e.take(3000.0 + split, 30, split).caches) for split in range(8)]
    assert len(set(chosen)) == 8, "another part each time, so that all are covered by and by"
