"""Reads flags and environment variables into one frozen data class."""

import argparse
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from ipaddress import ip_address
from pathlib import Path
from typing import Any, Final

__all__ = ['Settings', 'SettingsError', 'add_arguments', 'load_settings']

_PREFIX: Final = 'NUTMEGSTEP_'
_PORT_MAX: Final = 65535
_LEVELS: Final = ('debug', 'info', 'warning', 'error')


class SettingsError(Exception):
    """A setting is missing or not valid; the text names flag and variable."""


def _read_ip(text: str) -> str:
    return str(ip_address(text))


def _read_port(text: str) -> int:
    port = int(text)
    if not 0 <= port <= _PORT_MAX:
        raise ValueError(text)
    return port


def _read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return _read_ip(host.strip('[]')), _read_port(port)


def _read_seeds(text: str) -> tuple[str, ...]:
    parts = [part.strip() for part in text.split(',') if part.strip()]
    for part in parts:
        _read_address(part)
    return tuple(parts)


def _read_name(text: str) -> str:
    if not text.strip():
        raise ValueError(text)
    return text


def _read_ratio(text: str) -> float:
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError(text)
    return ratio


def _read_count(text: str) -> int:
    count = int(text)
    if count < 1:
        raise ValueError(text)
    return count


def _read_level(text: str) -> str:
    if text not in _LEVELS:
        raise ValueError(text)
    return text


def _setting(
    read: Callable[[str], Any],
    expected: str,
    text: str,
    default: Any = MISSING,
) -> Any:
    metadata = {'read': read, 'expected': expected, 'help': text}
    return field(default=default, metadata=metadata)


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of the entry process.

    Parameters
    ----------
    platform : tuple of str and int
        Address of the platform's object API.
    failure_domain : str
        Failure domain of this VM.
    host : str
        IP number of the callers' port.
    port : int
        Callers' port; 0 lets the kernel choose.
    port_file : pathlib.Path or None
        File that receives the callers' address.
    operator_host : str
        IP number of the operators' HTTP port.
    operator_port : int
        Operators' HTTP port; 0 lets the kernel choose.
    vm_name : str
        Name of this VM, as in the platform's list.
    peer_host : str
        IP number on which other entry processes reach this one.
    peer_port : int
        gRPC port for peers and operators; 0 lets the kernel choose.
    peer_port_file : pathlib.Path or None
        File that receives the address for peers.
    seeds : tuple of str
        Addresses of peers that are asked while no other VM is known.
    tls_certificate, tls_key, tls_authorities : pathlib.Path or None
        PEM files; all or none. Without them only loopback addresses serve.
    caller_connections : int
        Most open connections of callers.
    sampling_ratio : float
        Share of new traces that are recorded.
    log_level : str
        Least severe level that is logged.
    """

    platform: tuple[str, int] = _setting(
        _read_address,
        'an IP number and a port, as in 127.0.0.1:8500',
        'address of the platform object API',
    )
    failure_domain: str = _setting(
        _read_name,
        'a name',
        'failure domain of this VM',
    )
    host: str = _setting(
        _read_ip,
        'an IP number',
        'IP number of the callers port',
        '127.0.0.1',
    )
    port: int = _setting(
        _read_port,
        f'a port from 0 to {_PORT_MAX}',
        'callers port; 0 lets the kernel choose',
        0,
    )
    port_file: Path | None = _setting(
        Path,
        'a path',
        'file that receives the callers address',
        None,
    )
    operator_host: str = _setting(
        _read_ip,
        'an IP number',
        'IP number of the operators HTTP port',
        '127.0.0.1',
    )
    operator_port: int = _setting(
        _read_port,
        f'a port from 0 to {_PORT_MAX}',
        'operators HTTP port; 0 lets the kernel choose',
        0,
    )
    vm_name: str = _setting(
        _read_name,
        'a name',
        'name of this VM, as in the list of the platform',
        'entry-vm',
    )
    peer_host: str = _setting(
        _read_ip,
        'an IP number',
        'IP number for peers and operators (gRPC)',
        '127.0.0.1',
    )
    peer_port: int = _setting(
        _read_port,
        f'a port from 0 to {_PORT_MAX}',
        'gRPC port for peers and operators; 0 lets the kernel choose',
        0,
    )
    peer_port_file: Path | None = _setting(
        Path,
        'a path',
        'file that receives the address for peers',
        None,
    )
    seeds: tuple[str, ...] = _setting(
        _read_seeds,
        'addresses separated by commas, as in 127.0.0.1:9000,127.0.0.2:9000',
        'peers that are asked while no other VM is known',
        (),
    )
    tls_certificate: Path | None = _setting(
        Path,
        'a path',
        'PEM file with the certificate of this VM',
        None,
    )
    tls_key: Path | None = _setting(
        Path,
        'a path',
        'PEM file with the key of this VM',
        None,
    )
    tls_authorities: Path | None = _setting(
        Path,
        'a path',
        'PEM file with the authorities that sign certificates',
        None,
    )
    caller_connections: int = _setting(
        _read_count,
        'an integer of at least 1',
        'most open connections of callers',
        1000,
    )
    sampling_ratio: float = _setting(
        _read_ratio,
        'a number from 0 to 1',
        'share of new traces that are recorded',
        0.01,
    )
    log_level: str = _setting(
        _read_level,
        f'one of {", ".join(_LEVELS)}',
        'least severe level that is logged',
        'info',
    )


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add a flag for each setting; the help names the variable too."""
    for one in fields(Settings):
        required = one.default is MISSING
        default = 'required' if required else f'default {one.default}'
        parser.add_argument(
            _flag(one),
            help=f'{one.metadata["help"]} [{_environment_name(one)}; {default}]',
            metavar='VALUE',
        )


def load_settings(
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
) -> Settings:
    """Return the settings; a flag goes before its environment variable.

    Parameters
    ----------
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
    for one in fields(Settings):
        text = getattr(arguments, one.name)
        text = environment.get(_environment_name(one)) if text is None else text
        if text is not None:
            found[one.name] = _read(one, text)
        elif one.default is MISSING:
            raise SettingsError(f'{_names(one)} is not set')
    return _check_tls(Settings(**found))


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


def _read(one: Field[Any], text: str) -> Any:
    try:
        return one.metadata['read'](text)
    except ValueError as error:
        raise SettingsError(
            f'{_names(one)} is {text!r}, not {one.metadata["expected"]}',
        ) from error


def _names(one: Field[Any]) -> str:
    return f'{_flag(one)} ({_environment_name(one)})'


def _flag(one: Field[Any]) -> str:
    return '--{0}'.format(one.name.replace('_', '-'))


def _environment_name(one: Field[Any]) -> str:
    return f'{_PREFIX}{one.name.upper()}'
