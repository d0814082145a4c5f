"""Encodes and decodes the configuration and the index catalogue."""

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
    """Return the value that is stored for a configuration.

    Raises
    ------
    ValueError
        The value is larger than a megabyte, even if compressed.
    """
    encoded = encode_published(fleet, published_by)
    if is_successful(encoded):
        return encoded.unwrap()
    raise ValueError(
        f'configuration is too large: {encoded.failure()} bytes compressed'
    )


def decode_fleet(document: bytes) -> Fleet:
    """Return the configuration in a stored value.

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
    """Return the index versions in the JSON form of a catalogue.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.
    """
    return _versions_adapter.validate_json(document)
