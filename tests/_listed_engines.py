"""Test double for `Upstreams` with live engines of one pool."""

from collections.abc import Callable

from balsamlift.peers import Upstream
from balsamlift.relay._scope import Scope

POOL = "model"
SCOPE = Scope(POOL)


class ListedEngines:
    """List upstreams of one pool that are all live and not evacuated."""

    def __init__(self, domains: dict[str, str]) -> None:
        """List one engine per entry of `domains`.

        `domains` maps the name of each engine to its failure domain.
        """
        self._upstreams = [
            Upstream(
                name=name,
                pool=POOL,
                kind="service",
                address=f"10.0.0.{i}:80",
                failure_domain=domain,
                state="live",
            )
            for i, (name, domain) in enumerate(domains.items())
        ]

    def find(self, name: str) -> Upstream | None:
        found = [u for u in self._upstreams if u.name == name]
        return found[0] if found else None

    def in_pool(self, pool: str) -> list[Upstream]:
        return list(self._upstreams)

    def leaving_by_notice(self, pool: str) -> list[Upstream]:
        return []

    def last_resorts(self, pool: str, max_age_s: float) -> list[Upstream]:
        return []

    def evacuated(self, pool: str) -> list[Upstream]:
        return []

    def is_in_evacuation(self, upstream: Upstream) -> bool:
        return False

    def all(self) -> list[Upstream]:
        return self._upstreams

    def on_change(self, callback: Callable[[], None]) -> None:
        pass


def engines_of_one_domain(number: int) -> ListedEngines:
    """Return engines e0, e1 and so on, all in the failure domain north."""
    return ListedEngines({f"e{i}": "north" for i in range(number)})
