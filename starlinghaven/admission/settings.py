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

from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import ckdl

from starlinghaven.admission.policy import Limits

WHOLE = {"per_address", "per_prefix", "prefix_v4", "prefix_v6", "remember_most", "track_most"}
NAMES = {f.name.replace("_", "-"): f.name for f in fields(Limits) if f.name not in ("places", "known")}


class AdmissionSettingsError(ValueError):
    """An admission file that can't be used; the message says where and why."""


def load(path: str | Path) -> Limits:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise AdmissionSettingsError(f"{path}: can't be read: {error}") from error
    try:
        return load_text(text)
    except AdmissionSettingsError as error:
        raise AdmissionSettingsError(f"{path}: {error}") from error


def load_text(text: str) -> Limits:
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise AdmissionSettingsError(f"not KDL: {error}") from error
    names = [n.name for n in document.nodes]
    if names != ["admission"]:
        raise AdmissionSettingsError(f"want exactly one 'admission' node at the top, found {names}")
    given: dict[str, Any] = {}
    for node in document.nodes[0].children:
        name = node.name
        if node.children or node.properties:
            raise AdmissionSettingsError(f"admission.{name}: takes values only")
        if name == "known":
            if not node.args or not all(isinstance(a, str) for a in node.args):
                raise AdmissionSettingsError(
                    "admission.known: want one or more addresses or networks, quoted"
                )
            given["known"] = (*given.get("known", ()), *node.args)
            continue
        if name not in NAMES:
            raise AdmissionSettingsError(
                f"admission.{name}: unknown setting; known: {', '.join(sorted(NAMES))}"
            )
        attribute = NAMES[name]
        if attribute in given:
            raise AdmissionSettingsError(f"admission.{name}: given twice")
        if len(node.args) != 1:
            raise AdmissionSettingsError(f"admission.{name}: want one value")
        value = node.args[0]
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
            raise AdmissionSettingsError(f"admission.{name}: want a number, got {value!r}")
        if attribute in WHOLE and value != int(value):
            raise AdmissionSettingsError(f"admission.{name}: want a whole number")
        given[attribute] = int(value) if attribute in WHOLE else float(value)
    limits = replace(Limits(), **given)
    if wrong := limits.check():
        raise AdmissionSettingsError("; ".join(wrong))
    return limits
