"""Digest of the content of a request."""

from typing import Final

import xxhash

from nutmegstep.dispatch.events import RoutedRequest

__all__ = ['content_digest']

_LENGTH_BYTES: Final = 8


def content_digest(request: RoutedRequest) -> str:
    """Return a digest that is the same for all attempts of a request.

    Attempts have identifiers of their own; they agree in method, host, path,
    query and body, and in the account where the configuration has accounts.

    Parameters
    ----------
    request : RoutedRequest
        Request of a caller.

    Returns
    -------
    str
        Digest of 128 bits in 32 hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    fields = [
        request.method,
        request.host.lower().encode(),
        request.target,
        request.body,
    ]
    if request.account is not None:
        fields.append(request.account.encode())
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(field)
    return digest.hexdigest()
