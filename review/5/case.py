"""Case 5: a request that has run is answered with the promise that it hasn't.

A replica runs a request and then fails it with a 503 of its own, without
`X-Not-Executed`.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

import attrs

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent / "src")]

import stand_ins as st  # noqa: E402

from balsamlift.platform._names import HEADERS  # noqa: E402
from balsamlift.testing.platform import KeyedStore  # noqa: E402
from balsamlift.testing.relay import (  # noqa: E402
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

SERVICE = "tracker-app"
HOSTS = 3
REPLICAS = 8
CONSUMERS = 6
ORDERS_EACH = 150
RETRIES = 1  # of a consumer, as on the sheet
WORK_S = 0.02
# `srv_grey`: one of eight replicas, where a share of .14 may be, fails that
# part of its requests, where .45 may be.
GREY_REPLICAS = 1
FAILED_PART = 0.4
PROMISES = (408, 421, 429, 503)


@attrs.define
class Attempt:
    """One attempt of a consumer, which is a request of its own."""

    request_id: str
    order: str
    status: int = 0
    runs: int = 0


class Case:
    """Three hosts and eight replicas, one of which is grey."""

    def __init__(self, record: st.Record, directory: Path) -> None:
        """Prepare; `play` starts everything."""
        self._record = record
        self._directory = directory
        self._prefix = st.free_network()
        self._store = KeyedStore(f"{self._prefix}.250")
        self._attempts: dict[str, Attempt] = {}
        self._numbers = itertools.count()
        self._random = random.Random(5)
        self._runs_of_orders: dict[str, int] = {}

    async def play(self) -> list[str]:
        """Return the ways in which the rule was broken."""
        await self._store.start()
        for number in range(REPLICAS):
            await self._start_replica(number)
        routes = [st.route("/status/", "non_idempotent", SERVICE)]
        services = [{"Name": SERVICE, "MaxConnections": 100}]
        st.configure(self._store, st.manifest(1, routes, services))
        hosts = [
            st.Host(
                f"edge-{number}",
                "hall-kl",
                f"{self._prefix}.{number}",
                self._store.address,
                self._directory,
            )
            for number in range(1, HOSTS + 1)
        ]
        try:
            for host in hosts:
                await host.start()
            for host in hosts:
                await host.wait_until_ready()
            await asyncio.sleep(2.0)
            await asyncio.gather(
                *(self._consume(hosts, n) for n in range(CONSUMERS))
            )
            await asyncio.sleep(1.0)
        finally:
            for host in hosts:
                await host.stop()
        return self._judge()

    async def _start_replica(self, number: int) -> None:
        is_grey = number < GREY_REPLICAS and st.has_trouble()
        replica = ReplicaStandIn(
            f"i-{number}",
            SERVICE,
            HEADERS,
            self._behave(f"i-{number}", is_grey=is_grey),
            ip=f"{self._prefix}.252",
        )
        await replica.start()
        registration = st.Registration(replica, "hall-kl")
        registration.add(self._store, lambda: replica.address)
        registration.start()

    def _behave(self, name: str, *, is_grey: bool):
        async def behave(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            request_id = request.headers[HEADERS.request_id]
            attempt = self._attempts[request_id]
            attempt.runs += 1
            order = request.body.decode()
            self._runs_of_orders[order] = (
                self._runs_of_orders.get(order, 0) + 1
            )
            self._record.write(f"{request_id} runs {order} at {name}")
            await asyncio.sleep(WORK_S)
            if is_grey and self._random.random() < FAILED_PART:
                self._record.write(
                    f"{request_id} is failed with 503 by {name}"
                )
                await connection.answer(request, b"no connection left", 503)
            else:
                await connection.answer(request, b"done")

        return behave

    async def _consume(self, hosts: list[st.Host], number: int) -> None:
        for count in range(ORDERS_EACH):
            order = f"order-{number}-{count}"
            for _ in range(1 + RETRIES):
                status = await self._send(self._random.choice(hosts), order)
                if status not in PROMISES:
                    break  # nothing promises that it has not run
                await asyncio.sleep(0.05)

    async def _send(self, host: st.Host, order: str) -> int:
        attempt = Attempt(f"b{next(self._numbers):06x}", order)
        self._attempts[attempt.request_id] = attempt
        reader, writer = await host.connect()
        path = f"/status/{order}"
        self._record.write(
            f"{attempt.request_id} sent to {host.name} for {order}"
        )
        writer.write(
            st.request_bytes(path, attempt.request_id, body=order.encode())
        )
        answer = await st.read_answer(reader)
        writer.close()
        attempt.status = answer.status
        not_run = HEADERS.not_executed.lower() in answer.headers
        self._record.write(
            f"{attempt.request_id} answered {answer.status}"
            + (", X-Not-Executed" if not_run else "")
        )
        return answer.status

    def _judge(self) -> list[str]:
        twice = [o for o, runs in self._runs_of_orders.items() if runs > 1]
        self._record.write(
            f"{len(self._attempts)} attempts for "
            f"{CONSUMERS * ORDERS_EACH} orders; {len(twice)} orders were "
            "carried out twice, as their consumers trusted the promise"
        )
        return [
            f"{attempt.request_id} ran and was answered {attempt.status}"
            for attempt in self._attempts.values()
            if attempt.status in PROMISES and attempt.runs
        ]


async def play(record: st.Record, directory: Path) -> list[str]:
    """Play the case."""
    return await Case(record, directory).play()


if __name__ == "__main__":
    st.run_case(FOLDER, play)
