"""Size bounds that messages are checked against at the border."""

from collections.abc import Iterable, Sized
from typing import Final

from nutmegstep.peers.core import MessageError

__all__ = [
    'KEY_BYTES',
    'MESSAGE_BYTES',
    'check_bytes',
    'check_count',
    'check_name',
    'check_names',
    'check_operator',
]

KEY_BYTES: Final = 16
# A configuration and its catalogues are at most a megabyte each.
MESSAGE_BYTES: Final = 16_777_216
_NAME_CHARACTERS: Final = 256
# Above the entry VMs, and above the targets of a failure domain, of the
# design size.
_MOST_ENTRIES: Final = 8192


def check_name(field: str, name: str) -> str:
    """Return a name, or raise `MessageError` when it is empty or too long.

    Examples
    --------
    >>> check_name('vm.name', '')
    Traceback (most recent call last):
    nutmegstep.peers.core.MessageError: vm.name has 0 characters, not 1 to 256
    """
    if 0 < len(name) <= _NAME_CHARACTERS:
        return name
    raise MessageError(
        f'{field} has {len(name)} characters, not 1 to {_NAME_CHARACTERS}',
    )


def check_operator(field: str, name: str) -> str:
    """Return an operator's name, which may be empty, or raise."""
    return check_name(field, name) if name else name


def check_count(field: str, entries: Sized) -> None:
    """Raise `MessageError` when a collection is too long."""
    if len(entries) > _MOST_ENTRIES:
        raise MessageError(
            f'{field} has {len(entries)} entries, more than {_MOST_ENTRIES}',
        )


def check_names(field: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names that are checked one by one and together."""
    listed = tuple(names)
    check_count(field, listed)
    return tuple(check_name(field, name) for name in listed)


def check_bytes(field: str, document: bytes, length: int) -> bytes:
    """Return a value that must have exactly this length."""
    if len(document) == length:
        return document
    raise MessageError(f'{field} has {len(document)} bytes, not {length}')
