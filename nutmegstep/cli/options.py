"""Flags that several commands share, with their environment variables."""

import argparse
import getpass
import os
import textwrap
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Final, TypeAlias

from nutmegstep.cli.exit_codes import describe_exit_codes
from nutmegstep.declarations import FILE_PATTERN
from nutmegstep.peers import MessageError, TlsFiles
from nutmegstep.peers.bounds import check_name
from nutmegstep.platform_api import CALL_TIMEOUT, ObjectClient

__all__ = [
    'Commands',
    'add_command',
    'add_entry',
    'add_operator',
    'add_paths',
    'add_platform',
    'address',
    'bounded_name',
    'entry_addresses',
    'operator_name',
    'platform_client',
    'tls_files',
]

Commands: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'
Address: TypeAlias = tuple[str, int]

_ENTRY_VARIABLE: Final = 'NUTMEGSTEP_ENTRY'
_HELP_COLUMNS: Final = 78
_TLS_HELP_BY_NAME: Final = MappingProxyType(
    {
        'tls_certificate': 'certificate of the operator',
        'tls_key': 'key of that certificate',
        'tls_authorities': 'authorities that sign the certificates of VMs',
    },
)


def add_command(
    commands: Commands,
    name: str,
    summary: str,
    description: str,
) -> argparse.ArgumentParser:
    """Add a command with `--json` and the table of exit codes."""
    parser = commands.add_parser(
        name,
        help=summary,
        description=textwrap.fill(description, _HELP_COLUMNS),
        epilog=describe_exit_codes(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--json',
        action='store_true',
        default=os.environ.get('NUTMEGSTEP_JSON', '') not in {'', '0'},
        help='print one JSON document [env: NUTMEGSTEP_JSON=1]',
    )
    return parser


def add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the flag for the address of the platform."""
    env_name = 'NUTMEGSTEP_PLATFORM'
    parser.add_argument(
        '--platform',
        metavar='HOST:PORT',
        type=address,
        default=os.environ.get(env_name),
        required=env_name not in os.environ,
        help=f"address of the platform's object API [env: {env_name}]",
    )


def add_operator(parser: argparse.ArgumentParser) -> None:
    """Add the flag for the operator's name, stored with each change."""
    env_name = 'NUTMEGSTEP_OPERATOR'
    parser.add_argument(
        '--operator',
        metavar='NAME',
        type=bounded_name,
        default=os.environ.get(env_name) or None,
        help=(
            'name that other operators see with this change; '
            f'the login name by default [env: {env_name}]'
        ),
    )


def add_entry(parser: argparse.ArgumentParser, *, required: bool) -> None:
    """Add the flags for entry VMs: their addresses and the TLS files."""
    env_name = _ENTRY_VARIABLE
    parser.add_argument(
        '--entry',
        metavar='HOST:PORT',
        action='append',
        required=required and not os.environ.get(env_name),
        help=(
            'address of the operator interface of an entry VM; may be '
            f'repeated, called in order [env: {env_name}, comma-separated]'
        ),
    )
    _add_tls(parser)


def add_paths(parser: argparse.ArgumentParser) -> None:
    """Add the argument for declaration files and directories."""
    env_name = 'NUTMEGSTEP_DECLARATIONS'
    known = os.environ.get(env_name, '.').split(os.pathsep)
    parser.add_argument(
        'paths',
        metavar='PATH',
        nargs='*',
        type=Path,
        default=[Path(name) for name in known],
        help=(
            f'file, or directory that is searched for {FILE_PATTERN}; the '
            f'current directory by default [env: {env_name}, separated by '
            f'{os.pathsep!r}]'
        ),
    )


def entry_addresses(arguments: argparse.Namespace) -> list[str]:
    """Return the addresses of `--entry` or of its environment variable."""
    if arguments.entry:
        return list(arguments.entry)
    listed = os.environ.get(_ENTRY_VARIABLE, '')
    return [known for known in listed.split(',') if known]


def address(text: str) -> Address:
    """Return the host and the port of ``HOST:PORT``.

    Examples
    --------
    >>> address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise argparse.ArgumentTypeError(f'{text!r} is not HOST:PORT')
    return host.strip('[]'), int(port)


def bounded_name(text: str) -> str:
    """Return a name unchanged if entry VMs accept it.

    Notes
    -----
    Entry VMs reject a `control/state` that holds a longer name, so that no
    further change of it would reach them.

    Examples
    --------
    >>> bounded_name('domain-1')
    'domain-1'
    """
    try:
        return check_name('it', text)
    except MessageError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def platform_client(
    arguments: argparse.Namespace,
    timeout: timedelta = CALL_TIMEOUT,
) -> ObjectClient:
    """Return a client of the platform at `--platform`."""
    host, port = arguments.platform
    return ObjectClient(host, port, timeout=timeout)


def tls_files(arguments: argparse.Namespace) -> TlsFiles | None:
    """Return the TLS files, or None for plaintext."""
    if arguments.tls_certificate is None:
        return None
    return TlsFiles(
        arguments.tls_certificate,
        arguments.tls_key,
        arguments.tls_authorities,
    )


def operator_name(arguments: argparse.Namespace) -> str:
    """Return `--operator`, or the login name."""
    return arguments.operator or getpass.getuser()


def _add_tls(parser: argparse.ArgumentParser) -> None:
    """Add the flags for TLS files, of which all or none must be set."""
    for name, text in _TLS_HELP_BY_NAME.items():
        env_name = f'NUTMEGSTEP_{name.upper()}'
        parser.add_argument(
            '--{0}'.format(name.replace('_', '-')),
            metavar='FILE',
            type=_readable_file,
            default=os.environ.get(env_name) or None,
            help=(
                f'PEM file: {text}; without the three files entry VMs are '
                f'called in plaintext on loopback addresses [env: {env_name}]'
            ),
        )
    parser.set_defaults(check=lambda found: _check_tls(parser, found))


def _readable_file(text: str) -> Path:
    path = Path(text)
    try:
        path.read_bytes()
    except OSError as error:
        raise argparse.ArgumentTypeError(str(error)) from error
    return path


def _check_tls(
    parser: argparse.ArgumentParser,
    arguments: argparse.Namespace,
) -> None:
    given = {getattr(arguments, name) is None for name in _TLS_HELP_BY_NAME}
    if len(given) > 1:
        flags = ', '.join(_TLS_HELP_BY_NAME).replace('_', '-')
        parser.error(f'give all or none of {flags}')
