"""Heads of the requests to targets."""

from typing import Final

import h11

from nutmegstep.clock import Clock
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.gateway.codec import WireCodec

__all__ = ['RequestHeads']

_MS_PER_SECOND: Final = 1000
_MIN_ROUNDED_MS: Final = 100
"""Shortest time left that is rounded."""
_ROUNDING_STEP_MS: Final = 10
"""Step to which the time left is rounded down, so that the sends of one query
to many shards state the same time. A VM sends them within one step, and a step
is at most a tenth of the time that is rounded."""


class RequestHeads:
    """Builds the heads of requests to targets.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the sends' deadlines.
    codec : WireCodec
        Builds the headers.
    """

    def __init__(self, clock: Clock, codec: WireCodec) -> None:
        self._clock = clock
        self._codec = codec
        self._shared_head_key = (0, 0)
        self._shared_head: h11.Request | None = None

    def head_of(
        self, effect: SendRequest, *, has_answered: bool
    ) -> h11.Request | None:
        """Return the head of a send, or None if it cannot be encoded.

        Parameters
        ----------
        effect : SendRequest
            The send.
        has_answered : bool
            Whether the expected target has answered on the connection.
        """
        # The sends of a query to many shards differ only in the header that
        # names the expected target. It is omitted on a connection on which
        # the target has answered, because that connection cannot lead to
        # another target. Such sends share one head, which h11 validates once.
        seconds_left = effect.expires_at - self._clock.monotonic()
        remaining_ms = _remaining_ms(seconds_left)
        key = (effect.request.request_id, remaining_ms)
        if has_answered and key == self._shared_head_key:
            return self._shared_head
        expected = '' if has_answered else effect.target.target_id
        head = self._build_head(effect.request, remaining_ms, expected)
        if has_answered:
            self._shared_head_key = key
            self._shared_head = head
        return head

    def _build_head(
        self,
        request: RoutedRequest,
        remaining_ms: int,
        expected: str,
    ) -> h11.Request | None:
        headers = self._codec.request_headers(request, remaining_ms, expected)
        try:
            return h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers),
            )
        except h11.LocalProtocolError:
            return None


def _remaining_ms(seconds_left: float) -> int:
    """Return the time left in milliseconds; long times are rounded down."""
    remaining_ms = max(1, int(seconds_left * _MS_PER_SECOND))
    if remaining_ms < _MIN_ROUNDED_MS:
        return remaining_ms
    return remaining_ms - remaining_ms % _ROUNDING_STEP_MS
