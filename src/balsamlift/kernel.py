"""Registry of services: register, find by name, start and stop."""

from __future__ import annotations

from typing import Protocol, TypeVar

from balsamlift.exceptions import ServiceMissingError, ServiceTakenError

T = TypeVar("T")


class Service(Protocol):
    """Interface of a service, which runs between `start` and `stop`."""

    name: str

    async def start(self, kernel: Kernel) -> None:
        """Look up the services it needs and start working."""

    async def stop(self) -> None:
        """End all work that `start` has begun."""


class Kernel:
    """Hold services; start them in order and stop them in reverse."""

    def __init__(self) -> None:
        """Create a kernel without services."""
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add a service under its name.

        Raises `ServiceTakenError` when the name is in use.
        """
        if service.name in self._services:
            raise ServiceTakenError(service.name)
        self._services[service.name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service of that name, which must be a `kind`.

        Raises `ServiceMissingError` when there is none.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(name)
        return service

    async def start(self) -> None:
        """Start every service in the order of registration."""
        for service in self._services.values():
            self._started.append(service)
            await service.start(self)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()
