"""Client of a relay."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, TypeVar
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from nutmegstep.clock import Clock
from nutmegstep.platform_api.connection import HttpCall, HttpReply
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.relay.encoding import (
    OBJECTS_PATH,
    decode_changes,
    decode_listing,
)
from nutmegstep.settings.fields import read_address
from nutmegstep.store_watch import HistoryGone, Listing, ObjectChanges

__all__ = ['RelayReader', 'connect_relay']

_WAIT_DIVISOR: Final = 4
"""Factor by which watches of a relay are shorter than those of the store. Calls
to a relay are not charged for, and one that hangs is noticed sooner."""
_CALL_TIMEOUT: Final = timedelta(milliseconds=500)
"""Time-out of a call to a relay, which is 1 or 2 ms away."""
_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
_Decoded = TypeVar('_Decoded')


class RelayReader:
    """Lists and watches kinds of objects over a relay's HTTP interface.

    Parameters
    ----------
    transport : HttpTransport
        HTTP client of the relay. Its time-out is short, because relays are in
        the same failure domain.
    """

    def __init__(self, transport: HttpTransport) -> None:
        self._transport = transport

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Return all objects of a kind."""
        call = HttpCall('GET', f'{OBJECTS_PATH}{kind}')
        called = await self._transport.call(call)
        return called.bind(_read_listing)

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Return the changes after a revision, waiting until there are any."""
        poll = wait / _WAIT_DIVISOR
        query = {'watch': revision, 'wait_s': poll.total_seconds()}
        path = f'{OBJECTS_PATH}{kind}?{urlencode(query)}'
        call = HttpCall('GET', path)
        called = await self._transport.call(call, poll=poll)
        return called.bind(_read_changes)

    def close(self) -> None:
        """Close idle connections."""
        self._transport.close()


def connect_relay(clock: Clock, address: str) -> RelayReader:
    """Return a client of the relay at an address.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the time-outs.
    address : str
        ``host:port`` of the relay.
    """
    host, port = read_address(address)
    return RelayReader(HttpTransport(host, port, clock, _CALL_TIMEOUT))


def _read_listing(reply: HttpReply) -> Result[Listing, PlatformFailure]:
    return _decode(reply, decode_listing)


def _read_changes(
    reply: HttpReply,
) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
    if reply.status == _STATUS_GONE:
        return Success(HistoryGone())
    return _decode(reply, decode_changes)


def _decode(
    reply: HttpReply,
    decode: Callable[[bytes], _Decoded],
) -> Result[_Decoded, PlatformFailure]:
    if reply.status != _STATUS_OK:
        detail = f'relay answered {reply.status}'
        return Failure(
            PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail),
        )
    # The address of a former relay may now belong to another process.
    try:
        return Success(decode(reply.body))
    except (KeyError, TypeError, ValueError) as error:
        detail = f'malformed reply: {error!r}'
        return Failure(
            PlatformFailure(PlatformFailureKind.INVALID_REPLY, detail),
        )
