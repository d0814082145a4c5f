"""Settings of the processes, read from flags and environment variables."""

from nutmegstep.settings.core import (
    Settings,
    SettingsError,
    add_arguments,
    load_settings,
    read_settings,
)
from nutmegstep.settings.gateway import GatewaySettings, read_environment_file

__all__ = [
    'GatewaySettings',
    'Settings',
    'SettingsError',
    'add_arguments',
    'load_settings',
    'read_environment_file',
    'read_settings',
]
