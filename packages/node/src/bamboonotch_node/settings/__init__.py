"""Reading and checking of the settings file."""

from bamboonotch_node.settings._reader import read_settings
from bamboonotch_node.settings._reference import SECTIONS, SettingRule, describe_settings

__all__ = ["SECTIONS", "SettingRule", "describe_settings", "read_settings"]
