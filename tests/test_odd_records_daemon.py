"""Test that a daemon process goes on beside odd records of every kind."""

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path

from _daemon_deployment import (
    Deployment,
    encode_manifest,
    encode_upstream_entry,
)
from test_odd_records import (
    ODD_ADDRESSES,
    ODD_HOSTS,
    ODD_MANIFESTS,
    ODD_PARTS,
    ODD_UPSTREAMS,
)
from test_platform_decode import ENTRY

from balsamlift.platform._blocked_parts import PART_CHARACTERS
from balsamlift.platform._names import (
    BLOCKED_PARTS_TOPIC,
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    HOSTS_TOPIC,
    UPSTREAMS_TOPIC,
)

IP = "127.0.79.1"  # no other test listens there
DEADLINE_S = 40.0


def odd_records() -> Iterator[tuple[str, str, bytes]]:
    """Yield a topic, a key and an odd value for each kind of record."""
    for number, (name, value) in enumerate(ODD_UPSTREAMS.items()):
        yield UPSTREAMS_TOPIC, f"odd-{number}", value
        yield CONFIGURATION_TOPIC, f"{EVACUATION_PREFIX}{name}", value
        yield CONFIGURATION_TOPIC, f"odd {name}\0", value
    for number, address in enumerate(ODD_ADDRESSES):
        fields = {**ENTRY, "Service": "plain", "Address": address}
        yield UPSTREAMS_TOPIC, f"address-{number}", encode(fields)
    for number, value in enumerate(ODD_HOSTS.values()):
        yield HOSTS_TOPIC, f"odd-{number}", value
    for number, value in enumerate(ODD_PARTS.values()):
        yield BLOCKED_PARTS_TOPIC, f"{number:0{PART_CHARACTERS}}", value


def encode(fields: dict[str, object]) -> bytes:
    return json.dumps(fields).encode()


def test_a_daemon_serves_beside_odd_records_and_starts_with_them(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        deployment = Deployment(IP)
        store = deployment.store
        try:
            async with asyncio.timeout(DEADLINE_S):
                await deployment.start(tmp_path)
                assert (await deployment.call("r1")).status == 200
                for topic, key, value in odd_records():
                    store.topic(topic).append(key, value)
                for value in ODD_UPSTREAMS.values():
                    store.topic(UPSTREAMS_TOPIC).append("i-1", value)
                for value in ODD_MANIFESTS.values():
                    store.topic(CONFIGURATION_TOPIC).append(
                        CONFIGURATION_KEY, value
                    )
                reads = len(store.calls)
                while len(store.calls) < reads + 8:
                    await asyncio.sleep(0.05)
                assert (await deployment.call("r2")).status == 200
                assert deployment.process.returncode is None
                # A process that starts knows no entry or version before.
                store.topic(UPSTREAMS_TOPIC).append(
                    "i-1", encode_upstream_entry(deployment.replica)
                )
                store.topic(CONFIGURATION_TOPIC).append(
                    CONFIGURATION_KEY, encode_manifest("non_idempotent")
                )
                await deployment.restart()
                while await deployment.get("Readiness", "/readyz") != 200:
                    await asyncio.sleep(0.05)
                assert (await deployment.call("r3")).status == 200
        finally:
            await deployment.stop()

    asyncio.run(main())
