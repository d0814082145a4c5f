"""Configuration and index catalogue as they are stored at the platform."""

from pydantic import TypeAdapter
from returns.pipeline import is_successful

from nutmegstep.declarations.published import (
    decode_published,
    encode_published,
)
from nutmegstep.model import Fleet, IndexVersion

__all__ = [
    'decode_catalogue',
    'decode_fleet',
    'encode_catalogue',
    'encode_fleet',
]

_versions_adapter = TypeAdapter(tuple[IndexVersion, ...])


def encode_fleet(fleet: Fleet, published_by: str = '') -> bytes:
    """Return the published form of a configuration.

    Raises
    ------
    ValueError
        The value is above a megabyte.
    """
    encoded = encode_published(fleet, published_by)
    if is_successful(encoded):
        return encoded.unwrap()
    raise ValueError(f'configuration has {encoded.failure()} bytes')


def decode_fleet(document: bytes) -> Fleet:
    """Return the configuration of a published value.

    Raises
    ------
    ValueError
        The value is malformed.

    Examples
    --------
    >>> decode_fleet(encode_fleet(Fleet(3, {}, {}, 2, {}))).generation
    3
    """
    return decode_published(document).fleet


def encode_catalogue(versions: tuple[IndexVersion, ...]) -> bytes:
    """Return the JSON form of an index catalogue."""
    return _versions_adapter.dump_json(versions)


def decode_catalogue(document: bytes) -> tuple[IndexVersion, ...]:
    """Return the index versions of a JSON document.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.
    """
    return _versions_adapter.validate_json(document)
