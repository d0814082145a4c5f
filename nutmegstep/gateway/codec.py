"""What the gateway needs from the protocol of a deployment."""

from collections.abc import Callable
from dataclasses import dataclass

from nutmegstep.dispatch.effects import (
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    HeaderItems,
    RoutedRequest,
    TargetReply,
)
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['Delivery', 'RawReply', 'WireCodec']

Delivery = DeliverMerged | DeliverRefusal | DeliverReply


@dataclass(frozen=True, slots=True)
class RawReply:
    """A complete response of a target as it was read."""

    status: int
    headers: HeaderItems
    body: bytes


@dataclass(frozen=True, slots=True)
class WireCodec:
    """Translates between the protocol's names and the project's types.

    Parameters
    ----------
    read_request : Callable
        Takes a caller's request, its identifier within this process and the
        monotonic instant of its arrival.
    request_headers : Callable
        Returns all headers of a send: takes the request, the milliseconds that
        are left, and the target that must answer, or an empty text when the
        connection shows which one it is.
    read_reply : Callable
        Returns None when a response does not belong to the send.
    write_response : Callable
        Takes the request and how it is answered.
    """

    read_request: Callable[[HttpRequest, int, float], RoutedRequest]
    request_headers: Callable[[RoutedRequest, int, str], HeaderItems]
    read_reply: Callable[[SendRequest, RawReply], TargetReply | None]
    write_response: Callable[[RoutedRequest, Delivery], HttpResponse]
