"""The users' platform as stand-ins, for tests of the adapter."""

from balsamlift.testing._keyed_store import Fault, KeyedStore, Topic

__all__ = ["Fault", "KeyedStore", "Topic"]
