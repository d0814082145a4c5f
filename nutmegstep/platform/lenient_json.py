"""JSON documents of which single values cannot be decoded.

Any writer can leave an object in the store that a decoder rejects: nested too
deeply, with a number that is too large, or with bytes that are not UTF-8. The
page that lists it must not be lost with it.
"""

import re
from collections.abc import Iterator
from typing import Any, Final

import orjson

__all__ = ['decode_leniently']

_OPAQUE_KEYS: Final = frozenset(('spec', 'status'))
"""Keys whose values belong to the writer of an object: one that cannot be decoded
is left out as a whole."""
_MAX_DEPTH: Final = 6
"""Deepest level at which values are decoded one by one; an object in an event of
a watch is at the fourth."""
_TOKEN: Final = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{}:,]', re.DOTALL)
_OPENING: Final = frozenset((b'[', b'{'))
_CLOSING: Final = frozenset((b']', b'}'))
_BETWEEN: Final = frozenset((b',', b':'))


def decode_leniently(body: bytes) -> Any:
    """Decode a document; values that cannot be decoded are None.

    Parameters
    ----------
    body : bytes
        The document.

    Raises
    ------
    ValueError
        The document as a whole is not JSON.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return _decode_members(body, 0)


def _decode_members(body: bytes, depth: int) -> Any:
    text = body.strip()
    if text[:1] == b'{' and text[-1:] == b'}':
        return dict(_decode_pairs(text, depth))
    if text[:1] == b'[' and text[-1:] == b']':
        return [_decode_value(one, depth) for one, _ in _split(text)]
    raise ValueError('neither an object nor an array')


def _decode_pairs(text: bytes, depth: int) -> Iterator[tuple[str, Any]]:
    for member, colon in _split(text):
        key = str(orjson.loads(member[:colon]))
        encoded = member[colon + 1 :]
        if key in _OPAQUE_KEYS:
            yield key, _decode_value(encoded, _MAX_DEPTH)
        else:
            yield key, _decode_value(encoded, depth)


def _decode_value(encoded: bytes, depth: int) -> Any:
    try:
        return orjson.loads(encoded)
    except orjson.JSONDecodeError:
        if depth >= _MAX_DEPTH:
            return None
    try:
        return _decode_members(encoded, depth + 1)
    except ValueError:
        return None


def _split(text: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield the members of an object or an array, and where their colon is."""
    begin = 1
    colon = 0
    for kind, position in _separators(text):
        if kind == b':':
            colon = colon or position - begin
            continue
        member = text[begin:position]
        if member.strip():
            yield member, colon
        begin = position + 1
        colon = 0


def _separators(text: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield the commas and colons between the members, and the last bracket."""
    depth = 0
    for token in _TOKEN.finditer(text):
        kind = token.group()
        depth += (kind in _OPENING) - (kind in _CLOSING)
        is_separator = depth == 1 and kind in _BETWEEN
        if is_separator or not depth:
            yield kind, token.start()
    if depth:
        raise ValueError('brackets do not match')
