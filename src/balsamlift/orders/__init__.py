"""Orders that bring engines to the state the preset in force sets.

One host at a time sends them, under a lease.
"""

from balsamlift.orders._service import Orders

__all__ = ["Orders"]
