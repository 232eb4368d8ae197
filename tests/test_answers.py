"""How the engine's answers are told over HTTP."""

from __future__ import annotations

import pytest

from starlinghaven.program.fronts.signed import response
from starlinghaven.routing.types import Answer, Result


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (Answer(Result.SERVED, b"x", tag="a"), 200),
        (Answer(Result.UNCHANGED, tag="a"), 304),
        (Answer(Result.REFUSED, wait_ms=1500), 503),
        (Answer(Result.REFUSED, late=True), 504),
        (Answer(Result.REFUSED, lacking=True), 404),
        (Answer(Result.FAILED), 502),
        (Answer(Result.FAILED, late=True), 504),
    ],
)
def test_each_answer_has_its_status(answer: Answer, status: int) -> None:
    told = response(answer)
    assert told.status == status
    assert (("retry-after", "2") in told.headers) == (status == 503)
