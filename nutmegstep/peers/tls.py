"""Credentials from files that may be replaced while the process runs."""

from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any, Final

import grpc

__all__ = [
    'TLS_NAME',
    'TlsFiles',
    'channel_credentials',
    'require_loopback',
    'server_credentials',
    'stamp',
]

# VMs are reached by IP number and replaced at any time, so certificates carry
# this name instead of an address.
TLS_NAME: Final = 'nutmegstep'


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files."""

    certificate: Path
    key: Path
    authorities: Path


def stamp(files: TlsFiles) -> tuple[int, ...]:
    """Return the change times of the files."""
    paths = (files.certificate, files.key, files.authorities)
    return tuple(path.stat().st_mtime_ns for path in paths)


def channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Return the credentials of a client, read now."""
    return grpc.ssl_channel_credentials(
        files.authorities.read_bytes(),
        files.key.read_bytes(),
        files.certificate.read_bytes(),
    )


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return credentials that are read again when a file has changed.

    Notes
    -----
    gRPC asks before each handshake. While a file is missing or half written
    the former certificates stay in use.
    """
    last = stamp(files)

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        nonlocal last
        try:
            current = stamp(files)
        except OSError:
            return None
        if current == last:
            return None
        configuration = _configuration(files)
        last = current
        return configuration

    # The type stubs do not know that None keeps the former certificates.
    fetch_function: Any = fetch
    return grpc.dynamic_ssl_server_credentials(
        _configuration(files),
        fetch_function,
        require_client_authentication=True,
    )


def require_loopback(address: str) -> None:
    """Raise `ValueError` when plaintext would leave the machine.

    Examples
    --------
    >>> require_loopback('127.0.0.1:7000')
    >>> require_loopback('10.0.0.1:7000')
    Traceback (most recent call last):
    ValueError: plaintext is only for loopback addresses, not 10.0.0.1:7000
    """
    host = address.rsplit(':', 1)[0].strip('[]')
    if not ip_address(host).is_loopback:
        raise ValueError(
            f'plaintext is only for loopback addresses, not {address}',
        )


def _configuration(files: TlsFiles) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(files.key.read_bytes(), files.certificate.read_bytes())],
        files.authorities.read_bytes(),
    )
