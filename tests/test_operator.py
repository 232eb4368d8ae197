"""The operator's file, the issuing command and the log's bound."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import jwt
import pytest
from cryptography.hazmat.primitives.asymmetric import ec

from starlinghaven.program import issue, logs
from starlinghaven.program.operations import operator
from tests.loopback import ROOT

LEAST = """
[signed]
listen = "127.0.0.1:1"
keys = "k"
algorithms = ["ES256"]
[[signed.route]]
path = "/a/{object}"
class = "pieces"
"""


def test_the_example_that_is_shipped_can_be_read() -> None:
    options = operator.load(str(ROOT / "deploy" / "operator.example.toml"))
    assert options.signed and options.agent and options.health
    receipts, pages, claims = options.signed.routes
    found = {"family": "17", "object": "7f3a9c21e0b4d655", "part": "3"}
    assert receipts.match("/receipts/17/7f3a9c21e0b4d655/3") == found
    assert pages.match("/receipts/17/x") is None and pages.match("/pages/17/") is None
    assert claims.match("/claims") == {} and claims.patience_ms == 2500


@pytest.mark.parametrize(
    ("old", "new"),
    [("ES256", "none"), ('["ES256"]', "[]"), ("{object}", "{novel}"), ('keys = "k"', ""), ("[signed]", "[")],
)
def test_a_file_that_can_not_be_used_is_named(old: str, new: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(LEAST)
    assert operator.load(str(path)).signed
    path.write_text(LEAST.replace(old, new))
    with pytest.raises(ValueError):
        operator.load(str(path))


def test_a_public_key_can_not_issue(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    private = ec.generate_private_key(ec.SECP256R1())
    public = json.loads(jwt.algorithms.ECAlgorithm.to_jwk(private.public_key()))
    path = tmp_path / "keys.json"
    path.write_text(json.dumps({"keys": [public | {"kid": "a", "alg": "ES256"}]}))
    assert issue.main(["--keys", str(path), "--kid", "a", "--uri", "https://x/y"]) == 2
    said = capsys.readouterr()
    assert "can't sign" in said.err and said.out == ""


def test_a_flood_of_lines_is_bounded_and_told() -> None:
    now = [0.0]
    bounded = logs.Bounded(lambda: now[0])

    def say(level: int = logging.INFO) -> str | None:
        record = logging.LogRecord("a", level, "", 0, "said %d", (1,), None)
        return record.getMessage() if bounded.filter(record) else None

    assert [say() for _ in range(logs.LINES + 7)].count("said 1") == logs.LINES
    assert say(logging.ERROR) == "said 1"
    now[0] = 1.5
    assert say() == "said 1 (before this, 7 lines were left out)" and say() == "said 1"
