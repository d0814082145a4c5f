"""Published form of the configuration and of the index catalogue."""

from pydantic import TypeAdapter

from nutmegstep.model import Fleet, IndexVersion

__all__ = [
    'decode_catalogue',
    'decode_fleet',
    'encode_catalogue',
    'encode_fleet',
]

_fleet_adapter = TypeAdapter(Fleet)
_versions_adapter = TypeAdapter(tuple[IndexVersion, ...])


def encode_fleet(fleet: Fleet) -> bytes:
    """Return the JSON form of a configuration."""
    return _fleet_adapter.dump_json(fleet)


def decode_fleet(document: bytes) -> Fleet:
    """Return the configuration of a JSON document.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.

    Examples
    --------
    >>> decode_fleet(encode_fleet(Fleet(3, {}, {}, 2, {}))).generation
    3
    """
    return _fleet_adapter.validate_json(document)


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
