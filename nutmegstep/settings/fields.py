"""Declares fields of settings classes and parses their values."""

from collections.abc import Callable
from dataclasses import MISSING, field
from datetime import timedelta
from ipaddress import ip_address
from typing import Any, Final

__all__ = [
    'LEVELS',
    'PORT_MAX',
    'read_address',
    'read_boolean',
    'read_count',
    'read_ip',
    'read_level',
    'read_name',
    'read_number',
    'read_port',
    'read_positive_number',
    'read_ratio',
    'read_seconds',
    'read_seeds',
    'setting',
]

PORT_MAX: Final = 65535
_BOOLEANS: Final = frozenset(('true', 'false'))
LEVELS: Final = ('debug', 'info', 'warning', 'error')


def read_ip(text: str) -> str:
    """Return an IP address in its canonical form."""
    return str(ip_address(text))


def read_port(text: str) -> int:
    """Return a TCP port; 0 lets the kernel choose a free one."""
    port = int(text)
    if not 0 <= port <= PORT_MAX:
        raise ValueError(text)
    return port


def read_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``IP:port``."""
    host, _, port = text.rpartition(':')
    return read_ip(host.strip('[]')), read_port(port)


def read_seeds(text: str) -> tuple[str, ...]:
    """Return the addresses of a list separated by commas, each checked."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    for part in parts:
        read_address(part)
    return tuple(parts)


def read_name(text: str) -> str:
    """Return a text unchanged if it is not blank."""
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
    """Return the name of a logging level if it is one of `LEVELS`."""
    if text not in LEVELS:
        raise ValueError(text)
    return text


def read_number(text: str) -> float:
    """Return a finite number of at least 0."""
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError(text)
    return number


def read_boolean(text: str) -> bool:
    """Return whether a text is ``true``; it must be that or ``false``."""
    if text not in _BOOLEANS:
        raise ValueError(text)
    return text == 'true'


def read_positive_number(text: str) -> float:
    """Return a finite number above 0."""
    number = read_number(text)
    if not number:
        raise ValueError(text)
    return number


def read_seconds(text: str) -> timedelta:
    """Return a positive number of seconds as a time."""
    return timedelta(seconds=read_positive_number(text))


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
        Converts the text of a flag or variable to the value of the field;
        raises ValueError if the text is not valid.
    expected : str
        Description of a valid text for error messages.
    text : str
        Help text of the flag.
    default : object, optional
        Value if neither the flag nor the variable is set; without a default
        the setting is required.
    """
    metadata = {'read': read, 'expected': expected, 'help': text}
    return field(default=default, metadata=metadata)
