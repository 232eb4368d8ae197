"""The memory limit is divided: all accounts, in both processes of an upgrade, stay within it together."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlinghaven.program.memory_plan import (
    LARGEST_ANSWER,
    LARGEST_CALL,
    LEAST_STORE_CONNECTIONS,
    MIB,
    START,
    WORKING,
    Accounts,
    Demand,
    TooLittleMemory,
    divide,
)
from starlinghaven.routing.request_memory import REQUEST_BYTES
from tests.loopback import ROOT, Archive, configuration, free_port

LEAST_MB = 32  # the least memory that the platform's pages name
BASE = 25 * MIB  # of a process at rest
DEMANDS = st.builds(
    Demand,
    client_places=st.integers(0, 40_000),
    store_places=st.integers(8, 40_000),
    stores=st.integers(1, 3_200),
    copies=st.booleans(),
    upgrades=st.booleans(),
    fronts=st.dictionaries(st.sampled_from(("signed", "health", "agent", "console")), st.integers(1, 150)),
    tables=st.integers(0, 4 * MIB),
)


@given(st.integers(16, 512), st.integers(10, 40), DEMANDS)
def test_all_accounts_together_fit_into_the_limit(limit_mb: int, base_mb: int, demand: Demand) -> None:
    limit, base = limit_mb * MIB, base_mb * MIB
    try:
        accounts = divide(limit, base, demand)
    except TooLittleMemory:
        return
    processes = 2 if accounts.beside_another else 1
    assert sum(account.limit for account in accounts.memory) <= accounts.memory.limit
    assert processes * (base + START + WORKING + accounts.memory.limit) <= limit
    assert demand.upgrades or not accounts.beside_another
    each_kind_passes(accounts)


def each_kind_passes(accounts: Accounts) -> None:
    assert accounts.engine.answers.limit >= 2 * LARGEST_ANSWER
    assert accounts.clients.output.limit >= 2 * LARGEST_ANSWER
    assert accounts.clients.input.limit >= 2 * LARGEST_CALL
    assert accounts.stores.output.limit >= LARGEST_CALL
    assert accounts.engine.requests.limit >= 32 * REQUEST_BYTES
    assert accounts.store_places >= LEAST_STORE_CONNECTIONS


@pytest.mark.parametrize("sockets", [256, 1024, 16_384])
@pytest.mark.parametrize("copies", [False, True])
def test_the_least_limit_of_the_pages_is_enough(sockets: int, copies: bool) -> None:
    demand = Demand(sockets // 2, sockets // 2, stores=20, copies=copies, upgrades=False)
    accounts = divide(LEAST_MB * MIB, BASE, demand)
    each_kind_passes(accounts)
    assert accounts.client_places >= min(sockets // 3, 100)


@pytest.mark.parametrize("mb", [64, 80, 192])
def test_two_processes_of_an_upgrade_have_half_each(mb: int) -> None:
    def divided(upgrades: bool) -> Accounts:
        return divide(mb * MIB, BASE, Demand(192, 150, stores=20, copies=True, upgrades=upgrades))

    alone, beside = divided(False), divided(True)
    assert beside.beside_another and not alone.beside_another
    assert beside.memory.limit <= alone.memory.limit / 2
    copies = alone.memory.account("copies").limit
    assert beside.memory.account("copies").limit <= copies <= mb * MIB / 8
    beside.memory.borrow(beside.memory.limit)  # what the other process gives up with its connections


def test_too_little_memory_is_refused_at_the_start_with_the_least_that_will_do(tmp_path: Path) -> None:
    archive = Archive()
    archive.addresses = {store: "127.0.0.1:1" for store, _, _ in archive.stores}
    limits = {"limits": {"cores": 1.0, "memory_mb": 20, "sockets": 256}}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration(archive, free_port()) | limits))
    env = os.environ | {"LB_CONFIG": str(path)}
    command = [sys.executable, "-m", "starlinghaven"]
    ended = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    assert "memory_mb: 20 is too little" in ended.stderr and "Traceback" not in ended.stderr
