"""The memory of a process as the system counts it, without the rights of its owner."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KB_PER_MB = 1024


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Resident memory in MB: now, and the most since the process's start."""

    now_mb: float
    peak_mb: float


def memory_of(pid: int) -> ProcessMemory:
    """The memory of a process (proc(5), status). Errors: OSError once it has ended."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = {name: rest.split() for name, _, rest in (line.partition(":") for line in lines)}
    if "VmHWM" not in fields:
        raise ProcessLookupError(f"process {pid} has ended")
    now_kb, peak_kb = (int(fields[name][0]) for name in ("VmRSS", "VmHWM"))
    return ProcessMemory(round(now_kb / KB_PER_MB, 1), round(peak_kb / KB_PER_MB, 1))
