"""Adapter to the users' platform: it translates and makes no decisions."""

from balsamlift.platform._daemon import PlatformDaemon, run
from balsamlift.platform._settings import NodeSettings, load_node_settings

__all__ = ["NodeSettings", "PlatformDaemon", "load_node_settings", "run"]
