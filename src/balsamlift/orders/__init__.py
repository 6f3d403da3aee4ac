"""Orders to engines: one host at a time gives them, under a lease."""

from balsamlift.orders._service import Orders

__all__ = ["Orders"]
