"""Tests of the platform stand-in, run as a process."""

import http.client
import json
import threading
import time

import pytest
from _stand_in_calls import call, eventually

from balsamlift.testing import start_stand_in


@pytest.fixture
def start():
    """Return a function that starts platforms, closed after the test."""
    started = []

    def start_one(**settings):
        started.append(start_stand_in("platform", settings))
        return started[-1].address

    yield start_one
    for process in started:
        process.close()


def append(address, *records):
    body = {"records": list(records)}
    return call(address, "POST", "/v1/log/append", body)


def read(address, offset=0, **more):
    query = "&".join(f"{name}={value}" for name, value in more.items())
    path = f"/v1/log/read?from={offset}&{query}"
    return call(address, "GET", path)


def set_faults(address, **changes):
    assert call(address, "POST", "/control/faults", changes)[0] == 200


def test_records_get_offsets_and_are_read_in_order(start):
    address = start()
    assert append(address, "a", {"b": 1}) == (200, {"offsets": [0, 1]})
    assert append(address, "c") == (200, {"offsets": [2]})
    page = read(address, 1, limit=1)[1]
    assert (page["earliest"], page["next"]) == (0, 2)
    assert page["records"][0]["record"] == {"b": 1}
    assert read(address, 2)[1]["records"][0]["record"] == "c"
    assert read(address, 3)[1]["records"] == []


def test_waiting_read_returns_with_the_next_record(start):
    address = start()
    pages = []
    reader = threading.Thread(
        target=lambda: pages.append(read(address, 0, wait_ms=20_000)[1])
    )
    reader.start()
    append(address, "late")
    reader.join(30)
    assert pages[0]["records"][0]["record"] == "late"


@pytest.mark.parametrize(
    "settings", [{"log_retention_records": 2}, {"log_retention_ms": 1_000}]
)
def test_old_records_expire_by_number_and_age(start, settings):
    address = start(**settings)
    append(address, "a", "b")
    eventually(lambda: append(address, "c") and read(address)[1]["earliest"])
    page = read(address)[1]
    offsets = [record["offset"] for record in page["records"]]
    assert offsets == list(range(page["earliest"], page["next"]))


def test_appends_beyond_the_rate_limit_are_refused(start):
    address = start(log_appends_per_s=4.0)
    statuses = [append(address, i)[0] for i in range(20)]
    assert 429 in statuses
    accepted = statuses.count(200)
    assert read(address)[1]["next"] == accepted < 20


def test_log_that_is_down_answers_503_and_appends_nothing(start):
    address = start()
    set_faults(address, down=True)
    assert append(address, "a")[0] == 503
    assert read(address)[0] == 503
    set_faults(address, down=False)
    assert read(address)[1]["next"] == 0


@pytest.mark.parametrize("lost_answer", ["silent", "503"])
def test_append_with_a_lost_answer_takes_effect(start, lost_answer):
    address = start()
    set_faults(address, lose_answers=lost_answer)
    connection = http.client.HTTPConnection(address, timeout=0.5)
    body = json.dumps({"records": ["a"]})
    connection.request("POST", "/v1/log/append", body)
    if lost_answer == "503":
        assert connection.getresponse().status == 503
    else:
        with pytest.raises(TimeoutError):
            connection.getresponse()
    assert read(address)[1]["records"][0]["record"] == "a"


def test_late_append_takes_effect_after_its_caller_disconnects(start):
    address = start()
    set_faults(address, late_ms=500)
    connection = http.client.HTTPConnection(address, timeout=30)
    body = json.dumps({"records": ["a"]})
    connection.request("POST", "/v1/log/append", body)
    time.sleep(0.1)  # lets the request arrive; no check depends on it
    connection.close()
    assert read(address)[1]["next"] == 0
    eventually(lambda: read(address)[1]["next"] == 1)


def test_list_of_hosts_is_reported_with_a_lag(start):
    address = start(hosts_lag_ms=700)
    entry = {"role": "entry", "address": "127.0.0.1:1", "state": "live"}

    def names():
        hosts = call(address, "GET", "/v1/hosts")[1]["hosts"]
        return [host["name"] for host in hosts]

    assert call(address, "PUT", "/v1/hosts/h1", entry)[0] == 200
    assert names() == []
    eventually(lambda: names() == ["h1"])
    call(address, "DELETE", "/v1/hosts/h1")
    assert names() == ["h1"]
    set_faults(address, hosts_lag_ms=0)
    assert names() == []
    status, found = call(address, "PUT", "/v1/hosts/h", {"role": "none"})
    assert status == 400, found


def test_weight_loads_beyond_the_rate_limit_are_refused(start):
    address = start(weight_loads_per_s=5.0)
    statuses = []

    def load():
        statuses.append(call(address, "GET", "/v1/weights/m/1")[0])

    threads = [threading.Thread(target=load) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    counts = call(address, "GET", "/control/counts")[1]
    assert counts["weight_loads"] == {"m/1": statuses.count(200)}
    assert counts["weights_limited"] == statuses.count(429) > 0


def test_unknown_fault_is_refused_with_a_suggestion(start):
    status, found = call(start(), "POST", "/control/faults", {"dwn": True})
    assert status == 400
    assert "down" in found["detail"]


def test_wrong_settings_exit_with_code_2():
    with start_stand_in("platform", {"addres": "127.0.0.1:0"}) as process:
        assert process.wait() == 2
        assert "address" in process.output
