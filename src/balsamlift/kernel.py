"""The micro-kernel: services registered and found by name."""

from __future__ import annotations

from typing import Protocol, TypeVar

from balsamlift.exceptions import ServiceMissingError, ServiceTakenError

T = TypeVar("T")


class Service(Protocol):
    """Run between `start` and `stop` under one name."""

    name: str

    async def start(self, kernel: Kernel) -> None:
        """Find the services needed and begin work."""

    async def stop(self) -> None:
        """End all work that `start` began."""


class Kernel:
    """Hold services: start them in order, stop them in reverse."""

    def __init__(self) -> None:
        """Begin with no service."""
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
        """Return the service of that name, checked to be a `kind`.

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
        """Stop what was started, last first."""
        while self._started:
            await self._started.pop().stop()
