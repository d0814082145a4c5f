"""Declarations and the published form of the configuration."""

from nutmegstep.declarations.core import (
    decode_catalogue,
    decode_fleet,
    encode_catalogue,
    encode_fleet,
)

__all__ = [
    'decode_catalogue',
    'decode_fleet',
    'encode_catalogue',
    'encode_fleet',
]
