"""The runtime: events in, effects out."""

from bamboonotch_node.runtime._document_driver import DocumentDriver
from bamboonotch_node.runtime._node import NodeRuntime
from bamboonotch_node.runtime._settings_watch import SettingsWatch
from bamboonotch_node.runtime._surroundings import OWN_SURROUNDINGS, Surroundings

__all__ = ["OWN_SURROUNDINGS", "DocumentDriver", "NodeRuntime", "SettingsWatch", "Surroundings"]
