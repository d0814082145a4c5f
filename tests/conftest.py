"""Certificates for tests over mutual TLS."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from nutmegstep.peers import TlsFiles

_PEM = serialization.Encoding.PEM


def _write_files(folder: Path) -> TlsFiles:
    """Write a self-signed certificate that is its own authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'nutmegstep')])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName('nutmegstep')]), False
        )
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    folder.mkdir(exist_ok=True)
    files = TlsFiles(folder / 'cert', folder / 'key', folder / 'ca')
    files.certificate.write_bytes(certificate.public_bytes(_PEM))
    files.authorities.write_bytes(certificate.public_bytes(_PEM))
    files.key.write_bytes(
        key.private_bytes(
            _PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files


@pytest.fixture
def write_files() -> Callable[[Path], TlsFiles]:
    """Return the function that writes certificates into a folder."""
    return _write_files
