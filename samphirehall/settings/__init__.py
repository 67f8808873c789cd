"""Settings of a process: one TOML file, checked before the process opens any socket."""

from samphirehall.settings.loading import load_settings
from samphirehall.settings.tables import ControlSettings, EntrySettings

__all__ = ["ControlSettings", "EntrySettings", "load_settings"]
