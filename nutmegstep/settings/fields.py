"""Declares settings and reads the texts that give them."""

from collections.abc import Callable
from dataclasses import MISSING, field
from ipaddress import ip_address
from typing import Any, Final

__all__ = [
    'LEVELS',
    'PORT_MAX',
    'read_address',
    'read_count',
    'read_ip',
    'read_level',
    'read_name',
    'read_port',
    'read_ratio',
    'read_seeds',
    'setting',
]

PORT_MAX: Final = 65535
LEVELS: Final = ('debug', 'info', 'warning', 'error')


def read_ip(text: str) -> str:
    """Return an IP number."""
    return str(ip_address(text))


def read_port(text: str) -> int:
    """Return a TCP port; 0 lets the kernel choose."""
    port = int(text)
    if not 0 <= port <= PORT_MAX:
        raise ValueError(text)
    return port


def read_address(text: str) -> tuple[str, int]:
    """Return IP number and port of an address."""
    host, _, port = text.rpartition(':')
    return read_ip(host.strip('[]')), read_port(port)


def read_seeds(text: str) -> tuple[str, ...]:
    """Return addresses separated by commas."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    for part in parts:
        read_address(part)
    return tuple(parts)


def read_name(text: str) -> str:
    """Return a text that is not blank."""
    if not text.strip():
        raise ValueError(text)
    return text


def read_ratio(text: str) -> float:
    """Return a number from 0 to 1."""
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError(text)
    return ratio


def read_count(text: str) -> int:
    """Return an integer of at least 1."""
    count = int(text)
    if count < 1:
        raise ValueError(text)
    return count


def read_level(text: str) -> str:
    """Return the name of a logging level."""
    if text not in LEVELS:
        raise ValueError(text)
    return text


def setting(
    read: Callable[[str], Any],
    expected: str,
    text: str,
    default: Any = MISSING,
) -> Any:
    """Declare a field of a settings class.

    Parameters
    ----------
    read : Callable
        Returns the value of a text or raises ValueError.
    expected : str
        What a valid text is.
    text : str
        Help.
    default : object, optional
        Value when neither flag nor variable is given.
    """
    metadata = {'read': read, 'expected': expected, 'help': text}
    return field(default=default, metadata=metadata)
