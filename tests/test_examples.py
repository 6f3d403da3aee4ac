"""The settings and presets of both example deployments are consistent."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import TypeVar

import attrs
import pytest

from balsamlift._loading import load
from balsamlift.presets import Preset
from balsamlift.presets._check import check_pools, check_preset
from balsamlift.settings import Settings
from balsamlift.testing._settings import (
    EngineSettings,
    PlatformSettings,
    ServiceSettings,
)

T = TypeVar("T")

EXAMPLES = Path(__file__).parent.parent / "examples"
HOSTS = {"warisan-pulih": 7, "mitad-del-mundo": 9}
NON_IDEMPOTENT_KINDS = {
    "warisan-pulih": {"tag"},
    "mitad-del-mundo": {"claim", "refund"},
}
PRESETS = ("maintenance", "ordinary", "peak")

deployments = pytest.mark.parametrize("deployment", HOSTS)


def load_hosts(deployment: str) -> list[Settings]:
    files = sorted((EXAMPLES / deployment / "hosts").glob("*.json5"))
    return [load(file, Settings) for file in files]


def load_preset(deployment: str, name: str) -> Preset:
    file = EXAMPLES / deployment / "presets" / f"{name}.json5"
    return check_preset(load(file, Preset), str(file))


def load_stand_ins(deployment: str, pattern: str, cls: type[T]) -> list[T]:
    files = sorted((EXAMPLES / deployment / "stand-ins").glob(pattern))
    return [load(file, cls) for file in files]


@deployments
def test_hosts_cover_three_failure_domains(deployment: str) -> None:
    hosts = load_hosts(deployment)
    assert len(hosts) == HOSTS[deployment]
    assert len({host.host for host in hosts}) == len(hosts)
    assert len({host.failure_domain for host in hosts}) == 3


def test_no_address_is_used_twice() -> None:
    used: Counter[str] = Counter()
    for deployment in HOSTS:
        for host in load_hosts(deployment):
            used[host.callers_address] += 1
            used[host.operators_address] += 1
            used[host.peers_address] += 1
        for engine in load_stand_ins(
            deployment, "engine-*.json5", EngineSettings
        ):
            used[engine.address] += 1
        for service in load_stand_ins(
            deployment, "service-*.json5", ServiceSettings
        ):
            used[service.address] += 1
        (platform,) = load_stand_ins(
            deployment, "platform.json5", PlatformSettings
        )
        used[platform.address] += 1
    assert all(address.startswith("127.0.") for address in used)
    assert used.most_common(1)[0][1] == 1


@deployments
@pytest.mark.parametrize("name", PRESETS)
def test_presets_fit_the_hosts(deployment: str, name: str) -> None:
    preset = load_preset(deployment, name)
    assert preset.name == name
    assert len(preset.workspaces) == 10
    non_idempotent = {
        k for k, kind in preset.kinds.items() if not kind.idempotent
    }
    assert non_idempotent == NON_IDEMPOTENT_KINDS[deployment]
    for host in load_hosts(deployment):
        check_pools(preset, host.pools)


@deployments
def test_presets_keep_the_longest_answer(deployment: str) -> None:
    limits = [
        {
            kind: served.max_tokens
            for kind, served in load_preset(deployment, name).kinds.items()
        }
        for name in PRESETS
    ]
    assert limits[0] == limits[1] == limits[2]


@deployments
def test_stand_ins_fit_the_hosts(deployment: str) -> None:
    pools = load_hosts(deployment)[0].pools
    platform_address = load_hosts(deployment)[0].platform.log_address
    ordinary = load_preset(deployment, "ordinary")
    engines = load_stand_ins(deployment, "engine-*.json5", EngineSettings)
    services = load_stand_ins(deployment, "service-*.json5", ServiceSettings)
    assert len(engines) == 5
    assert len(services) == 3
    for engine in engines:
        pool_preset = ordinary.pools[engine.pool]
        assert (engine.model, engine.version) == (
            pool_preset.model,
            pool_preset.version,
        )
        assert engine.checks_fence == pools[engine.pool].checks_fence
        assert engine.tells_by_key == pools[engine.pool].tells_by_key
        assert engine.platform_address == platform_address
    for service in services:
        assert pools[service.pool].kind == "service"
        assert service.platform_address == platform_address


@deployments
def test_hosts_differ_only_in_name_place_and_addresses(
    deployment: str,
) -> None:
    first, *others = load_hosts(deployment)
    for other in others:
        assert first == attrs.evolve(
            other,
            host=first.host,
            failure_domain=first.failure_domain,
            callers_address=first.callers_address,
            operators_address=first.operators_address,
            peers_address=first.peers_address,
        )
