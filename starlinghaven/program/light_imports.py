"""Loads the event loop without the system's TLS library, which nothing here uses: others end TLS in front.

trio imports `ssl` for streams of its own, and `hashlib` prefers that library to the interpreter's own code.
It would take some 4.5 MB of every process.
"""

from __future__ import annotations

import sys
from types import ModuleType

LEFT_OUT = ("ssl", "_hashlib")


def load_event_loop() -> None:
    """Imports trio. Other modules that import `ssl` later get the real one."""
    if any(name in sys.modules for name in LEFT_OUT):
        return  # it is there already
    sys.modules["ssl"] = ModuleType("ssl")
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # hashlib takes this for a missing module
    try:
        import hashlib  # noqa: F401

        import trio  # noqa: F401
    finally:
        for name in LEFT_OUT:
            del sys.modules[name]
