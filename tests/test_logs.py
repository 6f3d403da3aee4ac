from __future__ import annotations

import io
import json
from collections.abc import Iterator
from datetime import datetime

import pytest
from loguru import logger

from balsamlift import logs


@pytest.fixture(autouse=True)
def default_logs() -> Iterator[None]:
    yield
    logs.configure()


def test_text_lines_carry_host_and_part() -> None:
    sink = io.StringIO()
    logs.configure("INFO", sink=sink, host="entry-1")
    logger.bind(part="peers").info("Peer {} is silent.", "entry-2")
    logger.bind(part="peers").debug("Not shown.")
    (line,) = sink.getvalue().splitlines()
    assert line.endswith("entry-1 peers: Peer entry-2 is silent.")
    assert "INFO" in line


def test_json_lines_hold_one_object_each() -> None:
    sink = io.StringIO()
    logs.configure("DEBUG", json=True, sink=sink, host="entry-1")
    log = logger.bind(part="log")
    log.debug("Reading on.")
    try:
        raise KeyError("offset")
    except KeyError:
        log.exception("Reading failed.")
    first, second = map(json.loads, sink.getvalue().splitlines())
    assert datetime.fromisoformat(first.pop("time")).tzinfo is not None
    assert first == {
        "level": "DEBUG",
        "part": "log",
        "host": "entry-1",
        "message": "Reading on.",
        "error": "",
    }
    assert second["error"] == "KeyError: 'offset'"


@pytest.mark.parametrize("as_json", [False, True])
def test_a_line_end_in_a_message_starts_no_new_line(as_json: bool) -> None:
    sink = io.StringIO()
    logs.configure("INFO", json=as_json, sink=sink)
    logger.info("Bad kind {}.", "report\n2026 INFO entry-1 peers: forged")
    assert len(sink.getvalue().splitlines()) == 1


def test_a_traceback_shows_no_local_values() -> None:
    sink = io.StringIO()
    logs.configure("INFO", sink=sink)
    token = "bearer-4711"
    try:
        int(token[:0])
    except ValueError:
        logger.exception("No number.")
    assert "ValueError" in sink.getvalue()
    assert "4711" not in sink.getvalue()
