"""Size of the head of a request."""

from typing import Final

import h11

__all__ = ['head_size']

_HEADER_LINE_OVERHEAD: Final = 4
"""Bytes of a header line besides name and value: colon, space, CR and LF."""


def head_size(head: h11.Request) -> int:
    """Return the bytes of a request line and its headers together."""
    lines = (
        len(name) + len(text) + _HEADER_LINE_OVERHEAD
        for name, text in head.headers
    )
    return len(head.method) + len(head.target) + sum(lines)
