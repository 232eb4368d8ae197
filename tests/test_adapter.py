"""The adapter: translation, and plain words on what is malformed."""

from __future__ import annotations

import io
import json
from pathlib import Path
from typing import Any

import pytest

from starlinghaven.benchlink import Link, main

SETUP: dict[str, Any] = {
    "Az": 1,
    "FleetSize": 2,
    "Kinds": ["cache", "parent", "origin"],
    "Classes": [{"Effect": "free", "GiveUpMs": 3000.0, "TargetMs": 300.0, "Novel": 1}],
    "FamilyInfo": {"RootKind": 2, "SecondTierKind": 1, "ZoneBalancers": [0, 2], "MayPassBy": True},
    "PolicyLimits": {"AttemptsCap": 4},
    "Rules": {"ColdFrom": 0.3, "ColdMs": 9000.0, "FallMs": 1500.0, "OverloadFactor": 2.0},
    "NewSetting": {},
}
POOL = {
    "msg": "Pool",
    "SetId": 0,
    "Items": [
        {"Store": "c", "Area": 1, "ClassOfHost": 0, "Phase": "healthy", "CapacityHint": 4},
        {"Store": "p", "Area": 0, "ClassOfHost": 1, "Phase": "healthy"},
        {"Store": "o", "Area": 0, "ClassOfHost": 2, "Phase": "healthy"},
    ],
}
START = [
    {"msg": "PowerOn", "Seed": 5, "Setup": SETUP},
    POOL,
    {"msg": "Targets", "How": "Persisted", "Rev": 1, "SetId": 0},
]
KNOCK = {"msg": "Knock", "Req": 9, "PatienceLeftMs": 900.0, "Group": 1, "ContentId": "00ab", "Kind": 0}


def line(*messages: dict[str, Any], n: int = 1) -> str:
    group = {"ProxyId": "proxy-0", "input": list(messages)}
    return json.dumps({"SimTimeMs": 50.0, "n": n, "groups": [group]})


def answer(*messages: dict[str, Any]) -> list[dict[str, Any]]:
    reply = json.loads(Link().batch(line(*START, *messages)))
    return [a for g in reply["groups"] for a in g["out"]]


def test_a_request_becomes_an_order_with_its_source() -> None:
    (got,) = answer(KNOCK)
    assert (got["msg"], got["Req"], got["Store"], got["MissFrom"]) == ("AnswerFrom", 9, "c", "p")


def test_unknown_events_fields_and_report_keys_are_skipped() -> None:
    ended = {"msg": "ReportBack", "Req": 9, "Code": "GOOD", "Final": True, "SendNo": 0, "Store": "c"}
    odd = {"msg": "Novelty", "Req": 1}
    assert len(answer(odd, KNOCK | {"Extra": 3}, ended | {"Gauge": {"rif": 1, "humidity": 7}})) == 1


@pytest.mark.parametrize(
    "text", ["{", "[]", "{}", '{"SimTimeMs":1,"n":1}', line({"msg": "PowerOn"}), line({"no": 1})]
)
def test_a_malformed_line_ends_the_adapter_with_a_plain_message(
    text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    sink = io.StringIO()
    assert main(io.StringIO(text + "\n"), sink) != 0
    said = capsys.readouterr().err
    assert said.startswith("starlinghaven: line 1: ") and "Traceback" not in said and sink.getvalue() == ""


def test_impossible_settings_are_named(capsys: pytest.CaptureFixture[str]) -> None:
    bad = SETUP | {"Rules": SETUP["Rules"] | {"ColdFrom": 0.0}}
    assert main(io.StringIO(line({"msg": "PowerOn", "Seed": 5, "Setup": bad}) + "\n"), io.StringIO()) != 0
    assert "cold_from" in capsys.readouterr().err


def test_a_failing_router_is_told_as_a_crash() -> None:
    (got,) = answer(KNOCK | {"Kind": 40})
    assert got["msg"] == "Crash" and "IndexError" in got["What"]


def test_the_decision_module_keeps_its_size() -> None:
    lines = (Path(__file__).parent.parent / "starlinghaven" / "router.py").read_text().splitlines()
    assert sum(bool(text.strip()) for text in lines) <= 740
    assert max(map(len, lines)) <= 110
