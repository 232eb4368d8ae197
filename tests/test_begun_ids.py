"""The table of ids for which something has begun: kept as long as they bind, in bounded memory."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.program.operations.shared_ids import FILE, begun_ids
from starlinghaven.routing.begun_ids import ADMITTED_LOAD, LEAST_SLOTS, BegunIds, Claim, TableError, size_for

KEY = bytes(range(16))
BINDS_S = 20.0


class Time:
    def __init__(self) -> None:
        self.s = 1_000.0

    def __call__(self) -> float:
        return self.s


def tables(time: Time, count: int = 1) -> list[BegunIds]:
    """Several processes' views of one table of the least size."""
    buffer = memoryview(bytearray(size_for(0)))
    BegunIds.format(buffer, KEY)
    return [BegunIds(buffer, 1000.0 * BINDS_S, now=time) for _ in range(count)]


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 1), st.floats(0.0, 6.0)), max_size=120))
def test_an_id_begins_once_as_long_as_it_binds(steps: list[tuple[int, int, float]]) -> None:
    time = Time()
    both, begun_at = tables(time, 2), dict[int, float]()
    for n, process, pause_s in steps:
        time.s += pause_s
        held, claim = both[1 - process].holds(f"{n:x}"), both[process].claim(f"{n:x}")
        if time.s - begun_at.get(n, -1e9) < BINDS_S:
            assert held and claim is Claim.BEGUN
        if claim is Claim.BEGINS:
            assert not held
            begun_at[n] = time.s
        assert both[1 - process].holds(f"{n:x}")


def test_a_full_table_admits_nothing_new_until_the_oldest_ids_bind_no_more() -> None:
    time = Time()
    (table,) = tables(time)
    admitted = 0
    while table.has_room():
        assert table.claim(f"{admitted:x}") is Claim.BEGINS
        admitted += 1
        time.s += 0.001
    assert admitted >= 2 * ADMITTED_LOAD * LEAST_SLOTS - 2, "both generations are filled"
    assert all(table.claim(f"{n:x}") is Claim.BEGUN for n in range(admitted))
    more = 0
    while table.claim(f"m{more:x}") is Claim.BEGINS:
        more += 1
    assert 0 < more < LEAST_SLOTS, "what was admitted before still finds room; then nothing begins"
    assert table.claim("another") is Claim.FULL and not table.holds("another")
    time.s += BINDS_S
    assert table.has_room() and table.claim("another") is Claim.BEGINS


def test_ids_are_kept_for_longer_than_they_bind_while_there_is_room() -> None:
    time = Time()
    (table,) = tables(time)
    table.claim("a")
    time.s += 1_000 * BINDS_S
    assert table.claim("a") is Claim.BEGUN


def test_a_spoilt_file_is_replaced_and_a_folder_that_takes_none_costs_only_the_sharing(
    tmp_path: Path,
) -> None:
    (tmp_path / FILE).write_bytes(b"no table" * 99)
    first, second = (begun_ids(str(tmp_path), True, 9_000, 1e4) for _ in range(2))
    assert first.claim("a") is Claim.BEGINS and second.claim("a") is Claim.BEGUN
    (tmp_path / "no folder").write_text("")
    alone = begun_ids(str(tmp_path / "no folder"), True, 9_000, 1e4)
    assert alone.claim("a") is Claim.BEGINS and alone.claim("a") is Claim.BEGUN
    with pytest.raises(TableError):
        BegunIds(memoryview(bytearray(size_for(0))), 1e4)
