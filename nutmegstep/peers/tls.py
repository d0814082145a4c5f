"""TLS credentials from files, which may be replaced at run time."""

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
    'modification_times',
]

TLS_NAME: Final = 'nutmegstep'
"""Subject name in the certificates of all entry VMs.

VMs are addressed by IP address and may be replaced at any time, so a
certificate cannot name the address.
"""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files.

    Parameters
    ----------
    certificate : Path
        Certificate of this process.
    key : Path
        Private key of the certificate.
    authorities : Path
        Certificates of the authorities that sign the certificates of peers.
    """

    certificate: Path
    key: Path
    authorities: Path


def modification_times(files: TlsFiles) -> tuple[int, ...]:
    """Return the modification times of the files, in nanoseconds."""
    paths = (files.certificate, files.key, files.authorities)
    return tuple(path.stat().st_mtime_ns for path in paths)


def channel_credentials(files: TlsFiles) -> grpc.ChannelCredentials:
    """Read the files and return the credentials of a client."""
    return grpc.ssl_channel_credentials(
        files.authorities.read_bytes(),
        files.key.read_bytes(),
        files.certificate.read_bytes(),
    )


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Return the credentials of a server.

    Notes
    -----
    Before each handshake gRPC checks whether a file has changed, and if so the
    files are read again. If a file is missing or cannot be used, because it is
    being replaced, the previous certificates stay in use.
    """
    last = modification_times(files)

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        nonlocal last
        try:
            current = modification_times(files)
        except OSError:
            return None
        if current == last:
            return None
        configuration = _configuration(files)
        last = current
        return configuration

    # The type stubs do not allow None, which keeps the previous certificates.
    fetch_function: Any = fetch
    return grpc.dynamic_ssl_server_credentials(
        _configuration(files),
        fetch_function,
        require_client_authentication=True,
    )


def require_loopback(address: str) -> None:
    """Raise `ValueError` unless an address is a loopback address.

    Without certificates, messages would leave the machine unencrypted.

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
