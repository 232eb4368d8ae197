"""The deploy file: what it names is there, and `sim` starts and ends as the platform starts it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from tests.loopback import ROOT, Archive, configuration, free_port

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_the_files_that_it_names_are_there() -> None:
    for name in DEPLOY["policy"] + DEPLOY["node"]:
        assert (ROOT / name).exists(), name
    layers = {p.name for p in (ROOT / "starlinghaven").iterdir() if (p / "__init__.py").exists()}
    assert {Path(n).name for n in DEPLOY["node"]} >= layers - {"plugin", "standins", "lab", "decisions"}
    decisions = {p.name for p in (ROOT / "starlinghaven" / "decisions").glob("*.py")} - {"__init__.py"}
    assert {Path(n).name for n in DEPLOY["policy"]} >= decisions


def test_both_commands_start_the_modules_that_are_there(tmp_path: Path) -> None:
    """The commands as written, but for the interpreter of the environment that `build` makes."""
    for key, code in (("run", 2), ("sim", 0)):
        command = DEPLOY[key].replace(".venv/bin/python", sys.executable)
        assert command != DEPLOY[key]
        env = {k: v for k, v in os.environ.items() if k != "LB_CONFIG"} | {"TMPDIR": str(tmp_path)}
        ended = subprocess.run(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, capture_output=True,
            text=True, timeout=60,
        )  # fmt: skip
        assert ended.returncode == code and "Traceback" not in ended.stderr
        assert ("LB_CONFIG" in ended.stderr) == (key == "run")


def test_signals_that_come_while_the_program_loads_neither_end_it_nor_are_lost(tmp_path: Path) -> None:
    archive, port = Archive(), free_port()
    archive.addresses = {store: f"127.0.0.1:{n + 1}" for n, (store, _, _) in enumerate(archive.stores)}
    (tmp_path / "config.json").write_text(json.dumps(configuration(archive, port)))
    env = os.environ | {"LB_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    command = DEPLOY["run"].replace(".venv/bin/python", sys.executable)
    log = tmp_path / "log"
    with log.open("w") as sink:
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stderr=sink)
    try:
        time.sleep(0.02)  # the shell has run its trap
        deadline = time.monotonic() + 30
        while " ready " not in log.read_text() and time.monotonic() < deadline:
            assert process.poll() is None, log.read_text()
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGUSR1)
            time.sleep(0.002)
        time.sleep(0.3)
        assert process.poll() is None
        assert "configuration reloaded" in log.read_text() and "counters" in log.read_text()
    finally:
        process.kill()
        process.wait()


def test_requirements_are_pinned() -> None:
    for name in ("requirements.txt", "requirements-dev.txt", "requirements-lab.txt"):
        lines = [s for s in (ROOT / name).read_text().splitlines() if s and not s.startswith(("#", "-r "))]
        assert lines and all("==" in line for line in lines)
