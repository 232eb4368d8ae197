"""The configuration that the platform hands to the program."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from starlinghaven import interface as i
from starlinghaven.benchlink import read_settings
from starlinghaven.protocol import ProtocolError, changelog, numbers
from starlinghaven.transport.listener import split_address

MIB = 1024 * 1024
MOST_MEMORY_MB = 2**24
MOST_SOCKETS = 2**20
MOST_STREAMS = 2**20
MOST_IDLE_MS = 86_400_000.0  # a day
MOST_RATE = 1e12  # bytes a second of a link
NAME = re.compile(r"[!-+\--<>-~]+")  # printable ASCII without what parts fields: space, comma, equals sign


class ConfigError(Exception):
    """The configuration can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    seed: int
    memory_bytes: int
    sockets: int
    log_address: str
    last: int  # number of the last event known at the start
    known: tuple[tuple[int, changelog.News], ...]
    settings: i.Settings
    classes: tuple[str, ...]
    streams: int
    idle_s: float
    flow: float = 0.0  # bytes a second of one transfer of an own copy, and of all together
    link: float = 0.0
    console: str = ""  # address of the operators' console
    passed: int | None = None  # descriptor of the clients' listening socket, where the platform holds it
    peer_listen: str = ""  # address on which other proxies' datagrams come in; empty: none are sent
    peers: tuple[str, ...] = ()  # addresses of all proxies, in the order of their numbers
    own_number: int = 0  # which of them is this one
    folder: str = ""  # what may be written, shared with the process that takes this one's place

    @property
    def dial_s(self) -> float:
        """Seconds in which a connection to a store must be up."""
        return self.settings.dial_ms / 1000


def load(env: Mapping[str, str]) -> Config:
    """Reads the file that LB_CONFIG names; LB_NAME and LB_LISTEN go before what it says."""
    if not (path := env.get("LB_CONFIG")):
        raise ConfigError("LB_CONFIG names no file")
    try:
        raw = json.loads(Path(path).read_text())
        return parse(raw, env)
    except (OSError, ValueError, ProtocolError) as error:
        raise ConfigError(f"{path}: {error}") from error
    except (LookupError, TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from error


def _peers(raw: dict[str, Any], settings: dict[str, Any]) -> dict[str, Any]:
    """Where other proxies are, if the settings allow datagrams between them."""
    listen, peers = raw.get("peer_listen") or "", raw.get("peers") or []
    if not settings.get("PolicyLimits", {}).get("Peers", False) or not listen or len(peers) < 2:
        return {}
    for address in (listen, *peers):
        split_address(address)
    number = int(settings.get("Me", 0))
    if not 0 <= number < len(peers):
        raise ValueError(f"peers: {len(peers)} addresses, and this is number {number}")
    return {"peer_listen": listen, "peers": tuple(peers), "own_number": number}


def _above_zero(fields: dict[str, Any], name: str, usual: float, most: float) -> float:
    """A limit. Errors: ValueError, with its name, unless it is above 0 and at most `most`."""
    try:
        number = numbers.finite(fields.get(name, usual), most)
    except ProtocolError as error:
        raise ValueError(f"{name}: {error}") from error
    if not number:
        raise ValueError(f"{name}: 0 is not possible")
    return number


def _class_name(name: object) -> str:
    """A class's name. Errors: ValueError for one that no store can be told: it would part the fields."""
    if not isinstance(name, str) or not NAME.fullmatch(name):
        raise ValueError(f"Classes: Name: can't be told to stores: {numbers.shown(name)}")
    return name


def parse(raw: dict[str, Any], env: Mapping[str, str]) -> Config:
    """The configuration in a file's JSON. Errors: ValueError, ProtocolError, and those of wrong types."""
    settings, limits = raw["settings"], raw.get("limits", {})
    listen, log_address = env.get("LB_LISTEN") or raw["listen"], raw.get("changelog") or ""
    console, passed = env.get("LB_CONSOLE") or raw.get("console") or "", env.get("LB_PASSED_SOCKET") or ""
    if passed and not passed.isdecimal():
        raise ValueError(f"LB_PASSED_SOCKET: not a descriptor: {passed!r}")
    for address in filter(None, (listen, log_address, console)):
        split_address(address)
    known = raw.get("known") or {}
    policy, told = settings.get("PolicyLimits", {}), read_settings(settings)
    i.validate(told)
    return Config(
        name=env.get("LB_NAME") or raw["name"],
        listen=listen,
        seed=int(str(raw.get("seed", "0")), 16),
        memory_bytes=int(_above_zero(limits, "memory_mb", 192, MOST_MEMORY_MB) * MIB),
        sockets=int(_above_zero(limits, "sockets", 1024, MOST_SOCKETS)),
        log_address=log_address,
        last=numbers.integer(known.get("seq", 0), numbers.MOST_EVENT),
        known=tuple(changelog.read_known(known, settings["Zones"], settings["Kinds"])),
        settings=told,
        classes=tuple(_class_name(c["Name"]) for c in settings["Classes"]),
        streams=int(_above_zero(policy, "StreamsPerConn", 100, MOST_STREAMS)),
        idle_s=_above_zero(policy, "IdleCloseMs", 15_000.0, MOST_IDLE_MS) / 1000,
        flow=numbers.finite(raw.get("flow_bytes_per_s") or 0.0, MOST_RATE),
        link=numbers.finite(raw.get("link_bytes_per_s") or 0.0, MOST_RATE),
        console=console,
        passed=int(passed) if passed else None,
        folder=env.get("TMPDIR", ""),
        **_peers(raw, settings),
    )
