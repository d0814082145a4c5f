"""Settings of the entry process."""

from nutmegstep.settings.core import (
    Settings,
    SettingsError,
    add_arguments,
    load_settings,
)

__all__ = ['Settings', 'SettingsError', 'add_arguments', 'load_settings']
