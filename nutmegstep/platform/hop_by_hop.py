"""Headers that concern a single connection."""

from itertools import chain
from typing import Final

from nutmegstep.dispatch.events import HeaderItems

__all__ = ['hop_by_hop_names']

_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)


def hop_by_hop_names(items: HeaderItems) -> frozenset[bytes]:
    """Return the names of the headers that are not passed on.

    Besides the usual ones, these are the headers that a message names itself.
    """
    named = chain.from_iterable(
        text.lower().split(b',')
        for name, text in items
        if name == b'connection'
    )
    return _HOP_BY_HOP.union(option.strip() for option in named)
