"""Interface to the HTTP headers that a platform's callers and targets use."""

from collections.abc import Callable
from dataclasses import dataclass

from nutmegstep.dispatch.effects import (
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
)
from nutmegstep.dispatch.events import HeaderItems, RoutedRequest, TargetReply
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['Delivery', 'RawReply', 'WireCodec']

Delivery = DeliverMerged | DeliverRefusal | DeliverReply


@dataclass(frozen=True, slots=True)
class RawReply:
    """A complete HTTP response of a target, before its headers are decoded."""

    status: int
    headers: HeaderItems
    body: bytes


@dataclass(frozen=True, slots=True)
class WireCodec:
    """Translates between a platform's HTTP headers and the project's types.

    Parameters
    ----------
    read_request : Callable
        Decodes a caller's request. Takes the HTTP request, the identifier of
        the request within this process and the monotonic time of its arrival
        in seconds.
    request_headers : Callable
        Returns all headers of a request to a target. Takes the caller's
        request, the time that is left in milliseconds and the identifier of
        the target that must answer. An empty identifier omits the header that
        names the target; it is used on connections on which the target has
        already answered.
    read_reply : Callable
        Decodes the response to a request that was sent to a target. Returns
        None if the response belongs to another request or is not usable.
    read_delegated_reply : Callable
        Decodes the answer of another VM to a delegated request. Its signature is
        that of the target, or those of all parts. Returns None in the same cases
        as `read_reply`.
    write_response : Callable
        Encodes the response to a caller. Takes the caller's request and the
        effect of the dispatcher that answers it.
    """

    read_request: Callable[[HttpRequest, int, float], RoutedRequest]
    request_headers: Callable[[RoutedRequest, int, str], HeaderItems]
    read_reply: Callable[[SendRequest, RawReply], TargetReply | None]
    read_delegated_reply: Callable[[SendRequest, RawReply], TargetReply | None]
    write_response: Callable[[RoutedRequest, Delivery], HttpResponse]
