"""A request in flight on a connection, and the response read so far."""

from collections.abc import Callable
from dataclasses import dataclass, field

from nutmegstep.dispatch.events import HeaderItems, SendFailureKind
from nutmegstep.gateway.codec import RawReply

__all__ = ['Exchange', 'SendOutcome', 'SendOutcomeCallback']

SendOutcome = RawReply | SendFailureKind
SendOutcomeCallback = Callable[[SendOutcome], None]
"""Called with a complete response, or with the kind of failure."""


@dataclass(slots=True, eq=False)
class Exchange:
    """The request in flight and the part of its response read so far.

    Attributes
    ----------
    on_outcome : SendOutcomeCallback
        Called once with the outcome.
    on_confirmed : Callable
        Called for each interim response.
    has_begun : bool
        Whether any byte of the response has arrived.
    status : int
        Status code; 0 before the head has arrived.
    headers : tuple of pairs
        Headers of the response.
    body : bytearray
        Part of the body that has arrived.
    reserved : int
        Bytes that the response counts in the bound on all responses.
    interim_count : int
        Number of interim responses.
    """

    on_outcome: SendOutcomeCallback
    on_confirmed: Callable[[], None]
    has_begun: bool = False
    status: int = 0
    headers: HeaderItems = ()
    body: bytearray = field(default_factory=bytearray)
    reserved: int = 0
    interim_count: int = 0

    def reply(self) -> RawReply:
        """Return the complete response."""
        return RawReply(self.status, self.headers, bytes(self.body))
