"""The configuration: what is read, and plain words on what can't be used."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio

from starlinghaven.program import config
from starlinghaven.program.daemon import Daemon, divided
from starlinghaven.program.memory_plan import INTERPRETER
from starlinghaven.program.operations.operator import Operator
from tests.loopback import ROOT, STORES, Archive, configuration


def raw() -> dict[str, Any]:
    archive = Archive()
    archive.addresses = {store: "127.0.0.1:1" for store, _, _ in STORES}
    return configuration(archive, 8443, "127.0.0.1:4222")


def test_all_of_it_is_read_and_the_environment_goes_before_it() -> None:
    got = config.parse(raw(), {"LB_NAME": "n9", "LB_LISTEN": "127.0.0.2:9"})
    assert (got.name, got.listen, got.log_address, got.last) == ("n9", "127.0.0.2:9", "127.0.0.1:4222", 1)
    assert (got.memory_bytes, got.sockets, got.streams) == (192 << 20, 1024, 100)
    assert (got.seed, got.dial_s, got.idle_s) == (0x8C1F30D27A5BE964, 0.4, 15.0)
    assert got.classes == ("pieces", "fiches", "depot") and len(got.known) == 1


@pytest.mark.parametrize(
    "change",
    [{"listen": "here"}, {"changelog": "x:y"}, {"seed": "zz"}, {"settings": None}, {"limits": 3},
     {"known": {"seq": 1, "results": [{"seq": 1, "fleet": {}}]}}],
)  # fmt: skip
def test_what_can_not_be_used_ends_with_a_plain_message(change: dict[str, Any], tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw() | change))
    with pytest.raises(config.ConfigError):
        config.load({"LB_CONFIG": str(path)})


@pytest.mark.parametrize(
    "where, field",
    [("Classes", "Effect"), ("Classes", "KeyScope"), ("", "WeightKind"), ("", "RegistryMode"),
     ("FamilyInfo", "Tells")],
)  # fmt: skip
def test_a_word_of_the_settings_that_is_not_known_is_refused_by_the_name_of_its_field(
    where: str, field: str, tmp_path: Path
) -> None:
    told = json.loads(json.dumps(raw()))
    part = told["settings"][where] if where else told["settings"]
    (part[-1] if where == "Classes" else part)[field] = "sometimes"
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    with pytest.raises(config.ConfigError, match=f"{field}: 'sometimes' is none of"):
        config.load({"LB_CONFIG": str(path)})


PEERS = {"peer_listen": "127.0.0.9:7946", "peers": ["10.3.0.1:7946", "10.3.0.2:7946"]}


def with_peers(allowed: bool = True, me: int = 1, **more: Any) -> dict[str, Any]:
    told = raw() | PEERS | more
    limits = told["settings"]["PolicyLimits"] | {"Peers": allowed}
    return told | {"settings": told["settings"] | {"Me": me, "PolicyLimits": limits}}


def test_peers_are_taken_only_where_the_settings_allow_them() -> None:
    got = config.parse(with_peers(), {})
    assert (got.peer_listen, got.own_number, len(got.peers)) == ("127.0.0.9:7946", 1, 2)
    for none in (with_peers(allowed=False), with_peers(peers=[]), with_peers(peer_listen="")):
        assert config.parse(none, {}).peer_listen == ""


@pytest.mark.parametrize("change", [{"me": 2}, {"peers": ["here", "there"]}, {"peer_listen": "x"}])
def test_peers_that_can_not_be_used_end_with_a_plain_message(change: dict[str, Any], tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(with_peers(**change)))
    with pytest.raises(config.ConfigError):
        config.load({"LB_CONFIG": str(path)})


@pytest.mark.parametrize("text", [None, "{", "{}"])
def test_the_program_says_what_is_wrong_and_exits_with_2(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    env = os.environ | {"LB_CONFIG": str(path)}
    command = [sys.executable, "-m", "starlinghaven"]
    ended = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    assert ended.stderr.startswith("starlinghaven: ") and "Traceback" not in ended.stderr


@pytest.mark.parametrize("sockets", [256, 1024])
def test_places_for_usual_clients_and_stores_fit_into_the_descriptors(sockets: int) -> None:
    """Usual clients hold a third of all at most, and others come on top of them."""

    async def made() -> Daemon:
        cfg = config.parse(raw() | {"limits": {"sockets": sockets}}, {})
        return Daemon(cfg, Operator(), divided(cfg, Operator(), INTERPRETER))

    daemon = trio.run(made)
    clients, stores = daemon._listeners[0].most, daemon.core.caches.pool._most
    assert clients >= sockets // 3 + 16 and stores >= 64 and clients + stores <= sockets - 24
