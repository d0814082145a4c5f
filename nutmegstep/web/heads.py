"""Parsers of requests, and the size of the heads that they read."""

from typing import Final

import h11

from nutmegstep.web.messages import HttpLimits

__all__ = ['encode_text', 'head_size', 'new_parser']

_HEADER_LINE_OVERHEAD: Final = 4
"""Bytes of a header line besides name and value: colon, space, CR and LF."""


def head_size(head: h11.Request) -> int:
    """Return the bytes of a request line and its headers together."""
    lines = (
        len(name) + len(text) + _HEADER_LINE_OVERHEAD
        for name, text in head.headers
    )
    return len(head.method) + len(head.target) + sum(lines)


def new_parser(limits: HttpLimits) -> h11.Connection:
    """Return a parser of requests; it keeps these limits."""
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.head_bytes
    )


def encode_text(text: str | bytes) -> bytes:
    """Encode a header; the inverse of the decoding in `RequestReader.request`."""
    return text if isinstance(text, bytes) else text.encode('latin-1')
