"""Connections of clients, and the memory that they make a process hold.

All listeners of a process share one `ClientMemory`. Each connection has a
`Holding` in it, which counts what was received, what is kept while a request
runs, and an answer until its client has read it.
"""

from balsamlift.clients._answer_body import AnswerBody
from balsamlift.clients._dropping import drop
from balsamlift.clients._errors import BodyLimitError, ClientMemoryError
from balsamlift.clients._fair_counted_stream import (
    FairCountedStream,
    open_stream,
)
from balsamlift.clients._limits import ClientLimits
from balsamlift.clients._memory import HEADER_BYTES, ClientMemory, Holding
from balsamlift.clients._stream import CountedStream
from balsamlift.clients._web_server import WebServer

__all__ = [
    "HEADER_BYTES",
    "AnswerBody",
    "BodyLimitError",
    "ClientLimits",
    "ClientMemory",
    "ClientMemoryError",
    "CountedStream",
    "FairCountedStream",
    "Holding",
    "WebServer",
    "drop",
    "open_stream",
]
