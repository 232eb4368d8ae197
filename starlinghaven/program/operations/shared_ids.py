"""The table of begun ids in a file in $TMPDIR, which both processes of an upgrade have mapped."""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
import secrets
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from starlinghaven.routing.begun_ids import BegunIds, TableError, size_for

log = logging.getLogger(__name__)

FILE = "starlinghaven-ids"
KEY_BYTES = 16
TRIES, PAUSE_S = 100, 0.0002  # of the lock, which is held for some microseconds


class _FileLock:
    """A lock between processes; the system releases it when its holder ends."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    @contextmanager
    def __call__(self) -> Iterator[None]:
        """Errors: TimeoutError, where the other process holds it for long: it may be stopped."""
        for _ in range(TRIES):
            with suppress(BlockingIOError, PermissionError):
                fcntl.lockf(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            time.sleep(PAUSE_S)
        else:
            raise TimeoutError("the table of ids is locked")
        try:
            yield
        finally:
            fcntl.lockf(self._fd, fcntl.LOCK_UN)


def _mapped(fd: int, size: int) -> memoryview:
    """The file's bytes; a new file gets this size, with all its blocks, so that no write to it can fail."""
    held = os.fstat(fd).st_size
    if not held:
        os.posix_fallocate(fd, 0, size)
    return memoryview(mmap.mmap(fd, held or size))


def _opened(path: Path, size: int, binds_ms: float) -> BegunIds:
    """The table in a file, made if it is not there. Errors: OSError, TableError, TimeoutError."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    lock = _FileLock(fd)
    try:
        with lock():
            buffer = _mapped(fd, size_for(size))
            if not any(buffer[:8]):
                BegunIds.format(buffer, secrets.token_bytes(KEY_BYTES))
        return BegunIds(buffer, binds_ms, lock)
    except BaseException:
        os.close(fd)
        raise


def begun_ids(folder: str, shared: bool, size: int, binds_ms: float) -> BegunIds:
    """The table of this process; `shared`: one that another process of an upgrade knows too.

    Without a folder that takes it, it is this process's own: another one does not know what has begun here.
    """
    if shared and folder:
        path = Path(folder) / FILE
        try:
            return _opened(path, size, binds_ms)
        except TableError:
            log.error("what is in %s is no table of ids: a new one is made", path)
            with suppress(OSError):
                path.unlink()
                return _opened(path, size, binds_ms)
        except (OSError, TimeoutError, ValueError) as error:
            log.error("ids that have begun can't be shared with another process: %s", error)
    return BegunIds.make(size, secrets.token_bytes(KEY_BYTES), binds_ms)
