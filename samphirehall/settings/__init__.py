"""Settings of a process: one TOML file, checked before anything opens."""

from samphirehall.settings.loading import load_settings
from samphirehall.settings.tables import ControlSettings, EntrySettings

__all__ = ["ControlSettings", "EntrySettings", "load_settings"]
