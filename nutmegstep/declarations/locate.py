"""Finds the line of a field in a TOML document.

The TOML parser of the standard library gives line numbers for syntax errors
only. Declaration files use plain keys and table headers, so a scan of their
lines finds the line of a field that fails validation.
"""

import re
from collections.abc import Sequence
from typing import Final

__all__ = ['find_line']

_HEADER: Final = re.compile(r'\s*\[([^\[\]]+)\]')
_KEY: Final = re.compile(r'\s*([\w."-]+)\s*=')


def find_line(text: str, location: Sequence[str]) -> int | None:
    r"""Return the line of a field, or of the innermost table around it.

    Parameters
    ----------
    text : str
        TOML document.
    location : sequence of str
        Names of the tables around the field, from the outermost, and of the
        field.

    Returns
    -------
    int or None
        Line, counted from 1; None if no such table is found.

    Examples
    --------
    >>> find_line('[fleet]\nentry_vms_max = 0', ('fleet', 'entry_vms_max'))
    2
    >>> find_line('[targets]\na = {slots = 0}', ('targets', 'a', 'slots'))
    2
    """
    header: tuple[str, ...] = ()
    nearest: tuple[int, int | None] = (0, None)
    wanted = tuple(location)
    for number, line in enumerate(text.splitlines(), start=1):
        opened = _HEADER.match(line)
        header = _split(opened.group(1)) if opened else header
        key = _KEY.match(line)
        path = (*header, *_split(key.group(1))) if key else header
        if len(path) > nearest[0] and path == wanted[: len(path)]:
            nearest = (len(path), number)
    return nearest[1]


def _split(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip('"') for part in dotted.split('.'))
