"""Blocking HTTP calls to stand-ins, and helpers for tests."""

import http.client
import json
import time

BOUND_S = 30


def call(address, method, path, body=None):
    """Return the status and the JSON body of one call."""
    connection = http.client.HTTPConnection(address, timeout=BOUND_S)
    data = None if body is None else json.dumps(body)
    connection.request(method, path, data)
    answer = connection.getresponse()
    found = answer.status, json.loads(answer.read())
    connection.close()
    return found


class Stream:
    """Read server-sent events one by one."""

    def __init__(self, address, method, path, body=None, timeout_s=BOUND_S):
        self.connection = http.client.HTTPConnection(
            address, timeout=timeout_s
        )
        data = None if body is None else json.dumps(body)
        self.connection.request(method, path, data)
        self.answer = self.connection.getresponse()

    def next(self):
        """Return the next (event, data), or None at the end."""
        event = self.answer.readline().decode().strip()
        if not event:
            return None
        data = self.answer.readline().decode().strip()
        self.answer.readline()
        return event.removeprefix("event: "), json.loads(data[6:])

    def rest(self):
        """Return all remaining events."""
        return list(iter(self.next, None))


def tokens_of(events):
    """Return the tokens in order; check for gaps and skip duplicates."""
    tokens = []
    for event, data in events:
        if event == "token":
            assert data["index"] <= len(tokens)
            new = data["tokens"][len(tokens) - data["index"] :]
            tokens += new
    return tokens


def eventually(check):
    """Return the first true value of `check`; fail after `BOUND_S`."""
    deadline = time.monotonic() + BOUND_S
    while time.monotonic() < deadline:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError("the condition was not met in time")
