"""The operator's admission limits in KDL (read with ckdl). Every child of `admission` is optional::

    admission {
        reserve 0.1              // share of places kept for known clients
        per-address 64
        per-prefix 256
        prefix-v4 24
        prefix-v6 56
        rate-per-s 200.0
        burst 400.0
        remember-s 600.0         // a client that completed a request is known for so long
        remember-most 65536
        track-most 65536
        known "10.20.0.0/16" "2001:db8:1::/48"   // the allow-list: addresses or networks
    }

`places` is not set here: the program derives it from its descriptor limit. `load_text` raises
`AdmissionSettingsError` naming the setting and the reason; a file that breaks a rule of
`Limits.check` is refused whole.
"""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path
from typing import Any

from starlinghaven import kdl
from starlinghaven.admission.policy import Limits

WHOLE = {"per_address", "per_prefix", "prefix_v4", "prefix_v6", "remember_most", "track_most"}
NAMES = {f.name.replace("_", "-"): f.name for f in fields(Limits) if f.name != "places"}


class AdmissionSettingsError(ValueError):
    """An admission file that can't be used; the message says where and why."""


def load(path: str | Path) -> Limits:
    """Reads and checks a file. Errors: AdmissionSettingsError (also for a file that can't be read)."""
    return kdl.read(path, load_text, AdmissionSettingsError)


def load_text(text: str) -> Limits:
    """Parses KDL text into checked limits. Errors: AdmissionSettingsError."""
    return kdl.limits(text, Limits(), "admission", NAMES, WHOLE, AdmissionSettingsError, {"known": _known})


def _known(node: Any, earlier: tuple[str, ...] | None) -> tuple[str, ...]:
    """May stand more than once; all of them count."""
    if node.properties or not node.args or not all(isinstance(a, str) for a in node.args):
        raise AdmissionSettingsError("admission.known: want one or more addresses or networks, quoted")
    return (*(earlier or ()), *node.args)
