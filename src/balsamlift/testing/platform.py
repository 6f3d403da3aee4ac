"""Stand-ins for the platform, for tests of the platform adapter."""

from balsamlift.testing._keyed_store import Fault, KeyedStore, Topic

__all__ = ["Fault", "KeyedStore", "Topic"]
