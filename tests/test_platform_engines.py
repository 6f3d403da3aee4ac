"""Test reading the reports of engines."""

import asyncio
from typing import Any, cast

import pytest

from balsamlift._http import Answer
from balsamlift.peers import Upstream
from balsamlift.platform._engines import PlatformEngines
from balsamlift.platform._names import HEADERS
from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    UpstreamHttp,
)

ENGINE = Upstream(
    name="e1",
    pool="model",
    kind="service",
    address="127.0.0.1:9",
    failure_domain="north",
)


class AnsweringClient:
    """Return the same answer to each call."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer

    async def call(self, *_: Any, **__: Any) -> Answer:
        return self._answer


@pytest.mark.parametrize(
    ("header", "state", "is_leaving"),
    [
        ("1", "ready", True),
        ("", "draining", True),
        ("soon", "ready", True),
        ("", "", False),
    ],
)
def test_a_report_says_in_its_head_or_body_that_the_engine_is_leaving(
    header: str, state: str, is_leaving: bool
) -> None:
    headers = {HEADERS.leaving: header} if header else {}
    body = b'{"Runs":[],"LifecycleState":"%s"}' % state.encode()
    http = cast(UpstreamHttp, AnsweringClient(Answer(200, headers, body)))
    report = asyncio.run(PlatformEngines(http).report(ENGINE))
    assert report.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (404, CopyRejectedError),
        (409, CopyRejectedError),
        (429, CopyRejectedError),
        (500, CopyError),
        (503, CopyRefusedError),
    ],
)
def test_a_failed_copy_tells_whether_the_run_may_have_stopped(
    status: int, expected: type[CopyError]
) -> None:
    http = cast(UpstreamHttp, AnsweringClient(Answer(status, {}, b"")))
    engines = PlatformEngines(http)
    with pytest.raises(CopyError) as raised:
        asyncio.run(engines.copy(ENGINE, "r1", ENGINE, stop=True))
    assert raised.type is expected
