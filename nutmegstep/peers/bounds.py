"""Checks of received messages against size limits."""

from collections.abc import Iterable, Sized
from typing import Final

from nutmegstep.peers.core import MessageError

__all__ = [
    'KEY_BYTES',
    'MAX_MESSAGE_BYTES',
    'check_bytes',
    'check_count',
    'check_name',
    'check_names',
    'check_operator_name',
]

KEY_BYTES: Final = 16
# The largest message holds the configuration and all catalogues, each of which
# is at most 1 MB.
MAX_MESSAGE_BYTES: Final = 16_777_216
_MAX_NAME_CHARACTERS: Final = 256
# More than the entry VMs of the largest fleet that the system is designed for,
# and more than the targets of one of its failure domains.
_MAX_ENTRIES: Final = 8192


def check_name(field: str, name: str) -> str:
    """Return a name that is not empty and has at most 256 characters.

    Parameters
    ----------
    field : str
        Name of the message field, for the error text.
    name : str
        Value of the field.

    Raises
    ------
    MessageError
        The name is empty or too long.

    Examples
    --------
    >>> check_name('vm.name', '')
    Traceback (most recent call last):
    nutmegstep.peers.core.MessageError: vm.name has 0 characters, not 1 to 256
    """
    if 0 < len(name) <= _MAX_NAME_CHARACTERS:
        return name
    raise MessageError(
        f'{field} has {len(name)} characters, not 1 to {_MAX_NAME_CHARACTERS}',
    )


def check_operator_name(field: str, name: str) -> str:
    """Return the name of an operator; like `check_name`, but may be empty."""
    return check_name(field, name) if name else name


def check_count(field: str, entries: Sized) -> None:
    """Raise `MessageError` if a repeated field has too many entries."""
    if len(entries) > _MAX_ENTRIES:
        raise MessageError(
            f'{field} has {len(entries)} entries, more than {_MAX_ENTRIES}',
        )


def check_names(field: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of a repeated field after checks of length and number."""
    listed = tuple(names)
    check_count(field, listed)
    return tuple(check_name(field, name) for name in listed)


def check_bytes(field: str, document: bytes, length: int) -> bytes:
    """Return a value; raise `MessageError` unless it has `length` bytes."""
    if len(document) == length:
        return document
    raise MessageError(f'{field} has {len(document)} bytes, not {length}')
