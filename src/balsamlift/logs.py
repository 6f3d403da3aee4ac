"""Configure the logging of a process."""

from __future__ import annotations

import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any, TextIO

import attrs
import msgspec
from loguru import logger

from balsamlift._log_sink import LogSink

if TYPE_CHECKING:
    from loguru import Message, Record

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <8} "
    "{extra[host]} {extra[part]}: {message}"  # loguru adds the exception
)


@attrs.frozen
class LogLine:
    """Hold one line in JSON format."""

    time: str  # ISO 8601, UTC
    level: str
    part: str
    host: str
    message: str
    error: str = ""


@attrs.frozen
class DetailedLogLine(LogLine):
    """Hold one line in JSON format with the keywords of its log call."""

    details: dict[str, Any] = attrs.field(factory=dict)


def configure(
    level: str = "INFO",
    json: bool = False,
    sink: TextIO | LogSink | None = None,
    host: str = "-",
) -> None:
    """Write all logs of this process to `sink`, stderr by default.

    A part of the program logs through `logger.bind(part="peers")`; the
    part is the prefix of its lines. With `json` each line is a `LogLine`
    or a `DetailedLogLine`.
    """
    stream = sys.stderr if sink is None else sink
    logger.remove()
    logger.configure(
        extra={"part": "main", "host": host}, patcher=_keep_on_one_line
    )
    if not json:
        logger.add(
            stream,
            level=level,
            format=_FORMAT,
            backtrace=False,
            diagnose=False,  # tracebacks must not show callers' values
        )
        return

    def write(message: Message) -> None:
        line = msgspec.json.encode(
            _build_log_line(message.record), enc_hook=str
        )
        stream.write(line.decode() + "\n")
        stream.flush()

    logger.add(write, level=level, format="{message}")


def _keep_on_one_line(record: Record) -> None:
    """Escape line ends, as a message may contain a caller's text."""
    message = record["message"]
    if not message.isprintable():
        record["message"] = message.encode("unicode_escape").decode("ascii")


def _build_log_line(record: Record) -> LogLine:
    exception = record["exception"]
    error = ""
    if exception is not None and exception.type is not None:
        error = f"{exception.type.__name__}: {exception.value}"
    details = {
        name: value
        for name, value in record["extra"].items()
        if name not in ("part", "host")
    }
    line = LogLine(
        time=record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
        level=record["level"].name,
        part=str(record["extra"]["part"]),
        host=str(record["extra"]["host"]),
        message=record["message"],
        error=error,
    )
    if not details:
        return line
    return DetailedLogLine(**attrs.asdict(line), details=details)
