"""Reads flags and environment variables into one frozen data class."""

import argparse
from collections.abc import Mapping
from dataclasses import MISSING, Field, dataclass, fields
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar

from nutmegstep.settings.fields import (
    LEVELS,
    PORT_MAX,
    read_address,
    read_count,
    read_ip,
    read_level,
    read_name,
    read_port,
    read_ratio,
    read_seeds,
    setting,
)

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

__all__ = [
    'Settings',
    'SettingsError',
    'add_arguments',
    'load_settings',
    'read_settings',
]

_SettingsClass = TypeVar('_SettingsClass', bound='DataclassInstance')

_PREFIX: Final = 'NUTMEGSTEP_'


class SettingsError(Exception):
    """A setting is missing or not valid.

    The message names the flag and the environment variable.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of the entry process.

    Parameters
    ----------
    platform : tuple of str and int
        IP address and port of the platform's object API.
    failure_domain : str
        Failure domain of this VM.
    host : str
        IP address on which callers connect.
    port : int
        Port on which callers connect; 0 lets the kernel choose.
    port_file : pathlib.Path or None
        File to which the address for callers is written.
    operator_host : str
        IP address of the HTTP port for operators.
    operator_port : int
        HTTP port for operators; 0 lets the kernel choose.
    vm_name : str
        Name of this VM, as in the platform's list of VMs.
    peer_host : str
        IP address on which other entry processes reach this one.
    peer_port : int
        gRPC port for peers and operators; 0 lets the kernel choose.
    peer_port_file : pathlib.Path or None
        File to which the address for peers is written.
    seeds : tuple of str
        Addresses of peers to contact while no other VM is known.
    tls_certificate, tls_key, tls_authorities : pathlib.Path or None
        PEM files of the connections to peers; all or none. Without them only
        loopback addresses are allowed.
    caller_connections : int
        Maximum number of open connections of callers.
    sampling_ratio : float
        Fraction of new traces that are recorded, from 0 to 1.
    log_level : str
        Least severe level that is logged.
    """

    platform: tuple[str, int] = setting(
        read_address,
        'an IP number and a port, as in 127.0.0.1:8500',
        'address of the platform object API',
    )
    failure_domain: str = setting(
        read_name,
        'a name',
        'failure domain of this VM',
    )
    host: str = setting(
        read_ip,
        'an IP number',
        'IP number of the callers port',
        '127.0.0.1',
    )
    port: int = setting(
        read_port,
        f'a port from 0 to {PORT_MAX}',
        'callers port; 0 lets the kernel choose',
        0,
    )
    port_file: Path | None = setting(
        Path,
        'a path',
        'file that receives the callers address',
        None,
    )
    operator_host: str = setting(
        read_ip,
        'an IP number',
        'IP number of the operators HTTP port',
        '127.0.0.1',
    )
    operator_port: int = setting(
        read_port,
        f'a port from 0 to {PORT_MAX}',
        'operators HTTP port; 0 lets the kernel choose',
        0,
    )
    vm_name: str = setting(
        read_name,
        'a name',
        'name of this VM, as in the list of the platform',
        'entry-vm',
    )
    peer_host: str = setting(
        read_ip,
        'an IP number',
        'IP number for peers and operators (gRPC)',
        '127.0.0.1',
    )
    peer_port: int = setting(
        read_port,
        f'a port from 0 to {PORT_MAX}',
        'gRPC port for peers and operators; 0 lets the kernel choose',
        0,
    )
    peer_port_file: Path | None = setting(
        Path,
        'a path',
        'file that receives the address for peers',
        None,
    )
    seeds: tuple[str, ...] = setting(
        read_seeds,
        'addresses separated by commas, as in 127.0.0.1:9000,127.0.0.2:9000',
        'peers to contact while no other VM is known',
        (),
    )
    tls_certificate: Path | None = setting(
        Path,
        'a path',
        'PEM file with the certificate of this VM',
        None,
    )
    tls_key: Path | None = setting(
        Path,
        'a path',
        'PEM file with the key of this VM',
        None,
    )
    tls_authorities: Path | None = setting(
        Path,
        'a path',
        'PEM file with the authorities that sign certificates',
        None,
    )
    caller_connections: int = setting(
        read_count,
        'an integer of at least 1',
        'maximum number of open connections of callers',
        1000,
    )
    sampling_ratio: float = setting(
        read_ratio,
        'a number from 0 to 1',
        'share of new traces that are recorded',
        0.01,
    )
    log_level: str = setting(
        read_level,
        f'one of {", ".join(LEVELS)}',
        'least severe level that is logged',
        'info',
    )


def add_arguments(
    parser: argparse.ArgumentParser,
    settings_class: type[Any] = Settings,
) -> None:
    """Add a flag for each setting to a parser.

    The help text of a flag names its environment variable and default.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser to extend.
    settings_class : type, optional
        Data class whose fields were declared with `setting`.
    """
    for declared in fields(settings_class):
        required = declared.default is MISSING
        default = 'required' if required else f'default {declared.default}'
        parser.add_argument(
            _flag(declared),
            help=f'{declared.metadata["help"]} [{_environment_name(declared)}; {default}]',
            metavar='VALUE',
        )


def load_settings(
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> Settings:
    """Return the settings of an entry process.

    Parameters
    ----------
    arguments : argparse.Namespace
        Result of a parser that `add_arguments` has extended.
    environment : Mapping
        Environment variables by name.

    Raises
    ------
    SettingsError
        A setting is missing or not valid, or only some of the TLS files are
        set.
    """
    return _check_tls(read_settings(Settings, arguments, environment))


def read_settings(
    settings_class: type[_SettingsClass],
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> _SettingsClass:
    """Return settings from flags and environment variables.

    A flag takes precedence over its environment variable.

    Parameters
    ----------
    settings_class : type
        Data class whose fields were declared with `setting`.
    arguments : argparse.Namespace
        Result of a parser that `add_arguments` has extended.
    environment : Mapping
        Environment variables by name.

    Raises
    ------
    SettingsError
        A setting is missing or not valid.
    """
    found: dict[str, Any] = {}
    for declared in fields(settings_class):
        text = getattr(arguments, declared.name, None)
        text = (
            environment.get(_environment_name(declared))
            if text is None
            else text
        )
        if text is not None:
            found[declared.name] = _read(declared, text)
        elif declared.default is MISSING:
            raise SettingsError(f'{_describe_names(declared)} is not set')
    return settings_class(**found)


def _check_tls(settings: Settings) -> Settings:
    files = (
        settings.tls_certificate,
        settings.tls_key,
        settings.tls_authorities,
    )
    if any(files) and not all(files):
        raise SettingsError(
            '--tls-certificate, --tls-key and --tls-authorities '
            'must be set together',
        )
    return settings


def _read(declared: Field[Any], text: str) -> Any:
    try:
        return declared.metadata['read'](text)
    except ValueError as error:
        raise SettingsError(
            f'{_describe_names(declared)} is {text!r}, not {declared.metadata["expected"]}',
        ) from error


def _describe_names(declared: Field[Any]) -> str:
    return f'{_flag(declared)} ({_environment_name(declared)})'


def _flag(declared: Field[Any]) -> str:
    return '--{0}'.format(declared.name.replace('_', '-'))


def _environment_name(declared: Field[Any]) -> str:
    return f'{_PREFIX}{declared.name.upper()}'
