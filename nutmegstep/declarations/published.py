"""Published form of the configuration."""

import hashlib
import zlib
from dataclasses import dataclass, replace
from typing import Final

import orjson
from pydantic import TypeAdapter
from returns.result import Failure, Result, Success

from nutmegstep.model import Fleet

__all__ = [
    'COMPRESS_ABOVE_BYTES',
    'LARGEST_VALUE_BYTES',
    'PublishedConfiguration',
    'decode_published',
    'encode_published',
    'fleet_digest',
]

# The platform refuses values above a megabyte. Compression starts earlier,
# because every entry VM reads the value over the network.
COMPRESS_ABOVE_BYTES: Final = 262_144
LARGEST_VALUE_BYTES: Final = 1_000_000
# Bound on the memory that a malformed value can claim.
_LARGEST_DOCUMENT_BYTES: Final = 64_000_000


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """The value of the object `config/fleet`.

    Parameters
    ----------
    generation : int
        Grows with every publication.
    digest : str
        SHA-256 of the configuration without its generation.
    published_by : str
        Name of the operator or job.
    fleet : Fleet
        The configuration.
    """

    generation: int
    digest: str
    published_by: str
    fleet: Fleet


_fleet_adapter = TypeAdapter(Fleet)
_published_adapter = TypeAdapter(PublishedConfiguration)


def fleet_digest(fleet: Fleet) -> str:
    """Return the digest of a configuration, whatever its generation."""
    document = _fleet_adapter.dump_python(
        replace(fleet, generation=0),
        mode='json',
    )
    canonical = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()


def encode_published(
    fleet: Fleet,
    published_by: str,
) -> Result[bytes, int]:
    """Return the value to store.

    Parameters
    ----------
    fleet : Fleet
        The configuration with its generation.
    published_by : str
        Name of the operator or job.

    Returns
    -------
    returns.result.Result
        The value, or its size in bytes when it is above a megabyte even
        after compression.
    """
    value = _published_adapter.dump_json(
        PublishedConfiguration(
            fleet.generation, fleet_digest(fleet), published_by, fleet
        ),
    )
    if len(value) > COMPRESS_ABOVE_BYTES:
        value = zlib.compress(value)
    if len(value) > LARGEST_VALUE_BYTES:
        return Failure(len(value))
    return Success(value)


def decode_published(value: bytes) -> PublishedConfiguration:
    """Return the content of a stored value.

    Raises
    ------
    ValueError
        The value is malformed, or its digest or generation does not match
        its configuration. `pydantic.ValidationError` is a `ValueError`.
    """
    published = _published_adapter.validate_json(_decompress(value))
    if published.digest != fleet_digest(published.fleet):
        raise ValueError('digest does not match the configuration')
    if published.generation != published.fleet.generation:
        raise ValueError('generation differs from that of the configuration')
    return published


def _decompress(value: bytes) -> bytes:
    if value.startswith(b'{'):
        return value
    inflater = zlib.decompressobj()
    try:
        document = inflater.decompress(value, _LARGEST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f'neither JSON nor zlib: {error}') from error
    if not inflater.eof:
        raise ValueError('compressed value is cut off or too large')
    return document
