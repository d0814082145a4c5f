"""Encodes and decodes the configuration stored as `config/fleet`."""

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

# The platform rejects values larger than a megabyte. Smaller values are
# compressed too, to save traffic: every entry VM fetches the value.
COMPRESS_ABOVE_BYTES: Final = 262_144
LARGEST_VALUE_BYTES: Final = 1_000_000
# Limits the memory that decompressing a malformed value can take.
_LARGEST_DOCUMENT_BYTES: Final = 64_000_000


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """Content of the object `config/fleet`.

    Parameters
    ----------
    generation : int
        Number of the publication; each publication has a higher one.
    digest : str
        SHA-256 of the configuration without its generation, in hexadecimal.
    published_by : str
        Name of the operator or job that published it.
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
    """Return the SHA-256 of a configuration without its generation."""
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
    """Return the value to store for a configuration.

    Parameters
    ----------
    fleet : Fleet
        The configuration with its generation.
    published_by : str
        Name of the operator or job that publishes it.

    Returns
    -------
    returns.result.Result
        The value; or its size in bytes if it is larger than a megabyte even
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
        raise ValueError('generation does not match that of the configuration')
    return published


def _decompress(value: bytes) -> bytes:
    if value.startswith(b'{'):
        return value
    inflater = zlib.decompressobj()
    try:
        document = inflater.decompress(value, _LARGEST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(
            f'value is neither JSON nor zlib data: {error}'
        ) from error
    if not inflater.eof:
        raise ValueError('compressed value is truncated or too large')
    return document
